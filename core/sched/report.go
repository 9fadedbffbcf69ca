package sched

import "time"

// PoolReport is the load of a pool.
type PoolReport struct {
	Pool        string
	Workers     int
	Usable      int  // workers on which tasks may be started
	Unknown     int  // workers that have not been polled or are not in the stored roster
	Cordoned    int  // workers that take no new tasks because of maintenance or a machine move
	Silent      int  // workers that did not answer the last poll
	Capacity    Size // of the usable workers
	Used        Size // reserved by runs on all workers
	Waiting     int  // tasks that wait for a worker
	Running     int  // runs, also those that are starting or stopping
	Unconfirmed int  // runs whose start was not answered
	Machines    int  // machines that serve the pool or are on their way to it
	Need        int  // machines that it needs
	Share       int  // of these, as many as there are for it
}

// Report returns the load of all pools, in order of their names.
func (s *State) Report(now time.Time) []PoolReport {
	pools := make(map[string]*PoolReport)
	reportOf := func(name string) *PoolReport {
		if pools[name] == nil {
			pools[name] = &PoolReport{Pool: name}
		}
		return pools[name]
	}
	for _, w := range s.workers {
		p := reportOf(w.Pool)
		p.Workers++
		p.Used = p.Used.Add(w.used)
		if w.usable(now) {
			p.Usable++
			p.Capacity = p.Capacity.Add(w.Capacity)
		}
		p.Running += len(w.runs)
		p.Unknown += boolInt(!w.polled || !w.inRoster)
		p.Cordoned += boolInt(w.cordoned)
		p.Silent += boolInt(w.pollFailures > 0)
		for _, r := range w.runs {
			if r.phase == unconfirmed {
				p.Unconfirmed++
			}
		}
	}
	for name, l := range s.demands {
		p := reportOf(name)
		p.Machines, p.Need, p.Share = l.machines, l.need, l.share
	}
	for name, q := range s.queues {
		for _, st := range q.stages {
			if st.job.state.Final() {
				continue
			}
			reportOf(s.config.Queues[name].Pool).Waiting += st.waitingTasks()
		}
	}
	var all []PoolReport
	for _, name := range sortedKeys(pools) {
		all = append(all, *pools[name])
	}
	return all
}
