package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxListAge is the age of the list of workers up to which it serves for placement: the capacity of a worker may have shrunk since, and a
// worker that shrinks says so with its next heartbeat, each 1.5 s.
const maxListAge = 4 * time.Second

// place starts waiting tasks on workers that have room for them.
func (s *State) place(now time.Time, workers []*worker, o *Orders) {
	if now.Sub(s.workersAsOf) > maxListAge {
		return
	}
	pools := make(map[string][]*worker)
	s.zoneRooms = make(map[string]zoneRoom)
	unseen := s.unseenPools(now) // and those that may have ends that no poll has shown
	for _, w := range workers {
		if w.moreEnded {
			unseen.add(w)
		}
		if w.usable(now) {
			pools[w.Pool] = append(pools[w.Pool], w)
		}
	}
	s.planIsolation(now, pools)
	s.countUnseen(now, unseen)
	p := newPlacement(pools)
	var held []heldRoom
	unadvised := 0
	defer func() {
		for _, h := range held {
			h.worker.used = h.worker.used.Sub(h.size)
		}
	}()
	order := s.placementOrder(now)
	for st := range s.inShareOrder(order, pools) {
		q, may := s.mayStartTasks(st, unseen)
		if !may {
			continue
		}
		size := st.step.reserved()
		at, workers := p.workersIn(q.Pool, st.job.zones())
		fits := !p.isFull(at, size)
		capped := s.heldByCap(st)
		if fits && !capped {
			s.placeStage(now, st, q, workers, o)
			capped = s.heldByCap(st)
		}
		waits := st.waitingTasks() > 0
		if capped && waits {
			s.logHeld(now, st)
			continue
		}
		if waits && s.yieldsRoom(st) {
			continue // it comes again
		}
		if q.Advice != nil && waits {
			unadvised++
			mayHold := fits && len(held) == 0 && len(st.verdicts) > 0
			held = append(held, s.planAdvice(now, st, q, pools[q.Pool], mayHold, o)...)
		}
		if !waits {
			continue
		}
		if !p.hasRoom(at, size, workers) && st.share != nil {
			st.share.NoRoom()
		}
		if st.job.Zone != "" {
			s.openZone(now, st, p.roomToOpen(s, q.Pool), func(zone string) bool {
				in, workers := p.workersIn(q.Pool, []string{zone})
				return p.hasRoom(in, size, workers)
			})
		}
	}
	s.planCopies(now, pools, order, unseen, o)
	s.measureZones(pools)
	s.advisor.waitingStages = unadvised
	s.planMaintenanceAdvice(now, pools, o)
}

// mayStartTasks returns the queue of a stage, and whether its tasks may start as far as runs of earlier owners and the record of the queue's
// pools are concerned.
func (s *State) mayStartTasks(st *stage, unseen unseenRuns) (Queue, bool) {
	q, known := s.config.Queues[st.job.Queue]
	if !known || s.hasUnseenRuns(st.job, unseen) {
		return q, false
	}
	return q, s.queuePools.add(q.Name, q.Pool)
}

// measureZones measures the room that is left in each zone of each pool, less what the waiting tasks of jobs that are confined to it need.
func (s *State) measureZones(pools map[string][]*worker) {
	for pool, workers := range pools {
		room := make(zoneRoom)
		for _, w := range workers {
			room[w.Zone] += w.free().Processors
		}
		s.zoneRooms[pool] = room
	}
	for name, q := range s.queues {
		room := s.zoneRooms[s.config.Queues[name].Pool]
		for _, st := range q.stages {
			if _, found := room[st.job.Zone]; found {
				room[st.job.Zone] -= st.waitingTasks() * st.step.reserved().Processors
			}
		}
	}
}

// mayHaveUnseenRuns reports whether the worker may have runs of an earlier owner that no poll has shown yet. The ownership must be confirmed up
// to the given time: a successor may have renewed the leases of such runs, or acknowledged their ends.
func (w *worker) mayHaveUnseenRuns(confirmed time.Time) bool {
	return !w.polled && !confirmed.After(earliest(w.leaseEnd, w.unseenRunsEnd))
}

// placementOrder returns the stages that have tasks to place, the most urgent first, and removes the others from
// their queues.
func (s *State) placementOrder(now time.Time) []*stage {
	var all []*stage
	for _, q := range s.queues {
		q.stages = slices.DeleteFunc(q.stages, func(st *stage) bool {
			if st.job.state.Final() || st.remaining == 0 || st.waitingTasks() == 0 {
				st.queued = false
				return true
			}
			return false
		})
		all = append(all, q.stages...)
	}
	s.placements++
	for _, st := range all {
		st.rank = s.rankOf(now, st)
	}
	slices.SortFunc(all, func(a, b *stage) int { return a.rank.compare(&b.rank) })
	return all
}

// rank is the sort key of a stage in the order of placement. A smaller rank is placed first.
type rank struct {
	group    int
	priority int
	effort   float64 // remaining work divided by the worth of the job
	due      time.Time
	id       string
	step     int
}

func (r *rank) compare(o *rank) int {
	return cmp.Or(cmp.Compare(r.group, o.group), cmp.Compare(r.priority, o.priority), cmp.Compare(r.effort, o.effort), r.due.Compare(o.due), cmp.Compare(r.id, o.id), cmp.Compare(r.step, o.step))
}

// Groups of stages in the order of placement.
const (
	groupLongRunning = iota // first, because a service that is unavailable costs most
	groupOnTime
	groupLate // the occurrence can no longer end within its objective
)

// rankOf returns the rank of a stage.
//
// Ordering by due time alone would make all jobs a little late in a burst that exceeds the capacity.
// Jobs that can still be on time come first. Among jobs of one group and priority, those with the least
// remaining work for their worth to the submitter come first.
func (s *State) rankOf(now time.Time, st *stage) rank {
	q := s.config.Queues[st.job.Queue]
	r := rank{group: groupOnTime, priority: q.Priority, id: st.job.ID, step: st.index}
	if st.step.LongRunning {
		r.group, r.due = groupLongRunning, st.job.acceptedAt
		return r
	}
	l := s.outlookOf(q, st.occurrence)
	r.due = l.due
	if now.Add(l.remaining[st.index]).After(r.due) {
		r.group = groupLate
	}
	r.effort = l.left / (baseJobValue + l.total/s.meanWork(st.job.Queue))
	return r
}

// baseJobValue is the part of a job's worth that does not depend on its work. The other part grows with the work and
// is 1 for a job of mean work. Submitters state 0.3 to 0.7.
const baseJobValue = 0.43

// milliPerCore is the number of units of Size.Processors in a core.
const milliPerCore = 1000

// objective returns the latency objective of a job: a fixed part and a multiple of its critical path.
func (s *State) objective(q Queue, j *Job) time.Duration {
	return q.objective(j.criticalPath(func(p *Step) time.Duration { return s.stepTime(j.Queue, p) }))
}

// objective returns the latency objective of a job with the given critical path.
func (q Queue) objective(criticalPath time.Duration) time.Duration {
	return q.Target + time.Duration(q.Stretch*float64(criticalPath))
}

// placeStage starts as many waiting tasks of a stage as there is room for.
func (s *State) placeStage(now time.Time, st *stage, q Queue, workers []*worker, o *Orders) {
	if st.step.Gang {
		s.placeGang(now, st, q, workers, o)
		return
	}
	runsPerWorker := st.runsPerWorker()
	spreadOnly := false // only the spread limit keeps the tasks that have met no failure off all workers with room
	for i := range st.tasks {
		t := &st.tasks[i]
		if !t.waiting() {
			continue
		}
		alike := len(t.avoid) == 0 && len(t.crashes) == 0
		if alike && spreadOnly && !t.mayExceedSpread(now) {
			t.waitForSpread(now)
			continue
		}
		if !s.capPermits(st, 1) || s.yieldsRoom(st) {
			return
		}
		w := s.chooseWorker(now, t, q, workers, runsPerWorker)
		switch {
		case w != nil:
			runsPerWorker[w.ID]++
			s.startRun(now, t, w, t.nextRunNumber(s.token), o)
		case alike && !t.waitsForSpreadSince.IsZero() && !t.mayExceedSpread(now):
			spreadOnly = true
		case alike:
			return // the remaining tasks have the same requirements
		}
	}
}

// runsPerWorker returns the number of the stage's runs on each worker.
func (st *stage) runsPerWorker() map[string]int {
	n := make(map[string]int)
	for i := range st.tasks {
		for _, r := range st.tasks[i].runs() {
			n[r.worker.ID]++
		}
	}
	return n
}

// nextRunNumber returns a run number above all those that this or an earlier owner used for the task.
func (t *task) nextRunNumber(token uint64) int64 {
	return max(t.lastRun+1, int64(token)<<runNumberShift+1)
}

// workerLimit returns how many tasks of the step may run on one worker.
func (p *Step) workerLimit() int {
	if p.MaxPerWorker > 0 {
		return p.MaxPerWorker
	}
	return math.MaxInt
}

// spreads reports whether the step's tasks are spread over the workers, so that the maintenance of one machine makes no
// more of them unavailable than the step permits.
func (p *Step) spreads() bool { return p.LongRunning && !p.Backfill }

// unavailableLimit returns how many tasks of the step may be unavailable at once, for maintenance.
func (p *Step) unavailableLimit() int { return max(1, p.MaxUnavailable) }

// spreadLimit returns how many tasks of the step run on one worker while other workers have room for the rest.
func (p *Step) spreadLimit() int {
	if !p.spreads() {
		return p.workerLimit()
	}
	return min(p.workerLimit(), p.unavailableLimit())
}

// spreadWait is the time after which a task is placed on a worker beyond the spread limit, rather than wait any longer for
// another worker. It covers the move of a machine into the pool and the maintenance of one.
const spreadWait = 3 * time.Second

// mayExceedSpread reports whether the task has waited long enough for a worker within the spread limit.
func (t *task) mayExceedSpread(now time.Time) bool {
	return !t.waitsForSpreadSince.IsZero() && now.Sub(t.waitsForSpreadSince) >= spreadWait
}

// waitForSpread records that the spread limit keeps the task off all workers with room.
func (t *task) waitForSpread(now time.Time) {
	if t.waitsForSpreadSince.IsZero() {
		t.waitsForSpreadSince = now
	}
}

// waitForSpread lets the tasks of a gang wait for the spread limit together, if one of them does.
func (st *stage) waitForSpread(now time.Time) {
	if !slices.ContainsFunc(st.tasks, func(t task) bool { return !t.waitsForSpreadSince.IsZero() }) {
		return
	}
	for i := range st.tasks {
		st.tasks[i].waitForSpread(now)
	}
}

// accepts reports whether the worker has the label that the step requires.
func (p *Step) accepts(w *worker) bool {
	return p.RequiredLabel == "" || slices.Contains(w.Labels, p.RequiredLabel)
}

// permitted reports whether the stage's label and the placement advisor permit it to run on a worker.
func (st *stage) permitted(q Queue, w *worker) bool {
	return st.step.accepts(w) && (q.Advice == nil || st.verdictOn(w).permission == permitted)
}

// mayRunOn reports whether the stage may have one more task on a worker whatever room it has, with the number of its runs on
// each worker. To start, it may need a new ticket.
func (st *stage) mayRunOn(q Queue, w *worker, runsPerWorker map[string]int) bool {
	return st.permitted(q, w) && runsPerWorker[w.ID] < st.step.workerLimit()
}

// mayRunOn reports whether the task may run on a worker whatever room it has. The spread limit and the isolation of suspects restrict it further.
func (t *task) mayRunOn(q Queue, w *worker, runsPerWorker map[string]int) bool {
	return t.stage.mayRunOn(q, w, runsPerWorker) && w.runs[t.id()] == nil
}

// avoids reports whether the task prefers other workers, because it failed on the worker or crashed one at its address.
func (t *task) avoids(w *worker) bool {
	return slices.Contains(t.avoid, w.ID) || t.crashedAt(w.Address)
}

// excessOn returns the number of tasks by which one more of the stage on the worker exceeds the spread limit.
func (st *stage) excessOn(w *worker, runsPerWorker map[string]int) int {
	return max(0, runsPerWorker[w.ID]+1-st.step.spreadLimit())
}

// chooseWorker returns the worker on which to start a task, or nil if none has room.
//
// It keeps within the spread limit unless the task has waited for spreadWait, and avoids workers on which the task failed. Then it prefers the
// rack of the data, then the worker with the fewest suspects of crashes. Of the rest it takes the one with the highest load, so that other
// machines become empty and can move to the pools with demand; a suspect takes the lowest, so that its crash would end few runs.
func (s *State) chooseWorker(now time.Time, t *task, q Queue, workers []*worker, perWorker map[string]int) *worker {
	st := t.stage
	size := st.step.reserved()
	var best *worker
	var bestScore score
	crowded := false // only the spread limit keeps the task off some worker
	for _, w := range workers {
		if !size.Fits(w.free()) || !t.mayRunOn(q, w, perWorker) || !w.mayStart(t) || !w.mayTakeTask(now) {
			continue
		}
		excess := st.excessOn(w, perWorker)
		if excess > 0 && !t.mayExceedSpread(now) {
			crowded = true
			continue
		}
		if !st.hasTicket(now, q, w) {
			continue
		}
		sc := score{
			excess:    excess,
			slow:      w.isSlow(now),
			avoided:   t.avoids(w),
			otherRack: st.step.PreferredRack != "" && w.Rack != st.step.PreferredRack,
			suspects:  w.suspects,
			load:      w.load(),
		}
		if len(t.crashes) > 0 {
			sc.load = -sc.load
		}
		if best == nil || sc.less(bestScore) {
			best, bestScore = w, sc
		}
	}
	if best == nil && crowded {
		t.waitForSpread(now)
	}
	if best != nil && s.mayBeAdvisedBetter(now, t, q, bestScore, workers, perWorker) {
		return nil
	}
	return best
}

// score rates a worker for a task. The smallest score is the best.
type score struct {
	excess    int // tasks of the step there beyond the spread limit
	slow      bool
	avoided   bool
	otherRack bool
	suspects  int
	load      float64
}

func (a score) less(b score) bool {
	if a.excess != b.excess {
		return a.excess < b.excess
	}
	if a.slow != b.slow {
		return b.slow
	}
	if a.avoided != b.avoided {
		return b.avoided
	}
	if a.otherRack != b.otherRack {
		return b.otherRack
	}
	if a.suspects != b.suspects {
		return a.suspects < b.suspects
	}
	return a.load > b.load
}

// load returns the reserved share of the worker's processors or memory, whichever is larger.
func (w *worker) load() float64 {
	return max(float64(w.used.Processors)/float64(max(1, w.Capacity.Processors)), float64(w.used.MemoryMB)/float64(max(1, w.Capacity.MemoryMB)))
}

// placeGang starts all tasks of a stage together, or none.
func (s *State) placeGang(now time.Time, st *stage, q Queue, workers []*worker, o *Orders) {
	number := st.gangRun + 1
	for i := range st.tasks {
		if st.tasks[i].run != nil {
			return // the members of an earlier run must have ended first
		}
		number = max(number, st.tasks[i].nextRunNumber(s.token))
	}
	chosen := s.chooseGang(now, st, q, workers)
	if chosen == nil {
		st.waitForSpread(now)
		return
	}
	st.gangRun = number
	for i := range st.tasks {
		st.tasks[i].saved = st.tasks[0].saved
		s.startRun(now, &st.tasks[i], chosen[i], number, o)
	}
}

// chooseGang returns a worker for each task of a gang, or nil. A rack-local step gets workers of a single rack
// if one has room for all its tasks.
func (s *State) chooseGang(now time.Time, st *stage, q Queue, workers []*worker) []*worker {
	if st.step.RackLocal {
		racks := make(map[string][]*worker)
		var names []string
		for _, w := range workers {
			if len(racks[w.Rack]) == 0 {
				names = append(names, w.Rack)
			}
			racks[w.Rack] = append(racks[w.Rack], w)
		}
		slices.SortStableFunc(names, func(a, b string) int {
			return -cmp.Compare(boolInt(a == st.step.PreferredRack), boolInt(b == st.step.PreferredRack))
		})
		for _, name := range names {
			if chosen := s.fitGang(now, st, q, racks[name]); chosen != nil {
				return chosen
			}
		}
	}
	return s.fitGang(now, st, q, workers)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fitGang returns one of the workers for each task of a gang, or nil if there is no room for all of them.
func (s *State) fitGang(now time.Time, st *stage, q Queue, workers []*worker) []*worker {
	chosen := make([]*worker, 0, len(st.tasks))
	perWorker := make(map[string]int)
	size := st.step.reserved()
	for i := range st.tasks {
		w := s.chooseWorker(now, &st.tasks[i], q, workers, perWorker)
		if w == nil {
			break
		}
		chosen = append(chosen, w)
		perWorker[w.ID]++
		w.used = w.used.Add(size)
	}
	for _, w := range chosen {
		w.used = w.used.Sub(size)
	}
	if len(chosen) < len(st.tasks) {
		return nil
	}
	return chosen
}

// startRun adds a run of the task on the worker and orders its start.
func (s *State) startRun(now time.Time, t *task, w *worker, number int64, o *Orders) {
	st := t.stage
	r := &run{id: t.id(), task: t, number: number, phase: starting, size: st.step.reserved(), since: now, saved: t.saved, pace: fullPercent}
	t.addRun(r)
	t.lastRun = number
	t.waitsAloneSince, t.waitsForSpreadSince, t.sharesWorker = time.Time{}, time.Time{}, false
	st.growsSince = time.Time{}
	w.suspects += boolInt(len(t.crashes) > 0)
	if w.isSlow(now) {
		w.triedAt = now
	}
	s.reserve(w, r)
	s.chargeStart(now, r)
	w.recordStart(now, r)
	s.extendLease(now, w)
	s.markStarted(st.job)
	order := Start{Worker: w.ID, Task: r.id, Run: number, Spec: st.job.Spec, Saved: t.saved, Until: s.leaseEndOn(now, w), Ticket: st.verdictOn(w).ticket}
	o.Starts = append(o.Starts, order)
	s.logDecision("Start", r.id, w.ID, "Placed", number)
}
