package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"daisysaddle/core/carry"
	"daisysaddle/core/sched"
	"daisysaddle/io/peer"
	"daisysaddle/io/wire"
)

// carriers forwards the owner's orders through other entries. Except for contacts it belongs to the control goroutine.
//
// Each order is sent on one path only. When a carrier is lost, its orders count as unanswered, as after a lost
// connection, and the scheduling state settles them before it gives other orders in their place.
type carriers struct {
	c           *control
	table       carry.Table
	known       map[string]*carrierState // by incarnation
	contacts    contacts
	calls       map[uint64]pendingCall
	lastCall    uint64         // number of the last call
	failures    map[string]int // by worker; each one moves the worker's orders to another path
	maxWorkers  map[string]int // largest number of workers seen, by zone, so that a burst's end does not change the carriers
	specLimiter *rate.Limiter  // limits the bytes of specs sent
}

// carrierState is what the owner knows of one carrier.
type carrierState struct {
	name     string
	used     bool            // it gets orders
	lastSent time.Time       // when the last frame was sent to it
	specs    map[string]bool // jobs whose spec was sent to it or left for it to read from the store
	frame    *wire.Orders    // orders to be sent next; nil without any
}

// contacts holds when each carrier's last frame arrived. The goroutines of the links record it, because an owner that
// lags behind its event queue must not mistake its own delay for silence of the carriers.
type contacts struct {
	mu   sync.Mutex
	last map[string]contact // by incarnation
}

type contact struct {
	at    time.Time
	stamp int64 // newest reading of the carrier's clock, in nanoseconds
}

func (s *contacts) record(incarnation string, at time.Time, stamp int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[incarnation] = contact{at, max(stamp, s.last[incarnation].stamp)}
}

func (s *contacts) get(incarnation string) contact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[incarnation]
}

// pendingCall is an order that was given to a carrier and has no result yet.
type pendingCall struct {
	incarnation string
	worker      string
	name        string
	sent        time.Time
	deadline    time.Time
	handle      func(time.Time, sched.PollResult)
}

// slowLinkMbps is the bandwidth up to which a link counts as slow. The jobs alone of an owner with hundreds of workers
// would use a fifth of such a link: 25 jobs per second of 2 KB, both received and sent.
const slowLinkMbps = 5.0

// slowLink reports whether this entry's network link is known to be slow.
func (n *Node) slowLink() bool { return n.LinkMbps > 0 && n.LinkMbps <= slowLinkMbps }

const (
	carrierFramePeriod   = 200 * time.Millisecond // a carrier without orders gets a frame this often, which keeps its heartbeats going
	carrierTimeout       = 700 * time.Millisecond // a carrier that sent nothing for this long, three heartbeats, gets no orders
	carrierRoundTrip     = 300 * time.Millisecond // added to the timeout of an order for the way to a carrier and back
	carrierPlanGap       = 10 * time.Millisecond  // batches orders, as each plan costs a frame per carrier; a hundredth of a short task
	carrierRefreshPeriod = 100 * time.Millisecond // largest delay until an order past its deadline counts as unanswered
	specLinkDivisor      = 4                      // specs use at most a quarter of the owner's link; carriers read the others from the store
	specBurstBytes       = 64 << 10
	bytesPerMbit         = 125_000
	callShift            = 32 // call numbers start at the fencing token shifted left by these bits, so that those of two ownerships differ
)

// forget drops what is kept of a job.
func (k *carriers) forget(job string) {
	for _, e := range k.known {
		delete(e.specs, job)
	}
}

func newCarriers(c *control) *carriers {
	limit := rate.Inf
	if c.node.LinkMbps > 0 {
		limit = rate.Limit(c.node.LinkMbps * bytesPerMbit / specLinkDivisor)
	}
	return &carriers{
		c: c, known: make(map[string]*carrierState), contacts: contacts{last: make(map[string]contact)}, calls: make(map[uint64]pendingCall), lastCall: c.token << callShift,
		failures: make(map[string]int), maxWorkers: make(map[string]int), specLimiter: rate.NewLimiter(limit, specBurstBytes),
	}
}

// minGap returns the shortest time between two plans, during which events and orders are batched.
func (k *carriers) minGap() time.Duration {
	if len(k.known) > 0 {
		return carrierPlanGap
	}
	return minPlanGap
}

// usable reports whether a carrier may get orders.
func (k *carriers) usable(incarnation string) bool {
	e := k.known[incarnation]
	return e != nil && e.used
}

// send adds an order to the next frame of the worker's carrier. It returns false when there is no carrier, so that the
// owner has to send the order itself.
func (k *carriers) send(now time.Time, w sched.Worker, order any, timeout time.Duration, handle func(time.Time, sched.PollResult)) bool {
	if len(k.known) == 0 {
		return false
	}
	chosen := k.table.Choose(w.ID, w.Zone, k.failures[w.ID], k.usable)
	if chosen == "" {
		return false
	}
	e := k.known[chosen]
	if e.frame == nil {
		e.frame = &wire.Orders{}
	}
	if start, is := order.(sched.Start); is && start.Spec != "" && !e.specs[start.Task.Job] {
		e.specs[start.Task.Job] = true
		if k.specLimiter.AllowN(now, len(start.Spec)) || k.c.node.Store.Down(time.Now()) {
			e.frame.Specs = append(e.frame.Specs, &wire.Spec{Job: start.Task.Job, Text: start.Spec})
		}
	}
	k.lastCall++
	e.frame.Orders = append(e.frame.Orders, encodeOrder(k.lastCall, w, order))
	k.calls[k.lastCall] = pendingCall{incarnation: chosen, worker: w.ID, name: orderName(order), sent: now, deadline: now.Add(timeout + carrierRoundTrip), handle: handle}
	return true
}

// flush sends the frames that hold orders.
func (k *carriers) flush(now time.Time) {
	for incarnation, e := range k.known {
		if e.frame != nil {
			k.sendFrame(now, incarnation, e)
		}
	}
}

// sendFrame sends the next frame to a carrier, also without orders, since frames keep its heartbeats going. If the link is
// gone or its queue is full, the carrier is disabled and its orders count as not sent.
func (k *carriers) sendFrame(now time.Time, incarnation string, e *carrierState) {
	frame := e.frame
	if frame == nil {
		frame = &wire.Orders{}
	}
	e.frame, e.lastSent = nil, now
	frame.Fence, frame.HeardNanoseconds = k.c.token, k.contacts.get(incarnation).stamp
	mesh := k.c.node.links()
	if mesh != nil && mesh.Send(incarnation, &wire.Frame{Body: &wire.Frame_Orders{Orders: frame}}) {
		return
	}
	k.disable(e, "LinkFull")
	for _, o := range frame.GetOrders() {
		k.finish(now, o.GetCall(), sched.PollResult{Answer: sched.NotSent})
	}
}

// disable stops the use of a carrier until the next frame from it.
func (k *carriers) disable(e *carrierState, reason string) {
	if e.used {
		k.c.node.log("CarrierLost").Str("Carrier", e.name).Str("Reason", reason).Uint64("Fence", k.c.token).Send()
	}
	e.used = false
	clear(e.specs)
}

// finish passes the result of a call to its handler.
func (k *carriers) finish(now time.Time, call uint64, s sched.PollResult) {
	o, pending := k.calls[call]
	if !pending {
		return // it was settled as unanswered before
	}
	delete(k.calls, call)
	k.c.node.metrics.observeOrder(o.name, s.Answer, now.Sub(o.sent))
	k.countFailure(o.worker, s.Answer)
	s.Sent = o.sent
	o.handle(now, s)
}

// countFailure counts an order that was unanswered or not sent, so that the next order to the worker takes another path.
func (k *carriers) countFailure(worker string, a sched.Answer) {
	if len(k.known) > 0 && (a == sched.Unanswered || a == sched.Disconnected || a == sched.NotSent) {
		k.failures[worker]++
	}
}

// handleAnswers handles a frame of answers from a carrier. It is called on the goroutine of the link.
func (k *carriers) handleAnswers(incarnation string, a *wire.Answers) {
	results := make([]sched.PollResult, 0, len(a.GetAnswers()))
	for _, one := range a.GetAnswers() {
		results = append(results, decodeAnswer(one))
	}
	k.contacts.record(incarnation, k.c.node.Now(), a.GetStampNanoseconds())
	k.c.enqueue(func(now time.Time) {
		switch e := k.known[incarnation]; {
		case e == nil:
		case a.GetLeaving():
			k.disable(e, "Leaves")
		case !e.used:
			e.used = true
			k.c.node.log("CarrierUsed").Str("Carrier", e.name).Uint64("Fence", k.c.token).Send()
		}
		for i, one := range a.GetAnswers() {
			k.finish(now, one.GetCall(), results[i])
		}
	})
}

// refreshPeriodically queues refresh until the ownership ends.
func (k *carriers) refreshPeriodically() {
	for k.c.ctx.Err() == nil {
		sleep(k.c.ctx, carrierRefreshPeriod)
		at := k.c.node.Now()
		k.c.enqueue(func(time.Time) { k.refresh(at) })
	}
}

// refresh chooses the carriers, sends the frames that are due to keep their heartbeats going, and ends overdue calls as
// unanswered. The time now is when refresh was queued, not when it runs, so that every answer that had arrived by then has
// been handled.
func (k *carriers) refresh(now time.Time) {
	mesh := k.c.node.links()
	if mesh == nil {
		return
	}
	linked := make(map[string]peer.Identity)
	var entries []carry.Entry
	for _, p := range mesh.Peers() {
		linked[p.Sender.Incarnation] = p
		entries = append(entries, carry.Entry{Incarnation: p.Sender.Incarnation, Zone: p.Zone, Cores: p.Cores, LinkMbps: p.LinkMbps})
	}
	for zone, workers := range k.c.state.WorkersByZone() {
		k.maxWorkers[zone] = max(k.maxWorkers[zone], workers)
	}
	n := k.c.node
	k.table = carry.NewTable(carry.Entry{Zone: n.Zone, Cores: n.Cores, LinkMbps: n.LinkMbps}, k.maxWorkers, entries)
	for _, incarnation := range k.table.Carriers() {
		e := k.known[incarnation]
		if e == nil {
			e = &carrierState{name: linked[incarnation].Sender.Name, specs: make(map[string]bool)}
			k.known[incarnation] = e
		}
		if now.Sub(e.lastSent) >= carrierFramePeriod && !k.c.suspended.Load() {
			k.sendFrame(now, incarnation, e)
		}
	}
	for incarnation, e := range k.known {
		if _, is := linked[incarnation]; !is {
			k.disable(e, "LinkLost")
			delete(k.known, incarnation)
		} else if e.used && now.Sub(k.contacts.get(incarnation).at) >= carrierTimeout {
			k.disable(e, "Quiet")
		}
	}
	for _, call := range slices.Sorted(maps.Keys(k.calls)) {
		o := k.calls[call]
		if e := k.known[o.incarnation]; e == nil || !e.used || now.After(o.deadline) {
			k.finish(now, call, sched.PollResult{Answer: sched.Unanswered})
		}
	}
	for worker := range k.failures {
		if _, known := k.c.state.Worker(worker); !known {
			delete(k.failures, worker)
		}
	}
}
