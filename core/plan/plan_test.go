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
	w := newSimulator(2, 6, 1, 1)
	must.Less(t, maxRounds, w.runUntilStable(maxRounds))
	w.addLeave("first", false, "z0-0")
	must.Less(t, maxRounds, w.runUntilStable(maxRounds))
	must.Eq(t, fleet.Returned, w.state("z0-0"))
	must.SliceEmpty(t, audit.Check(w.history))
	z := w.zones["z0"]
	must.Eq(t, 3, z.Available()["p0"])
	must.Zero(t, z.Available()["spare"])
}

func TestMaintenanceReturnsEveryInstanceAndTheSpare(t *testing.T) {
	w := newSimulator(3, 8, 1, 1)
	w.runUntilStable(maxRounds)
	w.publish(func(c *config.Config) {
		l := config.Leave{Name: "wave", Return: true}
		for _, i := range c.Instances {
			l.Instances = append(l.Instances, i.Name)
		}
		c.Leaves = append(c.Leaves, l)
	})
	must.Less(t, maxRounds, w.runUntilStable(maxRounds))
	for _, i := range w.config.Instances {
		z := w.zones[i.Zone]
		must.Eq(t, "wave", z.Find(i.Name).FinishedLeave, must.Sprint(i.Name))
		must.Eq(t, fleet.Serving, w.state(i.Name))
		must.Eq(t, i.Pool, z.Find(i.Name).Pool)
	}
	must.SliceEmpty(t, audit.Check(w.history))
}

func TestLeaveWaitsForEverySender(t *testing.T) {
	w := newSimulator(1, 4, 1, 1)
	w.runUntilStable(maxRounds)
	w.addLeave("first", false, "z0-0")
	must.True(t, w.step("z0"))
	for range 5 {
		w.step("z0")
		must.Eq(t, fleet.Leaving, w.state("z0-0"))
		must.Eq(t, RuleAck, w.held[0].Rule)
	}
	w.acknowledge("z0")
	w.inFlight["z0-0"] = 1
	w.step("z0")
	must.Eq(t, RuleInFlight, w.held[0].Rule)
	w.inFlight["z0-0"] = 0
	w.jobs["z0-0"] = 2
	w.step("z0")
	must.Eq(t, RuleJobs, w.held[0].Rule)
	w.jobs["z0-0"] = 0
	w.step("z0")
	must.Eq(t, fleet.Drained, w.state("z0-0"))
}

func TestCancelledLeaveServesAgain(t *testing.T) {
	w := newSimulator(1, 4, 0, 1)
	w.runUntilStable(maxRounds)
	w.addLeave("first", true, "z0-0")
	w.step("z0")
	must.Eq(t, fleet.Leaving, w.state("z0-0"))
	w.publish(func(c *config.Config) { c.Leaves = nil })
	w.step("z0")
	must.Eq(t, fleet.Serving, w.state("z0-0"))
}

// TestStalePlannerCannotWrite pauses one planner over another's write.
func TestStalePlannerCannotWrite(t *testing.T) {
	w := newSimulator(1, 4, 1, 1)
	w.runUntilStable(maxRounds)
	w.addLeave("first", false, "z0-0")
	delayed, expect := w.decide("z0"), w.zones["z0"].Revision
	must.True(t, w.step("z0"))
	must.False(t, w.write("z0", delayed, expect))
}

func TestExceededBudgetStopsVoluntaryDisruption(t *testing.T) {
	w := newSimulator(1, 8, 0, 1)
	w.runUntilStable(maxRounds)
	w.down["z0-2"] = true
	w.step("z0")
	w.addLeave("first", true, "z0-0")
	w.step("z0")
	must.Eq(t, fleet.Serving, w.state("z0-0"))
	must.Eq(t, RuleBudget, w.held[0].Rule)
	delete(w.down, "z0-2")
	w.runUntilStable(maxRounds)
	must.Eq(t, "first", findInstance(w, "z0-0").FinishedLeave)
}

func TestCorrelatedFailuresFreezeAndResume(t *testing.T) {
	w := newSimulator(1, 8, 2, 4)
	w.runUntilStable(maxRounds)
	for _, name := range []string{"z0-1", "z0-2", "z0-3"} {
		w.down[name] = true
	}
	w.step("z0")
	w.addLeave("first", true, "z0-4")
	w.step("z0")
	must.Eq(t, RuleFrozen, w.held[0].Rule)
	clear(w.down)
	w.now = w.now.Add(2 * time.Minute)
	w.runUntilStable(maxRounds)
	must.Eq(t, "first", findInstance(w, "z0-4").FinishedLeave)
}

func findInstance(w *simulator, name string) *fleet.Instance {
	for _, z := range w.zones {
		if i := z.Find(name); i != nil {
			return i
		}
	}
	return nil
}

func TestAllowanceOfAnotherZoneIsTransferredOnce(t *testing.T) {
	w := newSimulator(3, 4, 0, 1)
	w.runUntilStable(maxRounds)
	var names []string
	for z := range 3 {
		names = append(names, fmt.Sprintf("z%d-0", z), fmt.Sprintf("z%d-1", z))
	}
	w.addLeave("wave", true, names...)
	must.Less(t, maxRounds, w.runUntilStable(maxRounds))
	for _, name := range names {
		must.Eq(t, "wave", findInstance(w, name).FinishedLeave, must.Sprint(name))
	}
	must.SliceEmpty(t, audit.Check(w.history))
}

func TestPartitionedZonesStayWithinBudget(t *testing.T) {
	w := newSimulator(2, 4, 0, 1)
	w.runUntilStable(maxRounds)
	w.setPartitioned("z0", true)
	w.setPartitioned("z1", true)
	w.addLeave("wave", true, "z0-0", "z1-0")
	for range 10 {
		w.step("z0")
		w.step("z1")
	}
	must.Eq(t, fleet.Serving, w.state("z0-0"))
	must.Eq(t, fleet.Serving, w.state("z1-0"))
	w.setPartitioned("z0", false)
	w.setPartitioned("z1", false)
	must.Less(t, maxRounds, w.runUntilStable(maxRounds))
	must.SliceEmpty(t, audit.Check(w.history))
}

// TestRandomEvents checks budget, one pool and allowances after every step, and progress at the end.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		budget := rapid.IntRange(1, 2).Draw(t, "budget")
		w := newSimulator(zones, 6, rapid.IntRange(0, 2).Draw(t, "spares"), budget)
		largestBudget := budget
		names := make([]string, len(w.config.Instances))
		for i, placed := range w.config.Instances {
			names[i] = placed.Name
		}
		zone := func() string { return fmt.Sprintf("z%d", rapid.IntRange(0, zones-1).Draw(t, "zone")) }
		name := func() string { return rapid.SampledFrom(names).Draw(t, "instance") }
		var delayedWrites []func()
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			w.now = w.now.Add(time.Second)
			switch rapid.IntRange(0, 10).Draw(t, "event") {
			case 0, 1, 2:
				w.step(zone())
			case 3:
				w.acknowledge(zone())
			case 4:
				w.down[name()] = true
			case 5:
				delete(w.down, name())
			case 6:
				w.addLeave(fmt.Sprintf("l%d", w.config.Revision), rapid.Bool().Draw(t, "return"), name())
			case 7:
				if len(w.config.Leaves) > 0 {
					w.publish(func(c *config.Config) { c.Leaves = c.Leaves[1:] })
				}
			case 8:
				z := zone()
				d, expect, decided := w.decide(z), w.zones[z].Revision, w.now
				delayedWrites = append(delayedWrites, func() {
					if w.now.Sub(decided) > audit.ViewBound {
						w.electPlanner(z) // another planner has taken over meanwhile
					}
					w.write(z, d, expect)
				})
			case 9:
				for _, apply := range delayedWrites {
					apply()
				}
				delayedWrites = nil
			case 10:
				z := zone()
				w.setPartitioned(z, !w.partitioned[z])
			}
			for _, pool := range []string{"p0", "p1"} {
				if granted := w.allowances(pool); granted > largestBudget {
					t.Fatalf("allowances of %s sum to %d with a budget of %d", pool, granted, largestBudget)
				}
			}
		}
		clear(w.down)
		for z := range zones {
			w.setPartitioned(fmt.Sprintf("z%d", z), false)
		}
		w.now = w.now.Add(time.Hour)
		if w.runUntilStable(maxRounds) == maxRounds {
			t.Fatalf("the fleet does not come to rest; held %v", w.held)
		}
		if violations := audit.Check(w.history); len(violations) > 0 {
			t.Fatalf("%v", violations)
		}
		for i, s := range w.zones {
			for _, instance := range s.Instances {
				if instance.State.Emptying() {
					t.Fatalf("instance %s of %s is still %s", instance.Name, i, instance.State)
				}
			}
		}
	})
}
