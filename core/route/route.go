package route

import (
	"math/rand/v2"

	"daisysaddle/core/kernel"
)

// Target is what a routing policy may know about one target.
type Target struct {
	InFlight int     // requests of this entry at the target
	Limit    int     // requests this entry may have there
	Weight   float64 // 1 for a target in good order, less for one that is suspected
	Excluded bool    // ejected, already tried, or without a free slot
}

func (t Target) free() bool {
	return !t.Excluded && t.InFlight < t.Limit
}

// Policy chooses a target; it returns -1 when none is free.
type Policy interface {
	Pick(targets []Target, random *rand.Rand) int
}

// Policies holds the routing policies by name; each call makes a policy of its own state.
var Policies kernel.Registry[func() Policy]

func init() {
	Policies.Register("LeastLoaded", func() Policy { return LeastLoaded{} })
	Policies.Register("RoundRobin", func() Policy { return &RoundRobin{} })
}

// LeastLoaded picks the target with the smallest share of its limit in use, and one of them by chance on a tie.
type LeastLoaded struct{}

// Pick chooses a target.
func (LeastLoaded) Pick(targets []Target, random *rand.Rand) int {
	best, ties := -1, 0
	bestLoad := 0.0
	for i, t := range targets {
		if !t.free() {
			continue
		}
		load := float64(t.InFlight+1) / (float64(t.Limit) * max(t.Weight, minWeight))
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

const minWeight = 0.01

// RoundRobin is the baseline that takes free targets in turn.
type RoundRobin struct {
	next int
}

// Pick chooses a target.
func (r *RoundRobin) Pick(targets []Target, _ *rand.Rand) int {
	for range targets {
		r.next = (r.next + 1) % len(targets)
		if targets[r.next].free() {
			return r.next
		}
	}
	return -1
}
