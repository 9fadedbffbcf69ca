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

// envelope wraps each value with the operations that led to it, newest last.
type envelope struct {
	Operations []string
	Value      json.RawMessage
}

const rememberedOperations = 64

const operationBase = 36

// Priority orders platform calls under a short budget.
type Priority int

// Priorities of platform calls.
const (
	Safety Priority = iota
	Informational
)

// Outcome says what became of a write.
type Outcome string

// Outcomes of a write.
const (
	Applied    Outcome = "Applied"
	Conflicted Outcome = "Conflicted"
	Unsettled  Outcome = "Unsettled"
)

// Client calls the platform through a backend.
type Client struct {
	Backend     Backend
	CallTimeout time.Duration
	Backoff     retry.Backoff
	Observe     func(kind string, d time.Duration, err error) // called after each call, if set

	limiter   *rate.Limiter
	mu        sync.Mutex
	failures  int
	downSince time.Time // of the first failure in a row
	openUntil time.Time
}

const (
	defaultCallTimeout   = time.Second
	deploymentCallRate   = 400 // calls per second over all entries
	callBurst            = 50
	breakerFailures      = 5
	breakerPeriod        = 500 * time.Millisecond
	informationalReserve = 10 // tokens kept for safety calls
)

// NewClient returns a client with the whole call budget of the deployment.
func NewClient(b Backend) *Client {
	return &Client{Backend: b, CallTimeout: defaultCallTimeout, limiter: rate.NewLimiter(deploymentCallRate, callBurst)}
}

// ShareBudget divides the deployment's call budget among live entries; zero lifts it.
func (c *Client) ShareBudget(entries int) {
	if entries == 0 {
		c.limiter.SetLimit(rate.Inf)
		return
	}
	c.limiter.SetLimit(rate.Limit(deploymentCallRate / float64(entries)))
}

// Get reads a key and removes the envelope from its value.
func (c *Client) Get(ctx context.Context, key string, p Priority) (Record, error) {
	var record Record
	err := c.call(ctx, "Read", p, func(ctx context.Context) error {
		var err error
		record, err = c.Backend.Get(ctx, key)
		return err
	})
	return record, err
}

// Payload returns the value inside the record's envelope, or nil.
func (r Record) Payload() []byte {
	return r.open().Value
}

func (r Record) open() envelope {
	var e envelope
	if json.Unmarshal(r.Value, &e) != nil {
		return envelope{}
	}
	return e
}

// Swap replaces the record prev by payload and settles the outcome when an answer is lost.
//
// Repeating the same compare-and-swap is safe, because at most one of the
// repetitions can find the expected revision.
func (c *Client) Swap(ctx context.Context, prev Record, payload []byte, lease string) (Record, Outcome, error) {
	operation := strconv.FormatUint(rand.Uint64(), operationBase)
	operations := append(slices.Clone(prev.open().Operations), operation)
	if len(operations) > rememberedOperations {
		operations = operations[len(operations)-rememberedOperations:]
	}
	value, err := json.Marshal(envelope{Operations: operations, Value: payload})
	if err != nil {
		return prev, Unsettled, errors.Wrapf(err, "encode %s", prev.Key)
	}
	if len(value) > MaxValueBytes {
		return prev, Conflicted, errors.Wrapf(ErrTooLarge, "%s has %d bytes", prev.Key, len(value))
	}
	next := Record{Key: prev.Key, Value: value, Lease: lease}
	return c.settle(ctx, next, prev, operation)
}

// settle repeats the compare-and-swap until its outcome is known or ctx ends.
func (c *Client) settle(ctx context.Context, next, prev Record, operation string) (Record, Outcome, error) {
	doubt := false // an attempt got no definite answer
	for attempt := 0; ; attempt++ {
		var written Record
		err := c.call(ctx, "Swap", Safety, func(ctx context.Context) error {
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
		doubt = doubt || errors.Is(err, ErrUnavailable)
		if current, readErr := c.Get(ctx, next.Key, Safety); readErr == nil && current.Revision != prev.Revision {
			if !doubt {
				return current, Conflicted, ErrConflict
			}
			return judge(current, prev, operation)
		}
		if wait(ctx, c.Backoff.Delay(attempt)) != nil {
			return Record{Key: next.Key}, Unsettled, errors.Wrapf(err, "swap %s", next.Key)
		}
	}
}

// judge decides from the record that stands in place of prev whether the operation took effect.
//
// The record names its newest operations. When the operation that led to prev is still among
// them, or there was none, every later one is too; otherwise nothing can be said.
func judge(current, prev Record, operation string) (Record, Outcome, error) {
	operations, before := current.open().Operations, prev.open().Operations
	if slices.Contains(operations, operation) {
		return current, Applied, nil
	}
	complete := len(operations) < rememberedOperations
	if len(before) > 0 {
		complete = slices.Contains(operations, before[len(before)-1])
	}
	if current.Revision == 0 || complete {
		return current, Conflicted, ErrConflict
	}
	return current, Unsettled, errors.Wrapf(ErrUnavailable, "%s was written too often to tell whether this write took effect", current.Key)
}

// Watch waits for changes after a revision; the wait counts as one call.
func (c *Client) Watch(ctx context.Context, after uint64, hold time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+c.CallTimeout)
	defer cancel()
	return c.Backend.Watch(ctx, after, hold)
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

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, d time.Duration) (string, error) {
	var lease string
	err := c.call(ctx, "Grant", Safety, func(ctx context.Context) error {
		var err error
		lease, err = c.Backend.Grant(ctx, d)
		return err
	})
	return lease, err
}

// Renew extends a lease.
func (c *Client) Renew(ctx context.Context, lease string) error {
	return c.call(ctx, "Renew", Safety, func(ctx context.Context) error { return c.Backend.Renew(ctx, lease) })
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.call(ctx, "Revoke", Safety, func(ctx context.Context) error { return c.Backend.Revoke(ctx, lease) })
}

func (c *Client) call(ctx context.Context, kind string, p Priority, do func(context.Context) error) error {
	return c.callWithin(ctx, c.CallTimeout, kind, p, do)
}

func (c *Client) callWithin(ctx context.Context, timeout time.Duration, kind string, p Priority, do func(context.Context) error) error {
	if p == Informational && c.limiter.Tokens() < informationalReserve {
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
	c.count(err, now)
	if c.Observe != nil {
		c.Observe(kind, now.Sub(began), err)
	}
	return err
}

func (c *Client) breakerOpen(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.openUntil)
}

// Down reports whether the platform has not answered for some calls in a row.
func (c *Client) Down(now time.Time) bool { return c.breakerOpen(now) }

// DownFor returns for how long calls have failed in a row.
func (c *Client) DownFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures == 0 {
		return 0
	}
	return now.Sub(c.downSince)
}

// count opens the circuit breaker after consecutive failures.
func (c *Client) count(err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrRateLimited) {
		c.failures = 0
		return
	}
	if c.failures == 0 {
		c.downSince = now
	}
	c.failures++
	if c.failures >= breakerFailures {
		c.openUntil = now.Add(breakerPeriod)
	}
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
