package carry

import "time"

// PermitDuration is the maximum age of orders when they are sent to workers. It is longer than two heartbeats plus the delay
// of a link, and shorter than the time after which the owner stops a run whose start a silent carrier has not answered.
const PermitDuration = time.Second

// Permitted reports whether a carrier may still send orders that came with the given reading of its own clock. The owner
// returns with its orders the newest reading that it has received from the carrier, so the orders are no older than the
// reading. The check needs no synchronized clocks, and it holds if the carrier, the owner or the link was suspended meanwhile.
func Permitted(now, reading time.Time) bool {
	return !reading.IsZero() && now.Sub(reading) <= PermitDuration
}
