package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	configPath    = "/config"
	configTimeout = 300 * time.Millisecond // a linked entry answers in 10 ms; well below the 2 s in which a configuration must be in force
)

// askConfig asks the linked entries for a newer configuration, since the platform may refuse this entry's
// calls while it still serves the operator and other entries.
func (n *Node) askConfig(ctx context.Context) {
	mesh := n.links()
	if mesh == nil {
		return
	}
	for _, p := range mesh.Peers() {
		var c Config
		if err := n.askPeer(ctx, p.Sender.Incarnation, http.MethodGet, configPath, configTimeout, nil, &c); err != nil {
			n.logLimited("ConfigNotTold").Str("Peer", p.Sender.Name).Err(err).Send() // another entry may have it
			continue
		}
		n.applyConfig(&c)
	}
}

// serveConfig answers another entry with the configuration in force.
func (n *Node) serveConfig(w http.ResponseWriter, _ *http.Request) {
	c := n.config.Load()
	if c == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c) // the asking entry discards an incomplete answer
}
