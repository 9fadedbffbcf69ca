package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
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

type testEntry struct {
	mesh     *Mesh
	address  netip.AddrPort
	frames   chan *wire.Frame
	up       chan Identity
	shutdown func()
}

func newTestEntry(t *testing.T, name, secret string) *testEntry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return newTestEntryAt(t, name, secret, l)
}

func newTestEntryAt(t *testing.T, name, secret string, l net.Listener) *testEntry {
	t.Helper()
	keys, err := TLSConfig("d", secret)
	must.NoError(t, err)
	n := &testEntry{address: l.Addr().(*net.TCPAddr).AddrPort(), frames: make(chan *wire.Frame, 16), up: make(chan Identity, 16)}
	n.mesh = &Mesh{
		Self:        Identity{Deployment: "d", Zone: "z", Sender: fleet.Sender{Name: name, Incarnation: name, PeerAddress: n.address}},
		TLSConfig:   keys,
		HandleFrame: func(_ Identity, f *wire.Frame) { n.frames <- f },
		LinkChanged: func(p Identity, up bool) {
			if up {
				n.up <- p
			}
		},
		Handler:     http.NotFoundHandler(),
		NotAccepted: func(error) {},
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
	deploymentSecret = "a secret of sixteen"
	otherSecret      = "another deployment's"
)

func keepConnected(t *testing.T, from, to *testEntry) {
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
	a, b := newTestEntry(t, "a", deploymentSecret), newTestEntry(t, "b", deploymentSecret)
	keepConnected(t, a, b)
	keepConnected(t, b, a)
	must.Eq(t, "b", (<-a.up).Sender.Name)
	must.Eq(t, "a", (<-b.up).Sender.Name)
	for !a.mesh.Send("b", &wire.Frame{Body: &wire.Frame_Status{Status: &wire.Status{ConfigRevision: 7}}}) {
		time.Sleep(time.Millisecond)
	}
	must.Len(t, 1, a.mesh.Peers())
}

func TestPeerOfAnotherDeploymentIsRefused(t *testing.T) {
	b := newTestEntry(t, "b", deploymentSecret)
	keys, err := TLSConfig("d", otherSecret)
	must.NoError(t, err)
	_, err = dial(t.Context(), b.address, keys, Identity{Deployment: "d", Sender: fleet.Sender{Name: "a", Incarnation: "a"}})
	must.Error(t, err)
	must.SliceEmpty(t, b.mesh.Peers())
}

// fullListener can accept no connection for a while, as when no descriptor is left.
type fullListener struct {
	net.Listener
	failures int
}

// Accept fails, or returns the next connection.
func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestLinksAfterDescriptorsRanOut guards against an entry that accepts no links any more once it had no descriptor for one.
func TestLinksAfterDescriptorsRanOut(t *testing.T) {
	a := newTestEntry(t, "a", deploymentSecret)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	b := newTestEntryAt(t, "b", deploymentSecret, &fullListener{l, 3})
	keepConnected(t, a, b)
	must.Eq(t, "b", (<-a.up).Sender.Name)
}

func TestShortSecretIsRefused(t *testing.T) {
	_, err := TLSConfig("d", "short")
	must.ErrorContains(t, err, "at least 16")
}

// recordingConn is a connection that records the bytes written to it.
type recordingConn struct {
	net.Conn
	mu      sync.Mutex
	written []byte
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.written = append(c.written, b...)
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// sendRawBytes opens a session, writes payload to the control stream instead of frames, and waits for the peer to close the session.
func sendRawBytes(t *testing.T, to *testEntry, payload []byte) {
	t.Helper()
	keys, err := TLSConfig("d", deploymentSecret)
	must.NoError(t, err)
	conn, err := tls.Dial("tcp", to.address.String(), keys)
	must.NoError(t, err)
	recorder := &recordingConn{Conn: conn}
	session, err := yamux.Client(recorder, sessionConfig())
	must.NoError(t, err)
	stream, err := session.Open()
	must.NoError(t, err)
	// The peer may close the session on these bytes before the write returns.
	if _, err := stream.Write(payload); !errors.Is(err, yamux.ErrSessionShutdown) {
		must.NoError(t, err)
	}
	<-session.CloseChan()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	must.True(t, bytes.Contains(recorder.written, payload))
}

// TestInvalidBytesCloseTheLink sends bytes that no entry sends. The link must be closed, and other entries must still be able to link.
func TestInvalidBytesCloseTheLink(t *testing.T) {
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
			b := newTestEntry(t, "b", deploymentSecret)
			sendRawBytes(t, b, c.send)
			must.SliceEmpty(t, b.mesh.Peers())
			a := newTestEntry(t, "a", deploymentSecret)
			keepConnected(t, a, b)
			must.Eq(t, "b", (<-a.up).Sender.Name)
		})
	}
}

func TestOtherProtocolVersionIsRefused(t *testing.T) {
	b := newTestEntry(t, "b", deploymentSecret)
	hello := &wire.Hello{Version: protocolVersion + 1, Deployment: "d", Sender: &wire.Sender{Name: "a", Incarnation: "a"}}
	var frame bytes.Buffer
	_, err := protodelim.MarshalTo(&frame, &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}})
	must.NoError(t, err)
	sendRawBytes(t, b, frame.Bytes())
	must.SliceEmpty(t, b.mesh.Peers())
}

// TestSilentHandshakeDoesNotDelayShutdown checks that a shutdown aborts handshakes with unresponsive peers, as after a network
// partition. The timeouts of the handshake's steps add up to more than the time that a process has to stop.
func TestSilentHandshakeDoesNotDelayShutdown(t *testing.T) {
	n := newTestEntry(t, "a", deploymentSecret)
	silent, err := net.Dial("tcp", n.address.String())
	must.NoError(t, err)
	defer silent.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0") // connections open but stay unanswered
	must.NoError(t, err)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		n.mesh.Connect(ctx, l.Addr().(*net.TCPAddr).AddrPort(), func(netip.AddrPort) bool { return false })
		return nil
	})
	time.Sleep(100 * time.Millisecond) // lets both handshakes begin
	began := time.Now()
	cancel()
	n.shutdown()
	must.NoError(t, group.Wait())
	must.Less(t, time.Second, time.Since(began))
}
