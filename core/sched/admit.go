package sched

import "time"

// Admission is the decision on a job's admission: whether it is refused, why, and when to try again.
type Admission struct {
	Refused    bool
	Reason     string
	RetryAfter time.Duration
	WorkAhead  float64       // processor-seconds of work ahead of the job, on which the refusal is based; of its account if accounts compete
	Processors float64       // processors available for that work
	Objective  time.Duration // latency objective of the job
	FirstSent  time.Time     // the earliest time at which the job is known to have been sent; set if accounts compete
	Rate       float64       // jobs that the account submits per second
	Share      float64       // processors of the account while all accounts with work compete
}

const (
	// worthlessFactor is the multiple of its latency objective after which a job's result is worth nothing to its
	// caller; it comes from the users' requirements.
	worthlessFactor = 3
	// minRetryAfter is one second because Retry-After has a resolution of 1 s.
	minRetryAfter = time.Second
	// maxRetryAfter keeps callers from waiting longer than a burst lasts (8 s).
	maxRetryAfter = 8 * time.Second
)

// Admit decides whether a job is accepted. When a queue asks for several times the capacity of all machines, a job
// that could only end after its result is worth nothing is refused at once, so that its caller may submit it again
// when the queue has drained.
func (s *State) Admit(now time.Time, j Job) Admission {
	q, known := s.config.Queues[j.Queue]
	if !known {
		return Admission{Refused: true, Reason: "NoSuchQueue", RetryAfter: minRetryAfter}
	}
	if s.ExceedsCap(j) {
		return Admission{Refused: true, Reason: "ExceedsCap", RetryAfter: maxRetryAfter} // until the cap grows
	}
	if !j.unscheduledBatch() {
		return Admission{}
	}
	processors := s.batchProcessors(q.Pool)
	if processors <= 0 {
		return Admission{} // no worker or machine of the pool is known yet
	}
	if len(s.config.Accounts) > 0 {
		return s.admitByAccount(now, &j, q, processors)
	}
	work := s.waitingWork(now, q.Pool) + s.runningWork(now, q.Pool)
	wait := time.Duration(work * packingMargin / processors * float64(time.Second))
	objective := s.objective(q, &j)
	criticalPath := j.criticalPath(func(p *Step) time.Duration { return s.stepTime(j.Queue, p) })
	if wait+criticalPath <= worthlessFactor*objective {
		return Admission{}
	}
	s.recordArrival(now, &job{Job: j}) // refused jobs count as demand too, so that machines move to the pool
	// A retry can end in time once the wait for the work ahead fits into the objective together with the critical path.
	retry := wait + criticalPath - objective
	return Admission{Refused: true, Reason: "Hopeless", RetryAfter: min(maxRetryAfter, max(minRetryAfter, retry)), WorkAhead: work, Processors: processors, Objective: objective}
}

// unscheduledBatch reports whether a job has neither a schedule nor long-running steps.
func (j *Job) unscheduledBatch() bool {
	return j.Repeats == 0 && !j.longRunning()
}

// batchProcessors returns the number of processors that a pool has or can get for batch tasks. It counts the machines
// that the pool needs, as far as there are machines for all pools that need them.
func (s *State) batchProcessors(pool string) float64 {
	l := s.demands[pool]
	unit := s.machineSize(pool)
	if l == nil || unit.Processors == 0 {
		return s.listedProcessors(pool)
	}
	machines := max(l.machines, l.share)
	return (float64(machines*unit.Processors) - l.longRunning[0]) / milliPerCore
}

// listedProcessors returns the number of processors for batch tasks on a pool's listed workers. It serves where no
// list of machines is available.
func (s *State) listedProcessors(pool string) float64 {
	milliCores := 0
	for _, w := range s.workers {
		if w.Pool == pool && w.listed && !w.Draining {
			milliCores += w.Capacity.Processors
			for _, r := range w.runs {
				if r.task != nil && r.task.stage.step.LongRunning {
					milliCores -= r.size.Processors
				}
			}
		}
	}
	return float64(milliCores) / milliPerCore
}

// waitingWork returns the processor-seconds of the waiting batch tasks of all queues that share a pool.
func (s *State) waitingWork(now time.Time, pool string) float64 {
	work := 0.0
	s.admissions++
	s.eachWaiting(now, pool, func(_ string, st *stage) {
		o := st.occurrence
		if o.admission != s.admissions {
			o.admission = s.admissions
			o.waitingWork, _ = s.occurrenceWork(o)
		}
		work += o.waitingWork
	})
	return work
}

// eachWaiting calls f for each stage of batch tasks that wait in the queues of a pool, with the name of its queue. Stages
// whose job may have runs that this owner has not seen are left out.
func (s *State) eachWaiting(now time.Time, pool string, f func(queue string, st *stage)) {
	unseen := s.unseenPools(now)
	for name, q := range s.queues {
		if s.config.Queues[name].Pool != pool {
			continue
		}
		for _, st := range q.stages {
			if st.step.LongRunning || st.step.Backfill || st.job.state.Final() || s.hasUnseenRuns(st.job, unseen) {
				continue
			}
			f(name, st)
		}
	}
}

// runningWork returns the remaining processor-seconds of a pool's running batch tasks.
func (s *State) runningWork(now time.Time, pool string) float64 {
	work := 0.0
	s.eachRunning(now, pool, func(_ *stage, left float64) { work += left })
	return work
}

// eachRunning calls f for each running batch task of a pool, with its stage and its remaining processor-seconds.
func (s *State) eachRunning(now time.Time, pool string, f func(*stage, float64)) {
	for _, w := range s.workers {
		if w.Pool != pool {
			continue
		}
		for _, r := range w.runs {
			if r.task == nil || r.task.stage.step.LongRunning || r.task.stage.step.Backfill {
				continue
			}
			st := r.task.stage
			left := s.remaining(now, r)
			f(st, max(0, left.Seconds())*float64(st.step.Size.Processors)/milliPerCore)
		}
	}
}

// WhenFinal calls f once the final state of a job is durable. It does nothing for an unknown job.
func (s *State) WhenFinal(id string, f func(JobState)) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.visibleState.Final() {
		f(j.visibleState)
		return
	}
	j.watchers = append(j.watchers, f)
}
