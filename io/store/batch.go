package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Batcher merges many small changes into few calls of Commit.
type Batcher struct {
	Client       *Client
	Guard        *Condition    // added to the conditions of every call; queued changes don't contain it
	MinInterval  time.Duration // minimum interval between the starts of two calls
	RetryTimeout time.Duration // how long a call is retried before its outcome counts as unsettled

	mu             sync.Mutex
	pending        []queuedChange
	callsInFlight  int
	lastFlush      time.Time
	flushScheduled bool
	group          errgroup.Group
}

// queuedChange is a change with the callback for its result.
type queuedChange struct {
	change Change
	done   func(CommitResult, error)
}

// maxBatchCallsInFlight limits concurrent calls. With 4, a platform whose calls take 240 ms, 60 times the usual 4 ms, still
// commits a few hundred changes a second.
const maxBatchCallsInFlight = 4

// Submit queues a change; done is called once with its result, from another goroutine. The change and the guard together may
// not exceed MaxChangeSize.
func (b *Batcher) Submit(ctx context.Context, change Change, done func(CommitResult, error)) {
	b.mu.Lock()
	b.pending = append(b.pending, queuedChange{change, done})
	b.mu.Unlock()
	b.scheduleFlush(ctx)
}

// scheduleFlush schedules the next call if changes are queued, none is scheduled yet and fewer than the maximum are in flight.
func (b *Batcher) scheduleFlush(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flushScheduled || len(b.pending) == 0 || b.callsInFlight >= maxBatchCallsInFlight {
		return
	}
	b.flushScheduled = true
	delay := b.MinInterval - time.Since(b.lastFlush)
	b.group.Go(func() error {
		if delay > 0 {
			_ = sleep(ctx, delay) // the call fails if ctx has ended
		}
		b.flush(ctx)
		return nil
	})
}

func (b *Batcher) flush(ctx context.Context) {
	b.mu.Lock()
	b.flushScheduled = false
	b.callsInFlight++
	b.lastFlush = time.Now()
	changes := b.dequeue()
	b.mu.Unlock()
	b.scheduleFlush(ctx)
	b.commit(ctx, changes)
	b.mu.Lock()
	b.callsInFlight--
	b.mu.Unlock()
	b.scheduleFlush(ctx)
}

// dequeue removes as many queued changes as fit into one call. The caller holds b.mu.
func (b *Batcher) dequeue() []queuedChange {
	capacity := MaxChangeSize
	if b.Guard != nil {
		capacity--
	}
	n := 0
	for n < len(b.pending) && b.pending[n].change.Size() <= capacity {
		capacity -= b.pending[n].change.Size()
		n++
	}
	dequeued := slices.Clone(b.pending[:n])
	b.pending = b.pending[n:]
	return dequeued
}

// commit commits changes in one call. If conditions fail, it reports the conflict to the changes concerned and commits the others
// in a further call; if the guard fails, it reports the conflict to all.
func (b *Batcher) commit(ctx context.Context, changes []queuedChange) {
	callCtx, cancel := context.WithTimeout(ctx, b.RetryTimeout)
	defer cancel()
	sent := false
	for len(changes) > 0 {
		s, err := b.Client.Commit(callCtx, b.merge(changes))
		sent = sent || s.MaybeApplied
		s.MaybeApplied = sent
		if unacceptable(err) && len(changes) > 1 {
			// One change may be the cause; the others must not fail with it.
			half := len(changes) / 2
			b.commit(ctx, changes[:half])
			b.commit(ctx, changes[half:])
			return
		}
		if s.Outcome != Conflicted || len(s.Current) == 0 {
			settleAll(changes, s, err)
			return
		}
		if b.Guard != nil && RecordOf(s.Current, b.Guard.Key).Revision != b.Guard.Revision {
			settleAll(changes, s, err)
			return
		}
		changes = b.removeConflicting(changes, s, err)
	}
}

// removeConflicting reports the result of the changes whose conditions fail and returns the others.
func (b *Batcher) removeConflicting(changes []queuedChange, s CommitResult, err error) []queuedChange {
	var remaining []queuedChange
	for _, q := range changes {
		conflicting := slices.ContainsFunc(q.change.Conditions, func(c Condition) bool { return RecordOf(s.Current, c.Key).Revision != c.Revision })
		switch revision, present := alreadyApplied(q.change, s.Current); {
		case !conflicting:
			remaining = append(remaining, q)
		case s.MaybeApplied && present:
			q.done(CommitResult{Outcome: Applied, Revision: revision, MaybeApplied: true}, nil)
		default:
			q.done(s, err)
		}
	}
	if len(remaining) == len(changes) {
		settleAll(changes, s, err) // no change conflicts by the records in the response, so retrying would loop forever
		return nil
	}
	return remaining
}

func settleAll(changes []queuedChange, s CommitResult, err error) {
	for _, q := range changes {
		q.done(s, err)
	}
}

func (b *Batcher) merge(changes []queuedChange) Change {
	var merged Change
	if b.Guard != nil {
		merged.Conditions = append(merged.Conditions, *b.Guard)
	}
	for _, q := range changes {
		merged.Conditions = append(merged.Conditions, q.change.Conditions...)
		merged.Puts = append(merged.Puts, q.change.Puts...)
		merged.Deletes = append(merged.Deletes, q.change.Deletes...)
	}
	return merged
}

// Wait blocks until all calls have ended.
func (b *Batcher) Wait() { _ = b.group.Wait() /* the goroutines return no errors */ }
