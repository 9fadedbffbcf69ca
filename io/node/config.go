package node

import (
	"context"
	"encoding/json"
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
		var c Config
		if err := n.askPeer(ctx, p.Sender.Incarnation, http.MethodGet, configPath, configTimeout, nil, &c); err != nil {
			n.often("ConfigNotTold").Str("Peer", p.Sender.Name).Err(err).Send() // another entry may know
			continue
		}
		n.takeConfig(&c)
	}
}

// serveConfig answers with the configuration in force.
func (n *Node) serveConfig(w http.ResponseWriter, _ *http.Request) {
	c := n.config.Load()
	if c == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c) // the asking entry sees a short answer as none
}
