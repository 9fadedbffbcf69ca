package node

import (
	"testing"

	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// TestSuccessorWaitsForThePoolsOfAQueue guards against TWICE: an owner takes over with a record, without one, or with one that it can't read.
func TestSuccessorWaitsForThePoolsOfAQueue(t *testing.T) {
	cases := []struct {
		name   string
		stored string // empty for no record
		waits  bool   // for the worker in the pool to which the queue was sent before
	}{
		{"the queue was sent there", `{"Pools":{"q":["former","p"]}}`, true},
		{"the queue was never sent there", `{"Pools":{"q":["p"]}}`, false},
		{"another queue was sent there", `{"Pools":{"q":["p"],"r":["former"]}}`, false},
		{"the record does not name the queue", `{"Pools":{"r":["p"]}}`, true},
		{"there is no record", "", true},
		{"the record is odd", `{"Pools":[7]}`, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &stand.Platform{Unlimited: true}
			n := New(Settings{Bounds: sched.Settings{}}, Dependencies{Store: store.NewClient(p), Dialect: fakeDialect{}, Now: SteadyClock()})
			owner, _, err := p.Commit(t.Context(), store.Change{Puts: []store.Record{{Key: keyOwner, Value: []byte(`{}`)}}})
			must.NoError(t, err)
			if c.stored != "" {
				_, _, err = p.Commit(t.Context(), store.Change{Puts: []store.Record{{Key: keyPools, Value: []byte(c.stored)}}})
				must.NoError(t, err)
			}
			control := n.newControl(t.Context(), ownership{revision: owner})
			_, err = control.load(newWorkerList(fakeDialect{}, func(store.Record, error) {}))
			must.NoError(t, err)
			at := n.Now()
			control.state.ConfirmOwnership(at.Add(ownerLease))
			control.state.SetConfig(sched.Config{Version: 2, Queues: map[string]sched.Queue{"q": {Name: "q", Pool: "p"}}, Pools: map[string]sched.Pool{"p": {Name: "p"}, "former": {Name: "former"}}})
			capacity := sched.Size{Processors: 16000, MemoryMB: 32768}
			control.state.SetWorkers(at, []sched.Worker{{ID: "seen", Pool: "p", Capacity: capacity, StartedAt: at}, {ID: "unseen", Pool: "former", Capacity: capacity, StartedAt: at}})
			control.state.PollAnswered(at, "seen", sched.PollResult{Answer: sched.Executed, Sent: at, StartedAt: at})
			for _, change := range control.state.Plan(at).Roster {
				control.state.RosterSaved(change)
			}
			value, err := sched.EncodeJob(job("j", 1))
			must.NoError(t, err)
			control.addJob(at, "j", store.Record{Key: keyJobs + "j", Value: value, Revision: 6}, sched.Progress{})
			o := control.state.Plan(at)
			must.Eq(t, c.waits, len(o.Starts) == 0)
			control.state.PollAnswered(at, "unseen", sched.PollResult{Answer: sched.Executed, Sent: at, StartedAt: at})
			if c.waits {
				o = control.state.Plan(at)
				must.Len(t, 1, o.Starts)
			}
			if o.QueuePools == nil {
				return // the stored record holds already
			}
			control.saveQueuePools(*o.QueuePools)
			control.saveBatcher.Wait()
			r, err := p.Get(t.Context(), keyPools)
			must.NoError(t, err)
			must.StrContains(t, string(r.Value), `"q":["p"]`)
		})
	}
}
