package store

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"daisysaddle/core/retry"
)

// envelope wraps each value with the ids of the latest operations that wrote the key, newest last.
type envelope struct {
	Operations []string
	Value      json.RawMessage
}

const maxEnvelopeOperations = 64

const operationIDBase = 36

// Priority determines which platform calls are rejected first when the call budget runs low.
type Priority int

// Priorities of platform calls, highest first. Informational calls are also rejected while the circuit breaker is open.
const (
	Critical Priority = iota
	Informational
)

// Outcome is the result of a write.
type Outcome string

// Outcomes of a write.
const (
	Applied    Outcome = "Applied"
	Conflicted Outcome = "Conflicted" // not applied: a condition failed, the lease has expired or the value is too large
	Unsettled  Outcome = "Unsettled"  // not known whether it was applied
)

// Client calls the platform through a backend, with a timeout, a rate limit and a circuit breaker.
type Client struct {
	Backend     Backend
	CallTimeout time.Duration // limit of one call; Range has at least rangeTimeout, and watches have it beyond their maximum wait
	Backoff     retry.Backoff
	Observe     func(kind string, d time.Duration, err error) // called after each call except Watch; may be nil

	limiter          *rate.Limiter
	mu               sync.Mutex
	failures         int       // consecutive ones
	downSince        time.Time // time of the first of the consecutive failures
	breakerOpenUntil time.Time
	answeredAt       time.Time // when a call was last answered
}

const (
	defaultCallTimeout        = time.Second
	deploymentCallRate        = 400 // calls per second of all entries together
	callBurst                 = 50
	breakerFailures           = 5
	breakerOpenDuration       = 500 * time.Millisecond
	informationalReserveCalls = 10 // rate limiter tokens that informational calls leave to others
)

// NewClient returns a client that may use the whole call budget of the deployment; see ShareBudget.
func NewClient(b Backend) *Client {
	return &Client{Backend: b, CallTimeout: defaultCallTimeout, limiter: rate.NewLimiter(deploymentCallRate, callBurst)}
}

// ShareBudget limits the client to its share of the deployment's call budget among the live entries; zero removes the limit.
func (c *Client) ShareBudget(entries int) {
	if entries == 0 {
		c.limiter.SetLimit(rate.Inf)
		return
	}
	c.limiter.SetLimit(rate.Limit(deploymentCallRate / float64(entries)))
}

// SetRate limits the client to a number of calls per second.
func (c *Client) SetRate(callsPerSecond float64) { c.limiter.SetLimit(rate.Limit(callsPerSecond)) }

// Rate returns the number of calls per second to which the client is limited.
func (c *Client) Rate() float64 { return float64(c.limiter.Limit()) }

// Get reads a key. The record's value is still in its envelope; see Payload.
func (c *Client) Get(ctx context.Context, key string, p Priority) (Record, error) {
	var record Record
	err := c.call(ctx, "Read", p, func(ctx context.Context) error {
		var err error
		record, err = c.Backend.Get(ctx, key)
		return err
	})
	return record, err
}

// Payload returns the value inside the record's envelope, or nil if there is none.
func (r Record) Payload() []byte {
	return r.decodeEnvelope().Value
}

func (r Record) decodeEnvelope() envelope {
	var e envelope
	if json.Unmarshal(r.Value, &e) != nil {
		return envelope{}
	}
	return e
}

// Swap replaces the value of prev by payload if the key is still at prev's revision. If a response is lost, it determines the
// outcome from the stored record.
//
// Retrying the same compare-and-swap is safe, because at most one attempt finds the expected revision.
func (c *Client) Swap(ctx context.Context, prev Record, payload []byte, lease string) (Record, Outcome, error) {
	operationID := strconv.FormatUint(rand.Uint64(), operationIDBase)
	operations := append(slices.Clone(prev.decodeEnvelope().Operations), operationID)
	if len(operations) > maxEnvelopeOperations {
		operations = operations[len(operations)-maxEnvelopeOperations:]
	}
	value, err := json.Marshal(envelope{Operations: operations, Value: payload})
	if err != nil {
		return prev, Unsettled, errors.Wrapf(err, "encode %s", prev.Key)
	}
	if len(value) > MaxValueBytes {
		return prev, Conflicted, errors.Wrapf(ErrTooLarge, "%s has %d bytes", prev.Key, len(value))
	}
	next := Record{Key: prev.Key, Value: value, Lease: lease}
	return c.swapUntilSettled(ctx, next, prev, operationID)
}

// swapUntilSettled retries a compare-and-swap until its outcome is known or ctx ends.
func (c *Client) swapUntilSettled(ctx context.Context, next, prev Record, operationID string) (Record, Outcome, error) {
	maybeApplied := false // an attempt got no response
	for attempt := 0; ; attempt++ {
		var written Record
		err := c.call(ctx, "Swap", Critical, func(ctx context.Context) error {
			var err error
			written, err = c.Backend.Swap(ctx, next, prev.Revision)
			return err
		})
		switch {
		case err == nil:
			next.Revision = written.Revision
			return next, Applied, nil
		case errors.Is(err, ErrNoLease) || errors.Is(err, ErrTooLarge):
			return Record{Key: next.Key}, Conflicted, err
		}
		maybeApplied = maybeApplied || errors.Is(err, ErrUnavailable)
		if current, readErr := c.Get(ctx, next.Key, Critical); readErr == nil && current.Revision != prev.Revision {
			if !maybeApplied {
				return current, Conflicted, ErrConflict
			}
			return outcomeFromHistory(current, prev, operationID)
		}
		if sleep(ctx, c.Backoff.Delay(attempt)) != nil {
			return Record{Key: next.Key}, Unsettled, errors.Wrapf(err, "swap %s", next.Key)
		}
	}
}

// outcomeFromHistory determines from the record that replaced prev whether an operation was applied.
//
// A record holds the ids of its latest operations. If the operation that wrote prev is still among them, or prev has none and
// the list is not yet full, then all later operations are too. Otherwise the outcome is unknown. A record that was deleted
// counts as a conflict.
func outcomeFromHistory(current, prev Record, operationID string) (Record, Outcome, error) {
	operations, previous := current.decodeEnvelope().Operations, prev.decodeEnvelope().Operations
	if slices.Contains(operations, operationID) {
		return current, Applied, nil
	}
	complete := len(operations) < maxEnvelopeOperations
	if len(previous) > 0 {
		complete = slices.Contains(operations, previous[len(previous)-1])
	}
	if current.Revision == 0 || complete {
		return current, Conflicted, ErrConflict
	}
	return current, Unsettled, errors.Wrapf(ErrUnavailable, "%s was overwritten too often to tell whether this write was applied", current.Key)
}

// Watch waits up to maxWait for a change after a revision. It takes nothing from the call budget.
func (c *Client) Watch(ctx context.Context, after uint64, maxWait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait+c.CallTimeout)
	defer cancel()
	return c.Backend.Watch(ctx, after, maxWait)
}

// List reads the platform's list of instances.
func (c *Client) List(ctx context.Context) (Listing, error) {
	var listing Listing
	err := c.call(ctx, "List", Informational, func(ctx context.Context) error {
		var err error
		listing, err = c.Backend.List(ctx)
		return err
	})
	return listing, err
}

// Grant creates a lease of duration d and returns its id.
func (c *Client) Grant(ctx context.Context, d time.Duration) (string, error) {
	var lease string
	err := c.call(ctx, "Grant", Critical, func(ctx context.Context) error {
		var err error
		lease, err = c.Backend.Grant(ctx, d)
		return err
	})
	return lease, err
}

// Renew extends a lease by its duration. It fails with ErrNoLease if the lease has expired.
func (c *Client) Renew(ctx context.Context, lease string) error {
	return c.call(ctx, "Renew", Critical, func(ctx context.Context) error { return c.Backend.Renew(ctx, lease) })
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.call(ctx, "Revoke", Critical, func(ctx context.Context) error { return c.Backend.Revoke(ctx, lease) })
}

func (c *Client) call(ctx context.Context, kind string, p Priority, do func(context.Context) error) error {
	return c.callWithin(ctx, c.CallTimeout, kind, p, do)
}

func (c *Client) callWithin(ctx context.Context, timeout time.Duration, kind string, p Priority, do func(context.Context) error) error {
	if p == Informational && c.limiter.Tokens() < informationalReserveCalls {
		return ErrRateLimited
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return errors.Mark(err, ErrRateLimited)
	}
	if c.breakerOpen(time.Now()) && p == Informational {
		return ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	err := do(ctx)
	now := time.Now()
	c.recordResult(err, now)
	if c.Observe != nil {
		c.Observe(kind, now.Sub(began), err)
	}
	return err
}

func (c *Client) breakerOpen(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.breakerOpenUntil)
}

// Down reports whether the circuit breaker is open because the latest calls failed.
func (c *Client) Down(now time.Time) bool { return c.breakerOpen(now) }

// DownFor returns the time since the first of the consecutive failures, or zero if the latest call succeeded.
func (c *Client) DownFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures == 0 {
		return 0
	}
	return now.Sub(c.downSince)
}

// SinceAnswer returns the time since the platform last answered a call, and whether it ever did.
func (c *Client) SinceAnswer(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.answeredAt), !c.answeredAt.IsZero()
}

// recordResult counts consecutive calls that failed or exceeded the platform's rate limit, and opens the circuit breaker after
// breakerFailures of them. Any other result, such as a conflict, ends the sequence and closes the breaker.
func (c *Client) recordResult(err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrRateLimited) {
		c.failures, c.breakerOpenUntil, c.answeredAt = 0, time.Time{}, now
		return
	}
	if c.failures == 0 {
		c.downSince = now
	}
	c.failures++
	if c.failures >= breakerFailures {
		c.breakerOpenUntil = now.Add(breakerOpenDuration)
	}
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
