package store

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// rangeTimeout suffices for a few megabytes over a link of 2 Mbit/s; the platform's backend aborts a stalled read earlier.
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

// WatchPrefix waits up to maxWait for a key with the prefix to change after a revision. It takes nothing from the call budget,
// unless the changes were compacted: then it reads all keys, which may take longer than maxWait.
func (c *Client) WatchPrefix(ctx context.Context, prefix string, after uint64, maxWait time.Duration) (Batch, error) {
	watchCtx, cancel := context.WithTimeout(ctx, maxWait+c.CallTimeout)
	defer cancel()
	began := time.Now()
	batch, err := c.Backend.WatchPrefix(watchCtx, prefix, after, maxWait)
	if c.Observe != nil {
		c.Observe("Watch", time.Since(began), err)
	}
	if errors.Is(err, ErrCompacted) {
		return c.Range(ctx, prefix, Critical)
	}
	return batch, err
}

// CommitResult is the result of committing a change.
type CommitResult struct {
	Outcome      Outcome
	Revision     uint64   // revision of the applied change
	Current      []Record // the records of the conditions' keys, if a condition failed
	MaybeApplied bool     // an attempt got no response, so the platform may have applied the change
}

// Commit applies a change and retries it until its outcome is known or ctx ends.
//
// Retrying is safe if the change has a condition on each key that it puts, since then at most one attempt finds all
// conditions fulfilled. A conflict after an attempt without a response counts as applied if the platform already holds
// the value of every put.
func (c *Client) Commit(ctx context.Context, change Change) (CommitResult, error) {
	var s CommitResult
	for attempt := 0; ; attempt++ {
		var current []Record
		err := c.call(ctx, "Commit", Critical, func(ctx context.Context) error {
			var err error
			s.Revision, current, err = c.Backend.Commit(ctx, change)
			return err
		})
		switch {
		case err == nil:
			s.Outcome = Applied
			return s, nil
		case errors.Is(err, ErrConflict):
			if revision, present := alreadyApplied(change, current); s.MaybeApplied && present {
				s.Outcome, s.Revision = Applied, revision
				return s, nil
			}
			s.Outcome, s.Current = Conflicted, current
			return s, err
		case errors.Is(err, ErrNoLease) || unacceptable(err):
			s.Outcome = Conflicted
			return s, err
		}
		s.MaybeApplied = s.MaybeApplied || !errors.Is(err, ErrNotApplied) && !errors.Is(err, ErrRateLimited)
		if sleep(ctx, c.Backoff.Delay(attempt)) != nil {
			s.Outcome = Unsettled
			return s, errors.Wrapf(err, "commit change of %d keys", len(change.Puts))
		}
	}
}

// unacceptable reports whether the platform would refuse the call each time.
func unacceptable(err error) bool { return errors.Is(err, ErrTooLarge) || errors.Is(err, ErrInvalid) }

// alreadyApplied reports whether the current records hold the value of every put of a change, and at which revision.
func alreadyApplied(change Change, current []Record) (uint64, bool) {
	records := make(map[string]Record, len(current))
	for _, r := range current {
		records[r.Key] = r
	}
	var revision uint64
	for _, put := range change.Puts {
		r := records[put.Key]
		if r.Revision == 0 || !bytes.Equal(r.Value, put.Value) {
			return 0, false
		}
		revision = r.Revision
	}
	return revision, len(change.Puts) > 0
}
