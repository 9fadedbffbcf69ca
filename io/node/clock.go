package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// SteadyClock returns a clock that includes time spent suspended and ignores changes of the system time.
//
// It starts at the system time. Its readings have no monotonic component, which stops during a
// suspension, so that differences between readings include suspensions too.
func SteadyClock() func() time.Time {
	start, startUptime := time.Now().Round(0), sinceBoot()
	return func() time.Time { return start.Add(sinceBoot() - startUptime) }
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux kernel has CLOCK_BOOTTIME
	}
	return time.Duration(t.Nano())
}
