package sched

import (
	"slices"
	"strconv"
	"time"
)

const (
	firstLookRetry  = 100 * time.Millisecond // pause after a look without an answer, doubled each time
	lookRetryMost   = 800 * time.Millisecond // keeps retries inside the hold time
	unhealthyPause  = time.Second            // a worker that refused as unhealthy gets no start for this long
	faultsOfBadOne  = 3                      // failed runs of distinct jobs, none done since, that mark a bad worker
	badWorkerPause  = 4 * time.Second        // a bad worker gets no start for this long, then is tried again
	avoidedWorkers  = 4                      // workers remembered on which a task failed
	stopRepeatAfter = 300 * time.Millisecond // a stop without an answer is sent again
)

// Looked takes in the result of a look.
func (s *State) Looked(now time.Time, id string, sight Sight) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.looking = false
	w.attend()
	switch sight.Answer {
	case Carried:
	case Outdated:
		s.deposed = true
		return
	case OtherLife:
		s.otherLife(now, w)
		return
	case NotSent:
		w.nextLook = now.Add(firstLookRetry) // it says nothing about the worker
		return
	default:
		w.failures++
		w.nextLook = now.Add(min(firstLookRetry<<min(w.failures-1, 8), lookRetryMost))
		return
	}
	if w.failures > 0 || !w.looked {
		s.changed = true
	}
	if !w.looked {
		s.note("WorkerSeen", TaskID{}, w.ID, strconv.Itoa(len(sight.Running))+" runs there", 0)
	}
	if !sight.Born.IsZero() && !sight.Born.Equal(w.Born) {
		if sight.Born.Before(w.Born) {
			w.nextLook = now.Add(firstLookRetry) // an answer of an earlier life that came late
			return
		}
		s.reborn(w, sight.Born)
	}
	w.failures, w.looked, w.nextLook, w.lastLook = 0, true, now, sight.Sent
	w.clock, w.clockAt = sight.Clock, now
	for _, e := range sight.Ended {
		if e.Number > w.seen {
			w.seen = e.Number
			s.ended(now, w, e)
		}
	}
	listed := make(map[TaskID]bool, len(sight.Running))
	for _, row := range sight.Running {
		listed[row.Task] = true
		s.listedRun(now, w, row)
	}
	for _, r := range w.sorted() {
		if !listed[r.id] && r.settledBefore(sight.Sent) {
			s.note("Missing", r.id, w.ID, "NotListed", r.number)
			s.release(r)
		}
	}
}

// settledBefore reports whether the run would be listed by a look sent at a time, if it were there.
func (r *run) settledBefore(sent time.Time) bool {
	if !r.stopSure.IsZero() {
		return r.stopSure.Before(sent)
	}
	return r.phase == running && r.sure.Before(sent)
}

// listedRun takes in one run that a worker lists.
func (s *State) listedRun(now time.Time, w *worker, row Row) {
	r := w.runs[row.Task]
	if r == nil {
		r = s.adopt(now, w, row)
	}
	if row.Run > r.number {
		r.number = row.Run
	}
	if r.phase == starting || r.phase == doubtful {
		r.phase, r.sure = running, now
	}
	r.percent, r.figure = row.Percent, row.Figure
	if row.Saved != "" {
		r.saved = row.Saved
	}
	if r.task != nil {
		r.task.lastRun = max(r.task.lastRun, row.Run)
	}
}

const wholePercent = 100

// adopt books a run that this owner did not start.
func (s *State) adopt(now time.Time, w *worker, row Row) *run {
	size, known := s.sizeOf(row.Task)
	if !known {
		size = w.Capacity // nothing is started beside a run of unknown size
	}
	r := &run{id: row.Task, number: row.Run, phase: running, size: size, since: now, sure: now, pace: wholePercent}
	t := s.find(row.Task)
	if t != nil && !t.done && t.run == nil && !t.stage.job.state.Final() {
		r.task, t.run = t, r
		s.markStarted(t.stage.job)
		if t.stage.step.Gang {
			t.stage.gangRun = max(t.stage.gangRun, row.Run)
		}
	}
	s.occupy(w, r)
	s.note("Adopted", row.Task, w.ID, "RunsThere", row.Run)
	return r
}

// ended takes in one end.
func (s *State) ended(now time.Time, w *worker, e End) {
	t := s.find(e.Task)
	j := s.jobs[e.Task.Job]
	if t != nil {
		s.settleEnd(now, w, t, e)
	}
	if r := w.runs[e.Task]; r != nil && r.number <= e.Run {
		if e.Saved != "" {
			r.saved = e.Saved
		}
		s.release(r)
	}
	if j != nil {
		w.ends = append(w.ends, unsaved{e.Number, j, j.version})
	}
}

func (s *State) settleEnd(now time.Time, w *worker, t *task, e End) {
	st := t.stage
	t.lastRun = max(t.lastRun, e.Run)
	switch e.How {
	case Done:
		clear(w.faults)
		if r := w.runs[e.Task]; r != nil && r.number == e.Run && r.saved == "" && !r.sure.IsZero() && r.sure.Equal(r.began) {
			s.learn(st.job.Queue, st.step, now.Sub(r.sure))
		}
		if st.step.Lasting {
			break
		}
		if st.step.Gang {
			for i := range st.tasks {
				s.finish(now, &st.tasks[i])
			}
			break
		}
		s.finish(now, t)
	case Faulted:
		s.faulted(now, w, t, e.Run)
	default:
		if e.Saved != "" {
			t.saved = e.Saved
		}
	}
	if st.step.Gang && e.Saved != "" {
		for i := range st.tasks {
			st.tasks[i].saved = e.Saved
		}
	}
}

// faulted counts a failed run of a task and of its worker.
func (s *State) faulted(now time.Time, w *worker, t *task, number int64) {
	if slices.Contains(t.failed, number) {
		return
	}
	w.faults[t.stage.job.ID] = true
	if len(w.faults) >= faultsOfBadOne {
		w.pause = now.Add(badWorkerPause)
		s.note("Paused", t.id(), w.ID, "FailsManyJobs", number)
		clear(w.faults)
	}
	t.avoid = append(t.avoid, w.ID)
	if len(t.avoid) > avoidedWorkers {
		t.avoid = t.avoid[1:]
	}
	if t.stage.step.Lasting {
		return
	}
	t.failed = append(t.failed, number)
	s.touch(t.stage.job)
	attempts := s.config.Queues[t.stage.job.Queue].Attempts
	failed := len(t.failed)
	if t.stage.step.Gang {
		runs := make(map[int64]bool)
		for i := range t.stage.tasks {
			for _, f := range t.stage.tasks[i].failed {
				runs[f] = true
			}
		}
		failed = len(runs)
	}
	if attempts > 0 && failed >= attempts {
		s.note("JobFailed", t.id(), w.ID, "AttemptsSpent", number)
		s.end(now, t.stage.job, Failed)
	}
}

// StartAnswered takes in what became of a start.
func (s *State) StartAnswered(now time.Time, order Start, answer Answer) {
	w := s.workers[order.Worker]
	if w == nil {
		return
	}
	r := w.runs[order.Task]
	if r == nil || r.number != order.Run || r.phase != starting {
		if answer == Outdated {
			s.deposed = true
		}
		return
	}
	switch answer {
	case Carried:
		r.phase, r.sure, r.began = running, now, now
		return
	case Unanswered:
		w.attend()
		r.phase, r.since = doubtful, now
		s.note("Doubtful", r.id, w.ID, "StartNotAnswered", r.number)
		return
	case Outdated:
		s.deposed = true
		return
	case OtherLife:
		s.otherLife(now, w)
		return
	case Unhealthy:
		w.pause = now.Add(unhealthyPause)
	case TooLate, NoRoom:
		w.looked, w.nextLook = false, now // the belief about the worker is wrong
	}
	s.note("Refused", r.id, w.ID, string(answer), r.number)
	if r.task != nil {
		r.task.stage.dissolve(r.number)
	}
	s.release(r)
}

// dissolve stops the members of a gang's run, because one of them won't come.
func (st *stage) dissolve(number int64) {
	if !st.step.Gang {
		return
	}
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.number == number && r.phase != stopping {
			r.demandStop()
		}
	}
}

// demandStop makes the next plan send a stop.
func (r *run) demandStop() {
	r.worker.attend()
	if r.phase == starting || r.phase == doubtful {
		r.phase = doubtful
		r.since = time.Time{} // no need to wait for a late answer
		return
	}
	r.phase = stopping
}

// StopAnswered takes in what became of a stop.
func (s *State) StopAnswered(now time.Time, order Stop, answer Answer) {
	w := s.workers[order.Worker]
	if w == nil {
		return
	}
	switch answer {
	case Outdated:
		s.deposed = true
	case OtherLife:
		s.otherLife(now, w)
	case Carried:
		if r := w.runs[order.Task]; r != nil && r.number == order.Run && r.stopSure.IsZero() {
			r.stopSure = now
		}
	}
}

// otherLife releases everything on a worker in whose place another one answered.
func (s *State) otherLife(now time.Time, w *worker) {
	w.looked, w.listed = false, false
	w.lapse = now
	w.nextLook = now.Add(lookRetryMost)
	for _, r := range w.sorted() {
		s.note("Lost", r.id, w.ID, "WorkerIsGone", r.number)
		s.release(r)
	}
}

// ackable returns the highest end of a worker that may be acknowledged.
func (w *worker) ackable() int64 {
	for len(w.ends) > 0 && w.ends[0].job.saved >= w.ends[0].version {
		w.ends = w.ends[1:]
	}
	if len(w.ends) > 0 {
		return w.ends[0].number - 1
	}
	return w.seen
}
