package admit

import (
	"time"

	"daisysaddle/core/kernel"
)

// Waiter is one waiting request.
type Waiter struct {
	Team     string
	Urgent   bool
	Arrived  time.Time
	Deadline time.Time
	Value    any // what waits

	queued bool
}

// Queue orders the waiting requests of one service.
type Queue interface {
	Push(*Waiter)
	Pop() *Waiter
	Remove(*Waiter)
	Len() int
}

// Settings configures a queue.
type Settings struct {
	Quota       map[string]int // percent of slots by team; a missing team has 100
	UrgentShare int            // percent of admissions that urgent requests may take before others
}

// Factory makes an empty queue.
type Factory func(Settings) Queue

// Policies holds the queue policies by name.
var Policies kernel.Registry[Factory]

func init() {
	Policies.Register("FairQueue", func(s Settings) Queue { return newFair(s) })
	Policies.Register("Fifo", func(Settings) Queue { return &lane{} })
}

// lane is a first-in first-out queue whose removals cost O(1) amortised.
type lane struct {
	waiters []*Waiter
	head    int
	live    int
}

const compactThreshold = 64

// Push appends a waiter.
func (l *lane) Push(w *Waiter) {
	w.queued = true
	l.waiters = append(l.waiters, w)
	l.live++
}

// Pop removes and returns the oldest waiter, or nil.
func (l *lane) Pop() *Waiter {
	for l.head < len(l.waiters) {
		w := l.waiters[l.head]
		l.waiters[l.head] = nil
		l.head++
		l.compact()
		if w.queued {
			w.queued = false
			l.live--
			return w
		}
	}
	return nil
}

// Remove takes a waiter out wherever it stands.
func (l *lane) Remove(w *Waiter) {
	if w.queued {
		w.queued = false
		l.live--
	}
}

// Len returns the number of waiters.
func (l *lane) Len() int { return l.live }

func (l *lane) compact() {
	if l.head < compactThreshold || l.head*2 < len(l.waiters) {
		return
	}
	kept := copy(l.waiters, l.waiters[l.head:])
	clear(l.waiters[kept:])
	l.waiters = l.waiters[:kept]
	l.head = 0
}

// fair serves urgent requests first within their share, and teams in proportion to their quotas.
type fair struct {
	settings Settings
	urgent   teams
	normal   teams
	credit   float64
}

func newFair(s Settings) *fair {
	return &fair{settings: s, urgent: teams{quota: s.Quota}, normal: teams{quota: s.Quota}}
}

func (f *fair) class(w *Waiter) *teams {
	if w.Urgent {
		return &f.urgent
	}
	return &f.normal
}

// Push adds a waiter to its class and team.
func (f *fair) Push(w *Waiter) { f.class(w).push(w) }

// Remove takes a waiter out.
func (f *fair) Remove(w *Waiter) { f.class(w).remove(w) }

// Len returns the number of waiters.
func (f *fair) Len() int { return f.urgent.live + f.normal.live }

const fullShare = 100

// Pop returns an urgent waiter while the urgent share allows it, and another one otherwise.
func (f *fair) Pop() *Waiter {
	if f.normal.live == 0 {
		return f.urgent.pop()
	}
	f.credit = min(1, f.credit+float64(f.settings.UrgentShare)/fullShare)
	if f.urgent.live > 0 && f.credit >= 1 {
		f.credit--
		return f.urgent.pop()
	}
	return f.normal.pop()
}

// teams is a set of lanes served by stride scheduling.
type teams struct {
	quota map[string]int
	lanes map[string]*teamLane
	live  int
	clock float64
}

type teamLane struct {
	lane
	pass float64
}

func (t *teams) stride(team string) float64 {
	quota, limited := t.quota[team]
	if !limited {
		quota = fullShare
	}
	return fullShare / float64(max(1, quota))
}

func (t *teams) push(w *Waiter) {
	if t.lanes == nil {
		t.lanes = make(map[string]*teamLane)
	}
	l := t.lanes[w.Team]
	if l == nil {
		l = &teamLane{}
		t.lanes[w.Team] = l
	}
	if l.live == 0 {
		l.pass = max(l.pass, t.clock)
	}
	l.Push(w)
	t.live++
}

func (t *teams) remove(w *Waiter) {
	if !w.queued {
		return
	}
	t.lanes[w.Team].Remove(w)
	t.live--
}

func (t *teams) pop() *Waiter {
	var next *teamLane
	var name string
	for team, l := range t.lanes {
		if l.live == 0 {
			continue
		}
		if next == nil || l.pass < next.pass || l.pass == next.pass && team < name {
			next, name = l, team
		}
	}
	if next == nil {
		return nil
	}
	t.clock = next.pass
	next.pass += t.stride(name)
	t.live--
	return next.Pop()
}
