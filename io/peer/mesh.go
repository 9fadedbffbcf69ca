package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/fleet"
	"daisysaddle/io/wire"
)

// Mesh keeps the links of one entry.
type Mesh struct {
	Self    Identity
	Keys    *tls.Config
	Receive func(from Identity, frame *wire.Frame)
	Changed func(peer Identity, up bool)
	Handler http.Handler // serves forwarded requests

	mu      sync.Mutex
	links   map[string]*link // by incarnation
	dialing map[netip.AddrPort]bool
	streams streamListener
	dropped atomic.Uint64
}

const redialPeriod = 300 * time.Millisecond

// Serve accepts links and forwarded requests until ctx ends.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	m.streams.init()
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: m.Handler, ReadHeaderTimeout: handshakeTimeout}
	group.Go(func() error { return ignoreClosed(server.Serve(&m.streams)) })
	group.Go(func() error {
		<-ctx.Done()
		_ = listener.Close()
		return ignoreClosed(server.Close())
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return ignoreClosed(err)
			}
			group.Go(func() error {
				// A peer that falls silent in the handshake must not hold up the end of the process.
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				defer stop()
				if l, err := accept(conn, m.Keys, m.Self); err == nil && m.adopt(l) {
					m.run(ctx, l)
				}
				return nil
			})
		}
	})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Connect keeps a link to the entry at address until ctx ends or forget reports true.
func (m *Mesh) Connect(ctx context.Context, address netip.AddrPort, forget func(netip.AddrPort) bool) {
	if address == m.Self.Sender.PeerAddress || !m.claimDial(address) {
		return
	}
	defer m.releaseDial(address)
	for ctx.Err() == nil && !forget(address) {
		if !m.linkedTo(address) {
			if l, err := dial(ctx, address, m.Keys, m.Self); err == nil && m.adopt(l) {
				m.run(ctx, l)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPeriod):
		}
	}
}

func (m *Mesh) claimDial(address netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dialing == nil {
		m.dialing = make(map[netip.AddrPort]bool)
	}
	if m.dialing[address] {
		return false
	}
	m.dialing[address] = true
	return true
}

func (m *Mesh) releaseDial(address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.dialing, address)
}

func (m *Mesh) linkedTo(address netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.peer.Sender.PeerAddress == address {
			return true
		}
	}
	return false
}

// adopt stores a new link unless an older one with the same peer wins.
func (m *Mesh) adopt(l *link) bool {
	m.mu.Lock()
	if m.links == nil {
		m.links = make(map[string]*link)
	}
	id := l.peer.Sender.Incarnation
	old := m.links[id]
	wins := id != m.Self.Sender.Incarnation && (old == nil || old.session.IsClosed() || l.dialer <= old.dialer)
	if wins {
		m.links[id] = l
	}
	m.mu.Unlock()
	if !wins {
		l.close()
		return false
	}
	if old != nil {
		old.close()
	}
	m.Changed(l.peer, true)
	return true
}

func (m *Mesh) forget(l *link) {
	m.mu.Lock()
	id := l.peer.Sender.Incarnation
	current := m.links[id] == l
	if current {
		delete(m.links, id)
	}
	m.mu.Unlock()
	if current {
		m.Changed(l.peer, false)
	}
}

// Peers returns the identities of all linked entries.
func (m *Mesh) Peers() []Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]Identity, 0, len(m.links))
	for _, l := range m.links {
		peers = append(peers, l.peer)
	}
	return peers
}

// Send queues a frame for one peer and reports whether there was a link with room.
func (m *Mesh) Send(incarnation string, f *wire.Frame) bool {
	m.mu.Lock()
	l := m.links[incarnation]
	m.mu.Unlock()
	if l == nil {
		return false
	}
	select {
	case l.outbox <- f:
		return true
	default:
		m.dropped.Add(1)
		return false
	}
}

// Broadcast queues a frame for every peer.
func (m *Mesh) Broadcast(f *wire.Frame) {
	for _, p := range m.Peers() {
		m.Send(p.Sender.Incarnation, f)
	}
}

// Dropped returns the number of frames that found a full queue.
func (m *Mesh) Dropped() uint64 { return m.dropped.Load() }

// Open opens a stream for a forwarded request.
func (m *Mesh) Open(sender fleet.Sender) (net.Conn, error) {
	m.mu.Lock()
	l := m.links[sender.Incarnation]
	m.mu.Unlock()
	if l == nil {
		return nil, errors.Newf("no link to entry %s", sender.Name)
	}
	return l.session.Open()
}

// streamListener hands forwarded requests to an HTTP server.
type streamListener struct {
	once   sync.Once
	conns  chan net.Conn
	closed chan struct{}
	stop   sync.Once
}

func (s *streamListener) init() {
	s.once.Do(func() {
		s.conns = make(chan net.Conn)
		s.closed = make(chan struct{})
	})
}

func (s *streamListener) deliver(conn net.Conn) {
	s.init()
	select {
	case s.conns <- conn:
	case <-s.closed:
		_ = conn.Close()
	}
}

// Accept returns the next stream.
func (s *streamListener) Accept() (net.Conn, error) {
	s.init()
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (s *streamListener) Close() error {
	s.init()
	s.stop.Do(func() { close(s.closed) })
	return nil
}

// Addr returns the address of the listener, which has none of its own.
func (s *streamListener) Addr() net.Addr { return &net.TCPAddr{} }
