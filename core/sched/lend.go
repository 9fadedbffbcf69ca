package sched

import (
	"math"
	"time"
)

// Lending answers the load of queues whose bursts come in turn: each asks about five times its
// mean for some seconds, more than its pool holds, while the other pools idle. Machines follow
// the demand; those that no pool needs go to the spare pool, where they cost nothing.

// lending is what is known of one pool's demand.
type lending struct {
	arrival  vector // resource-seconds asked for each second, over arrivalWindow
	steady   vector // the same over steadyWindow
	at       time.Time
	surplus  time.Time // since when the pool has had more machines than it needs
	backlog  vector    // resource-seconds of waiting tasks
	held     vector    // what runs now
	lasting  vector    // part of held that lasts
	distinct int       // workers that its lasting steps need
	machines int       // that serve it, or will soon
	need     int
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
		if l.machines <= l.need {
			l.surplus = time.Time{}
		} else if l.surplus.IsZero() {
			l.surplus = now
		}
	}
	for _, name := range sortedKeys(s.moves) {
		s.carryMove(now, name, s.moves[name])
	}
	s.growPools(now)
	s.shrinkPools(now)
	for _, name := range sortedKeys(s.moves) {
		s.orderMove(now, name, s.moves[name], o)
	}
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
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		if j.state.Final() {
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
		batch := l.expected(i) + l.backlog[i]/drainBacklog.Seconds()
		if running := l.held[i] - l.lasting[i]; l.backlog[i] > 0 {
			batch = max(batch, running)
		}
		machines = max(machines, (l.lasting[i]+batch*lendMargin)/unit[i])
	}
	return max(int(math.Ceil(machines)), l.distinct+1, 1)
}

// expected returns the arrival of a resource to plan for: what came just now when a burst begins,
// else the lower of the short and the long mean, so that chance does not hold machines.
func (l *lending) expected(i int) float64 {
	if l.arrival[i] > burstFactor*l.steady[i] {
		return l.arrival[i]
	}
	return min(l.steady[i], l.arrival[i]*burstFactor)
}

// unitOf returns the size of a pool's machines, or of any machine when it has none.
func (s *State) unitOf(pool string) Size {
	var other Size
	for _, name := range sortedKeys(s.machines) {
		m := s.machines[name]
		if m.Pool == pool {
			return m.Capacity
		}
		other = m.Capacity
	}
	return other
}

// growPools chooses machines for pools that lack some, most lacking first: spare machines, then
// those that other pools don't need.
func (s *State) growPools(now time.Time) {
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
		name := s.spareMachine(pool)
		if name == "" {
			name = s.surplusMachine(now, pool)
		}
		if name == "" {
			full[pool] = true
			continue
		}
		s.beginMove(now, name, pool)
		s.lendings[pool].machines++
	}
}

func (s *State) spareMachine(pool string) string {
	for _, name := range sortedKeys(s.machines) {
		m := s.machines[name]
		if s.config.Pools[m.Pool].Spare && s.movable(name, m, pool) {
			return name
		}
	}
	return ""
}

// surplusMachine returns the machine of the pools that have more than they need that gets empty first.
func (s *State) surplusMachine(now time.Time, pool string) string {
	return s.emptiest(now, pool, func(m Machine) bool {
		l := s.lendings[m.Pool]
		return m.Pool != pool && l != nil && l.machines > l.need && now.Sub(l.surplus) >= surplusLeast && !s.config.Pools[m.Pool].Spare
	})
}

// emptiest returns the machine that gets empty first of those that qualify and may be moved to a pool.
func (s *State) emptiest(now time.Time, to string, qualifies func(Machine) bool) string {
	best, least := "", time.Duration(math.MaxInt64)
	for _, name := range sortedKeys(s.machines) {
		m := s.machines[name]
		if !qualifies(m) || !s.movable(name, m, to) {
			continue
		}
		if t := s.emptyIn(now, m); t < least {
			best, least = name, t
		}
	}
	return best
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

// movable reports whether a machine may be moved to a pool: not while it is away, leaves, waits for
// its upkeep, or carries a lasting task.
func (s *State) movable(name string, m Machine, to string) bool {
	if s.moves[name] != nil || s.refusedMoves[moveTarget{name, to}] {
		return false
	}
	idle := s.config.Pools[m.Pool].Spare
	if !idle && !m.Up || m.Away {
		return false
	}
	for _, w := range s.waves {
		if w.done {
			continue
		}
		for _, p := range w.parts {
			if p.machine == name && (p.down() || !p.begun && !p.chosen.IsZero()) {
				return false
			}
		}
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
func (s *State) shrinkPools(now time.Time) {
	spare := ""
	for _, name := range sortedKeys(s.config.Pools) {
		if s.config.Pools[name].Spare {
			spare = name
		}
	}
	if spare == "" {
		return
	}
	for _, pool := range sortedKeys(s.lendings) {
		l := s.lendings[pool]
		if s.config.Pools[pool].Spare || l.surplus.IsZero() || now.Sub(l.surplus) < surplusTime {
			continue
		}
		for l.machines > l.need {
			best := s.emptiest(now, spare, func(m Machine) bool { return m.Pool == pool })
			if best == "" {
				break
			}
			s.beginMove(now, best, spare)
			l.machines--
		}
	}
}
