package node

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/sched"
)

const testSilence = 50 * time.Millisecond

// TestReach: a callee that answers is probed once per freshAnswer. One that is silent holds up the first caller for
// silentAfter and no later one, until it answers again.
func TestReach(t *testing.T) {
	r := reach{silentAfter: testSilence}
	now := SteadyClock()
	var group errgroup.Group
	probes := 0
	answer := func(context.Context) error { probes++; return nil }
	must.True(t, r.answers(t.Context(), now, &group, answer))
	must.True(t, r.answers(t.Context(), now, &group, answer))
	must.Eq(t, 1, probes)

	time.Sleep(freshAnswer)
	healed := make(chan struct{})
	silence := func(context.Context) error { <-healed; return nil }
	began := now()
	must.False(t, r.answers(t.Context(), now, &group, silence))
	must.GreaterEq(t, testSilence, now().Sub(began))
	must.True(t, r.silent())
	began = now()
	for range 10 {
		must.False(t, r.answers(t.Context(), now, &group, silence))
	}
	must.Less(t, testSilence, now().Sub(began))
	close(healed)
	must.NoError(t, group.Wait())
	must.True(t, r.answers(t.Context(), now, &group, answer))
	must.False(t, r.silent())
}

// TestSlowCalleeIsNotSilent: after one answer that took long, a callee may take as long again.
func TestSlowCalleeIsNotSilent(t *testing.T) {
	r := reach{silentAfter: testSilence}
	now := SteadyClock()
	var group errgroup.Group
	slow := func(context.Context) error { time.Sleep(2 * testSilence); return nil }
	must.False(t, r.answers(t.Context(), now, &group, slow))
	must.NoError(t, group.Wait())
	time.Sleep(freshAnswer)
	must.True(t, r.answers(t.Context(), now, &group, slow))
	must.NoError(t, group.Wait())
}

// TestFailedProbeIsNoAnswer: a probe that fails at once is no answer.
func TestFailedProbeIsNoAnswer(t *testing.T) {
	r := reach{silentAfter: testSilence}
	var group errgroup.Group
	must.False(t, r.answers(t.Context(), SteadyClock(), &group, func(context.Context) error { return errors.New("refused") }))
	must.NoError(t, group.Wait())
}

// TestCutEntryRefusesTruly: an entry that is cut off from the store and the owner refuses jobs within a quarter of a short
// objective, as NotRun, since it has sent nothing; the same caller is served by another entry. Before, it waited 2.2 s for
// both and answered Unknown, after which a caller may not try again.
func TestCutEntryRefusesTruly(t *testing.T) {
	c, backends := newCluster(t, 2, 0)
	cut := c.nodes[1]
	c.await("the second entry is ready", cut.Ready)
	c.await("the entries are linked", func() bool { return cut.links() != nil && len(cut.links().Peers()) == 1 })
	backends[1].setSilent(true)
	cut.owner.Store(&ownership{Name: "gone", Incarnation: "gone"}) // no link leads there
	time.Sleep(freshAnswer)
	for _, id := range []string{"first", "second"} {
		began := time.Now()
		v := cut.Submit(t.Context(), job(id, 2))
		must.Eq(t, OutcomeNotRun, v.Outcome)
		must.Greater(t, 0, v.RetryAfter)
		must.Less(t, storeSilentAfter+ownerSilentAfter+100*time.Millisecond, time.Since(began))
	}
	c.await("the cut entry is unready", func() bool { return !cut.Ready() })
	must.Eq(t, OutcomeDone, c.nodes[0].Submit(t.Context(), job("first", 2)).Outcome)
	c.await("first is completed", func() bool { return c.state(c.nodes[0], "first") == sched.Completed })
	must.Eq(t, 1, c.accepted())
	backends[1].setSilent(false)
	c.await("the entry is ready again", cut.Ready)
}
