package node

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

const (
	lateWrite   = 2 * time.Second // longer than an entry waits for the answer to its write
	settledTime = 700 * time.Millisecond
)

// TestLateJobOfACancelledIDNeverRuns guards against a job that starts after its cancellation was answered: the write of the job
// was still on its way when an entry found no job to cancel.
func TestLateJobOfACancelledIDNeverRuns(t *testing.T) {
	cases := []struct {
		name           string
		submit, cancel int
		stop           int // entry that stops before the write takes effect; negative for none
		repeat         bool
	}{
		{"same entry", 1, 1, -1, false},
		{"owner", 0, 0, -1, false},
		{"another entry", 1, 2, -1, false},
		{"the entry that accepted the job ends", 1, 2, 1, false},
		{"the entry that cancelled ends", 1, 2, 2, false},
		{"the owner ends", 1, 2, 0, false},
		{"the owner accepted the job and ends", 0, 1, 0, false},
		{"the job is handed in again", 1, 2, -1, true},
	}
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			c, backends := newCluster(t, 3, 0)
			c.await("the entries are linked", func() bool { return c.linked(1) && c.linked(2) })
			backends[e.submit].setLate(lateWritesOf(keyJobs+"j", lateWrite))
			submit := c.nodes[e.submit].accept // as when the owner is out of reach
			if e.submit == 0 {
				submit = c.nodes[0].Submit
			}
			must.Eq(t, OutcomeUnknown, submit(t.Context(), job("j", 2)).Outcome)
			backends[e.submit].setLate(nil)
			must.Eq(t, OutcomeNoSuchJob, c.nodes[e.cancel].Cancel(t.Context(), Caller{}, "j").Outcome)
			if e.stop >= 0 {
				c.stops[e.stop]()
			}
			last := 2
			if e.stop == last {
				last = 1
			}
			if e.repeat {
				time.Sleep(settledTime) // until the owner has read the tombstone
				must.Eq(t, OutcomeDone, c.nodes[last].Submit(t.Context(), job("j", 2)).Outcome)
			}
			backends[e.submit].late.Wait()
			c.await("the job is known as cancelled", func() bool { return c.state(c.nodes[last], "j") == sched.Cancelled })
			time.Sleep(settledTime)
			must.Eq(t, 0, c.fleet.count("j"))
			must.Eq(t, OutcomeDone, c.nodes[last].Submit(t.Context(), job("other", 2)).Outcome)
			c.await("other jobs run", func() bool { return c.fleet.count("other") == 3 })
		})
	}
}

// TestCancelIsAnsweredOnceItsTombstoneIsStored guards against the answer that there is no such job while the tombstone itself was refused,
// or left unanswered and stored late or never.
func TestCancelIsAnsweredOnceItsTombstoneIsStored(t *testing.T) {
	p := &stand.Platform{Unlimited: true}
	b := &faultyBackend{Platform: p}
	n := New(Settings{}, Dependencies{Store: store.NewClient(b), Dialect: fakeDialect{}, Now: SteadyClock()})
	buried := func(id string) bool { return len(p.Records(keyCancel+id)) > 0 }
	b.setLate(lateWritesOf(keyCancel+"late", lateWrite))
	must.Eq(t, OutcomeUnknown, n.Cancel(t.Context(), Caller{}, "late").Outcome)
	must.False(t, buried("late"))
	b.late.Wait()
	must.True(t, buried("late"))
	b.setLate(nil)
	b.setWriteFaults(0, true)
	must.Eq(t, OutcomeUnknown, n.Cancel(t.Context(), Caller{}, "unanswered").Outcome)
	b.setWriteFaults(0, false)
	must.Eq(t, OutcomeNoSuchJob, n.Cancel(t.Context(), Caller{}, "unanswered").Outcome)
	b.setDown(true)
	must.Eq(t, OutcomeNotRun, n.Cancel(t.Context(), Caller{}, "refused").Outcome)
	b.setDown(false)
	must.False(t, buried("refused"))
}

// TestLateTombstoneCancelsNoAcceptedJob: a tombstone that takes effect after the job was accepted has no effect.
func TestLateTombstoneCancelsNoAcceptedJob(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	c.await("the entries are linked", func() bool { return c.linked(1) })
	backends[1].setLate(lateWritesOf(keyCancel+"j", lateWrite))
	must.Eq(t, OutcomeUnknown, c.nodes[1].Cancel(t.Context(), Caller{}, "j").Outcome)
	must.Eq(t, OutcomeDone, c.nodes[0].Submit(t.Context(), job("j", 2)).Outcome)
	backends[1].late.Wait()
	c.await("the job is done", func() bool { return c.state(c.nodes[0], "j") == sched.Completed })
	must.Len(t, 0, c.platform.Records(keyCancel+"j"))
}

// TestTombstonesOfOtherAccounts: a caller's cancellation ends no job of another account, and does not lift that account's own.
func TestTombstonesOfOtherAccounts(t *testing.T) {
	c, now := newSuccessor(t)
	n := c.node
	for _, account := range []string{"one", "two"} {
		must.Eq(t, OutcomeNoSuchJob, n.storeCancel(t.Context(), Caller{Account: account}, "j", viewUnknown).Outcome)
	}
	must.Eq(t, OutcomeNoSuchJob, n.storeCancel(t.Context(), Caller{Account: "two"}, "k", viewUnknown).Outcome)
	list, err := n.Store.Range(t.Context(), keyIntake, store.Critical)
	must.NoError(t, err)
	must.Len(t, 3, list.Records)
	c.applyIntake(now, list.Records)
	for _, id := range []string{"j", "k"} {
		c.state.AddJob(now, jobOf("one", id), sched.Progress{}, false)
	}
	saves := c.state.Plan(now).Saves
	must.Len(t, 1, saves)
	must.Eq(t, "j", saves[0].Job)
}

// TestTombstonesAreBounded cancels more ids than have room, which nobody handed in: each tombstone is bound to a lease, a lease is granted
// once, the others are refused until the next lease, and few calls to the store are made.
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
			outcomes <- n.storeCancel(t.Context(), Caller{}, fmt.Sprintf("%016x", i), viewUnknown).Outcome
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
	for _, view := range []ownerView{viewUnknown, viewFull} {
		id := "stored" + string(view)
		must.Eq(t, OutcomeDone, n.accept(t.Context(), job(id, 1)).Outcome)
		must.Eq(t, OutcomeDone, n.storeCancel(t.Context(), Caller{}, id, view).Outcome)
	}
	must.Eq(t, verdictTombstones, n.storeCancel(t.Context(), Caller{}, "unknown", viewFull))
	now = now.Add(n.Bounds.TombstoneLife()/2 + time.Second)
	must.Eq(t, OutcomeNoSuchJob, n.storeCancel(t.Context(), Caller{}, "later", viewUnknown).Outcome)
	must.NoError(t, p.Revoke(t.Context(), records[0].Lease))
	must.Len(t, 1, p.Records(keyCancel+"later/"))
	must.Len(t, 3, p.Records(keyCancel)) // with those of the stored jobs
	// The store may end a lease early.
	must.NoError(t, p.Revoke(t.Context(), p.Records(keyCancel + "later/")[0].Lease))
	must.Eq(t, OutcomeNoSuchJob, n.storeCancel(t.Context(), Caller{}, "latest", viewUnknown).Outcome)
	must.Len(t, 1, p.Records(keyCancel+"latest"))
}

// TestCallsOfACancel measures the calls to the store that a calm job and each kind of cancellation cost.
func TestCallsOfACancel(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	c.await("the entries are linked", func() bool { return c.linked(1) })
	n := c.nodes[1]
	longRunning := func(id string) sched.Job {
		j := job(id, 1)
		j.Steps[0].LongRunning = true
		return j
	}
	must.Eq(t, OutcomeNoSuchJob, n.Cancel(t.Context(), Caller{}, "first").Outcome) // grants the lease
	var calls atomic.Int64
	cases := []struct {
		name  string
		id    string
		do    func(id string) Verdict
		calls int64
	}{
		{"job", "j", func(id string) Verdict { return n.Submit(t.Context(), longRunning(id)) }, 1},
		{"cancellation at the owner", "j", func(id string) Verdict { return n.Cancel(t.Context(), Caller{}, id) }, 1},
		{"cancellation of an unknown id", "k", func(id string) Verdict { return n.Cancel(t.Context(), Caller{}, id) }, 1},
		{"job for the next", "l", func(id string) Verdict { return n.Submit(t.Context(), longRunning(id)) }, 1},
		{"cancellation without the owner", "l", func(id string) Verdict { return n.storeCancel(t.Context(), Caller{}, id, viewNone) }, 2},
	}
	grants := c.platform.Calls()["Grant"]
	for _, e := range cases {
		calls.Store(0)
		for _, b := range backends {
			b.setCalls(func(key string) {
				if strings.HasSuffix(key, "/"+e.id) || strings.Contains(key, "/"+e.id+"/") {
					calls.Add(1)
				}
			})
		}
		e.do(e.id)
		t.Logf("%s: %d calls", e.name, calls.Load())
		must.Eq(t, e.calls, calls.Load(), must.Sprint(e.name))
	}
	must.Eq(t, grants, c.platform.Calls()["Grant"])
}

var (
	cancelSeeds = flag.Uint64("cancel.seeds", 4, "number of histories of TestCancelledJobsNeverStart")
	cancelFirst = flag.Uint64("cancel.first", 1, "seed of the first of them")
)

const (
	historyJobs = 24
	cancelLimit = 3 * time.Second // from which no task of a job starts whose cancellation was answered
	cancelTries = 4
)

// lateWrites returns how late the writes of jobs and cancellations are: all of some jobs, so that their acceptance stays unsettled, and
// some of the cancellations.
func lateWrites(seed, backend uint64) func(store.Change) time.Duration {
	r := rand.New(rand.NewPCG(seed, backend))
	return func(c store.Change) time.Duration { // called with the backend locked
		late := time.Duration(1000+r.IntN(5000)) * time.Millisecond
		for _, put := range c.Puts {
			if strings.HasPrefix(put.Key, keyJobs) && xxhash.Sum64String(fmt.Sprint(put.Key, seed))%2 == 0 || strings.HasPrefix(put.Key, keyCancel) && r.IntN(3) == 0 {
				return late
			}
		}
		return 0
	}
}

// handInAndCancel submits a job through one entry, cancels it through another one, and may submit it again through a third one before or
// after that. It sends the id when the cancellation is answered.
func handInAndCancel(ctx context.Context, id string, entries [3]*Node, pause time.Duration, repeat int, answered chan<- string) error {
	var attempts errgroup.Group
	attempts.Go(func() error { entries[0].Submit(ctx, job(id, 1)); return nil })
	time.Sleep(pause)
	again := func() error { entries[2].Submit(ctx, job(id, 1)); return nil }
	if repeat == 1 {
		attempts.Go(again)
	}
	for range cancelTries {
		if v := entries[1].Cancel(ctx, Caller{}, id); v.Outcome == OutcomeDone || v.Outcome == OutcomeNoSuchJob {
			answered <- id
			break
		}
	}
	if repeat == 2 {
		attempts.Go(again)
	}
	return attempts.Wait()
}

// checkCancelled checks for a time that no job starts later than cancelLimit after its cancellation was answered. It returns the number of
// those jobs.
func (c *cluster) checkCancelled(answered <-chan string, d time.Duration) int {
	at, starts := make(map[string]time.Time), make(map[string]int)
	for end := time.Now().Add(d); time.Now().Before(end); {
		select {
		case id := <-answered:
			at[id] = time.Now()
		case <-time.After(20 * time.Millisecond):
		}
		for id, t := range at {
			n := c.fleet.count(id)
			if time.Since(t) > cancelLimit {
				must.Eq(c.t, starts[id], n, must.Sprintf("%s started %s after its cancellation was answered", id, time.Since(t)))
			}
			starts[id] = n
		}
	}
	return len(at)
}

// TestCancelledJobsNeverStart submits jobs and cancels them through entries whose writes are unanswered and late, while an entry, which may
// be the owner, ends.
func TestCancelledJobsNeverStart(t *testing.T) {
	for seed := *cancelFirst; seed < *cancelFirst+*cancelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 0))
			c, backends := newCluster(t, 4, 0)
			c.await("the entries are linked", func() bool { return c.linked(1) && c.linked(2) && c.linked(3) })
			for i, b := range backends {
				b.setLate(lateWrites(seed, uint64(i)))
			}
			victim := r.IntN(4)
			survivor := func() *Node { return c.nodes[(victim+1+r.IntN(3))%4] }
			answered := make(chan string, historyJobs)
			var callers errgroup.Group
			for i := range historyJobs {
				id, entries := fmt.Sprint("j", i), [3]*Node{c.nodes[r.IntN(4)], survivor(), survivor()}
				pause, repeat := time.Duration(r.IntN(1500))*time.Millisecond, r.IntN(3)
				callers.Go(func() error { return handInAndCancel(t.Context(), id, entries, pause, repeat, answered) })
				if i == historyJobs/2 {
					callers.Go(func() error { c.stops[victim](); return nil })
				}
				time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
			}
			n := c.checkCancelled(answered, 10*time.Second)
			must.NoError(t, callers.Wait())
			must.Greater(t, historyJobs/3, n)
			t.Logf("%d of %d cancellations answered", n, historyJobs)
		})
	}
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
