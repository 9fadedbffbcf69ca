package sched

import "time"

// Refusal says why a job is refused and when to come again.
type Refusal struct {
	Refused    bool
	Reason     string
	RetryAfter time.Duration
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
	ahead, all := s.workAhead(now, &j)
	busy := s.workRunning(now, q.Pool)
	ahead, all = ahead+busy, all+busy
	objective := s.objective(q, &j)
	chain := j.chain(func(p *Step) time.Duration { return s.estimate(j.Queue, p) })
	drain := func(work, room float64) time.Duration {
		return time.Duration(work * lendMargin / room * float64(time.Second))
	}
	if drain(ahead, room)+chain <= objective {
		return Refusal{}
	}
	// A job that can't be in time gets the room that those leave over that can.
	l := s.lendingOf(q.Pool)
	l.decay(now)
	if left := room - l.arrival[0]/milli; left > 0 && drain(all, left)+chain <= lateFactor*objective {
		return Refusal{}
	}
	s.arrived(now, &job{Job: j}) // machines must follow the demand of callers who are refused, too
	// Its turn comes when the work ahead has shrunk to what the slack of its objective allows.
	retry := drain(ahead, room) + chain - objective
	return Refusal{Refused: true, Reason: "Hopeless", RetryAfter: min(mostRetry, max(leastRetry, retry))}
}

// plainBatch reports whether a job has neither times nor lasting steps.
func (j *Job) plainBatch() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return false
		}
	}
	return j.Repeats == 0
}

// batchRoom returns the processors that a pool's machines, those on their way included, have for batch tasks.
func (s *State) batchRoom(pool string) float64 {
	l := s.lendings[pool]
	if l == nil {
		return 0
	}
	machines := l.machines
	if len(s.machines) == 0 {
		machines = 0
		for _, w := range s.workers {
			machines += boolInt(w.Pool == pool && w.listed && !w.Draining)
		}
	}
	unit := s.unitOf(pool)
	if unit.Processors == 0 {
		for _, w := range s.workers {
			if w.Pool == pool {
				unit = w.Capacity
			}
		}
	}
	return (float64(machines*unit.Processors) - l.lasting[0]) / milli
}

// workAhead returns the processor-seconds of waiting tasks that come before a job, and of all that
// wait, in the queues that share its pool.
func (s *State) workAhead(now time.Time, j *Job) (ahead, all float64) {
	q := s.config.Queues[j.Queue]
	effort := 0.0
	for i := range j.Steps {
		effort += s.estimate(j.Queue, &j.Steps[i]).Seconds() * float64(j.Steps[i].Size.Processors*j.Steps[i].Count) / milli
	}
	effort /= smallJobWorth + effort/s.meanWork(j.Queue)
	blocked := s.unsettled(now, q.Pool)
	for name, other := range s.queues {
		if s.config.Queues[name].Pool != q.Pool {
			continue
		}
		for _, st := range other.stages {
			if st.step.Lasting || st.job.state.Final() || blocked && st.job.inherited {
				continue
			}
			left, _ := s.work(st)
			all += left
			r := s.rankOf(now, st)
			if r.group == groupInTime && (r.priority < q.Priority || r.priority == q.Priority && r.effort <= effort) {
				ahead += left
			}
		}
	}
	return ahead, all
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
