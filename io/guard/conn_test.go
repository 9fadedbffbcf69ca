package guard

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// readyConn is a connection from which there is always something to read.
type readyConn struct{ net.Conn }

func (readyConn) Read(b []byte) (int, error) { return len(b), nil }

// TestBusyConnectionYields guards against connections that keep the only processor because there is always something to read.
func TestBusyConnectionYields(t *testing.T) {
	const reads = 1000
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	g := New(Limits{}, time.Now)
	c := &conn{Conn: readyConn{}, guard: g}
	must.True(t, g.add(c))
	turns := 0
	var done atomic.Bool
	var group errgroup.Group
	group.Go(func() error {
		for ; !done.Load(); turns++ {
			runtime.Gosched()
		}
		return nil
	})
	group.Go(func() error {
		defer done.Store(true)
		b := make([]byte, 1)
		for range reads {
			if _, err := c.Read(b); err != nil {
				return err
			}
		}
		return nil
	})
	must.NoError(t, group.Wait())
	must.GreaterEq(t, reads/2, turns)
}
