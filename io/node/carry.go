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

// carriers sends the owner's orders over other entries. It belongs to the control goroutine.
//
// Each order takes one way. A carrier that is lost leaves its orders unanswered, as a lost connection would, and the
// state settles them before it gives others.
type carriers struct {
	c      *control
	table  carry.Table
	known  map[string]*carrier // by incarnation
	signs  signs
	calls  map[uint64]carried
	last   uint64         // call
	misses map[string]int // failures by worker that call for another way
	most   map[string]int // workers by zone, the most there were: machines come and go with the bursts
	pushed *rate.Limiter  // bytes of specs
}

// carrier is an entry that sends orders for this owner.
type carrier struct {
	name  string
	used  bool            // it may be given orders
	sent  time.Time       // when the last frame left for it
	specs map[string]bool // jobs whose spec it has
	frame *wire.Orders    // gathers orders
}

// signs are the carriers' last signs of life, noted when they arrive: an owner that lags behind its events must not
// take its own delay for the carriers' silence.
type signs struct {
	mu   sync.Mutex
	last map[string]sign // by incarnation
}

type sign struct {
	at    time.Time
	stamp int64 // newest reading of the carrier's clock
}

func (s *signs) note(incarnation string, at time.Time, stamp int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[incarnation] = sign{at, max(stamp, s.last[incarnation].stamp)}
}

func (s *signs) of(incarnation string) sign {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[incarnation]
}

// carried is an order that a carrier has.
type carried struct {
	incarnation string
	worker      string
	name        string
	sent        time.Time
	deadline    time.Time
	take        func(time.Time, sched.Sight)
}

// thinMbps is a network link that an owner of hundreds of workers would fill with jobs: 25 a second of 2 KB, in and
// out, are a fifth of it.
const thinMbps = 5.0

// thin reports whether this entry's network link is slow.
func (n *Node) thin() bool { return n.LinkMbps > 0 && n.LinkMbps <= thinMbps }

const (
	carryBeat    = 200 * time.Millisecond // between frames, so that permits stay young
	carrierQuiet = 700 * time.Millisecond // a carrier that was not heard for this long is not used: three heartbeats
	carryExtra   = 300 * time.Millisecond // an order may take this long on its way to a carrier and back
	carryGap     = 10 * time.Millisecond  // orders gather this long: each plan costs a frame for each carrier; a hundredth of a short task
	carryTick    = 100 * time.Millisecond // settles what was not answered
	specShare    = 4                      // specs use this part of the owner's link at most; carriers read the others from the store
	specBurst    = 64 << 10               // bytes
	bytesPerMbit = 125_000
	callShift    = 32 // calls of two ownerships differ
)

func newCarriers(c *control) *carriers {
	limit := rate.Inf
	if c.node.LinkMbps > 0 {
		limit = rate.Limit(c.node.LinkMbps * bytesPerMbit / specShare)
	}
	return &carriers{
		c: c, known: make(map[string]*carrier), signs: signs{last: make(map[string]sign)}, calls: make(map[uint64]carried), last: c.fence << callShift,
		misses: make(map[string]int), most: make(map[string]int), pushed: rate.NewLimiter(limit, specBurst),
	}
}

// leastGap returns how long events gather between two plans.
func (k *carriers) leastGap() time.Duration {
	if len(k.known) > 0 {
		return carryGap
	}
	return planGapLeast
}

// usable reports whether a carrier may be given orders.
func (k *carriers) usable(incarnation string) bool {
	e := k.known[incarnation]
	return e != nil && e.used
}

// send gives an order to the worker's carrier; false says that the owner has to send it.
func (k *carriers) send(now time.Time, w sched.Worker, order any, timeout time.Duration, take func(time.Time, sched.Sight)) bool {
	if len(k.known) == 0 {
		return false
	}
	chosen := k.table.Choose(w.ID, w.Zone, k.misses[w.ID], k.usable)
	if chosen == "" {
		return false
	}
	e := k.known[chosen]
	if e.frame == nil {
		e.frame = &wire.Orders{}
	}
	if start, is := order.(sched.Start); is && start.Spec != "" && !e.specs[start.Task.Job] {
		e.specs[start.Task.Job] = true
		if k.pushed.AllowN(now, len(start.Spec)) || k.c.node.Store.Down(time.Now()) {
			e.frame.Specs = append(e.frame.Specs, &wire.Spec{Job: start.Task.Job, Text: start.Spec})
		}
	}
	k.last++
	e.frame.Orders = append(e.frame.Orders, wireOrder(k.last, w, order))
	k.calls[k.last] = carried{incarnation: chosen, worker: w.ID, name: orderName(order), sent: now, deadline: now.Add(timeout + carryExtra), take: take}
	return true
}

// flush sends what has gathered.
func (k *carriers) flush(now time.Time) {
	for incarnation, e := range k.known {
		if e.frame != nil {
			k.push(now, incarnation, e)
		}
	}
}

// push sends a frame to a carrier; orders that do not fit on the link have surely not left.
func (k *carriers) push(now time.Time, incarnation string, e *carrier) {
	frame := e.frame
	if frame == nil {
		frame = &wire.Orders{}
	}
	e.frame, e.sent = nil, now
	frame.Fence, frame.HeardNanoseconds = k.c.fence, k.signs.of(incarnation).stamp
	mesh := k.c.node.links()
	if mesh != nil && mesh.Send(incarnation, &wire.Frame{Body: &wire.Frame_Orders{Orders: frame}}) {
		return
	}
	k.lose(e, "LinkFull")
	for _, o := range frame.GetOrders() {
		k.settle(now, o.GetCall(), sched.Sight{Answer: sched.NotSent})
	}
}

// lose stops the use of a carrier until it is heard again.
func (k *carriers) lose(e *carrier, reason string) {
	if e.used {
		k.c.node.log("CarrierLost").Str("Carrier", e.name).Str("Reason", reason).Uint64("Fence", k.c.fence).Send()
	}
	e.used = false
	clear(e.specs)
}

// settle hands the end of a call to the state.
func (k *carriers) settle(now time.Time, call uint64, s sched.Sight) {
	o, waits := k.calls[call]
	if !waits {
		return // it was given up before
	}
	delete(k.calls, call)
	k.c.node.metrics.order(o.name, s.Answer, now.Sub(o.sent))
	k.note(o.worker, s.Answer)
	s.Sent = o.sent
	o.take(now, s)
}

// note counts answers that call for another way to a worker.
func (k *carriers) note(worker string, a sched.Answer) {
	if len(k.known) > 0 && (a == sched.Unanswered || a == sched.NotSent) {
		k.misses[worker]++
	}
}

// answered takes in a carrier's answers, on the goroutine of its link.
func (k *carriers) answered(incarnation string, a *wire.Answers) {
	sights := make([]sched.Sight, 0, len(a.GetAnswers()))
	for _, one := range a.GetAnswers() {
		sights = append(sights, sightOf(one))
	}
	k.signs.note(incarnation, k.c.node.Now(), a.GetStampNanoseconds())
	k.c.post(func(now time.Time) {
		switch e := k.known[incarnation]; {
		case e == nil:
		case a.GetLeaving():
			k.lose(e, "Leaves")
		case !e.used:
			e.used = true
			k.c.node.log("CarrierUsed").Str("Carrier", e.name).Uint64("Fence", k.c.fence).Send()
		}
		for i, one := range a.GetAnswers() {
			k.settle(now, one.GetCall(), sights[i])
		}
	})
}

// tick keeps the carriers until the ownership ends.
func (k *carriers) tick() {
	for k.c.ctx.Err() == nil {
		pause(k.c.ctx, carryTick)
		at := k.c.node.Now()
		k.c.post(func(time.Time) { k.refresh(at) })
	}
}

// refresh chooses the carriers, keeps their permits young, and settles what was not answered at a time; what had arrived
// by then has been taken in.
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
	for zone, workers := range k.c.state.Zones() {
		k.most[zone] = max(k.most[zone], workers)
	}
	n := k.c.node
	k.table = carry.NewTable(carry.Entry{Zone: n.Zone, Cores: n.Cores, LinkMbps: n.LinkMbps}, k.most, entries)
	for _, incarnation := range k.table.Carriers() {
		e := k.known[incarnation]
		if e == nil {
			e = &carrier{name: linked[incarnation].Sender.Name, specs: make(map[string]bool)}
			k.known[incarnation] = e
		}
		if now.Sub(e.sent) >= carryBeat && !k.c.suspended.Load() {
			k.push(now, incarnation, e)
		}
	}
	for incarnation, e := range k.known {
		if _, is := linked[incarnation]; !is {
			k.lose(e, "LinkLost")
			delete(k.known, incarnation)
		} else if e.used && now.Sub(k.signs.of(incarnation).at) >= carrierQuiet {
			k.lose(e, "Quiet")
		}
	}
	for _, call := range slices.Sorted(maps.Keys(k.calls)) {
		o := k.calls[call]
		if e := k.known[o.incarnation]; e == nil || !e.used || now.After(o.deadline) {
			k.settle(now, call, sched.Sight{Answer: sched.Unanswered})
		}
	}
	for worker := range k.misses {
		if _, known := k.c.state.Worker(worker); !known {
			delete(k.misses, worker)
		}
	}
}
