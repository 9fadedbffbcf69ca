package admit

import "time"

// Estimator estimates wait and service times of requests from those that targets have finished.
type Estimator struct {
	serviceTime float64 // seconds at the target, exponential moving average
	samples     int
}

const (
	serviceTimeWeight = 0.1
	minSamples        = 10
)

// Observe records the time that a finished request took at its target.
func (p *Estimator) Observe(took time.Duration) {
	p.samples++
	if p.samples == 1 {
		p.serviceTime = took.Seconds()
		return
	}
	p.serviceTime += serviceTimeWeight * (took.Seconds() - p.serviceTime)
}

// ServiceTime returns the average time that a request takes at a target.
func (p *Estimator) ServiceTime() time.Duration {
	return time.Duration(p.serviceTime * float64(time.Second))
}

// ExpectedWait returns the expected wait behind ahead requests when slots requests run concurrently. It is zero until
// minSamples requests have finished, and one service time if there are no slots.
func (p *Estimator) ExpectedWait(ahead, slots int) time.Duration {
	if p.samples < minSamples {
		return 0
	}
	if slots <= 0 {
		return p.ServiceTime()
	}
	return time.Duration(float64(ahead) / float64(slots) * p.serviceTime * float64(time.Second))
}

// CanFinish reports whether a request behind ahead others is expected to finish before its deadline.
func (p *Estimator) CanFinish(now, deadline time.Time, ahead, slots int) bool {
	return now.Add(p.ExpectedWait(ahead, slots) + p.ServiceTime()).Before(deadline)
}
