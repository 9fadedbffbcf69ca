package route

import (
	"time"

	"daisysaddle/core/kernel"
)

// Share limits the requests that one entry has in flight at a target whose slots all entries of the zone share.
type Share interface {
	Limit(now time.Time) int
	Accepted(now time.Time) // called when the target has served a request
	Refused(now time.Time)  // called when the target has refused a request because it had no free slot
}

// ShareSettings describes a target's slots and the entries that share them.
type ShareSettings struct {
	Slots   int
	Entries int
	Index   int // index of this entry among the entries, from 0
	Owner   int // index of the only entry that uses the target under policy Owned
}

// Shares is the registry of sharing policies by name.
var Shares kernel.Registry[func(ShareSettings) Share]

func init() {
	Shares.Register("Static", func(s ShareSettings) Share { return staticShare(staticLimit(s)) })
	Shares.Register("Owned", func(s ShareSettings) Share { return staticShare(ownedLimit(s)) })
	Shares.Register("Optimistic", func(s ShareSettings) Share { return &optimisticShare{settings: s, limit: float64(s.Slots)} })
	Shares.Register("Greedy", func(s ShareSettings) Share { return staticShare(s.Slots) })
}

// staticShare is a constant limit.
type staticShare int

// Limit returns the constant limit.
func (s staticShare) Limit(time.Time) int { return int(s) }

// Accepted does nothing.
func (staticShare) Accepted(time.Time) {}

// Refused does nothing.
func (staticShare) Refused(time.Time) {}

// staticLimit divides the slots evenly among the entries; the entries with the lowest indexes take one more each
// until the remainder is used up.
func staticLimit(s ShareSettings) int {
	entries := max(1, s.Entries)
	limit := s.Slots / entries
	if s.Index < s.Slots%entries {
		limit++
	}
	return limit
}

func ownedLimit(s ShareSettings) int {
	if s.Index == s.Owner {
		return s.Slots
	}
	return 0
}

// optimisticShare starts with all slots as its limit, decreases the limit by a factor when the target refuses a
// request, and increases it by a constant for each request that the target serves.
type optimisticShare struct {
	settings     ShareSettings
	limit        float64
	lastDecrease time.Time
}

const (
	decreaseFactor      = 0.75
	increasePerAccept   = 0.1
	minDecreaseInterval = 5 * time.Millisecond
)

// Limit returns the current limit, which is never below the entry's static share nor below 1.
func (o *optimisticShare) Limit(time.Time) int {
	return max(int(o.limit), staticLimit(o.settings), 1)
}

// Accepted increases the limit by increasePerAccept, up to all slots.
func (o *optimisticShare) Accepted(time.Time) {
	o.limit = min(float64(o.settings.Slots), o.limit+increasePerAccept)
}

// Refused decreases the limit, at most once per minDecreaseInterval, so that several refusals of one overload count once.
func (o *optimisticShare) Refused(now time.Time) {
	if now.Sub(o.lastDecrease) < minDecreaseInterval {
		return
	}
	o.lastDecrease = now
	o.limit = max(1, o.limit*decreaseFactor)
}
