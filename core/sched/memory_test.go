package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// checkJobBytes checks that the sum agrees with the jobs that are known.
func checkJobBytes(t *testing.T, s *State) {
	t.Helper()
	sum := int64(0)
	for _, j := range s.jobs {
		sum += j.memory.total
	}
	must.Eq(t, sum, s.JobBytes())
}

// TestEndedJobsLeaveLittle checks that a job which has ended for good holds neither its tasks nor its texts, and none after it is forgotten.
func TestEndedJobsLeaveLittle(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 3})
	w.run(time.Second)
	w.submit(longRunningJob("a", "p", 4))
	large := batch("b", "p", 1000, 900, 2)
	large.Spec = strings.Repeat("s", 4000)
	w.submit(large)
	w.run(2 * time.Second)
	s := w.owner.state
	checkJobBytes(t, s)
	must.GreaterEq(t, int64(2000*taskBytes), s.JobBytes())
	s.Cancel(w.now, "a")
	s.Cancel(w.now, "b")
	w.run(40 * time.Second)
	s.Forget(w.now)
	checkJobBytes(t, s)
	must.LessEq(t, int64(10_000), s.JobBytes())
	must.SliceContains(t, []JobState{Cancelled}, s.jobs["b"].visibleState)
	s.settings.KeepEnded = 0
	s.Forget(w.now)
	must.Zero(t, s.JobBytes())
}

// TestFitsMemory checks which jobs find room in a limit.
func TestFitsMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(now, 1, Settings{JobBytes: 1 << 20})
	job := func(id string, tasks int) Job {
		return Job{ID: id, Queue: "q", Steps: []Step{{Count: tasks}}}
	}
	tooLarge, large, small := job("x", 4000), job("l", 3000), job("s", 1)
	must.False(t, s.FitsMemory(&tooLarge, 0))
	must.True(t, s.FitsMemory(&large, 0))
	must.False(t, s.FitsMemory(&large, 300<<10))
	s.AddJob(now, large, Progress{}, false)
	another := job("m", 700)
	must.False(t, s.FitsMemory(&another, 0))
	fits := 0
	for ; s.FitsMemory(&small, 0) && fits < 1000; fits++ {
		small.ID = fmt.Sprint("s", fits)
		s.AddJob(now, small, Progress{}, false)
	}
	must.Greater(t, 50, fits)
	must.LessEq(t, int64(1<<20), s.JobBytes())
	checkJobBytes(t, s)
}

// TestDueOccurrencesWaitForMemory checks that the occurrences of a job that are due stay within the limit, and that each job gets one.
func TestDueOccurrencesWaitForMemory(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := New(now, 1, Settings{JobBytes: 1 << 20})
	for i := range 3 {
		s.AddJob(now, Job{ID: fmt.Sprint(i), Queue: "q", Steps: []Step{{Count: 100}}, Repeats: 1000, First: now.Add(time.Second), Interval: time.Millisecond}, Progress{}, false)
	}
	before := s.JobBytes()
	must.Greater(t, int64(3*100*taskBytes), before)
	s.createScheduledOccurrences(now.Add(time.Minute))
	must.LessEq(t, int64(1<<20), s.JobBytes())
	for _, j := range s.jobs {
		must.MapNotEmpty(t, j.occurrences)
	}
	checkJobBytes(t, s)
}
