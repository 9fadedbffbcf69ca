package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errSealed reports a write on a connection that was given up.
var errSealed = errors.New("connection was given up")

// conn counts what is written, so that a failed request can be proven not to have been sent.
type conn struct {
	net.Conn
	opened  time.Time
	written atomic.Int64
	read    atomic.Int64
	asked   atomic.Bool // the present request has begun to be written
	unasked atomic.Bool // bytes came that no request asked for
	sealed  atomic.Bool
	busy    atomic.Bool
	closed  func(*conn)
	once    sync.Once
}

// Write counts the bytes before it sends them, so that the count is never too small.
func (c *conn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	c.asked.Store(true)
	if c.sealed.Load() {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// Read notes bytes that come before the present request was written.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read.Add(int64(n))
		if !c.asked.Load() {
			c.unasked.Store(true)
		}
	}
	return n, err
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.once.Do(func() { c.closed(c) })
	return c.Conn.Close()
}

// seal prevents further writes and returns the number of bytes whose writing was begun.
func (c *conn) seal() int64 {
	c.sealed.Store(true)
	written := c.written.Load()
	_ = c.Close() // the connection is given up whatever Close says
	return written
}

// dialFunc opens a connection to one target or peer.
type dialFunc func(ctx context.Context) (net.Conn, error)

// connPool is the HTTP transport to one target or peer with its open connections.
type connPool struct {
	transport *http.Transport

	mu         sync.Mutex
	conns      map[*conn]struct{}
	lastAnswer time.Time // when any connection last carried an answer
	answerer   time.Time // when the connection that carried it was opened
}

const (
	idleConnTimeout   = 5 * time.Second
	maxResponseHeader = 256 << 10
	transportBuffer   = 16 << 10
)

func newConnPool(dial dialFunc, maxConns int) *connPool {
	p := &connPool{conns: make(map[*conn]struct{})}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			raw, err := dial(ctx)
			if err != nil {
				return nil, err
			}
			return p.add(raw), nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    max(1, maxConns),
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		ReadBufferSize:         transportBuffer,
		WriteBufferSize:        transportBuffer,
	}
	return p
}

func (p *connPool) add(raw net.Conn) *conn {
	c := &conn{Conn: raw, opened: time.Now(), closed: p.remove}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c
}

func (p *connPool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// answered records that a connection carried an answer.
func (p *connPool) answered(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer = now
	p.answerer = c.opened
}

// silent reports whether the target answered on a newer connection since the request was sent.
func (p *connPool) silent(c *conn, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastAnswer.After(sent) && p.answerer.After(c.opened)
}

// retireOlder closes the idle connections that were opened no later than c and returns their number.
func (p *connPool) retireOlder(c *conn) int {
	p.mu.Lock()
	var old []*conn
	for other := range p.conns {
		if other != c && !other.busy.Load() && !other.opened.After(c.opened) {
			old = append(old, other)
		}
	}
	p.mu.Unlock()
	for _, other := range old {
		other.seal()
	}
	return len(old)
}

// close ends all idle connections.
func (p *connPool) close() {
	p.transport.CloseIdleConnections()
}
