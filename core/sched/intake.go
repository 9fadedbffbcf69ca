package sched

import (
	"time"

	"daisysaddle/core/intake"
)

// loadInterval is how long the load of a pool serves for admissions before it is summed up again. Admitted jobs are added at once.
const loadInterval = 50 * time.Millisecond

// accountIntake is what the admission by accounts keeps.
type accountIntake struct {
	controller *intake.Controller
	loads      map[string]poolLoad // by pool
}

// poolLoad is the load of a pool as of a time.
type poolLoad struct {
	*intake.Load
	at time.Time
}

// admitByAccount decides on a job of a pool for which accounts compete.
func (s *State) admitByAccount(now time.Time, j *Job, q Queue, processors float64) Admission {
	if s.intake.controller == nil {
		s.intake.controller = intake.NewController(intake.Limits{Window: s.settings.RateWindow, Overage: s.settings.RateOverage, Slack: s.settings.RateSlack})
		s.intake.loads = make(map[string]poolLoad)
	}
	path := j.criticalPath(func(p *Step) time.Duration { return s.stepTime(j.Queue, p) })
	objective := q.objective(path)
	work, need := s.jobWork(j)
	account, known := s.config.Accounts[j.Account]
	l := s.loadOf(now, q.Pool, processors)
	d := s.intake.controller.Decide(now, intake.Request{
		ID: j.ID, Account: j.Account, Pool: q.Pool, Work: work, Path: path, Objective: objective, Worthless: worthlessFactor * objective, Sent: j.Accepted,
		Start: j.startProcessors(), Weight: s.accountWeight(j.Account), Rated: known, Processors: s.capProcessors(account, work, need),
	}, l.Load)
	a := Admission{FirstSent: d.FirstSent, Rate: d.Rate, Share: d.Share, Processors: processors, Objective: objective, WorkAhead: d.WorkAhead}
	if d.Reason == "" {
		return a
	}
	if d.First {
		s.recordArrival(now, &job{Job: *j}) // refused jobs count as demand too, so that machines move to the pool
	}
	a.Refused, a.Reason, a.RetryAfter = true, string(d.Reason), d.RetryAfter
	return a
}

// accountWeight returns an account's weight, and that of a mean account for jobs without one.
func (s *State) accountWeight(name string) float64 {
	if a, known := s.config.Accounts[name]; known {
		return a.Weight
	}
	sum := 0.0
	for _, a := range s.config.Accounts {
		sum += a.Weight
	}
	return sum / float64(len(s.config.Accounts))
}

// jobWork returns the processor-seconds of a job's batch tasks, and their resource-seconds.
func (s *State) jobWork(j *Job) (work float64, need vector) {
	for i := range j.Steps {
		step := &j.Steps[i]
		if step.Backfill {
			continue
		}
		need = need.addScaled(step.reserved().vector(), s.estimate(j.Queue, step).Seconds()*float64(step.Count))
	}
	return need[0] / milliPerCore, need
}

// capProcessors returns the number of processors that an account's cap leaves for batch jobs of a shape, by the scarcest
// resource, and zero if the cap does not limit them.
func (s *State) capProcessors(a Account, work float64, need vector) float64 {
	limit := a.Cap.vector()
	if limit == (vector{}) || work <= 0 {
		return 0
	}
	lasting := s.lastingOf(a.Name)
	most := 0.0
	for i := range need {
		if limit[i] <= 0 || need[i] <= 0 {
			continue
		}
		processors := max(limit[i]-lasting[i], 1) / need[i] * work
		if most == 0 || processors < most {
			most = processors
		}
	}
	return most
}

// lastingOf returns the resources of an account's long-running tasks, running or not.
func (s *State) lastingOf(account string) vector {
	var sum vector
	for _, j := range s.longRunningJobs {
		if j.Account != account || j.state.Final() {
			continue
		}
		for i := range j.Steps {
			if step := &j.Steps[i]; step.LongRunning {
				sum = sum.addScaled(step.reserved().vector(), float64(step.Count))
			}
		}
	}
	return sum
}

// loadOf returns the load of a pool, which it sums up again after loadInterval.
func (s *State) loadOf(now time.Time, pool string, processors float64) poolLoad {
	l, known := s.intake.loads[pool]
	if known && now.Sub(l.at) < loadInterval {
		l.Processors = processors / packingMargin
		return l
	}
	l = poolLoad{&intake.Load{Processors: processors / packingMargin, Contended: true, Accounts: make(map[string]intake.Backlog)}, now}
	if p := s.demands[pool]; p != nil {
		p.decayRates(now)
		l.Arrivals = p.longRate[0] / milliPerCore
		// Without a list of machines the pool gets no more.
		l.Contended = len(s.machines) == 0 || p.need > p.share
	}
	l.Free = s.freeProcessors(now, pool)
	s.sumWaiting(now, pool, l.Accounts)
	s.sumRunning(now, pool, l.Accounts)
	s.intake.controller.Settle(now, func(id string) bool { return s.jobs[id] != nil })
	s.intake.controller.AddPending(pool, l.Load)
	s.intake.loads[pool] = l
	return l
}

// startProcessors returns the processors that the tasks of the steps take that wait for no others.
func (j *Job) startProcessors() float64 {
	n := 0
	for i := range j.Steps {
		if step := &j.Steps[i]; len(step.After) == 0 {
			n += step.reserved().Processors * step.Count
		}
	}
	return float64(n) / milliPerCore
}

// freeProcessors returns the processors of a pool's usable workers that neither runs nor waiting tasks of steps that could start take.
func (s *State) freeProcessors(now time.Time, pool string) float64 {
	n := 0
	for _, w := range s.workers {
		if w.Pool == pool && w.usable(now) {
			n += max(0, w.free().Processors)
		}
	}
	for name, q := range s.queues {
		if s.config.Queues[name].Pool != pool {
			continue
		}
		for _, st := range q.stages {
			n -= st.waitingTasks() * st.step.reserved().Processors
		}
	}
	return float64(max(0, n)) / milliPerCore
}

// sumWaiting adds the waiting batch work of a pool to the backlogs of its accounts.
func (s *State) sumWaiting(now time.Time, pool string, sums map[string]intake.Backlog) {
	s.admissions++
	s.eachWaiting(now, pool, func(queue string, st *stage) {
		s.addWaiting(now, st, sums)
		if l := &st.occurrence.outlook; len(l.remaining) <= st.index || !now.Add(l.remaining[st.index]).After(l.due) {
			b := sums[st.job.Account]
			b.Waiting += s.cost(queue, st.step) * float64(st.waitingTasks())
			sums[st.job.Account] = b
		}
	})
}

// addWaiting adds the waiting work of a stage's occurrence, once, to the backlog of its account.
func (s *State) addWaiting(now time.Time, st *stage, sums map[string]intake.Backlog) {
	o := st.occurrence
	if o.admission == s.admissions {
		return
	}
	o.admission = s.admissions
	work, _ := s.occurrenceWork(o)
	b := s.backlogOf(st.job.Account, sums)
	if l := &o.outlook; len(l.remaining) > st.index && now.Add(l.remaining[st.index]).After(l.due) {
		b.Late += work
	} else {
		b.OnTime += work
	}
	sums[st.job.Account] = b
}

// sumRunning adds the remaining work of a pool's running batch tasks, and that of the tasks that wait for them, to the
// backlogs of their accounts.
func (s *State) sumRunning(now time.Time, pool string, sums map[string]intake.Backlog) {
	s.eachRunning(now, pool, func(st *stage, left float64) {
		b := s.backlogOf(st.job.Account, sums)
		b.OnTime += left
		sums[st.job.Account] = b
		if !st.job.state.Final() {
			s.addWaiting(now, st, sums)
		}
	})
}

func (s *State) backlogOf(account string, sums map[string]intake.Backlog) intake.Backlog {
	b, known := sums[account]
	if !known {
		b.Weight = s.accountWeight(account)
	}
	return b
}
