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

func version(seconds int, revision uint64, states ...fleet.State) Version {
	z := fleet.Zone{Name: "z", Revision: revision, ConfigRevision: 1}
	for i, s := range states {
		z.Instances = append(z.Instances, fleet.Instance{Name: string(rune('a' + i)), Pool: "p", State: s})
	}
	return Version{At: at(seconds), Zone: z}
}

// TestCheckFindsEachBrokenPromise verifies the checker on histories that break exactly one promise.
func TestCheckFindsEachBrokenPromise(t *testing.T) {
	twoZones := version(1, 1, fleet.Serving)
	other := version(2, 1, fleet.Serving)
	other.Zone.Name = "y"
	cases := []struct {
		name    string
		history History
		broken  Promise
	}{
		{"budget", History{
			Configs:  []Accepted{{At: at(0), Config: poolConfig(1)}},
			Versions: []Version{version(1, 1, fleet.Serving, fleet.Serving, fleet.Serving), version(2, 2, fleet.Leaving, fleet.Leaving, fleet.Serving)},
		}, WithinBudget},
		{"two pools", History{Versions: []Version{twoZones, other}}, OnePool},
		{"cut answer", History{Calls: []Call{{Nonce: "n", Outcome: "Done", Answer: "n"}}}, WholeAnswer},
		{"another's answer", History{Calls: []Call{{Nonce: "n", Outcome: "Done", Answer: "m", Whole: true}}}, WholeAnswer},
		{"false refusal", History{
			Calls:      []Call{{Nonce: "n", Outcome: "NotRun", Idempotent: true}},
			Executions: []Execution{{Nonce: "n"}},
		}, NotRunIsTrue},
		{"refusal of an id that had run", History{
			Calls:      []Call{{Nonce: "n2", ID: "i", Outcome: "NotRun", Sent: at(2)}},
			Executions: []Execution{{Nonce: "n1", ID: "i", Started: at(1)}},
		}, NotRunIsTrue},
		{"duplicate", History{
			Calls:      []Call{{Nonce: "n", ID: "i", Outcome: "Unknown"}},
			Executions: []Execution{{Nonce: "n", ID: "i"}, {Nonce: "m", ID: "i"}},
		}, AtMostOnce},
		{"work on a leaving instance", History{
			Versions:   []Version{version(1, 1, fleet.Serving), version(2, 2, fleet.Leaving)},
			Executions: []Execution{{Nonce: "n", Instance: "a", Started: at(6)}},
		}, NoWorkOnLeaving},
		{"cut by a planned stop", History{
			Lifetimes: []Lifetime{{Entry: "e", Start: at(0), End: at(5), Graceful: true}},
			Calls:     []Call{{Nonce: "n", Entry: "e", Sent: at(2), Outcome: "Cut"}},
		}, GracefulStop},
		{"configuration goes back", History{InForce: []InForce{{At: at(1), Entry: "e", Revision: 2}, {At: at(2), Entry: "e", Revision: 1}}}, ConfigInForce},
		{"configuration late", History{
			Configs:   []Accepted{{At: at(1), Config: poolConfig(1)}},
			Lifetimes: []Lifetime{{Entry: "e", Start: at(0)}},
			InForce:   []InForce{{At: at(6), Entry: "e", Revision: 1}},
		}, ConfigInForce},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			counts := Count(Check(c.history))
			for _, p := range Promises {
				must.Eq(t, p == c.broken, counts[p] > 0, must.Sprintf("promise %s", p))
			}
		})
	}
}

func TestCheckPassesAllowedCases(t *testing.T) {
	cases := []struct {
		name    string
		history History
	}{
		{"failures beyond the budget are no decision", History{
			Configs:  []Accepted{{At: at(0), Config: poolConfig(1)}},
			Versions: []Version{version(1, 1, fleet.Serving, fleet.Serving, fleet.Serving), version(2, 2, fleet.Failed, fleet.Failed, fleet.Serving)},
		}},
		{"work that began within the bound after the mark", History{
			Versions:   []Version{version(1, 1, fleet.Serving), version(2, 2, fleet.Leaving)},
			Executions: []Execution{{Nonce: "n", Instance: "a", Started: at(4)}},
		}},
		{"configuration in force before its publisher knows", History{
			Configs:   []Accepted{{At: at(2), Config: poolConfig(1)}},
			Lifetimes: []Lifetime{{Entry: "e", Start: at(0)}},
			InForce:   []InForce{{At: at(1), Entry: "e", Revision: 1}},
		}},
		{"kept answer", History{Calls: []Call{{Nonce: "n", Outcome: "Done", Answer: "first", Replayed: true}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.SliceEmpty(t, Check(c.history)) })
	}
}
