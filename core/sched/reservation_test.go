package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lostAfter is the time after which a task that could run counts as lost: 3 s from 6 s after its last run, or from the end of the traffic.
const lostAfter = 9 * time.Second

// crashUnder crashes the workers on which a task runs, once each time that it runs, and waits until it has run so often.
func (w *simulation) crashUnder(id TaskID, times int) {
	w.t.Helper()
	for range times {
		must.True(w.t, w.awaitRun(id, 10*time.Second))
		w.run(200 * time.Millisecond)
		w.crash(w.runsOf(id.Job)[id])
	}
}

// awaitRun runs the simulation until a task runs, at most for a time, and reports whether it does.
func (w *simulation) awaitRun(id TaskID, most time.Duration) bool {
	for end := w.now.Add(most); w.now.Before(end); w.run(simStep) {
		if w.runsOf(id.Job)[id] != nil {
			return true
		}
	}
	return false
}

// TestReservedWorkerServesOtherJobs guards against LOST: a worker was reserved for ever for a task that can't start there, and other jobs that need the worker never ran.
func TestReservedWorkerServesOtherJobs(t *testing.T) {
	const longRun = 40 * time.Second
	labelled := func(j Job) Job {
		j.Steps[0].RequiredLabel = "b"
		return j
	}
	onEach := func(workers int) Job {
		j := labelled(batch("other", "p", workers, 1000, 1))
		j.Steps[0].MaxPerWorker = 1
		return j
	}
	cases := []struct {
		name    string
		workers int
		others  []Job // jobs that run on the workers with the label, for longRun
		suspect Job
		gone    bool // the last worker to crash does not come back
	}{
		{"beside its sibling", 2, nil, labelled(longRunningJob("suspect", "p", 2)), true},
		{"beside a long batch task", 2, []Job{onEach(2)}, labelled(batch("suspect", "p", 1, 900, 1)), false},
		{"on the only worker", 1, []Job{onEach(1)}, labelled(batch("suspect", "p", 1, 900, 1)), false},
		{"while it runs alone for long", 1, nil, labelled(batch("suspect", "p", 1, 900, 1)), false},
		{"beside its siblings on all workers", 2, nil, labelled(spreadJob(4)), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 1, map[string]int{"p": 6})
			label := func() {
				for _, x := range w.workers {
					if n := machineOf(x); n < fmt.Sprintf("m%02d", c.workers) && !slices.Contains(x.Labels, "b") {
						x.Labels = append(x.Labels, "b")
					}
				}
			}
			w.repeat(simStep, label)
			w.runTime = func(id TaskID) time.Duration {
				if id.Job == "short" {
					return 500 * time.Millisecond
				}
				return longRun
			}
			w.run(settleTime)
			id := TaskID{Job: c.suspect.ID}
			w.submit(c.suspect)
			w.crashUnder(id, isolationCrashes-1)
			for _, j := range c.others {
				w.submit(j)
			}
			w.crashUnder(id, 1)
			if c.gone {
				for m := range w.pools {
					if m < fmt.Sprintf("m%02d", c.workers) && w.workerOn(m) == nil {
						delete(w.pools, m)
						break
					}
				}
			}
			w.run(2 * crashDowntime)
			w.submit(labelled(batch("short", "p", 1, 900, 1)))
			must.True(t, w.awaitRun(TaskID{Job: "short"}, lostAfter), must.Sprint("short: ", w.trace))
			if !c.gone || c.suspect.Steps[0].MaxPerWorker == 0 {
				must.True(t, w.runsOf(id.Job)[id] != nil || w.awaitRun(id, 2*lostAfter), must.Sprint("suspect: ", w.trace))
			}
			must.SliceEmpty(t, w.violations)
		})
	}
}

// TestNoWorkerIsReservedInVain guards against LOST: a worker was reserved for a task that the limit on one worker keeps off it.
func TestNoWorkerIsReservedInVain(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s, _ := successor(t, now)
	s.AddJob(now, longRunningJob("suspect", "p", 2), Progress{}, false)
	must.Len(t, 1, s.Plan(now).Starts)
	for run := range int64(isolationCrashes) {
		s.suspect(suspectedRun{s.find(TaskID{Job: "suspect", Index: 1}), run + 1, Crash{Worker: "gone"}, 0.5})
	}
	for end := now.Add(2 * spreadWait); now.Before(end); {
		now = now.Add(placeInterval)
		s.SetWorkers(now, []Worker{s.workers["w"].Worker})
		must.SliceEmpty(t, s.Plan(now).Starts)
		must.Eq(t, "", s.workers["w"].reservedFor)
	}
}

// TestTrialIsStoredWhenItMayBegin guards against LOST: a later owner blamed a task for the crash of a worker that was reserved for it and still ran others.
func TestTrialIsStoredWhenItMayBegin(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s, poll := successor(t, now)
	s.AddJob(now, batch("other", "p", 1, 900, 1), Progress{}, false)
	other := s.Plan(now).Starts
	must.Len(t, 1, other)
	s.StartAnswered(now, other[0], Executed)

	crash := func(run int64) CrashedRun {
		return CrashedRun{Run: run, Crash: Crash{Worker: "gone"}, Chance: 0.5}
	}
	stored := Progress{State: Running, Occurrences: []OccurrenceProgress{{Crashes: []CrashedRun{crash(1), crash(2)}}}}
	s.AddJob(now, batch("suspect", "p", 1, 900, 1), stored, false)
	suspect := s.find(TaskID{Job: "suspect"})
	plan := func() Orders {
		now = now.Add(placeInterval)
		s.SetWorkers(now, []Worker{s.workers["w"].Worker})
		o := s.Plan(now)
		for _, save := range o.Saves {
			s.Saved(save.Job, save.Version)
		}
		return o
	}
	for range 3 {
		must.SliceEmpty(t, plan().Starts)
		must.Eq(t, "suspect", s.workers["w"].reservedFor)
		must.Nil(t, suspect.trial)
	}
	poll(now, nil, []EndedRun{{Number: 1, RunStatus: RunStatus{Task: other[0].Task, Run: other[0].Run}, Reason: Done}})
	must.SliceEmpty(t, plan().Starts) // the trial is stored first
	must.NotNil(t, suspect.trial)
	must.Len(t, 1, plan().Starts)
}

// TestHeldMachineTakesTasksAgain guards against LOST: a wave kept a worker free on which alone a long-running task could start, and waited for that task.
func TestHeldMachineTakesTasksAgain(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 2})
	w.runTime = func(TaskID) time.Duration { return 2 * time.Second }
	w.run(settleTime)
	w.submit(longRunningJob("l", "p", 2))
	w.jobs["l"].Steps[0].MaxPerWorker = 0
	w.run(time.Second)
	w.submit(batch("j", "p", 2, 900, 1))
	w.run(100 * time.Millisecond)
	wave := Wave{Number: 1, TimeLimit: time.Minute, MaxDown: 1, Machines: []string{"m00"}}
	w.owner.state.AddWave(w.now, wave)
	w.run(100 * time.Millisecond)
	must.True(t, w.owner.state.workers[w.workers[0].ID].cordoned)
	must.MapLen(t, 0, w.maintained)
	w.crash(w.workers[1])
	delete(w.pools, "m01")
	w.run(lostAfter)
	must.Eq(t, 2, w.runningTasks("l"), must.Sprint(w.trace))
	must.SliceEmpty(t, w.violations)
	w.pools["m01"] = "p"
	w.addWorker("m01")
	w.run(wave.TimeLimit)
	must.True(t, w.waves[1].Completed)
	must.Eq(t, 2, w.runningTasks("l"))
	must.SliceEmpty(t, w.violations)
}
