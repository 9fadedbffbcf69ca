package model

import (
	"container/heap"
	"time"
)

// timer is a function that runs at a virtual time.
type timer struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].sequence < t[j].sequence
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push appends a timer.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop removes the last timer.
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// clock runs timers in the order of their virtual times.
type clock struct {
	pending      timerHeap
	lastSequence int
	now          time.Time
}

func (c *clock) schedule(when time.Time, run func(now time.Time)) {
	c.lastSequence++
	heap.Push(&c.pending, timer{when, c.lastSequence, run})
}

func (c *clock) runUntil(until time.Time) {
	for len(c.pending) > 0 && !c.pending[0].at.After(until) {
		t := heap.Pop(&c.pending).(timer)
		c.now = t.at
		t.run(t.at)
	}
}
