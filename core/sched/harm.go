package sched

import (
	"slices"
	"time"
)

const (
	paceEvery  = 600 * time.Millisecond // a look must show what the last change did
	paceStep   = 20                     // percent given back at once
	tailHigh   = 0.8                    // share of its target from which a tail is too high
	tailLow    = 0.5                    // share of its target below which fillers get more
	paceMargin = 2                      // a filler that disturbs is cut to this fraction
)

// planPace slows fillers down where they disturb lasting tasks, and speeds them up again.
func (s *State) planPace(now time.Time, w *worker, o *Orders) {
	worst := 0.0
	var fillers []*run
	for _, r := range w.runs {
		if r.task == nil || r.phase != running {
			continue
		}
		step := r.task.stage.step
		if step.Fills {
			fillers = append(fillers, r)
		}
		if step.Lasting && step.TailTarget > 0 {
			worst = max(worst, float64(r.figure)/float64(step.TailTarget.Milliseconds()))
		}
	}
	slices.SortFunc(fillers, func(a, b *run) int { return a.id.compare(b.id) })
	for _, r := range fillers {
		if now.Sub(r.paced) < paceEvery || w.lastLook.Before(r.paced) {
			continue
		}
		next := r.pace
		switch {
		case worst >= 1:
			next = 0
		case worst >= tailHigh:
			next = r.pace / paceMargin
		case worst < tailLow:
			next = min(wholePercent, r.pace+paceStep)
		}
		if next == r.pace {
			continue
		}
		r.paced, r.pace = now, next
		s.note("Pace", r.id, w.ID, "TailOfNeighbours", r.number)
		o.Paces = append(o.Paces, Pace{Worker: w.ID, Task: r.id, Run: r.number, Percent: next})
	}
}

// PaceAnswered takes in what became of a pace order.
func (s *State) PaceAnswered(now time.Time, order Pace, answer Answer) {
	w := s.workers[order.Worker]
	if w == nil {
		return
	}
	switch answer {
	case Outdated:
		s.deposed = true
	case Carried:
	default:
		if r := w.runs[order.Task]; r != nil && r.number == order.Run {
			r.pace, r.paced = -1, now // unknown: the next look decides again
		}
	}
}
