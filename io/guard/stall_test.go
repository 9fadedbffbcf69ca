package guard

import (
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scan returns the connections that evictOne may close, found by a look at each: those of the class without progress for the longest time.
func scan(g *Guard, now time.Time, of stallClass) (worst []*conn) {
	for c := range g.conns {
		class := anyClass
		if c.charged > 0 {
			class |= chargedClass
		}
		if c.working {
			class |= workingClass
		}
		if !c.waits() || class&of != of || now.Sub(c.progressAt) < stallTime {
			continue
		}
		if len(worst) > 0 && c.progressAt.Before(worst[0].progressAt) {
			worst = nil
		}
		if len(worst) == 0 || c.progressAt.Equal(worst[0].progressAt) {
			worst = append(worst, c)
		}
	}
	return worst
}

// TestHeapsFindWhatAScanFinds checks random histories of connections: the one that gives way is one that a look at all of them finds, and the sums
// agree with the connections.
func TestHeapsFindWhatAScanFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		g := New(Limits{}, func() time.Time { return now })
		conns := make([]*conn, 8)
		for i := range conns {
			near, far := net.Pipe()
			defer far.Close()
			conns[i] = &conn{Conn: near, guard: g, inHeader: true}
			g.add(conns[i])
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			c := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				g.receive(c, rapid.IntRange(1, 2*progressBytes).Draw(t, "bytes"), rapid.Int64Range(0, 100).Draw(t, "cost"))
			case 1:
				if !c.working {
					g.begin(c, rapid.Bool().Draw(t, "keep"))
				}
			case 2:
				if c.working {
					g.end(c, rapid.Bool().Draw(t, "rest"))
				}
			case 3:
				g.idle(c)
			case 4:
				if c.working {
					g.wait(c, !c.reading, false)
				}
			case 5:
				if c.writing == 0 {
					g.wait(c, true, true)
				} else {
					g.wait(c, false, true)
				}
			case 6:
				of := rapid.SampledFrom([]stallClass{anyClass, chargedClass, workingClass}).Draw(t, "class")
				want := scan(g, now, of)
				g.mu.Lock()
				found := g.evictOne(now, of)
				g.mu.Unlock()
				gone := 0
				for _, x := range want {
					if !g.conns[x] {
						gone++
					}
				}
				if found != (len(want) > 0) || found && gone != 1 {
					t.Fatalf("evicted %v, %d of %d candidates are gone", found, gone, len(want))
				}
			default:
				_ = c.Close()
			}
			charged, working := int64(0), 0
			for x := range g.conns {
				charged += x.charged
				if x.working {
					working++
				}
			}
			if charged != g.charged || working != g.requests {
				t.Fatalf("sums %d and %d: want %d and %d", g.charged, g.requests, charged, working)
			}
		}
	})
}
