package admit

import "time"

// Pace estimates how long a request waits and runs, from what targets finish.
type Pace struct {
	service float64 // seconds, moving average of the time at the target
	samples int
}

const (
	serviceWeight = 0.1
	minSamples    = 10
)

// Finish records a request that took the given time at its target.
func (p *Pace) Finish(took time.Duration) {
	p.samples++
	if p.samples == 1 {
		p.service = took.Seconds()
		return
	}
	p.service += serviceWeight * (took.Seconds() - p.service)
}

// Service returns the typical time at a target.
func (p *Pace) Service() time.Duration {
	return time.Duration(p.service * float64(time.Second))
}

// Wait returns the expected wait behind ahead requests when slots requests run at once.
func (p *Pace) Wait(ahead, slots int) time.Duration {
	if p.samples < minSamples {
		return 0
	}
	if slots <= 0 {
		return p.Service()
	}
	return time.Duration(float64(ahead) / float64(slots) * p.service * float64(time.Second))
}

// CanFinish reports whether a request behind ahead others can end before its deadline.
func (p *Pace) CanFinish(now, deadline time.Time, ahead, slots int) bool {
	return now.Add(p.Wait(ahead, slots) + p.Service()).Before(deadline)
}
