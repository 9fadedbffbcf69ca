package sched

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sendQueue applies a configuration that sends a queue to another pool, at the present owner and those to come.
func (w *simulation) sendQueue(queue, pool string) {
	w.config.Queues = maps.Clone(w.config.Queues)
	q := w.config.Queues[queue]
	q.Pool = pool
	w.config.Queues[queue] = q
	w.config.Version++
	if !w.owner.ended {
		w.owner.state.SetConfig(w.config)
	}
}

// TestMovedQueueRunsNoTaskTwice guards against TWICE: a successor started a task again that still ran in its queue's former pool.
func TestMovedQueueRunsNoTaskTwice(t *testing.T) {
	cutOff := func(w *simulation, d time.Duration) {
		for _, x := range w.runsOf("j") {
			x.unreachable = true
			w.schedule(d, func() { x.unreachable = false })
		}
	}
	cases := []struct {
		name  string
		moves []string // pools to which the queue is sent
		then  func(*simulation)
	}{
		{"its worker is cut off", []string{"b"}, func(w *simulation) { cutOff(w, 4*time.Second) }},
		{"its worker is cut off for longer than its lease", []string{"b"}, func(w *simulation) { cutOff(w, 20*time.Second) }},
		{"its worker answers late", []string{"b"}, func(w *simulation) {
			for _, x := range w.runsOf("j") {
				x.lostAnswers = true
			}
		}},
		{"the queue moves twice", []string{"b", "c"}, func(w *simulation) { cutOff(w, 4*time.Second) }},
		{"the queue moves away and back", []string{"b", "a"}, func(w *simulation) { cutOff(w, 4*time.Second) }},
		{"the queue moves while there is no owner", nil, func(w *simulation) {
			cutOff(w, 4*time.Second)
			w.owner.ended = true
			w.run(100 * time.Millisecond)
			w.sendQueue("q-a", "b")
		}},
		{"the owner changes twice", []string{"b"}, func(w *simulation) {
			cutOff(w, 8*time.Second)
			w.changeOwner()
			w.run(500 * time.Millisecond)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				w := newSimulation(t, seed, map[string]int{"a": 3, "b": 3, "c": 3})
				w.runTime = func(TaskID) time.Duration { return 15 * time.Second }
				w.run(settleTime)
				w.submit(batch("j", "a", 2, 900, 1))
				w.run(time.Second)
				for _, pool := range c.moves {
					w.sendQueue("q-a", pool)
					w.submit(batch("in-"+pool, "a", 1, 900, 1))
					w.run(2 * poolReviewInterval)
				}
				c.then(w)
				w.changeOwner()
				w.submit(batch("new", "a", 1, 900, 1))
				w.run(4 * time.Second)                                // in which a machine moves into the pool
				must.MapLen(t, 1, w.runsOf("new"), must.Sprint(seed)) // a job that no earlier owner can have started does not wait
				w.run(50 * time.Second)
				must.SliceEmpty(t, w.violations)
				must.Eq(t, Completed, w.owner.state.jobs["j"].visibleState)
				w.run(3 * poolReviewInterval)
				must.Eq(t, map[string][]string{"q-a": {w.config.Queues["q-a"].Pool}}, w.queuePools.Pools)
			}
		})
	}
}

// TestStartInANewPoolWaitsForItsRecord guards against runs in a pool of which a successor would not know.
func TestStartInANewPoolWaitsForItsRecord(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s, _ := successor(t, now)
	s.AddJob(now, batch("j", "p", 1, 900, 1), Progress{}, false)
	o := s.Plan(now)
	must.Len(t, 1, o.Starts) // without a record of the queue a successor looks at all pools
	must.Eq(t, map[string][]string{"q-p": {"p"}}, o.QueuePools.Pools)
	s.QueuePoolsSaved(*o.QueuePools)

	config := Config{Version: 2, Queues: map[string]Queue{"q-p": {Name: "q-p", Pool: "r"}}, Pools: map[string]Pool{"p": {Name: "p"}, "r": {Name: "r"}}}
	s.SetConfig(config)
	other := Worker{ID: "x", Pool: "r", Capacity: Size{Processors: 16000, MemoryMB: 32768}, StartedAt: now}
	s.SetWorkers(now, []Worker{s.workers["w"].Worker, other})
	s.PollAnswered(now, "x", PollResult{Answer: Executed, Sent: now, StartedAt: now})
	for _, c := range s.Plan(now).Roster {
		s.RosterSaved(c)
	}
	s.AddJob(now, batch("k", "p", 1, 900, 1), Progress{}, false)
	o = s.Plan(now)
	must.SliceEmpty(t, o.Starts)
	must.Eq(t, map[string][]string{"q-p": {"p", "r"}}, o.QueuePools.Pools)
	stored := *o.QueuePools
	s.QueuePoolsFailed()
	o = s.Plan(now.Add(time.Millisecond))
	must.SliceEmpty(t, o.Starts)
	must.NotNil(t, o.QueuePools)
	s.QueuePoolsSaved(stored)
	must.Len(t, 1, s.Plan(now.Add(placeInterval)).Starts)
}

// TestQueuePoolsOfARemovedQueueAreForgotten guards against a record that grows with each queue that was ever used.
func TestQueuePoolsOfARemovedQueueAreForgotten(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"a": 2, "b": 2})
	w.run(settleTime)
	w.submit(batch("j", "a", 1, 900, 1))
	w.run(2 * time.Second)
	must.MapContainsKey(t, w.queuePools.Pools, "q-a")
	w.config.Queues = maps.Clone(w.config.Queues)
	delete(w.config.Queues, "q-a")
	w.config.Version++
	w.owner.state.SetConfig(w.config)
	w.run(3 * poolReviewInterval)
	must.MapEmpty(t, w.queuePools.Pools)
	must.MapEmpty(t, w.owner.state.queuePools.pools)
}
