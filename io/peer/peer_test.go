package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"daisysaddle/core/fleet"
	"daisysaddle/io/wire"
)

type node struct {
	mesh     *Mesh
	address  netip.AddrPort
	frames   chan *wire.Frame
	up       chan Identity
	shutdown func()
}

func newNode(t *testing.T, name, secret string) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	keys, err := Keys("d", secret)
	must.NoError(t, err)
	n := &node{address: l.Addr().(*net.TCPAddr).AddrPort(), frames: make(chan *wire.Frame, 16), up: make(chan Identity, 16)}
	n.mesh = &Mesh{
		Self:    Identity{Deployment: "d", Zone: "z", Sender: fleet.Sender{Name: name, Incarnation: name, PeerAddress: n.address}},
		Keys:    keys,
		Receive: func(_ Identity, f *wire.Frame) { n.frames <- f },
		Changed: func(p Identity, up bool) {
			if up {
				n.up <- p
			}
		},
		Handler: http.NotFoundHandler(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return n.mesh.Serve(ctx, l) })
	n.shutdown = func() {
		cancel()
		_ = group.Wait()
	}
	t.Cleanup(n.shutdown)
	return n
}

const (
	goodSecret  = "a secret of sixteen"
	otherSecret = "another deployment's"
)

func connect(t *testing.T, from, to *node) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		from.mesh.Connect(ctx, to.address, func(netip.AddrPort) bool { return false })
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
}

func TestPeersLinkOnceAndExchangeFrames(t *testing.T) {
	a, b := newNode(t, "a", goodSecret), newNode(t, "b", goodSecret)
	connect(t, a, b)
	connect(t, b, a)
	must.Eq(t, "b", (<-a.up).Sender.Name)
	must.Eq(t, "a", (<-b.up).Sender.Name)
	for !a.mesh.Send("b", &wire.Frame{Body: &wire.Frame_Status{Status: &wire.Status{ConfigRevision: 7}}}) {
		time.Sleep(time.Millisecond)
	}
	must.Len(t, 1, a.mesh.Peers())
}

func TestPeerOfAnotherDeploymentIsRefused(t *testing.T) {
	b := newNode(t, "b", goodSecret)
	keys, err := Keys("d", otherSecret)
	must.NoError(t, err)
	_, err = dial(t.Context(), b.address, keys, Identity{Deployment: "d", Sender: fleet.Sender{Name: "a", Incarnation: "a"}})
	must.Error(t, err)
	must.SliceEmpty(t, b.mesh.Peers())
}

func TestShortSecretIsRefused(t *testing.T) {
	_, err := Keys("d", "short")
	must.ErrorContains(t, err, "at least 16")
}

// recordingConn keeps what is written to it.
type recordingConn struct {
	net.Conn
	mu   sync.Mutex
	sent []byte
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.sent = append(c.sent, b...)
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// sendRaw opens a link, sends bytes of the test's choice on its control stream, and waits until the peer has closed it.
func sendRaw(t *testing.T, to *node, b []byte) {
	t.Helper()
	keys, err := Keys("d", goodSecret)
	must.NoError(t, err)
	conn, err := tls.Dial("tcp", to.address.String(), keys)
	must.NoError(t, err)
	recording := &recordingConn{Conn: conn}
	session, err := yamux.Client(recording, sessionConfig())
	must.NoError(t, err)
	stream, err := session.Open()
	must.NoError(t, err)
	// The peer may close the link on these bytes before the session reports that they were written.
	if _, err := stream.Write(b); !errors.Is(err, yamux.ErrSessionShutdown) {
		must.NoError(t, err)
	}
	<-session.CloseChan()
	recording.mu.Lock()
	defer recording.mu.Unlock()
	must.True(t, bytes.Contains(recording.sent, b))
}

// TestBadPeers sends what no entry sends; the link must close and others must still be served.
func TestBadPeers(t *testing.T) {
	cases := []struct {
		name string
		send []byte
	}{
		{"garbage", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"frame of 1 GB", binary.AppendUvarint(nil, 1<<30)},
		{"no hello", []byte{2, 0x12, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newNode(t, "b", goodSecret)
			sendRaw(t, b, c.send)
			must.SliceEmpty(t, b.mesh.Peers())
			a := newNode(t, "a", goodSecret)
			connect(t, a, b)
			must.Eq(t, "b", (<-a.up).Sender.Name)
		})
	}
}

func TestOldVersionIsRefused(t *testing.T) {
	b := newNode(t, "b", goodSecret)
	hello := &wire.Hello{Version: protocolVersion + 1, Deployment: "d", Sender: &wire.Sender{Name: "a", Incarnation: "a"}}
	var frame bytes.Buffer
	_, err := protodelim.MarshalTo(&frame, &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}})
	must.NoError(t, err)
	sendRaw(t, b, frame.Bytes())
	must.SliceEmpty(t, b.mesh.Peers())
}

// TestSilentHandshakeDoesNotHoldUpTheEnd: a peer that connects and falls silent, as behind a cut, is dropped when the
// entry ends; the handshake's own time-outs add up to more than the time that a process has to stop.
func TestSilentHandshakeDoesNotHoldUpTheEnd(t *testing.T) {
	n := newNode(t, "a", goodSecret)
	silent, err := net.Dial("tcp", n.address.String())
	must.NoError(t, err)
	defer silent.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts and says nothing
	must.NoError(t, err)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		n.mesh.Connect(ctx, l.Addr().(*net.TCPAddr).AddrPort(), func(netip.AddrPort) bool { return false })
		return nil
	})
	time.Sleep(100 * time.Millisecond) // both handshakes have begun
	began := time.Now()
	cancel()
	n.shutdown()
	must.NoError(t, group.Wait())
	must.Less(t, time.Second, time.Since(began))
}
