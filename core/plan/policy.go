package plan

import (
	"cmp"
	"slices"
	"strings"

	"daisysaddle/core/config"
	"daisysaddle/core/kernel"
)

// Candidate is an instance that is due to leave.
type Candidate struct {
	Instance string
	Rack     string
	Pool     string
	Failed   bool
	Return   bool
	Reason   string
}

// Policy chooses the order of retirements and whether a maintained instance is replaced first.
type Policy interface {
	Order([]Candidate)
	Surge(weights config.Planner, room int) bool
}

// Policies holds the planner policies by name.
var Policies kernel.Registry[Policy]

func init() {
	Policies.Register("Weighted", Weighted{})
	Policies.Register("DrainFirst", DrainFirst{})
	Policies.Register("ReplaceFirst", ReplaceFirst{})
}

type byName struct{}

// Order sorts candidates by name.
func (byName) Order(candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int { return strings.Compare(a.Instance, b.Instance) })
}

// DrainFirst is the baseline that never replaces a maintained instance before it drains.
type DrainFirst struct{ byName }

// Surge reports false.
func (DrainFirst) Surge(config.Planner, int) bool { return false }

// ReplaceFirst is the baseline that always replaces an instance before it drains.
type ReplaceFirst struct{ byName }

// Surge reports true.
func (ReplaceFirst) Surge(config.Planner, int) bool { return true }

// Weighted weighs moves and buffer against roll-out time.
type Weighted struct{}

// Order empties failed instances first and then whole racks, so that few racks are open at once.
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

// Surge replaces first when there is no room to drain and the two moves of a
// replacement cost less than the delay and the spare that stands idle meanwhile.
func (Weighted) Surge(w config.Planner, room int) bool {
	if room > 0 {
		return false
	}
	return w.RollOutWeight+w.BufferWeight > movesPerReplacement*w.MovesWeight
}
