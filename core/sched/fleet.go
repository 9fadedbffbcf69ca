package sched

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Worker is a worker as it describes itself in the platform's list.
type Worker struct {
	ID        string
	Pool      string
	Address   netip.AddrPort
	Zone      string
	Rack      string
	Labels    []string
	Capacity  Size
	Draining  bool
	DrainLeft time.Duration // shortest time until it leaves, when it drains
	Born      time.Time     // when the worker's process started; tells its incarnations apart
	Clock     time.Duration // the worker's own clock when it wrote this
}

// Machine is a machine as the machine API lists it.
type Machine struct {
	Name   string
	Pool   string
	Up     bool
	Away   bool   // it is moving to another pool, or down for maintenance
	Worker string // id of the worker that runs on it, or empty
	Zone   string

	Capacity Size
}

// worker is what the owner knows of a worker.
type worker struct {
	Worker
	listed             bool
	looked             bool          // it has answered a poll: it has seen the fencing token, and its runs are known
	clock              time.Duration // the worker's clock in its last answer
	clockAt            time.Time     // when that answer arrived
	runs               map[TaskID]*run
	used               Size // capacity that the runs take
	looking            bool // a poll was sent and is not answered yet
	nextLook           time.Time
	lastLook           time.Time       // when the last poll that was answered was sent
	failures           int             // consecutive polls without an answer
	lapse              time.Time       // all leases that were sent to the worker have ended by then
	seen               int64           // highest number of an ended run that was read
	acked              int64           // highest number of an ended run that was acknowledged
	ends               []unsaved       // ended runs that are not acknowledged yet
	pause              time.Time       // no task is started on it before then
	faults             map[string]bool // jobs of which a run failed there since the last success
	cordoned           bool            // its machine is chosen for maintenance or a move; it takes no new tasks
	maintenanceOrdered bool            // the maintenance of its machine was ordered
	rostered           bool            // the stored roster names it
	// rosterSaving is set while a change of its roster record is being stored.
	rosterSaving bool
	rosterUnsure bool      // a change of its roster record is unsettled: it may have been stored
	scanAt       time.Time // when its runs are next examined; zero for the next plan
	gone         bool      // this incarnation has ended, though the platform may still list it
}

// unsaved is an ended run whose effect on its job must be durable before it is acknowledged.
type unsaved struct {
	number  int64
	job     *job
	version uint64
}

// phase is the state of a run as the owner knows it.
type phase int

const (
	starting phase = iota // the start was sent and is not answered yet
	doubtful              // the start got no answer
	running               // the worker confirmed the start or lists the run
	stopping              // the run should stop
)

// run is one run of a task on a worker. It takes capacity until it is certain that it has ended.
type run struct {
	id       TaskID
	task     *task // nil when the task does not need this run
	worker   *worker
	number   int64
	phase    phase
	size     Size
	since    time.Time // when the start was sent or got no answer, or when the run was adopted
	sure     time.Time // when the worker first confirmed the run
	began    time.Time // the same, if this owner sent the start and got its answer; else zero
	stopAt   time.Time // when a stop was last sent
	stopSure time.Time // when the worker confirmed a stop
	percent  int       // share of its time in which the run was at work; 100 for a long-running task that is ready
	figure   int       // latency tail of a long-running task in milliseconds, else thousandths of a core in use
	saved    string    // last checkpoint
	pace     int       // percentage that was ordered last; -1 when unknown
	paced    time.Time // when that was ordered
}

const (
	// defaultRunLease is the lease of the runs on a worker. It covers a change of the owner (2 s), the successor's
	// first polls and the age of the last renewal (1 s). It is not longer, because the runs of an unreachable worker
	// can be started elsewhere only after it has ended.
	defaultRunLease = 3800 * time.Millisecond
	// maxClockDrift is the fraction by which a worker's clock may be slow: the bound of 2% and a margin.
	maxClockDrift = 0.03
	// leaseSlack covers the time between sending an order and reading the clock.
	leaseSlack = 300 * time.Millisecond
)

// hold returns the lease of the runs on a worker.
func (s Settings) hold() time.Duration {
	if s.HoldMost <= 0 {
		return defaultRunLease
	}
	return min(defaultRunLease, s.HoldMost)
}

// lapseBound returns the longest time, on the owner's clock, that a lease of this length may last.
func lapseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+maxClockDrift)) + leaseSlack
}

// Confirm records the time before which no other entry can be the owner.
func (s *State) Confirm(until time.Time) {
	if until.After(s.confirmed) { // answers may arrive out of order
		s.confirmed = until
	}
}

// addWorker adds a worker, on which runs of an earlier owner may exist until the barrier.
func (s *State) addWorker(known Worker) *worker {
	w := &worker{Worker: known, runs: make(map[TaskID]*run), faults: make(map[string]bool), lapse: s.barrier}
	s.workers[known.ID] = w
	s.inOrderOfID = nil
	return w
}

// SetWorkers applies a new list of workers from the platform.
func (s *State) SetWorkers(now time.Time, list []Worker) {
	listed := make(map[string]bool, len(list))
	for _, next := range list {
		listed[next.ID] = true
		w := s.workers[next.ID]
		if w == nil {
			w = s.addWorker(next)
			s.changed = true
			s.note("WorkerCame", TaskID{}, next.ID, next.Pool+" began "+now.Sub(next.Born).Round(time.Millisecond).String()+" ago", 0)
		} else if !w.Born.Equal(next.Born) && next.Born.After(w.Born) {
			// A new incarnation with the same id: the runs of the earlier one have ended, and a poll must show its own.
			w.looked, w.nextLook = false, now
		}
		if w.Draining != next.Draining || w.Pool != next.Pool || !w.listed {
			s.changed = true
			w.attend()
		}
		born := w.Born
		w.gone = w.gone && !next.Born.After(born)
		w.Worker, w.listed = next, !w.gone
		if born.After(next.Born) {
			w.Born = born // the list is older than the worker's own answer
		}
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		w.listed = false
		if len(w.runs) == 0 && now.After(w.lapse) && !w.rosterKnown() {
			delete(s.workers, id)
			s.inOrderOfID = nil
		}
	}
}

// SetMachines replaces the list of machines by one that was requested at the time asked.
func (s *State) SetMachines(now, asked time.Time, list []Machine) {
	s.listedAt = asked
	clear(s.machines)
	onMachine := make(map[string]bool, len(list))
	for _, m := range list {
		s.machines[m.Name] = m
		onMachine[m.Worker] = true
	}
	s.fleetChanged = true
	s.resolveExecutedOrders(now, asked)
	// A worker is one incarnation of a machine, so a worker that is on no machine has ended.
	for _, w := range s.ordered() {
		if !w.listed && !w.gone && !onMachine[w.ID] && len(list) > 0 {
			w.gone = true
			s.otherLife(now, w)
		}
	}
	s.changed = true
}

// Worker returns a worker by its id and reports whether it is known.
func (s *State) Worker(id string) (Worker, bool) {
	w := s.workers[id]
	if w == nil {
		return Worker{}, false
	}
	return w.Worker, true
}

// Zones counts the workers by zone.
func (s *State) Zones() map[string]int {
	zones := make(map[string]int)
	for _, w := range s.workers {
		zones[w.Zone]++
	}
	return zones
}

// ordered returns the workers sorted by id, so that equal inputs give equal plans.
func (s *State) ordered() []*worker {
	if s.inOrderOfID == nil {
		s.inOrderOfID = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s.inOrderOfID
}

// usable reports whether tasks may be started on a worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.looked && w.rostered && !w.Draining && !w.cordoned && w.failures == 0 && !now.Before(w.pause)
}

// attend makes the next plan examine the runs on the worker.
func (w *worker) attend() { w.scanAt = time.Time{} }

// free returns the capacity that no run takes.
func (w *worker) free() Size { return w.Capacity.Sub(w.used) }

// until returns the end of a lease that is sent now, on the worker's clock.
func (s *State) until(now time.Time, w *worker) time.Duration {
	return w.clock + now.Sub(w.clockAt) + s.settings.hold()
}

// extend records that a lease was sent, so that runs on the worker may last until its end.
func (s *State) extend(now time.Time, w *worker) {
	// The worker's clock may be slow, so the lease may end later than the estimate of that clock says.
	ahead := time.Duration(maxClockDrift * float64(now.Sub(w.clockAt)))
	if end := now.Add(lapseBound(s.settings.hold() + ahead)); end.After(w.lapse) {
		w.lapse = end
	}
}

// occupy adds a run to a worker and reserves its capacity.
func (s *State) occupy(w *worker, r *run) {
	r.worker = w
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
}

// release removes a run that has certainly ended and frees its capacity; its task waits again unless it is done.
func (s *State) release(r *run) {
	if r.worker.runs[r.id] != r {
		return
	}
	delete(r.worker.runs, r.id)
	r.worker.used = r.worker.used.Sub(r.size)
	s.changed = true
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	if r.saved != "" {
		t.saved = r.saved
	}
	if !t.done {
		s.enqueue(t.stage)
	}
}

// lapseRuns releases all runs on a worker whose leases have certainly ended.
//
// It requires a confirmed ownership: otherwise a successor that reaches the worker may have renewed the leases.
func (s *State) lapseRuns(now time.Time, w *worker) {
	if !now.After(w.lapse) || !now.Before(s.confirmed) {
		return
	}
	for _, r := range w.sorted() {
		s.note("Lapsed", r.id, w.ID, "NoAnswerUntilLeaseEnded", r.number)
		s.release(r)
	}
	if w.failures > 0 {
		w.looked = false
	}
}

// sorted returns the worker's runs sorted by task.
func (w *worker) sorted() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int { return a.id.compare(b.id) })
}

// compare orders tasks by job, occurrence, step and index.
func (t TaskID) compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// reborn releases the runs of a worker's earlier incarnation, after the worker has restarted.
//
// A start without an answer may still be executed by the new incarnation, so it stays unconfirmed.
func (s *State) reborn(w *worker, born time.Time) {
	w.Born = born
	w.seen, w.acked, w.ends = 0, 0, nil
	clear(w.faults)
	for _, r := range w.sorted() {
		if r.phase == starting || r.phase == doubtful {
			continue
		}
		s.note("Lost", r.id, w.ID, "WorkerStartedAnew", r.number)
		s.release(r)
	}
}
