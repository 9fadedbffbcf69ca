package sched

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// burstLoad is a load whose bursts reach the queues in turn: each asks for several times its mean, more than its pool holds.
type burstLoad struct {
	pools       int
	machines    int // in each pool
	spare       int
	peakRate    float64 // jobs per second of a queue at the peak of its burst
	burst       time.Duration
	rounds      int
	longRunning int // long-running tasks in each pool
	wave        bool
}

// loadResult counts the jobs that ended in time and late, and the machine time and moves that they took.
type loadResult struct {
	jobs, inTime int
	late         map[time.Duration]int // jobs that were not in time, by second of the burst
	machineTime  time.Duration         // machine time outside the spare pool
	moves        int
}

const (
	loadSeed      = 7
	baseRateShare = 0.0125 // fraction of its peak rate that a queue asks for outside its burst
	settleTime    = 2 * time.Second
	finalDrain    = 6 * time.Second
)

// rateShare returns the fraction of its peak rate that a queue asks for at a time of its burst. It rises over the first
// quarter of the burst, stays at the peak, and falls over the last quarter, as the users' load does over a day.
func (l burstLoad) rateShare(at time.Duration) float64 {
	ramp := l.burst.Seconds() / 4
	return min(1, at.Seconds()/ramp, (l.burst-at).Seconds()/ramp)
}

// simulate runs the load against one owner.
func (l burstLoad) simulate(t *testing.T) loadResult {
	pools := map[string]int{"spare": l.spare}
	names := make([]string, 0, l.pools)
	for i := range l.pools {
		names = append(names, fmt.Sprint("p", i))
		pools[names[i]] = l.machines
	}
	w := newSimulation(t, 1, pools)
	random := rand.New(rand.NewPCG(loadSeed, 0))
	runTimes := make(map[TaskID]time.Duration)
	w.runTime = func(id TaskID) time.Duration { return runTimes[id] }
	w.run(settleTime)
	for _, name := range names {
		if l.longRunning > 0 {
			w.submit(longRunningJob("last-"+name, name, l.longRunning))
		}
	}
	w.run(settleTime)
	s := loadResult{late: make(map[time.Duration]int)}
	begins := make(map[string]time.Time)
	sent := make(map[string]Job)
	due := make(map[string]float64) // jobs that are due and were not submitted yet, by queue
	step := func(name string, rate float64) {
		due[name] += rate * simStep.Seconds()
		for due[name] > 0 {
			due[name] -= random.ExpFloat64()
			id := fmt.Sprint(name, "-", len(sent))
			j := batch(id, name, 2+random.IntN(13), 1500, 1+random.IntN(2))
			j.Accepted = w.now
			for i, step := range j.Steps {
				for n := range step.Count {
					runTimes[TaskID{id, 0, i, n}] = 400*time.Millisecond + time.Duration(random.Int64N(int64(800*time.Millisecond)))
				}
			}
			if !w.owner.state.Admit(w.now, j).Refused {
				w.submit(j)
			}
			sent[id] = j
		}
	}
	moved := w.moveCount
	for burst := range l.rounds * l.pools {
		begins[names[burst%l.pools]] = w.now
		for begin := w.now; w.now.Before(begin.Add(l.burst)); {
			for i, name := range names {
				rate := l.peakRate * baseRateShare
				if i == burst%l.pools {
					rate = max(rate, l.peakRate*l.rateShare(w.now.Sub(begin)))
				}
				step(name, rate)
			}
			w.run(simStep)
			for _, pool := range w.pools {
				if pool != "spare" {
					s.machineTime += simStep
				}
			}
		}
	}
	s.moves = w.moveCount - moved
	w.run(finalDrain)
	for id, j := range sent {
		s.jobs++
		last, longest := j.Accepted, time.Duration(0)
		for i, step := range j.Steps {
			most := time.Duration(0)
			for n := range step.Count {
				task := TaskID{id, 0, i, n}
				if w.done[task].IsZero() {
					last = w.now
				}
				last = maxTime(last, w.done[task])
				most = max(most, w.runTime(task))
			}
			longest += most
		}
		if last.Sub(j.Accepted) <= 600*time.Millisecond+longest*8/5 {
			s.inTime++
			continue
		}
		s.late[j.Accepted.Sub(begins[strings.TrimPrefix(j.Queue, "q-")]).Truncate(time.Second)]++
	}
	t.Logf("late by second of the burst: %v", s.late)
	t.Logf("%d of %d jobs in time, %.0f machine-seconds, %d moves", s.inTime, s.jobs, s.machineTime.Seconds(), s.moves)
	return s
}

// TestBurstsInTurn simulates bursts of about five times the mean, with 40 machines in four pools and with 296, the number
// that the users run.
func TestBurstsInTurn(t *testing.T) {
	for _, c := range []struct {
		name string
		load burstLoad
	}{
		{"40 machines", burstLoad{pools: 4, machines: 10, spare: 8, peakRate: 22, burst: 8 * time.Second, rounds: 1, longRunning: 5}},
		{"40 machines, long bursts", burstLoad{pools: 4, machines: 10, spare: 8, peakRate: 22, burst: 10 * time.Second, rounds: 1, longRunning: 5}},
		{"296 machines", burstLoad{pools: 4, machines: 74, spare: 56, peakRate: 150, burst: 8 * time.Second, rounds: 1, longRunning: 24}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := c.load.simulate(t)
			must.GreaterEq(t, s.jobs*19/20, s.inTime) // 19 of 20 jobs end in time
		})
	}
}
