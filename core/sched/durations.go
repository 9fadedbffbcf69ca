package sched

import (
	"math"
	"time"

	"daisysaddle/core/sketch"
)

// Durations orders the record to be written of how long runs take compared with their estimates. A successor restores it. Without it,
// predictions are only less exact for a while.
type Durations struct {
	Version uint64 `json:"-"` // counts the runs that this owner recorded
	Kinds   []sketch.Record
}

const (
	durationsSaveInterval = 5 * time.Second // shortest time between two writes of the record
	durationsSaveRuns     = 20              // runs that were recorded since the last write, at least
	unevenSpread          = 2.5             // quotient of the high quantile and the median from which a mean misleads
	highQuantile          = 0.95
	defaultStallTime      = 10 * time.Second // remaining time of a run that stands still
	minPaceTime           = 400 * time.Millisecond
)

// durations is the owner's view of the record.
type durations struct {
	sketch.Set
	savedVersion uint64
	saving       bool
	savedAt      time.Time // when the last write was ordered
}

// RestoreDurations restores the record that an earlier owner stored.
func (s *State) RestoreDurations(stored Durations) {
	s.durations.Restore(stored.Kinds)
	s.durations.savedVersion = s.durations.Recorded()
}

// DurationsSaved records that the record was stored.
func (s *State) DurationsSaved(d Durations) {
	s.durations.saving = false
	s.durations.savedVersion = max(s.durations.savedVersion, d.Version)
}

// DurationsFailed records that storing the record failed or is unsettled; a later plan writes it again.
func (s *State) DurationsFailed() { s.durations.saving = false }

// planDurations orders the record to be stored once enough runs were recorded since.
func (s *State) planDurations(now time.Time, o *Orders) {
	d := &s.durations
	if d.saving || d.Recorded() < d.savedVersion+durationsSaveRuns || now.Sub(d.savedAt) < durationsSaveInterval {
		return
	}
	d.saving, d.savedAt = true, now
	o.Durations = &Durations{Version: d.Recorded(), Kinds: d.Records()}
}

// kindOf returns the kind of a step's runs, and the time to which their ratios refer.
func kindOf(queue string, step *Step) (sketch.Kind, time.Duration) {
	if step.Estimate <= 0 {
		return sketch.Kind{Queue: queue, Image: step.Image}, defaultRunTime
	}
	return sketch.Kind{Queue: queue, Image: step.Image, Estimated: true}, step.Estimate
}

// uneven reports whether the run times of a kind vary so much that their mean says little about a single run.
func (s *State) uneven(k sketch.Kind) bool {
	spread, known := s.durations.Spread(k, highQuantile)
	return known && spread >= unevenSpread
}

// quantile returns a quantile of the run time of a step's tasks. Where the run times are even it is the mean.
func (s *State) quantile(queue string, step *Step, q float64) time.Duration {
	k, base := kindOf(queue, step)
	if !s.uneven(k) {
		return s.movingMean(queue, step)
	}
	ratio, _ := s.durations.Quantile(k, q)
	return time.Duration(ratio * float64(base))
}

// estimate returns the mean run time of a step's tasks, of which a sum of work consists.
func (s *State) estimate(queue string, step *Step) time.Duration {
	k, base := kindOf(queue, step)
	if !s.uneven(k) {
		return s.movingMean(queue, step)
	}
	ratio, _ := s.durations.Mean(k)
	return time.Duration(ratio * float64(base))
}

// stepTime returns the time after which all tasks of a step that start together have ended with even odds.
func (s *State) stepTime(queue string, step *Step) time.Duration {
	if k, _ := kindOf(queue, step); !s.uneven(k) {
		return s.movingMean(queue, step)
	}
	return s.quantile(queue, step, math.Pow(0.5, 1/float64(max(1, step.Count))))
}

// listing is the progress of a run as of one poll.
type listing struct {
	percent int
	at      time.Time
}

// progress holds what polls showed of a batch run's progress.
type progress struct {
	first, middle, last listing
}

// noteProgress records the progress that a poll showed.
func (r *run) noteProgress(now time.Time, percent int) {
	p := &r.progress
	if p.last.at.IsZero() && r.saved == "" && !r.startConfirmedAt.IsZero() {
		p.middle = listing{0, r.startConfirmedAt}
	}
	if p.middle.at.IsZero() {
		p.middle = listing{percent, now}
	}
	p.last = listing{percent, now}
	if now.Sub(p.middle.at) >= minPaceTime {
		p.first, p.middle = p.middle, p.last
	}
}

// window returns the time over which the pace is taken.
func (p *progress) window() time.Duration { return p.last.at.Sub(p.first.at) }

// pace returns the percentage points by which a run progressed in a second lately, and whether that is known.
func (p *progress) pace() (float64, bool) {
	if p.first.at.IsZero() {
		return 0, false
	}
	return max(0, float64(p.last.percent-p.first.percent)) / p.window().Seconds(), true
}

// remaining returns the expected time until the run of a task ends: by its progress if run times are uneven and polls showed it, else by its
// age. It may be negative for a run that takes longer than expected.
func (s *State) remaining(now time.Time, r *run) time.Duration {
	st := r.task.stage
	k, _ := kindOf(st.job.Queue, st.step)
	pace, known := r.progress.pace()
	if !known || !s.uneven(k) || st.step.LongRunning || st.step.Backfill || st.step.Gang {
		return s.quantile(st.job.Queue, st.step, 0.5) - now.Sub(r.since)
	}
	left := float64(fullPercent - r.progress.last.percent)
	if pace <= 0 || left/pace > defaultStallTime.Seconds() {
		return defaultStallTime
	}
	return max(0, time.Duration(left/pace*float64(time.Second))-now.Sub(r.progress.last.at))
}
