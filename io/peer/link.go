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

// Identity is what an entry says of itself when a link opens.
type Identity struct {
	Deployment string
	Zone       string
	Sender     fleet.Sender
	Cores      float64 // processors that it may use; zero when not known
	LinkMbps   float64 // megabits a second of its network link; zero when not known
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

// ErrRefused reports a peer that may not be linked.
var ErrRefused = errors.New("peer refused")

// link is one open session with a peer.
type link struct {
	peer    Identity
	dialer  string // incarnation of the side that dialled
	session *yamux.Session
	control net.Conn
	reader  *bufio.Reader
	outbox  chan *wire.Frame
	closing sync.Once
}

func (l *link) close() {
	l.closing.Do(func() { _ = l.session.Close() }) // a close error leaves nothing to do
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

// dial opens a link to the entry at address.
func dial(ctx context.Context, address netip.AddrPort, keys *tls.Config, self Identity) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dialer := tls.Dialer{Config: keys}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the handshake ends with ctx, too
	defer stop()
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	control, err := session.Open()
	if err != nil {
		return nil, errors.CombineErrors(err, session.Close())
	}
	return handshake(session, control, self, self.Sender.Incarnation)
}

// accept answers a peer that dialled.
func accept(conn net.Conn, keys *tls.Config, self Identity) (*link, error) {
	secured := tls.Server(conn, keys)
	if err := secured.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	if err := secured.Handshake(); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "peer handshake"), conn.Close())
	}
	if err := secured.SetDeadline(time.Time{}); err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	session, err := yamux.Server(secured, sessionConfig())
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	control, err := session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "accept control stream"), session.Close())
	}
	return handshake(session, control, self, "")
}

func handshake(session *yamux.Session, control net.Conn, self Identity, dialer string) (*link, error) {
	l := &link{session: session, control: control, reader: bufio.NewReader(control), outbox: make(chan *wire.Frame, sendQueueFrames), dialer: dialer}
	err := l.exchangeHello(self)
	if err != nil {
		l.close()
		return nil, err
	}
	if l.dialer == "" {
		l.dialer = l.peer.Sender.Incarnation
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
	theirs := frame.GetHello()
	switch {
	case theirs == nil:
		return errors.Wrap(ErrRefused, "first frame is no hello")
	case theirs.GetVersion() != protocolVersion:
		return errors.Wrapf(ErrRefused, "protocol version %d: want %d", theirs.GetVersion(), protocolVersion)
	case theirs.GetDeployment() != self.Deployment:
		return errors.Wrapf(ErrRefused, "deployment %q: want %q", theirs.GetDeployment(), self.Deployment)
	}
	l.peer = Identity{
		Deployment: theirs.GetDeployment(), Zone: theirs.GetZone(), Sender: FromWire(theirs.GetSender()),
		Cores: theirs.GetCores(), LinkMbps: theirs.GetLinkMbps(),
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

// pump sends queued frames until the session ends.
func (l *link) pump() error {
	for {
		select {
		case <-l.session.CloseChan():
			return nil
		case frame := <-l.outbox:
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

// ToWire converts a sender to its message.
func ToWire(s fleet.Sender) *wire.Sender {
	return &wire.Sender{Name: s.Name, Incarnation: s.Incarnation, PeerAddress: s.PeerAddress.String()}
}

// FromWire converts a message to a sender; an invalid address becomes the zero address.
func FromWire(s *wire.Sender) fleet.Sender {
	address, _ := netip.ParseAddrPort(s.GetPeerAddress())
	return fleet.Sender{Name: s.GetName(), Incarnation: s.GetIncarnation(), PeerAddress: address}
}

// run serves a link until it ends.
func (m *Mesh) run(ctx context.Context, l *link) {
	defer l.close()
	defer m.forget(l)
	var group errgroup.Group
	group.Go(l.pump)
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
		m.Receive(l.peer, frame)
	}
	l.close()
	_ = group.Wait() // the goroutines end without errors when the session closes
}

func (m *Mesh) acceptStreams(l *link) error {
	for {
		stream, err := l.session.Accept()
		if err != nil {
			return nil
		}
		m.streams.deliver(stream)
	}
}
