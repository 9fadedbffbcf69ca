package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// SteadyClock returns a clock that counts suspensions and is not moved by steps of the time of day.
//
// It begins at the time of day, and its readings carry no monotonic part, so that differences
// between them count suspensions too.
func SteadyClock() func() time.Time {
	start, startUptime := time.Now().Round(0), sinceBoot()
	return func() time.Time { return start.Add(sinceBoot() - startUptime) }
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux has the clock
	}
	return time.Duration(t.Nano())
}
