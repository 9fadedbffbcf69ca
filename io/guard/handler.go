package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Handlers are the handlers of a server's requests.
type Handlers struct {
	Serve  http.Handler
	Refuse http.Handler // answers a request for which there is no room, without its body; nil answers 503
	// Fields names the header fields that the handlers need; nil means all. Others are dropped before the handlers begin, which returns the
	// memory that they take.
	Fields []string
}

type connKey struct{}

// Protect makes a server obey the limits.
func (g *Guard) Protect(s *http.Server, h Handlers) {
	if h.Refuse == nil {
		h.Refuse = http.HandlerFunc(refuse)
	}
	s.Handler = g.handler(h)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, guarded := c.(*conn); guarded && state == http.StateIdle {
			g.idle(c)
		}
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "other requests take all the room", http.StatusServiceUnavailable)
}

// handler returns a handler that drops the header fields that are not needed, and charges the body as it is read. The server keeps its own
// request, since it tells by the type of the body how to end the exchange.
func (g *Guard) handler(h Handlers) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, guarded := r.Context().Value(connKey{}).(*conn)
		if !guarded {
			h.Serve.ServeHTTP(w, r)
			return
		}
		own := r.WithContext(r.Context())
		if h.Fields != nil {
			own.Header, own.Trailer = keepFields(r.Header, h.Fields), nil
			r.Header, r.Trailer = make(http.Header), nil
		}
		if !g.begin(c, h.Fields == nil) {
			if r.ContentLength != 0 {
				w.Header().Set("Connection", "close") // the refusal waits for no body
			}
			own.Body = http.NoBody
			h.Refuse.ServeHTTP(w, own)
			return
		}
		body := &body{ReadCloser: r.Body, conn: c}
		if h.Fields != nil {
			body.request = r
		}
		own.Body = body
		defer func() { g.end(c, !body.whole && r.ContentLength != 0) }()
		h.Serve.ServeHTTP(w, own)
	})
}

// maxKeptValues is the number of values of a header field that a handler gets; two are enough to tell that a field came more than once.
const maxKeptValues = 2

// keepFields returns a copy of the named header fields.
func keepFields(header http.Header, names []string) http.Header {
	kept := make(http.Header, len(names))
	for _, name := range names {
		for _, value := range header.Values(name) {
			kept.Add(name, strings.Clone(value)) // the values of a header share memory
			if len(kept.Values(name)) == maxKeptValues {
				break
			}
		}
	}
	return kept
}

// body is a request's body that is charged as it is read.
type body struct {
	io.ReadCloser
	request *http.Request // the server's, whose trailers are dropped; nil to keep them
	conn    *conn
	read    int64
	whole   bool // it was read to its end
}

// Read reads from the body. The error is ErrBusy if there is no memory for it.
func (b *body) Read(p []byte) (int, error) {
	g := b.conn.guard
	g.wait(b.conn, true, false)
	n, err := b.ReadCloser.Read(p)
	g.wait(b.conn, false, false)
	if errors.Is(err, io.EOF) {
		b.whole = true
		if b.request != nil {
			b.request.Trailer = nil
		}
	}
	kept := int64(n)
	if most := g.limits.BodyKept; most > 0 {
		kept = max(0, min(kept, most-b.read))
	}
	b.read += int64(n)
	g.mu.Lock()
	fits := g.charge(g.now(), b.conn, kept*bodyGrowth, g.bodyBudget())
	g.mu.Unlock()
	if !fits {
		return 0, ErrBusy
	}
	return n, err
}
