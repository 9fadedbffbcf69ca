package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// TestJobsEndWhileHalfOfTheOrdersAreLost: workers leave half of all calls unanswered and execute them later. Each job still
// ends in a few times its work, and each task runs once, although late copies of its start arrive after its end.
func TestJobsEndWhileHalfOfTheOrdersAreLost(t *testing.T) {
	c, _ := newCluster(t, 1, 0)
	must.Eq(t, OutcomeDone, c.nodes[0].Submit(t.Context(), job("first", 4)).Outcome)
	c.await("first is completed", func() bool { return c.state(c.nodes[0], "first") == sched.Completed })
	c.fleet.mu.Lock()
	c.fleet.lossShare = 0.5
	c.fleet.mu.Unlock()
	const jobs = 20
	inTime := 0
	for i := range jobs {
		id := fmt.Sprint("j", i)
		began := time.Now()
		must.Eq(t, OutcomeDone, c.nodes[0].Submit(t.Context(), job(id, 4)).Outcome)
		c.await(id+" is completed", func() bool { return c.state(c.nodes[0], id) == sched.Completed })
		if time.Since(began) < time.Second { // the objective's fixed part in newCluster
			inTime++
		}
	}
	must.GreaterEq(t, jobs*8/10, inTime)
	time.Sleep(executeLate) // late copies arrive
	for i := range jobs {
		must.Eq(t, 5, c.fleet.count(fmt.Sprint("j", i)))
	}
}

// TestAnswerAfterCopies: once a second copy of a start was sent, only an answer that covers both copies is taken as it is.
func TestAnswerAfterCopies(t *testing.T) {
	for _, c := range []struct {
		copies       int
		order        any
		answer, want sched.Answer
	}{
		{1, sched.Start{}, sched.Unhealthy, sched.Unhealthy},
		{1, sched.Start{}, sched.Superseded, sched.Superseded},
		{2, sched.Start{}, sched.Executed, sched.Executed},
		{2, sched.Start{}, sched.StaleToken, sched.StaleToken},
		{2, sched.Start{}, sched.WrongIncarnation, sched.WrongIncarnation},
		{2, sched.Start{}, sched.Superseded, sched.Executed},
		{2, sched.Start{}, sched.Unhealthy, sched.Unanswered},
		{2, sched.Start{}, sched.NoRoom, sched.Unanswered},
		{3, sched.Start{}, sched.TooLate, sched.Unanswered},
		{3, sched.Stop{}, sched.Executed, sched.Executed},
		{3, sched.Poll{}, sched.Unhealthy, sched.Unhealthy},
	} {
		must.Eq(t, c.want, answerAfter(c.copies, c.order, c.answer))
	}
}

// silentWorkers answers no order and counts the copies.
type silentWorkers struct {
	Workers
	copies chan struct{}
}

func (w silentWorkers) Stop(ctx context.Context, _ sched.Worker, _ uint64, _ sched.Stop) sched.Answer {
	w.copies <- struct{}{}
	<-ctx.Done()
	return sched.Unanswered
}

// TestNoCopyWithoutPermit: an order is not sent, and not sent again, once its permit has ended.
func TestNoCopyWithoutPermit(t *testing.T) {
	for _, c := range []struct {
		permits int // copies that are permitted
		want    sched.Answer
	}{{0, sched.NotSent}, {1, sched.Unanswered}, {2, sched.Unanswered}} {
		w := silentWorkers{copies: make(chan struct{}, 10)}
		n := New(Settings{Name: "e"}, Dependencies{Store: store.NewClient(&stand.Platform{}), Workers: w, Dialect: fakeDialect{}, Now: SteadyClock()})
		ctx, cancel := context.WithTimeout(t.Context(), orderTimeout)
		left := c.permits
		s := n.transmit(ctx, sched.Worker{ID: "w"}, 1, sched.Stop{}, func() bool { left--; return left >= 0 })
		cancel()
		must.Eq(t, c.want, s.Answer)
		must.Eq(t, c.permits, len(w.copies))
	}
}
