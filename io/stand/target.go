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

// HeaderNonce carries the unique text of an attempt, which targets echo in their answer.
const HeaderNonce = "Daisysaddle-Nonce"

// Mode is how a target behaves.
type Mode int32

// Modes of a target.
const (
	Normal   Mode = iota
	FailFast      // answers every request at once with an error
	Slow          // takes ten times as long
)

// Target is a stand-in for a worker that serves requests.
type Target struct {
	Name    string
	Slots   int
	Mean    time.Duration // mean service time
	Record  func(audit.Execution)
	Seed    uint64
	mode    atomic.Int32
	running atomic.Int64
	over    atomic.Int64
	mu      sync.Mutex
	random  *rand.Rand
	server  *http.Server
	conns   silencer
}

const slowFactor = 10

// SetMode changes how the target behaves from now on.
func (t *Target) SetMode(m Mode) { t.mode.Store(int32(m)) }

// SilenceConnections makes every connection that is open now go silent for good.
func (t *Target) SilenceConnections() { t.conns.silence() }

// OverSubscribed returns how many requests found no free slot.
func (t *Target) OverSubscribed() int64 { return t.over.Load() }

// Running returns the number of requests that run now.
func (t *Target) Running() int64 { return t.running.Load() }

// Start serves on the address within the group and returns the address in use.
func (t *Target) Start(group *errgroup.Group, address netip.AddrPort) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	t.random = rand.New(rand.NewPCG(t.Seed, t.Seed^1))
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	group.Go(func() error {
		if err := t.server.Serve(&silentListener{listener, &t.conns}); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Kill ends the target at once.
func (t *Target) Kill() {
	_ = t.server.Close()
}

// ServeHTTP runs one request in a slot, or refuses it truthfully.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(proxy.HeaderAttempt, r.Header.Get(proxy.HeaderAttempt))
	if t.running.Add(1) > int64(t.Slots) {
		t.running.Add(-1)
		t.over.Add(1)
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
	_, _ = io.WriteString(w, e.Nonce+"\n") // a caller that has left reads nothing
	_, _ = w.Write(body)
	w.Header().Set("Daisysaddle-Sum", e.Nonce)
}

func (t *Target) serviceTime(m Mode) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	took := time.Duration((0.5 + t.random.Float64()) * float64(t.Mean))
	if m == Slow {
		took *= slowFactor
	}
	return took
}

// silencer marks connections that must go silent.
type silencer struct {
	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

type silentListener struct {
	net.Listener
	silencer *silencer
}

// Accept wraps the next connection.
func (l *silentListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: raw, silencer: l.silencer, done: make(chan struct{})}
	l.silencer.mu.Lock()
	defer l.silencer.mu.Unlock()
	if l.silencer.conns == nil {
		l.silencer.conns = make(map[*silentConn]struct{})
	}
	l.silencer.conns[c] = struct{}{}
	return c, nil
}

// silentConn swallows what is written and delivers nothing once it is silent.
type silentConn struct {
	net.Conn
	silencer *silencer
	silent   atomic.Bool
	once     sync.Once
	done     chan struct{}
}

// Read delivers bytes until the connection goes silent.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends bytes until the connection goes silent.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close ends the connection.
func (c *silentConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.silencer.mu.Lock()
		delete(c.silencer.conns, c)
		c.silencer.mu.Unlock()
	})
	return c.Conn.Close()
}
