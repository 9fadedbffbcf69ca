package sched

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// AdviceResult is the placement advisor's answer: a ticket for each worker that may run the stage, and the time for which
// the tickets are valid.
type AdviceResult struct {
	Tickets  map[string]string
	ValidFor time.Duration
	Skipped  int // rows of the answer that could not be read
}

const (
	withoutRoomDelay   = 500 * time.Millisecond // shortest time between two requests about workers without room
	spreadLead         = time.Second            // a task is advised this long before it may exceed the spread limit
	refusalLogInterval = 10 * time.Second
	wantTime           = time.Second // for which a stage wants another worker in its pool; it is renewed while the need lasts
	maxGrowthTime      = time.Minute // for which a pool grows for a stage that the policy permits on too few workers, and then rests
)

// permission is what the placement advisor has said of a worker.
type permission int

const (
	unknown permission = iota
	refused
	permitted
)

// verdict is what the placement advisor has said of a worker's incarnation about a stage. It holds as long as the incarnation lives; the
// ticket expires.
type verdict struct {
	permission permission
	startedAt  time.Time // of the incarnation
	ticket     string
	expires    time.Time // when the ticket expires; zero once a worker has rejected it
	backoff              // after rejected tickets and unclear answers
}

// stageAdvice is what a stage knows and wants of the placement advisor.
type stageAdvice struct {
	verdicts      map[string]verdict // by worker
	requests      backoff            // after requests about the stage that failed
	wantedWorkers int                // that its pool should have until wantedUntil, because the advisor permits too few of those there
	wantedUntil   time.Time
	growsSince    time.Time // since when it has wanted more workers
	refusalLogged time.Time // when it was last logged that the advisor permits too few
}

// verdictOn returns what the placement advisor has said of the worker's present incarnation.
func (st *stage) verdictOn(w *worker) verdict {
	if v := st.verdicts[w.ID]; v.startedAt.Equal(w.StartedAt) {
		return v
	}
	return verdict{startedAt: w.StartedAt}
}

// hasTicket reports whether the stage has a valid ticket for the worker, or needs none.
func (st *stage) hasTicket(now time.Time, q Queue, w *worker) bool {
	return q.Advice == nil || now.Before(st.verdictOn(w).expires)
}

// discard drops a ticket that is of no use, so that the advisor is asked about the worker again after a delay.
func (v *verdict) discard(now time.Time) {
	v.expires = time.Time{}
	v.fail(now, maxStageRetryDelay)
}

// heldRoom is room on a worker that is kept from less urgent stages during one placement. One stage at a time holds room.
type heldRoom struct {
	worker *worker
	size   Size
}

// mayBeAdvisedBetter reports whether the placement advisor may yet permit the task to start on a worker that suits it better than one with
// this score: fewer tasks beyond the spread limit, or the task avoids the other worker and not this one.
func (s *State) mayBeAdvisedBetter(now time.Time, t *task, q Queue, best score, workers []*worker, runsPerWorker map[string]int) bool {
	st := t.stage
	if q.Advice == nil || best.excess == 0 && !best.avoided || s.advisor.failures > 0 || st.requests.failures > 0 {
		return false
	}
	return slices.ContainsFunc(workers, func(w *worker) bool {
		excess := st.excessOn(w, runsPerWorker)
		better := excess < best.excess || excess == best.excess && best.avoided && !t.avoids(w)
		return better && st.needsAdvice(now, w, runsPerWorker) && t.couldStartOn(now, w, excess)
	})
}

// planMaintenanceAdvice asks the placement advisor about workers to which maintenance could move tasks that run.
func (s *State) planMaintenanceAdvice(now time.Time, pools map[string][]*worker, o *Orders) {
	for _, st := range s.seekRoom {
		if q := s.config.Queues[st.job.Queue]; q.Advice != nil && !st.job.state.Final() && st.waitingTasks() == 0 {
			s.planAdvice(now, st, q, pools[q.Pool], false, o)
		}
	}
	s.seekRoom = nil
}

// adviceNeeds are the workers that a stage needs advice about, by what the advice is for.
type adviceNeeds struct {
	renewals    []*worker // permitted, and a task could start there with a new ticket
	searched    []*worker // unknown, and a task could start there
	withoutRoom []*worker // unknown, and no task could start there now
}

// planAdvice asks the placement advisor about workers for a stage's waiting tasks, unless the advisor is busy. It first asks for new tickets
// for workers that the policy is known to permit, then about those that the advisor has said nothing of. If mayHold is set, it returns room on the
// former that it holds, so that less urgent stages do not take it before the tickets come.
func (s *State) planAdvice(now time.Time, st *stage, q Queue, workers []*worker, mayHold bool, o *Orders) []heldRoom {
	id := st.firstTask()
	_, asked := s.advisor.requests[id]
	mayAsk := !asked && !st.requests.waits(now) && s.advisor.mayAsk(now)
	if !mayAsk && !mayHold {
		return nil
	}
	n := s.adviceNeeds(now, st, q, workers)
	var held []heldRoom
	if mayHold && s.advisor.failures == 0 {
		held = st.holdRoom(n.renewals)
	}
	if !mayAsk {
		return held
	}
	if ask := s.workersToAsk(now, st, q, n); len(ask) > 0 {
		s.askAdvisor(now, id, q.Advice, ask, o)
		return held
	}
	if len(workers) > 0 && st.placesOn(workers) < st.leastPlaces() {
		s.wantWorker(now, st, q)
		s.logRefused(now, st, len(workers))
	}
	return held
}

// workersToAsk returns the workers that the next request about the stage names, or none.
func (s *State) workersToAsk(now time.Time, st *stage, q Queue, n adviceNeeds) []*worker {
	size := q.Advice.requestSize()
	ask := st.enough(n.renewals)
	if st.step.Gang {
		size = min(max(size, len(ask)), maxAdviceRequestSize) // the tickets of all members must be valid at once
	}
	if len(ask) == 0 || !st.step.Gang && st.roomOn(ask) < st.waitingTasks() {
		searched := n.searched
		if s.advisor.waitingStages > 1 { // the shorter each request is, the sooner the others are handled
			searched = s.advisor.permitsOf(st.job.Queue).shortSearch(searched, len(st.enough(searched)))
		}
		ask = append(ask, searched...)
	}
	if len(ask) == 0 && now.Sub(s.advisor.withoutRoomAskedAt) >= withoutRoomDelay && len(n.withoutRoom) > 0 {
		ask, s.advisor.withoutRoomAskedAt = n.withoutRoom, now
	}
	return ask[:min(len(ask), size)]
}

// wantWorker makes the stage's pool grow by a worker that the placement advisor may permit. It grows for maxGrowthTime, then rests for as long.
func (s *State) wantWorker(now time.Time, st *stage, q Queue) {
	if st.growsSince.IsZero() || now.Sub(st.wantedUntil) > maxGrowthTime {
		st.growsSince = now
	}
	if now.Sub(st.growsSince) > maxGrowthTime {
		return
	}
	st.wantedUntil, st.wantedWorkers = now.Add(wantTime), 1
	for _, w := range s.workers {
		if w.Pool == q.Pool && w.listed && (st.verdictOn(w).permission != unknown || !st.step.accepts(w)) {
			st.wantedWorkers++
		}
	}
}

// logRefused logs that the policy permits the stage to run on too few of the workers.
func (s *State) logRefused(now time.Time, st *stage, workers int) {
	if now.Sub(st.refusalLogged) < refusalLogInterval {
		return
	}
	st.refusalLogged = now
	s.logDecision("NotPermitted", st.firstTask(), "", "AdvisorPermitsTooFewOf "+strconv.Itoa(workers), 0)
}

// leastPlaces returns how many tasks of the stage must have a place at once.
func (st *stage) leastPlaces() int {
	if st.step.Gang || st.step.LongRunning {
		return st.step.Count
	}
	return 1
}

// placesOn returns how many tasks of the stage the workers could run at once, those that run among them, once other batch tasks are done.
// Workers that the advisor has said nothing of count too.
func (st *stage) placesOn(workers []*worker) int {
	n, runsPerWorker := 0, st.runsPerWorker()
	for _, w := range workers {
		n += runsPerWorker[w.ID]
		if st.step.accepts(w) && st.verdictOn(w).permission != refused {
			n += st.fitting(w, w.roomBesides(nil), runsPerWorker)
		}
	}
	return n
}

// askAdvisor orders a request about the workers.
func (s *State) askAdvisor(now time.Time, stage TaskID, timing *Advice, workers []*worker, o *Orders) {
	r := adviceRequest{sent: now, duration: timing.duration(len(workers)), startedAts: make(map[string]time.Time, len(workers))}
	r.due = latest(now, s.advisor.idleAt).Add(r.duration)
	ask := AdviceRequest{Stage: stage, Timeout: s.advisor.timeout(now, r.due)}
	for _, w := range workers {
		ask.Workers = append(ask.Workers, w.ID)
		r.startedAts[w.ID] = w.StartedAt
	}
	s.advisor.requests[stage], s.advisor.idleAt = r, r.due
	o.AdviceRequests = append(o.AdviceRequests, ask)
}

// adviceNeeds returns the workers that the stage needs advice about, those first that suit it best.
func (s *State) adviceNeeds(now time.Time, st *stage, q Queue, workers []*worker) (n adviceNeeds) {
	runsPerWorker, tasks := st.runsPerWorker(), st.distinctTasks(now)
	ticketed := st.leastTicketedExcess(now, q, tasks, workers, runsPerWorker)
	for _, w := range workers {
		excess := st.excessOn(w, runsPerWorker)
		if !st.needsAdvice(now, w, runsPerWorker) || excess > 0 && excess >= ticketed {
			continue
		}
		renewal := st.verdictOn(w).permission == permitted
		startable := slices.ContainsFunc(tasks, func(t *task) bool { return t.couldStartOn(now, w, excess) })
		roomToMove := len(tasks) == 0 && st.step.reserved().Fits(w.free()) && w.servesJob(st.job.ID)
		switch {
		case startable && renewal:
			n.renewals = append(n.renewals, w)
		case renewal:
		case startable || roomToMove:
			n.searched = append(n.searched, w)
		case st.step.reserved().Fits(w.Capacity):
			n.withoutRoom = append(n.withoutRoom, w)
		}
	}
	if st.step.Gang && !s.gangCouldStart(now, st, q, workers, n.renewals) {
		n.renewals = nil
	}
	for _, list := range [][]*worker{n.renewals, n.searched, n.withoutRoom} {
		slices.SortStableFunc(list, func(a, b *worker) int { return st.compareForAdvice(tasks, runsPerWorker, a, b) })
	}
	permits := s.advisor.permitsOf(st.job.Queue)
	for _, list := range [][]*worker{n.searched, n.withoutRoom} {
		slices.SortStableFunc(list, func(a, b *worker) int {
			return cmp.Compare(boolInt(permits.unlikely(a)), boolInt(permits.unlikely(b)))
		})
	}
	return n
}

// leastTicketedExcess returns the least number of tasks beyond the spread limit that one more task would cause on a worker with a valid
// ticket and room, which not all of the tasks avoid.
func (st *stage) leastTicketedExcess(now time.Time, q Queue, tasks []*task, workers []*worker, runsPerWorker map[string]int) int {
	least := math.MaxInt
	for _, w := range workers {
		suits := slices.ContainsFunc(tasks, func(t *task) bool { return !t.avoids(w) })
		if suits && st.hasTicket(now, q, w) && st.mayRunOn(q, w, runsPerWorker) && st.step.reserved().Fits(w.free()) && w.servesJob(st.job.ID) {
			least = min(least, st.excessOn(w, runsPerWorker))
		}
	}
	return least
}

// needsAdvice reports whether a task of the stage may start on the worker only after the placement advisor has been asked about it.
func (st *stage) needsAdvice(now time.Time, w *worker, runsPerWorker map[string]int) bool {
	v := st.verdictOn(w)
	return v.permission != refused && !now.Before(v.expires) && !v.waits(now) && st.step.accepts(w) && runsPerWorker[w.ID] < st.step.workerLimit()
}

// couldStartOn reports whether a ticket for the worker is all that the waiting task lacks to start there, with the number of tasks beyond the
// spread limit that the step would have there. The crashes of the task may still have to be stored.
func (t *task) couldStartOn(now time.Time, w *worker, excess int) bool {
	job := t.stage.job.ID
	switch {
	case w.runs[t.id()] != nil || !t.stage.step.reserved().Fits(w.free()) || excess > 0 && !t.mayExceedSpread(now.Add(spreadLead)):
		return false
	case t.isolated():
		return t.awaitedWorker == w.ID && (w.hostsOnly(job) || t.sharesWorker)
	}
	return w.servesJob(job)
}

// distinctTasks returns the waiting tasks of the stage, but of those that have the same requirements only one.
func (st *stage) distinctTasks(now time.Time) []*task {
	var tasks []*task
	seen := make(map[bool]bool) // by whether the task may exceed the spread limit
	for i := range st.tasks {
		t := &st.tasks[i]
		alike := len(t.avoid) == 0 && len(t.crashes) == 0
		if !t.waiting() || t.incriminated() || alike && seen[t.mayExceedSpread(now)] {
			continue
		}
		if alike {
			seen[t.mayExceedSpread(now)] = true
		}
		tasks = append(tasks, t)
	}
	return tasks
}

// compareForAdvice orders workers as tasks of the stage are placed: by the tasks beyond the spread limit, by the number of tasks that avoid
// them, by rack, then by load.
func (st *stage) compareForAdvice(tasks []*task, runsPerWorker map[string]int, a, b *worker) int {
	rack := st.step.PreferredRack
	avoiding := func(w *worker) (n int) {
		for _, t := range tasks {
			n += boolInt(t.avoids(w))
		}
		return n
	}
	return cmp.Or(
		cmp.Compare(st.excessOn(a, runsPerWorker), st.excessOn(b, runsPerWorker)),
		cmp.Compare(avoiding(a), avoiding(b)),
		cmp.Compare(boolInt(rack != "" && a.Rack != rack), boolInt(rack != "" && b.Rack != rack)),
		cmp.Compare(b.load(), a.load()),
	)
}

// roomOn returns the number of tasks of the stage that the workers have room for.
func (st *stage) roomOn(workers []*worker) int {
	n := 0
	runsPerWorker := st.runsPerWorker()
	for _, w := range workers {
		n += st.fitting(w, w.free(), runsPerWorker)
	}
	return n
}

// enough returns the first of the workers that together have room for the stage's waiting tasks, or all.
func (st *stage) enough(workers []*worker) []*worker {
	runsPerWorker, left := st.runsPerWorker(), st.waitingTasks()
	for i, w := range workers {
		if left -= st.fitting(w, w.free(), runsPerWorker); left <= 0 {
			return workers[: i+1 : i+1]
		}
	}
	return workers
}

// fitting returns how many more tasks of the stage fit into this room on the worker, with the number of its runs on each worker.
func (st *stage) fitting(w *worker, room Size, runsPerWorker map[string]int) int {
	size, n := st.step.reserved(), 0
	for most := min(st.step.Count, st.step.workerLimit()-runsPerWorker[w.ID]); n < most && size.Fits(room); n++ {
		room = room.Sub(size)
	}
	return n
}

// gangCouldStart reports whether new tickets for the workers are all that the gang lacks to start.
func (s *State) gangCouldStart(now time.Time, st *stage, q Queue, workers, renewals []*worker) bool {
	var ticketed []*worker
	for _, w := range workers {
		if st.permitted(q, w) && st.hasTicket(now, q, w) && w.servesJob(st.job.ID) {
			ticketed = append(ticketed, w)
		}
	}
	return st.roomOn(ticketed)+st.roomOn(renewals) >= st.step.Count
}

// holdRoom sets room aside on the workers for the stage's waiting tasks, for the rest of a placement.
func (st *stage) holdRoom(workers []*worker) []heldRoom {
	var held []heldRoom
	size, runsPerWorker, left := st.step.reserved(), st.runsPerWorker(), st.waitingTasks()
	for _, w := range workers {
		n := min(left, st.fitting(w, w.free(), runsPerWorker))
		left -= n
		for range n {
			w.used = w.used.Add(size)
			held = append(held, heldRoom{w, size})
		}
	}
	return held
}

// AdviceAnswered records the placement advisor's answer to a request.
func (s *State) AdviceAnswered(now time.Time, a AdviceRequest, advised AdviceResult) {
	r, found := s.advisor.remove(now, a.Stage)
	if !found {
		return
	}
	s.advisor.backoff, s.advisor.lateness = backoff{}, max(0, now.Sub(r.due))
	s.placementChanged = true
	t := s.find(a.Stage)
	if t == nil || t.stage.remaining == 0 || t.stage.job.state.Final() {
		return
	}
	st := t.stage
	if st.verdicts == nil {
		st.verdicts = make(map[string]verdict, len(a.Workers))
	}
	st.requests.failures = 0
	issued := r.sent // at the earliest
	switch {
	case now.Sub(r.sent) < advised.ValidFor:
		s.advisor.staleAnswers = 0
	case r.duration >= advised.ValidFor || s.advisor.staleAnswers > 0:
		issued = now.Add(-advised.ValidFor / 2) // answers always take as long, so the ticket must have been issued with this one
	default:
		s.advisor.staleAnswers++
	}
	for _, id := range a.Workers {
		v := st.verdicts[id]
		if !v.startedAt.Equal(r.startedAts[id]) {
			v = verdict{startedAt: r.startedAts[id]}
		}
		text, good := advised.Tickets[id]
		if v.permission == unknown && advised.Skipped == 0 {
			s.advisor.permitsOf(st.job.Queue).add(id, v.startedAt, good)
		}
		switch {
		case good:
			v.permission, v.ticket, v.expires = permitted, text, issued.Add(advised.ValidFor)
		case advised.Skipped > 0 || v.permission == permitted:
			v.discard(now) // its row may be one that could not be read
		default:
			v.permission = refused
		}
		st.verdicts[id] = v
	}
}

// AdviceFailed records that a request to the placement advisor got no answer, or none that could be used.
func (s *State) AdviceFailed(now time.Time, a AdviceRequest) {
	if _, found := s.advisor.remove(now, a.Stage); !found {
		return
	}
	s.advisor.fail(now, maxAdvisorRetryDelay)
	if t := s.find(a.Stage); t != nil { // the requests about other stages may succeed
		t.stage.requests.fail(now, maxStageRetryDelay)
	}
	s.placementChanged = true
}

// ticketRejected records that a worker has rejected a start for its ticket.
func (st *stage) ticketRejected(now time.Time, w *worker, ticket string) {
	if v := st.verdictOn(w); v.permission == permitted && v.ticket == ticket && !v.expires.IsZero() {
		v.discard(now)
		st.verdicts[w.ID] = v
	}
}

// ticketAccepted records that a worker has accepted a start with a ticket.
func (st *stage) ticketAccepted(w *worker) {
	if v := st.verdictOn(w); v.failures > 0 {
		v.failures = 0
		st.verdicts[w.ID] = v
	}
}
