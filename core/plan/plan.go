package plan

import (
	"fmt"
	"slices"
	"time"

	"daisysaddle/core/config"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
)

// Report is the latest status report of a sender.
type Report struct {
	Sender       fleet.Sender
	ZoneRevision uint64         // latest zone revision that the sender has applied
	InFlight     map[string]int // requests in flight by instance, for instances that accept no new work
	Stopped      bool           // the sender has ended all its requests and will send no more
}

// Member is a running entry of the zone: the planner itself, or one that holds a lease or has a link to the planner.
type Member struct {
	Sender fleet.Sender
}

// View is the input of a planning step.
type View struct {
	Config          *config.Config
	Zone            fleet.Zone
	Others          map[string]fleet.Zone // latest known records of the other zones, by zone name
	Members         []Member
	Reports         []Report
	Ended           map[string]bool // senders known to have ended, by incarnation
	FailedInstances map[string]bool // instances that the platform does not list as live or that every entry of the zone has ejected
	Absent          map[string]bool // instances that the platform does not list as live
	JobsOn          map[string]int  // number of jobs placed on each instance
}

// Rule names a constraint that holds an action back.
type Rule string

// Rules, each with the situation in which it holds an action back.
const (
	RuleAllowance Rule = "Allowance"       // the zone's allowance of the pool is used up
	RuleBudget    Rule = "Budget"          // the availability budget of the pool is used up over all zones
	RuleFrozen    Rule = "Frozen"          // too many unplanned failures occurred recently
	RuleRack      Rule = "OneRack"         // another rack of the zone is draining
	RuleWave      Rule = "WaveSize"        // the maximum number of instances is draining
	RuleAck       Rule = "Acknowledgement" // a sender has not applied the zone revision that stops new work
	RuleInFlight  Rule = "InFlight"        // requests are in flight on the instance
	RuleJobs      Rule = "Jobs"            // jobs are placed on the instance
	RuleCapacity  Rule = "Capacity"
)

// Held is an action that a rule holds back.
type Held struct {
	Instance string
	Pool     string
	Rule     Rule
	Reason   string
}

// Decision is the result of a planning step.
type Decision struct {
	Zone    fleet.Zone
	Changed bool
	Held    []Held
	Events  []event.Event
}

type step struct {
	now                  time.Time
	view                 View
	policy               Policy
	zone                 fleet.Zone
	decision             Decision
	configured           map[string]config.Instance // configuration of each instance, by name
	sparePools           map[string]bool            // whether a pool is a spare pool, by name
	availableByPool      map[string]int             // cached number of instances that accept work, by pool; nil after a change
	unavailableElsewhere map[string]int             // unavailable instances of the other zones, by pool
	targets              map[string]int             // configured number of instances in this zone, by pool
	targetsByZone        map[string]map[string]int  // configured number of instances, by zone and pool
	budgets              map[string]int             // instances that may be unavailable over all zones, by pool
	leaves               map[string]config.Leave    // by instance
}

// Step returns the next record of the zone, the actions that are held back, and the events to record.
func Step(now time.Time, v View, p Policy) Decision {
	s := &step{now: now, view: v, policy: p, zone: v.Zone.Clone()}
	s.targetsByZone = fleet.TargetsByZone(v.Config)
	s.targets = s.targetsByZone[s.zone.Name]
	s.budgets = Budgets(v.Config)
	s.buildIndexes()
	s.leaves = v.Config.Leaving()
	s.adoptConfig()
	s.updateSenders()
	s.updateFailures()
	s.updateAllowances()
	s.updateTransfers()
	s.rejoinMaintained()
	s.cancelWithdrawn()
	s.completeDrains()
	s.fillPools()
	s.startMoves()
	s.startLeaves()
	s.returnSpares()
	s.grantRequests()
	s.decision.Zone = s.zone
	s.decision.Changed = s.decision.Changed || !equalRecords(v.Zone, s.zone)
	return s.decision
}

// buildIndexes builds the lookup tables by instance and by pool.
func (s *step) buildIndexes() {
	s.configured = make(map[string]config.Instance, len(s.view.Config.Instances))
	for _, i := range s.view.Config.Instances {
		s.configured[i.Name] = i
	}
	s.sparePools = make(map[string]bool)
	for _, p := range s.view.Config.Pools {
		s.sparePools[p.Name] = p.Spare
	}
	s.unavailableElsewhere = make(map[string]int)
	for name, z := range s.view.Others {
		available := z.Available()
		for pool, target := range s.targetsByZone[name] {
			s.unavailableElsewhere[pool] += max(0, target-available[pool])
		}
	}
}

// available returns the number of the pool's instances in this zone that accept work.
func (s *step) available(pool string) int {
	if s.availableByPool == nil {
		s.availableByPool = s.zone.Available()
	}
	return s.availableByPool[pool]
}

func equalRecords(a, b fleet.Zone) bool {
	return a.ConfigRevision == b.ConfigRevision && slices.Equal(a.AllowanceRequests, b.AllowanceRequests) && slices.Equal(a.ReceivedTransfers, b.ReceivedTransfers) &&
		slices.Equal(a.Outgoing, b.Outgoing) && slices.Equal(a.Allowances, b.Allowances)
}

// applyEvent applies e to an instance and records the change; it returns false if the instance's state does not allow e.
func (s *step) applyEvent(i *fleet.Instance, e fleet.Event, detail string) bool {
	s.availableByPool = nil
	next, err := i.State.Apply(e)
	if err != nil {
		return false
	}
	i.State = next
	i.Since = s.now
	if next.Draining() {
		i.DrainRevision = s.zone.Revision + 1
	}
	s.recordEvent(event.Event{Kind: event.InstanceChanged, Instance: i.Name, Pool: i.Pool, Detail: fmt.Sprintf("%s: %s", next, detail)})
	s.decision.Changed = true
	return true
}

func (s *step) recordEvent(e event.Event) {
	e.Zone = s.zone.Name
	e.Revision = s.zone.Revision + 1
	s.decision.Events = append(s.decision.Events, e)
}

// hold records that r holds back an action on the instance.
func (s *step) hold(i *fleet.Instance, r Rule, reason string) {
	s.decision.Held = append(s.decision.Held, Held{Instance: i.Name, Pool: i.Pool, Rule: r, Reason: reason})
}

// adoptConfig adds newly configured instances to the record and deletes those that are no longer configured, once they
// are in state Returned.
func (s *step) adoptConfig() {
	s.zone.ConfigRevision = max(s.zone.ConfigRevision, s.view.Config.Revision)
	recorded := make(map[string]bool, len(s.zone.Instances))
	for _, i := range s.zone.Instances {
		recorded[i.Name] = true
	}
	for _, c := range s.view.Config.Instances {
		if c.Zone != s.zone.Name || recorded[c.Name] {
			continue
		}
		s.zone.Instances = append(s.zone.Instances, fleet.Instance{Name: c.Name, Pool: c.Pool, HomePool: c.Pool, State: fleet.Serving, Since: s.now})
		s.recordEvent(event.Event{Kind: event.InstanceChanged, Instance: c.Name, Pool: c.Pool, Detail: "Serving: added by the configuration"})
		s.decision.Changed = true
	}
	s.zone.Instances = slices.DeleteFunc(s.zone.Instances, func(i fleet.Instance) bool {
		c, known := s.configured[i.Name]
		removed := (!known || c.Zone != s.zone.Name) && i.State == fleet.Returned
		s.decision.Changed = s.decision.Changed || removed
		return removed
	})
}

// updateSenders adds members as senders and removes senders that are known to have ended.
func (s *step) updateSenders() {
	for _, m := range s.view.Members {
		if s.zone.HasSender(m.Sender.Name, m.Sender.Incarnation) || s.view.Ended[m.Sender.Incarnation] {
			continue
		}
		s.zone.Senders = append(s.zone.Senders, m.Sender)
		s.senderChanged(event.SenderAdded, m.Sender)
	}
	s.zone.Senders = slices.DeleteFunc(s.zone.Senders, func(sender fleet.Sender) bool {
		if !s.view.Ended[sender.Incarnation] {
			return false
		}
		s.senderChanged(event.SenderRemoved, sender)
		return true
	})
}

func (s *step) senderChanged(kind event.Kind, sender fleet.Sender) {
	s.zone.SendersRevision = s.zone.Revision + 1
	s.decision.Changed = true
	s.recordEvent(event.Event{Kind: kind, Detail: sender.Name + " " + sender.Incarnation})
}

// updateFailures changes the state of instances that failed or recovered, and records the times of the latest failures.
func (s *step) updateFailures() {
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		down := s.view.FailedInstances[instance.Name]
		if down && instance.State == fleet.Serving && s.applyEvent(instance, fleet.Fail, "unplanned failure") {
			s.zone.Failures = append(s.zone.Failures, s.now)
		}
		if !down && instance.State == fleet.Failed {
			s.applyEvent(instance, fleet.Recover, "available again")
		}
	}
	limit := s.view.Config.Planner.FreezeFailures
	if len(s.zone.Failures) > limit {
		s.zone.Failures = s.zone.Failures[len(s.zone.Failures)-limit:]
	}
}

func (s *step) frozen() bool {
	recent := 0
	for _, t := range s.zone.Failures {
		if s.now.Sub(t) < s.view.Config.Planner.FreezePeriod {
			recent++
		}
	}
	return recent >= s.view.Config.Planner.FreezeFailures
}

// rejoinMaintained puts returned instances back into service once they are live again after maintenance, or once their leave
// is withdrawn.
func (s *step) rejoinMaintained() {
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		if instance.State != fleet.Returned {
			continue
		}
		absent := s.view.Absent[instance.Name] || s.view.FailedInstances[instance.Name]
		if absent && !instance.Absent {
			instance.Absent = true
			s.decision.Changed = true
		}
		leave, named := s.leaves[instance.Name]
		maintained := named && leave.Return && instance.Absent && !absent
		withdrawn := !named && !absent && s.inConfig(instance.Name)
		if maintained || withdrawn {
			instance.FinishedLeave = leave.Name
			instance.Absent = false
			instance.Pool = s.configuredPool(instance)
			instance.HomePool = instance.Pool
			s.applyEvent(instance, fleet.Rejoin, "back in service")
		}
	}
}

func (s *step) inConfig(name string) bool {
	c, known := s.configured[name]
	return known && c.Zone == s.zone.Name
}

func (s *step) configuredPool(i *fleet.Instance) string {
	if c, known := s.configured[i.Name]; known {
		return c.Pool
	}
	return i.Pool
}

// leaveReason returns why the instance must leave, and whether it must.
func (s *step) leaveReason(i *fleet.Instance) (string, bool) {
	if !s.inConfig(i.Name) {
		return "removed from the configuration", true
	}
	leave, named := s.leaves[i.Name]
	if !named || i.FinishedLeave == leave.Name {
		return "", false
	}
	return "named by Leave " + leave.Name, true
}

// cancelWithdrawn cancels leaves that the configuration no longer requests, and moves whose destination is the instance's own pool.
func (s *step) cancelWithdrawn() {
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		_, leaving := s.leaveReason(instance)
		if instance.State == fleet.Leaving && !leaving {
			s.applyEvent(instance, fleet.Cancel, "leave was withdrawn")
		}
		if instance.State == fleet.Moving && instance.Destination == instance.Pool {
			s.applyEvent(instance, fleet.Cancel, "move was withdrawn")
		}
	}
}

// completeDrains ends the drain of leaving and moving instances that get no new work and have none left, and hands back
// instances that were already drained.
func (s *step) completeDrains() {
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		if instance.State == fleet.Drained {
			s.applyEvent(instance, fleet.Return, "handed back")
		}
		if !instance.State.Draining() || !s.drained(instance) {
			continue
		}
		if instance.State == fleet.Moving {
			s.assign(instance, instance.Destination, "moved from "+instance.Pool)
			continue
		}
		s.applyEvent(instance, fleet.Drain, "empty")
	}
}

// assign moves an instance to another pool, where it serves at once.
func (s *step) assign(i *fleet.Instance, pool, detail string) {
	i.Pool = pool
	i.Destination = ""
	s.availableByPool = nil
	s.zone.Moves++
	if i.State != fleet.Moving || !s.applyEvent(i, fleet.Assign, detail) {
		i.Since = s.now
		s.recordEvent(event.Event{Kind: event.InstanceChanged, Instance: i.Name, Pool: pool, Detail: "Serving: " + detail})
		s.decision.Changed = true
	}
}

// drained reports whether every sender has applied the revision that stops new work on the instance and has no request in
// flight there, and no job is placed on it. If not, it records the rule that the instance waits for.
func (s *step) drained(i *fleet.Instance) bool {
	if i.DrainRevision > s.zone.Revision {
		return false
	}
	for _, sender := range s.zone.Senders {
		report := slices.IndexFunc(s.view.Reports, func(r Report) bool { return r.Sender.Incarnation == sender.Incarnation })
		switch {
		case report >= 0 && s.view.Reports[report].Stopped:
		case report < 0 || s.view.Reports[report].ZoneRevision < i.DrainRevision:
			s.hold(i, RuleAck, "entry "+sender.Name+" ("+sender.Incarnation+") has not acknowledged the revision that stops new work")
			return false
		case s.view.Reports[report].InFlight[i.Name] > 0:
			s.hold(i, RuleInFlight, fmt.Sprintf("entry %s has %d requests in flight", sender.Name, s.view.Reports[report].InFlight[i.Name]))
			return false
		}
	}
	if jobs := s.view.JobsOn[i.Name]; jobs > 0 {
		s.hold(i, RuleJobs, fmt.Sprintf("%d jobs are still placed on the instance", jobs))
		return false
	}
	return true
}
