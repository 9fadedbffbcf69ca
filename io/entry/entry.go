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
	"daisysaddle/io/guard"
	"daisysaddle/io/peer"
	"daisysaddle/io/proxy"
	"daisysaddle/io/store"
	"daisysaddle/io/wire"
)

// Entry is an entry instance.
type Entry struct {
	settings Settings
	log      zerolog.Logger
	self     fleet.Sender
	client   *store.Client
	mesh     *peer.Mesh
	proxy    *proxy.Proxy
	control  *control
	metrics  *metrics
	guarded  *guardCounters

	callerListener net.Listener
	peerListener   net.Listener
	adminListener  net.Listener
	stop           chan struct{}
	leaseUnneeded  chan struct{} // closed when the lease may be revoked
}

const (
	inboxCapacity     = 1024
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 60 * time.Second

	maxAdminHeaderBytes = 16 << 10
	adminTimeout        = 10 * time.Second
)

// New returns an entry with open listeners, or an error if a setting is invalid or an address is in use. The system
// chooses each port that is 0.
func New(s Settings, log zerolog.Logger) (*Entry, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	keys, err := peer.TLSConfig(s.Deployment, s.Secret)
	if err != nil {
		return nil, err
	}
	newBackend, err := store.Backends.Lookup(s.Backend)
	if err != nil {
		return nil, errors.Wrap(err, "entry settings: Backend")
	}
	e := &Entry{settings: s, log: log, stop: make(chan struct{}), leaseUnneeded: make(chan struct{})}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.self = fleet.Sender{Name: s.Name, Incarnation: s.Name + "-" + uuid.NewString()[:8], PeerAddress: addressOf(e.peerListener)}
	e.client = store.NewClient(newBackend(s.Platform))
	identity := peer.Identity{Deployment: s.Deployment, Zone: s.Zone, Sender: e.self}
	e.guarded = newGuardCounters()
	e.control = newControl(e)
	e.mesh = &peer.Mesh{Self: identity, TLSConfig: keys, Guard: e.newGuard("Peers", s.limits().Unproved(internalPart))}
	e.proxy = proxy.New(e.self, s.Zone, e.mesh, e.control.reportEvent)
	e.proxy.Limit(int(s.memory()/idPart/idBytes), s.memory()/answerPart)
	e.mesh.Handler, e.mesh.Refuse = e.proxy.PeerHandler(), http.HandlerFunc(e.proxy.RefusePeer)
	e.mesh.NotAccepted = func(cause error) {
		e.control.reportEvent(event.Event{Kind: event.CallersGuarded, Detail: "Port=Peers NotAccepted: " + cause.Error()})
	}
	e.mesh.Requests = e.newGuard("Forwarded", s.limits().Forwarded())
	e.mesh.HandleFrame = func(from peer.Identity, f *wire.Frame) { e.control.send(frameArrived{from, f}) }
	e.mesh.LinkChanged = func(p peer.Identity, up bool) { e.control.send(peerChanged{p, up}) }
	e.metrics = newMetrics(e)
	return e, nil
}

func (e *Entry) listen() error {
	for _, l := range []struct {
		address netip.AddrPort
		into    *net.Listener
		key     string
	}{{e.settings.Listen, &e.callerListener, "Listen"}, {e.settings.PeerListen, &e.peerListener, "PeerListen"}, {e.settings.Admin, &e.adminListener, "Admin"}} {
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

// Address returns the address on which the entry serves callers.
func (e *Entry) Address() netip.AddrPort { return addressOf(e.callerListener) }

// PeerAddress returns the address on which the entry serves other entries.
func (e *Entry) PeerAddress() netip.AddrPort { return addressOf(e.peerListener) }

// AdminAddress returns the address on which the entry serves health, metrics and status.
func (e *Entry) AdminAddress() netip.AddrPort { return addressOf(e.adminListener) }

// Sender returns the entry's name and incarnation.
func (e *Entry) Sender() fleet.Sender { return e.self }

// Stop starts a graceful stop; Run returns when it is complete. It must be called at most once.
func (e *Entry) Stop() {
	close(e.stop)
}

// Run serves until a graceful stop is complete or ctx ends, and returns the first error of a server.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	callerServer := &http.Server{
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
	callerGuard := e.newGuard("Callers", e.settings.limits())
	callerGuard.Protect(callerServer, guard.Handlers{Serve: e.proxy, Refuse: http.HandlerFunc(e.proxy.Refuse)})
	adminServer := &http.Server{
		MaxHeaderBytes:    maxAdminHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       adminTimeout,
		WriteTimeout:      adminTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
	adminGuard := e.newGuard("Admin", e.settings.limits().Part(internalPart))
	adminGuard.Protect(adminServer, guard.Handlers{Serve: e.adminHandler()})
	group.Go(func() error { return serve(callerServer, callerGuard.Listen(e.callerListener)) })
	group.Go(func() error { return serve(adminServer, adminGuard.Listen(e.adminListener)) })
	group.Go(func() error { return e.mesh.Serve(ctx, e.peerListener) })
	group.Go(func() error { return e.control.run(ctx) })
	group.Go(func() error { return e.runPlatform(ctx) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-e.stop:
			e.drain(ctx, callerServer)
		}
		return errors.CombineErrors(callerServer.Close(), adminServer.Close())
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
	unreadyDelay    = 300 * time.Millisecond // lets the load balancer see the failed readiness check
	drainPollPeriod = 20 * time.Millisecond
	// removalTimeout bounds the wait for a planner to remove a stopping entry, because the zone may have no planner.
	removalTimeout   = 3 * time.Second
	finalStatusDelay = 200 * time.Millisecond // lets the final status message reach the peers
)

// drain stops the entry gracefully: it reports not ready, then closes the caller listener, then waits for the requests in flight,
// revokes the lease and waits until the entry is removed from the zone's senders.
func (e *Entry) drain(ctx context.Context, callerServer *http.Server) {
	e.control.send(stopRequested{})
	sleep(ctx, unreadyDelay)
	_ = callerServer.Shutdown(ctx) // an error means that ctx ended first, in a forced stop
	for e.proxy.Active() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollPeriod)
	}
	done := make(chan struct{})
	e.control.send(requestsEnded{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	close(e.leaseUnneeded)
	e.awaitRemoval(ctx)
	sleep(ctx, finalStatusDelay)
}

// awaitRemoval waits, for removalTimeout at most, until a planner has removed this entry from the zone's senders.
// Until then peers still ask this entry about the request ids that it owns. A stopping entry does not plan, so another one must.
func (e *Entry) awaitRemoval(ctx context.Context) {
	deadline := time.Now().Add(removalTimeout)
	for time.Now().Before(deadline) {
		isSender := false
		e.control.do(ctx, func() { isSender = e.control.isSender() })
		if !isSender {
			return
		}
		sleep(ctx, drainPollPeriod)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
