package sched

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures a call of State.Plan with 2000 waiting tasks while all workers are full.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{50, 100, 200, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			s := fullFleet(b, now, workers)
			s.Plan(now)
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				s.placementChanged = true
				s.Plan(now.Add(time.Duration(i) * time.Microsecond))
			}
		})
	}
}
