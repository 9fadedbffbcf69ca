package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// TestCancelIsAnsweredOnceItsTombstoneIsStored guards against the answer that there is no such job before its tombstone is stored.
func TestCancelIsAnsweredOnceItsTombstoneIsStored(t *testing.T) {
	p := &stand.Platform{Unlimited: true}
	b := &faultyBackend{Platform: p}
	n := New(Settings{}, Dependencies{Store: store.NewClient(b), Dialect: fakeDialect{}, Now: SteadyClock()})
	stored := func(id string) bool { return len(p.Records(keyCancel+id)) > 0 }
	b.setLate(lateWritesOf(keyCancel+"late", lateWrite))
	must.Eq(t, OutcomeUnknown, n.Cancel(t.Context(), Caller{}, "late").Outcome)
	must.False(t, stored("late"))
	b.late.Wait()
	must.True(t, stored("late"))
	b.setLate(nil)
	b.setWriteFaults(0, true)
	must.Eq(t, OutcomeUnknown, n.Cancel(t.Context(), Caller{}, "unanswered").Outcome)
	b.setWriteFaults(0, false)
	must.Eq(t, OutcomeNoSuchJob, n.Cancel(t.Context(), Caller{}, "unanswered").Outcome)
	b.setDown(true)
	must.Eq(t, OutcomeNotRun, n.Cancel(t.Context(), Caller{}, "refused").Outcome)
	b.setDown(false)
	must.False(t, stored("refused"))
}

// TestTombstonesAreBounded guards against cancelled ids without a job that fill the store, or that cost a call each.
func TestTombstonesAreBounded(t *testing.T) {
	const ids = maxEntryTombstones + 500
	p := &stand.Platform{Unlimited: true}
	client := store.NewClient(p)
	client.SetRate(1e6)
	now := SteadyClock()()
	n := New(Settings{}, Dependencies{Store: client, Dialect: fakeDialect{}, Now: func() time.Time { return now }})
	outcomes := make(chan Outcome, ids)
	var group errgroup.Group
	group.SetLimit(500)
	for i := range ids {
		group.Go(func() error {
			outcomes <- n.storeCancel(t.Context(), Caller{}, fmt.Sprintf("%016x", i), verdictNoSuchJob).Outcome
			return nil
		})
	}
	must.NoError(t, group.Wait())
	close(outcomes)
	count := make(map[Outcome]int)
	for o := range outcomes {
		count[o]++
	}
	must.Eq(t, map[Outcome]int{OutcomeNoSuchJob: maxEntryTombstones, OutcomeNotRun: ids - maxEntryTombstones}, count)
	must.Eq(t, 1, p.Calls()["Grant"])
	must.Less(t, maxEntryTombstones/4, p.Calls()["Commit"])
	t.Logf("%d tombstones: %v calls to the store", maxEntryTombstones, p.Calls())
	records := p.Records(keyCancel)
	must.Len(t, maxEntryTombstones, records)
	// A stored job can be cancelled nevertheless.
	for i, owner := range []Verdict{verdictNoSuchJob, verdictTombstones} {
		id := fmt.Sprint("stored", i)
		must.Eq(t, OutcomeDone, n.accept(t.Context(), job(id, 1)).Outcome)
		must.Eq(t, OutcomeDone, n.storeCancel(t.Context(), Caller{}, id, owner).Outcome)
	}
	must.Eq(t, verdictTombstones, n.storeCancel(t.Context(), Caller{}, "unknown", verdictTombstones))
	now = now.Add(n.Bounds.TombstoneLife()/2 + time.Second)
	must.Eq(t, OutcomeNoSuchJob, n.storeCancel(t.Context(), Caller{}, "later", verdictNoSuchJob).Outcome)
	must.NoError(t, p.Revoke(t.Context(), records[0].Lease))
	must.Len(t, 1, p.Records(keyCancel+"later/"))
	must.Len(t, 3, p.Records(keyCancel)) // with those of the stored jobs
	// The store may end a lease early.
	must.NoError(t, p.Revoke(t.Context(), p.Records(keyCancel + "later/")[0].Lease))
	must.Eq(t, OutcomeNoSuchJob, n.storeCancel(t.Context(), Caller{}, "latest", verdictNoSuchJob).Outcome)
	must.Len(t, 1, p.Records(keyCancel+"latest"))
}

// TestCancelOfARemovedJob guards against the answer that a job is cancelled when its record was removed before the cancellation was stored.
func TestCancelOfARemovedJob(t *testing.T) {
	p := &stand.Platform{Unlimited: true}
	b := &faultyBackend{Platform: p}
	n := New(Settings{}, Dependencies{Store: store.NewClient(b), Dialect: fakeDialect{}, Now: SteadyClock()})
	must.Eq(t, OutcomeDone, n.Submit(t.Context(), job("j", 1)).Outcome)
	b.setLate(func(c store.Change) time.Duration {
		if c.Puts[0].Key == keyCancel+"j" {
			_, _, err := p.Commit(t.Context(), store.Change{Deletes: []string{keyJobs + "j", keyIntake + "j"}})
			must.NoError(t, err)
		}
		return 0
	})
	must.Eq(t, OutcomeNoSuchJob, n.Cancel(t.Context(), Caller{}, "j").Outcome)
	must.Len(t, 1, p.Records(keyCancel+"j/"))
}
