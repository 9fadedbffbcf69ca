package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Batcher commits many small changes in few calls.
type Batcher struct {
	Client   *Client
	Guard    *Condition    // held by every call, and never part of a unit
	Gather   time.Duration // least time between two calls
	Patience time.Duration // how long a call is repeated until it is unsettled

	mu      sync.Mutex
	pending []unit
	calls   int
	last    time.Time
	armed   bool
	group   errgroup.Group
}

// unit is one change with the function that takes its settlement.
type unit struct {
	change Change
	done   func(Settlement, error)
}

// maxBatchCalls is the number of calls in flight, so that a slow platform (60 times 4 ms) still
// takes some hundred units a second.
const maxBatchCalls = 4

// Submit queues a change; done is called once, from another goroutine.
func (b *Batcher) Submit(ctx context.Context, change Change, done func(Settlement, error)) {
	b.mu.Lock()
	b.pending = append(b.pending, unit{change, done})
	b.mu.Unlock()
	b.kick(ctx)
}

// kick starts a call when there is work, room for a call, and the time has come.
func (b *Batcher) kick(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.armed || len(b.pending) == 0 || b.calls >= maxBatchCalls {
		return
	}
	b.armed = true
	delay := b.Gather - time.Since(b.last)
	b.group.Go(func() error {
		if delay > 0 {
			_ = wait(ctx, delay) // an ended context is seen by the call
		}
		b.flush(ctx)
		return nil
	})
}

func (b *Batcher) flush(ctx context.Context) {
	b.mu.Lock()
	b.armed = false
	b.calls++
	b.last = time.Now()
	units := b.take()
	b.mu.Unlock()
	b.kick(ctx)
	b.commit(ctx, units)
	b.mu.Lock()
	b.calls--
	b.mu.Unlock()
	b.kick(ctx)
}

// take removes as many units as fit into one call; the caller holds the lock.
func (b *Batcher) take() []unit {
	room := MaxChange
	if b.Guard != nil {
		room--
	}
	n := 0
	for n < len(b.pending) && b.pending[n].change.Entries() <= room {
		room -= b.pending[n].change.Entries()
		n++
	}
	units := slices.Clone(b.pending[:n])
	b.pending = b.pending[n:]
	return units
}

// commit applies units together; those whose conditions fail are settled, and the others tried again.
func (b *Batcher) commit(ctx context.Context, units []unit) {
	patience, cancel := context.WithTimeout(ctx, b.Patience)
	defer cancel()
	sent := false
	for len(units) > 0 {
		s, err := b.Client.Commit(patience, b.merge(units))
		sent = sent || s.Sent
		s.Sent = sent
		if s.Outcome != Conflicted || len(s.Current) == 0 {
			settle(units, s, err)
			return
		}
		if b.Guard != nil && revisionOf(s.Current, b.Guard.Key) != b.Guard.Revision {
			settle(units, s, err)
			return
		}
		units = b.weed(units, s, err)
	}
}

// weed settles the units that conflict and returns the others.
func (b *Batcher) weed(units []unit, s Settlement, err error) []unit {
	var rest []unit
	for _, u := range units {
		broken := slices.ContainsFunc(u.change.Conditions, func(c Condition) bool { return revisionOf(s.Current, c.Key) != c.Revision })
		switch revision, stands := standing(u.change, s.Current); {
		case !broken:
			rest = append(rest, u)
		case s.Sent && stands:
			u.done(Settlement{Outcome: Applied, Revision: revision, Sent: true}, nil)
		default:
			u.done(s, err)
		}
	}
	if len(rest) == len(units) {
		settle(units, s, err) // the answer blames none of them, so repeating would not end
		return nil
	}
	return rest
}

func settle(units []unit, s Settlement, err error) {
	for _, u := range units {
		u.done(s, err)
	}
}

func revisionOf(records []Record, key string) uint64 {
	for _, r := range records {
		if r.Key == key {
			return r.Revision
		}
	}
	return 0
}

func (b *Batcher) merge(units []unit) Change {
	var all Change
	if b.Guard != nil {
		all.Conditions = append(all.Conditions, *b.Guard)
	}
	for _, u := range units {
		all.Conditions = append(all.Conditions, u.change.Conditions...)
		all.Puts = append(all.Puts, u.change.Puts...)
		all.Deletes = append(all.Deletes, u.change.Deletes...)
	}
	return all
}

// Wait returns when all calls have ended.
func (b *Batcher) Wait() { _ = b.group.Wait() /* the goroutines return no errors */ }
