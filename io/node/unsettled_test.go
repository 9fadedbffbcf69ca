package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"daisysaddle/core/sched"
)

// TestNoRefusalWhileWriteIsUnsettled: the owner's write of a job takes longer than an entry waits for the owner, and the
// entry's own way to the store is closed (grindvakt-norr mix, seed 500896336593: REFUSED 13).
func TestNoRefusalWhileWriteIsUnsettled(t *testing.T) {
	cases := []struct {
		name   string
		late   time.Duration
		unsaid bool
	}{
		{"owner slow", ownerTimeout + 300*time.Millisecond, false},
		{"answer lost", 0, true},
		{"owner slow and answer lost", ownerTimeout + 300*time.Millisecond, true},
	}
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			c, backends := newCluster(t, 2, 0)
			c.await("the entries are linked", func() bool { return c.nodes[1].links() != nil && len(c.nodes[1].links().Peers()) == 1 })
			backends[0].setLate(e.late, e.unsaid)
			backends[1].setDown(true)
			c.await("the breaker opens", func() bool { return c.nodes[1].Store.Down(time.Now()) })
			v := c.nodes[1].Submit(t.Context(), job("j", 2))
			again := c.nodes[1].Submit(t.Context(), job("j", 2))
			must.NotEq(t, OutcomeNotRun, v.Outcome)
			must.NotEq(t, OutcomeNotRun, again.Outcome)
			backends[0].setLate(0, false)
			c.await("the job runs", func() bool { return c.fleet.count("j") == 3 })
		})
	}
}

// TestIsolatedEntryRefusesAtOnce: an entry without the owner and the store sends a caller elsewhere at once, unless
// it tried the job itself before and can't tell what became of it.
func TestIsolatedEntryRefusesAtOnce(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	c.await("the second entry is ready", c.nodes[1].Ready)
	backends[1].setDown(true) // it can't succeed the first one either
	c.stops[0]()
	c.await("the first entry has ended", func() bool { return len(c.nodes[1].links().Peers()) == 0 })
	c.await("the breaker opens", func() bool { return c.nodes[1].Store.Down(time.Now()) })
	began := time.Now()
	c.nodes[1].doubts.add(c.nodes[1].Now(), "tried")
	first, again := c.nodes[1].Submit(t.Context(), job("j", 2)), c.nodes[1].Submit(t.Context(), job("tried", 2))
	must.Less(t, 100*time.Millisecond, time.Since(began))
	must.Eq(t, OutcomeNotRun, first.Outcome)
	must.GreaterEq(t, minRetryAfter, first.RetryAfter)
	must.Eq(t, OutcomeUnknown, again.Outcome)
}

// TestNoCancelRefusalWhileUnsettled: the owner may have taken a cancel whose answer did not come in time.
func TestNoCancelRefusalWhileUnsettled(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	c.await("the entries are linked", func() bool { return c.nodes[1].links() != nil && len(c.nodes[1].links().Peers()) == 1 })
	long := job("j", 2)
	long.Steps[0].Lasting = true
	must.Eq(t, OutcomeDone, c.nodes[1].Submit(t.Context(), long).Outcome)
	backends[0].setLate(ownerTimeout+300*time.Millisecond, false)
	backends[1].setDown(true)
	must.NotEq(t, OutcomeNotRun, c.nodes[1].Cancel(t.Context(), "j").Outcome)
	c.await("the job is cancelled", func() bool { return c.state(c.nodes[0], "j") == sched.Cancelled })
}

// TestRefusedJobsNeverRun submits ids at two entries while the owner's and the entry's way to the store fail in any order:
// a job whose last answer was a refusal never runs.
func TestRefusedJobsNeverRun(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	c.await("the entries are linked", func() bool { return c.nodes[1].links() != nil && len(c.nodes[1].links().Peers()) == 1 })
	refused := make(map[string]bool)
	n := 0
	rapid.Check(t, func(r *rapid.T) {
		n++
		if n > 12 {
			return // each sequence waits for real time-outs
		}
		for i := range 4 {
			id := fmt.Sprint("j", n, "-", i)
			for range rapid.IntRange(1, 2).Draw(r, "attempts") {
				late := time.Duration(rapid.IntRange(0, 1).Draw(r, "late")) * 50 * time.Millisecond
				backends[0].setLate(late, rapid.Bool().Draw(r, "unsaid"))
				backends[1].setDown(rapid.Bool().Draw(r, "down"))
				entry := rapid.IntRange(0, 1).Draw(r, "entry")
				v := c.nodes[entry].Submit(t.Context(), job(id, 1))
				refused[id] = v.Outcome == OutcomeNotRun
			}
		}
	})
	backends[0].setLate(0, false)
	backends[1].setDown(false)
	c.await("the entries answer", func() bool { return c.nodes[1].Submit(t.Context(), job("last", 1)).Outcome == OutcomeDone })
	c.await("the last job is done", func() bool { return c.fleet.count("last") == 2 })
	for id, is := range refused {
		if is {
			must.Eq(t, 0, c.fleet.count(id), must.Sprint(id))
		}
	}
}
