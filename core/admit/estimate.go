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
func (e *Estimator) Observe(took time.Duration) {
	e.samples++
	if e.samples == 1 {
		e.serviceTime = took.Seconds()
		return
	}
	e.serviceTime += serviceTimeWeight * (took.Seconds() - e.serviceTime)
}

// ServiceTime returns the average time that a request takes at a target.
func (e *Estimator) ServiceTime() time.Duration {
	return time.Duration(e.serviceTime * float64(time.Second))
}

// ExpectedWait returns the expected wait behind ahead requests when slots requests run concurrently. It is zero until
// minSamples requests have finished, and one service time if there are no slots.
func (e *Estimator) ExpectedWait(ahead, slots int) time.Duration {
	if e.samples < minSamples {
		return 0
	}
	if slots <= 0 {
		return e.ServiceTime()
	}
	return time.Duration(float64(ahead) / float64(slots) * e.serviceTime * float64(time.Second))
}

// CanFinish reports whether a request behind ahead others is expected to finish before its deadline.
func (e *Estimator) CanFinish(now, deadline time.Time, ahead, slots int) bool {
	return now.Add(e.ExpectedWait(ahead, slots) + e.ServiceTime()).Before(deadline)
}
