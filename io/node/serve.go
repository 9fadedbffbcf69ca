package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"daisysaddle/io/guard"
)

// Listeners are the addresses on which an entry serves, with their handlers.
type Listeners struct {
	Front        netip.AddrPort
	FrontHandler guard.Handlers
	Ready        netip.AddrPort
	ReadyHandler http.Handler
	Metrics      netip.AddrPort // zero for none
}

const (
	// unreadyPeriod is how long a stopping entry reports that it is unready and still serves, so that the load balancer's
	// two checks, a second apart, fail before connections close.
	unreadyPeriod   = 2600 * time.Millisecond
	shutdownTimeout = 2 * time.Second // for requests in flight; together with unreadyPeriod below the grace period of 6 s
	headerTimeout   = 3 * time.Second
	requestTimeout  = 30 * time.Second // for a whole request with its body; ten times as long as callers wait for an answer
	answerTimeout   = 40 * time.Second // for a whole request with its answer; longer than requestTimeout
	maxHeaderBytes  = 16 << 10
	shutdownReserve = 500 * time.Millisecond // part of the grace period that is left for Run to end
)

// Limits of the servers beside that of the callers, whose requests have a short header and no body.
const (
	internalPart    = 16 // one part in this many of the callers' limits
	internalTimeout = 10 * time.Second
	internalIdle    = 30 * time.Second
)

// newServer returns a server of a port, whose connections obey the limits.
func (n *Node) newServer(port string, l guard.Limits, h guard.Handlers) (*http.Server, *guard.Guard) {
	s := &http.Server{
		ReadHeaderTimeout: headerTimeout, ReadTimeout: internalTimeout, WriteTimeout: internalTimeout, IdleTimeout: internalIdle, MaxHeaderBytes: maxHeaderBytes,
	}
	g := n.newGuard(port, l)
	g.Protect(s, h)
	return s, g
}

// newGuard returns a guard of a port that logs and counts what it does.
func (n *Node) newGuard(port string, l guard.Limits) *guard.Guard {
	g := guard.New(l, time.Now)
	g.Observe = func(e guard.Event) { n.observeGuard(port, e) }
	return g
}

// Serve runs an entry until stop is done, then stops it gracefully within the grace period. It returns an error when an address
// can't be served or the entry fails.
func (n *Node) Serve(stop context.Context, l Listeners, grace time.Duration) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	front, frontGuard := n.newServer("Front", n.Limits, l.FrontHandler)
	front.ReadTimeout, front.WriteTimeout, front.IdleTimeout = requestTimeout, answerTimeout, requestTimeout
	internal := n.Limits.Part(internalPart)
	ready, readyGuard := n.newServer("Ready", internal, guard.Handlers{Serve: l.ReadyHandler, Fields: []string{}})
	metrics, metricsGuard := n.newServer("Metrics", internal, guard.Handlers{Serve: n.MetricsHandler()})
	servers := []struct {
		address netip.AddrPort
		server  *http.Server
		guard   *guard.Guard
	}{{l.Ready, ready, readyGuard}, {l.Front, front, frontGuard}, {l.Metrics, metrics, metricsGuard}}
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		if !s.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", s.address.String())
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		group.Go(func() error {
			if err := s.server.Serve(s.guard.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve on %s", s.address)
			}
			return nil
		})
	}
	group.Go(func() error { return n.Run(ctx) })
	group.Go(func() error {
		select {
		case <-stop.Done():
		case <-ctx.Done():
			return nil
		}
		n.log("Stopping").Dur("Grace", grace).Send()
		n.BeginShutdown()
		sleep(ctx, min(unreadyPeriod, max(0, grace-shutdownTimeout-shutdownReserve)))
		shutdownCtx, cancelShutdown := context.WithTimeout(ctx, shutdownTimeout)
		defer cancelShutdown()
		err := front.Shutdown(shutdownCtx)
		if err != nil {
			n.log("RequestsCut").Err(err).Send()
		}
		_ = ready.Close()   // an unanswered readiness check does no harm
		_ = metrics.Close() // nor does an unanswered scrape
		cancel()
		return nil
	})
	return group.Wait()
}

// guardLogPeriod is the shortest time between two log lines on what the guard of a port did.
const guardLogPeriod = time.Second

// observeGuard counts what the guard of a port did, and logs it at most once in guardLogPeriod for each port and kind.
func (n *Node) observeGuard(port string, e guard.Event) {
	n.metrics.guarded.WithLabelValues(port, e.Kind).Inc()
	n.mu.Lock()
	key := [2]string{port, e.Kind}
	often := n.guardLogged[key]
	if often == nil {
		often = &rate.Sometimes{Interval: guardLogPeriod}
		n.guardLogged[key] = often
	}
	n.mu.Unlock()
	often.Do(func() {
		n.logLimited("CallersGuarded").Str("Port", port).Str("Kind", e.Kind).Int("Connections", e.Connections).Int("Requests", e.Requests).Int64("Bytes", e.Charged).Send()
	})
}

// ReloadOn checks the settings file on each signal until ctx ends and logs the result; the settings read at the start stay in
// force.
func (n *Node) ReloadOn(ctx context.Context, signals <-chan os.Signal, check func() error) {
	n.background.Go(func() error {
		for {
			select {
			case <-signals:
				n.log("Reload").Err(check()).Send()
			case <-ctx.Done():
				return nil
			}
		}
	})
}
