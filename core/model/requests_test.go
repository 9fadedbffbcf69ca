package model

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Targets that the default request policies are specified to meet.
const (
	minGoodput     = 0.95
	maxLoadFactor  = 1.2
	maxWastedShare = 0.01
)

// TestDefaultPoliciesMeetTheirTargets guards against a change of the policies that costs goodput, or that adds attempts,
// wasted executions or attempts at targets without a free slot.
func TestDefaultPoliciesMeetTheirTargets(t *testing.T) {
	for _, scenario := range RequestScenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			r, err := RunRequests(scenario.With(PolicyCombinations[2], 7))
			must.NoError(t, err)
			must.GreaterEq(t, minGoodput, r.Goodput())
			must.LessEq(t, maxLoadFactor, float64(r.Attempts)/float64(r.Offered))
			must.LessEq(t, maxWastedShare, float64(r.Wasted)/float64(r.Executions))
			must.Zero(t, r.OverSlots)
		})
	}
}

// TestRunsWithOneSeedAreEqual guards against sources of randomness other than the seed, such as map order.
func TestRunsWithOneSeedAreEqual(t *testing.T) {
	setup := RequestScenarios()[0].With(PolicyCombinations[2], 3)
	first, err := RunRequests(setup)
	must.NoError(t, err)
	second, err := RunRequests(setup)
	must.NoError(t, err)
	must.Eq(t, first, second)
}
