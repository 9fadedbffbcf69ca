package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// place starts waiting tasks where they fit.
func (s *State) place(now time.Time, workers []*worker, o *Orders) {
	pools := make(map[string][]*worker)
	for _, w := range workers {
		if w.usable(now) {
			pools[w.Pool] = append(pools[w.Pool], w)
		}
	}
	full := make(map[string][]Size) // sizes that fit on no worker of a pool
	for _, st := range s.inOrder(now) {
		q, known := s.config.Queues[st.job.Queue]
		if !known || st.job.inherited && s.unsettled(now, q.Pool) {
			continue
		}
		if q.Advice != nil {
			s.planAsk(now, st, pools[q.Pool], o)
		}
		size := st.step.reserved()
		if slices.ContainsFunc(full[q.Pool], func(less Size) bool { return less.Fits(size) }) {
			continue
		}
		s.placeStage(now, st, q, pools[q.Pool], o)
		if st.waiting() > 0 && !slices.ContainsFunc(pools[q.Pool], func(w *worker) bool { return size.Fits(w.free()) }) {
			full[q.Pool] = append(full[q.Pool], size)
		}
	}
}

// unsettled reports whether runs of an earlier owner may be left in a pool that were not seen yet.
func (s *State) unsettled(now time.Time, pool string) bool {
	if now.After(s.barrier) {
		return false
	}
	for _, w := range s.workers {
		if w.Pool == pool && !w.looked && !now.After(w.lapse) {
			return true
		}
	}
	return false
}

// inOrder returns the steps with tasks to place, most urgent first, and drops the others from their queues.
func (s *State) inOrder(now time.Time) []*stage {
	var all []*stage
	for _, q := range s.queues {
		q.stages = slices.DeleteFunc(q.stages, func(st *stage) bool {
			if st.job.state.Final() || st.left == 0 || st.waiting() == 0 {
				st.queued = false
				return true
			}
			return false
		})
		all = append(all, q.stages...)
	}
	ranks := make(map[*stage]rank, len(all))
	for _, st := range all {
		ranks[st] = s.rankOf(now, st)
	}
	slices.SortFunc(all, func(a, b *stage) int { return ranks[a].compare(ranks[b]) })
	return all
}

// rank orders steps; the smaller one comes first.
type rank struct {
	group    int
	priority int
	effort   float64
	due      time.Time
	id       string
	step     int
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.group, o.group), cmp.Compare(r.priority, o.priority), cmp.Compare(r.effort, o.effort), r.due.Compare(o.due), cmp.Compare(r.id, o.id), cmp.Compare(r.step, o.step))
}

// Groups of steps in the order of placement.
const (
	groupLasting = iota // a service that is down costs most
	groupInTime
	groupLate // can't end within its objective any more
)

// rankOf answers a burst that asks for more than there is: by due time alone all jobs end a little
// late, so among those that can still be in time the one comes first that needs least work for what
// it is worth to its caller.
func (s *State) rankOf(now time.Time, st *stage) rank {
	q := s.config.Queues[st.job.Queue]
	r := rank{group: groupInTime, priority: q.Priority, id: st.job.ID, step: st.index}
	if st.step.Lasting {
		r.group, r.due = groupLasting, st.job.accepted
		return r
	}
	r.due = s.goal(q, st)
	if now.Add(s.remaining(st)).After(r.due) {
		r.group = groupLate
	}
	left, whole := s.work(st)
	r.effort = left / (smallJobWorth + whole/s.meanWork(st.job.Queue))
	return r
}

// smallJobWorth is what a job without work would be worth, against one of the mean size (users: 0.3 to 0.7).
const smallJobWorth = 0.43

// work returns the processor-seconds that are left of an occurrence, and those of all of it.
func (s *State) work(st *stage) (left, whole float64) {
	for _, other := range st.occurrence.stages {
		seconds := s.cost(st.job.Queue, other.step)
		whole += seconds * float64(other.step.Count)
		for i := range other.tasks {
			if other.tasks[i].waits() {
				left += seconds
			}
		}
	}
	return left, whole
}

const milli = 1000

// goal returns when the occurrence of a step should be done.
func (s *State) goal(q Queue, st *stage) time.Time {
	return st.occurrence.due.Add(s.objective(q, &st.job.Job))
}

// objective returns the latency objective of a job.
func (s *State) objective(q Queue, j *Job) time.Duration {
	return q.Target + time.Duration(q.Stretch*float64(j.chain(func(p *Step) time.Duration { return s.estimate(j.Queue, p) })))
}

// placeStage starts as many waiting tasks of a step as fit.
func (s *State) placeStage(now time.Time, st *stage, q Queue, workers []*worker, o *Orders) {
	if st.step.Gang {
		s.placeGang(now, st, q, workers, o)
		return
	}
	perWorker := st.perWorker()
	for i := range st.tasks {
		t := &st.tasks[i]
		if !t.waits() {
			continue
		}
		w := s.choose(now, t, q, workers, perWorker)
		if w == nil {
			if len(t.avoid) == 0 {
				return // the other tasks are alike
			}
			continue
		}
		perWorker[w.ID]++
		s.start(now, t, w, t.nextRun(s.fence), o)
	}
}

// perWorker counts the step's runs by worker.
func (st *stage) perWorker() map[string]int {
	n := make(map[string]int)
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil {
			n[r.worker.ID]++
		}
	}
	return n
}

// nextRun returns a run number above all that any owner used for the task.
func (t *task) nextRun(fence uint64) int64 {
	return max(t.lastRun+1, int64(fence)<<runShift+1)
}

// mostPerWorker returns how many tasks of the step one worker may run. A lasting step is spread so
// that the upkeep of one machine never takes more tasks than may be away.
func (p *Step) mostPerWorker() int {
	most := math.MaxInt
	if p.MaxPerWorker > 0 {
		most = p.MaxPerWorker
	}
	if p.Lasting && !p.Fills {
		most = min(most, max(1, p.MayMiss))
	}
	return most
}

// allowed reports whether a step may run on a worker at all.
func (st *stage) allowed(now time.Time, q Queue, w *worker) bool {
	if st.step.RequiredLabel != "" && !slices.Contains(w.Labels, st.step.RequiredLabel) {
		return false
	}
	if q.Advice != nil {
		t, good := st.tickets[w.ID]
		return good && now.Before(t.until)
	}
	return true
}

// choose returns the worker for a task, or nil.
//
// It prefers the rack of the data, keeps away from workers on which the task failed, and fills
// the fullest worker first, so that other machines get empty and can follow the demand.
func (s *State) choose(now time.Time, t *task, q Queue, workers []*worker, perWorker map[string]int) *worker {
	st := t.stage
	size := st.step.reserved()
	var best *worker
	var bestScore score
	for _, w := range workers {
		if !size.Fits(w.free()) || !st.allowed(now, q, w) || perWorker[w.ID] >= st.step.mostPerWorker() {
			continue
		}
		sc := score{
			avoided: slices.Contains(t.avoid, w.ID),
			far:     st.step.PreferredRack != "" && w.Rack != st.step.PreferredRack,
			load:    w.load(),
		}
		if best == nil || sc.less(bestScore) {
			best, bestScore = w, sc
		}
	}
	return best
}

// score compares workers for a task; the smallest one is best.
type score struct {
	avoided bool
	far     bool
	load    float64
}

func (a score) less(b score) bool {
	if a.avoided != b.avoided {
		return b.avoided
	}
	if a.far != b.far {
		return b.far
	}
	return a.load > b.load
}

// load returns the larger share of its processors and memory that a worker has given away.
func (w *worker) load() float64 {
	return max(float64(w.used.Processors)/float64(max(1, w.Capacity.Processors)), float64(w.used.MemoryMB)/float64(max(1, w.Capacity.MemoryMB)))
}

// placeGang starts all tasks of a step together, or none.
func (s *State) placeGang(now time.Time, st *stage, q Queue, workers []*worker, o *Orders) {
	number := st.gangRun + 1
	for i := range st.tasks {
		if st.tasks[i].run != nil {
			return // the members of an earlier run must be gone first
		}
		number = max(number, st.tasks[i].nextRun(s.fence))
	}
	chosen := s.chooseGang(now, st, q, workers)
	if chosen == nil {
		return
	}
	st.gangRun = number
	for i := range st.tasks {
		st.tasks[i].saved = st.tasks[0].saved
		s.start(now, &st.tasks[i], chosen[i], number, o)
	}
}

// chooseGang returns a worker for each member, on one rack when the step asks for it and one has room.
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

func (s *State) fitGang(now time.Time, st *stage, q Queue, workers []*worker) []*worker {
	chosen := make([]*worker, 0, len(st.tasks))
	perWorker := make(map[string]int)
	size := st.step.reserved()
	for i := range st.tasks {
		w := s.choose(now, &st.tasks[i], q, workers, perWorker)
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

// start orders a run.
func (s *State) start(now time.Time, t *task, w *worker, number int64, o *Orders) {
	st := t.stage
	r := &run{id: t.id(), task: t, number: number, phase: starting, size: st.step.reserved(), since: now, saved: t.saved, pace: wholePercent}
	t.run, t.lastRun = r, number
	s.occupy(w, r)
	s.extend(now, w)
	s.markStarted(st.job)
	order := Start{Worker: w.ID, Task: r.id, Run: number, Spec: st.job.Spec, Saved: t.saved, Until: s.until(now, w), Ticket: st.tickets[w.ID].text}
	o.Starts = append(o.Starts, order)
	s.note("Start", r.id, w.ID, "Placed", number)
}
