package sched

import (
	"slices"
	"time"
)

// runShift leaves room for a thousand runs of a task under one fencing token.
const runShift = 10

// State is all that the owner knows; it is not safe for concurrent use.
type State struct {
	fence    uint64
	settings Settings
	config   Config
	jobs     map[string]*job
	queues   map[string]*queue
	workers  map[string]*worker
	waves    map[int64]*wave
	waved    map[int64]WaveStatus // what earlier owners stored
	machines map[string]Machine
	dirty    map[string]*job
	// scheduled holds the jobs with times that have occurrences to come.
	scheduled map[string]*job
	standing  map[string]*job     // jobs with lasting steps
	lendings  map[string]*lending // by pool
	moves     map[string]*move    // by machine
	taken     map[string]taken    // by machine
	learned   map[string]*learned // by queue
	active    bool                // a job has come
	promised  map[string]Size     // room given away to tasks that make way, in the plan at vacated
	vacated   time.Time
	// refusedMoves holds the moves that the machines' interface called impossible.
	refusedMoves map[moveTarget]bool
	notes        []Note
	deposed      bool
	changed      bool      // something that placement depends on has changed
	placed       time.Time // when tasks were placed last
	barrier      time.Time // after it, no run of an earlier owner can be left
	confirmed    time.Time // no other entry can be the owner before then
	machined     time.Time // when the list of machines was asked for last
	listedAt     time.Time // when it was read last
	fleetChanged bool      // something that waves or moves wait for has changed
	fleetPlanned time.Time // when waves and moves were planned last
	inOrderOfID  []*worker // all workers; nil after one came or went
}

// queue holds the steps of one queue that have tasks to place.
type queue struct {
	stages  []*stage
	waiting int // accepted jobs without times of which nothing has started
}

type job struct {
	Job
	state     JobState
	shown     JobState // the durable state
	accepted  time.Time
	inherited bool // accepted before this owner's time
	started   bool // some task has started
	runs      map[int]*occurrence
	next      int // index of the next occurrence to create
	version   uint64
	saved     uint64
	saving    bool
	ended     time.Time
	whole     []int // occurrences that are done
	watchers  []func(JobState)
}

type occurrence struct {
	index  int
	due    time.Time
	stages []*stage
	left   int // steps that are not done
}

// stage is one step of one occurrence.
type stage struct {
	job        *job
	occurrence *occurrence
	index      int
	step       *Step
	tasks      []task
	left       int // tasks that are not done
	blocked    int // steps that must be done first
	queued     bool
	gangRun    int64
	tickets    map[string]ticket
	asked      time.Time
	asking     bool
}

type ticket struct {
	text  string
	until time.Time
}

// task is one unit of work.
type task struct {
	stage   *stage
	index   int
	done    bool
	lastRun int64
	run     *run
	saved   string
	failed  []int64 // failed runs
	avoid   []string
}

func (t *task) id() TaskID {
	return TaskID{t.stage.job.ID, t.stage.occurrence.index, t.stage.index, t.index}
}

// waiting counts the step's tasks that should be placed.
func (st *stage) waiting() int {
	n := 0
	for i := range st.tasks {
		n += boolInt(st.tasks[i].waits())
	}
	return n
}

// waits reports whether the task should be placed.
func (t *task) waits() bool { return !t.done && t.run == nil }

// New returns the state of an owner that begins at now with a fencing token.
func New(now time.Time, fence uint64, settings Settings) *State {
	return &State{
		fence: fence, settings: settings,
		jobs: make(map[string]*job), queues: make(map[string]*queue), workers: make(map[string]*worker),
		waves: make(map[int64]*wave), waved: make(map[int64]WaveStatus), machines: make(map[string]Machine), dirty: make(map[string]*job),
		lendings: make(map[string]*lending), moves: make(map[string]*move), taken: make(map[string]taken), learned: make(map[string]*learned), refusedMoves: make(map[moveTarget]bool), scheduled: make(map[string]*job), standing: make(map[string]*job), promised: make(map[string]Size),
		barrier: now.Add(oldOwnerPatience + lapseBound(settings.hold())),
	}
}

// oldOwnerPatience is how long after a successor's begin an owner that is out of the platform's reach
// may go on: it gives up 4 s after its last renewal, and its lease has ended 1.5 s after that.
const oldOwnerPatience = 2700 * time.Millisecond

// Deposed reports whether a worker or the machines' interface has seen a higher fencing token.
func (s *State) Deposed() bool { return s.deposed }

// SetConfig puts a newer configuration in force.
func (s *State) SetConfig(c Config) {
	if c.Version < s.config.Version {
		return
	}
	s.config = c
	s.changed = true
}

func (s *State) queueOf(name string) *queue {
	q := s.queues[name]
	if q == nil {
		q = &queue{}
		s.queues[name] = q
	}
	return q
}

// AddJob takes in an accepted job with its durable progress; a known job is left alone.
//
// Inherited says that an earlier owner may have started some of its tasks.
func (s *State) AddJob(now time.Time, description Job, p Progress, inherited bool) {
	if _, known := s.jobs[description.ID]; known {
		return
	}
	j := &job{Job: description, state: Pending, shown: Pending, accepted: description.Accepted, inherited: inherited, runs: make(map[int]*occurrence)}
	if j.accepted.IsZero() || j.accepted.After(now) {
		j.accepted = now
	}
	s.jobs[j.ID] = j
	s.changed = true
	if p.State.Final() {
		j.state, j.shown, j.ended = p.State, p.State, p.Ended
	}
	done := make(map[int]OccurrenceProgress, len(p.Occurrences))
	for _, o := range p.Occurrences {
		done[o.Index] = o
		if o.Whole {
			j.whole = append(j.whole, o.Index)
		}
	}
	j.started = len(p.Occurrences) > 0
	if j.state.Final() {
		return
	}
	if j.plain() && !j.started {
		s.queueOf(j.Queue).waiting++
	}
	s.advance(now, j, done)
	if !j.plain() {
		s.scheduled[j.ID] = j
	}
	if j.lasting() {
		s.standing[j.ID] = j
	}
	s.arrived(now, j)
}

// lasting reports whether some step of the job runs until the job is cancelled.
func (j *Job) lasting() bool {
	return slices.ContainsFunc(j.Steps, func(p Step) bool { return p.Lasting })
}

func (j *job) plain() bool { return j.Repeats == 0 }

// total returns how many occurrences a job has.
func (j *job) total() int { return max(1, j.Repeats) }

// dueAt returns when an occurrence is due.
func (j *job) dueAt(occurrence int) time.Time {
	if j.plain() {
		return j.accepted
	}
	return j.First.Add(time.Duration(occurrence) * j.Interval)
}

// advance creates the occurrences that are due.
func (s *State) advance(now time.Time, j *job, done map[int]OccurrenceProgress) {
	for !j.state.Final() && j.next < j.total() && !now.Before(j.dueAt(j.next)) {
		k := j.next
		j.next++
		if done[k].Whole {
			continue
		}
		s.createOccurrence(now, j, k, done[k])
	}
}

func (s *State) createOccurrence(now time.Time, j *job, k int, p OccurrenceProgress) {
	o := &occurrence{index: k, due: j.dueAt(k), left: len(j.Steps)}
	j.runs[k] = o
	for i := range j.Steps {
		st := &stage{job: j, occurrence: o, index: i, step: &j.Steps[i], left: j.Steps[i].Count, blocked: len(j.Steps[i].After)}
		st.tasks = make([]task, st.step.Count)
		for n := range st.tasks {
			st.tasks[n] = task{stage: st, index: n}
		}
		o.stages = append(o.stages, st)
	}
	for _, f := range p.Failed {
		if f.Step < len(o.stages) && f.Index < len(o.stages[f.Step].tasks) {
			t := &o.stages[f.Step].tasks[f.Index]
			t.failed = append(t.failed, f.Run)
			t.lastRun = max(t.lastRun, f.Run)
		}
	}
	for _, st := range o.stages {
		s.enqueue(st)
	}
	for _, d := range p.Tasks {
		if d.Step >= len(o.stages) {
			continue
		}
		for _, n := range d.Done {
			if n < len(o.stages[d.Step].tasks) {
				s.finish(now, &o.stages[d.Step].tasks[n])
			}
		}
	}
}

// enqueue puts a step whose turn has come into its queue.
func (s *State) enqueue(st *stage) {
	if st.queued || st.blocked > 0 || st.job.state.Final() || st.left == 0 {
		return
	}
	st.queued = true
	q := s.queueOf(st.job.Queue)
	q.stages = append(q.stages, st)
	s.changed = true
}

// finish marks a task done and opens the steps that waited for it.
func (s *State) finish(now time.Time, t *task) {
	if t.done {
		return
	}
	t.done = true
	if t.run != nil {
		t.run.worker.attend()
	}
	st := t.stage
	st.left--
	s.touch(st.job)
	if st.left > 0 {
		return
	}
	o := st.occurrence
	o.left--
	for _, next := range o.stages {
		if slices.Contains(next.step.After, st.index) {
			next.blocked--
			s.enqueue(next)
		}
	}
	if o.left > 0 {
		return
	}
	j := st.job
	j.whole = append(j.whole, o.index)
	delete(j.runs, o.index)
	if len(j.whole) == j.total() {
		s.end(now, j, Completed)
	}
}

// end gives a job its final state; what still runs of it is stopped by the next plan.
func (s *State) end(now time.Time, j *job, state JobState) {
	if j.state.Final() {
		return
	}
	s.markStarted(j)
	j.state, j.ended = state, now
	for _, o := range j.runs {
		o.attend()
	}
	s.notes = append(s.notes, Note{What: "JobEnded", Job: j.ID, Reason: string(state) + " after " + now.Sub(j.accepted).Round(time.Millisecond).String()})
	s.touch(j)
	s.changed = true
}

// attend makes the next plan examine the workers that run tasks of the occurrence.
func (o *occurrence) attend() {
	for _, st := range o.stages {
		for i := range st.tasks {
			if r := st.tasks[i].run; r != nil {
				r.worker.attend()
			}
		}
	}
}

// touch notes that a job's progress must be stored.
func (s *State) touch(j *job) {
	j.version++
	s.dirty[j.ID] = j
}

func (s *State) markStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	if j.plain() {
		s.queueOf(j.Queue).waiting--
	}
	if j.state == Pending {
		j.state = Running
		if j.shown == Pending {
			j.shown = Running
		}
	}
}

// Cancel ends a job and reports whether the job is known.
func (s *State) Cancel(now time.Time, id string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.end(now, j, Cancelled)
	return true
}

// JobState returns the state of a job as callers may see it, which is what is durable.
func (s *State) JobState(id string) (JobState, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	return j.shown, true
}

// Waiting returns the number of a queue's accepted jobs of which nothing has started.
func (s *State) Waiting(queue string) int {
	q := s.queues[queue]
	if q == nil {
		return 0
	}
	return q.waiting
}

// progress returns what must be stored of a job.
func (j *job) progress() Progress {
	p := Progress{State: j.state, Ended: j.ended}
	if j.state.Final() {
		return p
	}
	for _, k := range j.whole {
		p.Occurrences = append(p.Occurrences, OccurrenceProgress{Index: k, Whole: true})
	}
	for k := range j.next {
		o := j.runs[k]
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
				for _, f := range st.tasks[n].failed {
					op.Failed = append(op.Failed, FailedRun{i, n, f})
				}
			}
			if len(done) > 0 {
				op.Tasks = append(op.Tasks, TaskProgress{i, done})
			}
		}
		p.Occurrences = append(p.Occurrences, op)
	}
	return p
}

// Saved records that a version of a job's progress is durable.
func (s *State) Saved(id string, version uint64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.saving = false
	j.saved = max(j.saved, version)
	if j.saved == j.version {
		j.shown = j.state
		delete(s.dirty, id)
		if j.shown.Final() {
			for _, f := range j.watchers {
				f(j.shown)
			}
			j.watchers = nil
		}
	}
}

// SaveFailed records that a save had no certain result and must be repeated.
func (s *State) SaveFailed(id string) {
	if j := s.jobs[id]; j != nil {
		j.saving = false
	}
}

// find returns the task with a name, or nil.
func (s *State) find(id TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.runs[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.stages) || id.Index < 0 || id.Index >= len(o.stages[id.Step].tasks) {
		return nil
	}
	return &o.stages[id.Step].tasks[id.Index]
}

// sizeOf returns the size of a task, also of one whose job has ended.
func (s *State) sizeOf(id TaskID) (Size, bool) {
	j := s.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.Steps) {
		return Size{}, false
	}
	return j.Steps[id.Step].reserved(), true
}

// reserved returns what a task of the step takes from a worker's capacity.
func (p *Step) reserved() Size {
	size := p.Size
	if p.Fills {
		size.Processors = 0
	}
	return size
}

// Forget drops jobs whose states were kept long enough, and returns their ids.
func (s *State) Forget(now time.Time) []string {
	var gone []string
	for id, j := range s.jobs {
		if j.shown.Final() && now.Sub(j.ended) > s.settings.KeepEnded {
			delete(s.jobs, id)
			delete(s.dirty, id)
			delete(s.scheduled, id)
			delete(s.standing, id)
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

func (s *State) note(what string, t TaskID, worker, reason string, run int64) {
	s.notes = append(s.notes, Note{What: what, Job: t.Job, Task: t, Worker: worker, Reason: reason, Run: run})
}
