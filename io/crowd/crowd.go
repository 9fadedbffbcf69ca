package crowd

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
)

// Client writes what one client sends. An error ends the client, whose connection stays open.
type Client func(number int, c net.Conn) error

// Crowd is a number of clients whose connections stay open until Close.
type Crowd struct {
	group   errgroup.Group
	writing atomic.Int64 // clients that have not sent all of theirs
	mu      sync.Mutex
	conns   []net.Conn
}

// Open connects clients to the address at once, and runs each in a goroutine of its own. A receive buffer of zero bytes is the system's default.
func Open(ctx context.Context, address netip.AddrPort, clients, receiveBuffer int, run Client) *Crowd {
	c := &Crowd{}
	c.writing.Store(int64(clients))
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if receiveBuffer == 0 {
			return nil
		}
		controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
		if err == nil {
			err = controlErr
		}
		return err
	}}
	for i := range clients {
		c.group.Go(func() error {
			defer c.writing.Add(-1)
			conn, err := dialer.DialContext(ctx, "tcp", address.String())
			if err != nil {
				return nil // a server may refuse it
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_ = run(i, conn) // a server may close the connection
			return nil
		})
	}
	return c
}

// Settled reports whether each client has sent what it can.
func (c *Crowd) Settled() bool { return c.writing.Load() == 0 }

// Close closes the connections of all clients and waits for them to end.
func (c *Crowd) Close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	_ = c.group.Wait() // the clients return no errors
}
