package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"daisysaddle/core/audit"
	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
)

const maxRounds = 400

func TestRetirementIsReplacedFromTheSparePool(t *testing.T) {
	s := newSimulator(2, 6, 1, 1)
	must.Less(t, maxRounds, s.runUntilStable(maxRounds))
	s.addLeave("first", false, "z0-0")
	must.Less(t, maxRounds, s.runUntilStable(maxRounds))
	must.Eq(t, fleet.Returned, s.state("z0-0"))
	must.SliceEmpty(t, audit.Check(s.history))
	z := s.zones["z0"]
	must.Eq(t, 3, z.Available()["p0"])
	must.Zero(t, z.Available()["spare"])
}

func TestMaintenanceReturnsEveryInstanceAndTheSpare(t *testing.T) {
	s := newSimulator(3, 8, 1, 1)
	s.runUntilStable(maxRounds)
	s.publish(func(c *config.Config) {
		l := config.Leave{Name: "wave", Return: true}
		for _, i := range c.Instances {
			l.Instances = append(l.Instances, i.Name)
		}
		c.Leaves = append(c.Leaves, l)
	})
	must.Less(t, maxRounds, s.runUntilStable(maxRounds))
	for _, i := range s.config.Instances {
		z := s.zones[i.Zone]
		must.Eq(t, "wave", z.Find(i.Name).FinishedLeave, must.Sprint(i.Name))
		must.Eq(t, fleet.Serving, s.state(i.Name))
		must.Eq(t, i.Pool, z.Find(i.Name).Pool)
	}
	must.SliceEmpty(t, audit.Check(s.history))
}

func TestLeaveWaitsForEverySender(t *testing.T) {
	s := newSimulator(1, 4, 1, 1)
	s.runUntilStable(maxRounds)
	s.addLeave("first", false, "z0-0")
	must.True(t, s.step("z0"))
	for range 5 {
		s.step("z0")
		must.Eq(t, fleet.Leaving, s.state("z0-0"))
		must.Eq(t, RuleAck, s.held[0].Rule)
	}
	s.acknowledge("z0")
	s.inFlight["z0-0"] = 1
	s.step("z0")
	must.Eq(t, RuleInFlight, s.held[0].Rule)
	s.inFlight["z0-0"] = 0
	s.jobs["z0-0"] = 2
	s.step("z0")
	must.Eq(t, RuleJobs, s.held[0].Rule)
	s.jobs["z0-0"] = 0
	s.step("z0")
	must.Eq(t, fleet.Drained, s.state("z0-0"))
}

func TestCancelledLeaveServesAgain(t *testing.T) {
	s := newSimulator(1, 4, 0, 1)
	s.runUntilStable(maxRounds)
	s.addLeave("first", true, "z0-0")
	s.step("z0")
	must.Eq(t, fleet.Leaving, s.state("z0-0"))
	s.publish(func(c *config.Config) { c.Leaves = nil })
	s.step("z0")
	must.Eq(t, fleet.Serving, s.state("z0-0"))
}

// TestStalePlannerCannotWrite delays a planner's write until another planner has written; the delayed write must fail.
func TestStalePlannerCannotWrite(t *testing.T) {
	s := newSimulator(1, 4, 1, 1)
	s.runUntilStable(maxRounds)
	s.addLeave("first", false, "z0-0")
	delayed, expect := s.decide("z0"), s.zones["z0"].Revision
	must.True(t, s.step("z0"))
	must.False(t, s.write("z0", delayed, expect))
}

func TestExceededBudgetStopsVoluntaryDisruption(t *testing.T) {
	s := newSimulator(1, 8, 0, 1)
	s.runUntilStable(maxRounds)
	s.down["z0-2"] = true
	s.step("z0")
	s.addLeave("first", true, "z0-0")
	s.step("z0")
	must.Eq(t, fleet.Serving, s.state("z0-0"))
	must.Eq(t, RuleBudget, s.held[0].Rule)
	delete(s.down, "z0-2")
	s.runUntilStable(maxRounds)
	must.Eq(t, "first", findInstance(s, "z0-0").FinishedLeave)
}

func TestCorrelatedFailuresFreezeAndResume(t *testing.T) {
	s := newSimulator(1, 8, 2, 4)
	s.runUntilStable(maxRounds)
	for _, name := range []string{"z0-1", "z0-2", "z0-3"} {
		s.down[name] = true
	}
	s.step("z0")
	s.addLeave("first", true, "z0-4")
	s.step("z0")
	must.Eq(t, RuleFrozen, s.held[0].Rule)
	clear(s.down)
	s.now = s.now.Add(2 * time.Minute)
	s.runUntilStable(maxRounds)
	must.Eq(t, "first", findInstance(s, "z0-4").FinishedLeave)
}

func findInstance(s *simulator, name string) *fleet.Instance {
	for _, z := range s.zones {
		if i := z.Find(name); i != nil {
			return i
		}
	}
	return nil
}

func TestAllowanceOfAnotherZoneIsTransferredOnce(t *testing.T) {
	s := newSimulator(3, 4, 0, 1)
	s.runUntilStable(maxRounds)
	var names []string
	for z := range 3 {
		names = append(names, fmt.Sprintf("z%d-0", z), fmt.Sprintf("z%d-1", z))
	}
	s.addLeave("wave", true, names...)
	must.Less(t, maxRounds, s.runUntilStable(maxRounds))
	for _, name := range names {
		must.Eq(t, "wave", findInstance(s, name).FinishedLeave, must.Sprint(name))
	}
	must.SliceEmpty(t, audit.Check(s.history))
}

func TestPartitionedZonesStayWithinBudget(t *testing.T) {
	s := newSimulator(2, 4, 0, 1)
	s.runUntilStable(maxRounds)
	s.setPartitioned("z0", true)
	s.setPartitioned("z1", true)
	s.addLeave("wave", true, "z0-0", "z1-0")
	for range 10 {
		s.step("z0")
		s.step("z1")
	}
	must.Eq(t, fleet.Serving, s.state("z0-0"))
	must.Eq(t, fleet.Serving, s.state("z1-0"))
	s.setPartitioned("z0", false)
	s.setPartitioned("z1", false)
	must.Less(t, maxRounds, s.runUntilStable(maxRounds))
	must.SliceEmpty(t, audit.Check(s.history))
}

// TestRandomEvents applies random events to the simulator. After each event it checks that the allowances of a pool do not
// exceed its budget; at the end, that the fleet becomes stable and that the recorded history passes the audit.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		budget := rapid.IntRange(1, 2).Draw(t, "budget")
		s := newSimulator(zones, 6, rapid.IntRange(0, 2).Draw(t, "spares"), budget)
		largestBudget := budget
		names := make([]string, len(s.config.Instances))
		for i, instance := range s.config.Instances {
			names[i] = instance.Name
		}
		zone := func() string { return fmt.Sprintf("z%d", rapid.IntRange(0, zones-1).Draw(t, "zone")) }
		name := func() string { return rapid.SampledFrom(names).Draw(t, "instance") }
		var delayedWrites []func()
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			s.now = s.now.Add(time.Second)
			switch rapid.IntRange(0, 10).Draw(t, "event") {
			case 0, 1, 2:
				s.step(zone())
			case 3:
				s.acknowledge(zone())
			case 4:
				s.down[name()] = true
			case 5:
				delete(s.down, name())
			case 6:
				s.addLeave(fmt.Sprintf("l%d", s.config.Revision), rapid.Bool().Draw(t, "return"), name())
			case 7:
				if len(s.config.Leaves) > 0 {
					s.publish(func(c *config.Config) { c.Leaves = c.Leaves[1:] })
				}
			case 8:
				z := zone()
				d, expect, decided := s.decide(z), s.zones[z].Revision, s.now
				delayedWrites = append(delayedWrites, func() {
					if s.now.Sub(decided) > audit.MaxViewAge {
						s.electPlanner(z) // another planner has been elected meanwhile
					}
					s.write(z, d, expect)
				})
			case 9:
				for _, apply := range delayedWrites {
					apply()
				}
				delayedWrites = nil
			case 10:
				z := zone()
				s.setPartitioned(z, !s.partitioned[z])
			}
			for _, pool := range []string{"p0", "p1"} {
				if granted := s.allowances(pool); granted > largestBudget {
					t.Fatalf("allowances of %s add up to %d with a budget of %d", pool, granted, largestBudget)
				}
			}
		}
		clear(s.down)
		for z := range zones {
			s.setPartitioned(fmt.Sprintf("z%d", z), false)
		}
		s.now = s.now.Add(time.Hour)
		if s.runUntilStable(maxRounds) == maxRounds {
			t.Fatalf("the fleet does not become stable; held actions: %v", s.held)
		}
		if violations := audit.Check(s.history); len(violations) > 0 {
			t.Fatalf("%v", violations)
		}
		for zoneName, record := range s.zones {
			for _, instance := range record.Instances {
				if instance.State.Draining() {
					t.Fatalf("instance %s of %s is still %s", instance.Name, zoneName, instance.State)
				}
			}
		}
	})
}
