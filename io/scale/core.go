package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
	"daisysaddle/core/model"
	"daisysaddle/core/once"
	"daisysaddle/core/plan"
	"daisysaddle/core/route"
	"daisysaddle/io/proxy"
	"daisysaddle/io/wire"

	"daisysaddle/core/event"
)

// The design size of a deployment, to which the measured costs are extrapolated.
const (
	designInstances        = 640
	designPools            = 359
	designZones            = 5
	designInstancesPerZone = designInstances / designZones
	designEntries          = 10
	designIDs              = 60_000 // 100 ids per second, each remembered for ten minutes
	poolsPerInstance       = float64(designPools) / designInstances
	sparesPerInstance      = 1.0 / 16
)

// scaledFleet returns a fleet of the given number of instances with the proportions of pools and spares of the design size.
func scaledFleet(instances int) model.FleetSetup {
	spares := int(float64(instances) * sparesPerInstance)
	return model.FleetSetup{
		Zones: designZones, Pools: max(1, int(float64(instances)*poolsPerInstance)-1), Instances: instances - spares, Spares: spares,
		Budget: config.Budget{Count: 1}, Weights: config.Planner{FreezeFailures: 3, WaveInstances: 4, ReturnSpares: true},
	}
}

// configFiles returns the configuration of a fleet of the given number of instances, as INI files.
func configFiles(instances int) []config.File {
	c := model.FleetConfig(scaledFleet(instances))
	var b strings.Builder
	b.WriteString("[Deployment]\nName = scale\n\n")
	for _, z := range c.Zones {
		fmt.Fprintf(&b, "[Zone %s]\nRegion = r\n\n", z.Name)
	}
	for _, p := range c.Pools {
		if p.Spare {
			fmt.Fprintf(&b, "[Pool %s]\nSpare = yes\n\n", p.Name)
			continue
		}
		fmt.Fprintf(&b, "[Service %s]\n\n[Pool %s]\nService = %s\nBudget = %d\n\n", p.Name, p.Name, p.Service, p.Budget.Count)
	}
	for n, i := range c.Instances {
		fmt.Fprintf(&b, "[Instance %s]\nAddress = 10.0.%d.%d:8080\nZone = %s\nRack = %s\nPool = %s\n\n", i.Name, n/250, n%250+1, i.Zone, i.Rack, i.Pool)
	}
	return []config.File{{Name: "10-scale.ini", Text: b.String()}}
}

// initialZones returns the zone records after three rounds of planning from an empty store.
func initialZones(c *config.Config) map[string]fleet.Zone {
	zones := make(map[string]fleet.Zone)
	for range 3 {
		for _, z := range c.Zones {
			d := plan.Step(time.Unix(0, 0), planView(c, zones, z.Name), plan.Weighted{})
			d.Zone.Revision++
			zones[z.Name] = d.Zone
		}
	}
	return zones
}

func planView(c *config.Config, zones map[string]fleet.Zone, zone string) plan.View {
	sender := fleet.Sender{Name: zone, Incarnation: zone}
	view := plan.View{Config: c, Zone: zones[zone], Others: make(map[string]fleet.Zone), Members: []plan.Member{{Sender: sender}}}
	view.Zone.Name = zone
	for name, z := range zones {
		if name != zone {
			view.Others[name] = z
		}
	}
	view.Reports = []plan.Report{{Sender: sender, ZoneRevision: view.Zone.Revision}}
	return view
}

// instanceSizes are the fleet sizes, in instances, at which costs are measured.
var instanceSizes = []int{80, 160, 320, 640, 1280}

// MeasureCore measures the costs that need no running entries: planning, configuration, routing, encoding and memory.
func MeasureCore() ([]LinearFit, error) {
	var fits []LinearFit
	add := func(l LinearFit, err error) error {
		fits = append(fits, l)
		return err
	}
	for _, err := range []error{
		add(measureFit("PlanStepTime", "us", "Instances", designInstances, instanceSizes, planStepCost(minCallTime))),
		add(measureFit("PlanStepDueTime", "us", "Instances", designInstances, instanceSizes, planStepDueCost(minCallTime))),
		add(measureFit("PlanStepMemory", "KB", "Instances", designInstances, instanceSizes, planStepDueCost(meanAllocation))),
		add(measureFit("ConfigParseTime", "us", "Instances", designInstances, instanceSizes, parseTime)),
		add(measureFit("AcceptedRecord", "KB", "Instances", designInstances, instanceSizes, acceptedRecordSize)),
		add(measureFit("ZoneRecord", "KB", "InstancesOfZone", designInstancesPerZone, []int{16, 32, 64, 128, 256}, zoneRecordSize)),
		add(measureFit("ControlState", "KB", "Instances", designInstances, instanceSizes, controlStateSize)),
		add(measureFit("TableUpdateTime", "us", "Instances", designInstances, instanceSizes, tableUpdateTime)),
		add(measureFit("Heartbeat", "bytes", "Zones", designZones, []int{1, 2, 4, 8}, heartbeatSize)),
		add(measureFit("RequestIDMemory", "KB", "IDs", designIDs, []int{5_000, 10_000, 20_000, 40_000}, requestIDMemory)),
		add(measureFit("OwnerLookupTime", "us", "Entries", designEntries, []int{2, 4, 8, 16}, ownerLookupTime)),
	} {
		if err != nil {
			return nil, err
		}
	}
	return fits, nil
}

func planStepCost(measure func(func()) float64) func(int) (float64, error) {
	return func(instances int) (float64, error) {
		c := model.FleetConfig(scaledFleet(instances))
		v := planView(c, initialZones(c), "zone0")
		return measure(func() { plan.Step(time.Unix(1, 0), v, plan.Weighted{}) }), nil
	}
}

// planStepDueCost measures a planning step in which every instance is due for maintenance.
func planStepDueCost(measure func(func()) float64) func(int) (float64, error) {
	return func(instances int) (float64, error) {
		c := model.FleetConfig(scaledFleet(instances))
		v := planView(model.WithWave(c), initialZones(c), "zone0")
		return measure(func() { plan.Step(time.Unix(1, 0), v, plan.Weighted{}) }), nil
	}
}

func parseTime(instances int) (float64, error) {
	f := configFiles(instances)
	if _, problems := config.Parse(f, 1); len(problems) > 0 {
		return 0, config.JoinProblems(problems)
	}
	return minCallTime(func() { config.Parse(f, 1) }), nil
}

func acceptedRecordSize(instances int) (float64, error) {
	accepted, err := config.Publish(config.Accepted{}, 0, configFiles(instances), "operation")
	if err != nil {
		return 0, err
	}
	value, err := accepted.Encode()
	return float64(len(value)) / 1024, err
}

func zoneRecordSize(instances int) (float64, error) {
	c := model.FleetConfig(scaledFleet(instances * designZones))
	value, err := json.Marshal(initialZones(c)["zone0"])
	return float64(len(value)) / 1024, err
}

func controlStateSize(instances int) (float64, error) {
	f := configFiles(instances)
	type state struct {
		config *config.Config
		zones  map[string]fleet.Zone
		raw    [][]byte
	}
	return retainedHeap(func() state {
		c, _ := config.Parse(f, 1)
		s := state{config: c, zones: initialZones(c)}
		for _, z := range s.zones {
			value, _ := json.Marshal(z)
			s.raw = append(s.raw, value)
		}
		return s
	}), nil
}

type noDialer struct{}

// Open returns net.ErrClosed, because the measurement has no peers.
func (noDialer) Open(fleet.Sender) (net.Conn, error) { return nil, net.ErrClosed }

func tableUpdateTime(instances int) (float64, error) {
	c := model.FleetConfig(scaledFleet(instances))
	self := fleet.Sender{Name: "e", Incarnation: "e"}
	p := proxy.New(self, "zone0", noDialer{}, func(event.Event) {})
	table := proxy.Table{Ready: true, Policies: config.Policies{Admission: "FairQueue", Routing: "LeastLoaded", Sharing: "Static"}}
	for _, pool := range c.Pools {
		if pool.Spare {
			continue
		}
		r := proxy.Route{Service: config.Service{Name: pool.Service}, Pool: pool.Name}
		for n, i := range c.Instances {
			if i.Pool == pool.Name && i.Zone == "zone0" {
				i.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n % 250)}), 80)
				r.Targets = append(r.Targets, proxy.TargetSpec{Instance: i, Accepts: true, Share: route.ShareSettings{Slots: 8, Entries: 2}})
			}
		}
		table.Routes = append(table.Routes, r)
	}
	var err error
	took := minCallTime(func() { err = p.Update(time.Unix(1, 0), table) })
	return took, err
}

func heartbeatSize(zones int) (float64, error) {
	s := &wire.Status{Stamp: &wire.Stamp{WallNanoseconds: time.Now().UnixNano(), Logical: 1}, ConfigRevision: 10_000, PlatformUp: true}
	for z := range zones {
		s.Zones = append(s.Zones, &wire.ZoneRevision{Zone: fmt.Sprintf("zone%d", z), Revision: 100_000})
	}
	for i := range 4 {
		s.InFlight = append(s.InFlight, &wire.InFlight{Instance: fmt.Sprintf("zone0-%03d", i), Requests: 8})
	}
	return float64(proto.Size(&wire.Frame{Body: &wire.Frame_Status{Status: s}})), nil
}

func requestIDMemory(ids int) (float64, error) {
	return retainedHeap(func() *once.IDTable {
		table := &once.IDTable{Window: time.Minute}
		for i := range ids {
			id := fmt.Sprintf("%036d", i)
			table.Claim(time.Unix(1000, 0), id, time.Time{})
			table.Finish(time.Unix(1000, 0), id, once.Result{Outcome: "Done", Status: 200, BodyComplete: true, Body: make([]byte, 64)})
		}
		return table
	}), nil
}

func ownerLookupTime(entries int) (float64, error) {
	nodes := make([]string, entries)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("entry-%d-0123abcd", i)
	}
	const lookups = 1000
	took := minCallTime(func() {
		for range lookups {
			route.Owner(nodes, "01890000-0000-7000-8000-000000000000")
		}
	})
	return took / lookups, nil
}
