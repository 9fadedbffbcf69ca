package model

import (
	"testing"

	"github.com/shoenig/test/must"
)

// stated targets of the request policies
const (
	minGoodput     = 0.95
	maxLoadFactor  = 1.2
	maxWastedShare = 0.01
)

func TestDefaultPoliciesMeetTheirTargets(t *testing.T) {
	for _, scene := range Scenes() {
		t.Run(scene.Name, func(t *testing.T) {
			r, err := Run(scene.With(Combinations[2], 7))
			must.NoError(t, err)
			must.GreaterEq(t, minGoodput, r.Goodput())
			must.LessEq(t, maxLoadFactor, float64(r.Attempts)/float64(r.Offered))
			must.LessEq(t, maxWastedShare, float64(r.Wasted)/float64(r.Executions))
			must.Zero(t, r.OverSlots)
		})
	}
}

func TestRunsWithOneSeedAreEqual(t *testing.T) {
	setup := Scenes()[0].With(Combinations[2], 3)
	first, err := Run(setup)
	must.NoError(t, err)
	second, err := Run(setup)
	must.NoError(t, err)
	must.Eq(t, first, second)
}
