package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// spreadJob returns a long-running job of which only the scheduler's own limit keeps two tasks off one worker.
func spreadJob(count int) Job {
	j := longRunningJob("l", "p", count)
	j.Steps[0].MaxPerWorker = 0
	return j
}

// TestLongRunningTaskReturnsWithFewerWorkers guards against LOST: a long-running task waited for ever for a worker without a task of its step.
func TestLongRunningTaskReturnsWithFewerWorkers(t *testing.T) {
	const workers = 8
	occupy := func(w *simulation, x *simWorker) {
		w.submit(Job{ID: "occupant", Queue: "q-p", Steps: []Step{{Count: 1, Size: x.Capacity.Sub(Size{Processors: 1000}), LongRunning: true, RequiredLabel: "occupied"}}})
	}
	cases := []struct {
		name    string
		count   int
		disturb func(*simulation)
	}{
		{"one worker is lost", workers, func(w *simulation) { w.workers[0].down = true }},
		{"half of the workers are lost", workers, func(w *simulation) {
			for _, x := range w.workers[:workers/2] {
				x.down = true
			}
		}},
		{"a worker drains", workers, func(w *simulation) { w.workers[0].Draining = true }},
		{"the worker that is free has no room", workers - 1, func(w *simulation) {
			for _, x := range w.workers {
				if len(x.runs) == 0 {
					x.Labels = append(x.Labels, "occupied")
					w.listWorkers(w.owner)
					occupy(w, x)
				}
			}
			w.run(time.Second)
			for _, x := range w.workers {
				if w.runsOf("l")[TaskID{Job: "l"}] == x {
					x.down = true
				}
			}
		}},
		{"the owner changes", workers, func(w *simulation) {
			w.workers[0].down = true
			w.run(time.Second)
			w.changeOwner()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 1, map[string]int{"p": workers})
			w.run(settleTime)
			w.submit(spreadJob(c.count))
			w.run(time.Second)
			must.Eq(t, c.count, w.runningTasks("l"))
			for _, x := range w.workers {
				must.LessEq(t, 1, len(x.runs))
			}
			c.disturb(w)
			w.run(lostAfter)
			must.Eq(t, c.count, w.runningTasks("l"), must.Sprint(w.owner.state.dump("l")))
			must.SliceEmpty(t, w.violations)
		})
	}
}

// TestLongRunningGangSharesWorkers guards against a gang whose members wait for the spread limit one after the other.
func TestLongRunningGangSharesWorkers(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 2})
	w.run(settleTime)
	j := spreadJob(6)
	j.Steps[0].Gang = true
	w.submit(j)
	w.run(spreadWait + time.Second)
	must.Eq(t, 6, w.runningTasks("l"))
}

// TestWaveEmptiesCrowdedWorkers guards against AVAIL and a wave that never ends: two tasks of a step that may miss one run on one worker.
func TestWaveEmptiesCrowdedWorkers(t *testing.T) {
	for _, maxDown := range []int{1, 2, 4} {
		w := newSimulation(t, 1, map[string]int{"p": 4})
		w.run(settleTime)
		w.submit(spreadJob(6))
		w.run(2 * spreadWait)
		must.Eq(t, 6, w.runningTasks("l"))
		wave := Wave{Number: 1, TimeLimit: time.Minute, MaxDown: maxDown, Machines: sortedKeys(w.pools)}
		w.maxDown[1] = wave.MaxDown
		w.owner.state.AddWave(w.now, wave)
		for end := w.now.Add(wave.TimeLimit); !w.waves[1].Completed && w.now.Before(end); {
			w.run(time.Second)
		}
		must.True(t, w.waves[1].Completed, must.Sprint(maxDown, " ", w.trace))
		must.SliceEmpty(t, w.violations)
		w.run(2 * spreadWait)
		must.Eq(t, 6, w.runningTasks("l"))
	}
}
