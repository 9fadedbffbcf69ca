package node

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// slowAdvisor permits all workers after a delay.
type slowAdvisor struct{ delay time.Duration }

func (a slowAdvisor) Ask(ctx context.Context, r sched.AdviceRequest) (sched.AdviceResult, error) {
	select {
	case <-ctx.Done():
		return sched.AdviceResult{}, errors.Wrap(ctx.Err(), "ask")
	case <-time.After(a.delay):
	}
	tickets := make(map[string]string)
	for _, id := range r.Workers {
		tickets[id] = "ticket"
	}
	return sched.AdviceResult{Tickets: tickets, ValidFor: time.Minute}, nil
}

// TestAdviceTakesItsTime guards against LOST: each request to the placement advisor was given up after one second, whatever time the configuration states for it.
func TestAdviceTakesItsTime(t *testing.T) {
	cases := []struct {
		name    string
		advisor Advisor
		stated  time.Duration // by the configuration
		starts  int
	}{
		{"as the configuration says", slowAdvisor{1200 * time.Millisecond}, 1200 * time.Millisecond, 1},
		{"far longer than the configuration says", slowAdvisor{time.Minute}, time.Millisecond, 0},
		{"the settings name no advisor", nil, time.Millisecond, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n := New(Settings{}, Dependencies{Store: store.NewClient(&stand.Platform{Unlimited: true}), Dialect: fakeDialect{}, Advisor: c.advisor, Now: SteadyClock()})
			control := n.newControl(t.Context(), ownership{revision: 1})
			now := n.Now()
			control.state.ConfirmOwnership(now.Add(time.Minute))
			control.state.SetConfig(sched.Config{Version: 1, Queues: map[string]sched.Queue{"q": {Name: "q", Pool: "p", Advice: &sched.Advice{PerCall: c.stated, Valid: time.Minute}}}, Pools: map[string]sched.Pool{"p": {Name: "p"}}})
			w := sched.Worker{ID: "w", Pool: "p", Capacity: sched.Size{Processors: 16000, MemoryMB: 32768}, StartedAt: now}
			control.state.SetWorkers(now, []sched.Worker{w})
			control.state.PollAnswered(now, "w", sched.PollResult{Answer: sched.Executed, Sent: now, StartedAt: now})
			for _, change := range control.state.Plan(now).Roster {
				control.state.RosterSaved(change)
			}
			control.state.AddJob(now, job("j", 1), sched.Progress{}, false)
			plan := func() sched.Orders {
				at := n.Now()
				control.state.SetWorkers(at, []sched.Worker{w})
				return control.state.Plan(at)
			}
			orders := plan()
			must.NotNil(t, orders.QueuePools)
			control.state.QueuePoolsSaved(*orders.QueuePools)
			must.SliceEmpty(t, orders.Starts)
			must.Len(t, 1, orders.AdviceRequests)
			control.askAdvisor(orders.AdviceRequests[0])
			must.NoError(t, control.group.Wait())
			if c.advisor != nil {
				(<-control.events)(n.Now())
			}
			must.Len(t, c.starts, plan().Starts)
		})
	}
}
