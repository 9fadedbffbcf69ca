package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"daisysaddle/core/sched"
)

// TestNoRefusalWhileWriteIsUnsettled guards against refusing a job that runs afterwards: the owner's write of the job takes longer
// than the asking entry waits for the owner, or its answer is lost, and the asking entry can't reach the store itself.
func TestNoRefusalWhileWriteIsUnsettled(t *testing.T) {
	cases := []struct {
		name        string
		writeDelay  time.Duration
		loseAnswers bool
	}{
		{"owner slow", ownerTimeout + 300*time.Millisecond, false},
		{"answer lost", 0, true},
		{"owner slow and answer lost", ownerTimeout + 300*time.Millisecond, true},
	}
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			c, backends := newCluster(t, 2, 0)
			c.await("the entries are linked", func() bool { return c.nodes[1].links() != nil && len(c.nodes[1].links().Peers()) == 1 })
			backends[0].setWriteFaults(e.writeDelay, e.loseAnswers)
			backends[1].setDown(true)
			c.await("the circuit breaker opens", func() bool { return c.nodes[1].Store.Down(time.Now()) })
			v := c.nodes[1].Submit(t.Context(), job("j", 2))
			again := c.nodes[1].Submit(t.Context(), job("j", 2))
			must.NotEq(t, OutcomeNotRun, v.Outcome)
			must.NotEq(t, OutcomeNotRun, again.Outcome)
			backends[0].setWriteFaults(0, false)
			c.await("the job runs", func() bool { return c.fleet.count("j") == 3 })
		})
	}
}

// TestIsolatedEntryRefusesAtOnce: an entry that reaches neither the owner nor the store refuses a job at once, unless the outcome
// of its own earlier attempt is unknown.
func TestIsolatedEntryRefusesAtOnce(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	c.await("the second entry is ready", c.nodes[1].Ready)
	c.await("the entries are linked", func() bool { return c.nodes[1].links() != nil && len(c.nodes[1].links().Peers()) == 1 })
	backends[1].setDown(true) // so that it can't become the owner either
	c.stops[0]()
	c.await("the first entry has ended", func() bool { return len(c.nodes[1].links().Peers()) == 0 })
	c.await("the circuit breaker opens", func() bool { return c.nodes[1].Store.Down(time.Now()) })
	start := time.Now()
	c.nodes[1].unsettled.add(c.nodes[1].Now(), "tried")
	first, again := c.nodes[1].Submit(t.Context(), job("j", 2)), c.nodes[1].Submit(t.Context(), job("tried", 2))
	must.Less(t, 100*time.Millisecond, time.Since(start))
	must.Eq(t, OutcomeNotRun, first.Outcome)
	must.GreaterEq(t, minRetryAfter, first.RetryAfter)
	must.Eq(t, OutcomeUnknown, again.Outcome)
}

// TestNoCancelRefusalWhileUnsettled: a cancellation that the owner did not answer in time may still be applied, so it is not refused.
func TestNoCancelRefusalWhileUnsettled(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	c.await("the entries are linked", func() bool { return c.nodes[1].links() != nil && len(c.nodes[1].links().Peers()) == 1 })
	longRunning := job("j", 2)
	longRunning.Steps[0].LongRunning = true
	must.Eq(t, OutcomeDone, c.nodes[1].Submit(t.Context(), longRunning).Outcome)
	backends[0].setWriteFaults(ownerTimeout+300*time.Millisecond, false)
	backends[1].setDown(true)
	must.NotEq(t, OutcomeNotRun, c.nodes[1].Cancel(t.Context(), Caller{}, "j").Outcome)
	c.await("the job is cancelled", func() bool { return c.state(c.nodes[0], "j") == sched.Cancelled })
}

// TestRefusedJobsNeverRun submits ids to two entries while the owner's store answers slowly or not at all and the other entry's
// store calls are refused, in random order: a job whose last attempt was refused never runs.
func TestRefusedJobsNeverRun(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	c.await("the entries are linked", func() bool { return c.nodes[1].links() != nil && len(c.nodes[1].links().Peers()) == 1 })
	refused := make(map[string]bool)
	n := 0
	rapid.Check(t, func(r *rapid.T) {
		n++
		if n > 12 {
			return // each sequence waits for real timeouts
		}
		for i := range 4 {
			id := fmt.Sprint("j", n, "-", i)
			for range rapid.IntRange(1, 2).Draw(r, "attempts") {
				writeDelay := time.Duration(rapid.IntRange(0, 1).Draw(r, "late")) * 50 * time.Millisecond
				backends[0].setWriteFaults(writeDelay, rapid.Bool().Draw(r, "unsaid"))
				backends[1].setDown(rapid.Bool().Draw(r, "down"))
				entry := rapid.IntRange(0, 1).Draw(r, "entry")
				v := c.nodes[entry].Submit(t.Context(), job(id, 1))
				refused[id] = v.Outcome == OutcomeNotRun
			}
		}
	})
	backends[0].setWriteFaults(0, false)
	backends[1].setDown(false)
	c.await("the entries answer", func() bool { return c.nodes[1].Submit(t.Context(), job("last", 1)).Outcome == OutcomeDone })
	c.await("the last job is done", func() bool { return c.fleet.count("last") == 2 })
	for id, is := range refused {
		if is {
			must.Eq(t, 0, c.fleet.count(id), must.Sprint(id))
		}
	}
}

// TestRefusalWhileAnotherEntryIsUnsettled guards against refusing a job whose write another entry has sent and the store has not answered.
func TestRefusalWhileAnotherEntryIsUnsettled(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	c.await("the entries are linked", func() bool { return c.linked(1) })
	backends[1].setLate(lateWritesOf(keyJobs+"j", lateWrite))
	must.Eq(t, OutcomeUnknown, c.nodes[1].accept(t.Context(), job("j", 2)).Outcome) // as when the owner is out of reach
	must.NotEq(t, OutcomeNotRun, c.nodes[0].RefuseUnread("j").Outcome)
}
