package sched

import "time"

// Refusal says why a job is refused and when to come again.
type Refusal struct {
	Refused    bool
	Reason     string
	RetryAfter time.Duration
	Work       float64       // processor-seconds ahead, on which the refusal rests
	Room       float64       // processors for them
	Objective  time.Duration // of the job
}

const (
	// lateFactor times its objective after its submission a job is worth nothing any more (users' pages).
	lateFactor = 3
	// leastRetry is the shortest wait that callers understand.
	leastRetry = time.Second
	// mostRetry keeps callers from waiting longer than a burst lasts (8 s).
	mostRetry = 8 * time.Second
)

// Admit decides whether a job is taken in. It answers the load of a queue that asks for several
// times what all machines hold: a job that can't end while it is worth something is refused at
// once, so that its caller may come back when the queue has drained.
func (s *State) Admit(now time.Time, j Job) Refusal {
	q, known := s.config.Queues[j.Queue]
	if !known {
		return Refusal{Refused: true, Reason: "NoSuchQueue", RetryAfter: leastRetry}
	}
	if !j.plainBatch() {
		return Refusal{}
	}
	room := s.batchRoom(q.Pool)
	if room <= 0 {
		return Refusal{} // nothing is known of the pool yet
	}
	work := s.workWaiting(now, q.Pool) + s.workRunning(now, q.Pool)
	wait := time.Duration(work * lendMargin / room * float64(time.Second))
	objective := s.objective(q, &j)
	chain := j.chain(func(p *Step) time.Duration { return s.estimate(j.Queue, p) })
	if wait+chain <= lateFactor*objective {
		return Refusal{}
	}
	s.arrived(now, &job{Job: j}) // machines must follow the demand of callers who are refused, too
	// The caller's turn comes when the work ahead has shrunk to what the slack of the objective allows.
	retry := wait + chain - objective
	return Refusal{Refused: true, Reason: "Hopeless", RetryAfter: min(mostRetry, max(leastRetry, retry)), Work: work, Room: room, Objective: objective}
}

// plainBatch reports whether a job has neither times nor lasting steps.
func (j *Job) plainBatch() bool {
	return j.Repeats == 0 && !j.lasting()
}

// batchRoom returns the processors for batch tasks that a pool has or can get: it counts the
// machines that it was found to need, as far as there are so many.
func (s *State) batchRoom(pool string) float64 {
	l := s.lendings[pool]
	unit := s.unitOf(pool)
	if l == nil || unit.Processors == 0 {
		return s.listedRoom(pool)
	}
	free := l.machines
	for name, other := range s.lendings {
		if name != pool {
			free += max(0, other.machines-other.need)
		}
	}
	for _, m := range s.machines {
		if s.config.Pools[m.Pool].Spare && !m.Away {
			free++
		}
	}
	machines := max(l.machines, min(l.need, free))
	return (float64(machines*unit.Processors) - l.lasting[0]) / milli
}

// listedRoom returns the processors of a pool's workers, where there is no list of machines.
func (s *State) listedRoom(pool string) float64 {
	room := 0
	for _, w := range s.workers {
		if w.Pool == pool && w.listed && !w.Draining {
			room += w.Capacity.Processors
			for _, r := range w.runs {
				if r.task != nil && r.task.stage.step.Lasting {
					room -= r.size.Processors
				}
			}
		}
	}
	return float64(room) / milli
}

// workWaiting returns the processor-seconds of the waiting batch tasks of the queues that share a pool.
func (s *State) workWaiting(now time.Time, pool string) float64 {
	work := 0.0
	blocked := s.unsettled(now, pool)
	for name, other := range s.queues {
		if s.config.Queues[name].Pool != pool {
			continue
		}
		for _, st := range other.stages {
			if st.step.Lasting || st.step.Fills || st.job.state.Final() || blocked && st.job.inherited {
				continue
			}
			left, _ := s.work(st)
			work += left
		}
	}
	return work
}

// workRunning returns the processor-seconds that are left of a pool's running batch tasks.
func (s *State) workRunning(now time.Time, pool string) float64 {
	work := 0.0
	for _, w := range s.workers {
		if w.Pool != pool {
			continue
		}
		for _, r := range w.runs {
			if r.task == nil || r.task.stage.step.Lasting || r.task.stage.step.Fills {
				continue
			}
			st := r.task.stage
			left := s.estimate(st.job.Queue, st.step) - now.Sub(r.since)
			work += max(0, left.Seconds()) * float64(st.step.Size.Processors) / milli
		}
	}
	return work
}

// WhenShown calls f once the final state of a job is durable.
func (s *State) WhenShown(id string, f func(JobState)) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.shown.Final() {
		f(j.shown)
		return
	}
	j.watchers = append(j.watchers, f)
}
