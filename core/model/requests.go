package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisysaddle/core/admit"
	"daisysaddle/core/flow"
	"daisysaddle/core/retry"
	"daisysaddle/core/route"
)

// Fault is the kind of failure that a simulation injects.
type Fault string

// Faults that can be injected.
const (
	NoFault    Fault = "None"
	LoseRack   Fault = "LoseRack"   // the first four targets, all of the first zone, refuse connections
	LoseZone   Fault = "LoseZone"   // all targets and entries of the first zone are down
	FailTarget Fault = "FailTarget" // one target fails every request within errorResponseTime
	FailAll    Fault = "FailAll"    // every target fails every request within errorResponseTime
)

// RequestSetup holds the parameters of a simulation of the requests to one service.
type RequestSetup struct {
	Admission   string
	Routing     string
	Sharing     string
	Spill       bool // offer requests to other entries before queueing
	Zones       int
	Entries     int           // in each zone
	Targets     int           // in each zone
	Slots       int           // of each target
	ServiceTime time.Duration // mean; half of it is constant, the rest exponentially distributed
	Hop         time.Duration // one-way latency inside a zone
	FarHop      time.Duration // one-way latency between zones
	Deadline    time.Duration
	Rate        func(since time.Duration) float64 // requests per second at a time since the start
	Duration    time.Duration
	Skew        float64 // share of the arrivals that goes to the first live entry; the rest is spread evenly over all
	Fault       Fault
	FaultAt     time.Duration
	Seed        uint64
}

// RequestResult holds the measurements of a request simulation.
type RequestResult struct {
	Offered    int
	OnTime     int // answered before the deadline
	Late       int // not answered at the deadline
	Refused    int // neither admitted nor accepted by another entry
	Failed     int // failed at a target without a further retry
	Wasted     int // executions that ended after the caller had stopped waiting
	Executions int
	Attempts   int // requests sent to targets
	OverSlots  int // attempts that reached a target without a free slot
	Feasible   int // upper bound of the requests that the slots not hit by the fault can finish in time
	P50        time.Duration
	P99        time.Duration
}

// Goodput returns the share of the feasible requests that were answered on time, or 1 if none was feasible.
func (r RequestResult) Goodput() float64 {
	if r.Feasible == 0 {
		return 1
	}
	return float64(r.OnTime) / float64(r.Feasible)
}

type fakeTarget struct {
	zone    int
	running int
	slots   int
	down    bool
	failing bool
}

type fakeEntry struct {
	zone       int
	dispatcher flow.Dispatcher
	down       bool
}

// call is a caller's request with the attempts to have it executed.
type call struct {
	request  flow.Request
	entry    *fakeEntry
	arrived  time.Time
	attempts int
	ended    bool // the caller has its result or stopped waiting
}

// requestSimulation is the state of a running simulation.
type requestSimulation struct {
	RequestSetup
	clock   clock
	random  *rand.Rand
	entries []*fakeEntry
	targets []*fakeTarget
	result  RequestResult
	latency *hdrhistogram.Histogram
	start   time.Time
}

const (
	queueLimit               = 1000
	retryPercent             = 20
	errorResponseTime        = time.Millisecond
	retryDelay               = 5 * time.Millisecond
	targetsPerRack           = 4
	maxLatencyMicros         = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 3
	minServiceShare          = 0.5 // constant share of the mean service time
)

// RunRequests runs a simulation in virtual time. It returns an error if a policy is unknown.
func RunRequests(s RequestSetup) (RequestResult, error) {
	x := &requestSimulation{
		RequestSetup: s, random: rand.New(rand.NewPCG(s.Seed, s.Seed+1)),
		latency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
	}
	x.start = time.Unix(0, 0)
	if err := x.build(); err != nil {
		return RequestResult{}, err
	}
	x.scheduleArrivals()
	x.clock.schedule(x.start.Add(s.FaultAt), func(time.Time) { x.injectFault() })
	x.scheduleAdmission()
	x.clock.runUntil(x.start.Add(s.Duration + 2*s.Deadline))
	x.result.Feasible = x.feasibleRequests()
	x.result.P50 = time.Duration(x.latency.ValueAtQuantile(50)) * time.Microsecond
	x.result.P99 = time.Duration(x.latency.ValueAtQuantile(99)) * time.Microsecond
	return x.result, nil
}

func (x *requestSimulation) build() error {
	queues, err := admit.Policies.Lookup(x.Admission)
	if err != nil {
		return err
	}
	routing, err := route.Policies.Lookup(x.Routing)
	if err != nil {
		return err
	}
	shares, err := route.Shares.Lookup(x.Sharing)
	if err != nil {
		return err
	}
	for zone := range x.Zones {
		first := len(x.targets)
		for range x.Targets {
			x.targets = append(x.targets, &fakeTarget{zone: zone, slots: x.Slots})
		}
		for index := range x.Entries {
			e := &fakeEntry{zone: zone}
			e.dispatcher = flow.Dispatcher{
				Queue: queues(admit.Settings{}), Routing: routing(), QueueLimit: queueLimit,
				Retries: retry.Budget{Percent: retryPercent}, Random: rand.New(rand.NewPCG(x.Seed, uint64(index))),
			}
			for n, t := range x.targets[first:] {
				share := shares(route.ShareSettings{Slots: x.Slots, Entries: x.Entries, Index: index, Owner: n % x.Entries})
				e.dispatcher.Targets = append(e.dispatcher.Targets, &flow.Target{Slots: x.Slots, Accepts: true, Share: share, Transport: t})
			}
			e.dispatcher.TargetsChanged(x.start)
			x.entries = append(x.entries, e)
		}
	}
	return nil
}

// scheduleArrivals schedules the arrivals of a Poisson process whose rate changes over time.
// It reads the rate at least every 10 ms; a longer gap is drawn again, which a memoryless process allows.
func (x *requestSimulation) scheduleArrivals() {
	var since time.Duration
	for since < x.Duration {
		rate := math.Max(x.Rate(since), 1e-3)
		gap := time.Duration(x.random.ExpFloat64() / rate * float64(time.Second))
		since += min(gap, 10*time.Millisecond)
		if gap > 10*time.Millisecond {
			continue
		}
		x.clock.schedule(x.start.Add(since), x.arrive)
	}
}

// scheduleAdmission lets the entries admit queued requests every 50 ms.
func (x *requestSimulation) scheduleAdmission() {
	for since := time.Duration(0); since < x.Duration+x.Deadline; since += 50 * time.Millisecond {
		x.clock.schedule(x.start.Add(since), func(now time.Time) {
			for _, e := range x.entries {
				e.dispatcher.AdmitWaiting(now)
			}
		})
	}
}

func (x *requestSimulation) injectFault() {
	for i, t := range x.targets {
		switch x.Fault {
		case LoseRack:
			t.down = t.down || i < targetsPerRack
		case LoseZone:
			t.down = t.down || t.zone == 0
		case FailTarget:
			t.failing = t.failing || i == 0
		case FailAll:
			t.failing = true
		case NoFault:
		}
	}
	for _, e := range x.entries {
		e.down = e.down || x.Fault == LoseZone && e.zone == 0
	}
}

func (x *requestSimulation) arrive(now time.Time) {
	live := x.entries[:0:0]
	for _, e := range x.entries {
		if !e.down {
			live = append(live, e)
		}
	}
	e := live[x.random.IntN(len(live))]
	if x.random.Float64() < x.Skew {
		e = live[0]
	}
	c := &call{entry: e, arrived: now}
	c.request.Deadline = now.Add(x.Deadline)
	x.result.Offered++
	e.dispatcher.Retries.RecordAttempt()
	x.clock.schedule(c.request.Deadline, func(time.Time) { x.expire(c) })
	x.submit(now, c)
}

// expire ends a call at its deadline if it has not ended before.
func (x *requestSimulation) expire(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	x.result.Late++
	c.entry.dispatcher.Cancel(&c.request)
}

func (x *requestSimulation) submit(now time.Time, c *call) {
	c.request.Decided = func(t *flow.Target, _ flow.Refusal) {
		if t == nil {
			x.refuse(c)
			return
		}
		x.clock.schedule(x.clock.now, func(later time.Time) { x.send(later, c, c.entry, t) })
	}
	t, refusal := c.entry.dispatcher.Submit(now, &c.request)
	switch refusal {
	case flow.Granted:
		x.send(now, c, c.entry, t)
	case flow.SpillFirst:
		x.spill(now, c)
	case flow.Queued:
	default:
		if refusal != flow.NoFreeSlot && x.Spill && x.offerToOthers(now, c) {
			return
		}
		x.refuse(c)
	}
}

func (x *requestSimulation) refuse(c *call) {
	if !c.ended {
		c.ended = true
		x.result.Refused++
	}
}

// spill offers a call to other entries if the setup allows it, and queues it when none takes it.
func (x *requestSimulation) spill(now time.Time, c *call) {
	if x.Spill && x.offerToOthers(now, c) {
		return
	}
	c.entry.dispatcher.SpillRefused(now)
	c.entry.dispatcher.Enqueue(now, &c.request)
}

// offerToOthers offers a call to a random entry of the same zone, then to one of another zone,
// and reports whether one of them had a free slot.
func (x *requestSimulation) offerToOthers(now time.Time, c *call) bool {
	for _, near := range []bool{true, false} {
		var others []*fakeEntry
		for _, e := range x.entries {
			if e != c.entry && !e.down && (e.zone == c.entry.zone) == near {
				others = append(others, e)
			}
		}
		if len(others) == 0 {
			continue
		}
		e := others[x.random.IntN(len(others))]
		r := flow.Request{Deadline: c.request.Deadline, NoQueue: true}
		if t, refusal := e.dispatcher.Submit(now, &r); refusal == flow.Granted {
			hop := x.Hop
			if !near {
				hop = x.FarHop
			}
			x.clock.schedule(now.Add(hop), func(later time.Time) { x.send(later, c, e, t) })
			return true
		}
	}
	return false
}

// send sends an attempt to a target; via is the entry whose dispatcher granted the slot.
func (x *requestSimulation) send(now time.Time, c *call, via *fakeEntry, t *flow.Target) {
	c.attempts++
	x.result.Attempts++
	x.clock.schedule(now.Add(x.Hop), func(at time.Time) { x.execute(at, c, via, t) })
}

// execute lets a target handle an attempt that arrived there, and schedules the reply to the entry that sent it.
func (x *requestSimulation) execute(now time.Time, c *call, via *fakeEntry, t *flow.Target) {
	fake := t.Transport.(*fakeTarget)
	reply := func(after time.Duration, e flow.AttemptResult, done func(now time.Time)) {
		x.clock.schedule(now.Add(after+x.Hop), func(at time.Time) {
			via.dispatcher.Release(at, t, after+2*x.Hop, e)
			done(at)
		})
	}
	switch {
	case fake.down:
		reply(0, flow.Failed, func(at time.Time) { x.retry(at, c, t) })
	case fake.running >= fake.slots:
		x.result.OverSlots++
		reply(0, flow.NoSlot, func(at time.Time) { x.retry(at, c, t) })
	case fake.failing:
		x.result.Executions++
		reply(errorResponseTime, flow.Failed, func(at time.Time) { x.retry(at, c, t) })
	default:
		x.result.Executions++
		fake.running++
		duration := x.serviceTime()
		x.clock.schedule(now.Add(duration), func(time.Time) { fake.running-- })
		reply(duration, flow.Succeeded, func(at time.Time) { x.finish(at, c) })
	}
}

func (x *requestSimulation) serviceTime() time.Duration {
	return time.Duration((minServiceShare + (1-minServiceShare)*x.random.ExpFloat64()) * float64(x.ServiceTime))
}

func (x *requestSimulation) finish(now time.Time, c *call) {
	if c.ended {
		x.result.Wasted++
		return
	}
	c.ended = true
	x.result.OnTime++
	_ = x.latency.RecordValue(int64(now.Sub(c.arrived) / time.Microsecond)) // cannot fail: the deadline keeps the value in range
}

func (x *requestSimulation) retry(now time.Time, c *call, failed *flow.Target) {
	if c.ended {
		return
	}
	attempt := retry.FailedAttempt{
		Attempts: c.attempts, NotRun: true, Replayable: true,
		Deadline: c.request.Deadline, Expected: c.entry.dispatcher.Estimator.ServiceTime(),
	}
	if !attempt.MayRetry(now) || !c.entry.dispatcher.Retries.Take() {
		c.ended = true
		x.result.Failed++
		return
	}
	c.request.Avoid = failed
	x.clock.schedule(now.Add(retryDelay), func(at time.Time) {
		if !c.ended {
			x.submit(at, c)
		}
	})
}

// feasibleRequests returns an upper bound of the requests that the slots not hit by the fault can finish in time.
// The backlog is limited to the work that these slots finish within one deadline.
func (x *requestSimulation) feasibleRequests() int {
	const slice = 100 * time.Millisecond
	backlog, done := 0.0, 0.0
	for since := time.Duration(0); since < x.Duration+x.Deadline; since += slice {
		capacity := float64(x.liveTargets(since)*x.Slots) / x.ServiceTime.Seconds() * slice.Seconds()
		if since < x.Duration {
			backlog += x.Rate(since) * slice.Seconds()
		}
		served := math.Min(backlog, capacity)
		done += served
		backlog = math.Min(backlog-served, capacity/slice.Seconds()*x.Deadline.Seconds())
	}
	return min(x.result.Offered, int(done))
}

func (x *requestSimulation) liveTargets(since time.Duration) int {
	alive := 0
	for _, t := range x.targets {
		if since < x.FaultAt || !t.down && !t.failing {
			alive++
		}
	}
	return alive
}

// Add adds the counts of other to r and keeps the larger of each quantile.
func (r *RequestResult) Add(other RequestResult) {
	r.Offered += other.Offered
	r.OnTime += other.OnTime
	r.Late += other.Late
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Wasted += other.Wasted
	r.Executions += other.Executions
	r.Attempts += other.Attempts
	r.OverSlots += other.OverSlots
	r.Feasible += other.Feasible
	r.P50 = max(r.P50, other.P50)
	r.P99 = max(r.P99, other.P99)
}
