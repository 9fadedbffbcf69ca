package model

import (
	"container/heap"
	"time"
)

// timer is a function that runs at a virtual time.
type timer struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push appends a timer.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop removes the last timer.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// clock runs timers in the order of their virtual times.
type clock struct {
	pending timers
	order   int
	now     time.Time
}

func (c *clock) at(when time.Time, run func(now time.Time)) {
	c.order++
	heap.Push(&c.pending, timer{when, c.order, run})
}

func (c *clock) run(until time.Time) {
	for len(c.pending) > 0 && !c.pending[0].at.After(until) {
		t := heap.Pop(&c.pending).(timer)
		c.now = t.at
		t.run(t.at)
	}
}
