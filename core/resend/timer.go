package resend

import (
	"math"
	"time"
)

// Timer estimates the response time of one destination and the share of requests that it leaves unanswered. The zero value
// is ready to use; it is not safe for concurrent use.
type Timer struct {
	mean      time.Duration // moving mean of the response time
	deviation time.Duration // moving mean of its absolute deviation
	lossShare float64       // moving mean of the share of copies without an answer
	silent    int           // consecutive copies without an answer
}

// MaxCopies is the largest number of copies of a request. With half of them lost, one request in 64 fails.
const MaxCopies = 6

const (
	timeWeight      = 0.125 // weight of one response time in the moving means
	deviationFactor = 4     // deviations above the mean after which an answer is overdue
	initialDelay    = 100 * time.Millisecond
	minDelay        = 15 * time.Millisecond // above the time that a busy process needs to read an answer that has arrived
	maxDelay        = 250 * time.Millisecond
	lossWeight      = 0.1  // weight of one copy in lossShare
	toleratedLoss   = 0.01 // loss share up to which an answer may be delayed as long as the caller allows
	maxSilent       = 18   // the orders of a plan, three copies each, before a destination counts as silent
	minAnswerWait   = 80 * time.Millisecond
)

// Answered records an answer that took the given time.
func (t *Timer) Answered(took time.Duration) {
	t.silent = 0
	t.lossShare -= lossWeight * t.lossShare
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	t.deviation += time.Duration(timeWeight * (math.Abs(float64(took-t.mean)) - float64(t.deviation)))
	t.mean += time.Duration(timeWeight * float64(took-t.mean))
}

// Overdue records a copy whose answer is overdue.
func (t *Timer) Overdue() {
	t.silent++
	t.lossShare += lossWeight * (1 - t.lossShare)
}

// Delay returns the time after which the answer to the latest of the given number of copies is overdue, and whether another
// copy may be sent then. The time doubles with each copy. A destination that left maxSilent copies in a row unanswered gets
// one copy of each request until it answers.
func (t *Timer) Delay(copies int) (time.Duration, bool) {
	delay := initialDelay
	if t.mean > 0 {
		delay = min(maxDelay, max(minDelay, t.mean+deviationFactor*t.deviation))
	}
	return delay << (copies - 1), copies < MaxCopies && t.silent < maxSilent
}

// AnswerWait returns how long the destination may delay an answer until it has news. A shorter wait costs more requests, a
// longer one leaves the caller without news for longer when the answer is lost. The sum of both costs is least at a wait
// that falls with the square root of the loss share.
func (t *Timer) AnswerWait(longest time.Duration) time.Duration {
	if t.lossShare <= toleratedLoss {
		return longest
	}
	wait := time.Duration(float64(longest) * math.Sqrt(toleratedLoss/t.lossShare))
	return min(longest, max(minAnswerWait, wait))
}

// Fresh returns a timer for a new destination with the response times of t.
func (t *Timer) Fresh() Timer { return Timer{mean: t.mean, deviation: t.deviation} }
