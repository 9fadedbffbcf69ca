package node

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
	"daisysaddle/io/peer"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
	"daisysaddle/io/wire"
)

// TestPanicEndsTheOwnershipOnly checks that a panic in the owner's control loop ends the ownership but not the process, and
// that the next owner completes the jobs.
func TestPanicEndsTheOwnershipOnly(t *testing.T) {
	c, _ := newCluster(t, 2, 0)
	c.await("the second entry is ready", c.nodes[1].Ready)
	owner := c.nodes[0].activeControl()
	must.Eq(t, OutcomeDone, c.nodes[1].Submit(t.Context(), job("j", 6)).Outcome)
	owner.enqueue(func(time.Time) { panic("unexpected") })
	c.await("the ownership has ended", func() bool { return owner.ctx.Err() != nil })
	must.ErrorIs(t, context.Cause(owner.ctx), errPanicked)
	c.await("j is completed", func() bool { return c.state(c.nodes[0], "j") == sched.Completed })
	must.Eq(t, 7, c.fleet.count("j"))
}

// panickingWorkers panics in each call, since its embedded interface is nil.
type panickingWorkers struct{ Workers }

// TestPanicInACallOrAFrame checks that an order counts as unanswered after a panic in the call to the worker, and that a
// frame is dropped after a panic in its handler.
func TestPanicInACallOrAFrame(t *testing.T) {
	n := New(Settings{Name: "e"}, Dependencies{Store: store.NewClient(&stand.Platform{}), Workers: panickingWorkers{}, Dialect: fakeDialect{}, Now: SteadyClock()})
	must.Eq(t, sched.Unanswered, n.execute(t.Context(), sched.Worker{ID: "w"}, 1, sched.Poll{}).Answer)
	n.control.Store(&control{node: n}) // its carriers are nil, so the handler panics
	n.receive(peer.Identity{}, &wire.Frame{Body: &wire.Frame_Answers{Answers: &wire.Answers{Answers: []*wire.Answer{{}}}}})
}
