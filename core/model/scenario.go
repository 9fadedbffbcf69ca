package model

import "time"

// Scenario is a named request simulation whose policies and seed are still to be set.
type Scenario struct {
	Name  string
	Setup RequestSetup
}

// PolicyCombination is a named set of policies to compare with others.
type PolicyCombination struct {
	Name      string
	Admission string
	Routing   string
	Sharing   string
	Spill     bool
}

// PolicyCombinations lists the sets of policies to compare, the baseline first.
var PolicyCombinations = []PolicyCombination{
	{"Baseline", "Fifo", "RoundRobin", "Greedy", false},
	{"Static", "FairQueue", "LeastLoaded", "Static", false},
	{"StaticSpill", "FairQueue", "LeastLoaded", "Static", true},
	{"OwnedSpill", "FairQueue", "LeastLoaded", "Owned", true},
	{"Optimistic", "FairQueue", "LeastLoaded", "Optimistic", false},
	{"OptimisticSpill", "FairQueue", "LeastLoaded", "Optimistic", true},
}

// Loads are shares of the capacity of all slots.
const (
	scenarioZones       = 3
	scenarioEntries     = 2 // in each zone
	scenarioTargets     = 4 // in each zone
	scenarioSlots       = 8 // of each target
	scenarioServiceTime = 60 * time.Millisecond
	scenarioHop         = 200 * time.Microsecond
	scenarioFarHop      = 900 * time.Microsecond
	scenarioDeadline    = 2 * time.Second
	scenarioDuration    = 20 * time.Second
	scenarioFaultAt     = 5 * time.Second
	burstDuration       = 4 * time.Second
	burstStart          = 6 * time.Second
	steadyLoad          = 0.9
	quietLoad           = 0.05 * meanBurstLoad
	burstLoad           = 5 * meanBurstLoad
	meanBurstLoad       = 0.3 // a burst of five times this load needs 1.5 times the capacity
	faultLoad           = 0.5
)

func baseSetup() RequestSetup {
	return RequestSetup{
		Zones: scenarioZones, Entries: scenarioEntries, Targets: scenarioTargets, Slots: scenarioSlots,
		ServiceTime: scenarioServiceTime, Hop: scenarioHop, FarHop: scenarioFarHop, Deadline: scenarioDeadline,
		Duration: scenarioDuration, Fault: NoFault, FaultAt: scenarioFaultAt,
	}
}

// requestsPerSecond returns the rate at which all slots together finish requests.
func (s RequestSetup) requestsPerSecond() float64 {
	return float64(s.Zones*s.Targets*s.Slots) / s.ServiceTime.Seconds()
}

// RequestScenarios lists the request simulations.
func RequestScenarios() []Scenario {
	steady := func(share float64, change func(*RequestSetup)) RequestSetup {
		s := baseSetup()
		rate := share * s.requestsPerSecond()
		s.Rate = func(time.Duration) float64 { return rate }
		if change != nil {
			change(&s)
		}
		return s
	}
	burst := baseSetup()
	full := burst.requestsPerSecond()
	burst.Rate = func(since time.Duration) float64 {
		if since >= burstStart && since < burstStart+burstDuration {
			return burstLoad * full
		}
		return quietLoad * full
	}
	return []Scenario{
		{"Burst5x", burst},
		{"Steady90", steady(steadyLoad, nil)},
		{"Skewed80", steady(0.8, func(s *RequestSetup) { s.Skew = 0.15 })},
		{"RackLost", steady(faultLoad, func(s *RequestSetup) { s.Fault = LoseRack })},
		{"ZoneLost", steady(faultLoad, func(s *RequestSetup) { s.Fault = LoseZone })},
		{"FailOne", steady(faultLoad, func(s *RequestSetup) { s.Fault = FailTarget })},
		{"FailAll", steady(faultLoad, func(s *RequestSetup) { s.Fault = FailAll })},
	}
}

// With returns the scenario's setup with the given policies and seed.
func (s Scenario) With(c PolicyCombination, seed uint64) RequestSetup {
	setup := s.Setup
	setup.Admission, setup.Routing, setup.Sharing, setup.Spill, setup.Seed = c.Admission, c.Routing, c.Sharing, c.Spill, seed
	return setup
}
