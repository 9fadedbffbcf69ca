package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes retry delays with exponential growth and full jitter; its zero value uses default delays.
type Backoff struct {
	Initial time.Duration // initial upper bound of the jitter; zero means 20 ms
	Max     time.Duration // largest upper bound of the jitter; zero means 2 s
}

const (
	defaultInitial = 20 * time.Millisecond
	defaultMax     = 2 * time.Second
	maxDoublings   = 16
	minDelay       = time.Millisecond
)

// Delay returns a random delay before the next attempt: 1 ms plus a random part, which is below Initial * 2^attempt and
// below Max.
func (b Backoff) Delay(attempt int) time.Duration {
	initial, maxDelay := b.Initial, b.Max
	if initial == 0 {
		initial = defaultInitial
	}
	if maxDelay == 0 {
		maxDelay = defaultMax
	}
	ceiling := min(initial<<min(attempt, maxDoublings), maxDelay)
	return minDelay + rand.N(ceiling)
}

// Budget is a token bucket that limits retries to a percentage of first attempts; its zero value allows no retries.
type Budget struct {
	Percent int

	tokens float64
}

const (
	maxBudgetTokens = 20
	fullPercent     = 100
)

// RecordAttempt records a first attempt, which adds Percent/100 of a retry to the budget.
func (b *Budget) RecordAttempt() {
	b.tokens = min(maxBudgetTokens, b.tokens+float64(b.Percent)/fullPercent)
}

// Take consumes one retry from the budget and reports whether one was available.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// FailedAttempt describes a request whose latest attempt failed.
type FailedAttempt struct {
	Attempts   int  // number of attempts so far
	NotRun     bool // whether the latest attempt certainly did not run: no byte of it was sent, or the target said so
	Idempotent bool
	Replayable bool // whether the body can be sent again
	Deadline   time.Time
	Expected   time.Duration // expected duration of the next attempt
}

const maxAttempts = 4

// MayRetry reports whether the request may be retried: attempts are left, a repetition is safe, and the next attempt is
// expected to end before the deadline.
func (f FailedAttempt) MayRetry(now time.Time) bool {
	if f.Attempts >= maxAttempts || !f.Replayable {
		return false
	}
	if !f.NotRun && !f.Idempotent {
		return false
	}
	return now.Add(f.Expected).Before(f.Deadline)
}
