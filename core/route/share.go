package route

import (
	"time"

	"daisysaddle/core/kernel"
)

// Share limits the requests of one entry at one target, whose slots all entries of the zone share.
type Share interface {
	Limit(now time.Time) int
	Accepted(now time.Time) // the target took a request
	Refused(now time.Time)  // the target refused a request for want of a slot
}

// ShareSettings describes a target's slots and the entries that share them.
type ShareSettings struct {
	Slots   int
	Entries int
	Index   int // this entry's place among the entries, from 0
	Owner   int // place of the entry that owns the target
}

// Shares holds the sharing policies by name.
var Shares kernel.Registry[func(ShareSettings) Share]

func init() {
	Shares.Register("Static", func(s ShareSettings) Share { return static(staticLimit(s)) })
	Shares.Register("Owned", func(s ShareSettings) Share { return static(ownedLimit(s)) })
	Shares.Register("Optimistic", func(s ShareSettings) Share { return &optimistic{settings: s, limit: float64(s.Slots)} })
	Shares.Register("Greedy", func(s ShareSettings) Share { return static(s.Slots) })
}

// static is a share that never changes.
type static int

// Limit returns the share.
func (s static) Limit(time.Time) int { return int(s) }

// Accepted does nothing.
func (static) Accepted(time.Time) {}

// Refused does nothing.
func (static) Refused(time.Time) {}

// staticLimit divides slots evenly; the first entries take the remainder.
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

// optimistic uses all slots until the target refuses, then backs off and grows again.
type optimistic struct {
	settings ShareSettings
	limit    float64
	refused  time.Time
}

const (
	backOffFactor = 0.75
	growPerAccept = 0.1
	backOffPause  = 5 * time.Millisecond
)

// Limit returns the present limit, never below the static share.
func (o *optimistic) Limit(time.Time) int {
	return max(int(o.limit), staticLimit(o.settings), 1)
}

// Accepted grows the limit slowly.
func (o *optimistic) Accepted(time.Time) {
	o.limit = min(float64(o.settings.Slots), o.limit+growPerAccept)
}

// Refused shrinks the limit, at most once in a short time.
func (o *optimistic) Refused(now time.Time) {
	if now.Sub(o.refused) < backOffPause {
		return
	}
	o.refused = now
	o.limit = max(1, o.limit*backOffFactor)
}
