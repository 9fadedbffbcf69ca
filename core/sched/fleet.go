package sched

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/share"
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
	StartedAt time.Time     `json:"Born"` // when the worker's process started; tells its incarnations apart
	Clock     time.Duration // the worker's own clock when it wrote this
}

// maxResource is the largest amount of a resource that a worker or machine may offer: two million cores, or two petabytes of memory.
const maxResource = 1 << 31

// Check returns an error if an amount is negative or larger than any machine has.
func (s Size) Check() error {
	for _, n := range []int{s.Processors, s.MemoryMB, s.Accelerators} {
		if n < 0 || n > maxResource {
			return errors.Newf("capacity %+v: want amounts from 0 to %d", s, maxResource)
		}
	}
	return nil
}

// maxYear is the last year that a stored time can have.
const maxYear = 9999

// Check returns an error if the description can't be that of a worker: its id must be printable, since requests to it carry the id.
func (w Worker) Check() error {
	switch {
	case w.ID == "" || strings.ContainsFunc(w.ID, func(r rune) bool { return r <= ' ' || r > '~' }):
		return errors.Newf("worker id %q: want printable ASCII", w.ID)
	case w.Pool == "":
		return errors.New("worker names no pool")
	case !w.Address.IsValid() || w.Address.Port() == 0:
		return errors.Newf("worker address %s: want an address and a port", w.Address)
	case w.StartedAt.Year() > maxYear || w.Clock < 0 || w.DrainLeft < 0:
		return errors.Newf("worker started at %s, its clock is %s, it drains for %s: out of range", w.StartedAt, w.Clock, w.DrainLeft)
	}
	return w.Capacity.Check()
}

// worker is what the owner knows of a worker.
type worker struct {
	Worker
	predates           bool // it was known before this owner's first plan
	listed             bool
	unshown            int           // number of lists of machines in a row that lacked it while it was unseen
	unplaced           int           // number of lists of machines in a row that showed it on no machine while the platform did not list it
	endedByList        bool          // it ended, as only lists of machines show; a later one may show it again
	absent             bool          // the last list of machines shows its machine without it
	machine            string        // on which a list of machines has shown it; empty while none has
	lastListed         time.Time     // when the platform's list last held it
	polled             bool          // it has answered a poll: it has seen the fencing token, and its runs are known
	clock              time.Duration // the worker's clock in its last answer
	clockAt            time.Time     // when that answer arrived
	runs               map[TaskID]*run
	used               Size // capacity that the runs take
	unknownRuns        int  // runs of jobs whose records are not read
	polling            bool // a poll was sent and is not answered yet
	nextPoll           time.Time
	lastPoll           time.Time       // when the last poll that was answered was sent
	pollFailures       int             // consecutive polls without an answer
	silentSince        time.Time       // when the first of them was known; zero if there is none
	leaseEnd           time.Time       // all leases that were sent to the worker have ended by then
	lastEndRead        int64           // highest number of an ended run that was read
	endsCounted        bool            // no earlier owner can have acknowledged an end after lastEndRead
	lastEndAcked       int64           // highest number of an ended run that an answered poll acknowledged
	storedAtLastPoll   int64           // ended runs up to this number were stored when the last poll was sent
	moreEnded          bool            // its last list of ended runs may not have been complete
	unsavedEnds        []*unsavedEnd   // ended runs that are not acknowledged yet
	pausedUntil        time.Time       // no task is started on it before then
	failedJobs         map[string]bool // jobs of which a run failed there since the last success
	cordoned           bool            // its machine is chosen for maintenance or a move; it takes no new tasks
	maintenanceOrdered bool            // the maintenance of its machine was ordered
	moveOrdered        bool            // the move of its machine to another pool was ordered
	unseenRunsEnd      time.Time       // every run there that an earlier owner started has ended by then
	formerClockEnd     time.Time       // a lease that was computed with the clock of an earlier incarnation lasts no longer
	inRoster           bool            // the stored roster names it
	rosterStart        time.Time       // start time in its roster record
	mayHaveRestarted   bool            // it was restored from the roster without being listed, and has not answered a poll
	// rosterSaving is set while a change of its roster record is being stored.
	rosterSaving    bool
	rosterUnsettled bool          // a change of its roster record is unsettled: it may have been stored
	nextScan        time.Time     // when its runs are next examined; zero for the next plan
	ended           bool          // this incarnation has ended, though the platform may still list it
	restarted       bool          // a new incarnation is known that has not listed its runs yet
	formerStart     time.Time     // when its previous incarnation started, if this owner knew it
	restartKnown    time.Time     // when this owner learned of its incarnation, if it knew an earlier one
	recentStarts    []recentStart // starts of the last lateExecution, oldest first
	suspects        int           // runs of tasks under which workers have crashed, as of the last placement
	reservedFor     string        // id of the job whose tasks are to run alone there
	reservedAt      time.Time
	speed
	// notReservedBefore is set when a reservation has ended without use.
	notReservedBefore time.Time
}

// recentStart is a start that was ordered lately.
type recentStart struct {
	task   TaskID
	number int64
	size   Size
	since  time.Time
}

// departure is what is kept of a worker that was forgotten, in case it comes back under its id.
type departure struct {
	startedAt    time.Time
	recentStarts []recentStart
}

// unsavedEnd is an ended run whose effect on its job must be durable before it is acknowledged.
type unsavedEnd struct {
	number  int64
	job     *job // nil while the job's record has not been read
	version uint64
	absent  bool // the store holds no such job
}

// phase is the state of a run as the owner knows it.
type phase int

const (
	starting    phase = iota // the start was sent and is not answered yet
	unconfirmed              // the start got no answer
	running                  // the worker confirmed the start or lists the run
	stopping                 // the run should stop
)

// run is one run of a task on a worker. It takes capacity until it is certain that it has ended.
type run struct {
	id               TaskID
	task             *task // nil when the task does not need this run
	awaited          bool  // its job's record has not been read, so whether a task needs it is not known
	worker           *worker
	number           int64
	phase            phase
	size             Size
	account          string // account for which the run counts
	counted          Size   // what it counts
	countedLong      bool
	share            *share.Account // charged with it; nil if none is
	part             float64        // the largest part that it takes of a resource of its pool
	expected         time.Duration  // run time with which it was charged
	chargedAt        time.Time
	anyAccount       bool      // its job is not known, so it counts for all accounts
	since            time.Time // when the start was sent or got no answer, or when the run was adopted
	confirmedAt      time.Time // when the worker first confirmed the run
	startConfirmedAt time.Time // the same, if this owner sent the start and got its answer; else zero
	stopSentAt       time.Time // when a stop was last sent
	stopConfirmedAt  time.Time // when the worker confirmed a stop
	percent          int       // share of its time in which the run was at work; 100 for a long-running task that is ready
	progress         progress
	copyReason       string        // why this owner started it as a copy; empty for other runs
	metric           int           // latency tail of a long-running task in milliseconds, else thousandths of a core in use
	saved            string        // last checkpoint
	pace             int           // share of its processors, in percent, that was ordered last; -1 when unknown
	pacedAt          time.Time     // when the pace was ordered
	keepUntil        time.Time     // before then the end of the leases is no reason to release the run
	neverBegan       bool          // another incarnation refused its start
	suspected        *suspectedRun // set if the incarnation to which the start was sent has crashed; nil once a later one shows the run
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

// runLease returns the lease of the runs on a worker.
func (s Settings) runLease() time.Duration {
	if s.HoldMost <= 0 {
		return defaultRunLease
	}
	return min(defaultRunLease, s.HoldMost)
}

// longestLease returns the longest lease that a worker grants.
func (s Settings) longestLease() time.Duration { return max(s.HoldMost, s.runLease()) }

// maxLeaseTime returns the longest time, on the owner's clock, that a lease of this length may last.
func maxLeaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+maxClockDrift)) + leaseSlack
}

// ConfirmOwnership records the time before which no other entry can be the owner.
func (s *State) ConfirmOwnership(until time.Time) {
	if until.After(s.confirmedUntil) { // answers may arrive out of order
		s.confirmedUntil = until
	}
}

// lastConfirmed returns the latest time, at most now, at which the ownership is confirmed.
func (s *State) lastConfirmed(now time.Time) time.Time { return earliest(now, s.confirmedUntil) }

// addWorker adds a worker. Runs that an earlier owner started may exist on it until predecessorRunsEnd, or longer if it restarted.
func (s *State) addWorker(known Worker) *worker {
	w := &worker{Worker: known, predates: s.lastPlacement.IsZero(), runs: make(map[TaskID]*run), failedJobs: make(map[string]bool), leaseEnd: s.predecessorRunsEnd, unseenRunsEnd: s.predecessorRunsEnd}
	if d, found := s.departed[known.ID]; found {
		w.StartedAt, w.recentStarts = d.startedAt, d.recentStarts
		delete(s.departed, known.ID)
	}
	s.workers[known.ID] = w
	s.sortedCache = nil
	return w
}

// SetWorkers applies a new list of workers from the platform.
func (s *State) SetWorkers(now time.Time, list []Worker) {
	s.workersAsOf = now
	listed := make(map[string]bool, len(list))
	for _, next := range list {
		listed[next.ID] = true
		w := s.workers[next.ID]
		if w == nil {
			w = s.addWorker(next)
			s.placementChanged = true
			s.logDecision("WorkerCame", TaskID{}, next.ID, next.Pool+" started "+now.Sub(next.StartedAt).Round(time.Millisecond).String()+" ago", 0)
		}
		if w.supersededBy(next.StartedAt) {
			// A new incarnation with the same id: a poll must show its runs.
			s.workerRestarted(now, w, next.StartedAt)
			s.refuseLateCopies(now, w)
			w.polled, w.nextPoll = false, now
		}
		if w.Draining != next.Draining || w.Pool != next.Pool || w.Capacity != next.Capacity || !w.listed {
			s.placementChanged, s.fleetChanged = true, true
			w.requestScan()
		}
		startedAt := w.StartedAt
		w.Worker, w.listed, w.lastListed = next, !w.ended, now
		if !startedAt.IsZero() {
			w.StartedAt = startedAt // the list may be older than the worker's own answer
		}
	}
	for id, w := range s.workers {
		if listed[id] {
			continue
		}
		w.listed = false
		if len(w.runs) == 0 && now.After(w.leaseEnd) && !w.mayBeInRoster() {
			s.forgetWorker(now, w)
		}
	}
	maps.DeleteFunc(s.departed, func(_ string, d departure) bool { return !anyExecutedLate(now, d.recentStarts) })
}

// forgetWorker removes a worker that is gone and can have no runs.
func (s *State) forgetWorker(now time.Time, w *worker) {
	if anyExecutedLate(now, w.recentStarts) {
		s.departed[w.ID] = departure{w.StartedAt, w.recentStarts}
	}
	delete(s.workers, w.ID)
	s.sortedCache = nil
	for _, p := range s.advisor.queues {
		delete(p.workers, w.ID)
	}
}

// supersededBy reports whether a start time in the platform's list is that of a later incarnation. The list may be older than the worker's
// own answer, but not than the news that the incarnation has ended.
func (w *worker) supersededBy(startedAt time.Time) bool {
	if startedAt.Equal(w.StartedAt) || startedAt.Equal(w.formerStart) {
		return false
	}
	return w.ended || startedAt.After(w.StartedAt)
}

// Worker returns a worker by its id and reports whether it is known.
func (s *State) Worker(id string) (Worker, bool) {
	w := s.workers[id]
	if w == nil {
		return Worker{}, false
	}
	return w.Worker, true
}

// WorkersByZone counts the workers by zone.
func (s *State) WorkersByZone() map[string]int {
	zones := make(map[string]int)
	for _, w := range s.workers {
		zones[w.Zone]++
	}
	return zones
}

// sortedWorkers returns the workers sorted by id, so that equal inputs give equal plans.
func (s *State) sortedWorkers() []*worker {
	if s.sortedCache == nil {
		s.sortedCache = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s.sortedCache
}

// usable reports whether tasks may be started on a worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.absent && w.polled && w.inRoster && !w.Draining && !w.cordoned && w.pollFailures == 0 && !now.Before(w.pausedUntil)
}

// requestScan makes the next plan examine the runs on the worker.
func (w *worker) requestScan() { w.nextScan = time.Time{} }

// free returns the capacity that no run takes.
func (w *worker) free() Size { return w.Capacity.Sub(w.used) }

// leaseEndOn returns the end of a lease that is sent now, on the worker's clock.
func (s *State) leaseEndOn(now time.Time, w *worker) time.Duration {
	return w.clock + now.Sub(w.clockAt) + s.settings.runLease()
}

// extendLease records that a lease was sent, so that runs on the worker may last until its end.
func (s *State) extendLease(now time.Time, w *worker) {
	// The worker's clock may be slow, so the lease may end later than the estimate of that clock says.
	drift := time.Duration(maxClockDrift * float64(now.Sub(w.clockAt)))
	w.leaseEnd = latest(w.leaseEnd, now.Add(maxLeaseTime(s.settings.runLease()+drift)))
}

// reserve adds a run to a worker and reserves its capacity.
func (s *State) reserve(w *worker, r *run) {
	r.worker = w
	w.runs[r.id] = r
	w.used = w.used.Add(r.size)
	s.countRun(r)
}

// release removes a run that has certainly ended and frees its capacity; its task waits again unless it is done.
func (s *State) release(r *run) {
	if r.worker.runs[r.id] != r {
		return
	}
	delete(r.worker.runs, r.id)
	r.worker.used = r.worker.used.Sub(r.size)
	s.uncountRun(r)
	s.chargeEnd(r)
	s.placementChanged = true
	t := r.task
	if t == nil || !t.wants(r) {
		return
	}
	if t.run == r && t.copied != nil && !t.done && t.copied.copyReason != "" {
		s.oddsOf(t, t.copied.copyReason).count(true)
	}
	t.removeRun(r)
	if t.trial != nil && !t.done {
		t.trial = nil
		s.markDirty(t.stage.job)
	}
	if r.saved != "" {
		t.saved = r.saved
	}
	if t.waiting() {
		s.enqueue(t.stage)
	}
}

// expireRuns releases all runs on a worker whose leases have certainly ended.
//
// It requires a confirmed ownership: otherwise a successor that reaches the worker may have renewed the leases.
func (s *State) expireRuns(now time.Time, w *worker) {
	if !now.After(w.leaseEnd) || !now.Before(s.confirmedUntil) {
		return
	}
	var ended []*run
	for _, r := range w.sortedRuns() {
		if now.Before(r.keepUntil) {
			continue
		}
		ended = append(ended, r)
		s.logDecision("Lapsed", r.id, w.ID, "NoAnswerUntilLeaseEnded", r.number)
	}
	s.keepSilent(now, w, ended)
	for _, r := range ended {
		s.release(r)
	}
	if w.pollFailures > 0 {
		w.polled, w.moreEnded = false, false // what it has not listed ended before its lease, and may run again
	}
}

// sortedRuns returns the worker's runs sorted by task.
func (w *worker) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int { return a.id.compare(b.id) })
}

// compare orders tasks by job, occurrence, step and index.
func (t TaskID) compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// lateExecution is the longest time after which a worker may still execute an order that it left unanswered.
const lateExecution = 12 * time.Second

// recordStart remembers a start, of which a copy may be executed late, and forgets those that are too old for that.
func (w *worker) recordStart(now time.Time, r *run) {
	for len(w.recentStarts) > 0 && !w.recentStarts[0].mayBeExecutedLate(now) {
		w.recentStarts = w.recentStarts[1:]
	}
	w.recentStarts = append(w.recentStarts, recentStart{r.id, r.number, r.size, now})
}

// mayBeExecutedLate reports whether a copy of the start may still be executed.
func (b recentStart) mayBeExecutedLate(now time.Time) bool { return now.Sub(b.since) <= lateExecution }

// anyExecutedLate reports whether a copy of one of the starts may still be executed; the newest is the last.
func anyExecutedLate(now time.Time, starts []recentStart) bool {
	return len(starts) > 0 && starts[len(starts)-1].mayBeExecutedLate(now)
}

// workerRestarted handles that a worker has restarted under its id. It releases the runs that the last answered poll showed, which the
// earlier incarnation had. The others are kept until the new incarnation has listed its runs, because it may have executed starts that
// were sent before its restart was known.
func (s *State) workerRestarted(now time.Time, w *worker, startedAt time.Time) {
	s.logDecision("WorkerRestarted", TaskID{}, w.ID, "started "+now.Sub(startedAt).Round(time.Millisecond).String()+" ago", 0)
	w.formerStart, w.StartedAt, w.restartKnown, w.restarted, w.ended = w.StartedAt, startedAt, now, true, false
	w.lastEndRead, w.lastEndAcked, w.endsCounted, w.unsavedEnds, w.moreEnded = 0, 0, true, nil, false
	clear(w.failedJobs)
	w.speed = speed{}
	s.logEnd(w)
	crash := s.endCause(w) == crashed
	var lost, others []*run
	for _, r := range w.sortedRuns() {
		if !r.confirmedAt.IsZero() && r.confirmedAt.Before(w.lastPoll) {
			s.logDecision("Lost", r.id, w.ID, "WorkerStartedAnew", r.number)
			lost = append(lost, r)
			continue
		}
		others = append(others, r)
		r.stopSentAt, r.stopConfirmedAt = time.Time{}, time.Time{} // the new incarnation refuses only what it was told to stop
	}
	if crash {
		for _, suspected := range s.suspectedRuns(now, w, w.formerStart, others) {
			w.runs[suspected.task.id()].suspected = &suspected
		}
		s.workerCrashed(now, w, w.formerStart, lost)
	}
	for _, r := range lost {
		s.release(r)
	}
	s.expectLongLeases(now, w)
	w.requestScan()
}

// expectLongLeases allows for leases that were computed with the clock of an earlier incarnation of the worker. As its clock began anew, they
// may last as long as the longest that it grants, also for later runs.
func (s *State) expectLongLeases(now time.Time, w *worker) {
	w.formerClockEnd = latest(now, s.predecessorEnd).Add(maxLeaseTime(s.settings.longestLease()))
	w.leaseEnd = latest(w.leaseEnd, w.formerClockEnd)
	if !now.After(w.unseenRunsEnd) {
		w.unseenRunsEnd = latest(w.unseenRunsEnd, w.formerClockEnd)
		s.unseenRunsEnd = latest(s.unseenRunsEnd, w.unseenRunsEnd)
	}
}

// settleRestart limits the leases of a worker that may have restarted to the usual length, unless its first answer has shown that it did.
func (s *State) settleRestart(w *worker) {
	if !w.mayHaveRestarted {
		return
	}
	w.mayHaveRestarted = false
	if w.restartKnown.IsZero() {
		w.unseenRunsEnd, w.formerClockEnd = s.predecessorRunsEnd, time.Time{}
		w.leaseEnd = earliest(w.leaseEnd, s.predecessorRunsEnd)
	}
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// refuseLateCopies stops the recent starts of which a restarted worker has no run. A late copy of such a start may still be executed by
// the new incarnation, which does not know that its run has ended; it refuses the copy after the stop.
func (s *State) refuseLateCopies(now time.Time, w *worker) {
	for _, b := range slices.Backward(w.recentStarts) {
		if w.runs[b.task] == nil && b.mayBeExecutedLate(now) {
			s.reserve(w, &run{id: b.task, number: b.number, phase: stopping, size: b.size, since: now, pace: fullPercent, keepUntil: b.since.Add(lateExecution)})
		}
	}
	w.requestScan()
}
