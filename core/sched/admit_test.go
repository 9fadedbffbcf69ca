package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// overload simulates 8 s of a queue that asks for six times what its pool holds. It returns how many jobs were refused,
// ended in time, and ended after their results were worth nothing.
func overload(t *testing.T, admit bool) (refused, inTime, worthless int) {
	w := newSimulation(t, 1, map[string]int{"p": 3})
	w.run(time.Second)
	sent := make(map[string]time.Time)
	for i := range 400 { // 50 jobs per second of 4.3 core-seconds, on 48 cores
		j := batch(fmt.Sprint("a", i), "p", 6, 900, 1)
		if r := w.owner.state.Admit(w.now, j); admit && r.Refused {
			must.Between(t, minRetryAfter, r.RetryAfter, maxRetryAfter)
			refused++
		} else {
			w.submit(j)
			sent[j.ID] = w.now
		}
		w.run(20 * time.Millisecond)
	}
	w.run(60 * time.Second)
	objective := w.owner.state.objective(w.config.Queues["q-p"], &Job{Queue: "q-p", Steps: batch("", "p", 6, 900, 1).Steps})
	for id, at := range sent {
		last := at
		for i := range 6 {
			last = maxTime(last, w.done[TaskID{id, 0, 0, i}])
		}
		switch took := last.Sub(at); {
		case took <= objective:
			inTime++
		case took > worthlessFactor*objective:
			worthless++
		}
	}
	return refused, inTime, worthless
}

// TestRefusesHopelessJobs checks admission in a burst of six times what all machines hold: some jobs are refused at
// once, at most one in twenty of the jobs that would end in time is lost by that, and the accepted jobs that end too
// late to be worth anything fall below a quarter.
func TestRefusesHopelessJobs(t *testing.T) {
	_, baseline, wasted := overload(t, false)
	refused, inTime, worthless := overload(t, true)
	t.Logf("accepting all jobs: %d in time, %d worthless; with admission: %d refused, %d in time, %d worthless", baseline, wasted, refused, inTime, worthless)
	must.Greater(t, 0, refused)
	must.GreaterEq(t, baseline*95/100, inTime)
	must.Less(t, wasted/4, worthless)
}

func TestAdmitsJobsWithinCapacity(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 3})
	w.run(time.Second)
	for i := range 20 {
		j := batch(fmt.Sprint("a", i), "p", 6, 900, 2)
		must.False(t, w.owner.state.Admit(w.now, j).Refused)
		w.submit(j)
		w.run(200 * time.Millisecond)
	}
	must.False(t, w.owner.state.Admit(w.now, longRunningJob("l", "p", 40)).Refused)
	r := w.owner.state.Admit(w.now, Job{ID: "x", Queue: "none"})
	must.True(t, r.Refused)
	must.Eq(t, "NoSuchQueue", r.Reason)
}
