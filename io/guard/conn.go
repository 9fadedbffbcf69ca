package guard

import (
	"net"
	"runtime"
	"time"
)

// progressBytes is the number of bytes that must come in stallTime for a connection to make progress: 64 kbit/s.
const progressBytes = 4 << 10

// conn is a caller's connection. The guard's mutex protects its fields.
type conn struct {
	net.Conn
	guard      *Guard
	inHeader   bool // what is read belongs to the header of a request
	reading    bool // a header, a body or the rest of one that no handler reads is to come
	writing    int  // writes that have not returned
	working    bool // a handler works on a request
	released   bool // no limit holds any more
	charged    int64
	arrived    int       // bytes since progressAt
	progressAt time.Time // when the last progressBytes had come, an answer was written or the last request was done
	pausedAt   time.Time // since when it has not waited for its caller
	stalls     *stallHeap
	index      int // in stalls
}

// waits reports whether the connection waits for its caller.
func (c *conn) waits() bool { return c.reading || c.writing > 0 }

// Read reads from the connection and charges the header lines that it reads.
func (c *conn) Read(b []byte) (int, error) {
	runtime.Gosched() // a read that finds data does not block, so the connection would keep the processor for a whole time slice
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if !c.guard.receive(c, n, c.headerCost(b[:n])) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrBusy} // a server closes the connection for it, and blames no request
	}
	return n, err
}

// headerCost returns the memory of what was read, if it belongs to a header.
func (c *conn) headerCost(text []byte) int64 {
	c.guard.mu.Lock()
	inHeader := c.inHeader && !c.released
	c.guard.mu.Unlock()
	if !inHeader {
		return 0
	}
	lines := int64(0)
	for _, x := range text {
		if x == '\n' {
			lines++
		}
	}
	return lines*headerLineBytes + int64(len(text))
}

// Write writes to the connection, which waits for its caller meanwhile.
func (c *conn) Write(b []byte) (int, error) {
	c.guard.wait(c, true, true)
	defer c.guard.wait(c, false, true)
	return c.Conn.Write(b)
}

// CloseWrite ends the writing half of the connection, so that a caller that still sends can read the answer.
func (c *conn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it was charged.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}
