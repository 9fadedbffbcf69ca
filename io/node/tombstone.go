package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"daisysaddle/io/store"
)

// A tombstone is the stored cancellation of an id that has no job yet. A write of the job may be on its way, sent by any entry, also by
// one that has ended. A caller is therefore told that there is no such job only once the tombstone is stored.
//
// It is stored on the condition that the id has no job. The owner, and each later one, reads tombstones with the intake and ends a job
// that is stored later, so a job's write needs no condition on tombstones. Each caller has a tombstone of its own, since it must not
// cancel another account's job. Tombstones are bound to leases, with which the store removes them.

const (
	maxTombstones      = 50_000 // that the owner keeps; some 8 MB of memory
	maxEntryTombstones = 10_000 // that one entry writes under one lease
	tombstoneAttempts  = 2      // the second with a new lease
	digestBytes        = 8

	tombstoneTimeout = 1200 * time.Millisecond // shorter than acceptTimeout, so that a caller who still waits learns the result
)

// reasonTombstones is the reason of a cancellation that is refused because too many ids have tombstones.
const reasonTombstones = "TooManyTombstones"

// Verdicts on a cancellation.
var (
	verdictNoSuchJob  = Verdict{Outcome: OutcomeNoSuchJob}
	verdictTombstones = Verdict{Outcome: OutcomeNotRun, RetryAfter: maxRetryAfter, Reason: reasonTombstones}
)

var errTombstones = errors.New("too many tombstones were written under this lease")

// tombstones writes tombstones; it is safe for concurrent use.
type tombstones struct {
	node    *Node
	batcher *store.Batcher
	flights singleflight.Group // of writes by key, since a change puts each key once, and of grants

	mu      sync.Mutex
	lease   string    // of new tombstones; empty for none
	granted time.Time // no later than the start of the lease
	used    int       // tombstones written under the lease
}

// grantFlight is the name of the flight of a grant. It is no key.
const grantFlight = "Grant"

// tombstoneKey returns the key of a caller's tombstone, whose value names the caller.
func tombstoneKey(id string, value []byte) string {
	digest := sha256.Sum256(value)
	return keyCancel + id + "/" + hex.EncodeToString(digest[:digestBytes])
}

// decodeTombstone returns the id of a stored cancellation, and the caller if it is a tombstone.
func decodeTombstone(r store.Record) (id string, caller Caller, isTombstone bool, err error) {
	id, _, isTombstone = strings.Cut(strings.TrimPrefix(r.Key, keyCancel), "/")
	if isTombstone {
		err = errors.Wrap(json.Unmarshal(r.Value, &caller), "decode tombstone")
	}
	return id, caller, isTombstone, err
}

// storeTombstone stores a caller's tombstone for an id. If a job is stored under the id, it returns the job's record instead.
func (n *Node) storeTombstone(ctx context.Context, caller Caller, id string) (v Verdict, job store.Record) {
	if n.Store.Down(time.Now()) {
		return Verdict{Outcome: OutcomeNotRun, RetryAfter: n.storeRetryAfter(), Reason: "StoreDown"}, job
	}
	s, err := n.tombstones.put(ctx, caller, id)
	n.logLimited("Tombstone").Str("Job", id).Str("Outcome", string(s.Outcome)).Bool("Unsettled", n.unsettled.has(n.Now(), id)).Uint64("Revision", s.Revision).AnErr("Cause", err).Send()
	switch job = store.RecordOf(s.Current, keyJobs+id); {
	case s.Outcome == store.Applied:
		v = verdictNoSuchJob
	case s.MaybeApplied:
		v = Verdict{Outcome: OutcomeUnknown, Reason: "StoreUnanswered"}
	case errors.Is(err, errTombstones):
		v = verdictTombstones
	default:
		v = Verdict{Outcome: OutcomeNotRun, RetryAfter: n.storeRetryAfter(), Reason: "StoreRefused"}
	}
	return v, job
}

// put stores a tombstone. The write continues after the caller leaves.
func (t *tombstones) put(ctx context.Context, caller Caller, id string) (store.CommitResult, error) {
	value, err := json.Marshal(caller)
	if err != nil {
		return store.CommitResult{Outcome: store.Conflicted}, errors.Wrap(err, "encode tombstone")
	}
	key := tombstoneKey(id, value)
	flight := t.flights.DoChan(key, func() (any, error) {
		return t.write(context.WithoutCancel(ctx), store.Condition{Key: keyJobs + id}, store.Record{Key: key, Value: value})
	})
	select {
	case r := <-flight:
		s, _ := r.Val.(store.CommitResult)
		return s, r.Err
	case <-ctx.Done():
		return store.CommitResult{Outcome: store.Unsettled, MaybeApplied: true}, errors.Wrap(ctx.Err(), "store tombstone")
	}
}

// write writes a tombstone under the present lease, and under a new one if the store has ended that early.
func (t *tombstones) write(ctx context.Context, noJob store.Condition, tombstone store.Record) (store.CommitResult, error) {
	maybeApplied := false
	for attempt := 1; ; attempt++ {
		lease, err := t.takeLease(ctx)
		if err != nil {
			return store.CommitResult{Outcome: store.Conflicted, MaybeApplied: maybeApplied}, err
		}
		tombstone.Lease = lease
		var s store.CommitResult
		done := make(chan struct{})
		change := store.Change{Conditions: []store.Condition{noJob}, Puts: []store.Record{tombstone}}
		t.batcher.Submit(ctx, change, func(result store.CommitResult, cause error) {
			s, err = result, cause
			close(done)
		})
		<-done
		maybeApplied = maybeApplied || s.MaybeApplied
		s.MaybeApplied = maybeApplied
		if !errors.Is(err, store.ErrNoLease) || attempt == tombstoneAttempts {
			return s, err
		}
		t.dropLease(lease)
	}
}

// takeLease returns a lease for a new tombstone, at most half of which is over. It fails if too many tombstones are bound to it.
func (t *tombstones) takeLease(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, tombstoneTimeout)
	defer cancel()
	for {
		if lease, err := t.currentLease(t.node.Now()); lease != "" || err != nil {
			return lease, err
		}
		if _, err, _ := t.flights.Do(grantFlight, func() (any, error) { return nil, t.grant(ctx) }); err != nil {
			return "", err
		}
	}
}

// full reports whether a tombstone would be refused.
func (t *tombstones) full(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used >= maxEntryTombstones && !t.mustGrant(now)
}

// mustGrant reports whether the next tombstone needs a new lease. The caller holds mu.
func (t *tombstones) mustGrant(now time.Time) bool {
	return t.lease == "" || now.Sub(t.granted) > t.node.Bounds.TombstoneLife()/2
}

// currentLease returns the lease that new tombstones are bound to, or none if another one must be granted.
func (t *tombstones) currentLease(now time.Time) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.mustGrant(now):
		return "", nil
	case t.used >= maxEntryTombstones:
		return "", errTombstones
	}
	t.used++
	return t.lease, nil
}

// grant replaces the lease by a new one, with retries until ctx ends.
func (t *tombstones) grant(ctx context.Context) error {
	for {
		at := t.node.Now()
		lease, err := t.node.Store.Grant(ctx, t.node.Bounds.TombstoneLife())
		if err == nil {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.lease, t.granted, t.used = lease, at, 0
			return nil
		}
		if sleep(ctx, retryDelay); ctx.Err() != nil {
			return errors.Wrap(err, "grant the lease of tombstones")
		}
	}
}

// dropLease makes the next tombstone take a new lease.
func (t *tombstones) dropLease(lease string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == lease {
		t.lease = ""
	}
}
