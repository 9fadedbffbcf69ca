package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"daisysaddle/core/fleet"
	"daisysaddle/core/once"
)

const (
	copyBufferBytes = 32 << 10
	keptBodyBytes   = 8 << 10
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// capture keeps a copy of a short answer, so that it can be given again.
type capture struct {
	body  []byte
	large bool
}

func (c *capture) add(p []byte) {
	if c == nil || c.large {
		return
	}
	if len(c.body)+len(p) > keptBodyBytes {
		c.large, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}

// pass streams an answer to the caller and reports whether it was whole.
func (x *exchange) pass(response *http.Response) bool {
	defer response.Body.Close()
	h := x.w.Header()
	removeHopHeaders(response.Header)
	response.Header.Del(HeaderAttempt)
	for name, values := range response.Header {
		h[name] = values
	}
	outcome := Outcome(h.Get(HeaderOutcome))
	if outcome != NotRun && outcome != Unknown {
		outcome = Done
	}
	h.Set(HeaderOutcome, string(x.truthful(outcome)))
	for name := range response.Trailer {
		h.Add("Trailer", name)
	}
	x.w.WriteHeader(response.StatusCode)
	if err := x.copyBody(response); err != nil {
		x.end(once.Result{Outcome: string(Unknown), Status: response.StatusCode})
		x.countOutcome(Unknown)
		return false
	}
	for name, values := range response.Trailer {
		h[name] = values
	}
	x.keep(response)
	x.countOutcome(Outcome(h.Get(HeaderOutcome)))
	return true
}

// keep remembers the answer under a claimed request id.
func (x *exchange) keep(response *http.Response) {
	if !x.claimed {
		return
	}
	r := once.Result{Outcome: string(Done), Status: response.StatusCode, BodyComplete: !x.capture.large, Body: x.capture.body}
	if r.BodyComplete {
		r.Header = x.w.Header().Clone()
	}
	x.end(r)
}

// copyBody streams the body and flushes when the target pauses.
func (x *exchange) copyBody(response *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flusher := http.NewResponseController(x.w)
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			x.capture.add((*buffer)[:n])
			if _, err := x.w.Write((*buffer)[:n]); err != nil {
				return err
			}
			if response.ContentLength < 0 {
				if err := flusher.Flush(); err != nil {
					return err
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// inform passes on an informational answer.
func (x *exchange) inform(code int, header http.Header) {
	h := x.w.Header()
	added := make([]string, 0, len(header))
	for name, values := range header {
		if _, set := h[name]; !set {
			h[name] = values
			added = append(added, name)
		}
	}
	x.w.WriteHeader(code)
	for _, name := range added {
		delete(h, name)
	}
}

// replay gives the caller the answer that an earlier attempt with the same id got.
func (x *exchange) replay(r once.Result) {
	if Outcome(r.Outcome) != Done || !r.BodyComplete {
		h := x.w.Header()
		h.Set(HeaderOutcome, r.Outcome)
		h.Set(HeaderReason, string(ReasonDuplicate))
		http.Error(x.w, "an earlier attempt with this request id has ended; its answer is not kept", http.StatusConflict)
		return
	}
	h := x.w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	h.Set(HeaderReason, string(ReasonDuplicate))
	x.w.WriteHeader(r.Status)
	_, _ = x.w.Write(r.Body) // a caller that has left can ask again
}

// peerPools keeps a transport for each linked entry.
type peerPools struct {
	mu    sync.Mutex
	pools map[string]*connPool
}

const maxPeerStreams = 1024

func (p *peerPools) get(links Links, to fleet.Sender) *connPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools == nil {
		p.pools = make(map[string]*connPool)
	}
	pool := p.pools[to.Incarnation]
	if pool == nil {
		pool = newConnPool(func(context.Context) (net.Conn, error) { return links.Open(to) }, maxPeerStreams)
		p.pools[to.Incarnation] = pool
	}
	return pool
}
