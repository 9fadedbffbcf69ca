package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"daisysaddle/core/fleet"
	"daisysaddle/io/wire"
)

// Identity is the description that an entry sends of itself when a link opens.
type Identity struct {
	Deployment string
	Zone       string
	Sender     fleet.Sender
	Cores      float64 // processors that it may use; zero if unknown
	LinkMbps   float64 // bandwidth of its network link in Mbit/s; zero if unknown
}

const (
	protocolVersion  = 1
	maxFrameBytes    = 4 << 20
	sendQueueFrames  = 256
	handshakeTimeout = 3 * time.Second
	keepAlivePeriod  = time.Second
	writeTimeout     = 2 * time.Second
	acceptBacklog    = 256
)

// ErrRefused is returned when the peer's first frame is not a hello, or its hello has another protocol version or deployment.
var ErrRefused = errors.New("peer rejected")

// link is an open session with a peer.
type link struct {
	peer              Identity
	dialerIncarnation string // of the entry that dialed
	session           *yamux.Session
	conn              *sessionConn // under the session
	control           net.Conn
	reader            *bufio.Reader
	sendQueue         chan *wire.Frame
	closeOnce         sync.Once
}

func (l *link) close() {
	l.closeOnce.Do(func() { _ = l.session.Close() }) // a close error needs no handling
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = true
	c.KeepAliveInterval = keepAlivePeriod
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = handshakeTimeout
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard
	return c
}

// dial connects to the entry at address and opens a link.
func dial(ctx context.Context, address netip.AddrPort, tlsConfig *tls.Config, self Identity) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dialer := tls.Dialer{Config: tlsConfig}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", address)
	}
	cancelClose := context.AfterFunc(ctx, func() { _ = conn.Close() }) // aborts the handshake when ctx ends
	defer cancelClose()
	under := &sessionConn{Conn: conn}
	session, err := yamux.Client(under, sessionConfig())
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	control, err := session.OpenStream()
	if err != nil {
		return nil, errors.CombineErrors(err, session.Close())
	}
	return handshake(session, under, control, self, self.Sender.Incarnation)
}

// accept opens a link on a connection from a peer.
func accept(conn net.Conn, tlsConfig *tls.Config, self Identity) (*link, error) {
	tlsConn := tls.Server(conn, tlsConfig)
	if err := tlsConn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	if err := tlsConn.Handshake(); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "peer handshake"), conn.Close())
	}
	if err := tlsConn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	under := &sessionConn{Conn: tlsConn}
	session, err := yamux.Server(under, sessionConfig())
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	control, err := session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "accept control stream"), session.Close())
	}
	return handshake(session, under, control, self, "")
}

func handshake(session *yamux.Session, conn *sessionConn, controlStream *yamux.Stream, self Identity, dialerIncarnation string) (*link, error) {
	control := conn.track(controlStream)
	l := &link{session: session, conn: conn, control: control, reader: bufio.NewReader(control), sendQueue: make(chan *wire.Frame, sendQueueFrames), dialerIncarnation: dialerIncarnation}
	err := l.exchangeHello(self)
	if err != nil {
		l.close()
		return nil, err
	}
	if l.dialerIncarnation == "" {
		l.dialerIncarnation = l.peer.Sender.Incarnation
	}
	return l, nil
}

func (l *link) exchangeHello(self Identity) error {
	if err := l.control.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "set handshake deadline")
	}
	hello := &wire.Hello{Version: protocolVersion, Deployment: self.Deployment, Zone: self.Zone, Sender: ToWire(self.Sender), Cores: self.Cores, LinkMbps: self.LinkMbps}
	if err := l.write(&wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}); err != nil {
		return err
	}
	frame, err := l.read()
	if err != nil {
		return err
	}
	peerHello := frame.GetHello()
	switch {
	case peerHello == nil:
		return errors.Wrap(ErrRefused, "first frame is not a hello")
	case peerHello.GetVersion() != protocolVersion:
		return errors.Wrapf(ErrRefused, "protocol version %d: want %d", peerHello.GetVersion(), protocolVersion)
	case peerHello.GetDeployment() != self.Deployment:
		return errors.Wrapf(ErrRefused, "deployment %q: want %q", peerHello.GetDeployment(), self.Deployment)
	}
	l.peer = Identity{
		Deployment: peerHello.GetDeployment(), Zone: peerHello.GetZone(), Sender: FromWire(peerHello.GetSender()),
		Cores: peerHello.GetCores(), LinkMbps: peerHello.GetLinkMbps(),
	}
	return errors.Wrap(l.control.SetDeadline(time.Time{}), "clear handshake deadline")
}

func (l *link) read() (*wire.Frame, error) {
	frame := &wire.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	return frame, errors.Wrap(options.UnmarshalFrom(l.reader, frame), "read frame")
}

func (l *link) write(f *wire.Frame) error {
	_, err := protodelim.MarshalTo(l.control, f)
	return errors.Wrap(err, "write frame")
}

// sendQueued writes queued frames to the control stream until the session ends or a write fails.
func (l *link) sendQueued() error {
	for {
		select {
		case <-l.session.CloseChan():
			return nil
		case frame := <-l.sendQueue:
			if err := l.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return errors.Wrap(err, "set write deadline")
			}
			if err := l.write(frame); err != nil {
				l.close()
				return nil
			}
		}
	}
}

// ToWire converts a sender to its wire message.
func ToWire(s fleet.Sender) *wire.Sender {
	return &wire.Sender{Name: s.Name, Incarnation: s.Incarnation, PeerAddress: s.PeerAddress.String()}
}

// FromWire converts a wire message to a sender; an invalid address becomes the zero address.
func FromWire(s *wire.Sender) fleet.Sender {
	address, _ := netip.ParseAddrPort(s.GetPeerAddress())
	return fleet.Sender{Name: s.GetName(), Incarnation: s.GetIncarnation(), PeerAddress: address}
}

// serveLink passes received frames to HandleFrame and accepted streams to the HTTP server until the link closes or ctx ends, and
// then removes the link.
func (m *Mesh) serveLink(ctx context.Context, l *link) {
	defer l.close()
	defer m.removeLink(l)
	var group errgroup.Group
	group.Go(l.sendQueued)
	group.Go(func() error { return m.acceptStreams(l) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			l.close()
		case <-l.session.CloseChan():
		}
		return nil
	})
	for {
		frame, err := l.read()
		if err != nil {
			break
		}
		m.HandleFrame(l.peer, frame)
	}
	l.close()
	_ = group.Wait() // the goroutines end when the session closes
}

func (m *Mesh) acceptStreams(l *link) error {
	for {
		stream, err := l.session.AcceptStream()
		if err != nil {
			return nil
		}
		m.streams.deliver(l.conn.track(stream))
	}
}
