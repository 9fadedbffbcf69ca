package jobs

import (
	"cmp"
	"slices"
	"time"
)

// FirstFit is the baseline that trusts declared sizes, keeps the order of arrival and never makes room.
type FirstFit struct{}

// Plan starts waiting jobs on the first worker with room.
func (FirstFit) Plan(now time.Time, v View, _ *Evidence) []Action {
	s := newStep(now, v, &Evidence{})
	s.cancel()
	s.vacate()
	for _, j := range s.waiting() {
		if w := s.firstFit(j.Declared); w != "" {
			s.startSized(j, w, j.Declared)
		}
	}
	return s.actions
}

// Learned places by learned sizes and quotas, makes room for urgent jobs and avoids what fails.
type Learned struct{}

// Plan decides one step.
func (Learned) Plan(now time.Time, v View, e *Evidence) []Action {
	s := newStep(now, v, e)
	s.cancel()
	s.vacate()
	s.relieve()
	for _, j := range s.inOrder(s.waiting()) {
		s.place(j)
	}
	return s.actions
}

const throttledShare = 0.1

type step struct {
	now      time.Time
	view     View
	evidence *Evidence
	jobs     map[string]Job
	free     map[string]Resources
	coming   map[string]Resources // room of placements that are ending
	total    Resources
	largest  []Resources
	used     map[string]Resources // by team
	placed   map[string]int       // index in the view by job
	actions  []Action
}

func newStep(now time.Time, v View, e *Evidence) *step {
	s := &step{now: now, view: v, evidence: e, jobs: make(map[string]Job), free: make(map[string]Resources), coming: make(map[string]Resources), used: make(map[string]Resources), placed: make(map[string]int)}
	for _, j := range v.Jobs {
		s.jobs[j.Name] = j
	}
	for _, w := range v.Workers {
		s.free[w.Name] = w.Capacity
		s.total = s.total.Add(w.Capacity)
		s.largest = append(s.largest, w.Capacity)
	}
	for i, p := range v.Placements {
		s.placed[p.Job] = i
		size := s.sizeOf(p)
		s.free[p.Worker] = s.free[p.Worker].Sub(size)
		if p.Leaving {
			s.coming[p.Worker] = s.coming[p.Worker].Add(size)
		}
		s.used[s.jobs[p.Job].Team] = s.used[s.jobs[p.Job].Team].Add(size)
	}
	return s
}

func (s *step) sizeOf(p Placement) Resources {
	size := s.evidence.Size(s.jobs[p.Job], p.Usage)
	if p.Throttled {
		size.Processors *= throttledShare
	}
	return size
}

func (s *step) act(verb Verb, job, worker string, reason Reason) {
	s.actions = append(s.actions, Action{verb, job, worker, reason})
}

// cancel stops jobs that should no longer run; their room counts as free at once.
func (s *step) cancel() {
	for _, p := range s.view.Placements {
		if _, wanted := s.jobs[p.Job]; !wanted && !p.Leaving {
			s.act(Stop, p.Job, p.Worker, ReasonCancelled)
			s.free[p.Worker] = s.free[p.Worker].Add(s.sizeOf(p))
		}
	}
}

// vacate moves jobs off workers that accept no work.
func (s *step) vacate() {
	accepts := make(map[string]bool)
	for _, w := range s.view.Workers {
		accepts[w.Name] = w.Accepts
	}
	for _, p := range s.view.Placements {
		if _, wanted := s.jobs[p.Job]; wanted && !accepts[p.Worker] && !p.Leaving && !p.Lost {
			s.act(Checkpoint, p.Job, p.Worker, ReasonWorkerLeave)
		}
	}
	for _, w := range s.view.Workers {
		if !w.Accepts || s.evidence.BadWorker(w.Name) {
			delete(s.free, w.Name)
		}
	}
}

// relieve moves the youngest jobs that are not urgent off workers whose jobs outgrew them.
func (s *step) relieve() {
	byAge := slices.Clone(s.view.Placements)
	slices.SortFunc(byAge, func(a, b Placement) int { return b.Since.Compare(a.Since) })
	for _, p := range byAge {
		free, known := s.free[p.Worker]
		j, wanted := s.jobs[p.Job]
		if !known || !wanted || p.Leaving || j.Urgent || j.RunOnce || (Resources{}).Fits(free) {
			continue
		}
		s.act(Checkpoint, p.Job, p.Worker, ReasonOverloaded)
		s.free[p.Worker] = free.Add(s.sizeOf(p))
	}
}

// waiting returns the jobs that are not placed and may be started.
func (s *step) waiting() []Job {
	var waiting []Job
	for _, j := range s.view.Jobs {
		at, placed := s.placed[j.Name]
		if !placed {
			waiting = append(waiting, j)
			continue
		}
		p := s.view.Placements[at]
		switch {
		case !p.Lost:
		case j.RunOnce:
			s.act(Park, j.Name, p.Worker, ReasonInDoubt)
		case !s.now.After(p.LeaseEnd.Add(s.view.ClockError)):
			s.act(Wait, j.Name, p.Worker, ReasonLease)
		default:
			waiting = append(waiting, j)
		}
	}
	return waiting
}

// inOrder sorts urgent jobs first, then those of the teams that use least of their quota, then by age.
func (s *step) inOrder(waiting []Job) []Job {
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

const fullQuota = 100

// quotaUse returns the share of its quota that a team uses; more than 1 is borrowed.
func (s *step) quotaUse(team string) float64 {
	quota, limited := s.view.Quotas[team]
	if !limited {
		quota = fullQuota
	}
	return s.used[team].Share(s.total) * fullQuota / float64(max(1, quota))
}

func (s *step) place(j Job) {
	size := s.evidence.Size(j, Resources{})
	if !s.fitsSomewhere(size) && !s.evidence.Learned(j.Class) {
		size = s.clamp(size)
	}
	switch {
	case s.evidence.BadJob(j.Name):
		s.act(Park, j.Name, "", ReasonBadJob)
	case !s.fitsSomewhere(size):
		s.act(Park, j.Name, "", ReasonTooLarge)
	default:
		s.placeSized(j, size)
	}
}

func (s *step) fitsSomewhere(size Resources) bool {
	return slices.ContainsFunc(s.largest, size.Fits)
}

// clamp reduces a size that was only declared to the largest worker with as many accelerators,
// so that the job can show what it uses.
func (s *step) clamp(size Resources) Resources {
	var largest Resources
	for _, capacity := range s.largest {
		if size.Accelerators <= capacity.Accelerators && capacity.Processors > largest.Processors {
			largest = capacity
		}
	}
	if largest == (Resources{}) {
		return size
	}
	return Resources{min(size.Processors, largest.Processors), min(size.MemoryMB, largest.MemoryMB), size.Accelerators}
}

func (s *step) placeSized(j Job, size Resources) {
	worker := s.bestFit(j, size)
	if worker == "" && (j.Urgent || s.quotaUse(j.Team) < 1) {
		worker = s.makeRoom(j, size)
	}
	if worker == "" {
		s.act(Wait, j.Name, "", ReasonCapacity)
		return
	}
	s.startSized(j, worker, size)
}

func (s *step) startSized(j Job, worker string, size Resources) {
	s.act(Start, j.Name, worker, ReasonPlaced)
	s.free[worker] = s.free[worker].Sub(size)
	s.used[j.Team] = s.used[j.Team].Add(size)
}

func (s *step) firstFit(size Resources) string {
	for _, w := range s.view.Workers {
		if free, usable := s.free[w.Name]; usable && size.Fits(free) {
			return w.Name
		}
	}
	return ""
}

// bestFit returns the worker that is left with least room, avoiding those on which the job failed.
func (s *step) bestFit(j Job, size Resources) string {
	best, least := "", 0.0
	for _, w := range s.view.Workers {
		free, usable := s.free[w.Name]
		if !usable || !size.Fits(free) || s.evidence.failedOn(j.Name, w.Name) {
			continue
		}
		if left := free.Sub(size).Share(w.Capacity); best == "" || left < least {
			best, least = w.Name, left
		}
	}
	return best
}

// makeRoom frees a worker for a job: an urgent one throttles what is not urgent, another one
// takes back what teams borrowed beyond their quotas. It returns the worker when the job can
// start at once; room that a checkpoint frees is used by a later step.
func (s *step) makeRoom(j Job, size Resources) string {
	if s.awaitsRoom(size) {
		return ""
	}
	for _, w := range s.view.Workers {
		free, usable := s.free[w.Name]
		if !usable || s.evidence.failedOn(j.Name, w.Name) {
			continue
		}
		victims, room := s.victims(j, w.Name, size, free)
		if !size.Fits(room) {
			continue
		}
		s.actions = append(s.actions, victims...)
		if slices.ContainsFunc(victims, func(a Action) bool { return a.Verb == Checkpoint }) {
			s.free[w.Name] = room.Sub(size) // reserved until the checkpoints end
			return ""
		}
		s.free[w.Name] = room
		return w.Name
	}
	return ""
}

// awaitsRoom reports whether a worker will have room once its ending jobs are gone, and reserves it.
func (s *step) awaitsRoom(size Resources) bool {
	for _, w := range s.view.Workers {
		free, usable := s.free[w.Name]
		coming, some := s.coming[w.Name]
		if usable && some && size.Fits(free.Add(coming)) {
			s.coming[w.Name] = coming.Sub(size)
			return true
		}
	}
	return false
}

func (s *step) victims(j Job, worker string, size, free Resources) ([]Action, Resources) {
	var victims []Action
	for _, p := range s.view.Placements {
		victim, wanted := s.jobs[p.Job]
		if size.Fits(free) {
			break
		}
		if p.Worker != worker || !wanted || p.Leaving || victim.Urgent || s.acted(p.Job) {
			continue
		}
		held := s.sizeOf(p)
		switch {
		case j.Urgent && !p.Throttled && size.MemoryMB <= free.MemoryMB && size.Accelerators <= free.Accelerators:
			victims = append(victims, Action{Throttle, p.Job, worker, ReasonUrgent})
			free = free.Add(Resources{Processors: held.Processors * (1 - throttledShare)})
		case j.Urgent && !victim.RunOnce:
			victims = append(victims, Action{Checkpoint, p.Job, worker, ReasonUrgent})
			free = free.Add(held)
		case !j.Urgent && !victim.RunOnce && s.quotaUse(victim.Team) > 1:
			victims = append(victims, Action{Checkpoint, p.Job, worker, ReasonQuota})
			free = free.Add(held)
		}
	}
	return victims, free
}

// acted reports whether the step already asks something of a placed job.
func (s *step) acted(job string) bool {
	return slices.ContainsFunc(s.actions, func(a Action) bool { return a.Job == job && a.Verb != Wait })
}
