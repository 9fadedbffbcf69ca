package plan

import (
	"cmp"
	"slices"
	"strings"

	"daisysaddle/core/config"
	"daisysaddle/core/kernel"
)

// Candidate is an instance that must leave but has not started to.
type Candidate struct {
	Instance string
	Rack     string
	Pool     string
	Failed   bool
	Return   bool   // whether the instance comes back after maintenance
	Reason   string // why it must leave
}

// Policy orders the instances that must leave; its Surge method reports whether an instance under maintenance is
// replaced from a spare pool before it drains, given how many more instances of the pool may be unavailable.
type Policy interface {
	Order([]Candidate)
	Surge(weights config.Planner, room int) bool
}

// Policies is the registry of planner policies by name.
var Policies kernel.Registry[Policy]

func init() {
	Policies.Register("Weighted", Weighted{})
	Policies.Register("DrainFirst", DrainFirst{})
	Policies.Register("ReplaceFirst", ReplaceFirst{})
}

type byName struct{}

// Order sorts candidates by instance name.
func (byName) Order(candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int { return strings.Compare(a.Instance, b.Instance) })
}

// DrainFirst is the baseline policy that never replaces an instance under maintenance before it drains.
type DrainFirst struct{ byName }

// Surge returns false.
func (DrainFirst) Surge(config.Planner, int) bool { return false }

// ReplaceFirst is the baseline policy that replaces every instance before it drains.
type ReplaceFirst struct{ byName }

// Surge returns true.
func (ReplaceFirst) Surge(config.Planner, int) bool { return true }

// Weighted trades the cost of moves against roll-out time and idle spare instances by configured weights.
type Weighted struct{}

// Order sorts failed instances first, the others by rack and name, so that the instances of a rack follow each other.
func (Weighted) Order(candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		if a.Failed != b.Failed {
			if a.Failed {
				return -1
			}
			return 1
		}
		return cmp.Or(strings.Compare(a.Rack, b.Rack), strings.Compare(a.Instance, b.Instance))
	})
}

const movesPerReplacement = 2

// Surge returns true if the allowance leaves no room to drain, and the two moves of a replacement cost less than one drain
// time of delay with one idle spare instance.
func (Weighted) Surge(w config.Planner, room int) bool {
	if room > 0 {
		return false
	}
	return w.RollOutWeight+w.BufferWeight > movesPerReplacement*w.MovesWeight
}
