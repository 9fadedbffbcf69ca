package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"daisysaddle/core/admit"
	"daisysaddle/core/config"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/core/flow"
	"daisysaddle/core/route"
)

// Route is the service with its targets in this zone and the entries it may spill to.
type Route struct {
	Service config.Service
	Pool    string
	Targets []TargetSpec
	Spill   Spill
}

// Spill names the entries that may take a request when this one has no room.
type Spill struct {
	Near []fleet.Sender // of the own zone
	Far  []fleet.Sender // of other zones
}

// Table is all that the control thread tells the traffic threads.
type Table struct {
	Ready       bool
	Policies    config.Policies
	Teams       []config.Team
	Routes      []Route
	Rings       map[string]Ring
	Window      time.Duration // how long a request id is remembered
	Skew        time.Duration
	dispatchers map[string]*dispatcher
	spill       map[string]Spill
}

// spillOrder returns the entries to offer a request to: one of the own zone, then one of another.
func (t *Table) spillOrder(service string) []fleet.Sender {
	s := t.spill[service]
	var order []fleet.Sender
	for _, group := range [][]fleet.Sender{s.Near, s.Far} {
		if len(group) > 0 {
			order = append(order, group[rand.IntN(len(group))])
		}
	}
	return order
}

// Links opens streams to other entries.
type Links interface {
	Open(to fleet.Sender) (net.Conn, error)
}

// Proxy carries requests; Update and InFlight belong to the control thread.
type Proxy struct {
	Self   fleet.Sender
	Zone   string
	Links  Links
	Events func(event.Event) // must not block

	table       atomic.Pointer[Table]
	dispatchers map[string]*dispatcher
	owners      owners
	peers       peerPools
	attempts    atomic.Uint64
	active      atomic.Int64
}

// New returns a proxy that refuses every request until the first Update.
func New(self fleet.Sender, zone string, links Links, events func(event.Event)) *Proxy {
	p := &Proxy{Self: self, Zone: zone, Links: links, Events: events, dispatchers: make(map[string]*dispatcher)}
	p.owners = owners{self: self}
	p.table.Store(&Table{})
	return p
}

// Update puts a new table in force.
func (p *Proxy) Update(now time.Time, t Table) error {
	shares, err := route.Shares.Lookup(t.Policies.Sharing)
	if err != nil {
		return err
	}
	dispatchers := make(map[string]*dispatcher)
	t.spill = make(map[string]Spill)
	for _, r := range t.Routes {
		d := p.dispatchers[r.Service.Name]
		if d == nil {
			if d, err = newDispatcher(t, r.Service); err != nil {
				return err
			}
			p.dispatchers[r.Service.Name] = d
		}
		d.update(now, r, shares, targetPool)
		dispatchers[r.Service.Name] = d
		t.spill[r.Service.Name] = r.Spill
	}
	for name, d := range p.dispatchers {
		if dispatchers[name] == nil {
			d.update(now, Route{Service: d.service}, shares, targetPool)
		}
	}
	t.dispatchers = dispatchers
	p.owners.configure(t.Window, t.Skew)
	p.owners.update(t.Rings)
	p.table.Store(&t)
	return nil
}

func (o *owners) configure(window, skew time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.memory.Window, o.memory.MaxClockError = window, skew
}

func newDispatcher(t Table, s config.Service) (*dispatcher, error) {
	queues, err := admit.Policies.Lookup(t.Policies.Admission)
	if err != nil {
		return nil, err
	}
	routing, err := route.Policies.Lookup(t.Policies.Routing)
	if err != nil {
		return nil, err
	}
	quota := make(map[string]int)
	for _, team := range t.Teams {
		quota[team.Name] = team.Quota
	}
	return &dispatcher{
		service: s,
		flow: flow.Dispatcher{
			Queue:   queues(admit.Settings{Quota: quota, UrgentShare: s.UrgentShare}),
			Routing: routing(),
			Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}, nil
}

// Poll lets time pass in all dispatchers; the control thread calls it at each tick.
func (p *Proxy) Poll(now time.Time) {
	for _, d := range p.dispatchers {
		d.poll(now)
	}
}

const (
	dialTimeout           = time.Second
	unacknowledgedTimeout = 3 * time.Second // after which a connection that lost its way is broken
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// limitUnacknowledged lets the system break a connection whose bytes are not acknowledged.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout/time.Millisecond))
	})
	return errors.CombineErrors(err, setErr)
}

func targetPool(spec TargetSpec) *connPool {
	address := spec.Instance.Address.String()
	connections := max(1, spec.Instance.Connections/max(1, spec.Share.Entries))
	return newConnPool(func(ctx context.Context) (net.Conn, error) {
		dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacknowledged}
		return dialer.DialContext(ctx, "tcp", address)
	}, connections)
}

// InFlight counts the requests at instances that take no new work.
func (p *Proxy) InFlight() map[string]int {
	counts := make(map[string]int)
	for _, d := range p.dispatchers {
		d.addInFlight(counts)
	}
	return counts
}

// Failing returns the instances that this entry has ejected.
func (p *Proxy) Failing() []string {
	var names []string
	for _, d := range p.dispatchers {
		names = append(names, d.failing()...)
	}
	return names
}

// Counters returns the traffic counts by service.
func (p *Proxy) Counters() map[string]Counters {
	counters := make(map[string]Counters)
	for name, d := range p.table.Load().dispatchers {
		d.mu.Lock()
		counters[name] = d.counters
		d.mu.Unlock()
	}
	return counters
}

// RememberedIDs returns the number of request ids this entry remembers.
func (p *Proxy) RememberedIDs() int {
	p.owners.mu.Lock()
	defer p.owners.mu.Unlock()
	return p.owners.memory.Len()
}

// PeerHandler serves requests that other entries forward.
func (p *Proxy) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, hop(r.Header.Get(headerHop)))
	})
}

// ServeHTTP serves a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, hopNone)
}

// Active returns the number of requests that are being served.
func (p *Proxy) Active() int64 { return p.active.Load() }

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, h hop) {
	p.active.Add(1)
	defer p.active.Add(-1)
	now := time.Now()
	table := p.table.Load()
	x := &exchange{proxy: p, table: table, w: w, r: r}
	m, err := parseMeta(r, now, x.defaultTimeout)
	x.meta = m
	x.meta.hop = h
	w.Header().Set(HeaderZone, p.Zone)
	switch {
	case err != nil:
		x.refuse(http.StatusBadRequest, NotRun, ReasonBadRequest, err.Error())
	case len(table.dispatchers) == 0:
		x.refuse(http.StatusServiceUnavailable, NotRun, ReasonNotReady, "the entry has no configuration yet")
	case table.dispatchers[m.service] == nil:
		x.refuse(http.StatusNotFound, NotRun, ReasonUnknownService, "no service "+m.service)
	default:
		x.dispatcher = table.dispatchers[m.service]
		x.run()
	}
}

func (x *exchange) defaultTimeout(service string) time.Duration {
	if d := x.table.dispatchers[service]; d != nil {
		return d.settings().Deadline
	}
	return time.Second
}
