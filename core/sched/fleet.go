package sched

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Worker is what a worker says of itself in the platform's list.
type Worker struct {
	ID        string
	Pool      string
	Address   netip.AddrPort
	Zone      string
	Rack      string
	Labels    []string
	Capacity  Size
	Draining  bool
	DrainLeft time.Duration // least time until it leaves
	Born      time.Time     // start of its life
	Clock     time.Duration // its own clock when it wrote this
}

// Machine is one machine as its owner lists it.
type Machine struct {
	Name   string
	Pool   string
	Up     bool
	Away   bool   // it is on its way to another pool, or down for its upkeep
	Worker string // the worker that runs there now
	Zone   string

	Capacity Size
}

type worker struct {
	Worker
	listed   bool
	looked   bool // it has seen the fencing token, and what runs there is known
	clock    time.Duration
	clockAt  time.Time
	runs     map[TaskID]*run
	used     Size
	looking  bool
	nextLook time.Time
	lastLook time.Time // when the last look that was answered was sent
	failures int       // looks without an answer, in a row
	lapse    time.Time // everything that was started here has ended by then
	seen     int64     // highest end that was read
	acked    int64     // highest end that is durable
	ends     []unsaved
	pause    time.Time // no starts before then
	faults   map[string]bool
	cordoned bool // it is chosen for its upkeep
	leaving  bool // its upkeep was ordered
	rostered bool // the roster that is durable names it
	// rosterSaving says that a change of its roster record is being stored.
	rosterSaving bool
	rosterUnsure bool      // a change of its roster record may have been stored
	scanAt       time.Time // when its runs are examined again; zero for the next plan
	gone         bool      // its life is over, though the list may still show it
}

// unsaved is an end that must be durable before it is acknowledged.
type unsaved struct {
	number  int64
	job     *job
	version uint64
}

type phase int

const (
	starting phase = iota // the order was sent
	doubtful              // the order got no answer
	running
	stopping
)

// run is one run of a task on a worker, which occupies room until it has surely ended.
type run struct {
	id       TaskID
	task     *task // nil when the task needs no run any more
	worker   *worker
	number   int64
	phase    phase
	size     Size
	since    time.Time
	sure     time.Time // when the worker confirmed the run
	began    time.Time // the same, when this owner started it and saw the answer
	stopAt   time.Time // when the last stop was sent
	stopSure time.Time // when a stop was confirmed
	percent  int
	figure   int
	saved    string
	pace     int       // percent that was ordered last
	paced    time.Time // when it was ordered
}

const (
	// holdTime is the lease of what runs on a worker: it outlives a change of the owner (2 s), the
	// successor's first looks and the age of the last renewal (1 s), and is short, because what runs
	// on a worker out of reach can start elsewhere only when it has ended.
	holdTime = 3800 * time.Millisecond
	// clockDrift is the share by which a worker's clock may be slow, with a margin (the bound is 2%).
	clockDrift = 0.03
	// lapseSlack covers the time between sending an order and reading the clock.
	lapseSlack = 300 * time.Millisecond
)

func (s Settings) hold() time.Duration {
	if s.HoldMost <= 0 {
		return holdTime
	}
	return min(holdTime, s.HoldMost)
}

// lapseBound returns the longest time that a lease of this length may last.
func lapseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+clockDrift)) + lapseSlack
}

// Confirm records until when no other entry can be the owner.
func (s *State) Confirm(until time.Time) {
	if until.After(s.confirmed) { // answers may overtake each other
		s.confirmed = until
	}
}

// addWorker takes in a worker on which runs of an earlier owner may be until the barrier.
func (s *State) addWorker(known Worker) *worker {
	w := &worker{Worker: known, runs: make(map[TaskID]*run), faults: make(map[string]bool), lapse: s.barrier}
	s.workers[known.ID] = w
	s.inOrderOfID = nil
	return w
}

// SetWorkers replaces the list of workers.
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
			// Another life at the same id: nothing of the earlier one is left, and a look must show what is.
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
			w.Born = born // the list lags behind what the worker said itself
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

// SetMachines replaces the list of machines by one that was asked for at a time.
func (s *State) SetMachines(now, asked time.Time, list []Machine) {
	s.listedAt = asked
	clear(s.machines)
	at := make(map[string]bool, len(list))
	for _, m := range list {
		s.machines[m.Name] = m
		at[m.Worker] = true
	}
	s.fleetChanged = true
	s.settleTaken(now, asked)
	// A worker is one life of a machine, so one that is on no machine has ended.
	for _, w := range s.ordered() {
		if !w.listed && !w.gone && !at[w.ID] && len(list) > 0 {
			w.gone = true
			s.otherLife(now, w)
		}
	}
	s.changed = true
}

// Worker returns a worker's entry in the list.
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

// ordered returns the workers by id, so that equal inputs give equal plans.
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

// attend makes the next plan examine what runs on the worker.
func (w *worker) attend() { w.scanAt = time.Time{} }

func (w *worker) free() Size { return w.Capacity.Sub(w.used) }

// until returns the end of a lease on the worker's clock.
func (s *State) until(now time.Time, w *worker) time.Duration {
	return w.clock + now.Sub(w.clockAt) + s.settings.hold()
}

// extend notes that a lease was sent, so that what runs may last until its end.
func (s *State) extend(now time.Time, w *worker) {
	// The worker's clock may be slow, so that the lease's end there lies later than believed.
	ahead := time.Duration(clockDrift * float64(now.Sub(w.clockAt)))
	if end := now.Add(lapseBound(s.settings.hold() + ahead)); end.After(w.lapse) {
		w.lapse = end
	}
}

// occupy books a run on a worker.
func (s *State) occupy(w *worker, r *run) {
	r.worker = w
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
}

// release frees the room of a run that has surely ended; its task waits again unless it is done.
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

// lapseRuns drops everything on a worker whose leases have surely ended.
//
// That needs a confirmed ownership: otherwise a successor that reaches the worker may renew them.
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

func (w *worker) sorted() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int { return a.id.compare(b.id) })
}

func (t TaskID) compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// reborn drops the runs of a worker's earlier life.
//
// A start without an answer may still be carried out in the new life, so it stays in doubt.
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
