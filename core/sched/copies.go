package sched

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// A copy is a second run of a task of a speculative step, on another worker. The first of the two that ends as done counts. A task has at
// most one copy, and only beside a run: when that ends without success, the copy takes its place.

const (
	copyInterval   = 100 * time.Millisecond // interval at which copies are considered
	copyShare      = 0.1                    // part of a pool's processors that copies may take
	copyQuantile   = 0.9                    // quantile of the run time of its kind that a run must exceed
	copyGain       = 1.5                    // quotient of a run's remaining time and that of a copy from which a copy starts
	minCopyGain    = 300 * time.Millisecond // time that a copy must save
	minSilence     = 300 * time.Millisecond // for which a worker has not answered, before its runs are copied
	minSiblings    = 2                      // known run times of other tasks of a step from which they tell how long a task takes
	maxExamined    = 64                     // tasks of a step that are examined for their progress
	maxSiblings    = 16                     // run times that are kept of a step
	minKnownPart   = 20                     // percent of a run from which its progress tells its whole time
	stillRatio     = 10.0                   // quotient of expected and actual progress from which a run stands still
	minCopyOdds    = 0.3                    // part of the copies for a reason that must overtake their runs
	skippedPerCopy = 40                     // candidates without a copy for each that is tried against the odds
	oddsWindow     = 32.0                   // outcomes after which older ones count less
	priorWon       = 1.0                    // outcomes that count before any is known
	priorLost      = 1.0
	minCopies      = 1 // copies that a pool may have however small it is
)

// mayHaveCopies reports whether the tasks of the step may have two runs at a time.
func (p *Step) mayHaveCopies() bool {
	return p.Speculative && !p.Gang && !p.LongRunning && !p.Backfill
}

// wants reports whether the run is that of the task or its copy.
func (t *task) wants(r *run) bool { return t.run == r || t.copied == r }

// runs returns the task's run and its copy, as far as it has them.
func (t *task) runs() []*run {
	switch {
	case t.run == nil:
		return nil
	case t.copied == nil:
		return []*run{t.run}
	}
	return []*run{t.run, t.copied}
}

// addRun makes a run that of the task, or its copy if the task has a run.
func (t *task) addRun(r *run) {
	if t.run == nil {
		t.run = r
		return
	}
	t.copied = r
}

// removeRun removes a run that has ended. The copy takes the place of the run.
func (t *task) removeRun(r *run) {
	if t.run == r {
		t.run = t.copied
	}
	t.copied = nil
}

// candidate is a run that a copy may overtake.
type candidate struct {
	run    *run
	reason string
	left   time.Duration // expected time until the run ends
	needed time.Duration // expected time that a copy takes
}

// planCopies starts copies of runs that are expected to end later than their copies would. The pools are given with their usable workers,
// and the stages that were to be placed: a pool in which tasks of one still wait gets no copies. Pools with unseen runs are as
// for mayStartTasks.
func (s *State) planCopies(now time.Time, pools map[string][]*worker, placed []*stage, unseen unseenRuns, o *Orders) {
	if now.Sub(s.copiesPlanned) < copyInterval {
		return
	}
	s.copiesPlanned = now
	waiting := make(map[string]bool)
	for _, st := range placed {
		if pool := s.config.Queues[st.job.Queue].Pool; !waiting[pool] && st.waitingTasks() > 0 {
			waiting[pool] = true
		}
	}
	room := make(map[string]int) // by pool, processors that copies may still take
	count := make(map[string]int)
	for pool, workers := range pools {
		for _, w := range workers {
			room[pool] += int(copyShare * float64(w.Capacity.Processors))
		}
	}
	var all []candidate
	for _, w := range s.sortedWorkers() {
		if waiting[w.Pool] || len(pools[w.Pool]) == 0 {
			continue
		}
		for _, r := range w.runs {
			t := r.task
			if t == nil || !t.stage.step.mayHaveCopies() {
				continue
			}
			if t.copied == r {
				room[w.Pool] -= r.size.Processors
				count[w.Pool]++
			}
			if c, wanted := s.candidateOf(now, r); wanted {
				all = append(all, c)
			}
		}
	}
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.left-b.needed, a.left-a.needed), a.run.id.compare(b.run.id))
	})
	for _, c := range all {
		t := c.run.task
		q, may := s.mayStartTasks(t.stage, unseen)
		if !may || !s.capPermits(t.stage, 1) || waiting[q.Pool] || (room[q.Pool] < c.run.size.Processors && count[q.Pool] >= minCopies) {
			continue
		}
		w := s.chooseWorker(now, t, q, workersIn(t.stage.job.zones(), pools[q.Pool]), t.stage.runsPerWorker())
		if w == nil || w.isSlow(now) || !s.oddsOf(t, c.reason).worthwhile() {
			continue
		}
		room[q.Pool] -= c.run.size.Processors
		count[q.Pool]++
		if c.run.saved != "" {
			t.saved = c.run.saved
		}
		s.startRun(now, t, w, t.nextRunNumber(s.token), o)
		t.copied.copyReason = c.reason
		s.logCopy("CopyStarted", t, t.copied, "of run "+strconv.FormatInt(c.run.number, 10)+" on "+c.run.worker.ID+", left "+milliseconds(c.left)+", needed "+milliseconds(c.needed))
	}
}

// logCopy logs a decision on a copy of a task.
func (s *State) logCopy(kind string, t *task, r *run, inputs string) {
	cause := r.copyReason
	if cause == "" {
		cause = "Adopted"
	}
	s.decisions = append(s.decisions, Decision{
		Kind: kind, Job: r.id.Job, Task: r.id, Worker: r.worker.ID, Run: r.number,
		Reason: cause + " " + inputs, Queue: t.stage.job.Queue, Cause: cause,
	})
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + " ms" }

// candidateOf reports whether a run is to have a copy. Another failure of either must leave the task an attempt, so that no run is started
// for one that may be the last.
func (s *State) candidateOf(now time.Time, r *run) (candidate, bool) {
	t := r.task
	st := t.stage
	if t.run != r || t.copied != nil || t.done || st.job.state.Final() || r.awaited || r.phase == stopping || len(t.crashes) > 0 {
		return candidate{}, false
	}
	if q, known := s.config.Queues[st.job.Queue]; !known || q.Attempts > 0 && len(t.failedRuns)+1 >= q.Attempts {
		return candidate{}, false
	}
	if pace, known := r.progress.pace(); known && pace > 0 && r.worker.pollFailures == 0 {
		left := float64(fullPercent-r.progress.last.percent) / pace
		if time.Duration(left*float64(time.Second)) < minCopyGain {
			return candidate{}, false // before the other tasks of the step are looked at
		}
	}
	c := candidate{run: r, needed: s.copyTime(t)}
	if left := r.progress.last.percent; r.saved != "" && left > 0 {
		c.needed = c.needed * time.Duration(fullPercent-left) / fullPercent
	}
	if w := r.worker; w.pollFailures > 0 && now.Sub(w.silentSince) >= minSilence {
		c.reason, c.left = "WorkerSilent", max(0, w.leaseEnd.Sub(now))+c.needed
		return c, true
	}
	if r.phase != running {
		return candidate{}, false
	}
	pace, known := r.progress.pace()
	slowness, told := s.slowness(r)
	left := float64(fullPercent - r.progress.last.percent)
	switch {
	case !known:
		return candidate{}, false
	case pace <= 0 && told && slowness < stillRatio:
		return candidate{}, false
	case pace <= 0 && !told && (now.Sub(r.since) <= c.needed*3/2 || fullPercent*r.progress.window() < minExpected*c.needed):
		return candidate{}, false
	case pace <= 0:
		c.reason, c.left = "StandsStill", defaultStallTime
	default:
		c.reason, c.left = "Slow", time.Duration(min(defaultStallTime.Seconds(), left/pace)*float64(time.Second))-now.Sub(r.progress.last.at)
		if r.worker.isSlow(now) {
			c.reason = "WorkerSlow"
		}
	}
	late := pace <= 0 || now.Add(c.left).Sub(r.since) > s.quantile(st.job.Queue, st.step, copyQuantile) || told && slowness >= slowRatio
	return c, late && float64(c.left) > copyGain*float64(c.needed) && c.left-c.needed >= minCopyGain
}

// copyOdds tells how often copies of a queue's runs have overtaken them, for one reason.
type copyOdds struct {
	won, lost float64
	skipped   int // candidates without a copy since the last one
}

// oddsKey names the copies that have odds of their own.
type oddsKey struct{ queue, reason string }

// oddsOf returns the odds of a candidate's copy.
func (s *State) oddsOf(t *task, reason string) *copyOdds {
	k := oddsKey{t.stage.job.Queue, reason}
	o := s.copyOdds[k]
	if o == nil {
		o = &copyOdds{won: priorWon, lost: priorLost}
		s.copyOdds[k] = o
	}
	return o
}

// worthwhile reports whether copies for the reason overtake often enough. If they don't, one of many is still tried, since that may change.
func (o *copyOdds) worthwhile() bool {
	if o.won >= minCopyOdds*(o.won+o.lost) || o.skipped >= skippedPerCopy {
		o.skipped = 0
		return true
	}
	o.skipped++
	return false
}

// count records whether a copy overtook the run. Older outcomes fade.
func (o *copyOdds) count(won bool) {
	if o.won+o.lost > oddsWindow {
		o.won, o.lost = o.won/2, o.lost/2
	}
	if won {
		o.won++
	} else {
		o.lost++
	}
}

// copyTime returns the expected run time of a copy: the median of the other tasks of the step, as far as they show it, or else of its kind.
func (s *State) copyTime(t *task) time.Duration {
	if times := s.siblingTimes(t, t.run.worker); len(times) >= minSiblings {
		return times[len(times)/2]
	}
	return s.quantile(t.stage.job.Queue, t.stage.step, 0.5)
}

// siblingTimes returns the sorted run times of the other tasks of the step that are done, or that progress tells on other workers.
func (s *State) siblingTimes(t *task, w *worker) []time.Duration {
	times := slices.Clone(t.stage.times)
	tasks := t.stage.tasks
	for i := 1; i < min(len(tasks), maxExamined) && len(times) < maxSiblings; i++ {
		if other := &tasks[(t.index+i)%len(tasks)]; other.run != nil && other.run.worker != w {
			if total, known := other.run.wholeTime(); known {
				times = append(times, total)
			}
		}
	}
	slices.Sort(times)
	return times
}

// wholeTime returns the expected time of the whole run by its progress, if that is known well enough.
func (r *run) wholeTime() (time.Duration, bool) {
	last := r.progress.last
	if last.percent < minKnownPart || r.startConfirmedAt.IsZero() || r.saved != "" {
		return 0, false
	}
	return last.at.Sub(r.startConfirmedAt) * fullPercent / time.Duration(last.percent), true
}

// recordSibling keeps the run time of a done task of the step.
func (st *stage) recordSibling(took time.Duration) {
	if len(st.times) < maxSiblings {
		st.times = append(st.times, took)
	}
}

// copyEnded notes which of a task's two runs ended first as done. The time of a run that its copy overtook counts by its progress.
func (s *State) copyEnded(now time.Time, t *task, winner *run) {
	if t.copied == nil || t.done {
		return
	}
	won := winner == t.copied
	if t.copied.copyReason != "" {
		s.oddsOf(t, t.copied.copyReason).count(won)
	}
	if !won {
		s.logCopy("CopyLost", t, t.copied, "at "+strconv.Itoa(t.copied.progress.last.percent)+"%")
		return
	}
	reason := "run at " + strconv.Itoa(t.run.progress.last.percent) + "%"
	if _, known := t.run.wholeTime(); known && t.run.worker.pollFailures == 0 {
		total := now.Sub(t.run.startConfirmedAt) * fullPercent / time.Duration(t.run.progress.last.percent)
		reason += " of " + milliseconds(total)
		s.recordRunTime(t.stage.job.Queue, t.stage.step, total)
	}
	s.logCopy("CopyWon", t, winner, reason)
}
