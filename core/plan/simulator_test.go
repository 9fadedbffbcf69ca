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

// simulator is a fake platform with one planner a zone and senders that acknowledge when told to.
type simulator struct {
	now          time.Time
	config       *config.Config
	policy       Policy
	zones        map[string]fleet.Zone
	acknowledged map[string]uint64 // zone revision by sender incarnation
	inFlight     map[string]int    // requests in flight by instance
	down         map[string]bool
	absent       map[string]bool
	jobs         map[string]int
	partitioned  map[string]bool // zones cut off from the platform
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
	w := &simulator{
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
	w.publish(func(*config.Config) {})
	return w
}

// publish accepts an edited configuration.
func (w *simulator) publish(edit func(*config.Config)) {
	next := *w.config
	next.Instances = slices.Clone(next.Instances)
	next.Leaves = slices.Clone(next.Leaves)
	next.Pools = slices.Clone(next.Pools)
	next.Revision++
	edit(&next)
	w.config = &next
	w.history.Configs = append(w.history.Configs, audit.Accepted{At: w.now, Config: &next})
}

func sender(zone string, n int) fleet.Sender {
	return fleet.Sender{Name: fmt.Sprintf("%s-e%d", zone, n), Incarnation: fmt.Sprintf("%s-e%d", zone, n)}
}

func (w *simulator) view(zone string) View {
	v := View{Config: w.config, Zone: w.zones[zone], Others: make(map[string]fleet.Zone), Down: w.down, Absent: w.absent, JobsOn: w.jobs, Gone: make(map[string]bool)}
	if v.Zone.Name == "" {
		v.Zone.Name = zone
	}
	for name, z := range w.zones {
		if name != zone {
			v.Others[name] = z
		}
	}
	if w.partitioned[zone] {
		v.Others = w.staleViews[zone]
	}
	for n := range 2 {
		s := sender(zone, n)
		v.Members = append(v.Members, Member{Sender: s})
		v.Reports = append(v.Reports, Report{Sender: s, ZoneRevision: w.acknowledged[s.Incarnation], InFlight: w.inFlight})
	}
	return v
}

// decide takes a planning step without writing it.
func (w *simulator) decide(zone string) Decision {
	d := Step(w.now, w.view(zone), w.policy)
	w.held = d.Held
	return d
}

// write is the compare-and-swap of a decision; it reports false on a conflict.
func (w *simulator) write(zone string, d Decision, expect uint64) bool {
	if !d.Changed || w.zones[zone].Revision != expect || w.partitioned[zone] {
		return false
	}
	d.Zone.Revision = expect + 1
	w.zones[zone] = d.Zone.Clone()
	w.history.Versions = append(w.history.Versions, audit.Version{At: w.now, Zone: d.Zone.Clone()})
	return true
}

// electPlanner writes the term of a new planner.
func (w *simulator) electPlanner(zone string) {
	z := w.zones[zone].Clone()
	z.Revision++
	z.Term++
	w.zones[zone] = z
}

func (w *simulator) step(zone string) bool {
	w.steps++
	return w.write(zone, w.decide(zone), w.zones[zone].Revision)
}

func (w *simulator) acknowledge(zone string) {
	for n := range 2 {
		w.acknowledged[sender(zone, n).Incarnation] = w.zones[zone].Revision
	}
}

// runUntilStable lets everything run without faults until nothing changes and returns the number of rounds.
func (w *simulator) runUntilStable(limit int) int {
	for round := range limit {
		w.now = w.now.Add(time.Second)
		changed := false
		for _, z := range w.config.Zones {
			w.acknowledge(z.Name)
			changed = w.step(z.Name) || changed
			w.acknowledge(z.Name)
			w.rebootReturned(z.Name)
		}
		if !changed {
			return round
		}
	}
	return limit
}

// rebootReturned lets returned instances go away and come back.
func (w *simulator) rebootReturned(zone string) {
	for _, i := range w.zones[zone].Instances {
		if i.State == fleet.Returned {
			w.absent[i.Name] = !i.Absent
		} else {
			delete(w.absent, i.Name)
		}
	}
}

func (w *simulator) setPartitioned(zone string, partitioned bool) {
	if partitioned && !w.partitioned[zone] {
		w.staleViews[zone] = w.view(zone).Others
	}
	w.partitioned[zone] = partitioned
}

// allowances returns the granted and travelling allowance of a pool over all zones.
func (w *simulator) allowances(pool string) int {
	total := 0
	for _, z := range w.zones {
		for _, a := range z.Allowances {
			if a.Pool == pool {
				total += a.Granted
			}
		}
		for _, t := range z.Outgoing {
			if t.Pool == pool && !slices.Contains(w.zones[t.To].Taken, t.ID) {
				total++
			}
		}
	}
	return total
}

func (w *simulator) addLeave(name string, returns bool, instances ...string) {
	w.publish(func(c *config.Config) {
		c.Leaves = append(c.Leaves, config.Leave{Name: name, Instances: instances, Return: returns})
	})
}

func (w *simulator) state(name string) fleet.State {
	for _, z := range w.zones {
		if i := z.Find(name); i != nil {
			return i.State
		}
	}
	return ""
}
