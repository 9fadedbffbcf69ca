package flow

import (
	"math/rand/v2"
	"time"

	"daisysaddle/core/admit"
	"daisysaddle/core/eject"
	"daisysaddle/core/retry"
	"daisysaddle/core/route"
)

// Target is an instance to which a Dispatcher may send requests.
type Target struct {
	Name      string
	Slots     int  // requests that the target runs at once
	Accepts   bool // whether new requests may be sent
	Share     route.Share
	Health    eject.Target
	InFlight  int
	Silent    int // requests in flight that hold no slot because their connection is presumed silent
	Transport any // caller's transport data for the target
}

// Request is a request that needs a target.
type Request struct {
	Team     string
	Urgent   bool
	Deadline time.Time
	Avoid    *Target                // target of the last failed attempt, or nil
	NoQueue  bool                   // refuse the request instead of queueing it
	Decided  func(*Target, Refusal) // called once a queued request is granted a target or refused

	waiter admit.Waiter
}

// Refusal is the reason why a request has no target; it is empty for a granted request.
type Refusal string

// Refusals returned by a Dispatcher.
const (
	Granted             Refusal = ""
	NoTarget            Refusal = "NoTarget"
	QueueFull           Refusal = "QueueFull"
	DeadlineUnreachable Refusal = "Deadline"
	NoFreeSlot          Refusal = "NoFreeSlot"
	Queued              Refusal = "NotDecided" // the request is queued; Request.Decided reports the decision
	SpillFirst          Refusal = "SpillFirst" // the caller should offer the request to another entry before queueing it
	spillWaitFactor             = 0.5          // expected wait, as a multiple of the service time, from which spilling is tried
)

// AttemptResult is what the result of an attempt says about the health of its target.
type AttemptResult int

// Results of an attempt.
const (
	Inconclusive AttemptResult = iota // the attempt says nothing about the target
	Succeeded                         // the target answered
	Failed                            // the target failed
	NoSlot                            // the target refused the request because it had no free slot
)

// Dispatcher assigns the requests of one service to targets and queues requests that find no free slot.
type Dispatcher struct {
	Queue      admit.Queue
	Routing    route.Policy
	Estimator  admit.Estimator
	Retries    retry.Budget
	QueueLimit int
	Targets    []*Target
	Random     *rand.Rand

	group            eject.Group
	candidates       []route.Target
	spillPausedUntil time.Time
}

// Slots returns the number of requests that this entry may have in flight at its accepting targets.
func (d *Dispatcher) Slots(now time.Time) int {
	slots := 0
	for _, t := range d.Targets {
		if t.Accepts {
			slots += t.Share.Limit(now)
		}
	}
	return slots
}

func (d *Dispatcher) hasAcceptingTarget() bool {
	for _, t := range d.Targets {
		if t.Accepts {
			return true
		}
	}
	return false
}

func (d *Dispatcher) pick(now time.Time, avoid *Target) *Target {
	d.candidates = d.candidates[:0]
	for _, t := range d.Targets {
		d.candidates = append(d.candidates, route.Target{
			InFlight: t.InFlight - t.Silent,
			Limit:    t.Share.Limit(now),
			Weight:   t.Health.Weight(),
			Excluded: !t.Accepts || t == avoid || !d.group.Usable(now, &t.Health),
		})
	}
	if i := d.Routing.Pick(d.candidates, d.Random); i >= 0 {
		return d.Targets[i]
	}
	return nil
}

// pickPreferringOthers picks a target other than r.Avoid if one has room, and any target otherwise.
func (d *Dispatcher) pickPreferringOthers(now time.Time, r *Request) *Target {
	if t := d.pick(now, r.Avoid); t != nil || r.Avoid == nil {
		return t
	}
	return d.pick(now, nil)
}

func (d *Dispatcher) startRequest(now time.Time, t *Target) {
	t.InFlight++
	d.group.Begin(now, &t.Health)
}

// Submit assigns a target to r, refuses it, asks the caller to spill it (SpillFirst) or queues it (Queued).
func (d *Dispatcher) Submit(now time.Time, r *Request) (*Target, Refusal) {
	if r.NoQueue && d.group.MostlyFailing() {
		return nil, NoFreeSlot
	}
	if !r.NoQueue && d.prefersOtherEntry(now) {
		return nil, SpillFirst
	}
	if d.Queue.Len() == 0 {
		if t := d.pickPreferringOthers(now, r); t != nil {
			d.startRequest(now, t)
			return t, Granted
		}
	}
	if r.NoQueue {
		return nil, NoFreeSlot
	}
	if refusal := d.checkAdmission(now, r); refusal != Granted {
		return nil, refusal
	}
	wait := d.Estimator.ExpectedWait(d.Queue.Len()+1, d.Slots(now))
	if !now.Before(d.spillPausedUntil) && wait.Seconds() >= spillWaitFactor*d.Estimator.ServiceTime().Seconds() {
		return nil, SpillFirst
	}
	d.Enqueue(now, r)
	return nil, Queued
}

// failingProbeRatio keeps one request in 8 on this entry's failing targets, so that their recovery is noticed.
const failingProbeRatio = 8

// prefersOtherEntry reports whether a request should go to another entry because most targets here fail.
func (d *Dispatcher) prefersOtherEntry(now time.Time) bool {
	return d.group.MostlyFailing() && !now.Before(d.spillPausedUntil) && d.Random.IntN(failingProbeRatio) > 0
}

// checkAdmission returns Granted, or the reason why a request must not be queued: there is no target, the
// queue is full, or the request is not expected to finish before its deadline.
func (d *Dispatcher) checkAdmission(now time.Time, r *Request) Refusal {
	switch {
	case !d.hasAcceptingTarget():
		return NoTarget
	case d.Queue.Len() >= d.QueueLimit:
		return QueueFull
	case !d.Estimator.CanFinish(now, r.Deadline, d.Queue.Len(), d.Slots(now)):
		return DeadlineUnreachable
	}
	return Granted
}

// Enqueue queues a request; its Decided function is called when it is granted a target or refused.
func (d *Dispatcher) Enqueue(now time.Time, r *Request) {
	r.waiter = admit.Waiter{Team: r.Team, Urgent: r.Urgent, Arrived: now, Deadline: r.Deadline, Value: r}
	d.Queue.Push(&r.waiter)
	d.admitNext(now)
}

// SpillRefused records that other entries had no free slot and suspends spilling for an eighth of the
// service time, at least minSpillPause.
func (d *Dispatcher) SpillRefused(now time.Time) {
	d.spillPausedUntil = now.Add(max(minSpillPause, d.Estimator.ServiceTime()/spillPauseDivisor))
}

const (
	minSpillPause     = time.Millisecond
	spillPauseDivisor = 8
)

// Cancel removes a request from the queue.
func (d *Dispatcher) Cancel(r *Request) {
	d.Queue.Remove(&r.waiter)
}

// ReleaseUnused releases the slot of a granted target to which the request was not sent.
func (d *Dispatcher) ReleaseUnused(now time.Time, t *Target) {
	t.InFlight--
	d.group.EndInconclusive(&t.Health)
	d.admitNext(now)
}

func (d *Dispatcher) admitNext(now time.Time) {
	for d.Queue.Len() > 0 {
		t := d.pick(now, nil)
		if t == nil {
			break
		}
		w := d.Queue.Pop()
		r := w.Value.(*Request)
		if !d.Estimator.CanFinish(now, r.Deadline, 0, 1) {
			r.Decided(nil, DeadlineUnreachable)
			continue
		}
		if t == r.Avoid {
			t = d.pickPreferringOthers(now, r)
		}
		d.startRequest(now, t)
		r.Decided(t, Granted)
	}
	if !d.hasAcceptingTarget() {
		for w := d.Queue.Pop(); w != nil; w = d.Queue.Pop() {
			w.Value.(*Request).Decided(nil, NoTarget)
		}
	}
}

// MarkSilent frees the slot of a request whose connection is presumed silent. The request stays in flight. If the target
// is still running it, the slot is not free after all, and the target refuses the next request without running it.
func (d *Dispatcher) MarkSilent(now time.Time, t *Target) {
	t.Silent++
	d.admitNext(now)
}

// Release ends an attempt and returns the health status of its target and whether that status changed.
func (d *Dispatcher) Release(now time.Time, t *Target, took time.Duration, e AttemptResult) (eject.Status, bool) {
	t.InFlight--
	before := t.Health.Status()
	switch e {
	case Succeeded:
		d.Estimator.Observe(took)
		t.Share.Accepted(now)
		d.group.Succeed(&t.Health, took)
	case Failed:
		d.group.Fail(now, &t.Health)
	case NoSlot:
		t.Share.Refused(now)
		d.group.EndInconclusive(&t.Health)
	case Inconclusive:
		d.group.EndInconclusive(&t.Health)
	}
	after := t.Health.Status()
	d.admitNext(now)
	return after, after != before
}

// TargetsChanged updates the dispatcher after a change of Targets or of an Accepts flag; callers must call it then.
func (d *Dispatcher) TargetsChanged(now time.Time) {
	d.group.Targets = d.group.Targets[:0]
	for _, t := range d.Targets {
		if t.Accepts {
			d.group.Targets = append(d.group.Targets, &t.Health)
		}
	}
	d.admitNext(now)
}

// AdmitWaiting admits queued requests to targets that became usable because time has passed, such as an ejected
// target whose ejection has ended.
func (d *Dispatcher) AdmitWaiting(now time.Time) {
	d.admitNext(now)
}
