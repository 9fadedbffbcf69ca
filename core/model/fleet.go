package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"daisysaddle/core/audit"
	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
	"daisysaddle/core/plan"
)

// FleetSetup describes a simulated maintenance wave over a whole fleet.
type FleetSetup struct {
	Name           string
	Zones          int
	Pools          int // serving pools, without the pool of spares
	Instances      int // in serving pools, over all zones
	Spares         int // over all zones
	Budget         config.Budget
	DrainTime      time.Duration // time until a draining instance has no request in flight and no job
	RebootTime     time.Duration // time from the return of an instance to the platform until it is listed again
	FailuresPerDay float64       // unplanned failures and restarts per day, over the fleet
	RepairTime     time.Duration
	Weights        config.Planner
	Policy         string
	Seed           uint64
}

// FleetResult holds the duration and the costs of a wave.
type FleetResult struct {
	RollOut time.Duration
	Bound   time.Duration // lower bound of RollOut that follows from wave size, budgets, spares, drain and reboot times
	// BoundWithoutMoves is the bound without spares that replace instances. It is valid only if each pool has a budget.
	BoundWithoutMoves time.Duration
	Finished          bool
	Moves             uint64
	BufferCost        float64 // instance-hours of spares and of serving instances beyond the pools' targets
	Violations        int
	Failures          int
	Steps             int
	StepTime          time.Duration // mean real time of a planning step
}

const (
	rackSize       = 4
	fleetTick      = time.Second
	maxRollOut     = 7 * 24 * time.Hour // the simulation stops here
	secondsPerHour = 3600.0
	secondsPerDay  = 24 * secondsPerHour
)

// FleetConfig returns the configuration of a fleet before its maintenance wave.
// A pool whose budget covers all its instances gets an empty budget.
func FleetConfig(s FleetSetup) *config.Config {
	c := &config.Config{Revision: 1, Planner: s.Weights}
	for z := range s.Zones {
		c.Zones = append(c.Zones, config.Zone{Name: fmt.Sprintf("zone%d", z)})
	}
	sizes := make([]int, s.Pools)
	for i := range s.Instances {
		sizes[i%s.Pools]++
	}
	for p := range s.Pools {
		name := fmt.Sprintf("pool%03d", p)
		budget := s.Budget
		if budget.Limit(sizes[p]) >= sizes[p] {
			budget = config.Budget{}
		}
		c.Services = append(c.Services, config.Service{Name: name})
		c.Pools = append(c.Pools, config.Pool{Name: name, Service: name, Budget: budget})
	}
	c.Pools = append(c.Pools, config.Pool{Name: "spare", Spare: true})
	perZone := make([]int, s.Zones)
	add := func(i int, pool string) {
		zone := i % s.Zones
		c.Instances = append(c.Instances, config.Instance{
			Name: fmt.Sprintf("zone%d-%03d", zone, perZone[zone]), Zone: fmt.Sprintf("zone%d", zone),
			Rack: fmt.Sprintf("r%02d", perZone[zone]/rackSize), Pool: pool, Slots: scenarioSlots,
		})
		perZone[zone]++
	}
	for i := range s.Instances {
		add(i, fmt.Sprintf("pool%03d", i%s.Pools))
	}
	for i := range s.Spares {
		add(i, "spare")
	}
	return c
}

// WithWave returns a copy of c, with the next revision, in which every instance is due for maintenance.
func WithWave(c *config.Config) *config.Config {
	next := *c
	next.Revision++
	wave := config.Leave{Name: "wave", Return: true}
	for _, i := range c.Instances {
		wave.Instances = append(wave.Instances, i.Name)
	}
	next.Leaves = append(next.Leaves, wave)
	return &next
}

// fleetSimulation is the state of a simulated maintenance wave.
type fleetSimulation struct {
	FleetSetup
	now            time.Time
	config         *config.Config
	policy         plan.Policy
	zones          map[string]fleet.Zone
	failedUntil    map[string]time.Time // end of an instance's unplanned failure
	rebootingUntil map[string]time.Time // time at which a returned instance is listed again
	random         *rand.Rand
	history        audit.History
	result         FleetResult
	planningTime   time.Duration // real time
}

// RunFleet simulates a maintenance wave until every instance was maintained or the time limit of a week is reached.
// It returns an error if the policy is unknown.
func RunFleet(s FleetSetup) (FleetResult, error) {
	policy, err := plan.Policies.Lookup(s.Policy)
	if err != nil {
		return FleetResult{}, err
	}
	w := &fleetSimulation{
		FleetSetup: s, now: time.Unix(0, 0), policy: policy, zones: make(map[string]fleet.Zone),
		failedUntil: make(map[string]time.Time), rebootingUntil: make(map[string]time.Time), random: rand.New(rand.NewPCG(s.Seed, s.Seed+3)),
	}
	w.publish(FleetConfig(s))
	for range 10 {
		w.tick(false)
	}
	w.publish(WithWave(w.config))
	start := w.now
	for w.now.Sub(start) < maxRollOut && !w.allMaintained() {
		w.tick(true)
	}
	w.result.RollOut = w.now.Sub(start)
	w.result.Finished = w.allMaintained()
	w.result.Bound, w.result.BoundWithoutMoves = w.minRollOut(w.Spares), w.minRollOut(0)
	w.result.Violations = len(audit.Check(w.history))
	for _, z := range w.zones {
		w.result.Moves += z.Moves
	}
	if w.result.Steps > 0 {
		w.result.StepTime = w.planningTime / time.Duration(w.result.Steps)
	}
	return w.result, nil
}

func (w *fleetSimulation) publish(c *config.Config) {
	w.config = c
	w.history.Configs = append(w.history.Configs, audit.AcceptedConfig{At: w.now, Config: c})
}

func (w *fleetSimulation) tick(injectFailures bool) {
	w.now = w.now.Add(fleetTick)
	if injectFailures && w.random.Float64() < w.FailuresPerDay/secondsPerDay*fleetTick.Seconds() {
		victim := w.config.Instances[w.random.IntN(len(w.config.Instances))].Name
		w.failedUntil[victim] = w.now.Add(w.RepairTime)
		w.result.Failures++
	}
	for _, z := range w.config.Zones {
		w.planZone(z.Name)
	}
	w.addBufferCost()
}

func (w *fleetSimulation) planZone(zone string) {
	view := w.view(zone)
	before := time.Now()
	d := plan.Step(w.now, view, w.policy)
	w.planningTime += time.Since(before)
	w.result.Steps++
	if !d.Changed {
		return
	}
	d.Zone.Revision++
	for _, i := range d.Zone.Instances {
		old := view.Zone.Find(i.Name)
		if i.State == fleet.Returned && old != nil && old.State != fleet.Returned {
			w.rebootingUntil[i.Name] = w.now.Add(w.RebootTime)
		}
	}
	w.zones[zone] = d.Zone
	w.history.Versions = append(w.history.Versions, audit.ZoneVersion{At: w.now, Zone: d.Zone.Clone()})
}

func (w *fleetSimulation) view(zone string) plan.View {
	sender := fleet.Sender{Name: zone, Incarnation: zone}
	v := plan.View{
		Config: w.config, Zone: w.zones[zone], Others: make(map[string]fleet.Zone),
		FailedInstances: make(map[string]bool), Absent: make(map[string]bool), Members: []plan.Member{{Sender: sender}},
	}
	v.Zone.Name = zone
	for name, z := range w.zones {
		if name != zone {
			v.Others[name] = z
		}
	}
	inFlight := make(map[string]int)
	for _, i := range v.Zone.Instances {
		if i.State.Draining() && w.now.Sub(i.Since) < w.DrainTime {
			inFlight[i.Name] = 1
		}
		v.FailedInstances[i.Name] = w.now.Before(w.failedUntil[i.Name])
		v.Absent[i.Name] = w.now.Before(w.rebootingUntil[i.Name])
	}
	v.Reports = []plan.Report{{Sender: sender, ZoneRevision: v.Zone.Revision, InFlight: inFlight}}
	return v
}

func (w *fleetSimulation) allMaintained() bool {
	for _, z := range w.zones {
		for _, i := range z.Instances {
			if i.FinishedLeave == "" || i.State != fleet.Serving && i.State != fleet.Failed {
				return false
			}
		}
	}
	return true
}

// addBufferCost adds one tick of the spares and of the serving instances beyond the pools' targets to the buffer cost.
func (w *fleetSimulation) addBufferCost() {
	for _, z := range w.zones {
		targets := fleet.Targets(w.config, z.Name)
		for pool, available := range z.Available() {
			if pool == "spare" {
				w.result.BufferCost += float64(available) * fleetTick.Seconds() / secondsPerHour
			} else {
				w.result.BufferCost += float64(max(0, available-targets[pool])) * fleetTick.Seconds() / secondsPerHour
			}
		}
	}
}

// minRollOut returns a lower bound of the roll-out time: each zone drains at most WaveInstances instances of one rack
// at a time, and in each pool at most the budget plus the given number of spares are away at once.
func (w *fleetSimulation) minRollOut(spares int) time.Duration {
	cycle := w.DrainTime + w.RebootTime
	sizes := w.config.PoolSizes()
	longest := time.Duration(0)
	perZone := (w.Instances + w.Spares + w.Zones - 1) / w.Zones
	waveSize := min(w.Weights.WaveInstances, rackSize)
	longest = max(longest, time.Duration((perZone+waveSize-1)/waveSize)*w.DrainTime+w.RebootTime)
	for _, p := range w.config.Pools {
		if p.Spare {
			continue
		}
		maxMissing := p.Budget.Limit(sizes[p.Name]) + spares
		longest = max(longest, time.Duration((sizes[p.Name]+maxMissing-1)/max(1, maxMissing))*cycle)
	}
	return longest
}

// FleetScenarios lists the simulated fleets: those of the example deployments Sicily and NorteChico, and one as large as planned
// for two years ahead.
func FleetScenarios() []FleetSetup {
	weights := config.Planner{FreezeFailures: 3, FreezePeriod: 10 * time.Minute, WaveInstances: 4, ReturnSpares: true, ReplaceAfter: 10 * time.Minute}
	moves, buffer := weights, weights
	moves.MovesWeight, moves.BufferWeight, moves.RollOutWeight = 3, 1, 1
	buffer.MovesWeight, buffer.BufferWeight, buffer.RollOutWeight = 1, 3, 2
	common := FleetSetup{Budget: config.Budget{Count: 1}, DrainTime: 30 * time.Second, RebootTime: 2 * time.Minute, FailuresPerDay: 68, RepairTime: 5 * time.Minute}
	sicily, norteChico, twoYears := common, common, common
	sicily.Name, sicily.Zones, sicily.Pools, sicily.Instances, sicily.Spares, sicily.Weights = "Sicily", 3, 5, 48, 8, moves
	norteChico.Name, norteChico.Zones, norteChico.Pools, norteChico.Instances, norteChico.Spares, norteChico.Weights = "NorteChico", 4, 5, 48, 8, buffer
	twoYears.Name, twoYears.Zones, twoYears.Pools, twoYears.Instances, twoYears.Spares, twoYears.Weights = "TwoYears", 5, 358, 600, 40, moves
	return []FleetSetup{sicily, norteChico, twoYears}
}

// FleetPolicies lists the planner policies to compare, the baselines first.
var FleetPolicies = []string{"DrainFirst", "ReplaceFirst", "Weighted"}
