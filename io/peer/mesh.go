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
	"daisysaddle/io/guard"
	"daisysaddle/io/wire"
)

// Mesh maintains the links of one entry.
type Mesh struct {
	Self        Identity
	TLSConfig   *tls.Config
	HandleFrame func(from Identity, frame *wire.Frame) // called for each received frame
	LinkChanged func(peer Identity, up bool)           // called when a link opens or closes
	Handler     http.Handler                           // serves requests that peers forward
	Guard       *guard.Guard                           // limits connections until their peers have proved who they are; nil for no limit
	Requests    *guard.Guard                           // limits the requests that peers forward; nil for no limit
	Refuse      http.Handler                           // answers those that Requests refuses
	NotAccepted func(cause error)                      // called when a connection can't be accepted for now

	mu      sync.Mutex
	links   map[string]*link // by the peer's incarnation
	dialing map[netip.AddrPort]bool
	streams streamListener
	dropped atomic.Uint64
}

const (
	redialDelay      = 300 * time.Millisecond
	acceptRetryDelay = 100 * time.Millisecond
)

// Serve accepts links and forwarded requests until ctx ends.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	m.streams.init()
	if m.Guard != nil {
		listener = m.Guard.Listen(listener)
	}
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: m.Handler, ReadHeaderTimeout: handshakeTimeout}
	streams := net.Listener(&m.streams)
	if m.Requests != nil {
		m.Requests.Protect(server, guard.Handlers{Serve: m.Handler, Refuse: m.Refuse})
		streams = m.Requests.Listen(streams)
	}
	group.Go(func() error { return ignoreClosed(server.Serve(streams)) })
	group.Go(func() error {
		<-ctx.Done()
		_ = listener.Close()
		return ignoreClosed(server.Close())
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			switch {
			case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
				return nil
			case err != nil: // such as for want of descriptors, which others will return
				m.NotAccepted(err)
				select {
				case <-ctx.Done():
				case <-time.After(acceptRetryDelay):
				}
				continue
			}
			group.Go(func() error {
				// An unresponsive peer in the handshake must not delay the shutdown.
				cancelClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
				defer cancelClose()
				l, err := accept(conn, m.TLSConfig, m.Self)
				if err != nil {
					return nil
				}
				if m.Guard != nil {
					m.Guard.Release(conn)
				}
				if m.addLink(l) {
					m.serveLink(ctx, l)
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

// Connect maintains a link to the entry at address, redialing until ctx ends or gone returns true.
func (m *Mesh) Connect(ctx context.Context, address netip.AddrPort, gone func(netip.AddrPort) bool) {
	if address == m.Self.Sender.PeerAddress || !m.claimDial(address) {
		return
	}
	defer m.releaseDial(address)
	for ctx.Err() == nil && !gone(address) {
		if !m.linkedTo(address) {
			if l, err := dial(ctx, address, m.TLSConfig, m.Self); err == nil && m.addLink(l) {
				m.serveLink(ctx, l)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
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

// addLink registers a link and reports whether it is kept. Of two open links with the same peer, the one dialed by the entry
// with the lower incarnation is kept, or the newer one if the same entry dialed both; the other is closed. A link to the entry
// itself is never kept.
func (m *Mesh) addLink(l *link) bool {
	m.mu.Lock()
	if m.links == nil {
		m.links = make(map[string]*link)
	}
	id := l.peer.Sender.Incarnation
	old := m.links[id]
	keep := id != m.Self.Sender.Incarnation && (old == nil || old.session.IsClosed() || l.dialerIncarnation <= old.dialerIncarnation)
	if keep {
		m.links[id] = l
	}
	m.mu.Unlock()
	if !keep {
		l.close()
		return false
	}
	if old != nil {
		old.close()
	}
	m.LinkChanged(l.peer, true)
	return true
}

func (m *Mesh) removeLink(l *link) {
	m.mu.Lock()
	id := l.peer.Sender.Incarnation
	current := m.links[id] == l
	if current {
		delete(m.links, id)
	}
	m.mu.Unlock()
	if current {
		m.LinkChanged(l.peer, false)
	}
}

// Peers returns the identities of all linked entries, in no particular order.
func (m *Mesh) Peers() []Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]Identity, 0, len(m.links))
	for _, l := range m.links {
		peers = append(peers, l.peer)
	}
	return peers
}

// Send queues a frame for a peer, and reports false if there is no link to it or the link's send queue is full.
func (m *Mesh) Send(incarnation string, f *wire.Frame) bool {
	m.mu.Lock()
	l := m.links[incarnation]
	m.mu.Unlock()
	if l == nil {
		return false
	}
	select {
	case l.sendQueue <- f:
		return true
	default:
		m.dropped.Add(1)
		return false
	}
}

// Broadcast queues a frame for every linked peer.
func (m *Mesh) Broadcast(f *wire.Frame) {
	for _, p := range m.Peers() {
		m.Send(p.Sender.Incarnation, f)
	}
}

// DroppedFrames returns the number of frames dropped because a send queue was full.
func (m *Mesh) DroppedFrames() uint64 { return m.dropped.Load() }

// Open opens a stream to an entry for forwarded requests, and fails if there is no link to it.
func (m *Mesh) Open(sender fleet.Sender) (net.Conn, error) {
	m.mu.Lock()
	l := m.links[sender.Incarnation]
	m.mu.Unlock()
	if l == nil {
		return nil, errors.Newf("no link to entry %s", sender.Name)
	}
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open a stream")
	}
	return l.conn.track(stream), nil
}

// streamListener is a net.Listener through which an HTTP server accepts the streams of all links.
type streamListener struct {
	initOnce  sync.Once
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (s *streamListener) init() {
	s.initOnce.Do(func() {
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

// Close makes Accept return net.ErrClosed.
func (s *streamListener) Close() error {
	s.init()
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// Addr returns an empty address, since streams are not accepted on an address.
func (s *streamListener) Addr() net.Addr { return &net.TCPAddr{} }
