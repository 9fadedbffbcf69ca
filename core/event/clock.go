package event

import (
	"cmp"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock; a stamp that a clock has observed is less than all that it issues later.
type Stamp struct {
	Wall    time.Time
	Logical uint32
}

// Compare returns -1 if s is before t, 0 if they are equal, and +1 if s is after t.
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

// Next returns a stamp that is later than every stamp that the clock has issued or observed.
func (c *Clock) Next(now time.Time) Stamp {
	now = now.Round(0).UTC()
	if now.After(c.last.Wall) {
		c.last = Stamp{Wall: now}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe advances the clock to a stamp received from another entry, unless the stamp is more than maxAhead after now.
func (c *Clock) Observe(s Stamp, now time.Time, maxAhead time.Duration) {
	if s.Compare(c.last) > 0 && !s.Wall.After(now.Add(maxAhead)) {
		c.last = s
	}
}
