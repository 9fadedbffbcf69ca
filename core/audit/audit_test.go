package audit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func poolConfig(revision uint64) *config.Config {
	return &config.Config{
		Revision: revision,
		Zones:    []config.Zone{{Name: "z"}},
		Services: []config.Service{{Name: "s"}},
		Pools:    []config.Pool{{Name: "p", Service: "s", Budget: config.Budget{Count: 1}}},
		Instances: []config.Instance{
			{Name: "a", Zone: "z", Pool: "p"}, {Name: "b", Zone: "z", Pool: "p"}, {Name: "c", Zone: "z", Pool: "p"},
		},
	}
}

func version(seconds int, revision uint64, states ...fleet.State) ZoneVersion {
	z := fleet.Zone{Name: "z", Revision: revision, ConfigRevision: 1}
	for i, s := range states {
		z.Instances = append(z.Instances, fleet.Instance{Name: string(rune('a' + i)), Pool: "p", State: s})
	}
	return ZoneVersion{At: at(seconds), Zone: z}
}

// TestCheckFindsEachViolation guards against a check that misses a violation, or that reports a violation of another invariant as well:
// each history violates exactly one invariant.
func TestCheckFindsEachViolation(t *testing.T) {
	twoZones := version(1, 1, fleet.Serving)
	other := version(2, 1, fleet.Serving)
	other.Zone.Name = "y"
	cases := []struct {
		name    string
		history History
		broken  Invariant
	}{
		{"budget", History{
			Configs:  []AcceptedConfig{{At: at(0), Config: poolConfig(1)}},
			Versions: []ZoneVersion{version(1, 1, fleet.Serving, fleet.Serving, fleet.Serving), version(2, 2, fleet.Leaving, fleet.Leaving, fleet.Serving)},
		}, WithinBudget},
		{"instance in two zone records", History{Versions: []ZoneVersion{twoZones, other}}, OnePool},
		{"incomplete answer", History{Calls: []Call{{Nonce: "n", Outcome: "Done", Answer: "n"}}}, WholeAnswer},
		{"answer to another call", History{Calls: []Call{{Nonce: "n", Outcome: "Done", Answer: "m", Complete: true}}}, WholeAnswer},
		{"NotRun for an executed call", History{
			Calls:      []Call{{Nonce: "n", Outcome: "NotRun", Idempotent: true}},
			Executions: []Execution{{Nonce: "n"}},
		}, NotRunIsTrue},
		{"NotRun for an id that was executed before", History{
			Calls:      []Call{{Nonce: "n2", ID: "i", Outcome: "NotRun", Sent: at(2)}},
			Executions: []Execution{{Nonce: "n1", ID: "i", Started: at(1)}},
		}, NotRunIsTrue},
		{"duplicate", History{
			Calls:      []Call{{Nonce: "n", ID: "i", Outcome: "Unknown"}},
			Executions: []Execution{{Nonce: "n", ID: "i"}, {Nonce: "m", ID: "i"}},
		}, AtMostOnce},
		{"work on a leaving instance", History{
			Versions:   []ZoneVersion{version(1, 1, fleet.Serving), version(2, 2, fleet.Leaving)},
			Executions: []Execution{{Nonce: "n", Instance: "a", Started: at(6)}},
		}, NoWorkOnLeaving},
		{"call cut by a planned shutdown", History{
			Lifetimes: []Lifetime{{Entry: "e", Start: at(0), End: at(5), Graceful: true}},
			Calls:     []Call{{Nonce: "n", Entry: "e", Sent: at(2), Outcome: "Cut"}},
		}, GracefulStop},
		{"configuration goes back", History{InForce: []ConfigActivation{{At: at(1), Entry: "e", Revision: 2}, {At: at(2), Entry: "e", Revision: 1}}}, ConfigInForce},
		{"configuration late", History{
			Configs:   []AcceptedConfig{{At: at(1), Config: poolConfig(1)}},
			Lifetimes: []Lifetime{{Entry: "e", Start: at(0)}},
			InForce:   []ConfigActivation{{At: at(6), Entry: "e", Revision: 1}},
		}, ConfigInForce},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			counts := CountByInvariant(Check(c.history))
			for _, invariant := range Invariants {
				must.Eq(t, invariant == c.broken, counts[invariant] > 0, must.Sprintf("invariant %s", invariant))
			}
		})
	}
}

// TestCheckPassesAllowedCases guards against false reports on histories close to a violation.
func TestCheckPassesAllowedCases(t *testing.T) {
	cases := []struct {
		name    string
		history History
	}{
		{"more failures than the budget are not a planned change", History{
			Configs:  []AcceptedConfig{{At: at(0), Config: poolConfig(1)}},
			Versions: []ZoneVersion{version(1, 1, fleet.Serving, fleet.Serving, fleet.Serving), version(2, 2, fleet.Failed, fleet.Failed, fleet.Serving)},
		}},
		{"execution started within the limit after the drain began", History{
			Versions:   []ZoneVersion{version(1, 1, fleet.Serving), version(2, 2, fleet.Leaving)},
			Executions: []Execution{{Nonce: "n", Instance: "a", Started: at(4)}},
		}},
		{"configuration in force before the publisher learned of its acceptance", History{
			Configs:   []AcceptedConfig{{At: at(2), Config: poolConfig(1)}},
			Lifetimes: []Lifetime{{Entry: "e", Start: at(0)}},
			InForce:   []ConfigActivation{{At: at(1), Entry: "e", Revision: 1}},
		}},
		{"stored answer of an earlier attempt", History{Calls: []Call{{Nonce: "n", Outcome: "Done", Answer: "first", Replayed: true}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.SliceEmpty(t, Check(c.history)) })
	}
}
