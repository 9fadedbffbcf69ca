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

// TargetSpec describes one target; the control goroutine provides it.
type TargetSpec struct {
	Instance config.Instance
	Accepts  bool // whether new requests may be sent
	Share    route.ShareSettings
}

// targetTransport is the value of flow.Target.Transport: the target's settings and connections.
type targetTransport struct {
	spec    TargetSpec
	pool    *connPool
	removed bool // no longer in the table; kept until no request is in flight
}

func transportOf(t *flow.Target) *targetTransport { return t.Transport.(*targetTransport) }

// dispatcher wraps a flow.Dispatcher for concurrent use and counts the traffic of its service.
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
	Refusals   uint64 // requests that a target refused because it had no free slot
	Ejections  uint64
	Silent     uint64 // attempts that ended because their connection was presumed silent
	Spills     uint64 // requests offered to another entry
	SpillsDone uint64 // requests that another entry answered
	Duplicates uint64 // requests not run because their id was in use, finished or uncertain
}

// grant is the permission to send one request to a target.
type grant struct {
	target    *flow.Target
	grantedAt time.Time
	silent    bool // whether the request waits on a connection that is presumed silent, without holding a slot
}

// decision is the dispatcher's decision on a queued request; target is nil for a refused one.
type decision struct {
	target  *flow.Target
	refusal flow.Refusal
}

var refusalReasons = map[flow.Refusal]Reason{
	flow.NoTarget: ReasonNoTarget, flow.QueueFull: ReasonQueueFull, flow.DeadlineUnreachable: ReasonDeadline, flow.NoFreeSlot: ReasonNoFreeSlot,
}

// submit submits r and returns its grant, or the reason why it has none yet.
func (d *dispatcher) submit(r *flow.Request) (*grant, flow.Refusal) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t, refusal := d.flow.Submit(now, r)
	if t == nil {
		return nil, refusal
	}
	return &grant{target: t, grantedAt: now}, flow.Granted
}

// enqueueAfterSpill queues a request that no other entry accepted.
func (d *dispatcher) enqueueAfterSpill(r *flow.Request) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flow.SpillRefused(now)
	d.flow.Enqueue(now, r)
}

// awaitDecision waits until r is granted a target or refused. It cancels r when ctx ends first.
func (d *dispatcher) awaitDecision(ctx context.Context, r *flow.Request, decided <-chan decision) (*grant, Reason) {
	select {
	case result := <-decided:
		return grantFrom(result)
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case result := <-decided:
		if result.target != nil {
			d.flow.ReleaseUnused(time.Now(), result.target)
		}
	default:
		d.flow.Cancel(r)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return nil, ReasonDeadline
	}
	return nil, ReasonCancelled
}

func grantFrom(d decision) (*grant, Reason) {
	if d.target == nil {
		return nil, refusalReasons[d.refusal]
	}
	return &grant{target: d.target, grantedAt: time.Now()}, ""
}

// markSilent frees the slot of a request that keeps waiting on a connection that is presumed silent.
func (d *dispatcher) markSilent(g *grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.silent = true
	d.flow.MarkSilent(time.Now(), g.target)
}

// release ends a grant with the result of its attempt. It returns the target's health status and whether that changed.
func (d *dispatcher) release(g *grant, now time.Time, e flow.AttemptResult) (eject.Status, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e == flow.NoSlot {
		d.counters.Refusals++
	}
	if g.silent {
		g.target.Silent--
	}
	status, changed := d.flow.Release(now, g.target, now.Sub(g.grantedAt), e)
	if changed && status == eject.Ejected {
		d.counters.Ejections++
	}
	if transportOf(g.target).removed {
		d.pruneTargets(now)
	}
	return status, changed
}

// pruneTargets deletes removed targets without requests in flight. The caller must hold d.mu.
func (d *dispatcher) pruneTargets(now time.Time) {
	var kept []*flow.Target
	for _, t := range d.flow.Targets {
		if c := transportOf(t); c.removed && t.InFlight == 0 {
			c.pool.closeIdle()
			continue
		}
		kept = append(kept, t)
	}
	d.flow.Targets = kept
	d.flow.TargetsChanged(now)
}

// update applies a new route. Targets that stay at their address keep their state.
func (d *dispatcher) update(now time.Time, r Route, shares func(route.ShareSettings) route.Share, makePool func(TargetSpec) *connPool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service = r.Service
	d.flow.QueueLimit = r.Service.QueueLimit
	d.flow.Retries.Percent = r.Service.RetryShare
	known := make(map[string]*flow.Target)
	for _, t := range d.flow.Targets {
		known[t.Name] = t
		transportOf(t).removed = true
		t.Accepts = false
	}
	for _, spec := range r.Targets {
		t := known[spec.Instance.Name]
		if t == nil || transportOf(t).spec.Instance.Address != spec.Instance.Address {
			t = &flow.Target{Name: spec.Instance.Name, Transport: &targetTransport{pool: makePool(spec)}}
			d.flow.Targets = append(d.flow.Targets, t)
		}
		c := transportOf(t)
		if t.Share == nil || c.spec.Share != spec.Share {
			t.Share = shares(spec.Share)
		}
		c.spec, c.removed = spec, false
		t.Slots, t.Accepts = spec.Share.Slots, spec.Accepts
	}
	d.pruneTargets(now)
}

// addInFlight adds to counts the requests in flight at targets that accept no new requests.
func (d *dispatcher) addInFlight(counts map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.flow.Targets {
		if !t.Accepts && t.InFlight > 0 {
			counts[t.Name] += t.InFlight
		}
	}
}

// ejected returns the names of the ejected targets.
func (d *dispatcher) ejected() []string {
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

// admitWaiting admits queued requests whose target has become usable with time, such as by the end of an ejection.
func (d *dispatcher) admitWaiting(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flow.AdmitWaiting(now)
}

// recordAttempt records the first attempt of a request in the retry budget.
func (d *dispatcher) recordAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.flow.Retries.RecordAttempt()
}

// takeRetry takes a retry from the service's retry budget and reports whether one was available.
func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.flow.Retries.Take() {
		return false
	}
	d.counters.Retries++
	return true
}

// expectedServiceTime returns the estimated time of one attempt.
func (d *dispatcher) expectedServiceTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flow.Estimator.ServiceTime()
}

// expectedWait returns the estimated time to serve the current queue.
func (d *dispatcher) expectedWait(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flow.Estimator.ExpectedWait(d.flow.Queue.Len(), d.flow.Slots(now))
}

func (d *dispatcher) serviceConfig() config.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service
}

// updateCounters calls update with d.mu held.
func (d *dispatcher) updateCounters(update func(*Counters)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	update(&d.counters)
}
