package sched

import (
	"slices"
	"time"
)

const (
	paceInterval    = 600 * time.Millisecond // shortest time between two changes; a poll must show the effect of the last one first
	paceStepPercent = 20                     // percentage points by which one order raises a pace
	highTailShare   = 0.8                    // fraction of the tail target from which a tail is too high
	lowTailShare    = 0.5                    // fraction of the tail target below which backfill tasks get more
	paceDivisor     = 2                      // divides the pace of a backfill task that interferes
)

// planPace lowers the pace of a worker's backfill tasks when the latency tail of a long-running task there comes near
// its target, pauses them when it reaches the target, and raises the pace again when the tail is low.
func (s *State) planPace(now time.Time, w *worker, o *Orders) {
	worstTailShare := 0.0
	var backfills []*run
	for _, r := range w.runs {
		if r.task == nil || r.phase != running {
			continue
		}
		step := r.task.stage.step
		if step.Backfill {
			backfills = append(backfills, r)
		}
		if step.LongRunning && step.TailTarget > 0 {
			worstTailShare = max(worstTailShare, float64(r.metric)/float64(step.TailTarget.Milliseconds()))
		}
	}
	slices.SortFunc(backfills, func(a, b *run) int { return a.id.compare(b.id) })
	for _, r := range backfills {
		if now.Sub(r.pacedAt) < paceInterval || w.lastPoll.Before(r.pacedAt) {
			continue
		}
		next := r.pace
		switch {
		case worstTailShare >= 1:
			next = 0
		case worstTailShare >= highTailShare:
			next = r.pace / paceDivisor
		case worstTailShare < lowTailShare:
			next = min(fullPercent, r.pace+paceStepPercent)
		}
		if next == r.pace {
			continue
		}
		r.pacedAt, r.pace = now, next
		s.logDecision("Pace", r.id, w.ID, "TailOfNeighbours", r.number)
		o.Paces = append(o.Paces, Pace{Worker: w.ID, Task: r.id, Run: r.number, Percent: next})
	}
}

// PaceAnswered records a worker's answer to a pace order.
func (s *State) PaceAnswered(now time.Time, order Pace, answer Answer) {
	w := s.workers[order.Worker]
	if w == nil {
		return
	}
	switch answer {
	case StaleToken:
		s.fencedOff = true
	case Executed:
	default:
		if r := w.runs[order.Task]; r != nil && r.number == order.Run {
			r.pace, r.pacedAt = -1, now // unknown, so that a plan after the next poll decides again
		}
	}
}
