package sched

import (
	"maps"
	"slices"
	"time"

	"daisysaddle/core/share"
)

// runNumberShift is the number of low bits of a run number that count a task's runs under one
// fencing token: 10 bits allow a thousand.
const runNumberShift = 10

// State is the owner's view of jobs, workers and machines. It is not safe for concurrent use.
type State struct {
	token       uint64
	settings    Settings
	config      Config
	jobs        map[string]*job
	jobBytes    int64 // memory of all jobs
	queues      map[string]*queue
	queuePools  queuePools
	advisor     advisor
	caps        accountCaps
	shares      map[string]*poolShares // by pool
	shareLevel  int                    // level of the accounts whose turn it is in the placement
	seekRoom    []*stage               // with tasks that maintenance could not move, for want of room elsewhere, in its last plan
	workers     map[string]*worker
	departed    map[string]departure // by id: workers that were forgotten and of which a copy of a start may still be executed
	waves       map[int64]*wave
	storedWaves map[int64]WaveStatus // the statuses that earlier owners stored, by wave number
	machines    map[string]Machine
	dirty       map[string]*job // jobs whose progress must be stored
	// scheduled holds the scheduled jobs that have occurrences to come.
	scheduled       map[string]*job
	longRunningJobs map[string]*job          // jobs with long-running steps
	suspectJobs     map[string]*job          // jobs with tasks under which workers have crashed
	silent          map[string]*silentWorker // by id: workers that may have crashed under runs whose leases ended
	recentCrashes   []recentCrash
	began           time.Time                // when this owner began
	isolating       bool                     // the last placement had suspects
	announced       map[string]*announcement // jobs whose records have not been read or found, by id
	tombstones      map[string][]tombstone   // of ids under which no job was stored, one for each caller, by id
	jobReads        []string                 // ids of those whose reading no plan has ordered
	demands         map[string]*poolDemand   // demand of each pool
	moves           map[string]*move         // by machine
	executedOrders  map[string]executedOrder // by machine: executed orders whose effect no machine list has shown
	runStats        map[string]*queueStats   // run statistics, by queue
	zoneRooms       map[string]zoneRoom      // by pool
	unmanned        map[string]unmanned      // by machine
	intake          accountIntake            // used while accounts compete
	jobsSeen        bool                     // a job was added, or refused by Admit
	promisedRoom    map[string]Size          // by worker: room set aside in the current plan for tasks stopped elsewhere
	promisedAt      time.Time                // time of the plan to which that belongs
	durations       durations
	// refusedMoves holds the machine moves that the machine API rejected as invalid.
	refusedMoves        map[moveTarget]bool
	decisions           []Decision
	fencedOff           bool
	placementChanged    bool      // whether something that placement depends on has changed since lastPlacement
	planned             time.Time // when the last plan was made
	lastPlacement       time.Time // when tasks were last placed
	copyOdds            map[oddsKey]*copyOdds
	copiesPlanned       time.Time            // when copies were last considered
	placements          uint64               // number of orders of placement that were made
	admissions          uint64               // number of times that the waiting work of a pool was summed up
	predecessorEnd      time.Time            // no earlier owner sends an order after it
	predecessorRunsEnd  time.Time            // every run that an earlier owner started has ended by then, unless its worker restarted
	unseenRunsEnd       time.Time            // the latest of the workers' unseenRunsEnd
	confirmedUntil      time.Time            // no other entry can become the owner before then
	machinesRequestedAt time.Time            // when the list of machines was last requested
	machinesAsOf        time.Time            // when the list of machines in use was requested
	machineSeen         map[string]time.Time // by machine: when the newest list that shows it was requested
	workersAsOf         time.Time            // when the list of workers was last applied
	machinesUnclear     bool                 // an entry of that list had a fault
	fleetChanged        bool                 // whether something that waves or machine moves wait for has changed since lastFleetPlan
	lastFleetPlan       time.Time            // when waves and machine moves were last planned
	sortedCache         []*worker            // all workers; nil after one was added or removed
}

// queue holds the stages of one queue that have tasks to place.
type queue struct {
	stages        []*stage
	unstartedJobs int // accepted one-off jobs of which no task has started
}

// job is an accepted job with its state and occurrences.
type job struct {
	Job
	state           JobState // may not be stored yet
	visibleState    JobState // the state that callers see, which is final only once it is stored
	acceptedAt      time.Time
	inherited       bool                // accepted before this owner began, so an earlier one may have started its tasks
	started         bool                // a task of it has started
	occurrences     map[int]*occurrence // by index; those that were created and are not done
	nextOccurrence  int                 // index of the next occurrence to create
	early           []*occurrence       // those that were created before they are due and are not due yet; their stages are in no queue
	version         uint64              // incremented by each change that must be stored
	savedVersion    uint64              // highest version that is stored
	saving          bool                // a save was ordered and has no result yet
	endedAt         time.Time
	doneOccurrences []int            // indexes of the occurrences that are done
	suspects        []*task          // tasks under which workers have crashed
	otherZones      []string         // zones in which its tasks may run beside its own
	openZones       int              // number of these that are stored
	zonesVersion    uint64           // version of the job's progress that holds all of them
	watchers        []func(JobState) // called once the final state is stored
	endedRuns       AccountRuns      // what may still have run when it ended under an earlier owner
	memory          jobMemory
}

// occurrence is one execution of a job's steps. A one-off job has only one.
type occurrence struct {
	index     int
	due       time.Time
	stages    []*stage
	remaining int // number of steps that are not done
	outlook   outlook
	// waitingWork is the processor-seconds of its waiting tasks as of an admission.
	waitingWork float64
	admission   uint64 // counts the admission for which waitingWork holds
}

// stage is one step of one occurrence of a job.
type stage struct {
	job        *job
	occurrence *occurrence
	index      int
	step       *Step
	tasks      []task
	remaining  int             // number of tasks that are not done
	blockers   int             // number of steps that must be done first and are not
	queued     bool            // it is in its queue's stages
	rank       rank            // as of the last placement
	fullSince  time.Time       // since when the zones of its job have had no room for some of its tasks
	gangRun    int64           // number of the gang's last run
	share      *share.Account  // of its pool, as of the last placement; nil if it competes for none
	times      []time.Duration // run times of the first tasks of the step that were done
	stageAdvice
}

// id returns the id of the stage's first task.
func (st *stage) firstTask() TaskID { return TaskID{st.job.ID, st.occurrence.index, st.index, 0} }

// task is one task of a stage.
type task struct {
	stage      *stage
	index      int
	done       bool
	lastRun    int64    // highest run number that is known
	run        *run     // nil while the task has no run
	copied     *run     // a second run beside it, of a speculative step
	saved      string   // checkpointed progress to resume from
	failedRuns []int64  // numbers of the runs that failed
	avoid      []string // ids of the last workers on which it failed
	// crashes are those of workers that ran the task.
	crashes         []CrashedRun
	crashVersion    uint64    // version of the job's progress that holds the last of them
	incriminatedAt  time.Time // since when they can hardly be chance; zero if they can
	trial           *trial    // set from its storing to the known end of a run alone
	waitsAloneSince time.Time // since when it waits for a worker of its own
	awaitedWorker   string    // id of the worker that is to be its own, as of the last placement
	// sharesWorker is set if a worker that was reserved for it since its last start did not become free in time: it waits no longer for one
	// that runs nothing else.
	sharesWorker bool
	// waitsForSpreadSince is when the spread limit of its step first kept it off all workers with room.
	waitsForSpreadSince time.Time
}

func (t *task) id() TaskID {
	return TaskID{t.stage.job.ID, t.stage.occurrence.index, t.stage.index, t.index}
}

// waitingTasks returns the number of the stage's tasks that wait for a worker.
func (st *stage) waitingTasks() int {
	n := 0
	for i := range st.tasks {
		n += boolInt(st.tasks[i].waiting())
	}
	return n
}

// waiting reports whether the task waits for a worker.
func (t *task) waiting() bool { return !t.done && t.run == nil }

// New returns the state of an owner that begins at now with the fencing token.
func New(now time.Time, token uint64, settings Settings) *State {
	predecessorEnd := now.Add(maxOwnerOverlap)
	predecessorRunsEnd := predecessorEnd.Add(maxLeaseTime(settings.runLease()))
	return &State{
		token: token, settings: settings, caps: newAccountCaps(), shares: make(map[string]*poolShares),
		jobs: make(map[string]*job), queues: make(map[string]*queue), advisor: advisor{requests: make(map[TaskID]adviceRequest), queues: make(map[string]*queuePermits)}, queuePools: queuePools{pools: make(map[string]map[string]recordedPool), restored: make(map[string]bool)}, workers: make(map[string]*worker), departed: make(map[string]departure),
		waves: make(map[int64]*wave), storedWaves: make(map[int64]WaveStatus), machines: make(map[string]Machine), machineSeen: make(map[string]time.Time), dirty: make(map[string]*job),
		demands: make(map[string]*poolDemand), moves: make(map[string]*move), executedOrders: make(map[string]executedOrder), runStats: make(map[string]*queueStats), copyOdds: make(map[oddsKey]*copyOdds), refusedMoves: make(map[moveTarget]bool), scheduled: make(map[string]*job), longRunningJobs: make(map[string]*job), suspectJobs: make(map[string]*job), silent: make(map[string]*silentWorker), began: now, unmanned: make(map[string]unmanned), zoneRooms: make(map[string]zoneRoom), announced: make(map[string]*announcement), tombstones: make(map[string][]tombstone), promisedRoom: make(map[string]Size),
		predecessorEnd: predecessorEnd, predecessorRunsEnd: predecessorRunsEnd, unseenRunsEnd: predecessorRunsEnd,
	}
}

// maxOwnerOverlap is how long an owner that can't reach the platform may go on after its successor
// has begun: it gives up 4 s after its last renewal, and its lease expires 1.5 s after that renewal.
const maxOwnerOverlap = 2700 * time.Millisecond

// FencedOff reports whether a worker or the machine API has seen a higher fencing token.
func (s *State) FencedOff() bool { return s.fencedOff }

// SetConfig applies a configuration unless its version is older than that of the current one.
func (s *State) SetConfig(c Config) {
	if c.Version < s.config.Version {
		return
	}
	s.config = c
	s.setCaps()
	s.placementChanged = true
}

func (s *State) queueOf(name string) *queue {
	q := s.queues[name]
	if q == nil {
		q = &queue{}
		s.queues[name] = q
	}
	return q
}

// AddJob adds an accepted job with its stored progress. It does nothing if the job is known.
//
// If inherited is set, an earlier owner may have started some of its tasks.
func (s *State) AddJob(now time.Time, description Job, p Progress, inherited bool) {
	if _, known := s.jobs[description.ID]; known {
		return
	}
	j := &job{Job: description, state: Pending, visibleState: Pending, acceptedAt: description.Accepted, inherited: inherited, occurrences: make(map[int]*occurrence)}
	if j.acceptedAt.IsZero() || j.acceptedAt.After(now) {
		j.acceptedAt = now
	}
	s.jobs[j.ID] = j
	j.memory.description, j.memory.occurrence = j.descriptionBytes(), j.occurrenceBytes()
	defer func() { s.account(j) }()
	s.placementChanged = true
	if p.State.Final() {
		j.state, j.visibleState, j.endedAt = p.State, p.State, p.Ended
		if p.EndedRuns != nil {
			j.endedRuns = *p.EndedRuns
		}
	}
	j.otherZones, j.openZones = p.Zones, len(p.Zones)
	done := make(map[int]OccurrenceProgress, len(p.Occurrences))
	lastStored := noOccurrence
	for _, o := range p.Occurrences {
		done[o.Index] = o
		lastStored = max(lastStored, o.Index)
		if o.Completed {
			j.doneOccurrences = append(j.doneOccurrences, o.Index)
		}
	}
	j.started = len(p.Occurrences) > 0
	if j.state.Final() {
		s.endAnnouncement(now, j)
		return
	}
	if j.oneOff() && !j.started {
		s.queueOf(j.Queue).unstartedJobs++
	}
	s.createOccurrences(now, j, lastStored, done)
	if !j.oneOff() {
		s.scheduled[j.ID] = j
	}
	if j.longRunning() {
		s.longRunningJobs[j.ID] = j
	}
	s.recordArrival(now, j)
	s.endAnnouncement(now, j)
	s.applyTombstones(now, j)
}

// longRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) longRunning() bool {
	return slices.ContainsFunc(j.Steps, func(p Step) bool { return p.LongRunning })
}

// taskCount returns the number of tasks of one occurrence of the job.
func (j *Job) taskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// oneOff reports whether the job runs once, at once, and not by a schedule.
func (j *job) oneOff() bool { return j.Repeats == 0 }

func (j *job) occurrenceCount() int { return max(1, j.Repeats) }

func (j *job) dueAt(occurrence int) time.Time {
	if j.oneOff() {
		return j.acceptedAt
	}
	return j.First.Add(time.Duration(occurrence) * j.Interval)
}

// noOccurrence is an index below that of the first occurrence.
const noOccurrence = -1

// maxLiveTasks is the number of tasks of a scheduled job from which its due occurrences wait for earlier ones to be done. It is far above the
// number of tasks that run at a time.
const maxLiveTasks = 20_000

// createOccurrences creates the occurrences up to the index known and the others that are due, up to maxLiveTasks, except those that done
// lists as completed. An occurrence of which something is known was due by the clock of an earlier owner, which may have been ahead.
func (s *State) createOccurrences(now time.Time, j *job, known int, done map[int]OccurrenceProgress) {
	tasks := j.taskCount()
	mayCreate := func(k int) bool {
		return k <= known || !now.Before(j.dueAt(k)) && (len(j.occurrences) == 0 || (len(j.occurrences)+1)*tasks <= maxLiveTasks && s.holdsAnother(j))
	}
	for !j.state.Final() && j.nextOccurrence < j.occurrenceCount() && mayCreate(j.nextOccurrence) {
		k := j.nextOccurrence
		j.nextOccurrence++
		if done[k].Completed {
			continue
		}
		s.createOccurrence(now, j, k, done[k])
	}
}

func (s *State) createOccurrence(now time.Time, j *job, k int, p OccurrenceProgress) {
	o := &occurrence{index: k, due: j.dueAt(k), remaining: len(j.Steps)}
	j.occurrences[k] = o
	s.account(j)
	if now.Before(o.due) {
		j.early = append(j.early, o)
	}
	for i := range j.Steps {
		st := &stage{job: j, occurrence: o, index: i, step: &j.Steps[i], remaining: j.Steps[i].Count, blockers: len(j.Steps[i].After)}
		st.tasks = make([]task, st.step.Count)
		for n := range st.tasks {
			st.tasks[n] = task{stage: st, index: n}
		}
		o.stages = append(o.stages, st)
	}
	for _, f := range p.Failed {
		if t := o.task(f.Step, f.Index); t != nil {
			t.failedRuns = append(t.failedRuns, f.Run)
			t.lastRun = max(t.lastRun, f.Run)
		}
	}
	for _, c := range p.Crashes {
		if t := o.task(c.Step, c.Index); t != nil {
			s.addCrash(t, c)
		}
	}
	for _, c := range p.Trials {
		if t := o.task(c.Step, c.Index); t != nil {
			t.trial = &trial{CrashedRun: c, inherited: true}
			t.lastRun = max(t.lastRun, c.Run)
		}
	}
	for _, st := range o.stages {
		s.enqueue(st)
	}
	for _, d := range p.Tasks {
		for _, n := range d.Done {
			if t := o.task(d.Step, n); t != nil {
				s.finishTask(now, t)
			}
		}
	}
}

// enqueueDue adds the stages of occurrences that were created early to their queues, once they are due.
func (s *State) enqueueDue(now time.Time, j *job) {
	for len(j.early) > 0 && !now.Before(j.early[0].due) {
		o := j.early[0]
		j.early = j.early[1:]
		for _, st := range o.stages {
			s.enqueue(st)
		}
	}
}

// enqueue adds a stage to its queue if its occurrence is due, the steps that it depends on are done and tasks are left.
func (s *State) enqueue(st *stage) {
	if st.queued || slices.Contains(st.job.early, st.occurrence) || st.blockers > 0 || st.job.state.Final() || st.remaining == 0 {
		return
	}
	st.queued = true
	q := s.queueOf(st.job.Queue)
	q.stages = append(q.stages, st)
	s.placementChanged = true
}

// finishTask marks a task done and enqueues the stages that it unblocks.
func (s *State) finishTask(now time.Time, t *task) {
	if t.done {
		return
	}
	t.done = true
	for _, r := range t.runs() {
		r.worker.requestScan()
	}
	st := t.stage
	st.remaining--
	s.markDirty(st.job)
	if st.remaining > 0 {
		return
	}
	st.verdicts = nil
	o := st.occurrence
	o.remaining--
	for _, next := range o.stages {
		if slices.Contains(next.step.After, st.index) {
			next.blockers--
			s.enqueue(next)
		}
	}
	if o.remaining > 0 {
		return
	}
	j := st.job
	j.doneOccurrences = append(j.doneOccurrences, o.index)
	delete(j.occurrences, o.index)
	s.account(j)
	if len(j.doneOccurrences) == j.occurrenceCount() {
		s.endJob(now, j, Completed)
	}
}

// endJob sets a job's final state. The next plan stops the runs that are left.
func (s *State) endJob(now time.Time, j *job, state JobState) {
	if j.state.Final() {
		return
	}
	s.markStarted(j)
	j.state, j.endedAt = state, now
	for _, o := range j.occurrences {
		o.requestScan()
		for _, st := range o.stages {
			st.verdicts = nil
		}
	}
	s.decisions = append(s.decisions, Decision{Kind: "JobEnded", Job: j.ID, Reason: string(state) + " after " + now.Sub(j.acceptedAt).Round(time.Millisecond).String()})
	s.markDirty(j)
	s.placementChanged = true
}

// requestScan makes the next plan examine every worker that runs a task of the occurrence.
func (o *occurrence) requestScan() {
	for _, st := range o.stages {
		for i := range st.tasks {
			for _, r := range st.tasks[i].runs() {
				r.worker.requestScan()
			}
		}
	}
}

// markDirty records that a job's progress has changed and must be stored.
func (s *State) markDirty(j *job) {
	j.version++
	s.dirty[j.ID] = j
}

// markStarted records that a task of the job has started.
func (s *State) markStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	if j.oneOff() {
		s.queueOf(j.Queue).unstartedJobs--
	}
	if j.state == Pending {
		j.state = Running
		if j.visibleState == Pending {
			j.visibleState = Running
		}
	}
}

// Cancel ends a job and reports whether the job is known.
func (s *State) Cancel(now time.Time, id string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.endJob(now, j, Cancelled)
	return true
}

// JobState returns the state of a job that callers may see, which is final only once it is stored, and
// whether the job is known.
func (s *State) JobState(id string) (JobState, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	return j.visibleState, true
}

// Waiting returns the number of a queue's accepted one-off jobs of which no task has started.
func (s *State) Waiting(queue string) int {
	q := s.queues[queue]
	if q == nil {
		return 0
	}
	return q.unstartedJobs
}

// progress returns the progress of the job to store.
func (j *job) progress() Progress {
	p := Progress{State: j.state, Ended: j.endedAt}
	if j.state.Final() {
		return p
	}
	p.Zones = j.otherZones
	for _, k := range j.doneOccurrences {
		p.Occurrences = append(p.Occurrences, OccurrenceProgress{Index: k, Completed: true})
	}
	for k := range j.nextOccurrence {
		o := j.occurrences[k]
		if o == nil {
			continue
		}
		op := OccurrenceProgress{Index: k}
		for i, st := range o.stages {
			var done []int
			for n := range st.tasks {
				if st.tasks[n].done {
					done = append(done, n)
				}
				for _, f := range st.tasks[n].failedRuns {
					op.Failed = append(op.Failed, FailedRun{i, n, f})
				}
				if !st.tasks[n].done {
					op.Crashes = append(op.Crashes, st.tasks[n].crashes...)
					if st.tasks[n].trial != nil {
						op.Trials = append(op.Trials, st.tasks[n].trial.CrashedRun)
					}
				}
			}
			if len(done) > 0 {
				op.Tasks = append(op.Tasks, TaskProgress{i, done})
			}
		}
		if !j.started && len(op.Tasks)+len(op.Failed)+len(op.Crashes)+len(op.Trials) == 0 {
			continue // an occurrence in the record says that the job has started
		}
		p.Occurrences = append(p.Occurrences, op)
	}
	return p
}

// Saved records that the given version of a job's progress was stored.
func (s *State) Saved(id string, version uint64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.saving = false
	j.savedVersion = max(j.savedVersion, version)
	s.placementChanged = s.placementChanged || len(j.suspects) > 0
	if j.openZones < len(j.otherZones) && j.savedVersion >= j.zonesVersion {
		j.openZones, s.placementChanged = len(j.otherZones), true
	}
	if j.savedVersion == j.version {
		j.visibleState = j.state
		delete(s.dirty, id)
		if j.visibleState.Final() {
			for _, f := range j.watchers {
				f(j.visibleState)
			}
			j.watchers = nil
			if !j.inherited {
				s.releaseEnded(j)
			}
		}
	}
}

// SaveFailed records that a save failed or is unsettled, so that the next plan repeats it.
func (s *State) SaveFailed(id string) {
	if j := s.jobs[id]; j != nil {
		j.saving = false
	}
}

// task returns a task of the occurrence, or nil if there is none.
func (o *occurrence) task(step, index int) *task {
	if step < 0 || step >= len(o.stages) || index < 0 || index >= len(o.stages[step].tasks) {
		return nil
	}
	return &o.stages[step].tasks[index]
}

// find returns the task with the id, or nil if there is none.
func (s *State) find(id TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil {
		return nil
	}
	return o.task(id.Step, id.Index)
}

// sizeOf returns the resources that a task reserves, also if its job has ended, and whether the job is known.
func (s *State) sizeOf(id TaskID) (Size, bool) {
	j := s.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.Steps) {
		return Size{}, false
	}
	return j.Steps[id.Step].reserved(), true
}

// reserved returns the resources that a task of the step reserves on a worker. A backfill task
// reserves no processors.
func (p *Step) reserved() Size {
	size := p.Size
	if p.Backfill {
		size.Processors = 0
	}
	return size
}

// Forget removes the jobs that ended more than Settings.KeepEnded ago and returns their ids in order. It also removes expired tombstones.
func (s *State) Forget(now time.Time) []string {
	maps.DeleteFunc(s.announced, func(_ string, a *announcement) bool { return a.absent })
	s.expireTombstones(now)
	var gone []string
	for id, j := range s.jobs {
		if j.visibleState.Final() && now.Sub(j.endedAt) > s.settings.KeepEnded {
			delete(s.jobs, id)
			delete(s.dirty, id)
			delete(s.scheduled, id)
			delete(s.longRunningJobs, id)
			delete(s.suspectJobs, id)
			s.account(j)
			gone = append(gone, id)
		} else if j.visibleState.Final() && now.Sub(j.endedAt) > endedRunsTime {
			s.releaseEnded(j)
		}
	}
	slices.Sort(gone)
	return gone
}

// logDecision adds a decision to the log.
func (s *State) logDecision(kind string, t TaskID, worker, reason string, run int64) {
	s.decisions = append(s.decisions, Decision{Kind: kind, Job: t.Job, Task: t, Worker: worker, Reason: reason, Run: run})
}
