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

// Route is a service with its targets in this zone and the entries to which its requests may spill.
type Route struct {
	Service config.Service
	Pool    string
	Targets []TargetSpec
	Spill   SpillPeers
}

// SpillPeers holds the entries to which this one may forward requests that its own targets would answer late or not at all.
type SpillPeers struct {
	SameZone   []fleet.Sender // entries of the same zone
	OtherZones []fleet.Sender // entries of other zones
}

// Table is the configuration that the entry's control goroutine passes to the goroutines that serve requests.
type Table struct {
	Ready         bool // whether the entry may run requests
	Policies      config.Policies
	Teams         []config.Team
	Routes        []Route
	OwnerSets     map[string]OwnerSet
	IDWindow      time.Duration // age up to which a request id can be claimed
	MaxClockError time.Duration // maximum clock error between callers and entries
	dispatchers   map[string]*dispatcher
	spill         map[string]SpillPeers
}

// spillOrder returns the entries to which a request is offered, in order: a random one of the same zone, then one of the
// other zones.
func (t *Table) spillOrder(service string) []fleet.Sender {
	s := t.spill[service]
	var order []fleet.Sender
	for _, group := range [][]fleet.Sender{s.SameZone, s.OtherZones} {
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

// Proxy is the handler of callers' requests. Only the control goroutine may update its table, admit its queued requests or
// ask for its requests in flight and its ejected instances.
type Proxy struct {
	Self        fleet.Sender
	Zone        string
	Links       Links
	RecordEvent func(event.Event) // must not block

	table          atomic.Pointer[Table]
	dispatchers    map[string]*dispatcher
	owners         idOwners
	peers          peerPools
	attemptCount   atomic.Uint64
	activeRequests atomic.Int64
}

// New returns a proxy that refuses every request until the first call of Update.
func New(self fleet.Sender, zone string, links Links, recordEvent func(event.Event)) *Proxy {
	p := &Proxy{Self: self, Zone: zone, Links: links, RecordEvent: recordEvent, dispatchers: make(map[string]*dispatcher)}
	p.owners = idOwners{self: self}
	p.table.Store(&Table{})
	return p
}

// Update replaces the table. It returns an error if the table names an unknown policy.
func (p *Proxy) Update(now time.Time, t Table) error {
	shares, err := route.Shares.Lookup(t.Policies.Sharing)
	if err != nil {
		return err
	}
	dispatchers := make(map[string]*dispatcher)
	t.spill = make(map[string]SpillPeers)
	for _, r := range t.Routes {
		d := p.dispatchers[r.Service.Name]
		if d == nil {
			if d, err = newDispatcher(t, r.Service); err != nil {
				return err
			}
			p.dispatchers[r.Service.Name] = d
		}
		d.update(now, r, shares, newTargetPool)
		dispatchers[r.Service.Name] = d
		t.spill[r.Service.Name] = r.Spill
	}
	for name, d := range p.dispatchers {
		if dispatchers[name] == nil {
			d.update(now, Route{Service: d.service}, shares, newTargetPool)
		}
	}
	t.dispatchers = dispatchers
	p.owners.configure(t.IDWindow, t.MaxClockError)
	p.owners.update(t.OwnerSets)
	p.table.Store(&t)
	return nil
}

func (o *idOwners) configure(window, maxClockError time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ids.Window, o.ids.MaxClockError = window, maxClockError
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

// AdmitWaiting admits the queued requests whose target has become usable with time. The control goroutine calls it
// periodically.
func (p *Proxy) AdmitWaiting(now time.Time) {
	for _, d := range p.dispatchers {
		d.admitWaiting(now)
	}
}

const (
	dialTimeout = time.Second
	userTimeout = 3 * time.Second // time for sent data to be acknowledged; after it the kernel closes the connection
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// setUserTimeout makes the kernel close a connection whose sent data is not acknowledged within userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	return errors.CombineErrors(err, setErr)
}

func newTargetPool(spec TargetSpec) *connPool {
	address := spec.Instance.Address.String()
	connections := max(1, spec.Instance.Connections/max(1, spec.Share.Entries))
	return newConnPool(func(ctx context.Context) (net.Conn, error) {
		dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
		return dialer.DialContext(ctx, "tcp", address)
	}, connections)
}

// InFlightNotAccepting returns, by instance, the number of requests in flight at instances that accept no new requests.
func (p *Proxy) InFlightNotAccepting() map[string]int {
	counts := make(map[string]int)
	for _, d := range p.dispatchers {
		d.addInFlight(counts)
	}
	return counts
}

// EjectedInstances returns the names of the instances that this entry has ejected.
func (p *Proxy) EjectedInstances() []string {
	var names []string
	for _, d := range p.dispatchers {
		names = append(names, d.ejected()...)
	}
	return names
}

// Counters returns the traffic counts of each service.
func (p *Proxy) Counters() map[string]Counters {
	counters := make(map[string]Counters)
	for name, d := range p.table.Load().dispatchers {
		d.mu.Lock()
		counters[name] = d.counters
		d.mu.Unlock()
	}
	return counters
}

// RememberedIDs returns the number of request ids that this entry stores.
func (p *Proxy) RememberedIDs() int {
	p.owners.mu.Lock()
	defer p.owners.mu.Unlock()
	return p.owners.ids.Len()
}

// PeerHandler returns a handler for requests that other entries forward.
func (p *Proxy) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, forwarding(r.Header.Get(headerForwarding)))
	})
}

// ServeHTTP serves a caller's request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, forwardingNone)
}

// Refuse answers a caller's request for which the entry has no room, without its body.
func (p *Proxy) Refuse(w http.ResponseWriter, r *http.Request) { p.refuseBusy(w, r, forwardingNone) }

// RefusePeer answers a request that another entry forwards in the same way.
func (p *Proxy) RefusePeer(w http.ResponseWriter, r *http.Request) {
	p.refuseBusy(w, r, forwarding(r.Header.Get(headerForwarding)))
}

func (p *Proxy) refuseBusy(w http.ResponseWriter, r *http.Request, f forwarding) {
	table := p.table.Load()
	x := &exchange{proxy: p, table: table, w: w, r: r}
	x.meta, _ = parseRequestMeta(r, time.Now(), x.defaultTimeout) // a request with an odd header is refused as well
	x.meta.forwarding = f
	x.dispatcher = table.dispatchers[x.meta.service]
	w.Header().Set(HeaderZone, p.Zone)
	x.refuse(http.StatusServiceUnavailable, NotRun, ReasonBusy, "the entry has no room for the request")
}

// Limit bounds what the proxy keeps of finished requests: a number of request ids, and the memory of their answers. Zero sets no limit.
func (p *Proxy) Limit(ids int, answerBytes int64) {
	p.owners.mu.Lock()
	defer p.owners.mu.Unlock()
	p.owners.ids.Limit, p.owners.ids.AnswerBytes = ids, answerBytes
}

// MaxKeptBodyBytes is the part of a caller's body that the proxy keeps in memory while it serves the request.
const MaxKeptBodyBytes = maxBufferedBodyBytes

// Active returns the number of requests being served.
func (p *Proxy) Active() int64 { return p.activeRequests.Load() }

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, f forwarding) {
	p.activeRequests.Add(1)
	defer p.activeRequests.Add(-1)
	now := time.Now()
	table := p.table.Load()
	x := &exchange{proxy: p, table: table, w: w, r: r}
	m, err := parseRequestMeta(r, now, x.defaultTimeout)
	x.meta = m
	x.meta.forwarding = f
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
		return d.serviceConfig().Deadline
	}
	return time.Second
}
