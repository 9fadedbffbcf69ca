package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTombstoneEndsALaterJob guards against starting a job whose id was cancelled before the job was stored.
func TestTombstoneEndsALaterJob(t *testing.T) {
	one := Caller{Account: "one", Queue: "q-p"}
	cases := []struct {
		name      string
		events    func(w *simulation, j Job)
		cancelled bool
	}{
		{"tombstone first", func(w *simulation, j Job) {
			w.owner.state.CancelUnstored(w.now, j.ID, one)
			w.submit(j)
		}, true},
		{"job first", func(w *simulation, j Job) {
			w.submit(j)
			w.owner.state.CancelUnstored(w.now, j.ID, one)
		}, true},
		{"announced, tombstone, read", func(w *simulation, j Job) {
			w.owner.state.Announce(j.ID)
			w.owner.state.CancelUnstored(w.now, j.ID, one)
			w.submit(j)
		}, true},
		{"found absent, stored later", func(w *simulation, j Job) {
			w.owner.state.Announce(j.ID)
			w.owner.state.CancelUnstored(w.now, j.ID, one)
			w.owner.state.Withdraw(j.ID)
			w.run(time.Second)
			w.owner.state.Announce(j.ID)
			w.submit(j)
		}, true},
		{"twice", func(w *simulation, j Job) {
			w.owner.state.CancelUnstored(w.now, j.ID, one)
			w.owner.state.CancelUnstored(w.now, j.ID, one)
			w.submit(j)
			w.owner.state.CancelUnstored(w.now, j.ID, one)
		}, true},
		{"another account's", func(w *simulation, j Job) {
			w.owner.state.CancelUnstored(w.now, j.ID, Caller{Account: "two"})
			w.submit(j)
			w.owner.state.CancelUnstored(w.now, j.ID, Caller{Account: "two"})
		}, false},
		{"after another account's", func(w *simulation, j Job) {
			w.owner.state.CancelUnstored(w.now, j.ID, one)
			w.owner.state.CancelUnstored(w.now, j.ID, Caller{Account: "two"})
			w.submit(j)
		}, true},
		{"expired", func(w *simulation, j Job) {
			w.owner.state.CancelUnstored(w.now, j.ID, one)
			w.now = w.now.Add(w.settings.TombstoneLife())
			w.owner.state.Forget(w.now)
			must.Eq(w.t, 0, w.owner.state.Tombstones())
			w.submit(j)
		}, false},
	}
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			w := newSimulation(t, 1, map[string]int{"p": 3})
			w.run(time.Second)
			j := batch("a", "p", 2, 900, 1)
			j.Account = "one"
			e.events(w, j)
			w.run(3 * time.Second)
			want, done := Completed, 2
			if e.cancelled {
				want, done = Cancelled, 0
			}
			must.Eq(t, want, w.stored["a"].State)
			must.Eq(t, done, len(w.done))
			must.Eq(t, 0, w.owner.state.Tombstones())
		})
	}
}

// TestCancelSoak guards against starting jobs whose ids were cancelled before or after the jobs were stored, under random troubles.
func TestCancelSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, simStream))
			w := newSimulation(t, seed, map[string]int{"a": 6, "b": 6})
			w.crashesKeepIDs = seed%2 == 1
			w.run(settleTime)
			wave := int64(0)
			w.readDelay = func(string) time.Duration { return time.Duration(r.IntN(2000)) * time.Millisecond }
			delay := func() time.Duration { return time.Duration(r.IntN(6000)) * time.Millisecond }
			for i := range 60 {
				j, _ := soakJob(r, fmt.Sprint("j", i))
				w.schedule(delay(), func() { w.storeLate(j) })
				if r.IntN(3) > 0 {
					for range 1 + r.IntN(2) {
						w.schedule(delay(), func() { w.cancelAny(j.ID) })
					}
				}
				if r.IntN(3) == 0 {
					w.disturb(r, &wave)
				}
				w.run(time.Duration(50+r.IntN(500)) * time.Millisecond)
			}
			w.run(45 * time.Second)
			for id := range w.jobs {
				if _, is := w.cancelledAt[id]; is {
					must.True(t, w.stored[id].State.Final(), must.Sprint(id, "\n", w.owner.state.dump(id)))
					must.Eq(t, 0, w.runningTasks(id))
				}
			}
		})
	}
}
