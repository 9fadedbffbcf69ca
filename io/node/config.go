package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	configPath    = "/config"
	configTimeout = 300 * time.Millisecond // for a linked entry's answer (10 ms), well inside the time for a configuration to be in force
)

// askConfig asks the linked entries for a newer configuration. The platform may turn this entry away while
// it serves the others and the operator.
func (n *Node) askConfig(ctx context.Context) {
	mesh := n.links()
	if mesh == nil {
		return
	}
	for _, p := range mesh.Peers() {
		c, err := n.configOf(ctx, p.Sender.Incarnation)
		if err != nil {
			continue // another entry may know
		}
		n.takeConfig(c)
	}
}

func (n *Node) configOf(ctx context.Context, incarnation string) (*Config, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+incarnation+configPath, nil)
	if err != nil {
		return nil, errNoConfig
	}
	response, err := n.peers.Do(request)
	if err != nil {
		return nil, errNoConfig
	}
	defer response.Body.Close()
	var c Config
	if response.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(response.Body, maxPeerBody)).Decode(&c) != nil {
		return nil, errNoConfig
	}
	return &c, nil
}

// tellConfig answers with the configuration in force.
func (n *Node) tellConfig(w http.ResponseWriter, _ *http.Request) {
	c := n.config.Load()
	if c == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c) // the asking entry sees a short answer as none
}
