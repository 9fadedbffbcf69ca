package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// violated records that an invariant is violated.
func (w *simulation) violated(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// shrinkNotice is the time from which a start must heed a capacity that has shrunk.
const shrinkNotice = 4500 * time.Millisecond

// cancelLimit is the time from which no task of a job starts whose cancellation was acknowledged.
const cancelLimit = 3 * time.Second

// checkStart checks that a start exceeds no worker's capacity, that the task does not run elsewhere, and that the steps
// it depends on are done.
func (w *simulation) checkStart(x *simWorker, s Start) {
	used := Size{}
	for id := range x.runs {
		step := w.jobs[id.Job].Steps[id.Step]
		used = used.Add(step.reserved())
	}
	fits := used.Fits(x.Capacity)
	for _, f := range x.formerSizes {
		fits = fits || used.Fits(f.size) && w.now.Sub(f.until) <= shrinkNotice
	}
	if !fits {
		w.violated("capacity of %s exceeded by %s", x.ID, s.Task)
	}
	spare := boolInt(w.jobs[s.Task.Job].Steps[s.Task.Step].mayHaveCopies())
	for _, y := range w.workers {
		if y != x && !y.down && len(y.runs) > 0 && y.runs[s.Task] != nil {
			if spare--; spare < 0 {
				w.violated("%s runs on %s and %s at once", s.Task, y.ID, x.ID)
			}
		}
	}
	w.checkCap(s.Task)
	if step := w.jobs[s.Task.Job].Steps[s.Task.Step]; w.acknowledged[s.Task] && !step.LongRunning && !step.Speculative {
		w.violated("%s is started after its end was acknowledged", s.Task)
	}
	if w.crashes[s.Task] >= 3 {
		if w.lateStarts[s.Task]++; w.lateStarts[s.Task] >= 3 {
			w.violated("%s is started three times more after it crashed three workers", s.Task)
		}
	}
	if j := w.jobs[s.Task.Job]; j.Zone != "" && j.Zone != x.Zone && !slices.Contains(w.stored[j.ID].Zones, x.Zone) {
		w.violated("%s is started in zone %s, and its job is confined to %s", s.Task, x.Zone, j.Zone)
	}
	for _, a := range w.jobs[s.Task.Job].Steps[s.Task.Step].After {
		for i := range w.jobs[s.Task.Job].Steps[a].Count {
			if _, done := w.done[TaskID{s.Task.Job, s.Task.Occurrence, a, i}]; !done {
				w.violated("%s started before step %d was done", s.Task, a)
			}
		}
	}
}

// checkAcknowledged checks that no task was started after its end as done that is acknowledged now. Such an earlier start is allowed if
// the worker's lease ended between the end and its acknowledgement.
func (w *simulation) checkAcknowledged(x *simWorker, e EndedRun) {
	w.acknowledged[e.Task] = true
	at := w.doneRuns[taskRun{e.Task, e.Run}]
	step := w.jobs[e.Task.Job].Steps[e.Task.Step]
	if w.lastStart[e.Task].After(at) && !x.lapsedAt.After(at) && !step.LongRunning && !step.Speculative {
		w.violated("%s was started after its end on %s that is acknowledged now", e.Task, x.ID)
	}
}

// checkMaintenance checks that maintenance of a machine makes no more tasks of a long-running step unavailable than it permits. A task that a
// trouble ended counts once it has been unavailable for Settings.Notice, since the owner can't know sooner.
func (w *simulation) checkMaintenance(x *simWorker) {
	for id := range x.runs {
		step := w.jobs[id.Job].Steps[id.Step]
		if !step.LongRunning {
			continue
		}
		unavailable := 0
		for i := range step.Count {
			other := TaskID{id.Job, id.Occurrence, id.Step, i}
			ready := false
			for _, y := range w.workers {
				if len(y.runs) == 0 {
					continue
				}
				if r := y.runs[other]; r != nil && !y.down && y != x && r.status.Percent == fullPercent {
					ready = true
				}
			}
			if lost, found := w.lostAt[other]; !ready && other != id && (!found || w.now.Sub(lost) >= w.settings.Notice) {
				unavailable++
			}
		}
		if unavailable >= max(1, step.MaxUnavailable) {
			w.violated("maintenance of %s takes down %s while %d other tasks of its step are unavailable", x.ID, id, unavailable)
		}
	}
}

// maxRunOn is the longest time for which a run of an ended job may go on at a worker that can be reached and answers.
const maxRunOn = 3 * time.Second

// checkLeftRuns checks that neither run of a task goes on after its job has ended.
func (w *simulation) checkLeftRuns() {
	for _, x := range w.workers {
		if x.unreachable || x.lostAnswers || x.lateAnswers {
			x.troubledAt = w.now
		}
		for id := range x.runs {
			at, final := w.finalAt[id.Job]
			if final && w.jobs[id.Job].Steps[id.Step].mayHaveCopies() && !x.down && w.now.Sub(maxTime(x.troubledAt, maxTime(at, w.ownerSince))) > maxRunOn {
				w.violated("%s runs on %s long after the end of its job", id, x.ID)
			}
		}
	}
}

// checkInvariants fails the test if an invariant was violated.
func (w *simulation) checkInvariants() {
	if len(w.violations) > 0 {
		w.t.Fatalf("%d invariants violated, the first: %s\n%s", len(w.violations), w.violations[0], strings.Join(w.trace, "\n"))
	}
}
