package jobs

import (
	"cmp"
	"slices"
	"time"
)

// FirstFit is the baseline policy: it places jobs by their declared sizes in the order of View.Jobs and preempts nothing.
type FirstFit struct{}

// Plan returns the actions of one step; each waiting job starts on the first worker with enough free resources.
func (FirstFit) Plan(now time.Time, v View, _ *Evidence) []Action {
	s := newPlanningStep(now, v, &Evidence{})
	s.stopCancelled()
	s.drainWorkers()
	for _, j := range s.startable() {
		if w := s.firstFit(j.Declared); w != "" {
			s.startSized(j, w, j.Declared)
		}
	}
	return s.actions
}

// Learned is the policy that sizes jobs by observed usage, applies quotas, preempts for urgent jobs
// and avoids workers and jobs that keep failing.
type Learned struct{}

// Plan returns the actions of one step.
func (Learned) Plan(now time.Time, v View, e *Evidence) []Action {
	s := newPlanningStep(now, v, e)
	s.stopCancelled()
	s.drainWorkers()
	s.relieveOverloaded()
	for _, j := range s.sortWaiting(s.startable()) {
		s.place(j)
	}
	return s.actions
}

// throttledShare is the share of its processors that a throttled job keeps.
const throttledShare = 0.1

// planningStep is the state of one call of Policy.Plan.
type planningStep struct {
	now            time.Time
	view           View
	evidence       *Evidence
	jobs           map[string]Job
	freeByWorker   map[string]Resources
	endingByWorker map[string]Resources // resources of ending placements that are not yet reserved for a waiting job
	totalCapacity  Resources
	capacities     []Resources          // of all workers, also of those that accept no jobs
	usedByTeam     map[string]Resources // includes ending placements
	placementIndex map[string]int       // index into View.Placements, by job
	actions        []Action
}

func newPlanningStep(now time.Time, v View, e *Evidence) *planningStep {
	s := &planningStep{
		now: now, view: v, evidence: e, jobs: make(map[string]Job), freeByWorker: make(map[string]Resources),
		endingByWorker: make(map[string]Resources), usedByTeam: make(map[string]Resources), placementIndex: make(map[string]int),
	}
	for _, j := range v.Jobs {
		s.jobs[j.Name] = j
	}
	for _, w := range v.Workers {
		s.freeByWorker[w.Name] = w.Capacity
		s.totalCapacity = s.totalCapacity.Add(w.Capacity)
		s.capacities = append(s.capacities, w.Capacity)
	}
	for i, p := range v.Placements {
		s.placementIndex[p.Job] = i
		size := s.sizeOf(p)
		s.freeByWorker[p.Worker] = s.freeByWorker[p.Worker].Sub(size)
		if p.Ending {
			s.endingByWorker[p.Worker] = s.endingByWorker[p.Worker].Add(size)
		}
		s.usedByTeam[s.jobs[p.Job].Team] = s.usedByTeam[s.jobs[p.Job].Team].Add(size)
	}
	return s
}

func (s *planningStep) sizeOf(p Placement) Resources {
	size := s.evidence.Size(s.jobs[p.Job], p.Usage)
	if p.Throttled {
		size.Processors *= throttledShare
	}
	return size
}

func (s *planningStep) addAction(kind ActionKind, job, worker string, reason Reason) {
	s.actions = append(s.actions, Action{kind, job, worker, reason})
}

// stopCancelled stops jobs that are no longer in the view; their resources count as free in the same step.
func (s *planningStep) stopCancelled() {
	for _, p := range s.view.Placements {
		if _, wanted := s.jobs[p.Job]; !wanted && !p.Ending {
			s.addAction(Stop, p.Job, p.Worker, ReasonCancelled)
			s.freeByWorker[p.Worker] = s.freeByWorker[p.Worker].Add(s.sizeOf(p))
		}
	}
}

// drainWorkers checkpoints the jobs, except lost ones, of workers that accept no jobs, and excludes these workers
// and those that are known as bad from placement.
func (s *planningStep) drainWorkers() {
	accepts := make(map[string]bool)
	for _, w := range s.view.Workers {
		accepts[w.Name] = w.AcceptsJobs
	}
	for _, p := range s.view.Placements {
		if _, wanted := s.jobs[p.Job]; wanted && !accepts[p.Worker] && !p.Ending && !p.Lost {
			s.addAction(Checkpoint, p.Job, p.Worker, ReasonWorkerLeaves)
		}
	}
	for _, w := range s.view.Workers {
		if !w.AcceptsJobs || s.evidence.BadWorker(w.Name) {
			delete(s.freeByWorker, w.Name)
		}
	}
}

// relieveOverloaded checkpoints the youngest jobs of workers whose jobs have sizes that add up to more than the capacity.
// Urgent jobs and run-once jobs stay.
func (s *planningStep) relieveOverloaded() {
	youngestFirst := slices.Clone(s.view.Placements)
	slices.SortFunc(youngestFirst, func(a, b Placement) int { return b.Since.Compare(a.Since) })
	for _, p := range youngestFirst {
		free, known := s.freeByWorker[p.Worker]
		j, wanted := s.jobs[p.Job]
		if !known || !wanted || p.Ending || j.Urgent || j.RunOnce || (Resources{}).Fits(free) {
			continue
		}
		s.addAction(Checkpoint, p.Job, p.Worker, ReasonOverloaded)
		s.freeByWorker[p.Worker] = free.Add(s.sizeOf(p))
	}
}

// startable returns the jobs that may be started: those without a placement, and lost ones whose lease
// has expired for certain. A lost run-once job is parked, since its outcome is unknown.
func (s *planningStep) startable() []Job {
	var startable []Job
	for _, j := range s.view.Jobs {
		index, placed := s.placementIndex[j.Name]
		if !placed {
			startable = append(startable, j)
			continue
		}
		p := s.view.Placements[index]
		switch {
		case !p.Lost:
		case j.RunOnce:
			s.addAction(Park, j.Name, p.Worker, ReasonOutcomeUnknown)
		case !s.now.After(p.LeaseEnd.Add(s.view.ClockError)):
			s.addAction(Wait, j.Name, p.Worker, ReasonLease)
		default:
			startable = append(startable, j)
		}
	}
	return startable
}

// sortWaiting sorts urgent jobs first, then by the share of its quota that the job's team uses, then by time of submission.
func (s *planningStep) sortWaiting(waiting []Job) []Job {
	slices.SortStableFunc(waiting, func(a, b Job) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(s.quotaUse(a.Team), s.quotaUse(b.Team)), a.Submitted.Compare(b.Submitted))
	})
	return waiting
}

const fullQuotaPercent = 100

// quotaUse returns the share of its quota that a team uses; above 1 the team borrows from others.
func (s *planningStep) quotaUse(team string) float64 {
	quota, limited := s.view.Quotas[team]
	if !limited {
		quota = fullQuotaPercent
	}
	return s.usedByTeam[team].Share(s.totalCapacity) * fullQuotaPercent / float64(max(1, quota))
}

func (s *planningStep) place(j Job) {
	size := s.evidence.Size(j, Resources{})
	if !s.fitsAnyWorker(size) && !s.evidence.ClassKnown(j.Class) {
		size = s.clampToWorker(size)
	}
	switch {
	case s.evidence.BadJob(j.Name):
		s.addAction(Park, j.Name, "", ReasonBadJob)
	case !s.fitsAnyWorker(size):
		s.addAction(Park, j.Name, "", ReasonTooLarge)
	default:
		s.placeSized(j, size)
	}
}

func (s *planningStep) fitsAnyWorker(size Resources) bool {
	return slices.ContainsFunc(s.capacities, size.Fits)
}

// clampToWorker reduces a declared size to the capacity of the largest worker with enough accelerators,
// so that a job of an unknown class can start once and its usage can be observed.
func (s *planningStep) clampToWorker(size Resources) Resources {
	var largest Resources
	for _, capacity := range s.capacities {
		if size.Accelerators <= capacity.Accelerators && capacity.Processors > largest.Processors {
			largest = capacity
		}
	}
	if largest == (Resources{}) {
		return size
	}
	return Resources{min(size.Processors, largest.Processors), min(size.MemoryMB, largest.MemoryMB), size.Accelerators}
}

func (s *planningStep) placeSized(j Job, size Resources) {
	worker := s.bestFit(j, size)
	if worker == "" && (j.Urgent || s.quotaUse(j.Team) < 1) {
		worker = s.makeRoom(j, size)
	}
	if worker == "" {
		s.addAction(Wait, j.Name, "", ReasonCapacity)
		return
	}
	s.startSized(j, worker, size)
}

func (s *planningStep) startSized(j Job, worker string, size Resources) {
	s.addAction(Start, j.Name, worker, ReasonPlaced)
	s.freeByWorker[worker] = s.freeByWorker[worker].Sub(size)
	s.usedByTeam[j.Team] = s.usedByTeam[j.Team].Add(size)
}

func (s *planningStep) firstFit(size Resources) string {
	for _, w := range s.view.Workers {
		if free, usable := s.freeByWorker[w.Name]; usable && size.Fits(free) {
			return w.Name
		}
	}
	return ""
}

// bestFit returns the worker that would have the smallest share of its capacity left, or "" when the job fits on none.
// Workers on which the job failed are left out.
func (s *planningStep) bestFit(j Job, size Resources) string {
	best, leastLeft := "", 0.0
	for _, w := range s.view.Workers {
		free, usable := s.freeByWorker[w.Name]
		if !usable || !size.Fits(free) || s.evidence.failedOn(j.Name, w.Name) {
			continue
		}
		if left := free.Sub(size).Share(w.Capacity); best == "" || left < leastLeft {
			best, leastLeft = w.Name, left
		}
	}
	return best
}

// makeRoom preempts jobs on one worker: for an urgent job those that are not urgent, for another job
// those of teams that exceed their quotas. It returns the worker if the job can start at once. It
// returns "" if the job must wait for checkpoints to free resources, or if no worker can free enough.
func (s *planningStep) makeRoom(j Job, size Resources) string {
	if s.reserveEnding(size) {
		return ""
	}
	for _, w := range s.view.Workers {
		free, usable := s.freeByWorker[w.Name]
		if !usable || s.evidence.failedOn(j.Name, w.Name) {
			continue
		}
		victims, available := s.victims(j, w.Name, size, free)
		if !size.Fits(available) {
			continue
		}
		s.actions = append(s.actions, victims...)
		if slices.ContainsFunc(victims, func(a Action) bool { return a.Kind == Checkpoint }) {
			s.freeByWorker[w.Name] = available.Sub(size) // reserved for j until the checkpoints end
			return ""
		}
		s.freeByWorker[w.Name] = available
		return w.Name
	}
	return ""
}

// reserveEnding reports whether the job will fit on a worker once the worker's ending jobs are gone.
// If so it reserves the resources, so that nothing else is preempted for the job meanwhile.
func (s *planningStep) reserveEnding(size Resources) bool {
	for _, w := range s.view.Workers {
		free, usable := s.freeByWorker[w.Name]
		ending, some := s.endingByWorker[w.Name]
		if usable && some && size.Fits(free.Add(ending)) {
			s.endingByWorker[w.Name] = ending.Sub(size)
			return true
		}
	}
	return false
}

// victims returns the actions on one worker that make room for a job, and the resources that are free after them.
// They may be too few for the job.
func (s *planningStep) victims(j Job, worker string, size, free Resources) ([]Action, Resources) {
	var victims []Action
	for _, p := range s.view.Placements {
		victim, wanted := s.jobs[p.Job]
		if size.Fits(free) {
			break
		}
		if p.Worker != worker || !wanted || p.Ending || victim.Urgent || s.hasAction(p.Job) {
			continue
		}
		reserved := s.sizeOf(p)
		switch {
		case j.Urgent && !p.Throttled && size.MemoryMB <= free.MemoryMB && size.Accelerators <= free.Accelerators:
			victims = append(victims, Action{Throttle, p.Job, worker, ReasonUrgent})
			free = free.Add(Resources{Processors: reserved.Processors * (1 - throttledShare)})
		case j.Urgent && !victim.RunOnce:
			victims = append(victims, Action{Checkpoint, p.Job, worker, ReasonUrgent})
			free = free.Add(reserved)
		case !j.Urgent && !victim.RunOnce && s.quotaUse(victim.Team) > 1:
			victims = append(victims, Action{Checkpoint, p.Job, worker, ReasonQuota})
			free = free.Add(reserved)
		}
	}
	return victims, free
}

// hasAction reports whether the step already has an action other than Wait for a job.
func (s *planningStep) hasAction(job string) bool {
	return slices.ContainsFunc(s.actions, func(a Action) bool { return a.Job == job && a.Kind != Wait })
}
