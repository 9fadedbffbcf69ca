package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"daisysaddle/core/admit"
	"daisysaddle/core/config"
	"daisysaddle/core/eject"
	"daisysaddle/core/retry"
	"daisysaddle/core/route"
)

// TargetSpec is what the control thread says about one target.
type TargetSpec struct {
	Instance config.Instance
	Accepts  bool // new work may be sent
	Share    route.ShareSettings
}

// target is one instance as seen by the dispatcher of its service.
type target struct {
	spec     TargetSpec
	pool     *connPool
	share    route.Share
	health   *eject.Target
	inFlight int
	dropped  bool // no longer in the pool; kept until nothing is in flight
}

// dispatcher admits the requests of one service to its targets.
type dispatcher struct {
	mu       sync.Mutex
	service  config.Service
	queue    admit.Queue
	routing  route.Policy
	pace     admit.Pace
	retries  retry.Budget
	targets  []*target
	group    eject.Group
	random   *rand.Rand
	counters Counters
	scratch  []route.Target
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
	Spills     uint64
	Duplicates uint64 // attempts refused because their id was known
}

// grant is the right to send one request to a target.
type grant struct {
	target *target
	began  time.Time
}

// pending is a queued request.
type pending struct {
	admit.Waiter
	avoid  *target
	grant  *grant
	reason Reason
}

func (d *dispatcher) slots() int {
	slots := 0
	for _, t := range d.targets {
		if t.spec.Accepts {
			slots += t.spec.Share.Slots
		}
	}
	return slots
}

// pick chooses a free target; the caller holds the lock.
func (d *dispatcher) pick(now time.Time, avoid *target) *target {
	d.scratch = d.scratch[:0]
	for _, t := range d.targets {
		d.scratch = append(d.scratch, route.Target{
			InFlight: t.inFlight,
			Limit:    t.share.Limit(now),
			Weight:   t.health.Weight(),
			Excluded: !t.spec.Accepts || t == avoid || !d.group.Usable(now, t.health),
		})
	}
	if at := d.routing.Pick(d.scratch, d.random); at >= 0 {
		return d.targets[at]
	}
	return nil
}

func (d *dispatcher) begin(now time.Time, t *target) *grant {
	t.inFlight++
	d.group.Begin(now, t.health)
	return &grant{target: t, began: now}
}

// acquire waits for a target or returns why there is none.
func (d *dispatcher) acquire(ctx context.Context, m meta, avoid *target) (*grant, Reason) {
	now := time.Now()
	d.mu.Lock()
	if d.queue.Len() == 0 {
		if t := d.pick(now, avoid); t != nil {
			defer d.mu.Unlock()
			return d.begin(now, t), ""
		}
	}
	slots := d.slots()
	reason := d.refuse(now, m, slots)
	if reason != "" {
		d.mu.Unlock()
		return nil, reason
	}
	p := &pending{Waiter: admit.Waiter{Team: m.team, Urgent: m.urgent, Arrived: now, Deadline: m.deadline, Ready: make(chan struct{})}, avoid: avoid}
	p.Waiter.Value = p
	d.queue.Push(&p.Waiter)
	d.mu.Unlock()
	return d.await(ctx, p)
}

// refuse decides at once what cannot be done in time; the caller holds the lock.
func (d *dispatcher) refuse(now time.Time, m meta, slots int) Reason {
	switch {
	case slots == 0:
		return ReasonNoTarget
	case d.queue.Len() >= d.service.QueueLimit:
		return ReasonQueueFull
	case !d.pace.CanFinish(now, m.deadline, d.queue.Len(), slots):
		return ReasonDeadline
	}
	return ""
}

func (d *dispatcher) await(ctx context.Context, p *pending) (*grant, Reason) {
	select {
	case <-p.Ready:
		return p.grant, p.reason
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-p.Ready:
		if p.grant != nil {
			d.giveBack(p.grant)
		}
	default:
		d.queue.Remove(&p.Waiter)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return nil, ReasonDeadline
	}
	return nil, ReasonCancelled
}

func (d *dispatcher) giveBack(g *grant) {
	g.target.inFlight--
	d.group.Abandon(g.target.health)
	d.admitNext(time.Now())
}

// admitNext gives free slots to waiters; the caller holds the lock.
func (d *dispatcher) admitNext(now time.Time) {
	for d.queue.Len() > 0 {
		t := d.pick(now, nil)
		if t == nil {
			break
		}
		w := d.queue.Pop()
		if w == nil {
			break
		}
		p := w.Value.(*pending)
		if !d.pace.CanFinish(now, w.Deadline, 0, 1) {
			p.reason = ReasonDeadline
			close(w.Ready)
			continue
		}
		if p.avoid != nil && t == p.avoid {
			if other := d.pick(now, p.avoid); other != nil {
				t = other
			}
		}
		p.grant = d.begin(now, t)
		close(w.Ready)
	}
	if d.slots() == 0 {
		d.refuseAll(ReasonNoTarget)
	}
}

func (d *dispatcher) refuseAll(reason Reason) {
	for w := d.queue.Pop(); w != nil; w = d.queue.Pop() {
		w.Value.(*pending).reason = reason
		close(w.Ready)
	}
}

// evidence is what an attempt showed about its target.
type evidence int

const (
	evidenceNone evidence = iota
	evidenceGood
	evidenceBad
	evidenceBusy // the target refused for want of a slot
)

// release returns a slot with the evidence of its attempt and reports a change of the target's standing.
func (d *dispatcher) release(g *grant, now time.Time, e evidence) (eject.Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := g.target
	t.inFlight--
	before := t.health.Verdict()
	took := now.Sub(g.began)
	switch e {
	case evidenceGood:
		d.pace.Finish(took)
		t.share.Accepted(now)
		d.group.Succeed(t.health, took)
	case evidenceBad:
		d.group.Fail(now, t.health)
	case evidenceBusy:
		d.counters.Refusals++
		t.share.Refused(now)
		d.group.Abandon(t.health)
	case evidenceNone:
		d.group.Abandon(t.health)
	}
	after := t.health.Verdict()
	if after == eject.Ejected && before != eject.Ejected {
		d.counters.Ejections++
	}
	d.drop()
	d.admitNext(now)
	return after, after != before
}

// drop forgets targets that left the pool and have nothing in flight; the caller holds the lock.
func (d *dispatcher) drop() {
	kept := d.targets[:0]
	for _, t := range d.targets {
		if t.dropped && t.inFlight == 0 {
			t.pool.close()
			continue
		}
		kept = append(kept, t)
	}
	clear(d.targets[len(kept):])
	d.targets = kept
	d.group.Targets = d.group.Targets[:0]
	for _, t := range d.targets {
		if t.spec.Accepts {
			d.group.Targets = append(d.group.Targets, t.health)
		}
	}
}

// update replaces the targets and keeps the state of those that stay.
func (d *dispatcher) update(now time.Time, r Route, shares func(route.ShareSettings) route.Share, makePool func(TargetSpec) *connPool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service = r.Service
	d.retries.Percent = r.Service.RetryShare
	known := make(map[string]*target)
	for _, t := range d.targets {
		known[t.spec.Instance.Name] = t
		t.dropped = true
		t.spec.Accepts = false
	}
	for _, spec := range r.Targets {
		t := known[spec.Instance.Name]
		if t == nil || t.spec.Instance.Address != spec.Instance.Address {
			t = &target{pool: makePool(spec), health: &eject.Target{}}
			d.targets = append(d.targets, t)
		}
		if t.share == nil || t.spec.Share != spec.Share {
			t.share = shares(spec.Share)
		}
		t.spec = spec
		t.dropped = false
	}
	d.drop()
	d.admitNext(now)
}

// addInFlight adds the requests at targets that take no new work.
func (d *dispatcher) addInFlight(counts map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		if !t.spec.Accepts && t.inFlight > 0 {
			counts[t.spec.Instance.Name] += t.inFlight
		}
	}
}

// failing returns the instances that are ejected.
func (d *dispatcher) failing() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, t := range d.targets {
		if t.health.Verdict() == eject.Ejected {
			names = append(names, t.spec.Instance.Name)
		}
	}
	return names
}

// takeRetry asks the service's retry budget.
func (d *dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.retries.Take() {
		return false
	}
	d.counters.Retries++
	return true
}

// expected returns the typical time of one attempt.
func (d *dispatcher) expected() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pace.Service()
}

// count changes the counters under the lock.
func (d *dispatcher) count(change func(*Counters)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.counters)
}
