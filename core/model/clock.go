package model

import (
	"container/heap"
	"time"
)

// timer is a function that is due at a virtual time; timers due at the same time run in the order of sequence.
type timer struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

// timerHeap implements heap.Interface; the timer that is due first is at index 0.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].sequence < t[j].sequence
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push appends x, which must be a timer.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop removes the last timer and returns it.
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// clock is a virtual clock that runs timers in the order of their times.
type clock struct {
	pending      timerHeap
	lastSequence int
	now          time.Time // due time of the timer that runs
}

func (c *clock) schedule(when time.Time, run func(now time.Time)) {
	c.lastSequence++
	heap.Push(&c.pending, timer{when, c.lastSequence, run})
}

// runUntil runs the timers that are due up to a time, including those that running timers schedule.
func (c *clock) runUntil(until time.Time) {
	for len(c.pending) > 0 && !c.pending[0].at.After(until) {
		t := heap.Pop(&c.pending).(timer)
		c.now = t.at
		t.run(t.at)
	}
}
