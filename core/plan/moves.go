package plan

import (
	"fmt"

	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
)

// fillPools replaces unavailable instances by instances of spare pools.
func (s *step) fillPools() {
	for _, pool := range s.view.Config.Pools {
		if pool.Spare {
			continue
		}
		for s.shortage(pool.Name) > 0 {
			spare := s.findSpare()
			if spare == nil {
				break
			}
			s.assign(spare, pool.Name, "replaces an unavailable instance from "+spare.Pool)
		}
	}
}

// shortage returns the number of the pool's unavailable instances that are not expected back soon.
func (s *step) shortage(pool string) int {
	missing := s.unavailableHere(pool)
	for _, i := range s.zone.Instances {
		if i.HomePool == pool && s.returnsSoon(i) {
			missing--
		}
	}
	return missing
}

func (s *step) returnsSoon(i fleet.Instance) bool {
	if i.State == fleet.Moving && i.Pool == i.HomePool {
		return false
	}
	if i.State == fleet.Failed {
		return s.now.Sub(i.Since) < s.view.Config.Planner.ReplaceAfter
	}
	return s.leaves[i.Name].Return && !i.State.AcceptsWork()
}

func (s *step) findSpare() *fleet.Instance {
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		_, leaving := s.leaveReason(instance)
		if s.sparePools[instance.Pool] && instance.State == fleet.Serving && !leaving {
			return instance
		}
	}
	return nil
}

// startMoves starts to move instances whose configured pool has changed.
func (s *step) startMoves() {
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		home := s.configuredPool(instance)
		if home == instance.HomePool || instance.State != fleet.Serving {
			continue
		}
		if home == instance.Pool {
			instance.HomePool = home
			s.decision.Changed = true
			continue
		}
		if s.withinAllowance(instance) {
			instance.HomePool = home
			s.startMove(instance, home, "configured pool changed")
		}
	}
}

// startMove moves a spare instance at once, and any other instance after its drain.
func (s *step) startMove(i *fleet.Instance, pool, reason string) {
	if s.sparePools[i.Pool] {
		s.assign(i, pool, reason)
		return
	}
	i.Destination = pool
	s.applyEvent(i, fleet.Move, reason)
}

// startLeaves starts the leave of each instance that must leave and that the rules allow, in the order of the policy.
func (s *step) startLeaves() {
	s.zone.AllowanceRequests = nil
	var candidates []Candidate
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		reason, leaving := s.leaveReason(instance)
		if !leaving || instance.State != fleet.Serving && instance.State != fleet.Failed {
			continue
		}
		c := s.configured[instance.Name]
		candidates = append(candidates, Candidate{Instance: instance.Name, Rack: c.Rack, Pool: instance.Pool, Failed: instance.State == fleet.Failed, Return: s.leaves[instance.Name].Return, Reason: reason})
	}
	s.policy.Order(candidates)
	for _, c := range candidates {
		s.startLeave(c)
	}
}

func (s *step) startLeave(c Candidate) {
	instance := s.zone.Find(c.Instance)
	if c.Failed && !s.failureAlreadyRecorded(c.Instance) {
		return
	}
	if c.Failed || s.sparePools[instance.Pool] {
		s.applyEvent(instance, fleet.Leave, c.Reason)
		return
	}
	if !s.withinWaveLimits(instance, c) || s.overBudget(instance) {
		return
	}
	room := s.granted(c.Pool) - s.unavailableHere(c.Pool)
	replaceFirst := !c.Return || s.budgets[c.Pool] == 0 || s.policy.Surge(s.view.Config.Planner, room)
	spare := s.findSpare()
	if replaceFirst && spare != nil {
		s.assign(spare, instance.Pool, "replaces "+instance.Name+" from "+spare.Pool)
		s.applyEvent(instance, fleet.Leave, c.Reason)
		return
	}
	if s.withinAllowance(instance) {
		s.applyEvent(instance, fleet.Leave, c.Reason)
	}
}

// overBudget reports whether more instances are already unavailable than the pool's budget allows. In that case the
// instance is held even if a replacement is available.
func (s *step) overBudget(i *fleet.Instance) bool {
	missing := s.unavailableHere(i.Pool) + s.unavailableInOthers(i.Pool)
	if missing <= s.budgets[i.Pool] {
		return false
	}
	s.hold(i, RuleBudget, fmt.Sprintf("%d instances are unavailable with a budget of %d", missing, s.budgets[i.Pool]))
	return true
}

// failureAlreadyRecorded reports whether the record before this step shows the instance as failed. A failed instance
// leaves only then, so that the sequence of records distinguishes a failure from a planned leave.
func (s *step) failureAlreadyRecorded(instance string) bool {
	old := s.view.Zone.Find(instance)
	return old != nil && old.State == fleet.Failed
}

// withinWaveLimits reports whether the instance may start to leave under the limits that apply even with a replacement:
// the freeze after failures, one draining rack at a time, and the number of draining instances. If not, it holds the instance.
func (s *step) withinWaveLimits(i *fleet.Instance, c Candidate) bool {
	if s.frozen() {
		s.hold(i, RuleFrozen, "too many recent unplanned failures")
		return false
	}
	draining := 0
	for _, other := range s.zone.Instances {
		if !other.State.Draining() {
			continue
		}
		draining++
		otherConfig := s.configured[other.Name]
		if otherConfig.Rack != c.Rack {
			s.hold(i, RuleRack, fmt.Sprintf("rack %s is draining; only one rack of a zone drains at a time", otherConfig.Rack))
			return false
		}
	}
	if draining >= s.view.Config.Planner.WaveInstances {
		s.hold(i, RuleWave, fmt.Sprintf("%d instances are already draining", draining))
		return false
	}
	return true
}

// withinAllowance reports whether the pool can lose the instance within its budget over all zones and the zone's
// allowance. If not, it holds the instance, and requests allowance from other zones if only the allowance is used up.
func (s *step) withinAllowance(i *fleet.Instance) bool {
	if s.frozen() {
		s.hold(i, RuleFrozen, "too many recent unplanned failures")
		return false
	}
	surplus := s.available(i.Pool) - s.targets[i.Pool]
	if surplus > 0 || s.sparePools[i.Pool] {
		return true
	}
	granted := s.granted(i.Pool)
	if others := s.unavailableInOthers(i.Pool); s.unavailableHere(i.Pool)+others+1 > s.budgets[i.Pool] {
		s.hold(i, RuleBudget, fmt.Sprintf("%d instances are unavailable here and %d in other zones with a budget of %d", s.unavailableHere(i.Pool), others, s.budgets[i.Pool]))
		return false
	}
	if s.unavailableHere(i.Pool)+1 <= granted {
		return true
	}
	s.requestAllowance(i.Pool)
	s.hold(i, RuleAllowance, fmt.Sprintf("%d instances are unavailable with an allowance of %d, and there is no spare instance", s.unavailableHere(i.Pool), granted))
	return false
}

// unavailableInOthers returns the number of the pool's unavailable instances in the other zones whose records are known.
func (s *step) unavailableInOthers(pool string) int { return s.unavailableElsewhere[pool] }

// returnSpares moves instances that replaced others back to their home pool when they are no longer needed.
func (s *step) returnSpares() {
	if !s.view.Config.Planner.ReturnSpares {
		return
	}
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		awayFromHome := instance.Pool != instance.HomePool && instance.State == fleet.Serving
		_, leaving := s.leaveReason(instance)
		if !awayFromHome || leaving || s.configuredPool(instance) != instance.HomePool {
			continue
		}
		if s.available(instance.Pool) > s.targets[instance.Pool] && !s.hasPendingLeave(instance.Pool) {
			s.startMove(instance, instance.HomePool, "no longer needed in "+instance.Pool)
		}
	}
}

// hasPendingLeave reports whether a serving instance of the pool still has to leave, so that a replacement would be needed again.
func (s *step) hasPendingLeave(pool string) bool {
	return s.leaveReserve(pool) > 0
}

// Budgets returns the number of instances that may be unavailable, by pool; spare pools are left out.
func Budgets(c *config.Config) map[string]int {
	sizes := c.PoolSizes()
	budgets := make(map[string]int)
	for _, p := range c.Pools {
		if !p.Spare {
			budgets[p.Name] = p.Budget.Limit(sizes[p.Name])
		}
	}
	return budgets
}
