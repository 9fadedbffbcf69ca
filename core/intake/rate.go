package intake

import (
	"math"
	"time"
)

// Limits bounds the rate at which an account submits jobs. Any span of Window may contain Weight x Window x (1 + Overage) + Slack jobs.
type Limits struct {
	Window  time.Duration
	Overage float64
	Slack   int
}

// allowance returns the number of jobs that an account may submit in a window.
func (l Limits) allowance(weight float64) float64 {
	if l.Window <= 0 || weight <= 0 {
		return math.Inf(1)
	}
	return weight*l.Window.Seconds()*(1+l.Overage) + float64(l.Slack)
}

// rateLog holds the times of the jobs within an account's rate in the last window, oldest first, and the rate of all of its jobs.
type rateLog struct {
	times  []time.Time
	head   int
	recent float64 // number of jobs, decayed over the window
	at     time.Time
}

// maxRateTimes bounds the memory of a rateLog.
const maxRateTimes = 8192

// take reports whether a job is within the account's rate, and counts it if it is.
func (r *rateLog) take(now time.Time, l Limits, weight float64) bool {
	most := l.allowance(weight)
	if math.IsInf(most, 1) {
		return true
	}
	for r.head < len(r.times) && now.Sub(r.times[r.head]) >= l.Window {
		r.head++
	}
	if r.head > 0 && 2*r.head >= len(r.times) {
		r.times = r.times[:copy(r.times, r.times[r.head:])]
		r.head = 0
	}
	if float64(len(r.times)-r.head+1) > min(most, maxRateTimes) {
		return false
	}
	r.times = append(r.times, now)
	return true
}

// count adds a job to the account's rate.
func (r *rateLog) count(now time.Time, window time.Duration) {
	r.recent = r.rate(now, window)*window.Seconds() + 1
	r.at = now
}

// rate returns the number of jobs that the account submits per second.
func (r *rateLog) rate(now time.Time, window time.Duration) float64 {
	if window <= 0 {
		return 0
	}
	return r.recent * math.Exp(-now.Sub(r.at).Seconds()/window.Seconds()) / window.Seconds()
}
