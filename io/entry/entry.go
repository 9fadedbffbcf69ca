package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/io/peer"
	"daisysaddle/io/proxy"
	"daisysaddle/io/store"
	"daisysaddle/io/wire"
)

// Entry is one entry instance.
type Entry struct {
	settings Settings
	log      zerolog.Logger
	self     fleet.Sender
	client   *store.Client
	mesh     *peer.Mesh
	proxy    *proxy.Proxy
	control  *control
	metrics  *metrics

	callers net.Listener
	peers   net.Listener
	admin   net.Listener
	stop    chan struct{}
	release chan struct{} // closed when the lease is no longer needed
}

const (
	inboxMessages     = 1024
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
)

// New opens the listeners of an entry; ports of zero are chosen by the system.
func New(s Settings, log zerolog.Logger) (*Entry, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	keys, err := peer.Keys(s.Deployment, s.Secret)
	if err != nil {
		return nil, err
	}
	backends, err := store.Backends.Lookup(s.Backend)
	if err != nil {
		return nil, errors.Wrap(err, "entry settings: Backend")
	}
	e := &Entry{settings: s, log: log, stop: make(chan struct{}), release: make(chan struct{})}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.self = fleet.Sender{Name: s.Name, Incarnation: s.Name + "-" + uuid.NewString()[:8], PeerAddress: addressOf(e.peers)}
	e.client = store.NewClient(backends(s.Platform))
	identity := peer.Identity{Deployment: s.Deployment, Zone: s.Zone, Sender: e.self}
	e.mesh = &peer.Mesh{Self: identity, Keys: keys}
	e.control = newControl(e)
	e.proxy = proxy.New(e.self, s.Zone, e.mesh, e.control.trafficEvent)
	e.mesh.Handler = e.proxy.PeerHandler()
	e.mesh.Receive = func(from peer.Identity, f *wire.Frame) { e.control.send(frameArrived{from, f}) }
	e.mesh.Changed = func(p peer.Identity, up bool) { e.control.send(peerChanged{p, up}) }
	e.metrics = newMetrics(e)
	return e, nil
}

func (e *Entry) listen() error {
	for _, l := range []struct {
		address netip.AddrPort
		into    *net.Listener
		key     string
	}{{e.settings.Listen, &e.callers, "Listen"}, {e.settings.PeerListen, &e.peers, "PeerListen"}, {e.settings.Admin, &e.admin, "Admin"}} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return errors.Wrapf(err, "entry settings: %s", l.key)
		}
		*l.into = listener
	}
	return nil
}

func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Address returns where the entry serves callers.
func (e *Entry) Address() netip.AddrPort { return addressOf(e.callers) }

// PeerAddress returns where the entry serves its peers.
func (e *Entry) PeerAddress() netip.AddrPort { return addressOf(e.peers) }

// AdminAddress returns where the entry serves health, metrics and status.
func (e *Entry) AdminAddress() netip.AddrPort { return addressOf(e.admin) }

// Sender returns the entry's name and incarnation.
func (e *Entry) Sender() fleet.Sender { return e.self }

// Stop begins a graceful stop; Run returns when it is complete.
func (e *Entry) Stop() {
	close(e.stop)
}

// Run serves until Stop was called and the work in flight has ended, or ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	callers := &http.Server{
		Handler:           e.proxy,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
	admin := &http.Server{Handler: e.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return serve(callers, e.callers) })
	group.Go(func() error { return serve(admin, e.admin) })
	group.Go(func() error { return e.mesh.Serve(ctx, e.peers) })
	group.Go(func() error { return e.control.run(ctx) })
	group.Go(func() error { return e.runPlatform(ctx) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-e.stop:
			e.drain(ctx, callers)
		}
		return errors.CombineErrors(callers.Close(), admin.Close())
	})
	e.log.Info().Str("Event", string(event.EntryStarted)).Str("Listen", e.Address().String()).Msg("")
	return group.Wait()
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

const (
	unreadyPeriod = 300 * time.Millisecond // time for the balancer to notice
	drainPoll     = 20 * time.Millisecond
	// removalTimeout bounds the wait of an entry that stops while nobody plans its zone.
	removalTimeout = 3 * time.Second
	lastStatus     = 200 * time.Millisecond // time for the final status to reach the peers
)

// drain ends the entry's part in serving: unready first, then no new work, then the work in flight.
func (e *Entry) drain(ctx context.Context, callers *http.Server) {
	e.control.send(stopRequested{})
	pause(ctx, unreadyPeriod)
	_ = callers.Shutdown(ctx) // ends with ctx, when the entry is stopped by force
	for e.proxy.Active() > 0 && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
	done := make(chan struct{})
	e.control.send(drained{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	close(e.release)
	e.awaitRemoval(ctx)
	pause(ctx, lastStatus)
}

// awaitRemoval keeps answering for the request ids that this entry owns until another planner has
// taken it out of the zone's senders.
func (e *Entry) awaitRemoval(ctx context.Context) {
	deadline := time.Now().Add(removalTimeout)
	for time.Now().Before(deadline) {
		listed := false
		e.control.ask(ctx, func() { listed = e.control.isSender() })
		if !listed {
			return
		}
		pause(ctx, drainPoll)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
