package store

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// rangeTimeout lets a list of some megabytes arrive over a link of 2 Mbit/s; the backend ends a read that stands still.
const rangeTimeout = 20 * time.Second

// Range reads all keys that begin with prefix.
func (c *Client) Range(ctx context.Context, prefix string, p Priority) (Batch, error) {
	var batch Batch
	err := c.callWithin(ctx, max(c.CallTimeout, rangeTimeout), "Range", p, func(ctx context.Context) error {
		var err error
		batch, err = c.Backend.Range(ctx, prefix)
		return err
	})
	return batch, err
}

// WatchPrefix waits for a change of a key that begins with prefix; the wait counts as one call.
func (c *Client) WatchPrefix(ctx context.Context, prefix string, after uint64, hold time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+c.CallTimeout)
	defer cancel()
	began := time.Now()
	batch, err := c.Backend.WatchPrefix(ctx, prefix, after, hold)
	if c.Observe != nil {
		c.Observe("Watch", time.Since(began), err)
	}
	return batch, err
}

// Settlement is what became of a change.
type Settlement struct {
	Outcome  Outcome
	Revision uint64   // of the change that took effect
	Current  []Record // the keys of the conditions, when one of them does not hold
	Sent     bool     // an attempt may have reached the platform without an answer
}

// Commit applies a change and repeats it until its outcome is known or ctx ends.
//
// Repeating is safe when the change has a condition on each key that it puts: at most one attempt
// can find it fulfilled. A conflict after an unanswered attempt counts as applied when every put
// stands there already.
func (c *Client) Commit(ctx context.Context, change Change) (Settlement, error) {
	var s Settlement
	for attempt := 0; ; attempt++ {
		var current []Record
		err := c.call(ctx, "Commit", Safety, func(ctx context.Context) error {
			var err error
			s.Revision, current, err = c.Backend.Commit(ctx, change)
			return err
		})
		switch {
		case err == nil:
			s.Outcome = Applied
			return s, nil
		case errors.Is(err, ErrConflict):
			if revision, stands := standing(change, current); s.Sent && stands {
				s.Outcome, s.Revision = Applied, revision
				return s, nil
			}
			s.Outcome, s.Current = Conflicted, current
			return s, err
		case errors.Is(err, ErrNoLease) || errors.Is(err, ErrTooLarge):
			s.Outcome = Conflicted
			return s, err
		}
		s.Sent = s.Sent || !errors.Is(err, ErrNotDone) && !errors.Is(err, ErrRateLimited)
		if wait(ctx, c.Backoff.Delay(attempt)) != nil {
			s.Outcome = Unsettled
			return s, errors.Wrapf(err, "change of %d keys", len(change.Puts))
		}
	}
}

// standing reports whether every put of a change is what the platform holds, and at which revision.
func standing(change Change, current []Record) (uint64, bool) {
	held := make(map[string]Record, len(current))
	for _, r := range current {
		held[r.Key] = r
	}
	var revision uint64
	for _, put := range change.Puts {
		r := held[put.Key]
		if r.Revision == 0 || !bytes.Equal(r.Value, put.Value) {
			return 0, false
		}
		revision = r.Revision
	}
	return revision, len(change.Puts) > 0
}
