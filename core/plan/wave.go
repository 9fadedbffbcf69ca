package plan

import (
	"fmt"

	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
)

// fillPools replaces missing instances from the spare pool.
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
			s.assign(spare, pool.Name, "replaces a missing instance from "+spare.Pool)
		}
	}
}

// shortage counts missing instances that will not come back by themselves soon.
func (s *step) shortage(pool string) int {
	missing := s.unavailable(pool)
	for _, i := range s.zone.Instances {
		if i.Home == pool && s.comesBack(i) {
			missing--
		}
	}
	return missing
}

func (s *step) comesBack(i fleet.Instance) bool {
	if i.State == fleet.Moving && i.Pool == i.Home {
		return false
	}
	if i.State == fleet.Failed {
		return s.now.Sub(i.Since) < s.view.Config.Planner.ReplaceAfter
	}
	return s.leave[i.Name].Return && !i.State.AcceptsWork()
}

func (s *step) findSpare() *fleet.Instance {
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		_, leaving := s.wantsLeave(instance)
		if s.spare[instance.Pool] && instance.State == fleet.Serving && !leaving {
			return instance
		}
	}
	return nil
}

// startMoves follows changes of an instance's configured pool.
func (s *step) startMoves() {
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		home := s.homeOf(instance)
		if home == instance.Home || instance.State != fleet.Serving {
			continue
		}
		if home == instance.Pool {
			instance.Home = home
			s.out.Changed = true
			continue
		}
		if s.mayDisrupt(instance) {
			instance.Home = home
			s.startMove(instance, home, "configured pool changed")
		}
	}
}

func (s *step) startMove(i *fleet.Instance, pool, reason string) {
	if s.spare[i.Pool] {
		s.assign(i, pool, reason)
		return
	}
	i.Destination = pool
	s.change(i, fleet.Move, reason)
}

// startLeaves marks instances as leaving, in the order of the policy.
func (s *step) startLeaves() {
	s.zone.Wants = nil
	var candidates []Candidate
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		reason, leaving := s.wantsLeave(instance)
		if !leaving || instance.State != fleet.Serving && instance.State != fleet.Failed {
			continue
		}
		c := s.placed[instance.Name]
		candidates = append(candidates, Candidate{Instance: instance.Name, Rack: c.Rack, Pool: instance.Pool, Failed: instance.State == fleet.Failed, Return: s.leave[instance.Name].Return, Reason: reason})
	}
	s.policy.Order(candidates)
	for _, c := range candidates {
		s.startLeave(c)
	}
}

func (s *step) startLeave(c Candidate) {
	instance := s.zone.Find(c.Instance)
	if c.Failed && !s.failureRecorded(c.Instance) {
		return
	}
	if c.Failed || s.spare[instance.Pool] {
		s.change(instance, fleet.Leave, c.Reason)
		return
	}
	if !s.mayStart(instance, c) || s.overspent(instance) {
		return
	}
	room := s.granted(c.Pool) - s.unavailable(c.Pool)
	surge := !c.Return || s.budget[c.Pool] == 0 || s.policy.Surge(s.view.Config.Planner, room)
	spare := s.findSpare()
	if surge && spare != nil {
		s.assign(spare, instance.Pool, "replaces "+instance.Name+" from "+spare.Pool)
		s.change(instance, fleet.Leave, c.Reason)
		return
	}
	if s.mayDisrupt(instance) {
		s.change(instance, fleet.Leave, c.Reason)
	}
}

// overspent holds the instance when failures alone exceed the pool's budget, so that even a replaced instance stays.
func (s *step) overspent(i *fleet.Instance) bool {
	missing := s.unavailable(i.Pool) + s.missingElsewhere(i.Pool)
	if missing <= s.budget[i.Pool] {
		return false
	}
	s.hold(i, RuleBudget, fmt.Sprintf("%d instances are unavailable with a budget of %d", missing, s.budget[i.Pool]))
	return true
}

// failureRecorded reports whether an earlier record already shows the failure, so that the
// history tells it apart from a decision.
func (s *step) failureRecorded(instance string) bool {
	old := s.view.Zone.Find(instance)
	return old != nil && old.State == fleet.Failed
}

// mayStart checks the limits on width that hold even when a replacement is at hand.
func (s *step) mayStart(i *fleet.Instance, c Candidate) bool {
	if s.frozen() {
		s.hold(i, RuleFrozen, "too many unplanned failures lately")
		return false
	}
	emptying := 0
	for _, other := range s.zone.Instances {
		if !other.State.Emptying() {
			continue
		}
		emptying++
		placed := s.placed[other.Name]
		if placed.Rack != c.Rack {
			s.hold(i, RuleRack, fmt.Sprintf("rack %s is emptying; one rack of a zone at a time", placed.Rack))
			return false
		}
	}
	if emptying >= s.view.Config.Planner.WaveInstances {
		s.hold(i, RuleWave, fmt.Sprintf("%d instances are emptying already", emptying))
		return false
	}
	return true
}

// mayDisrupt checks that the pool can lose the instance within the zone's allowance.
func (s *step) mayDisrupt(i *fleet.Instance) bool {
	if s.frozen() {
		s.hold(i, RuleFrozen, "too many unplanned failures lately")
		return false
	}
	surplus := s.available(i.Pool) - s.target[i.Pool]
	if surplus > 0 || s.spare[i.Pool] {
		return true
	}
	granted := s.granted(i.Pool)
	if elsewhere := s.missingElsewhere(i.Pool); s.unavailable(i.Pool)+elsewhere+1 > s.budget[i.Pool] {
		s.hold(i, RuleBudget, fmt.Sprintf("%d unavailable here and %d in other zones of a budget of %d", s.unavailable(i.Pool), elsewhere, s.budget[i.Pool]))
		return false
	}
	if s.unavailable(i.Pool)+1 <= granted {
		return true
	}
	s.want(i.Pool)
	s.hold(i, RuleAllowance, fmt.Sprintf("%d unavailable of an allowance of %d, and no spare instance", s.unavailable(i.Pool), granted))
	return false
}

// missingElsewhere counts the pool's missing instances in the other zones, as far as their records are known.
func (s *step) missingElsewhere(pool string) int { return s.away[pool] }

// returnSpares sends borrowed instances back to their pool when they are no longer needed.
func (s *step) returnSpares() {
	if !s.view.Config.Planner.ReturnSpares {
		return
	}
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		borrowed := instance.Pool != instance.Home && instance.State == fleet.Serving
		_, leaving := s.wantsLeave(instance)
		if !borrowed || leaving || s.homeOf(instance) != instance.Home {
			continue
		}
		if s.available(instance.Pool) > s.target[instance.Pool] && !s.awaited(instance.Pool) {
			s.startMove(instance, instance.Home, "no longer needed in "+instance.Pool)
		}
	}
}

// awaited reports whether another instance of the pool is about to leave, so that a replacement would be needed again.
func (s *step) awaited(pool string) bool {
	return s.pendingLeaves(pool) > 0
}

// Budgets returns, for each pool, the number of instances that may be unavailable.
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
