package sched

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures one planning step with 2000 waiting tasks while all workers are full.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{50, 100, 200, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			s := New(now, 1, simSettings)
			s.SetConfig(Config{Version: 1, Queues: map[string]Queue{"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 1.6, Target: time.Second}}, Pools: map[string]Pool{"p": {Name: "p"}}})
			var list []Worker
			for i := range workers {
				list = append(list, Worker{ID: fmt.Sprintf("w%03d", i), Pool: "p", Capacity: Size{Processors: 16000, MemoryMB: 32768}, Born: now})
			}
			s.SetWorkers(now, list)
			for _, w := range list {
				s.Looked(now, w.ID, Sight{Answer: Carried, Sent: now, Born: now})
			}
			s.Confirm(now.Add(time.Hour))
			o := s.Plan(now)
			s.RosterSaved(*o.Roster)
			for i := range workers*16/6 + 2000/6 { // 16 tasks of a core fill a worker
				s.AddJob(now, batch(fmt.Sprint("j", i), "p", 6, 1000, 1), Progress{}, false)
			}
			for id := range s.jobs {
				s.jobs[id].Queue = "q"
			}
			s.queues["q"], s.queues["q-p"] = s.queueOf("q-p"), &queue{}
			s.Plan(now)
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				s.changed = true
				s.Plan(now.Add(time.Duration(i) * time.Microsecond))
			}
		})
	}
}
