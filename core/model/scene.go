package model

import "time"

// Scene is a named experiment without policies.
type Scene struct {
	Name  string
	Setup Setup
}

// Combination names the policies of one row of a comparison.
type Combination struct {
	Name      string
	Admission string
	Routing   string
	Sharing   string
	Spill     bool
}

// Combinations lists the compared policies, the baseline first.
var Combinations = []Combination{
	{"Baseline", "Fifo", "RoundRobin", "Greedy", false},
	{"Static", "FairQueue", "LeastLoaded", "Static", false},
	{"StaticSpill", "FairQueue", "LeastLoaded", "Static", true},
	{"OwnedSpill", "FairQueue", "LeastLoaded", "Owned", true},
	{"Optimistic", "FairQueue", "LeastLoaded", "Optimistic", false},
	{"OptimisticSpill", "FairQueue", "LeastLoaded", "Optimistic", true},
}

const (
	sceneZones    = 3
	sceneEntries  = 2
	sceneTargets  = 4
	sceneSlots    = 8
	sceneService  = 60 * time.Millisecond
	sceneHop      = 200 * time.Microsecond
	sceneFarHop   = 900 * time.Microsecond
	sceneDeadline = 2 * time.Second
	sceneLength   = 20 * time.Second
	sceneFault    = 5 * time.Second
	burstPeriod   = 4 * time.Second
	burstFrom     = 6 * time.Second
	steadyShare   = 0.9
	quietShare    = 0.05 * burstMean
	burstShare    = 5 * burstMean
	burstMean     = 0.3 // of capacity, so that a burst asks for one and a half times what the pool holds
	faultShare    = 0.5
)

func base() Setup {
	return Setup{
		Zones: sceneZones, Entries: sceneEntries, Targets: sceneTargets, Slots: sceneSlots,
		Service: sceneService, Hop: sceneHop, FarHop: sceneFarHop, Deadline: sceneDeadline, Length: sceneLength, Fault: NoFault, FaultAt: sceneFault,
	}
}

// capacity returns the requests per second that all slots finish.
func (s Setup) capacity() float64 {
	return float64(s.Zones*s.Targets*s.Slots) / s.Service.Seconds()
}

// Scenes lists the experiments.
func Scenes() []Scene {
	steady := func(share float64, change func(*Setup)) Setup {
		s := base()
		rate := share * s.capacity()
		s.Rate = func(time.Duration) float64 { return rate }
		if change != nil {
			change(&s)
		}
		return s
	}
	burst := base()
	full := burst.capacity()
	burst.Rate = func(since time.Duration) float64 {
		if since >= burstFrom && since < burstFrom+burstPeriod {
			return burstShare * full
		}
		return quietShare * full
	}
	return []Scene{
		{"Burst5x", burst},
		{"Steady90", steady(steadyShare, nil)},
		{"Skewed80", steady(0.8, func(s *Setup) { s.Skew = 0.15 })},
		{"RackLost", steady(faultShare, func(s *Setup) { s.Fault = LoseRack })},
		{"ZoneLost", steady(faultShare, func(s *Setup) { s.Fault = LoseZone })},
		{"FailOne", steady(faultShare, func(s *Setup) { s.Fault = FailTarget })},
		{"FailAll", steady(faultShare, func(s *Setup) { s.Fault = FailAll })},
	}
}

// With returns the scene's setup with policies and seed.
func (s Scene) With(c Combination, seed uint64) Setup {
	setup := s.Setup
	setup.Admission, setup.Routing, setup.Sharing, setup.Spill, setup.Seed = c.Admission, c.Routing, c.Sharing, c.Spill, seed
	return setup
}
