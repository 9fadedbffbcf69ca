package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Lending answers the load of queues whose bursts come in turn: each asks about five times its
// mean for some seconds, more than its pool holds, while the other pools idle. Machines follow
// the demand; those that no pool needs go to the spare pool, where they cost nothing.

// lending is what is known of one pool's demand.
type lending struct {
	arrival   vector // resource-seconds asked for each second, over arrivalWindow
	steady    vector // the same over steadyWindow
	at        time.Time
	needs     []needAt  // over the last surplusTime, oldest first
	known     time.Time // since when they are recorded
	keepShort int       // machines beyond these may go to another pool
	keepLong  int       // and beyond these to the spare pool
	backlog   vector    // resource-seconds of waiting tasks
	held      vector    // what runs now
	lasting   vector    // part of held that lasts
	distinct  int       // workers that its lasting steps need
	machines  int       // that serve it, or will soon
	need      int
}

// needAt is the number of machines that a pool needed at a time.
type needAt struct {
	at   time.Time
	need int
}

// noteNeed records what a pool needs now.
func (l *lending) noteNeed(now time.Time) {
	if l.known.IsZero() {
		l.known = now
	}
	l.needs = append(l.needs, needAt{now, l.need})
	l.needs = slices.DeleteFunc(l.needs, func(n needAt) bool { return now.Sub(n.at) > surplusTime })
}

// mostNeeded returns the most machines that a pool needed over a time until now. A pool gives up only the machines
// beyond it, so that the slope of a burst that ends does not count as a surplus that has lasted.
func (l *lending) mostNeeded(now time.Time, past time.Duration) int {
	if now.Sub(l.known) < past {
		return math.MaxInt // an owner that has just begun knows of no surplus
	}
	most := l.need
	for _, n := range l.needs {
		if now.Sub(n.at) <= past {
			most = max(most, n.need)
		}
	}
	return most
}

// vector is an amount of each resource.
type vector [3]float64

func (s Size) vector() vector {
	return vector{float64(s.Processors), float64(s.MemoryMB), float64(s.Accelerators)}
}

func (v vector) plus(o vector, factor float64) vector {
	for i := range v {
		v[i] += factor * o[i]
	}
	return v
}

const (
	arrivalWindow = 400 * time.Millisecond  // demand is averaged over this time: a burst lasts some seconds
	steadyWindow  = 1500 * time.Millisecond // long enough to even out chance, short against a burst
	trendLag      = 500 * time.Millisecond  // until a change of the demand shows in the means and new workers were looked at
	burstFactor   = 1.4                     // the short mean beside the long one that tells a burst's begin
	drainBacklog  = 1200 * time.Millisecond // waiting work should be gone in this time, about the slack of an objective
	lendMargin    = 1.15                    // machines are never packed perfectly
	surplusTime   = 2200 * time.Millisecond // a pool keeps machines it may need again this long, about a move's time
	surplusLeast  = 400 * time.Millisecond  // another pool's need takes them sooner, but not at each wave of arrivals
)

// arrived counts a job's work into its pool's demand.
func (s *State) arrived(now time.Time, j *job) {
	s.active = true
	s.learnWork(&j.Job)
	l := s.lendingOf(s.config.Queues[j.Queue].Pool)
	l.decay(now)
	for i := range j.Steps {
		step := &j.Steps[i]
		if step.Lasting || step.Fills {
			continue
		}
		seconds := s.estimate(j.Queue, step).Seconds() * float64(step.Count)
		l.arrival = l.arrival.plus(step.reserved().vector(), seconds/arrivalWindow.Seconds())
		l.steady = l.steady.plus(step.reserved().vector(), seconds/steadyWindow.Seconds())
	}
}

func (l *lending) decay(now time.Time) {
	if !l.at.IsZero() {
		past := now.Sub(l.at).Seconds()
		for i := range l.arrival {
			l.arrival[i] *= math.Exp(-past / arrivalWindow.Seconds())
			l.steady[i] *= math.Exp(-past / steadyWindow.Seconds())
		}
	}
	l.at = now
}

func (s *State) lendingOf(pool string) *lending {
	l := s.lendings[pool]
	if l == nil {
		l = &lending{}
		s.lendings[pool] = l
	}
	return l
}

// planLending moves machines to the pools that need them.
func (s *State) planLending(now time.Time, o *Orders) {
	if !s.active {
		return
	}
	s.wantMachines(now, o)
	if len(s.machines) == 0 {
		return
	}
	s.measureDemand(now)
	s.countMachines()
	for _, pool := range sortedKeys(s.lendings) {
		l := s.lendings[pool]
		l.need = s.needed(pool, l)
		l.noteNeed(now)
		l.keepShort, l.keepLong = l.mostNeeded(now, surplusLeast), l.mostNeeded(now, surplusTime)
	}
	for _, name := range sortedKeys(s.moves) {
		s.carryMove(now, name, s.moves[name])
	}
	if s.unbalanced() {
		all := s.candidates(now)
		s.growPools(now, all)
		s.shrinkPools(now, all)
	}
	for _, name := range sortedKeys(s.moves) {
		s.orderMove(now, name, s.moves[name], o)
	}
}

// unbalanced reports whether some pool lacks machines or has had more than it needs for long enough.
func (s *State) unbalanced() bool {
	for _, l := range s.lendings {
		if l.machines < l.need || l.machines > l.keepLong {
			return true
		}
	}
	return false
}

// measureDemand sums what runs and waits in each pool.
func (s *State) measureDemand(now time.Time) {
	for _, l := range s.lendings {
		l.decay(now)
		l.backlog, l.held, l.lasting, l.distinct = vector{}, vector{}, vector{}, 0
	}
	for _, w := range s.workers {
		l := s.lendingOf(w.Pool)
		for _, r := range w.runs {
			l.held = l.held.plus(r.size.vector(), 1)
			if r.task != nil && r.task.stage.step.Lasting {
				l.lasting = l.lasting.plus(r.size.vector(), 1)
			}
		}
	}
	unsettled := make(map[string]bool)
	for name := range s.lendings {
		unsettled[name] = s.unsettled(now, name)
	}
	for name, q := range s.queues {
		pool := s.config.Queues[name].Pool
		l := s.lendingOf(pool)
		for _, st := range q.stages {
			if st.job.inherited && unsettled[pool] {
				continue // machines can't help yet
			}
			n := st.waiting()
			seconds := s.estimate(name, st.step).Seconds()
			if st.step.Lasting || st.step.Fills {
				l.lasting = l.lasting.plus(st.step.reserved().vector(), float64(n))
				continue
			}
			l.backlog = l.backlog.plus(st.step.reserved().vector(), float64(n)*seconds)
		}
	}
	for id, j := range s.standing {
		if j.state.Final() {
			delete(s.standing, id)
			continue
		}
		for i := range j.Steps {
			if step := &j.Steps[i]; step.Lasting && step.mostPerWorker() < step.Count {
				l := s.lendingOf(s.config.Queues[j.Queue].Pool)
				l.distinct = max(l.distinct, (step.Count+step.mostPerWorker()-1)/step.mostPerWorker())
			}
		}
	}
}

// countMachines counts the machines that serve each pool, or will soon.
func (s *State) countMachines() {
	for _, l := range s.lendings {
		l.machines = 0
	}
	for name, m := range s.machines {
		if mv := s.moves[name]; mv != nil {
			s.lendingOf(mv.to).machines++
			continue
		}
		if w := s.workers[m.Worker]; w != nil && (w.failures > 1 || w.Draining) {
			continue
		}
		s.lendingOf(m.Pool).machines++
	}
}

// needed returns how many machines a pool needs.
func (s *State) needed(pool string, l *lending) int {
	if s.config.Pools[pool].Spare {
		return 0
	}
	unit := s.unitOf(pool).vector()
	machines := 0.0
	for i := range unit {
		if unit[i] <= 0 {
			continue
		}
		batch := l.expected(i, s.settings.MoveTime+trendLag) + l.backlog[i]/drainBacklog.Seconds()
		if running := l.held[i] - l.lasting[i]; l.backlog[i] > 0 {
			batch = max(batch, running)
		}
		machines = max(machines, (l.lasting[i]+batch*lendMargin)/unit[i])
	}
	return max(int(math.Ceil(machines)), l.distinct+1, 1)
}

// expected returns the arrival of a resource to plan for: what will come after lead when a burst begins, because a
// machine that is ordered now comes then and bursts rise over seconds; else the lower of the short and the long
// mean, so that chance does not hold machines.
func (l *lending) expected(i int, lead time.Duration) float64 {
	if l.arrival[i] > burstFactor*l.steady[i] {
		slope := (l.arrival[i] - l.steady[i]) / (steadyWindow - arrivalWindow).Seconds()
		return l.arrival[i] + slope*lead.Seconds()
	}
	return min(l.steady[i], l.arrival[i]*burstFactor)
}

// unitOf returns the size of a pool's machines, or of any machine when it has none.
func (s *State) unitOf(pool string) Size {
	var best Machine
	for _, m := range s.machines {
		here, bestHere := boolInt(m.Pool == pool), boolInt(best.Pool == pool)
		if best.Name == "" || here > bestHere || here == bestHere && m.Name < best.Name {
			best = m
		}
	}
	return best.Capacity
}

// candidate is a machine that may be moved, with the time until its batch tasks are expected to have ended.
type candidate struct {
	Machine
	spare   bool
	emptyIn time.Duration
}

// candidates returns the machines that may be moved: spare ones first, then those that get empty first.
func (s *State) candidates(now time.Time) []candidate {
	due := s.dueForUpkeep()
	var all []candidate
	for _, m := range s.machines {
		if due[m.Name] || !s.movable(m) {
			continue
		}
		c := candidate{Machine: m, spare: s.config.Pools[m.Pool].Spare}
		if !c.spare {
			c.emptyIn = s.emptyIn(now, m)
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(boolInt(a.spare), boolInt(b.spare)), cmp.Compare(a.emptyIn, b.emptyIn), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// growPools chooses machines for pools that lack some, most lacking first: spare machines, then
// those that other pools don't need.
func (s *State) growPools(now time.Time, all []candidate) {
	full := make(map[string]bool)
	for {
		pool, lacks := "", 0
		for _, name := range sortedKeys(s.lendings) {
			l := s.lendings[name]
			if _, known := s.config.Pools[name]; known && !full[name] && l.need-l.machines > lacks {
				pool, lacks = name, l.need-l.machines
			}
		}
		if pool == "" {
			return
		}
		at := slices.IndexFunc(all, func(c candidate) bool { return s.mayLend(c, pool) })
		if at < 0 {
			full[pool] = true
			continue
		}
		s.beginMove(now, all[at].Name, pool)
		s.lendings[pool].machines++
	}
}

// mayLend reports whether a machine may go to a pool now: a spare one, or one that its pool does not need.
func (s *State) mayLend(c candidate, to string) bool {
	if c.Pool == to || s.moves[c.Name] != nil || s.refusedMoves[moveTarget{c.Name, to}] {
		return false
	}
	l := s.lendings[c.Pool]
	return c.spare || l != nil && l.machines > l.keepShort
}

// emptyIn returns when a machine's batch tasks are expected to have ended.
func (s *State) emptyIn(now time.Time, m Machine) time.Duration {
	longest := time.Duration(0)
	w := s.workers[m.Worker]
	if w == nil {
		return longest
	}
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		st := r.task.stage
		longest = max(longest, time.Millisecond, s.estimate(st.job.Queue, st.step)-now.Sub(r.since))
	}
	return longest
}

// batchRuns counts what runs on a machine.
func (s *State) batchRuns(m Machine) int {
	if w := s.workers[m.Worker]; w != nil {
		return len(w.runs)
	}
	return 0
}

// dueForUpkeep returns the machines that a wave has chosen or taken down.
func (s *State) dueForUpkeep() map[string]bool {
	due := make(map[string]bool)
	for _, w := range s.waves {
		if w.done {
			continue
		}
		for _, p := range w.parts {
			if p.down() || !p.begun && !p.chosen.IsZero() {
				due[p.machine] = true
			}
		}
	}
	return due
}

// movable reports whether a machine may change pools: not while it is away, leaves, or carries a lasting task.
func (s *State) movable(m Machine) bool {
	if s.moves[m.Name] != nil || m.Away {
		return false
	}
	idle := s.config.Pools[m.Pool].Spare
	if !idle && !m.Up {
		return false
	}
	w := s.workers[m.Worker]
	if w == nil {
		return idle
	}
	if w.Draining || w.cordoned || !w.looked || w.failures > 0 {
		return false
	}
	for _, r := range w.runs {
		if r.task != nil && r.task.stage.step.Lasting {
			return false
		}
	}
	return true
}

type moveTarget struct{ machine, pool string }

// shrinkPools sends machines that were not needed for a while to the spare pool.
func (s *State) shrinkPools(now time.Time, all []candidate) {
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
		l := s.lendings[c.Pool]
		if c.spare || l == nil || l.machines <= l.keepLong {
			continue
		}
		if s.moves[c.Name] == nil && !s.refusedMoves[moveTarget{c.Name, spare}] {
			s.beginMove(now, c.Name, spare)
		}
	}
}
