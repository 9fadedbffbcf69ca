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

// errAborted is returned by writes on an aborted connection.
var errAborted = errors.New("connection was aborted")

// countingConn counts the bytes written and read. If no byte was written for a request that failed, the request was not
// sent.
type countingConn struct {
	net.Conn
	openedAt       time.Time
	written        atomic.Int64
	read           atomic.Int64
	requestStarted atomic.Bool // whether writing of the current request has begun
	unsolicited    atomic.Bool // whether bytes arrived before the current request was written
	aborted        atomic.Bool
	busy           atomic.Bool // whether a request is using the connection
	onClose        func(*countingConn)
	closeOnce      sync.Once
}

// Write counts the bytes before it writes them, so that the count is never too low. It fails after abort.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	c.requestStarted.Store(true)
	if c.aborted.Load() {
		return 0, errAborted
	}
	return c.Conn.Write(b)
}

// Read counts the bytes and sets unsolicited if they arrived before the current request was written.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read.Add(int64(n))
		if !c.requestStarted.Load() {
			c.unsolicited.Store(true)
		}
	}
	return n, err
}

// Close closes the connection and calls onClose, once.
func (c *countingConn) Close() error {
	c.closeOnce.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

// abort closes the connection, prevents further writes and returns the number of bytes whose writing had begun.
func (c *countingConn) abort() int64 {
	c.aborted.Store(true)
	written := c.written.Load()
	_ = c.Close() // the connection is of no further use even if Close fails
	return written
}

// dialFunc opens a connection to one target or peer.
type dialFunc func(ctx context.Context) (net.Conn, error)

// connPool is the HTTP transport for one target or peer, with its open connections.
type connPool struct {
	transport *http.Transport

	mu                    sync.Mutex
	conns                 map[*countingConn]struct{}
	lastResponseAt        time.Time // when a response last arrived on any connection
	lastResponderOpenedAt time.Time // when the connection of that response was opened
}

const (
	idleConnTimeout        = 5 * time.Second
	maxResponseHeaderBytes = 256 << 10
	transportBufferBytes   = 16 << 10
)

func newConnPool(dial dialFunc, maxConns int) *connPool {
	p := &connPool{conns: make(map[*countingConn]struct{})}
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
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         transportBufferBytes,
		WriteBufferSize:        transportBufferBytes,
	}
	return p
}

func (p *connPool) add(raw net.Conn) *countingConn {
	c := &countingConn{Conn: raw, openedAt: time.Now(), onClose: p.remove}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c
}

func (p *connPool) remove(c *countingConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// recordResponse records that a response arrived on c at time now.
func (p *connPool) recordResponse(c *countingConn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastResponseAt = now
	p.lastResponderOpenedAt = c.openedAt
}

// isSilent reports whether, since sentAt, the target has answered on a connection newer than c.
func (p *connPool) isSilent(c *countingConn, sentAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastResponseAt.After(sentAt) && p.lastResponderOpenedAt.After(c.openedAt)
}

// closeOlderIdle closes the other idle connections that were opened no later than c and returns their number.
func (p *connPool) closeOlderIdle(c *countingConn) int {
	p.mu.Lock()
	var old []*countingConn
	for other := range p.conns {
		if other != c && !other.busy.Load() && !other.openedAt.After(c.openedAt) {
			old = append(old, other)
		}
	}
	p.mu.Unlock()
	for _, other := range old {
		other.abort()
	}
	return len(old)
}

// closeIdle closes all idle connections.
func (p *connPool) closeIdle() {
	p.transport.CloseIdleConnections()
}
