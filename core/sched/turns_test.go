package sched

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// turns is the load of queues that ask for several times their mean in turn, more than their pools hold.
type turns struct {
	pools    int
	machines int // in each pool
	spare    int
	peak     float64 // jobs a second of a queue at the height of its turn
	turn     time.Duration
	rounds   int
	lasting  int // tasks that last, in each pool
	wave     bool
}

// served is what callers and the owner of the machines see of a load.
type served struct {
	jobs, inTime int
	late         map[time.Duration]int // jobs that were not in time, by second of the turn
	machineTime  time.Duration         // of machines outside the spare pool
	moves        int
}

const (
	turnsSeed   = 7
	quietShare  = 0.0125 // of the rate in its turn that a queue asks for otherwise
	turnsSettle = 2 * time.Second
	turnsDrain  = 6 * time.Second
)

// height returns the share of its peak that a queue asks for at a time of its turn: it rises over a quarter of
// the turn, stays, and falls over a quarter, as the users' days do.
func (l turns) height(at time.Duration) float64 {
	ramp := l.turn.Seconds() / 4
	return min(1, at.Seconds()/ramp, (l.turn-at).Seconds()/ramp)
}

// play plays the load against one owner.
func (l turns) play(t *testing.T) served {
	pools := map[string]int{"spare": l.spare}
	names := make([]string, 0, l.pools)
	for i := range l.pools {
		names = append(names, fmt.Sprint("p", i))
		pools[names[i]] = l.machines
	}
	w := newWorld(t, 1, pools)
	random := rand.New(rand.NewPCG(turnsSeed, 0))
	lengths := make(map[TaskID]time.Duration)
	w.length = func(id TaskID) time.Duration { return lengths[id] }
	w.run(turnsSettle)
	for _, name := range names {
		if l.lasting > 0 {
			w.submit(lasting("last-"+name, name, l.lasting))
		}
	}
	w.run(turnsSettle)
	s := served{late: make(map[time.Duration]int)}
	begins := make(map[string]time.Time)
	sent := make(map[string]Job)
	due := make(map[string]float64) // jobs that have come and were not sent yet, by queue
	step := func(name string, rate float64) {
		due[name] += rate * simStep.Seconds()
		for due[name] > 0 {
			due[name] -= random.ExpFloat64()
			id := fmt.Sprint(name, "-", len(sent))
			j := batch(id, name, 2+random.IntN(13), 1500, 1+random.IntN(2))
			j.Accepted = w.now
			for i, step := range j.Steps {
				for n := range step.Count {
					lengths[TaskID{id, 0, i, n}] = 400*time.Millisecond + time.Duration(random.Int64N(int64(800*time.Millisecond)))
				}
			}
			if !w.owner.state.Admit(w.now, j).Refused {
				w.submit(j)
			}
			sent[id] = j
		}
	}
	moved := w.moved
	for turn := range l.rounds * l.pools {
		begins[names[turn%l.pools]] = w.now
		for begin := w.now; w.now.Before(begin.Add(l.turn)); {
			for i, name := range names {
				rate := l.peak * quietShare
				if i == turn%l.pools {
					rate = max(rate, l.peak*l.height(w.now.Sub(begin)))
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
	s.moves = w.moved - moved
	w.run(turnsDrain)
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
				most = max(most, w.length(task))
			}
			longest += most
		}
		if last.Sub(j.Accepted) <= 600*time.Millisecond+longest*8/5 {
			s.inTime++
			continue
		}
		s.late[j.Accepted.Sub(begins[strings.TrimPrefix(j.Queue, "q-")]).Truncate(time.Second)]++
	}
	t.Logf("late by second of the turn: %v", s.late)
	t.Logf("%d of %d jobs in time, %.0f machine-seconds, %d moves", s.inTime, s.jobs, s.machineTime.Seconds(), s.moves)
	return s
}

// TestTurns plays bursts of about five times the mean, at today's size and at the size that the users have grown to.
func TestTurns(t *testing.T) {
	for _, c := range []struct {
		name string
		load turns
	}{
		{"today", turns{pools: 4, machines: 10, spare: 8, peak: 22, turn: 8 * time.Second, rounds: 1, lasting: 5}},
		{"today, long turns", turns{pools: 4, machines: 10, spare: 8, peak: 22, turn: 10 * time.Second, rounds: 1, lasting: 5}},
		{"grown", turns{pools: 4, machines: 74, spare: 56, peak: 150, turn: 8 * time.Second, rounds: 1, lasting: 24}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := c.load.play(t)
			must.GreaterEq(t, s.jobs*19/20, s.inTime) // nineteen of twenty callers are served in time
		})
	}
}
