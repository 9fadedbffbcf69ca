package event

import (
	"cmp"
	"time"
)

// Stamp orders events; a stamp that was observed is always smaller than one taken afterwards.
type Stamp struct {
	Wall    time.Time
	Logical uint32
}

// Compare returns -1, 0 or +1 as s is before, equal to or after t.
func (s Stamp) Compare(t Stamp) int {
	if c := s.Wall.Compare(t.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, t.Logical)
}

// Clock is a hybrid logical clock; its zero value is ready to use.
type Clock struct {
	last Stamp
}

// Next returns a stamp later than every stamp taken or observed before.
func (c *Clock) Next(now time.Time) Stamp {
	now = now.Round(0).UTC()
	if now.After(c.last.Wall) {
		c.last = Stamp{Wall: now}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe takes account of a stamp from another entry, unless it is more than maxAhead in the future.
func (c *Clock) Observe(s Stamp, now time.Time, maxAhead time.Duration) {
	if s.Compare(c.last) > 0 && !s.Wall.After(now.Add(maxAhead)) {
		c.last = s
	}
}
