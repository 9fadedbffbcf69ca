package flow

import (
	"math/rand/v2"
	"time"

	"daisysaddle/core/admit"
	"daisysaddle/core/eject"
	"daisysaddle/core/retry"
	"daisysaddle/core/route"
)

// Target is one instance to which a dispatcher may send requests.
type Target struct {
	Name      string
	Slots     int
	Accepts   bool // new work may be sent
	Share     route.Share
	Health    eject.Target
	InFlight  int
	Suspected int // of those in flight, requests on connections that are probably silent
	Carrier   any // what the caller needs to reach the target
}

// Request is one request on its way to a target.
type Request struct {
	Team     string
	Urgent   bool
	Deadline time.Time
	Avoid    *Target // the target that failed the last attempt
	NoQueue  bool    // refuse rather than wait
	Admitted func(*Target, Refusal)

	waiter admit.Waiter
}

// Refusal says why a request got no target.
type Refusal string

// Refusals of a dispatcher.
const (
	Granted     Refusal = ""
	NoTarget    Refusal = "NoTarget"
	QueueFull   Refusal = "QueueFull"
	TooLate     Refusal = "Deadline"
	NoFreeSlot  Refusal = "NoFreeSlot"
	NotDecided  Refusal = "NotDecided" // the request waits; Admitted will be called
	SpillFirst  Refusal = "SpillFirst" // the request would wait long: try another entry before queueing
	spillFactor         = 0.5          // expected wait, in service times, above which spilling is tried
)

// Evidence is what an attempt showed about its target.
type Evidence int

// Kinds of evidence.
const (
	None Evidence = iota
	Good
	Bad
	Busy // the target refused for want of a slot
)

// Dispatcher admits requests to targets.
type Dispatcher struct {
	Queue      admit.Queue
	Routing    route.Policy
	Pace       admit.Pace
	Retries    retry.Budget
	QueueLimit int
	Targets    []*Target
	Random     *rand.Rand

	group      eject.Group
	candidates []route.Target
	spillAfter time.Time
}

// Slots returns the requests that this entry may have at its accepting targets at once.
func (d *Dispatcher) Slots(now time.Time) int {
	slots := 0
	for _, t := range d.Targets {
		if t.Accepts {
			slots += t.Share.Limit(now)
		}
	}
	return slots
}

func (d *Dispatcher) accepting() bool {
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
			InFlight: t.InFlight - t.Suspected,
			Limit:    t.Share.Limit(now),
			Weight:   t.Health.Weight(),
			Excluded: !t.Accepts || t == avoid || !d.group.Usable(now, &t.Health),
		})
	}
	if at := d.Routing.Pick(d.candidates, d.Random); at >= 0 {
		return d.Targets[at]
	}
	return nil
}

// pickFor prefers a target other than the one that failed before.
func (d *Dispatcher) pickFor(now time.Time, r *Request) *Target {
	if t := d.pick(now, r.Avoid); t != nil || r.Avoid == nil {
		return t
	}
	return d.pick(now, nil)
}

func (d *Dispatcher) begin(now time.Time, t *Target) {
	t.InFlight++
	d.group.Begin(now, &t.Health)
}

// Submit grants a target, refuses, or asks the caller to spill; it does not queue.
func (d *Dispatcher) Submit(now time.Time, r *Request) (*Target, Refusal) {
	if r.NoQueue && d.group.Suspect() {
		return nil, NoFreeSlot
	}
	if !r.NoQueue && d.prefersOthers(now) {
		return nil, SpillFirst
	}
	if d.Queue.Len() == 0 {
		if t := d.pickFor(now, r); t != nil {
			d.begin(now, t)
			return t, Granted
		}
	}
	if r.NoQueue {
		return nil, NoFreeSlot
	}
	if refusal := d.refuse(now, r); refusal != Granted {
		return nil, refusal
	}
	wait := d.Pace.Wait(d.Queue.Len()+1, d.Slots(now))
	if !now.Before(d.spillAfter) && wait.Seconds() >= spillFactor*d.Pace.Service().Seconds() {
		return nil, SpillFirst
	}
	d.Enqueue(now, r)
	return nil, NotDecided
}

const trickle = 8 // one in so many requests goes to suspected targets, to see them recover

// prefersOthers reports whether a request should go to another entry because most targets here fail.
func (d *Dispatcher) prefersOthers(now time.Time) bool {
	return d.group.Suspect() && !now.Before(d.spillAfter) && d.Random.IntN(trickle) > 0
}

// refuse decides at once what cannot be done in time.
func (d *Dispatcher) refuse(now time.Time, r *Request) Refusal {
	switch {
	case !d.accepting():
		return NoTarget
	case d.Queue.Len() >= d.QueueLimit:
		return QueueFull
	case !d.Pace.CanFinish(now, r.Deadline, d.Queue.Len(), d.Slots(now)):
		return TooLate
	}
	return Granted
}

// Enqueue lets a request wait; Admitted is called when it is granted or refused.
func (d *Dispatcher) Enqueue(now time.Time, r *Request) {
	r.waiter = admit.Waiter{Team: r.Team, Urgent: r.Urgent, Arrived: now, Deadline: r.Deadline, Value: r}
	d.Queue.Push(&r.waiter)
	d.admitNext(now)
}

// SpillRefused records that other entries had no free slot, so that spilling pauses for a while.
func (d *Dispatcher) SpillRefused(now time.Time) {
	d.spillAfter = now.Add(max(minSpillPause, d.Pace.Service()/spillPauseShare))
}

const (
	minSpillPause   = time.Millisecond
	spillPauseShare = 8
)

// Cancel takes a waiting request out.
func (d *Dispatcher) Cancel(r *Request) {
	d.Queue.Remove(&r.waiter)
}

// GiveBack returns a granted target that was not used.
func (d *Dispatcher) GiveBack(now time.Time, t *Target) {
	t.InFlight--
	d.group.Abandon(&t.Health)
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
		if !d.Pace.CanFinish(now, r.Deadline, 0, 1) {
			r.Admitted(nil, TooLate)
			continue
		}
		if t == r.Avoid {
			t = d.pickFor(now, r)
		}
		d.begin(now, t)
		r.Admitted(t, Granted)
	}
	if !d.accepting() {
		for w := d.Queue.Pop(); w != nil; w = d.Queue.Pop() {
			w.Value.(*Request).Admitted(nil, NoTarget)
		}
	}
}

// Suspect frees the slot of a request whose connection is probably silent, while the request goes on
// waiting and stays in flight. A target that does run it refuses the one too many truthfully.
func (d *Dispatcher) Suspect(now time.Time, t *Target) {
	t.Suspected++
	d.admitNext(now)
}

// Release returns a target with the evidence of the attempt and reports whether its standing changed.
func (d *Dispatcher) Release(now time.Time, t *Target, took time.Duration, e Evidence) (eject.Verdict, bool) {
	t.InFlight--
	before := t.Health.Verdict()
	switch e {
	case Good:
		d.Pace.Finish(took)
		t.Share.Accepted(now)
		d.group.Succeed(&t.Health, took)
	case Bad:
		d.group.Fail(now, &t.Health)
	case Busy:
		t.Share.Refused(now)
		d.group.Abandon(&t.Health)
	case None:
		d.group.Abandon(&t.Health)
	}
	after := t.Health.Verdict()
	d.admitNext(now)
	return after, after != before
}

// TargetsChanged must be called after Targets or their Accepts flags were changed.
func (d *Dispatcher) TargetsChanged(now time.Time) {
	d.group.Targets = d.group.Targets[:0]
	for _, t := range d.Targets {
		if t.Accepts {
			d.group.Targets = append(d.group.Targets, &t.Health)
		}
	}
	d.admitNext(now)
}

// Poll admits waiters whose target became usable by the passing of time.
func (d *Dispatcher) Poll(now time.Time) {
	d.admitNext(now)
}
