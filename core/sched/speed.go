package sched

import (
	"slices"
	"strconv"
	"time"
)

// A slow worker slows all that it runs. It is told apart from slow tasks by the steps that run there: at least two of them, and all, must be
// slow compared with their tasks on other workers, or with nearly all runs of their kind.

const (
	slowRatio      = 2.5                     // quotient of expected and actual progress from which a run is slow
	soundRatio     = 1.5                     // quotient below which a run shows that its worker is not slow
	maxSlowness    = 20.0                    // largest such quotient that counts
	minExpected    = 5.0                     // percentage points of expected progress from which a quotient is taken
	slowSteps      = 2                       // slow steps that show a slow worker
	speedMemory    = 1200 * time.Millisecond // for which the speed of a step's runs on a worker counts
	slowPause      = 2 * time.Second         // in which a slow worker gets no task, before it is tried again with one
	slowMemory     = 8 * time.Second         // after which a worker that no run has shown to be slow counts as sound
	usedPart       = 2                       // at most one worker in this many of a pool counts as slow
	maxSpeedMarks  = 8                       // steps of which the speed on one worker is kept
	judgeInterval  = 300 * time.Millisecond  // shortest time between two looks at a worker's runs
	leastMovedPart = 0.5                     // percentage points that count as progress of a run that stands still
)

// speedMark is the speed of a step's runs on a worker.
type speedMark struct {
	stage *stage
	ratio float64 // expected over actual progress, of the fastest of them
	at    time.Time
}

// speed is the owner's view of a worker's speed.
type speed struct {
	marks     []speedMark
	slow      bool
	slowUntil time.Time // it gets no task before then, and one at a time afterwards
	slowAt    time.Time // when a run last showed it
	triedAt   time.Time // when it last got a task while it was slow
	judgedAt  time.Time
}

// isSlow reports whether the worker counts as slow. It does no longer once no run has shown it for a while.
func (w *worker) isSlow(now time.Time) bool { return w.slow && now.Sub(w.slowAt) < slowMemory }

// mayTakeTask reports whether the worker's speed permits another task there.
func (w *worker) mayTakeTask(now time.Time) bool {
	return !w.isSlow(now) || !now.Before(w.slowUntil) && (w.triedAt.Before(w.slowUntil) || now.Sub(w.triedAt) >= slowPause)
}

// slowness returns the quotient of the expected and the actual progress that polls showed of a run lately, and whether it can be told.
func (s *State) slowness(r *run) (float64, bool) {
	t, p := r.task, &r.progress
	if t == nil || p.first.at.IsZero() || r.phase != running || r.pace != fullPercent {
		return 0, false
	}
	step := t.stage.step
	if step.LongRunning || step.Backfill || step.Gang {
		return 0, false
	}
	whole, known := s.wholeTimeElsewhere(t, r.worker)
	if !known {
		return 0, false
	}
	expected := fullPercent * float64(p.window()) / float64(whole)
	left := float64(fullPercent - p.first.percent)
	if expected = min(expected, left); expected < minExpected {
		return 0, false
	}
	return min(maxSlowness, expected/max(leastMovedPart, float64(p.last.percent-p.first.percent))), true
}

// wholeTimeElsewhere returns how long a run of the task should take: the median of the step's tasks on other workers, or nearly the longest
// of its kind, since the estimate of a step is wrong for all of its tasks.
func (s *State) wholeTimeElsewhere(t *task, w *worker) (time.Duration, bool) {
	if times := s.siblingTimes(t, w); len(times) >= minSiblings {
		return times[len(times)/2], true
	}
	k, base := kindOf(t.stage.job.Queue, t.stage.step)
	ratio, known := s.durations.Quantile(k, highQuantile)
	return time.Duration(ratio * float64(base)), known
}

// judgeSpeed judges a worker's speed by the runs that a poll has just listed there.
func (s *State) judgeSpeed(now time.Time, w *worker) {
	if now.Sub(w.judgedAt) < judgeInterval {
		return
	}
	w.judgedAt = now
	fresh := make(map[*stage]float64)
	for _, r := range w.runs {
		if ratio, known := s.slowness(r); known && r.progress.last.at.Equal(now) {
			st := r.task.stage
			if least, found := fresh[st]; !found || ratio < least {
				fresh[st] = ratio
			}
		}
	}
	if len(fresh) == 0 {
		return
	}
	w.marks = slices.DeleteFunc(w.marks, func(m speedMark) bool {
		_, found := fresh[m.stage]
		return found || now.Sub(m.at) > speedMemory
	})
	slow, sound := 0, 0
	for st, ratio := range fresh {
		if len(w.marks) < maxSpeedMarks {
			w.marks = append(w.marks, speedMark{st, ratio, now})
		}
		sound += boolInt(ratio < soundRatio)
	}
	for _, m := range w.marks {
		slow += boolInt(m.ratio >= slowRatio)
	}
	if w.slow = w.isSlow(now); w.slow && slow > 0 {
		w.slowAt = now
	}
	reason := strconv.Itoa(slow) + " of " + strconv.Itoa(len(w.marks)) + " steps slow"
	switch {
	case w.slow && sound > 0:
		w.slow = false
		s.placementChanged = true
		s.logDecision("WorkerSound", TaskID{}, w.ID, reason, 0)
	case w.slow && slow > 0 && w.triedAt.After(w.slowUntil):
		w.slowUntil = now.Add(slowPause)
		s.logDecision("WorkerSlow", TaskID{}, w.ID, "StillSlow, "+reason, 0)
	case !w.slow && slow >= slowSteps && slow == len(w.marks) && s.maySpare(now, w):
		w.slow, w.slowAt, w.slowUntil = true, now, now.Add(slowPause)
		s.logDecision("WorkerSlow", TaskID{}, w.ID, reason, 0)
	}
}

// maySpare reports whether enough other workers of the pool are not slow.
func (s *State) maySpare(now time.Time, w *worker) bool {
	slow, all := 1, 0
	for _, other := range s.workers {
		if other.Pool == w.Pool && other.listed {
			all++
			slow += boolInt(other.isSlow(now))
		}
	}
	return slow*usedPart <= all
}
