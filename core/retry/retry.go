package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff is an exponential delay with full jitter; its zero value is ready to use.
type Backoff struct {
	First time.Duration
	Most  time.Duration
}

const (
	defaultFirst = 20 * time.Millisecond
	defaultMost  = 2 * time.Second
	maxDoublings = 16
	minDelay     = time.Millisecond
)

// Delay returns the time to wait before the next try after attempt failures.
func (b Backoff) Delay(attempt int) time.Duration {
	first, most := b.First, b.Most
	if first == 0 {
		first = defaultFirst
	}
	if most == 0 {
		most = defaultMost
	}
	ceiling := min(first<<min(attempt, maxDoublings), most)
	return minDelay + rand.N(ceiling)
}

// Budget limits retries to a share of first attempts; its zero value allows none.
type Budget struct {
	Percent int

	tokens float64
}

const (
	maxBudgetTokens = 20
	percentScale    = 100
)

// Attempt records a first attempt.
func (b *Budget) Attempt() {
	b.tokens = min(maxBudgetTokens, b.tokens+float64(b.Percent)/percentScale)
}

// Take uses one retry and reports whether one was left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Try describes a failed attempt.
type Try struct {
	Attempts   int
	NotRun     bool // proven: no byte of the request reached the target, or the target said so
	Idempotent bool
	Replayable bool // the body can be sent again
	Deadline   time.Time
	Expected   time.Duration // typical time of the next attempt
}

const maxAttempts = 4

// Allowed reports whether the attempt may be followed by another one.
func (t Try) Allowed(now time.Time) bool {
	if t.Attempts >= maxAttempts || !t.Replayable {
		return false
	}
	if !t.NotRun && !t.Idempotent {
		return false
	}
	return now.Add(t.Expected).Before(t.Deadline)
}
