package eject

import (
	"time"
)

// Status is the health status of a target.
type Status string

// Health statuses of a target.
const (
	Healthy Status = "Healthy"
	Ejected Status = "Ejected" // gets no requests until its ejection ends
	OnTrial Status = "OnTrial" // gets one trial request at a time
)

// Target holds the recent results of one target; its zero value is a healthy target.
type Target struct {
	status         Status
	window         [windowSize]bool // ring buffer of results, true for a failure
	next           int              // index in window of the next result
	samples        int
	failures       int
	latency        float64 // seconds, exponential moving average over successes
	ejectedUntil   time.Time
	ejections      int // since the target was last healthy; each doubles the next period
	trialInFlight  bool
	trialSuccesses int
}

// Group decides on ejections among the targets of one pool in one zone.
type Group struct {
	Targets []*Target
}

const (
	windowSize             = 20
	minSamples             = 5
	failureRatio           = 0.5
	initialEjection        = time.Second
	maxEjection            = 30 * time.Second
	maxDoublings           = 5
	targetsPerEjection     = 3 // targets in a group for each one that may be ejected
	requiredTrialSuccesses = 3
	latencyWeight          = 0.2
)

// Status returns the health status of the target.
func (t *Target) Status() Status {
	if t.status == "" {
		return Healthy
	}
	return t.status
}

// Weight returns a routing weight from 1, without recent failures, down to 0, when all recent requests failed.
func (t *Target) Weight() float64 {
	if t.samples == 0 {
		return 1
	}
	return 1 - float64(t.failures)/float64(t.samples)
}

func (t *Target) record(failed bool) {
	if t.samples == windowSize && t.window[t.next] {
		t.failures--
	}
	t.window[t.next] = failed
	t.next = (t.next + 1) % windowSize
	t.samples = min(windowSize, t.samples+1)
	if failed {
		t.failures++
	}
}

func (t *Target) reset() {
	*t = Target{ejections: t.ejections, latency: t.latency}
}

func (t *Target) isFailing() bool {
	return t.samples >= minSamples && float64(t.failures) >= failureRatio*float64(t.samples)
}

// Succeed records a request that succeeded on the target, and returns the target's status.
func (g *Group) Succeed(t *Target, took time.Duration) Status {
	t.latency += latencyWeight * (took.Seconds() - t.latency)
	t.record(false)
	if t.status == OnTrial {
		t.trialInFlight = false
		t.trialSuccesses++
		if t.trialSuccesses >= requiredTrialSuccesses {
			t.reset()
			t.ejections = 0
		}
	}
	return t.Status()
}

// Fail records a request that failed on the target, ejects the target if enough of its recent requests failed, and
// returns its status.
func (g *Group) Fail(now time.Time, t *Target) Status {
	t.record(true)
	switch {
	case t.status == OnTrial:
		g.eject(now, t)
	case t.Status() == Healthy && t.isFailing() && g.mayEject():
		g.eject(now, t)
	}
	return t.Status()
}

func (g *Group) eject(now time.Time, t *Target) {
	period := min(maxEjection, initialEjection<<min(t.ejections, maxDoublings))
	t.reset()
	t.ejections++
	t.status = Ejected
	t.ejectedUntil = now.Add(period)
}

// mayEject reports whether one more target may be ejected. At most one in targetsPerEjection may be ejected or on trial; of
// two targets one may be, and an only target never is. No target is ejected while most targets fail or are ejected, since the
// fault then probably lies with this entry.
func (g *Group) mayEject() bool {
	ejected, failing := 0, 0
	for _, t := range g.Targets {
		if t.Status() != Healthy {
			ejected++
		} else if t.isFailing() {
			failing++
		}
	}
	if failing+ejected > (len(g.Targets)+1)/2 {
		return false
	}
	return (ejected+1)*targetsPerEjection <= max(len(g.Targets), targetsPerEjection) && len(g.Targets) > 1
}

// MostlyFailing reports whether most targets fail from this entry's point of view, so that another entry may reach better ones.
func (g *Group) MostlyFailing() bool {
	failing := 0
	for _, t := range g.Targets {
		if t.Status() != Healthy || t.isFailing() {
			failing++
		}
	}
	return failing*2 > len(g.Targets)
}

// Usable reports whether a request may be sent to the target now. For a target whose ejection has ended, that request is a
// trial; a target on trial takes one request at a time.
func (g *Group) Usable(now time.Time, t *Target) bool {
	switch t.Status() {
	case Ejected:
		return !now.Before(t.ejectedUntil)
	case OnTrial:
		return !t.trialInFlight
	default:
		return true
	}
}

// Begin records that a request is sent to the target; the first one after an ejection puts the target on trial.
func (g *Group) Begin(now time.Time, t *Target) {
	if t.status == Ejected && !now.Before(t.ejectedUntil) {
		t.status = OnTrial
		t.trialSuccesses = 0
	}
	if t.status == OnTrial {
		t.trialInFlight = true
	}
}

// EndInconclusive records that a request ended without saying anything about the target's health, so that another trial
// may begin.
func (g *Group) EndInconclusive(t *Target) {
	t.trialInFlight = false
}
