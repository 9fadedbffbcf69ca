package sched

import (
	"iter"
	"time"

	"daisysaddle/core/share"
)

// shareWindow is the time over which an account makes up its share of a pool.
const shareWindow = 4 * time.Second

// poolShares are the shares that client accounts have had of a pool.
type poolShares struct {
	*share.Pool
	capacity Size // of its usable workers, as of the last placement
}

// inShareOrder returns the stages in the order of their accounts' shares, as far as group and priority are equal: those of accounts that have had
// less of the pool first, and among these as they are. The order follows the runs that start meanwhile.
func (s *State) inShareOrder(stages []*stage, pools map[string][]*worker) iter.Seq[*stage] {
	s.shareLevel = share.MaxLevel
	if len(s.config.Accounts) == 0 {
		return func(yield func(*stage) bool) {
			for _, st := range stages {
				if !yield(st) {
					return
				}
			}
		}
	}
	s.beginShares(stages, pools)
	return func(yield func(*stage) bool) {
		for len(stages) > 0 {
			class := equalRanks(stages)
			stages = stages[len(class):]
			if !s.yieldByLevel(class, yield) {
				return
			}
		}
	}
}

// equalRanks returns the first stages that have the same group and priority.
func equalRanks(stages []*stage) []*stage {
	first := &stages[0].rank
	for i, st := range stages {
		if st.rank.group != first.group || st.rank.priority != first.priority {
			return stages[:i]
		}
	}
	return stages
}

// yieldByLevel passes over the stages once for each level of their accounts, as of when their turn comes. A stage whose account gets further ahead by its
// own tasks comes again.
func (s *State) yieldByLevel(stages []*stage, yield func(*stage) bool) bool {
	left := stages
	for s.shareLevel = share.Owed; len(left) > 0; s.shareLevel++ {
		var later []*stage
		for _, st := range left {
			if s.yieldsRoom(st) {
				later = append(later, st)
				continue
			}
			if !yield(st) {
				return false
			}
			if s.yieldsRoom(st) && st.waitingTasks() > 0 {
				later = append(later, st)
			}
		}
		left = later
	}
	return true
}

// yieldsRoom reports whether the stage's account is too far ahead for its turn.
func (s *State) yieldsRoom(st *stage) bool {
	return st.share != nil && s.shareLevel < share.MaxLevel && st.share.Level() > s.shareLevel
}

// beginShares begins a round of placement in each pool.
func (s *State) beginShares(stages []*stage, pools map[string][]*worker) {
	for name, workers := range pools {
		p := s.shares[name]
		if p == nil {
			p = &poolShares{Pool: share.NewPool(shareWindow)}
			s.shares[name] = p
		}
		p.capacity = Size{}
		for _, w := range workers {
			p.capacity = p.capacity.Add(w.Capacity)
		}
	}
	for _, p := range s.shares {
		p.Begin()
	}
	others := s.meanWeight()
	for _, st := range stages {
		st.share = nil
		p := s.shares[s.config.Queues[st.job.Queue].Pool]
		if p == nil || st.step.LongRunning {
			continue
		}
		weight := others
		if a, found := s.config.Accounts[st.job.Account]; found && a.Weight > 0 {
			weight = a.Weight
		}
		st.share = p.Compete(st.job.Account, weight)
	}
}

// meanWeight returns the mean weight of the accounts. It is that of the jobs without an account, which share as one.
func (s *State) meanWeight() float64 {
	sum, n := 0.0, 0
	for _, name := range sortedKeys(s.config.Accounts) {
		if a := s.config.Accounts[name]; a.Weight > 0 {
			sum += a.Weight
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// chargeStart charges the expected use of a run to the share of its account.
func (s *State) chargeStart(now time.Time, r *run) {
	st := r.task.stage
	if st.share == nil {
		return
	}
	r.share, r.chargedAt = st.share, now
	r.part = r.size.largestPart(s.shares[r.worker.Pool].capacity)
	r.expected = s.estimate(st.job.Queue, st.step)
	r.share.Start(r.part * r.expected.Seconds())
}

// chargeEnd corrects the charge of a run that has ended to the time that it took.
func (s *State) chargeEnd(r *run) {
	if r.share == nil {
		return
	}
	took := max(0, s.planned.Sub(r.chargedAt))
	r.share.End(r.part * (took - r.expected).Seconds())
	r.share = nil
}

// largestPart returns the largest part that the size takes of a resource of the capacity.
func (s Size) largestPart(capacity Size) float64 {
	part := 0.0
	v, of := s.vector(), capacity.vector()
	for i := range v {
		if of[i] > 0 {
			part = max(part, v[i]/of[i])
		}
	}
	return part
}
