package sched

import (
	"fmt"
	"strings"
)

func (w *simWorld) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// checkStart checks a start against what runs and what has ended.
func (w *simWorld) checkStart(x *simWorker, s Start) {
	used := Size{}
	for id := range x.runs {
		step := w.jobs[id.Job].Steps[id.Step]
		used = used.Add(step.reserved())
	}
	if !used.Fits(x.Capacity) {
		w.breaks("capacity of %s is exceeded by %s", x.ID, s.Task)
	}
	for _, y := range w.workers {
		if y != x && !y.down && len(y.runs) > 0 && y.runs[s.Task] != nil {
			w.breaks("%s runs on %s and on %s", s.Task, y.ID, x.ID)
		}
	}
	for _, a := range w.jobs[s.Task.Job].Steps[s.Task.Step].After {
		for i := range w.jobs[s.Task.Job].Steps[a].Count {
			if _, done := w.done[TaskID{s.Task.Job, s.Task.Occurrence, a, i}]; !done {
				w.breaks("%s starts before step %d is done", s.Task, a)
			}
		}
	}
}

// checkTaken checks that a machine's upkeep takes no more of a lasting step than may be away.
func (w *simWorld) checkTaken(x *simWorker) {
	for id := range x.runs {
		step := w.jobs[id.Job].Steps[id.Step]
		if !step.Lasting {
			continue
		}
		away := 0
		for i := range step.Count {
			other := TaskID{id.Job, id.Occurrence, id.Step, i}
			at := false
			for _, y := range w.workers {
				if len(y.runs) == 0 {
					continue
				}
				if r := y.runs[other]; r != nil && !y.down && y != x && r.row.Percent == wholePercent {
					at = true
				}
			}
			if !at && other != id {
				away++
			}
		}
		if away >= max(1, step.MayMiss) {
			w.breaks("upkeep of %s takes %s while %d of its step are away", x.ID, id, away)
		}
	}
}

func (w *simWorld) check() {
	if len(w.broken) > 0 {
		w.t.Fatalf("%d broken promises, the first: %s\n%s", len(w.broken), w.broken[0], strings.Join(w.trace, "\n"))
	}
}
