package proxy

import (
	"context"
	"sync"
	"time"

	"daisysaddle/core/config"
	"daisysaddle/core/eject"
	"daisysaddle/core/flow"
	"daisysaddle/core/route"
)

// TargetSpec is what the control thread says about one target.
type TargetSpec struct {
	Instance config.Instance
	Accepts  bool // new work may be sent
	Share    route.ShareSettings
}

// carrier is what the proxy needs to reach a target.
type carrier struct {
	spec    TargetSpec
	pool    *connPool
	dropped bool // no longer in the pool; kept until nothing is in flight
}

func carrierOf(t *flow.Target) *carrier { return t.Transport.(*carrier) }

// dispatcher makes the decisions of package flow safe for many goroutines.
type dispatcher struct {
	mu       sync.Mutex
	service  config.Service
	flow     flow.Dispatcher
	counters Counters
}

// Counters are the traffic counts of one service.
type Counters struct {
	Done       uint64
	NotRun     uint64
	Unknown    uint64
	Retries    uint64
	Refusals   uint64 // by targets, for want of a slot
	Ejections  uint64
	Silent     uint64
	Spills     uint64 // requests offered to another entry
	SpillsDone uint64 // requests that another entry took
	Duplicates uint64 // attempts refused because their id was known
}

// grant is the right to send one request to a target.
type grant struct {
	target    *flow.Target
	began     time.Time
	suspected bool
}

// admission is the decision on a request that had to wait.
type admission struct {
	target  *flow.Target
	refusal flow.Refusal
}

var reasons = map[flow.Refusal]Reason{
	flow.NoTarget: ReasonNoTarget, flow.QueueFull: ReasonQueueFull, flow.DeadlineUnreachable: ReasonDeadline, flow.NoFreeSlot: ReasonNoFreeSlot,
}

// submit asks for a target at once.
func (d *dispatcher) submit(r *flow.Request) (*grant, flow.Refusal) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t, refusal := d.flow.Submit(now, r)
	if t == nil {
		return nil, refusal
	}
	return &grant{target: t, began: now}, flow.Granted
}

// enqueue lets a request wait after spilling was tried in vain.
func (d *dispatcher) enqueue(r *flow.Request) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flow.SpillRefused(now)
	d.flow.Enqueue(now, r)
}

// await waits for the decision on a queued request.
func (d *dispatcher) await(ctx context.Context, r *flow.Request, decided <-chan admission) (*grant, Reason) {
	select {
	case a := <-decided:
		return granted(a)
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case a := <-decided:
		if a.target != nil {
			d.flow.ReleaseUnused(time.Now(), a.target)
		}
	default:
		d.flow.Cancel(r)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return nil, ReasonDeadline
	}
	return nil, ReasonCancelled
}

func granted(a admission) (*grant, Reason) {
	if a.target == nil {
		return nil, reasons[a.refusal]
	}
	return &grant{target: a.target, began: time.Now()}, ""
}

// suspect frees the slot of a request that goes on waiting on a connection that is probably silent.
func (d *dispatcher) suspect(g *grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.suspected = true
	d.flow.MarkSilent(time.Now(), g.target)
}

// release returns a target with the evidence of its attempt and reports a change of its standing.
func (d *dispatcher) release(g *grant, now time.Time, e flow.AttemptResult) (eject.Status, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e == flow.NoSlot {
		d.counters.Refusals++
	}
	if g.suspected {
		g.target.Silent--
	}
	verdict, changed := d.flow.Release(now, g.target, now.Sub(g.began), e)
	if changed && verdict == eject.Ejected {
		d.counters.Ejections++
	}
	if carrierOf(g.target).dropped {
		d.drop(now)
	}
	return verdict, changed
}

// drop forgets targets that left the pool and have nothing in flight; the caller holds the lock.
func (d *dispatcher) drop(now time.Time) {
	var kept []*flow.Target
	for _, t := range d.flow.Targets {
		if c := carrierOf(t); c.dropped && t.InFlight == 0 {
			c.pool.close()
			continue
		}
		kept = append(kept, t)
	}
	d.flow.Targets = kept
	d.flow.TargetsChanged(now)
}

// update replaces the targets and keeps the state of those that stay.
func (d *dispatcher) update(now time.Time, r Route, shares func(route.ShareSettings) route.Share, makePool func(TargetSpec) *connPool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service = r.Service
	d.flow.QueueLimit = r.Service.QueueLimit
	d.flow.Retries.Percent = r.Service.RetryShare
	known := make(map[string]*flow.Target)
	for _, t := range d.flow.Targets {
		known[t.Name] = t
		carrierOf(t).dropped = true
		t.Accepts = false
	}
	for _, spec := range r.Targets {
		t := known[spec.Instance.Name]
		if t == nil || carrierOf(t).spec.Instance.Address != spec.Instance.Address {
			t = &flow.Target{Name: spec.Instance.Name, Transport: &carrier{pool: makePool(spec)}}
			d.flow.Targets = append(d.flow.Targets, t)
		}
		c := carrierOf(t)
		if t.Share == nil || c.spec.Share != spec.Share {
			t.Share = shares(spec.Share)
		}
		c.spec, c.dropped = spec, false
		t.Slots, t.Accepts = spec.Share.Slots, spec.Accepts
	}
	d.drop(now)
}

// addInFlight adds the requests at targets that take no new work.
func (d *dispatcher) addInFlight(counts map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.flow.Targets {
		if !t.Accepts && t.InFlight > 0 {
			counts[t.Name] += t.InFlight
		}
	}
}

// failing returns the instances that are ejected.
func (d *dispatcher) failing() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, t := range d.flow.Targets {
		if t.Health.Status() == eject.Ejected {
			names = append(names, t.Name)
		}
	}
	return names
}

// poll admits waiters whose target became usable by the passing of time.
func (d *dispatcher) poll(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flow.AdmitWaiting(now)
}

// attempt counts a first attempt for the retry budget.
func (d *dispatcher) attempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flow.Retries.RecordAttempt()
}

// takeRetry asks the service's retry budget.
func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.flow.Retries.Take() {
		return false
	}
	d.counters.Retries++
	return true
}

// expected returns the typical time of one attempt.
func (d *dispatcher) expected() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flow.Estimator.ServiceTime()
}

// expectedWait returns the time after which the present queue is served.
func (d *dispatcher) expectedWait(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flow.Estimator.ExpectedWait(d.flow.Queue.Len(), d.flow.Slots(now))
}

// settings returns the service's configuration.
func (d *dispatcher) settings() config.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service
}

// count changes the counters under the lock.
func (d *dispatcher) count(change func(*Counters)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.counters)
}
