package eject

import (
	"time"
)

// Verdict is the standing of a target.
type Verdict string

// Verdicts on a target.
const (
	Healthy Verdict = "Healthy"
	Ejected Verdict = "Ejected"
	OnTrial Verdict = "OnTrial"
)

// Target holds the evidence on one target; its zero value is a healthy target.
type Target struct {
	verdict  Verdict
	window   [windowSize]bool // true for a failure
	at       int
	samples  int
	failures int
	latency  float64 // seconds, moving average of successes
	until    time.Time
	ejects   int
	trial    bool
	passed   int
}

// Group decides for the targets of one pool in one zone.
type Group struct {
	Targets []*Target
}

const (
	windowSize    = 20
	minSamples    = 5
	failureShare  = 0.5
	firstEject    = time.Second
	mostEject     = 30 * time.Second
	maxDoublings  = 5
	maxShare      = 3 // at most one in maxShare targets is ejected
	trialPasses   = 3
	latencyWeight = 0.2
)

// Verdict returns the standing of the target.
func (t *Target) Verdict() Verdict {
	if t.verdict == "" {
		return Healthy
	}
	return t.verdict
}

// Weight returns a routing weight that falls with the share of recent failures.
func (t *Target) Weight() float64 {
	if t.samples == 0 {
		return 1
	}
	return 1 - float64(t.failures)/float64(t.samples)
}

func (t *Target) record(failed bool) {
	if t.samples == windowSize && t.window[t.at] {
		t.failures--
	}
	t.window[t.at] = failed
	t.at = (t.at + 1) % windowSize
	t.samples = min(windowSize, t.samples+1)
	if failed {
		t.failures++
	}
}

func (t *Target) reset() {
	*t = Target{ejects: t.ejects, latency: t.latency}
}

func (t *Target) bad() bool {
	return t.samples >= minSamples && float64(t.failures) >= failureShare*float64(t.samples)
}

// Succeed records a request that the target answered well.
func (g *Group) Succeed(t *Target, took time.Duration) Verdict {
	t.latency += latencyWeight * (took.Seconds() - t.latency)
	t.record(false)
	if t.verdict == OnTrial {
		t.trial = false
		t.passed++
		if t.passed >= trialPasses {
			t.reset()
			t.ejects = 0
		}
	}
	return t.Verdict()
}

// Fail records a request that failed on the target and ejects it when the evidence suffices.
func (g *Group) Fail(now time.Time, t *Target) Verdict {
	t.record(true)
	switch {
	case t.verdict == OnTrial:
		g.eject(now, t)
	case t.Verdict() == Healthy && t.bad() && g.mayEject():
		g.eject(now, t)
	}
	return t.Verdict()
}

func (g *Group) eject(now time.Time, t *Target) {
	pause := min(mostEject, firstEject<<min(t.ejects, maxDoublings))
	t.reset()
	t.ejects++
	t.verdict = Ejected
	t.until = now.Add(pause)
}

// mayEject keeps most targets in use; when most of them fail, the observer is probably at fault.
func (g *Group) mayEject() bool {
	out, bad := 0, 0
	for _, t := range g.Targets {
		if t.Verdict() != Healthy {
			out++
		} else if t.bad() {
			bad++
		}
	}
	if bad+out > (len(g.Targets)+1)/2 {
		return false
	}
	return (out+1)*maxShare <= max(len(g.Targets), maxShare) && len(g.Targets) > 1
}

// Suspect reports whether most targets fail, so that another observer may see better ones.
func (g *Group) Suspect() bool {
	failing := 0
	for _, t := range g.Targets {
		if t.Verdict() != Healthy || t.bad() {
			failing++
		}
	}
	return failing*2 > len(g.Targets)
}

// Usable reports whether a request may be sent to the target now, which for an ejected one starts a trial.
func (g *Group) Usable(now time.Time, t *Target) bool {
	switch t.Verdict() {
	case Ejected:
		return !now.Before(t.until)
	case OnTrial:
		return !t.trial
	default:
		return true
	}
}

// Begin records that a request goes to the target.
func (g *Group) Begin(now time.Time, t *Target) {
	if t.verdict == Ejected && !now.Before(t.until) {
		t.verdict = OnTrial
		t.passed = 0
	}
	if t.verdict == OnTrial {
		t.trial = true
	}
}

// Abandon records that a trial request ended without evidence.
func (g *Group) Abandon(t *Target) {
	t.trial = false
}
