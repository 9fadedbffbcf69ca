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
)

// Listeners are the addresses on which an entry serves, with their handlers.
type Listeners struct {
	Front        netip.AddrPort
	FrontHandler http.Handler
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
	maxHeaderBytes  = 16 << 10
	shutdownReserve = 500 * time.Millisecond // part of the grace period that is left for Run to end
)

// Serve runs an entry until stop is done, then stops it gracefully within the grace period. It returns an error when an address
// can't be served or the entry fails.
func (n *Node) Serve(stop context.Context, l Listeners, grace time.Duration) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	front := &http.Server{Handler: l.FrontHandler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	ready := &http.Server{Handler: l.ReadyHandler, ReadHeaderTimeout: headerTimeout}
	metrics := &http.Server{Handler: n.MetricsHandler(), ReadHeaderTimeout: headerTimeout}
	servers := []struct {
		address netip.AddrPort
		server  *http.Server
	}{{l.Ready, ready}, {l.Front, front}, {l.Metrics, metrics}}
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
			if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
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
