package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"daisysaddle/core/event"
	"daisysaddle/io/guard"
)

// guardLogPeriod is the shortest time between two log lines on what the guard of a port did.
const guardLogPeriod = time.Second

// guardCounters counts what the guards of the ports did.
type guardCounters struct {
	*prometheus.CounterVec

	mu     sync.Mutex
	logged map[[2]string]*rate.Sometimes // by port and kind
}

func newGuardCounters() *guardCounters {
	return &guardCounters{
		CounterVec: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisysaddle_guard_total", Help: "Connections, requests and reads that were closed or refused for lack of memory or descriptors, by port and kind.",
		}, []string{"port", "kind"}),
		logged: make(map[[2]string]*rate.Sometimes),
	}
}

// newGuard returns a guard of a port that counts what it does, and logs it at most once in guardLogPeriod for each kind.
func (e *Entry) newGuard(port string, l guard.Limits) *guard.Guard {
	g := guard.New(l, time.Now)
	g.Observe = func(o guard.Event) {
		e.guarded.WithLabelValues(port, o.Kind).Inc()
		e.guarded.often(port, o.Kind).Do(func() {
			// The control goroutine writes the log line, since a guard must not wait for the reader of the log.
			e.control.reportEvent(event.Event{Kind: event.CallersGuarded, Detail: fmt.Sprintf("Port=%s Kind=%s Connections=%d Requests=%d Bytes=%d", port, o.Kind, o.Connections, o.Requests, o.Charged)})
		})
	}
	return g
}

func (c *guardCounters) often(port, kind string) *rate.Sometimes {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]string{port, kind}
	if c.logged[key] == nil {
		c.logged[key] = &rate.Sometimes{Interval: guardLogPeriod}
	}
	return c.logged[key]
}
