package guard

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestHeapLimit(t *testing.T) {
	for _, c := range []struct{ memory, want int64 }{{1000 << 20, 800 << 20}, {100 << 20, 76 << 20}, {30 << 20, 15 << 20}} {
		must.Eq(t, c.want, HeapLimit(c.memory))
	}
}

func TestForProcess(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
		want        Limits
	}{
		{0, 0, Limits{}},
		{184 << 20, 4100, Limits{Bytes: (184 << 20) / 12, Connections: 1177, Requests: 184, Buffers: 184 << 16}},
		{64 << 20, 700, Limits{Bytes: (64 << 20) / 12, Connections: 250, Requests: 64, Buffers: 4 << 20}},
		{64 << 20, 0, Limits{Bytes: (64 << 20) / 12, Connections: 409, Requests: 64, Buffers: 4 << 20}},
		{0, 100, Limits{Connections: 1}},
	} {
		must.Eq(t, c.want, ForProcess(c.memory, c.descriptors))
	}
}

// TestEviction checks which connections end when there is no room for another charge or connection.
func TestEviction(t *testing.T) {
	type step struct {
		after time.Duration // since the step before
		conn  int
		bytes int64 // zero opens the connection
		fits  bool
	}
	for _, c := range []struct {
		name  string
		steps []step
		left  []int
	}{
		{"all fit", []step{{0, 0, 0, true}, {0, 0, 50, true}, {0, 1, 0, true}, {0, 1, 50, true}}, []int{0, 1}},
		{"the stalled one ends", []step{{0, 0, 0, true}, {0, 0, 80, true}, {stallTime, 1, 0, true}, {0, 1, 50, true}}, []int{1}},
		{"the longest stalled one ends", []step{{0, 0, 0, true}, {0, 0, 40, true}, {1, 1, 0, true}, {0, 1, 40, true}, {stallTime, 2, 0, true}, {0, 2, 40, true}}, []int{1, 2}},
		{"none is stalled", []step{{0, 0, 0, true}, {0, 0, 80, true}, {stallTime - 1, 1, 0, true}, {0, 1, 50, false}}, []int{0, 1}},
		{"no room for a connection", []step{{0, 0, 0, true}, {0, 1, 0, true}, {0, 2, 0, true}, {0, 3, 0, false}}, []int{0, 1, 2}},
		{"an idle connection ends", []step{{0, 0, 0, true}, {1, 1, 0, true}, {0, 2, 0, true}, {stallTime, 3, 0, true}}, []int{1, 2, 3}},
		{"an ended connection reads nothing", []step{{0, 0, 0, true}, {0, 0, 80, true}, {stallTime, 1, 0, true}, {0, 1, 50, true}, {0, 0, 1, false}}, []int{1}},
	} {
		now := time.Unix(0, 0)
		g := New(Limits{Connections: 3, Bytes: 100}, func() time.Time { return now })
		conns := make([]*conn, 4)
		for i := range conns {
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			conns[i] = &conn{Conn: near, guard: g}
		}
		for _, s := range c.steps {
			now = now.Add(s.after)
			fits := false
			if s.bytes == 0 {
				fits = g.add(conns[s.conn])
			} else {
				g.mu.Lock()
				fits = g.charge(now, conns[s.conn], s.bytes, g.limits.Bytes)
				g.mu.Unlock()
			}
			must.Eq(t, s.fits, fits, must.Sprint(c.name))
		}
		var left []int
		for i, x := range conns {
			if g.conns[x] {
				left = append(left, i)
			}
			_ = x.Close()
		}
		must.Eq(t, c.left, left, must.Sprint(c.name))
		must.Eq(t, 0, g.charged, must.Sprint(c.name))
	}
}
