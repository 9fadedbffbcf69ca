package route

import (
	"math/rand/v2"

	"daisysaddle/core/kernel"
)

// Target describes a target to a routing policy.
type Target struct {
	InFlight int     // requests that this entry has in flight at the target
	Limit    int     // requests that this entry may have in flight there
	Weight   float64 // 1 for a healthy target, less in proportion to recent failures
	Excluded bool    // not accepting, ejected, or the target of the last failed attempt
}

func (t Target) available() bool {
	return !t.Excluded && t.InFlight < t.Limit
}

// Policy selects a target; Pick returns its index, or -1 if no target is available.
type Policy interface {
	Pick(targets []Target, random *rand.Rand) int
}

// Policies is the registry of routing policies by name; each constructor call returns a policy with its own state.
var Policies kernel.Registry[func() Policy]

func init() {
	Policies.Register("LeastLoaded", func() Policy { return LeastLoaded{} })
	Policies.Register("RoundRobin", func() Policy { return &RoundRobin{} })
}

// LeastLoaded picks the target with the lowest load relative to its weighted limit and breaks ties at random.
type LeastLoaded struct{}

// Pick returns the index of the least loaded available target, or -1.
func (LeastLoaded) Pick(targets []Target, random *rand.Rand) int {
	best, ties := -1, 0
	bestLoad := 0.0
	for i, t := range targets {
		if !t.available() {
			continue
		}
		load := float64(t.InFlight+1) / (float64(t.Limit) * max(t.Weight, minTargetWeight))
		switch {
		case best < 0 || load < bestLoad:
			best, bestLoad, ties = i, load, 1
		case load == bestLoad:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

const minTargetWeight = 0.01

// RoundRobin is the baseline policy that takes available targets in turn.
type RoundRobin struct {
	next int
}

// Pick returns the index of the next available target, or -1.
func (r *RoundRobin) Pick(targets []Target, _ *rand.Rand) int {
	for range targets {
		r.next = (r.next + 1) % len(targets)
		if targets[r.next].available() {
			return r.next
		}
	}
	return -1
}
