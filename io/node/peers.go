package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/fleet"
	"daisysaddle/core/sched"
	"daisysaddle/io/peer"
	"daisysaddle/io/wire"
)

const (
	ownerTimeout      = 700 * time.Millisecond // longer than an accept (20 ms), short enough to try the store afterwards
	peerIdleTimeout   = 20 * time.Second
	maxPeerBodyBytes  = 1 << 20
	linkCheckInterval = 200 * time.Millisecond
	maxIdlePeerConns  = 8
	alivePath         = "/alive" // answered without effect, for probes
)

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address.String())
	return l, errors.Wrap(err, "listen for peers")
}

// receive handles a frame from another entry.
func (n *Node) receive(from peer.Identity, f *wire.Frame) {
	defer n.recoverPanic("Frame", func() {})
	switch {
	case f.GetOrders() != nil:
		n.carrier.handleOrders(from.Sender.Incarnation, f.GetOrders())
	case f.GetAnswers() != nil:
		if c := n.control.Load(); c != nil {
			c.carriers.handleAnswers(from.Sender.Incarnation, f.GetAnswers())
		}
	}
}

func (n *Node) peerChanged(p peer.Identity, up bool) {
	event := "PeerLost"
	if up {
		event = "PeerLinked"
	}
	n.log(event).Str("Peer", p.Sender.Name).Send()
	if c := n.config.Load(); up && c != nil && c.Keys != nil {
		n.background.Go(func() error { n.tellPeer(p.Sender.Incarnation, p.Sender.Name); return nil })
	}
}

// linkOwner keeps this entry linked to the current owner.
func (n *Node) linkOwner(ctx context.Context, mesh *peer.Mesh) {
	var linked netip.AddrPort
	for ctx.Err() == nil {
		o := n.owner.Load()
		if o != nil && o.Incarnation != n.incarnation && o.Peer != linked {
			linked = o.Peer
			n.background.Go(func() error {
				mesh.Connect(ctx, o.Peer, func(address netip.AddrPort) bool {
					current := n.owner.Load()
					return current == nil || current.Peer != address
				})
				return nil
			})
		}
		if o == nil {
			linked = netip.AddrPort{}
		}
		sleep(ctx, linkCheckInterval)
	}
}

// links returns the mesh of links to other entries, or nil before it is set up.
func (n *Node) links() *peer.Mesh {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mesh
}

// peerClient returns an HTTP client that sends requests over the links; the host of a request is the other entry's incarnation.
func (n *Node) peerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePeerConns, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			incarnation, _, err := net.SplitHostPort(address)
			mesh := n.links()
			if err != nil || mesh == nil {
				return nil, errNoOwner
			}
			conn, err := mesh.Open(fleet.Sender{Name: incarnation, Incarnation: incarnation})
			if err != nil {
				return nil, errors.Mark(err, errNotSent)
			}
			return conn, nil
		},
	}}
}

// askOwner sends a caller's request to the owner. It returns an error when the owner gave no usable answer, so that the
// caller's request must be served without it.
func (n *Node) askOwner(ctx context.Context, method, path string, body any) (Verdict, error) {
	v, err := n.callOwner(ctx, method, path, body)
	n.ownerUnresponsive.Store(err != nil || v.RefusedByStore())
	return v, err
}

func (n *Node) callOwner(ctx context.Context, method, path string, body any) (Verdict, error) {
	o := n.owner.Load()
	if o == nil || o.Incarnation == n.incarnation {
		return Verdict{}, errNoOwner
	}
	if !n.ownerAnswers(ctx, o) {
		return Verdict{}, errOwnerSilent
	}
	var v Verdict
	if err := n.askPeer(ctx, o.Incarnation, method, path, ownerTimeout, body, &v); err != nil {
		return Verdict{}, err
	}
	n.ownerReach.record(n.Now())
	return v, nil
}

// askPeer sends a request to another entry over its link and decodes the answer into the last argument. It returns an error
// when there is no usable answer, and one marked as errNotSent when the entry surely did nothing.
func (n *Node) askPeer(ctx context.Context, incarnation, method, path string, timeout time.Duration, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode peer request")
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+incarnation+path, payload)
	if err != nil {
		return errors.Wrap(err, "create peer request")
	}
	response, err := n.httpClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send peer request")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusMisdirectedRequest:
		return errors.Mark(errors.New("peer does not own the workers"), errNotSent)
	default:
		return errors.Newf("peer answered with status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxPeerBodyBytes)).Decode(into), "decode peer answer")
}

// peerHandler returns the handler of requests from other entries. Requests about jobs are answered only while this entry owns
// the workers.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, answer func(*http.Request, *control) Verdict) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			c := n.activeControl()
			if c == nil {
				writeVerdict(w, http.StatusMisdirectedRequest, Verdict{})
				return
			}
			v := answer(r, c)
			status := http.StatusOK
			if v.Outcome == OutcomeUnknown {
				status = http.StatusServiceUnavailable // the asking entry goes to the store instead
			}
			writeVerdict(w, status, v)
		})
	}
	mux.HandleFunc("GET "+configPath, n.serveConfig)
	mux.HandleFunc("POST "+configPath, n.takeConfig)
	mux.HandleFunc("PUT "+configPath+"/{version}", n.awaitVersion)
	mux.HandleFunc("GET "+alivePath, func(w http.ResponseWriter, _ *http.Request) { writeVerdict(w, http.StatusOK, Verdict{}) })
	withJob := func(apply func(*control, context.Context, sched.Job) Verdict) func(*http.Request, *control) Verdict {
		return func(r *http.Request, c *control) Verdict {
			var j sched.Job
			if err := json.NewDecoder(io.LimitReader(r.Body, maxPeerBodyBytes)).Decode(&j); err != nil || j.Check() != nil {
				return Verdict{Outcome: OutcomeUnknown, Reason: "NotDecoded"}
			}
			return apply(c, r.Context(), j)
		}
	}
	mux.HandleFunc("GET "+accountsPath, n.serveOwnerReport)
	mux.HandleFunc("GET "+whyPath, n.serveOwnerReport)
	handle("POST /jobs/{id}", withJob((*control).submit))
	handle("POST /admissions/{id}", withJob((*control).admit))
	handle("POST /admissions/{id}/stored", func(r *http.Request, c *control) Verdict {
		return c.recordStored(r.Context(), r.PathValue("id"), r.URL.Query().Get("zone"))
	})
	handle("GET /jobs/{id}", func(r *http.Request, c *control) Verdict {
		return c.jobState(r.Context(), callerOf(r), r.PathValue("id"))
	})
	handle("DELETE /jobs/{id}", func(r *http.Request, c *control) Verdict {
		return c.cancel(r.Context(), callerOf(r), r.PathValue("id"))
	})
	handle("GET /queues/{queue}", func(r *http.Request, c *control) Verdict { return c.waiting(r.Context(), r.PathValue("queue")) })
	return mux
}

// refuseForwarded answers a request of another entry for which this one has no room. It did nothing, and the other entry tells its caller.
func refuseForwarded(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/jobs/") && !strings.HasPrefix(r.URL.Path, "/admissions/") {
		w.WriteHeader(http.StatusServiceUnavailable) // the other entry expects no verdict
		return
	}
	writeVerdict(w, http.StatusOK, Verdict{Outcome: OutcomeNotRun, RetryAfter: minRetryAfter, Reason: ReasonBusy})
}

// jobPath returns the path of a request about a job, which names the caller.
func jobPath(caller Caller, id string) string {
	return "/jobs/" + id + "?" + url.Values{"account": {caller.Account}, "queue": {caller.Queue}}.Encode()
}

// callerOf returns the caller that the path of a request about a job names.
func callerOf(r *http.Request) Caller {
	q := r.URL.Query()
	return Caller{Account: q.Get("account"), Queue: q.Get("queue")}
}

func writeVerdict(w http.ResponseWriter, status int, v Verdict) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the asking entry discards an incomplete answer
}
