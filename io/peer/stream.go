package peer

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// sessionConn is the connection under a session. Before it closes it ends the reads of the session's streams: from the moment a
// yamux session begins to close until it has closed its streams, a Read on one of them spins instead of blocking, and on one
// processor may keep the goroutine that closes it from running.
type sessionConn struct {
	net.Conn

	mu      sync.Mutex
	closing bool
	streams map[*stream]bool
}

// stream is a stream of a session.
type stream struct {
	*yamux.Stream
	conn *sessionConn
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Close ends the reads of all streams and closes the connection.
func (c *sessionConn) Close() error {
	c.mu.Lock()
	c.closing = true
	for s := range c.streams {
		_ = s.Stream.SetReadDeadline(longAgo) // it returns no error
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// track returns the stream with reads that end when the connection closes.
func (c *sessionConn) track(s *yamux.Stream) *stream {
	tracked := &stream{s, c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams == nil {
		c.streams = make(map[*stream]bool)
	}
	c.streams[tracked] = true
	if c.closing {
		_ = s.SetReadDeadline(longAgo) // as above
	}
	return tracked
}

// SetReadDeadline sets the deadline of reads, which has passed once the connection closes.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.conn.closing {
		t = longAgo
	}
	return s.Stream.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (s *stream) SetDeadline(t time.Time) error {
	if err := s.SetReadDeadline(t); err != nil {
		return err
	}
	return s.SetWriteDeadline(t)
}

// Close closes the stream.
func (s *stream) Close() error {
	s.conn.mu.Lock()
	delete(s.conn.streams, s)
	s.conn.mu.Unlock()
	_ = s.Stream.SetReadDeadline(longAgo) // a Read that still waits ends with the stream
	return s.Stream.Close()
}
