package node

import (
	"testing"

	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// TestIntakeWaitsForUnpolledWorkers guards against running a job twice: an earlier owner accepts a job after its successor has
// read all jobs and starts it on a worker that the successor has not polled yet, so the successor must not start it again.
func TestIntakeWaitsForUnpolledWorkers(t *testing.T) {
	now := SteadyClock()
	n := New(Settings{Bounds: sched.Settings{}}, Dependencies{Store: store.NewClient(&stand.Platform{}), Dialect: fakeDialect{}, Now: now})
	c := n.newControl(t.Context(), ownership{revision: 5})
	at := now()
	c.state.ConfirmOwnership(at.Add(ownerLease))
	c.state.SetConfig(sched.Config{Version: 1, Queues: map[string]sched.Queue{"q": {Name: "q", Pool: "p"}}, Pools: map[string]sched.Pool{"p": {Name: "p"}}})
	capacity := sched.Size{Processors: 16000, MemoryMB: 32768}
	c.state.SetWorkers(at, []sched.Worker{{ID: "seen", Pool: "p", Capacity: capacity, StartedAt: at}, {ID: "unseen", Pool: "p", Capacity: capacity, StartedAt: at}})
	c.state.PollAnswered(at, "seen", sched.PollResult{Answer: sched.Executed, Sent: at, StartedAt: at})
	for _, change := range c.state.Plan(at).Roster {
		c.state.RosterSaved(change)
	}
	value, err := sched.EncodeJob(job("j", 2))
	must.NoError(t, err)
	c.applyIntake(at, []store.Record{{Key: keyJobs + "j", Value: value, Revision: 6}}, nil)
	must.SliceEmpty(t, c.state.Plan(at).Starts)
	c.state.PollAnswered(at, "unseen", sched.PollResult{Answer: sched.Executed, Sent: at, StartedAt: at})
	must.Len(t, 2, c.state.Plan(at).Starts)
}

// TestSuccessorReadsUnfinishedJobsOnly: a new owner knows jobs that have ended from their progress and does not read their
// records, so that it need not read every job of the last minutes.
func TestSuccessorReadsUnfinishedJobsOnly(t *testing.T) {
	p := &stand.Platform{Unlimited: true}
	n := New(Settings{Bounds: sched.Settings{}}, Dependencies{Store: store.NewClient(p), Dialect: fakeDialect{}, Now: SteadyClock()})
	put := func(key string, value []byte) {
		_, _, err := p.Commit(t.Context(), store.Change{Puts: []store.Record{{Key: key, Value: value}}})
		must.NoError(t, err)
	}
	states := []struct {
		id    string
		state sched.JobState // stored progress, or empty for none
		want  sched.JobState
	}{
		{"accepted", "", sched.Pending},
		{"running", sched.Running, sched.Pending},
		{"completed", sched.Completed, sched.Completed},
		{"failed", sched.Failed, sched.Failed},
		{"cancelled", "", sched.Cancelled},
	}
	for _, s := range states {
		value, err := sched.EncodeJob(job(s.id, 2))
		must.NoError(t, err)
		put(keyJobs+s.id, value)
		put(keyIntake+s.id, []byte(`{}`))
		if s.state != "" {
			progress, err := sched.Progress{State: s.state, Ended: n.Now()}.Encode()
			must.NoError(t, err)
			put(keyProgress+s.id, progress)
		}
	}
	put(keyCancel+"cancelled", []byte(`{}`))
	put(keyIntake+"foreign", []byte(`{}`))
	c := n.newControl(t.Context(), ownership{revision: 5})
	_, err := c.load(newWorkerList(fakeDialect{}, func(store.Record, error) {}))
	must.NoError(t, err)
	must.Eq(t, 4, p.Calls()["Get"]) // accepted, running, cancelled and the id without a job
	for _, s := range states {
		state, known := c.state.JobState(s.id)
		must.True(t, known, must.Sprint(s.id))
		if !s.want.Final() {
			must.False(t, state.Final(), must.Sprint(s.id))
		} else if s.id != "cancelled" { // the cancellation is reported once it is stored
			must.Eq(t, s.want, state)
		}
	}
}

// TestCancelDuringALongLoad: a job that is cancelled through the store while a successor still reads the jobs must not start
// once the successor has read them.
func TestCancelDuringALongLoad(t *testing.T) {
	p := &stand.Platform{Unlimited: true}
	n := New(Settings{Bounds: sched.Settings{}}, Dependencies{Store: store.NewClient(p), Dialect: fakeDialect{}, Now: SteadyClock()})
	put := func(key string, value []byte) {
		_, _, err := p.Commit(t.Context(), store.Change{Puts: []store.Record{{Key: key, Value: value}}})
		must.NoError(t, err)
	}
	for _, id := range []string{"before", "meanwhile"} {
		value, err := sched.EncodeJob(job(id, 2))
		must.NoError(t, err)
		put(keyJobs+id, value)
	}
	put(keyIntake+"before", []byte(`{}`))
	c := n.newControl(t.Context(), ownership{revision: 5})
	after, err := c.load(newWorkerList(fakeDialect{}, func(store.Record, error) {}))
	must.NoError(t, err)
	put(keyIntake+"meanwhile", []byte(`{}`))
	put(keyCancel+"before", []byte(`{}`))
	must.Less(t, c.catchUp(after), after)
	must.Eq(t, 0, len(c.unknownJobs([]store.Record{{Key: keyIntake + "meanwhile"}})))
	progress := c.state.Plan(n.Now()).Saves
	must.Len(t, 1, progress)
	must.Eq(t, "before", progress[0].Job)
	must.Eq(t, sched.Cancelled, progress[0].Progress.State)
}
