package stand

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"daisysaddle/core/audit"
	"daisysaddle/io/proxy"
)

// HeaderNonce is the header with the text that identifies an attempt; targets return it in their answer.
const HeaderNonce = "Daisysaddle-Nonce"

// Mode selects how a target answers requests.
type Mode int32

// Modes of a target.
const (
	Normal   Mode = iota
	FailFast      // answers every request with status 500, without the service time
	Slow          // multiplies the service time by slowFactor
)

// Target is a stand-in for a process that serves requests.
type Target struct {
	Name           string
	Slots          int
	Mean           time.Duration // mean service time
	Record         func(audit.Execution)
	Seed           uint64
	mode           atomic.Int32
	running        atomic.Int64
	overSubscribed atomic.Int64
	mu             sync.Mutex
	random         *rand.Rand
	server         *http.Server
	openConns      connSet
}

const slowFactor = 10

// SetMode changes the mode for requests that arrive from now on.
func (t *Target) SetMode(m Mode) { t.mode.Store(int32(m)) }

// SilenceConnections makes every open connection discard what it receives and sends, without closing the connection.
func (t *Target) SilenceConnections() { t.openConns.silence() }

// OverSubscribed returns the number of requests that were refused because no slot was free.
func (t *Target) OverSubscribed() int64 { return t.overSubscribed.Load() }

// Running returns the number of requests in progress.
func (t *Target) Running() int64 { return t.running.Load() }

// Start listens on the address, serves in a goroutine of the group and returns the address in use.
func (t *Target) Start(group *errgroup.Group, address netip.AddrPort) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	t.random = rand.New(rand.NewPCG(t.Seed, t.Seed^1))
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	group.Go(func() error {
		if err := t.server.Serve(&silentListener{listener, &t.openConns}); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Kill closes the listener and all connections without waiting for requests in progress.
func (t *Target) Kill() {
	_ = t.server.Close()
}

// ServeHTTP runs one request in a slot. With no free slot it refuses the request without running it, with the outcome NotRun.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(proxy.HeaderAttempt, r.Header.Get(proxy.HeaderAttempt))
	if t.running.Add(1) > int64(t.Slots) {
		t.running.Add(-1)
		t.overSubscribed.Add(1)
		w.Header().Set(proxy.HeaderOutcome, string(proxy.NotRun))
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	e := audit.Execution{
		ID:       strings.Trim(r.Header.Get(proxy.HeaderID), `"`),
		Nonce:    r.Header.Get(HeaderNonce),
		Service:  r.Header.Get(proxy.HeaderService),
		Instance: t.Name,
		Started:  time.Now(),
	}
	if t.Record != nil {
		t.Record(e)
	}
	mode := Mode(t.mode.Load())
	if mode == FailFast {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	time.Sleep(t.serviceTime(mode))
	w.Header().Set(HeaderNonce, e.Nonce)
	w.Header().Set("Trailer", "Daisysaddle-Sum")
	_, _ = io.WriteString(w, e.Nonce+"\n") // a write error means that the caller has disconnected
	_, _ = w.Write(body)
	w.Header().Set("Daisysaddle-Sum", e.Nonce)
}

func (t *Target) serviceTime(m Mode) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := time.Duration((0.5 + t.random.Float64()) * float64(t.Mean))
	if m == Slow {
		sample *= slowFactor
	}
	return sample
}

// connSet holds the open connections of a target, so that they can be silenced.
type connSet struct {
	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

func (s *connSet) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

type silentListener struct {
	net.Listener
	openConns *connSet
}

// Accept returns the next connection as a silentConn and adds it to openConns.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, openConns: l.openConns, closed: make(chan struct{})}
	l.openConns.mu.Lock()
	defer l.openConns.mu.Unlock()
	if l.openConns.conns == nil {
		l.openConns.conns = make(map[*silentConn]struct{})
	}
	l.openConns.conns[c] = struct{}{}
	return c, nil
}

// silentConn is a connection that, once silent is set, discards writes and blocks reads until it is closed.
type silentConn struct {
	net.Conn
	openConns *connSet
	silent    atomic.Bool
	once      sync.Once
	closed    chan struct{}
}

// Read reads from the connection; once silent, it blocks until Close.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection; once silent, it discards p and reports success.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from openConns.
func (c *silentConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.openConns.mu.Lock()
		delete(c.openConns.conns, c)
		c.openConns.mu.Unlock()
	})
	return c.Conn.Close()
}
