package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// runsOf returns the worker on which each task of a job runs.
func (w *simulation) runsOf(job string) map[TaskID]*simWorker {
	runs := make(map[TaskID]*simWorker)
	for _, x := range w.workers {
		for id := range x.runs {
			if id.Job == job && !x.down {
				runs[id] = x
			}
		}
	}
	return runs
}

func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 2})
	w.run(time.Second)
	blocker := batch("filler", "p", 1, 9000, 1)
	w.runTime = func(id TaskID) time.Duration {
		if id.Job == "filler" {
			return 3 * time.Second
		}
		return 800 * time.Millisecond
	}
	w.submit(blocker)
	w.run(100 * time.Millisecond)
	gang := batch("gang", "p", 4, 8000, 1)
	gang.Steps[0].Gang = true
	w.submit(gang)
	w.run(2 * time.Second)
	must.MapEmpty(t, w.runsOf("gang"))
	w.run(1500 * time.Millisecond)
	runs := w.runsOf("gang")
	must.MapLen(t, 4, runs)
	numbers := make(map[int64]bool)
	for id, x := range runs {
		numbers[x.runs[id].status.Run] = true
	}
	must.MapLen(t, 1, numbers)
	w.run(2 * time.Second)
	state, _ := w.owner.state.JobState("gang")
	must.Eq(t, Completed, state)
}

func TestOccurrencesRunAtTheirTimes(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 2})
	w.run(time.Second)
	j := batch("j", "p", 2, 900, 1)
	j.Repeats, j.First, j.Interval = 3, w.now.Add(2*time.Second), 1500*time.Millisecond
	w.submit(j)
	for _, c := range []struct {
		after time.Duration
		done  int
	}{{1900 * time.Millisecond, 0}, {1200 * time.Millisecond, 2}, {1500 * time.Millisecond, 4}, {1500 * time.Millisecond, 6}} {
		w.run(c.after)
		must.Eq(t, c.done, len(w.done))
	}
	state, _ := w.owner.state.JobState("j")
	must.Eq(t, Completed, state)
	must.Eq(t, 0, w.owner.state.Waiting("q-p"))
}

func TestSuccessorRepeatsNoOccurrence(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 2})
	w.run(time.Second)
	j := batch("j", "p", 2, 900, 1)
	j.Repeats, j.First, j.Interval = 2, w.now, 2*time.Second
	w.submit(j)
	w.run(1500 * time.Millisecond)
	w.owner.ended = true
	w.owner = w.newOwner(2)
	w.run(4 * time.Second)
	for id, n := range w.starts {
		must.Eq(t, 1, n, must.Sprint(id))
	}
	must.Eq(t, 4, len(w.done))
	state, _ := w.owner.state.JobState("j")
	must.Eq(t, Completed, state)
}

// TestSuccessorWithASlowClockRepeatsNoOccurrence guards against running an occurrence again that was not due yet by a new owner's clock.
func TestSuccessorWithASlowClockRepeatsNoOccurrence(t *testing.T) {
	first := TaskID{Job: "j"}
	ended := EndedRun{Number: 1, RunStatus: RunStatus{Task: first, Run: earlierRun}, Reason: Done}
	for _, c := range []struct {
		name   string
		stored []OccurrenceProgress
		listed []EndedRun
		starts int // of the other task
	}{
		{"stored as completed", []OccurrenceProgress{{Index: 0, Completed: true}}, nil, 0},
		{"stored in part", []OccurrenceProgress{{Index: 0, Tasks: []TaskProgress{{Step: 0, Done: []int{0}}}}}, nil, 1},
		{"listed as ended", nil, []EndedRun{ended}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			s, poll := successor(t, now)
			j := batch("j", "p", 2, 1000, 1)
			j.Repeats, j.First, j.Interval = 2, now.Add(500*time.Millisecond), time.Hour
			s.AddJob(now, j, Progress{State: Running, Occurrences: c.stored}, true)
			poll(now, nil, c.listed)
			must.SliceEmpty(t, s.Plan(now).Starts)
			now = now.Add(time.Second)
			starts := s.Plan(now).Starts
			must.Len(t, c.starts, starts)
			for _, o := range starts {
				must.NotEq(t, first, o.Task)
			}
		})
	}
}

// TestOccurrenceThatIsNotDueIsNoDemand guards against counting the tasks of an occurrence as waiting that is known before it is due.
func TestOccurrenceThatIsNotDueIsNoDemand(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s, _ := successor(t, now)
	j := batch("j", "p", 2, 1000, 1)
	j.Repeats, j.First, j.Interval = 1, now.Add(time.Hour), time.Hour
	s.AddJob(now, j, Progress{State: Running, Occurrences: []OccurrenceProgress{{Index: 0, Tasks: []TaskProgress{{Step: 0, Done: []int{0}}}}}}, true)
	must.SliceEmpty(t, s.Plan(now).Starts)
	s.measureDemand(now)
	must.Eq(t, vector{}, s.demandOf("p").backlog)
	must.Eq(t, 0, s.Report(now)[0].Waiting)
	now = j.First
	s.SetWorkers(now, []Worker{s.workers["w"].Worker})
	s.ConfirmOwnership(now.Add(time.Hour))
	starts := s.Plan(now).Starts
	must.Len(t, 1, starts)
	must.Eq(t, TaskID{Job: "j", Index: 1}, starts[0].Task)
}

func TestLabelsAndSpread(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 4})
	w.workers[2].Labels = []string{"b"}
	w.run(time.Second)
	labelled := batch("labelled", "p", 2, 900, 1)
	labelled.Steps[0].RequiredLabel = "b"
	spread := batch("spread", "p", 4, 900, 1)
	spread.Steps[0].MaxPerWorker = 1
	near := batch("near", "p", 2, 900, 1)
	near.Steps[0].PreferredRack = w.workers[3].Rack
	w.submit(labelled)
	w.submit(spread)
	w.submit(near)
	w.run(300 * time.Millisecond)
	for _, x := range w.runsOf("labelled") {
		must.Eq(t, w.workers[2].ID, x.ID)
	}
	used := make(map[string]bool)
	for _, x := range w.runsOf("spread") {
		used[x.ID] = true
	}
	must.MapLen(t, 4, used)
	for _, x := range w.runsOf("near") {
		must.Eq(t, w.workers[3].Rack, x.Rack)
	}
}

func TestAdviceLimitsPlacement(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 3})
	q := w.config.Queues["q-p"]
	q.Advice = &Advice{Valid: 3 * time.Second}
	w.config.Queues["q-p"] = q
	w.config.Version = 2
	w.owner.state.SetConfig(w.config)
	w.run(time.Second)
	w.submit(batch("j", "p", 2, 900, 1))
	o := w.owner.state.Plan(w.now)
	must.Len(t, 1, o.AdviceRequests)
	must.Len(t, 0, o.Starts)
	w.owner.state.AdviceAnswered(w.now, o.AdviceRequests[0], AdviceResult{Tickets: map[string]string{w.workers[1].ID: "t"}, ValidFor: 3 * time.Second})
	o = w.owner.state.Plan(w.now.Add(10 * time.Millisecond))
	must.Len(t, 2, o.Starts)
	for _, s := range o.Starts {
		must.Eq(t, w.workers[1].ID, s.Worker)
		must.Eq(t, "t", s.Ticket)
	}
}

// TestBackfillPaceFollowsTail checks that a backfill task is slowed down while the tail response time of a long-running
// task on its worker is above target, and sped up again afterwards.
func TestBackfillPaceFollowsTail(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 1})
	w.run(time.Second)
	serving := longRunningJob("serving", "p", 1)
	serving.Steps[0].TailTarget = 100 * time.Millisecond
	backfill := batch("filler", "p", 1, 4000, 1)
	backfill.Steps[0].Backfill = true
	w.runTime = func(TaskID) time.Duration { return time.Minute }
	w.submit(serving)
	w.submit(backfill)
	w.run(500 * time.Millisecond)
	x := w.workers[0]
	set := func(tail int) {
		for id, r := range x.runs {
			if id.Job == "serving" {
				r.status.Metric = tail
			}
		}
	}
	pace := func() int { return x.runs[TaskID{Job: "filler"}].pace }
	must.Eq(t, 100, pace())
	set(150)
	w.run(1500 * time.Millisecond)
	must.Eq(t, 0, pace())
	set(20)
	w.run(5 * time.Second)
	must.Eq(t, 100, pace())
}

// TestDrainingWorkerIsEmptied checks that long-running tasks are moved off a draining worker and that nothing is started
// there.
func TestDrainingWorkerIsEmptied(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 3})
	w.run(time.Second)
	w.submit(longRunningJob("l", "p", 2))
	w.run(time.Second)
	var leaving *simWorker
	for _, x := range w.workers {
		if len(x.runs) > 0 {
			leaving = x
		}
	}
	leaving.Draining = true
	w.run(1500 * time.Millisecond)
	must.MapEmpty(t, leaving.runs)
	must.Eq(t, 2, w.runningTasks("l"))
}
