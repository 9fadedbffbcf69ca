package node

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
	"daisysaddle/io/store"
)

const (
	lateWrite   = 2 * time.Second // longer than an entry waits for the answer to its write
	settledTime = 700 * time.Millisecond
)

// TestLateJobOfACancelledIDNeverRuns guards against running a job whose write takes effect after an entry answered that there is none to cancel.
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
		{"the job is submitted again", 1, 2, -1, true},
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
		must.Eq(t, OutcomeNoSuchJob, n.storeCancel(t.Context(), Caller{Account: account}, "j", verdictNoSuchJob).Outcome)
	}
	must.Eq(t, OutcomeNoSuchJob, n.storeCancel(t.Context(), Caller{Account: "two"}, "k", verdictNoSuchJob).Outcome)
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
		{"cancellation without the owner", "l", func(id string) Verdict { return n.storeCancel(t.Context(), Caller{}, id, Verdict{}) }, 2},
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
