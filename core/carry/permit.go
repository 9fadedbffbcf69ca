package carry

import "time"

// PermitLasts is how old orders may be when their carrier sends them: beyond two heartbeats and the delay of a link, and
// within the time after which the owner settles an order without an answer.
const PermitLasts = time.Second

// Permitted reports whether a carrier may send orders now. The owner returns the newest reading of the carrier's clock
// that it had when it sent them, so they are at most as old as that reading. It needs no agreement of clocks, and
// holds for a carrier, an owner or a link that stood still in between.
func Permitted(now, heard time.Time) bool {
	return !heard.IsZero() && now.Sub(heard) <= PermitLasts
}
