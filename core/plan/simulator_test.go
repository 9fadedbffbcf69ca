package plan

import (
	"fmt"
	"slices"
	"time"

	"daisysaddle/core/audit"
	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulator simulates a platform with one planner and two senders per zone; senders acknowledge only on request.
type simulator struct {
	now          time.Time
	config       *config.Config
	policy       Policy
	zones        map[string]fleet.Zone
	acknowledged map[string]uint64 // acknowledged zone revision by sender incarnation
	inFlight     map[string]int    // number of requests in flight by instance
	down         map[string]bool
	absent       map[string]bool
	jobs         map[string]int
	partitioned  map[string]bool // zones that cannot reach the platform
	staleViews   map[string]map[string]fleet.Zone
	history      audit.History
	held         []Held
	steps        int
}

func newSimulator(zones, perZone, spares, budget int) *simulator {
	c := &config.Config{
		Revision: 1,
		Planner:  config.Planner{FreezeFailures: 3, FreezePeriod: time.Minute, WaveInstances: 4, ReturnSpares: true, MovesWeight: 1, BufferWeight: 1, RollOutWeight: 1, ReplaceAfter: time.Minute},
		Services: []config.Service{{Name: "s0"}, {Name: "s1"}},
		Pools:    []config.Pool{{Name: "p0", Service: "s0", Budget: config.Budget{Count: budget}}, {Name: "p1", Service: "s1", Budget: config.Budget{Count: budget}}, {Name: "spare", Spare: true}},
	}
	s := &simulator{
		now: start, config: c, policy: Weighted{}, zones: make(map[string]fleet.Zone), acknowledged: make(map[string]uint64), inFlight: make(map[string]int),
		down: make(map[string]bool), absent: make(map[string]bool), jobs: make(map[string]int), partitioned: make(map[string]bool), staleViews: make(map[string]map[string]fleet.Zone),
	}
	for z := range zones {
		name := fmt.Sprintf("z%d", z)
		c.Zones = append(c.Zones, config.Zone{Name: name})
		for i := range perZone + spares {
			pool := fmt.Sprintf("p%d", i%2)
			if i >= perZone {
				pool = "spare"
			}
			c.Instances = append(c.Instances, config.Instance{Name: fmt.Sprintf("%s-%d", name, i), Zone: name, Rack: fmt.Sprintf("r%d", i/4), Pool: pool})
		}
	}
	s.publish(func(*config.Config) {})
	return s
}

// publish edits a copy of the configuration and makes it the accepted one.
func (s *simulator) publish(edit func(*config.Config)) {
	next := *s.config
	next.Instances = slices.Clone(next.Instances)
	next.Leaves = slices.Clone(next.Leaves)
	next.Pools = slices.Clone(next.Pools)
	next.Revision++
	edit(&next)
	s.config = &next
	s.history.Configs = append(s.history.Configs, audit.AcceptedConfig{At: s.now, Config: &next})
}

func sender(zone string, n int) fleet.Sender {
	return fleet.Sender{Name: fmt.Sprintf("%s-e%d", zone, n), Incarnation: fmt.Sprintf("%s-e%d", zone, n)}
}

func (s *simulator) view(zone string) View {
	v := View{Config: s.config, Zone: s.zones[zone], Others: make(map[string]fleet.Zone), FailedInstances: s.down, Absent: s.absent, JobsOn: s.jobs, Ended: make(map[string]bool)}
	if v.Zone.Name == "" {
		v.Zone.Name = zone
	}
	for name, z := range s.zones {
		if name != zone {
			v.Others[name] = z
		}
	}
	if s.partitioned[zone] {
		v.Others = s.staleViews[zone]
	}
	for n := range 2 {
		member := sender(zone, n)
		v.Members = append(v.Members, Member{Sender: member})
		v.Reports = append(v.Reports, Report{Sender: member, ZoneRevision: s.acknowledged[member.Incarnation], InFlight: s.inFlight})
	}
	return v
}

// decide runs a planning step without writing its result.
func (s *simulator) decide(zone string) Decision {
	d := Step(s.now, s.view(zone), s.policy)
	s.held = d.Held
	return d
}

// write stores a decision by compare-and-swap. It returns false if the decision changes nothing, the zone's revision is
// not expect, or the zone is partitioned.
func (s *simulator) write(zone string, d Decision, expect uint64) bool {
	if !d.Changed || s.zones[zone].Revision != expect || s.partitioned[zone] {
		return false
	}
	d.Zone.Revision = expect + 1
	s.zones[zone] = d.Zone.Clone()
	s.history.Versions = append(s.history.Versions, audit.ZoneVersion{At: s.now, Zone: d.Zone.Clone()})
	return true
}

// electPlanner writes the fencing token of a new planner.
func (s *simulator) electPlanner(zone string) {
	z := s.zones[zone].Clone()
	z.Revision++
	z.FencingToken++
	s.zones[zone] = z
}

func (s *simulator) step(zone string) bool {
	s.steps++
	return s.write(zone, s.decide(zone), s.zones[zone].Revision)
}

func (s *simulator) acknowledge(zone string) {
	for n := range 2 {
		s.acknowledged[sender(zone, n).Incarnation] = s.zones[zone].Revision
	}
}

// runUntilStable runs rounds in which all planners step, senders acknowledge and returned instances reboot. It returns the
// number of rounds until nothing changed, or limit.
func (s *simulator) runUntilStable(limit int) int {
	for round := range limit {
		s.now = s.now.Add(time.Second)
		changed := false
		for _, z := range s.config.Zones {
			s.acknowledge(z.Name)
			changed = s.step(z.Name) || changed
			s.acknowledge(z.Name)
			s.rebootReturned(z.Name)
		}
		if !changed {
			return round
		}
	}
	return limit
}

// rebootReturned makes returned instances absent, and present again once their absence is recorded.
func (s *simulator) rebootReturned(zone string) {
	for _, i := range s.zones[zone].Instances {
		if i.State == fleet.Returned {
			s.absent[i.Name] = !i.Absent
		} else {
			delete(s.absent, i.Name)
		}
	}
}

func (s *simulator) setPartitioned(zone string, partitioned bool) {
	if partitioned && !s.partitioned[zone] {
		s.staleViews[zone] = s.view(zone).Others
	}
	s.partitioned[zone] = partitioned
}

// allowances returns the sum over all zones of a pool's granted allowance and of its transfers not yet received.
func (s *simulator) allowances(pool string) int {
	total := 0
	for _, z := range s.zones {
		for _, a := range z.Allowances {
			if a.Pool == pool {
				total += a.Granted
			}
		}
		for _, t := range z.Outgoing {
			if t.Pool == pool && !slices.Contains(s.zones[t.To].ReceivedTransfers, t.ID) {
				total++
			}
		}
	}
	return total
}

func (s *simulator) addLeave(name string, returns bool, instances ...string) {
	s.publish(func(c *config.Config) {
		c.Leaves = append(c.Leaves, config.Leave{Name: name, Instances: instances, Return: returns})
	})
}

func (s *simulator) state(name string) fleet.State {
	for _, z := range s.zones {
		if i := z.Find(name); i != nil {
			return i.State
		}
	}
	return ""
}
