package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pool sizing moves machines between pools as their demand changes. Bursts reach the queues in turn: each queue
// asks for about five times its mean for some seconds, more than its pool holds, while the other pools are idle.
// Machines that no pool needs go to the spare pool, where they cost nothing.

// poolDemand is the demand of one pool.
type poolDemand struct {
	shortRate     vector        // resource-seconds requested per second, averaged over shortRateWindow
	longRate      vector        // the same, averaged over longRateWindow
	ratesAt       time.Time     // when the rates were last decayed
	shareHistory  []shareSample // samples of the last spareSurplusTime, oldest first
	recordedSince time.Time     // time of the first sample
	shortMaxShare int           // largest share of the last poolSurplusTime; machines above it may go to another pool
	longMaxShare  int           // largest share of the last spareSurplusTime; machines above it may go to the spare pool
	backlog       vector        // resource-seconds of the waiting batch tasks
	inUse         vector        // resources of the runs
	longRunning   vector        // resources of the long-running tasks, running or waiting, and of the waiting backfill tasks
	minWorkers    int           // workers that the long-running steps need to be spread over
	wanted        int           // workers that a step wants because the placement advisor permits too few of those there
	isolated      int           // machines for tasks that run alone because workers crashed under them
	machines      int           // machines that serve the pool or are on their way to it, see countMachines
	recentJobs    float64       // number of arrivals, averaged over shortRateWindow
	floor         int           // machines that the pool needs without batch tasks, one more while a wave has machines left
	need          int           // machines that the pool needs, at least floor
	share         int           // of need, as many machines as there are for the pool, see shareMachines
}

// shareSample is a pool's share at one time.
type shareSample struct {
	at    time.Time
	share int
}

// recordShare adds a sample of the pool's share and drops those older than spareSurplusTime.
func (l *poolDemand) recordShare(now time.Time) {
	if l.recordedSince.IsZero() {
		l.recordedSince = now
	}
	l.shareHistory = append(l.shareHistory, shareSample{now, l.share})
	l.shareHistory = slices.DeleteFunc(l.shareHistory, func(n shareSample) bool { return now.Sub(n.at) > spareSurplusTime })
}

// maxShare returns a pool's largest share within a window that ends now. A pool gives up
// only machines above it, so that the falling demand at the end of a burst does not count as a lasting surplus.
func (l *poolDemand) maxShare(now time.Time, window time.Duration) int {
	if now.Sub(l.recordedSince) < window {
		return math.MaxInt // a new owner has no record of a surplus
	}
	most := l.share
	for _, n := range l.shareHistory {
		if now.Sub(n.at) <= window {
			most = max(most, n.share)
		}
	}
	return most
}

// vector is an amount of each resource: processors, memory and accelerators.
type vector [3]float64

// vector returns the size as a vector.
func (s Size) vector() vector {
	return vector{float64(s.Processors), float64(s.MemoryMB), float64(s.Accelerators)}
}

// addScaled returns v + factor·o.
func (v vector) addScaled(o vector, factor float64) vector {
	for i := range v {
		v[i] += factor * o[i]
	}
	return v
}

const (
	shortRateWindow  = 400 * time.Millisecond  // short against a burst, which lasts some seconds
	longRateWindow   = 1500 * time.Millisecond // long enough to even out random variation, still short against a burst
	demandLag        = 500 * time.Millisecond  // until a change of demand shows in the rates and new workers have been polled
	doubtfulJobs     = 1.5                     // recent jobs of which half the rise is taken
	burstRatio       = 1.4                     // ratio of the short rate to the long one above which a burst has begun
	backlogDrainTime = 1200 * time.Millisecond // waiting work should be done in this time, about the slack of an objective
	packingMargin    = 1.15                    // factor on the demand, since tasks never fill machines completely
	spareSurplusTime = 2200 * time.Millisecond // a surplus this old may go to the spare pool; about the time of a move
	poolSurplusTime  = 400 * time.Millisecond  // a surplus this old may go to a pool that needs it; outlasts short dips of demand
)

// recordArrival adds a job's work to the demand of its pool.
func (s *State) recordArrival(now time.Time, j *job) {
	s.jobsSeen = true
	s.recordJobWork(&j.Job)
	l := s.demandOf(s.config.Queues[j.Queue].Pool)
	l.decayRates(now)
	l.recentJobs++
	for i := range j.Steps {
		step := &j.Steps[i]
		if step.LongRunning || step.Backfill {
			continue
		}
		seconds := s.estimate(j.Queue, step).Seconds() * float64(step.Count)
		l.shortRate = l.shortRate.addScaled(step.reserved().vector(), seconds/shortRateWindow.Seconds())
		l.longRate = l.longRate.addScaled(step.reserved().vector(), seconds/longRateWindow.Seconds())
	}
}

// decayRates lowers the rates by the time since they were last decayed.
func (l *poolDemand) decayRates(now time.Time) {
	if !l.ratesAt.IsZero() {
		past := now.Sub(l.ratesAt).Seconds()
		for i := range l.shortRate {
			l.shortRate[i] *= math.Exp(-past / shortRateWindow.Seconds())
			l.longRate[i] *= math.Exp(-past / longRateWindow.Seconds())
		}
		l.recentJobs *= math.Exp(-past / shortRateWindow.Seconds())
	}
	l.ratesAt = now
}

// demandOf returns the demand of a pool and creates it when missing.
func (s *State) demandOf(pool string) *poolDemand {
	l := s.demands[pool]
	if l == nil {
		l = &poolDemand{}
		s.demands[pool] = l
	}
	return l
}

// planPoolSizes moves machines between pools by their demand, once the first job has arrived.
func (s *State) planPoolSizes(now time.Time, o *Orders) {
	if !s.jobsSeen {
		return
	}
	s.requestMachineList(now, o)
	if len(s.machines) == 0 {
		return
	}
	s.measureDemand(now)
	isolated := s.isolatedMachines()
	for pool, l := range s.demands {
		l.isolated = isolated[pool]
	}
	s.countMachines()
	for _, pool := range sortedKeys(s.demands) {
		l := s.demands[pool]
		l.floor, l.need = s.machinesNeeded(pool, l)
	}
	s.shareMachines()
	for _, l := range s.demands {
		l.recordShare(now)
		l.shortMaxShare, l.longMaxShare = l.maxShare(now, poolSurplusTime), l.maxShare(now, spareSurplusTime)
	}
	for _, name := range sortedKeys(s.moves) {
		s.advanceMove(now, name, s.moves[name])
	}
	if s.unbalanced() {
		all := s.moveCandidates(now)
		s.growPools(now, all)
		s.shrinkPools(now, all)
	}
	for _, name := range sortedKeys(s.moves) {
		s.sendMove(now, name, s.moves[name], o)
	}
}

// unbalanced reports whether some pool lacks machines or has a surplus that may go to the spare pool.
func (s *State) unbalanced() bool {
	for _, l := range s.demands {
		if l.machines < l.share || l.machines > l.longMaxShare {
			return true
		}
	}
	return false
}

// measureDemand sums up the running and the waiting work of each pool.
func (s *State) measureDemand(now time.Time) {
	for _, l := range s.demands {
		l.decayRates(now)
		l.backlog, l.inUse, l.longRunning, l.minWorkers, l.wanted = vector{}, vector{}, vector{}, 0, 0
	}
	for _, w := range s.workers {
		l := s.demandOf(w.Pool)
		for _, r := range w.runs {
			if r.awaited {
				continue // its size is not known
			}
			l.inUse = l.inUse.addScaled(r.size.vector(), 1)
			if r.task != nil && r.task.stage.step.LongRunning {
				l.longRunning = l.longRunning.addScaled(r.size.vector(), 1)
			}
		}
	}
	unseen := s.unseenPools(now)
	budgets := make(capBudgets)
	for _, name := range sortedKeys(s.queues) {
		q := s.queues[name]
		pool := s.config.Queues[name].Pool
		l := s.demandOf(pool)
		for _, st := range q.stages {
			if s.hasUnseenRuns(st.job, unseen) {
				continue // its tasks may not be started yet, so more machines would not help
			}
			l.wanted = max(l.wanted, st.wanted(now))
			n := st.waitingTasks()
			seconds := s.estimate(name, st.step).Seconds()
			if st.step.LongRunning || st.step.Backfill {
				l.longRunning = l.longRunning.addScaled(st.step.reserved().vector(), float64(n))
				continue
			}
			l.backlog = l.backlog.addScaled(st.step.reserved().vector(), float64(n)*seconds*budgets.take(s, st, float64(n)*seconds))
		}
	}
	for id, j := range s.longRunningJobs {
		if j.state.Final() {
			delete(s.longRunningJobs, id)
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.stages { // maintenance may want a worker for tasks that run
				l := s.demandOf(s.config.Queues[j.Queue].Pool)
				l.wanted = max(l.wanted, st.wanted(now))
			}
		}
		for i := range j.Steps {
			if step := &j.Steps[i]; step.LongRunning && step.spreadLimit() < step.Count {
				l := s.demandOf(s.config.Queues[j.Queue].Pool)
				l.minWorkers = max(l.minWorkers, (step.Count+step.spreadLimit()-1)/step.spreadLimit())
			}
		}
	}
}

// wanted returns the number of workers that the stage wants its pool to have.
func (st *stage) wanted(now time.Time) int {
	if now.After(st.wantedUntil) {
		return 0
	}
	return st.wantedWorkers
}

// countMachines counts the machines that serve each pool or are on their way to it. A machine whose worker drains, or
// left more than one poll in a row unanswered, does not count.
func (s *State) countMachines() {
	for _, l := range s.demands {
		l.machines = 0
	}
	for name, m := range s.machines {
		if mv := s.moves[name]; mv != nil {
			s.demandOf(mv.to).machines++
			continue
		}
		if w := s.workers[m.Worker]; w != nil && (w.pollFailures > 1 || w.Draining) {
			continue
		}
		if u, found := s.unmanned[name]; found && s.workersAsOf.Sub(u.since) > workerAppearTime {
			continue // its worker is cut off from the platform too
		}
		s.demandOf(m.Pool).machines++
	}
}

// machinesNeeded returns how many machines a pool needs without batch tasks, and with them.
func (s *State) machinesNeeded(pool string, l *poolDemand) (floor, need int) {
	if s.config.Pools[pool].Spare {
		return 0, 0
	}
	unit := s.machineSize(pool).vector()
	longRunning, all := 0.0, 0.0
	for i := range unit {
		if unit[i] <= 0 {
			continue
		}
		batch := l.expectedRate(i, s.settings.MoveTime+demandLag) + l.backlog[i]/backlogDrainTime.Seconds()
		if running := l.inUse[i] - l.longRunning[i]; l.backlog[i] > 0 {
			batch = max(batch, running)
		}
		longRunning = max(longRunning, l.longRunning[i]/unit[i])
		all = max(all, (l.longRunning[i]+batch*packingMargin)/unit[i])
	}
	floor = max(int(math.Ceil(longRunning)), l.minWorkers, 1)
	if s.maintenanceLeft() {
		floor = max(floor, l.minWorkers+1) // a task whose machine is due needs another worker
	}
	return floor, max(max(int(math.Ceil(all)), floor)+l.isolated, l.wanted)
}

// maintenanceLeft reports whether a wave has machines whose maintenance has not begun.
func (s *State) maintenanceLeft() bool {
	for _, w := range s.waves {
		if !w.allBegun {
			return true
		}
	}
	return false
}

// shareMachines divides the machines among the pools. If all pools together need more than there are, each gets its floor and
// the same fraction of what it needs beyond. A pool that needs machines gets them from one that holds more than its share, so
// that the end of one pool's burst does not keep them from the burst of the next.
func (s *State) shareMachines() {
	available, floors, needs := 0, 0, 0
	for _, l := range s.demands {
		available += l.machines
		floors += l.floor
		needs += l.need
	}
	fraction := 1.0
	if needs > available && needs > floors {
		fraction = max(0, float64(available-floors)/float64(needs-floors))
	}
	for _, l := range s.demands {
		l.share = l.floor + int(math.Ceil(fraction*float64(l.need-l.floor)))
	}
}

// expectedRate returns the arrival rate to plan for, of the resource with index i. At the beginning of a burst it
// extrapolates the rise over lead, because bursts rise over seconds and a machine that is ordered now arrives after
// that time. The fewer jobs have arrived, the less of the rise is taken, since one large job is no burst. Otherwise it is the
// long rate, limited to burstRatio times the short one, so that random variation does not hold machines.
func (l *poolDemand) expectedRate(i int, lead time.Duration) float64 {
	if l.shortRate[i] > burstRatio*l.longRate[i] {
		slope := (l.shortRate[i] - l.longRate[i]) / (longRateWindow - shortRateWindow).Seconds()
		rise := l.shortRate[i] + slope*lead.Seconds() - l.longRate[i]
		return l.longRate[i] + rise*l.recentJobs/(l.recentJobs+doubtfulJobs)
	}
	return min(l.longRate[i], l.shortRate[i]*burstRatio)
}

// machineSize returns the mean capacity of a pool's machines, or of all machines when the pool has none. The capacity that its worker tells
// goes before that of the list of machines, since it may shrink and grow while the worker runs.
func (s *State) machineSize(pool string) Size {
	var here, all Size
	machinesHere := 0
	for _, m := range s.machines {
		size := m.Capacity
		if w := s.workers[m.Worker]; w != nil {
			size = w.Capacity
		}
		all = all.Add(size)
		if m.Pool == pool {
			here = here.Add(size)
			machinesHere++
		}
	}
	switch {
	case machinesHere > 0:
		return here.div(machinesHere)
	case len(s.machines) > 0:
		return all.div(len(s.machines))
	}
	return Size{}
}

// moveCandidate is a machine that may be moved, with the expected time until its batch tasks have ended.
type moveCandidate struct {
	Machine
	spare     bool
	drainTime time.Duration
}

// moveCandidates returns the machines that may be moved: spare ones first, then by the time until they are empty.
func (s *State) moveCandidates(now time.Time) []moveCandidate {
	due := s.maintenanceMachines()
	var all []moveCandidate
	for _, m := range s.machines {
		if due[m.Name] || !s.movable(m) {
			continue
		}
		c := moveCandidate{Machine: m, spare: s.config.Pools[m.Pool].Spare}
		if !c.spare {
			c.drainTime = s.drainTime(now, m)
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b moveCandidate) int {
		return cmp.Or(-cmp.Compare(boolInt(a.spare), boolInt(b.spare)), cmp.Compare(a.drainTime, b.drainTime), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// growPools starts moves to the pools that lack machines, in each step to the pool that lacks most. It takes spare
// machines first, then those that other pools do not need.
func (s *State) growPools(now time.Time, all []moveCandidate) {
	full := make(map[string]bool)
	for {
		pool, lacks := "", 0
		for _, name := range sortedKeys(s.demands) {
			l := s.demands[name]
			if _, known := s.config.Pools[name]; known && !full[name] && l.share-l.machines > lacks {
				pool, lacks = name, l.share-l.machines
			}
		}
		if pool == "" {
			return
		}
		at := slices.IndexFunc(all, func(c moveCandidate) bool { return s.mayMoveTo(c, pool) })
		if at < 0 {
			full[pool] = true
			continue
		}
		s.startMove(now, all[at].Name, pool)
		s.demands[pool].machines++
	}
}

// mayMoveTo reports whether a machine may go to a pool now: a spare machine, or one that its own pool does not need.
func (s *State) mayMoveTo(c moveCandidate, to string) bool {
	if c.Pool == to || s.moves[c.Name] != nil || s.refusedMoves[moveTarget{c.Name, to}] {
		return false
	}
	l := s.demands[c.Pool]
	return c.spare || l != nil && l.machines > l.shortMaxShare
}

// drainTime returns the expected time until a machine's batch tasks have ended.
func (s *State) drainTime(now time.Time, m Machine) time.Duration {
	if w := s.workers[m.Worker]; w != nil {
		return s.batchTime(now, w)
	}
	return 0
}

// batchTime returns the expected time until the batch tasks on a worker have ended.
func (s *State) batchTime(now time.Time, w *worker) time.Duration {
	longest := time.Duration(0)
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		longest = max(longest, time.Millisecond, s.remaining(now, r))
	}
	return longest
}

// runCount returns the number of runs on a machine.
func (s *State) runCount(m Machine) int {
	if w := s.workers[m.Worker]; w != nil {
		return len(w.runs)
	}
	return 0
}

// maintenanceMachines returns the machines that a wave has chosen, and those that are or may be down for it.
func (s *State) maintenanceMachines() map[string]bool {
	due := make(map[string]bool)
	for _, w := range s.waves {
		if w.completionStored {
			continue
		}
		for _, p := range w.members {
			if p.mayBeDown() || !p.begun && !p.chosenAt.IsZero() {
				due[p.machine] = true
			}
		}
	}
	return due
}

// movable reports whether a machine may change pools: it is available, its worker is not draining, cordoned, reserved
// or unreachable, and no long-running task runs on it.
func (s *State) movable(m Machine) bool {
	if s.moves[m.Name] != nil || m.Unavailable {
		return false
	}
	spare := s.config.Pools[m.Pool].Spare
	if !spare && !m.Up {
		return false
	}
	w := s.workers[m.Worker]
	if w == nil {
		return spare
	}
	if w.Draining || w.cordoned || w.reservedFor != "" || !w.polled || w.pollFailures > 0 {
		return false
	}
	for _, r := range w.runs {
		if r.task != nil && r.task.stage.step.LongRunning {
			return false
		}
	}
	return true
}

// moveTarget is a machine and the pool that it would move to.
type moveTarget struct{ machine, pool string }

// shrinkPools starts moves to the spare pool of machines that their pools have not needed for spareSurplusTime.
func (s *State) shrinkPools(now time.Time, all []moveCandidate) {
	spare := ""
	for _, name := range sortedKeys(s.config.Pools) {
		if s.config.Pools[name].Spare {
			spare = name
		}
	}
	if spare == "" {
		return
	}
	for _, c := range all {
		l := s.demands[c.Pool]
		if c.spare || l == nil || l.machines <= l.longMaxShare {
			continue
		}
		if s.moves[c.Name] == nil && !s.refusedMoves[moveTarget{c.Name, spare}] {
			s.startMove(now, c.Name, spare)
		}
	}
}
