package node

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	configPath    = "/config"
	configTimeout = 300 * time.Millisecond // a linked entry answers in 10 ms; well below the 2 s in which a configuration must be in force

	watchGrace       = 250 * time.Millisecond  // an entry that is told of a version awaits it from its own watch for this long
	watchGraceCheck  = 25 * time.Millisecond   // and checks this often
	askedPeers       = 4                       // entries that are asked at a time
	toldPeers        = 4                       // entries that each entry tells of a version
	tellAttempts     = 3                       // requests to tell an entry of a version
	operatorSilent   = 1200 * time.Millisecond // above the length of a watch on a slow store (1.1 s)
	silentCheckDelay = 400 * time.Millisecond  // between requests for the configuration while the store is silent
)

// Sources of a configuration, for the log.
const (
	fromStore = "Store"
	fromPeer  = "Peer"
)

// askConfig asks some linked entries for a newer configuration, since the platform may refuse this entry's
// calls while it still serves the operator and other entries. Any entry that has one tells its links of it.
func (n *Node) askConfig(ctx context.Context) {
	mesh := n.links()
	if mesh == nil {
		return
	}
	var group errgroup.Group
	peers := mesh.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), askedPeers)] {
		group.Go(func() error {
			var c *Config
			path := configPath + "?newer=" + strconv.FormatInt(n.configVersion(), 10)
			if err := n.askPeer(ctx, p.Sender.Incarnation, http.MethodGet, path, configTimeout, nil, &c); err != nil {
				n.logLimited("ConfigNotTold").Str("Peer", p.Sender.Name).Err(err).Send() // another entry may have it
			} else if c != nil {
				n.applyConfig(c, fromPeer)
			}
			return nil
		})
	}
	_ = group.Wait() // the goroutines return no errors
}

// askWhileSilent asks the linked entries for the configuration while calls for the operator's records are without an answer, which
// takes seconds to become an error. An entry without a configuration is told of one when a link opens.
func (n *Node) askWhileSilent(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, silentCheckDelay)
		if n.config.Load() != nil && n.Now().Sub(n.started)-time.Duration(n.operatorReadAt.Load()) > operatorSilent {
			n.askConfig(ctx)
		}
	}
}

// serveConfig answers another entry with the configuration in force, or with null if it is not newer than the version that the
// entry has.
func (n *Node) serveConfig(w http.ResponseWriter, r *http.Request) {
	c := n.config.Load()
	if c == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if newer, err := strconv.ParseInt(r.URL.Query().Get("newer"), 10, 64); err == nil && newer > 0 && c.Version <= newer {
		c = nil
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c) // the asking entry discards an incomplete answer
}

// tellPeers tells some linked entries of the version in force, if it has keys. Each tells others in turn, so that a key that is taken away
// is soon known to all.
func (n *Node) tellPeers() {
	mesh, c := n.links(), n.config.Load()
	if mesh == nil || c == nil || c.Keys == nil {
		return
	}
	peers := mesh.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), toldPeers)] {
		n.background.Go(func() error { n.tellPeer(p.Sender.Incarnation, p.Sender.Name); return nil })
	}
}

// tellPeer tells a linked entry of the version in force, and sends it the configuration if the entry's own watch does not bring it.
func (n *Node) tellPeer(incarnation, name string) {
	var err error
	for range tellAttempts {
		c := n.config.Load()
		if c == nil {
			return
		}
		var has int64
		path := configPath + "/" + strconv.FormatInt(c.Version, 10)
		if err = n.askPeer(context.Background(), incarnation, http.MethodPut, path, watchGrace+configTimeout, nil, &has); err != nil {
			continue
		}
		if has >= c.Version {
			return
		}
		if err = n.askPeer(context.Background(), incarnation, http.MethodPost, configPath, configTimeout, c, &has); err == nil {
			return
		}
	}
	n.logLimited("ConfigNotTold").Str("Peer", name).Err(err).Send() // the entry's own watch or questions bring it
}

// awaitVersion answers an entry that has put a version in force with the version that this entry has once it has that one too, or
// after watchGrace.
func (n *Node) awaitVersion(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for waited := time.Duration(0); n.configVersion() < version && waited < watchGrace; waited += watchGraceCheck {
		sleep(r.Context(), watchGraceCheck)
	}
	writeJSON(w, n.configVersion())
}

// takeConfig puts a configuration in force that another entry sends, unless it is older, and answers with the version in force.
func (n *Node) takeConfig(w http.ResponseWriter, r *http.Request) {
	var c Config
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPeerBodyBytes)).Decode(&c); err != nil {
		n.RecordSkipped("configuration of an entry", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.applyConfig(&c, fromPeer)
	writeJSON(w, n.configVersion())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // whoever asked discards an incomplete answer
}
