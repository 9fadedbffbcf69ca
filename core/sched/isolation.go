package sched

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// A task under which two workers have crashed runs alone, on a worker that is reserved for its job, so that another crash shows whether it is
// the cause. No reservation lasts: other jobs may need the worker.

const (
	isolationCrashes = 2                // crashes after which a task runs alone
	reservationTime  = 4 * time.Second  // a worker that is not free for a task by then serves all jobs again for at least as long
	trialTime        = 8 * time.Second  // for which a worker is kept for a run alone
	settleTrialTime  = 15 * time.Second // after which the outcome of a trial of an earlier owner is not awaited any more
)

// isolated reports whether the task is to run on a worker that is reserved for its job.
func (t *task) isolated() bool { return len(t.crashes) >= isolationCrashes }

// mayStart reports whether the task may start on the worker as far as crashes are concerned. Those that are known must be stored, since this
// owner may be cut off, and its successor would know of none. A task that is to run alone needs a worker that is reserved for its job and runs
// nothing else, unless the last one did not become free in time, and its trial there must be stored too.
func (w *worker) mayStart(t *task) bool {
	job := t.stage.job
	switch {
	case job.savedVersion < t.crashVersion || t.incriminated():
		return false
	case t.isolated():
		alone := w.reservedFor == job.ID && w.hostsOnly(job.ID)
		return (alone || t.sharesWorker && w.servesJob(job.ID)) && t.trialStoredOn(w)
	}
	return w.servesJob(job.ID)
}

// servesJob reports whether the worker is not reserved for another job.
func (w *worker) servesJob(id string) bool { return w.reservedFor == "" || w.reservedFor == id }

// hasTrialOn reports whether the task has a trial on the worker's present incarnation.
func (t *task) hasTrialOn(w *worker) bool {
	return t.trial != nil && t.trial.equal(w.crash(w.StartedAt))
}

// trialStoredOn reports whether the task's trial on the worker's present incarnation is stored.
func (t *task) trialStoredOn(w *worker) bool {
	return t.hasTrialOn(w) && t.stage.job.savedVersion >= t.trial.version
}

// beginTrial notes that the task's next run is to be on the worker. It may start once that is stored.
func (s *State) beginTrial(t *task, w *worker) {
	if t.hasTrialOn(w) {
		return
	}
	s.markDirty(t.stage.job)
	r := CrashedRun{Step: t.stage.index, Index: t.index, Run: t.nextRunNumber(s.token), Crash: w.crash(w.StartedAt)}
	t.trial = &trial{CrashedRun: r, version: t.stage.job.version}
}

// inheritedTrials returns the tasks whose trials an earlier owner began on an incarnation of a worker, and whose outcome is not known.
func (s *State) inheritedTrials(on Crash) []*task {
	var tasks []*task
	for _, id := range sortedKeys(s.suspectJobs) {
		for _, t := range s.suspectJobs[id].suspects {
			if t.trial != nil && t.trial.inherited && t.run == nil && t.trial.equal(on) {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

// endTrials forgets the trials of earlier owners on a worker that is up and does not run them.
func (s *State) endTrials(w *worker) {
	if len(s.suspectJobs) == 0 {
		return
	}
	for _, t := range s.inheritedTrials(w.crash(w.StartedAt)) {
		t.trial = nil
		s.placementChanged = true
	}
}

// crashedAt reports whether a worker at the address crashed under the task.
func (t *task) crashedAt(a netip.AddrPort) bool {
	return slices.ContainsFunc(t.crashes, func(c CrashedRun) bool { return c.Address == a })
}

// planIsolation counts the suspects on each worker and reserves workers for the tasks that are to run alone. A reserved worker gets no
// tasks of other jobs; it is used once those that it has are done, or left to the other jobs again if that takes too long.
func (s *State) planIsolation(now time.Time, pools map[string][]*worker) {
	if len(s.suspectJobs) == 0 && !s.isolating {
		return
	}
	s.reviewSuspects(now)
	s.isolating = len(s.suspectJobs) > 0
	for _, w := range s.workers {
		w.suspects = 0
	}
	hosts := make(map[*worker]string) // workers on which a job's tasks run alone
	waiting := make(map[string]int)   // by job, the number of its tasks that wait for a worker of their own
	var tasks []*task
	for id, j := range s.suspectJobs {
		for _, t := range j.suspects {
			switch {
			case t.run != nil:
				w := t.run.worker
				for _, r := range t.runs() {
					r.worker.suspects++
				}
				switch {
				case !t.isolated() || !w.hostsOnly(id):
				case now.Sub(t.run.since) < trialTime:
					hosts[w] = id
				case w.reservedFor == id:
					w.endReservation(now)
				}
			case t.stage.queued && t.isolated() && !t.incriminated():
				if t.trial != nil && t.trial.inherited && s.workers[t.trial.Worker] != nil && now.Sub(s.began) < settleTrialTime {
					continue // its outcome is not known
				}
				if t.waitsAloneSince.IsZero() {
					t.waitsAloneSince = now
				}
				waiting[id]++
				tasks = append(tasks, t)
			}
		}
	}
	for _, w := range s.workers {
		switch job, hosting := hosts[w]; {
		case hosting:
			w.reservedFor, w.reservedAt = job, now
		case waiting[w.reservedFor] == 0, !w.usable(now):
			w.reservedFor = ""
		case now.Sub(w.reservedAt) >= reservationTime:
			s.letShare(w, tasks)
			w.endReservation(now)
		}
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(a.waitsAloneSince.Compare(b.waitsAloneSince), a.id().compare(b.id()))
	})
	room := make(map[*worker]Size) // what a reserved worker has left for its job's waiting tasks
	for _, t := range tasks {
		t.awaitedWorker = ""
		s.reserveWorker(now, t, pools[s.config.Queues[t.stage.job.Queue].Pool], room)
	}
}

// endReservation leaves a worker to all jobs for a while.
func (w *worker) endReservation(now time.Time) {
	w.reservedFor, w.notReservedBefore = "", now.Add(reservationTime)
}

// letShare lets the tasks that wait for the worker share one, unless it became free in time.
func (s *State) letShare(w *worker, waiting []*task) {
	for _, t := range waiting {
		if t.awaitedWorker == w.ID && !w.hostsOnly(t.stage.job.ID) {
			t.sharesWorker = true
			s.logDecision("ReservationEnded", t.id(), w.ID, "NotFreeInTime", t.lastRun)
		}
	}
}

// reserveWorker reserves one of the workers for a task that waits to run alone, unless one that is reserved for its job has room for it.
// At most half of the workers of a pool are reserved. For a task that shares a worker it chooses one with room, without reserving it.
func (s *State) reserveWorker(now time.Time, t *task, workers []*worker, room map[*worker]Size) {
	st, q := t.stage, s.config.Queues[t.stage.job.Queue]
	size, runsPerWorker := st.step.reserved(), st.runsPerWorker()
	reserved := 0
	var best *worker
	var bestRoom Size
	var bestExcess int
	crowded := false
	for _, w := range workers {
		reserved += boolInt(w.reservedFor != "")
		if !st.job.mayStartIn(w.Zone) || !w.servesJob(st.job.ID) || w.reservedFor == "" && !t.sharesWorker && now.Before(w.notReservedBefore) {
			continue
		}
		left, known := room[w]
		switch {
		case known:
		case t.sharesWorker:
			left = w.free()
		default:
			left = w.roomBesides(func(r *run) bool { return r.id.Job == st.job.ID })
		}
		if !size.Fits(left) || !t.mayRunOn(q, w, runsPerWorker) {
			continue
		}
		excess := st.excessOn(w, runsPerWorker)
		if excess > 0 && !t.mayExceedSpread(now) {
			crowded = true
			continue
		}
		if w.reservedFor == st.job.ID || t.sharesWorker && t.hasTrialOn(w) {
			room[w] = left.Sub(size)
			s.awaitWorker(t, w)
			return
		}
		if best == nil || cmp.Or(cmp.Compare(excess, bestExcess), s.compareForIsolation(now, t, w, best)) < 0 {
			best, bestRoom, bestExcess = w, left, excess
		}
	}
	switch {
	case best == nil:
		if crowded {
			t.waitForSpread(now)
		}
		return
	case t.sharesWorker:
		s.logDecision("Shared", t.id(), best.ID, t.describeCrashes(), t.lastRun)
	case reserved >= max(1, len(workers)/2):
		return
	default:
		best.reservedFor, best.reservedAt = st.job.ID, now
		s.logDecision("Reserved", t.id(), best.ID, t.describeCrashes(), t.lastRun)
	}
	room[best] = bestRoom.Sub(size)
	s.awaitWorker(t, best)
}

// awaitWorker notes that the task waits for the worker, and begins its trial once it may start there. A trial that was stored sooner would blame
// the task, under a later owner, for a crash of the worker before its start.
func (s *State) awaitWorker(t *task, w *worker) {
	t.awaitedWorker = w.ID
	if w.hostsOnly(t.stage.job.ID) || t.sharesWorker {
		s.beginTrial(t, w)
	}
}

// roomBesides returns the capacity that the worker has once its batch tasks are done, but those that the function names.
func (w *worker) roomBesides(stays func(*run) bool) Size {
	room := w.Capacity
	for _, r := range w.runs {
		if stays != nil && stays(r) || r.task != nil && r.task.stage.step.LongRunning {
			room = room.Sub(r.size)
		}
	}
	return room
}

// compareForIsolation orders workers by how well a task can run alone there: not where one crashed under it, with few long-running tasks,
// which the crash would end, and soon.
func (s *State) compareForIsolation(now time.Time, t *task, a, b *worker) int {
	return cmp.Or(
		cmp.Compare(boolInt(t.crashedAt(a.Address)), boolInt(t.crashedAt(b.Address))),
		cmp.Compare(a.longRunningTasks(), b.longRunningTasks()),
		cmp.Compare(s.batchTime(now, a), s.batchTime(now, b)),
	)
}

// longRunningTasks returns the number of long-running tasks on the worker.
func (w *worker) longRunningTasks() int {
	n := 0
	for _, r := range w.runs {
		n += boolInt(r.task != nil && r.task.stage.step.LongRunning)
	}
	return n
}

// isolatedMachines returns the number of machines of each pool that tasks need that run alone or wait to.
func (s *State) isolatedMachines() map[string]int {
	n := make(map[string]int)
	for _, j := range s.suspectJobs {
		alone := func(t *task) bool { return !t.done && !j.state.Final() && t.isolated() }
		n[s.config.Queues[j.Queue].Pool] += boolInt(slices.ContainsFunc(j.suspects, alone))
	}
	return n
}
