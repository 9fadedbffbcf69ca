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
	copyBufferBytes    = 32 << 10
	maxStoredBodyBytes = 8 << 10
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// bodyRecorder copies the body of a response of up to maxStoredBodyBytes, so that the response can be replayed.
type bodyRecorder struct {
	body     []byte
	tooLarge bool
}

func (b *bodyRecorder) add(p []byte) {
	if b == nil || b.tooLarge {
		return
	}
	if len(b.body)+len(p) > maxStoredBodyBytes {
		b.tooLarge, b.body = true, nil
		return
	}
	b.body = append(b.body, p...)
}

// forwardResponse streams a response to the caller and reports whether all of it was forwarded.
func (x *exchange) forwardResponse(response *http.Response) bool {
	defer response.Body.Close()
	h := x.w.Header()
	removeHopByHopHeaders(response.Header)
	response.Header.Del(HeaderAttempt)
	for name, values := range response.Header {
		h[name] = values
	}
	outcome := Outcome(h.Get(HeaderOutcome))
	if outcome != NotRun && outcome != Unknown {
		outcome = Done
	}
	h.Set(HeaderOutcome, string(x.reportedOutcome(outcome)))
	for name := range response.Trailer {
		h.Add("Trailer", name)
	}
	x.w.WriteHeader(response.StatusCode)
	if err := x.copyBody(response); err != nil {
		x.recordResult(once.Result{Outcome: string(Unknown), Status: response.StatusCode})
		x.countOutcome(Unknown)
		return false
	}
	for name, values := range response.Trailer {
		h[name] = values
	}
	x.storeResponse(response)
	x.countOutcome(Outcome(h.Get(HeaderOutcome)))
	return true
}

// storeResponse stores the response under the claimed request id, without its body if that is too large.
func (x *exchange) storeResponse(response *http.Response) {
	if !x.claimed {
		return
	}
	r := once.Result{Outcome: string(Done), Status: response.StatusCode}
	if !x.recorder.tooLarge && headerSize(x.w.Header()) <= maxStoredBodyBytes {
		r.BodyComplete, r.Body, r.Header = true, x.recorder.body, x.w.Header().Clone()
	}
	x.recordResult(r)
}

// headerSize returns the length of a header's text.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// copyBody streams the body. It flushes after each read if the body has no known length, so that the caller gets each
// part of the body when the target sends it.
func (x *exchange) copyBody(response *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flusher := http.NewResponseController(x.w)
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			x.recorder.add((*buffer)[:n])
			x.allowWrite()
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

// forwardInformational forwards an informational (1xx) response. Its header fields are removed afterwards, so that
// they do not appear in the final response.
func (x *exchange) forwardInformational(code int, header http.Header) {
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

// replay sends the stored response of an earlier attempt with the same request id, or a conflict with that attempt's outcome
// if there is no complete response.
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
	_, _ = x.w.Write(r.Body) // a caller that has disconnected can repeat the request
}

// peerPools holds a connection pool for each peer, by the peer's incarnation.
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
