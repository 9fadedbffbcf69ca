package sched

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	minPollRetry      = 100 * time.Millisecond // delay after the first unanswered poll, doubled for each further one
	maxPollRetry      = 800 * time.Millisecond // longest such delay, so that retries fall within the lease of the worker's runs
	unhealthyPause    = time.Second            // no start is sent for this long to a worker that refused one as unhealthy
	badWorkerFailures = 3                      // number of jobs with failed runs, since its last successful run, that marks a worker as bad
	badWorkerPause    = 4 * time.Second        // no start is sent to a bad worker for this long, then it is tried again
	maxAvoidedWorkers = 4                      // number of workers that a task avoids because it failed there
	stopRetryDelay    = 300 * time.Millisecond // delay until a stop that was not executed is sent again
)

// PollAnswered handles the result of a poll of a worker.
func (s *State) PollAnswered(now time.Time, id string, result PollResult) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.polling = false
	w.requestScan()
	switch result.Answer {
	case Executed:
	case StaleToken:
		s.fencedOff = true
		return
	case WrongIncarnation:
		if result.Sent.Before(w.restartKnown) {
			w.nextPoll = now.Add(minPollRetry) // the answer is older than the present incarnation, which may have another address
			return
		}
		s.releaseAll(now, w)
		return
	case NotSent:
		w.nextPoll = now.Add(minPollRetry) // the result says nothing about the worker
		return
	default:
		if w.pollFailures++; w.pollFailures == 1 {
			w.silentSince = now
			s.machinesRequestedAt = time.Time{} // the list of machines may show that the worker has ended
		}
		w.nextPoll = now.Add(min(minPollRetry<<min(w.pollFailures-1, 8), maxPollRetry))
		return
	}
	if w.pollFailures > 0 || !w.polled {
		s.placementChanged = true
	}
	if !w.polled {
		s.logDecision("WorkerSeen", TaskID{}, w.ID, strconv.Itoa(len(result.Running))+" runs there", 0)
	}
	// Start times tell incarnations apart, but do not order them, because a worker's time of day may jump.
	if !result.StartedAt.IsZero() && !result.StartedAt.Equal(w.StartedAt) {
		if result.Sent.Before(w.restartKnown) {
			w.nextPoll = now.Add(minPollRetry) // it may be a late answer of an earlier incarnation
			return
		}
		s.workerRestarted(now, w, result.StartedAt)
	}
	w.pollFailures, w.polled, w.nextPoll, w.lastPoll, w.silentSince = 0, true, now, result.Sent, time.Time{}
	delete(s.silent, w.ID)
	w.clock, w.clockAt = result.Clock, now
	w.moreEnded = result.MoreEnded
	s.settleRestart(w)
	// An acknowledgement covers all lower numbers, so the ends must be read in the order of their numbers.
	slices.SortFunc(result.Ended, func(a, b EndedRun) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range result.Ended {
		if e.Number > w.lastEndRead {
			if skipped := e.Number - w.lastEndRead - 1; skipped > 0 && w.endsCounted {
				s.logDecision("EndsSkipped", e.Task, w.ID, strconv.FormatInt(skipped, 10)+" before number "+strconv.FormatInt(e.Number, 10), e.Run)
			}
			w.lastEndRead, w.endsCounted = e.Number, true
			s.handleEnd(now, w, e)
		}
	}
	w.lastEndAcked = min(max(w.lastEndAcked, result.Acknowledged), w.lastEndRead)
	if len(result.Running) > 0 && now.After(w.leaseEnd) {
		w.leaseEnd = now.Add(maxLeaseTime(s.settings.longestLease())) // what runs holds a lease that this owner does not know
	}
	listed := make(map[TaskID]bool, len(result.Running))
	for _, status := range result.Running {
		listed[status.Task] = true
		s.handleListed(now, w, status)
	}
	s.judgeSpeed(now, w)
	for _, r := range w.sortedRuns() {
		if listed[r.id] || w.moreEnded || !r.confirmedBefore(result.Sent) {
			continue
		}
		if r.stopConfirmedAt.IsZero() {
			// The worker may execute a late copy of a start of the task, which it refuses only after a stop.
			s.logDecision("Missing", r.id, w.ID, "NotListedAfterStart", r.number)
			r.requestStop()
			continue
		}
		s.logDecision("Missing", r.id, w.ID, "NotListedAfterStop", r.number)
		if r.suspected != nil && r.task != nil {
			s.suspectLate(*r.suspected)
		}
		s.release(r)
	}
	if w.restarted {
		w.restarted = false
		s.refuseLateCopies(now, w)
	}
	s.endTrials(w)
}

// confirmedBefore reports whether the worker confirmed the start or the stop of the run before the given time,
// so that a poll sent then lists the run if it exists.
func (r *run) confirmedBefore(sent time.Time) bool {
	if !r.stopConfirmedAt.IsZero() {
		return r.stopConfirmedAt.Before(sent)
	}
	return r.phase == running && r.confirmedAt.Before(sent)
}

// handleListed handles the status of a run that a worker lists as running.
func (s *State) handleListed(now time.Time, w *worker, status RunStatus) {
	r := w.runs[status.Task]
	if r == nil {
		r = s.adopt(now, w, status)
	}
	if status.Run > r.number {
		r.number = status.Run
	}
	if r.phase == starting || r.phase == unconfirmed {
		r.phase, r.confirmedAt = running, now
	}
	r.suspected = nil
	r.percent, r.metric = status.Percent, status.Metric
	r.noteProgress(now, status.Percent)
	if status.Saved != "" {
		r.saved = status.Saved
	}
	if r.task != nil {
		r.task.lastRun = max(r.task.lastRun, status.Run)
	}
}

// fullPercent is the percentage for a run that is at work all the time, and the pace of a run that is not limited.
const fullPercent = 100

// adopt adds a run that a worker lists and this owner does not know.
func (s *State) adopt(now time.Time, w *worker, status RunStatus) *run {
	// The run reserves the whole worker until its size is known.
	r := &run{id: status.Task, number: status.Run, phase: running, size: w.Capacity, since: now, confirmedAt: now, pace: fullPercent}
	s.reserve(w, r)
	if a := s.await(r.id.Job); a != nil {
		r.awaited = true
		a.runs = append(a.runs, r)
	} else {
		s.attach(r)
	}
	s.logDecision("Adopted", status.Task, w.ID, "RunsThere", status.Run)
	return r
}

// attach makes an adopted run that of its task, if the task needs one, and reserves what the task requests.
func (s *State) attach(r *run) {
	s.uncountRun(r)
	s.countRun(r)
	if size, known := s.sizeOf(r.id); known {
		r.worker.used = r.worker.used.Sub(r.size).Add(size)
		r.size = size
	}
	r.worker.requestScan()
	if j := s.jobs[r.id.Job]; j != nil {
		s.createOccurrences(r.since, j, r.id.Occurrence, nil)
		s.queuePools.add(j.Queue, r.worker.Pool)
	}
	t := s.find(r.id)
	if t == nil || t.done || t.stage.job.state.Final() || t.run != nil && (t.copied != nil || !t.stage.step.mayHaveCopies()) {
		return
	}
	r.task = t
	t.addRun(r)
	t.lastRun = max(t.lastRun, r.number)
	s.markStarted(t.stage.job)
	if t.stage.step.Gang {
		t.stage.gangRun = max(t.stage.gangRun, r.number)
	}
}

// handleEnd handles an ended run that a worker lists.
func (s *State) handleEnd(now time.Time, w *worker, e EndedRun) {
	if j := s.jobs[e.Task.Job]; j != nil {
		s.applyJobEnd(now, w, j, e, w.addUnsavedEnd(e.Number))
	} else if a := s.await(e.Task.Job); a != nil {
		a.ends = append(a.ends, awaitedEnd{w, e, w.addUnsavedEnd(e.Number)})
	}
	if r := w.runs[e.Task]; r != nil && r.number <= e.Run {
		r.suspected = nil
		if e.Saved != "" {
			r.saved = e.Saved
		}
		s.release(r)
	}
}

// addUnsavedEnd adds an ended run that must not be acknowledged before its effect is durable.
func (w *worker) addUnsavedEnd(number int64) *unsavedEnd {
	u := &unsavedEnd{number: number}
	w.unsavedEnds = append(w.unsavedEnds, u)
	return u
}

// applyJobEnd applies an ended run of a known job. Its effect is durable once the job's present version is.
func (s *State) applyJobEnd(now time.Time, w *worker, j *job, e EndedRun, unsaved *unsavedEnd) {
	s.createOccurrences(now, j, e.Task.Occurrence, nil)
	if t := s.find(e.Task); t != nil {
		s.applyEnd(now, w, t, e)
	}
	unsaved.job, unsaved.version = j, j.version
}

// applyEnd applies the reason for which a run ended to its task and gang.
func (s *State) applyEnd(now time.Time, w *worker, t *task, e EndedRun) {
	st := t.stage
	t.lastRun = max(t.lastRun, e.Run)
	switch e.Reason {
	case Done:
		r := w.runs[e.Task]
		if r != nil && r.number == e.Run && t.wants(r) {
			s.copyEnded(now, t, r)
		} else if !t.done && e.Run < t.lastRun && !st.step.LongRunning {
			s.logDecision("LateEnd", e.Task, w.ID, "DoneBeforeRun "+strconv.FormatInt(t.lastRun, 10), e.Run)
		}
		clear(w.failedJobs)
		if r != nil && r.number == e.Run && r.saved == "" && !r.confirmedAt.IsZero() && r.confirmedAt.Equal(r.startConfirmedAt) {
			s.recordRunTime(st.job.Queue, st.step, now.Sub(r.confirmedAt))
			st.recordSibling(now.Sub(r.confirmedAt))
		}
		if st.step.LongRunning {
			break
		}
		if st.step.Gang {
			for i := range st.tasks {
				s.finishTask(now, &st.tasks[i])
			}
			break
		}
		s.finishTask(now, t)
	case Faulted:
		s.countFailure(now, w, t, e.Run)
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

// countFailure counts a failed run against its task and its worker, and ends the job as failed if the task
// has no attempts left. A gang's run counts once, however many of its members failed.
func (s *State) countFailure(now time.Time, w *worker, t *task, number int64) {
	if slices.Contains(t.failedRuns, number) {
		return
	}
	w.failedJobs[t.stage.job.ID] = true
	if len(w.failedJobs) >= badWorkerFailures {
		w.pausedUntil = now.Add(badWorkerPause)
		s.logDecision("Paused", t.id(), w.ID, "FailsManyJobs", number)
		clear(w.failedJobs)
	}
	t.avoid = append(t.avoid, w.ID)
	if len(t.avoid) > maxAvoidedWorkers {
		t.avoid = t.avoid[1:]
	}
	if t.stage.step.LongRunning {
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	s.markDirty(t.stage.job)
	attempts := s.config.Queues[t.stage.job.Queue].Attempts
	failedRuns := len(t.failedRuns)
	if t.stage.step.Gang {
		runs := make(map[int64]bool)
		for i := range t.stage.tasks {
			for _, f := range t.stage.tasks[i].failedRuns {
				runs[f] = true
			}
		}
		failedRuns = len(runs)
	}
	if attempts > 0 && failedRuns >= attempts {
		s.logDecision("JobFailed", t.id(), w.ID, "AttemptsSpent", number)
		s.endJob(now, t.stage.job, Failed)
	}
}

// StartAnswered handles the outcome of a start.
func (s *State) StartAnswered(now time.Time, order Start, answer Answer) {
	w := s.workers[order.Worker]
	var r *run
	if w != nil {
		r = w.runs[order.Task]
	}
	if r == nil || r.number != order.Run || r.phase != starting {
		switch answer {
		case StaleToken:
			s.fencedOff = true
		case WrongIncarnation:
			if r != nil && r.number == order.Run {
				r.neverBegan = true
			}
			s.retractCrash(order.Task, order.Run, order.Worker) // the end of the worker may be known already
		}
		return
	}
	switch answer {
	case Executed:
		r.phase, r.confirmedAt, r.startConfirmedAt = running, now, now
		if r.task != nil {
			r.task.stage.ticketAccepted(w)
		}
		return
	case Unanswered, Disconnected:
		w.requestScan()
		r.phase, r.since = unconfirmed, now
		s.logDecision("Doubtful", r.id, w.ID, "StartNotAnswered", r.number)
		return
	case StaleToken:
		s.fencedOff = true
		return
	case WrongIncarnation:
		r.neverBegan = true
		if !r.since.Before(w.restartKnown) {
			s.releaseAll(now, w)
			return
		}
	case Unhealthy:
		w.pausedUntil = now.Add(unhealthyPause)
	case TooLate, NoRoom:
		w.polled, w.nextPoll = false, now // the owner's view of the worker is wrong
	case NoTicket:
		if r.task != nil {
			r.task.stage.ticketRejected(now, w, order.Ticket)
		}
	}
	s.logDecision("Refused", r.id, w.ID, string(answer), r.number)
	if r.task != nil {
		r.task.stage.stopGang(r.number)
	}
	s.release(r)
}

// stopGang stops the members of a gang's run after one of them was not started. It does nothing for other steps.
func (st *stage) stopGang(number int64) {
	if !st.step.Gang {
		return
	}
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.number == number && r.phase != stopping {
			r.requestStop()
		}
	}
}

// requestStop makes the next plan order the run to stop.
func (r *run) requestStop() {
	r.worker.requestScan()
	if r.phase == starting || r.phase == unconfirmed {
		r.phase = unconfirmed
		r.since = time.Time{} // stop at once instead of waiting for a late answer
		return
	}
	r.phase = stopping
}

// StopAnswered handles the outcome of a stop.
func (s *State) StopAnswered(now time.Time, order Stop, answer Answer) {
	w := s.workers[order.Worker]
	if w == nil {
		return
	}
	switch answer {
	case StaleToken:
		s.fencedOff = true
	case WrongIncarnation:
		if order.StartedAt.Equal(w.StartedAt) {
			s.releaseAll(now, w)
		}
	case Executed:
		// A stop that an earlier incarnation confirmed means nothing to the present one.
		if r := w.runs[order.Task]; r != nil && r.number == order.Run && r.stopConfirmedAt.IsZero() && order.StartedAt.Equal(w.StartedAt) {
			r.stopConfirmedAt = now
		}
	}
}

// releaseAll releases all runs on a worker whose incarnation has ended.
func (s *State) releaseAll(now time.Time, w *worker) {
	if w.polled || len(w.runs) > 0 {
		s.logEnd(w)
	}
	runs := w.sortedRuns()
	if s.endCause(w) == crashed {
		s.workerCrashed(now, w, w.StartedAt, runs)
	}
	w.polled, w.listed, w.moreEnded = false, false, false
	w.leaseEnd = now
	w.nextPoll = now.Add(maxPollRetry)
	for _, r := range runs {
		s.logDecision("Lost", r.id, w.ID, "WorkerIsGone", r.number)
		s.release(r)
	}
}

// unseen reports whether the worker is silent and this owner has seen it neither answer nor on a machine, like those of machines that moved
// before the owner began.
func (w *worker) unseen() bool {
	return w.predates && w.machine == "" && !w.polled && w.lastPoll.IsZero() && w.pollFailures > 0 && len(w.runs) == 0
}

// forgetUnseen handles the end of an unseen worker. It is no evidence of a crash, since an earlier owner may have ordered it.
func (s *State) forgetUnseen(now time.Time, w *worker) {
	if len(s.inheritedTrials(w.crash(w.StartedAt))) > 0 {
		w.ended = true
		s.releaseAll(now, w)
		return
	}
	s.logDecision("WorkerEnded", TaskID{}, w.ID, "on no machine at "+w.Address.String(), 0)
	w.ended, w.endedByList = true, true
	w.listed, w.leaseEnd, w.nextPoll = false, now, now.Add(maxPollRetry)
	s.placementChanged = true
}

// acknowledgeable returns the highest number up to which the worker's ended runs are stored.
func (w *worker) acknowledgeable() int64 {
	for len(w.unsavedEnds) > 0 && w.unsavedEnds[0].saved() {
		w.unsavedEnds = w.unsavedEnds[1:]
	}
	if len(w.unsavedEnds) > 0 {
		return w.unsavedEnds[0].number - 1
	}
	return w.lastEndRead
}

// saved reports whether the effect of the end is durable, or it has none.
func (u *unsavedEnd) saved() bool { return u.absent || u.job != nil && u.job.savedVersion >= u.version }
