package sched

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Caller is what a request is made with: the account of its key, empty without one, and the queue of its route.
type Caller struct {
	Account string
	Queue   string
}

// MayUse reports whether the caller may use the jobs of an account in a queue. Jobs without an account are anybody's. A caller
// without an account comes by a public route and may use all jobs of its queue, also those from before the route was public.
func (c Caller) MayUse(account, queue string) bool {
	return account == "" || account == c.Account || c.Account == "" && c.Queue == queue
}

// AccountReport is the load of a client account.
type AccountReport struct {
	AccountUse
	Weight  float64
	Share   float64 // of the capacity of all workers, the larger of the shares of each resource that its runs take
	Waiting int     // tasks that wait for a worker
	Refused uint64  // jobs that this owner refused; the owner's entry counts them
}

// JobOwner returns the client account and the queue of a job, and whether the job is known. Both are empty for a job that had
// ended when this owner began.
func (s *State) JobOwner(id string) (account, queue string, known bool) {
	j := s.jobs[id]
	if j == nil {
		return "", "", false
	}
	return j.Account, j.Queue, true
}

// Accounts returns the load of all accounts that are configured or have jobs, in order of their names.
func (s *State) Accounts() []AccountReport {
	accounts := make(map[string]*AccountReport)
	reportOf := func(name string) *AccountReport {
		if accounts[name] == nil {
			accounts[name] = &AccountReport{AccountUse: s.accountUse(name), Weight: s.config.Accounts[name].Weight}
		}
		return accounts[name]
	}
	for name := range s.config.Accounts {
		reportOf(name)
	}
	var capacity Size
	for _, w := range s.workers {
		capacity = capacity.Add(w.Capacity)
		for _, r := range w.runs {
			if r.account != "" {
				reportOf(r.account)
			}
		}
	}
	for _, q := range s.queues {
		for _, st := range q.stages {
			if st.job.Account != "" && !st.job.state.Final() {
				reportOf(st.job.Account).Waiting += st.waitingTasks()
			}
		}
	}
	var all []AccountReport
	for _, name := range sortedKeys(accounts) {
		a := accounts[name]
		a.Share = a.Running.dominantShare(capacity)
		all = append(all, *a)
	}
	return all
}

// dominantShare returns the largest of the shares that s takes of each resource of a capacity.
func (s Size) dominantShare(capacity Size) float64 {
	share := func(amount, of int) float64 { return float64(amount) / float64(max(1, of)) }
	return max(share(s.Processors, capacity.Processors), share(s.MemoryMB, capacity.MemoryMB), share(s.Accelerators, capacity.Accelerators))
}

// Explain returns lines that say why a job waits: one on the job, and one on each step with tasks that are not done. It returns none for an unknown job.
func (s *State) Explain(now time.Time, id string) []string {
	j := s.jobs[id]
	if j == nil {
		if s.Awaits(id) {
			return []string{fmt.Sprintf("Job=%s State=%s Why=NotRead", id, Pending)}
		}
		return nil
	}
	lines := []string{fmt.Sprintf("Job=%s State=%s Account=%s Queue=%s Pool=%s Occurrences=%d/%d", id, j.visibleState, j.Account, j.Queue, s.config.Queues[j.Queue].Pool, j.nextOccurrence, j.occurrenceCount())}
	if j.state.Final() {
		if !j.visibleState.Final() {
			lines[0] += " Why=EndNotStored"
		}
		return lines
	}
	if j.nextOccurrence < j.occurrenceCount() && len(j.occurrences) == 0 {
		lines[0] += " Why=NotDue Due=" + j.dueAt(j.nextOccurrence).UTC().Format(time.RFC3339)
	}
	for _, k := range sortedKeys(j.occurrences) {
		for _, st := range j.occurrences[k].stages {
			if st.remaining == 0 {
				continue
			}
			waiting := st.waitingTasks()
			line := fmt.Sprintf("Job=%s Occurrence=%d Step=%d Tasks=%d Left=%d Waiting=%d", id, k, st.index, len(st.tasks), st.remaining, waiting)
			if waiting > 0 {
				line += " Why=" + s.whyWaiting(now, st)
			}
			lines = append(lines, line)
		}
	}
	return lines
}

// whyWaiting returns the first reason for which the tasks of a stage wait, in the order in which placement checks them.
func (s *State) whyWaiting(now time.Time, st *stage) string {
	j := st.job
	q, known := s.config.Queues[j.Queue]
	if now.Before(st.occurrence.due) {
		return "NotDue Due=" + st.occurrence.due.UTC().Format(time.RFC3339)
	}
	if st.blockers > 0 {
		return "Steps Steps=" + st.blockingSteps()
	}
	if !known {
		return "NoSuchQueue"
	}
	if now.Sub(s.workersAsOf) > maxListAge {
		return "WorkerListOld"
	}
	if j.inherited && s.hasUnseenRuns(j, s.unseenPools(now)) {
		return "UnpolledWorkers"
	}
	if s.heldByCap(st) {
		return accountAtCap
	}
	return s.whyNoWorker(now, st, q)
}

// blockingSteps returns the indexes of the steps that must be done first and are not.
func (st *stage) blockingSteps() string {
	var steps []string
	for _, i := range st.step.After {
		if st.occurrence.stages[i].remaining > 0 {
			steps = append(steps, strconv.Itoa(i))
		}
	}
	return strings.Join(steps, ",")
}

// whyNoWorker returns the reason for which no worker of a queue's pool takes a task of a stage.
func (s *State) whyNoWorker(now time.Time, st *stage, q Queue) string {
	size, perWorker := st.step.reserved(), st.runsPerWorker()
	usable, accepted, permitted, roomy := 0, 0, 0, 0
	for _, w := range s.workers {
		if w.Pool != q.Pool || !w.usable(now) {
			continue
		}
		usable++
		if !st.step.accepts(w) {
			continue
		}
		accepted++
		if !st.mayRunOn(q, w, perWorker) {
			continue
		}
		permitted++
		roomy += boolInt(size.Fits(w.free()))
	}
	switch {
	case usable == 0:
		return "NoUsableWorker Pool=" + q.Pool
	case accepted == 0:
		return "Label Label=" + st.step.RequiredLabel
	case permitted == 0:
		return "AdviceOrSpread"
	case roomy == 0:
		return fmt.Sprintf("PoolFull Pool=%s Usable=%d", q.Pool, usable)
	case st.step.Gang && roomy < len(st.tasks):
		return fmt.Sprintf("GangRoom Roomy=%d", roomy)
	}
	return fmt.Sprintf("NextPlan Roomy=%d", roomy) // or it keeps a rule for single tasks: spread, crashes, advice
}
