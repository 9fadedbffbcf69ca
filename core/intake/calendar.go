package intake

import "time"

// calendar holds the work that is expected from returning callers by the time of their return.
type calendar map[int64]float64

const (
	tick = 100 * time.Millisecond
	// ticks bounds the number of entries: returns lie between a returnWindow ago and the longest Retry-After ahead.
	ticks = int((maxRetryAfter+2*returnWindow)/tick) + 1
)

func tickOf(t time.Time) int64 { return t.UnixNano() / int64(tick) }

// add adds work to a time of return.
func (c *calendar) add(at time.Time, work float64) {
	if work == 0 {
		return
	}
	if *c == nil {
		*c = make(calendar)
	}
	k := tickOf(at)
	sum := (*c)[k] + work
	if sum < minWork {
		delete(*c, k)
		return
	}
	(*c)[k] = sum
	if len(*c) > ticks {
		for old := range *c {
			if old < k-int64(ticks) {
				delete(*c, old)
			}
		}
	}
}

// minWork, in processor-seconds, is below any job's work and above the rounding errors of sums.
const minWork = 1e-9

// around returns the work within returnWindow before and after now.
func (c *calendar) around(now time.Time) float64 {
	work := 0.0
	for k := tickOf(now.Add(-returnWindow)); k <= tickOf(now.Add(returnWindow)); k++ {
		work += (*c)[k]
	}
	return work
}
