package admit

import (
	"strings"
	"time"

	"daisysaddle/core/kernel"
)

// Waiter is a request in a Queue.
type Waiter struct {
	Team     string
	Urgent   bool
	Arrived  time.Time
	Deadline time.Time
	Value    any // caller's data for the request

	queued bool
}

// Queue orders the waiting requests of one service.
type Queue interface {
	Push(*Waiter)
	Pop() *Waiter   // removes and returns the next waiter, or nil if none waits
	Remove(*Waiter) // does nothing for a waiter that is not queued
	Len() int
}

// Settings configures a queue.
type Settings struct {
	Quota       map[string]int // weight of each team while several wait, in percent; 100 for a team that is not listed
	UrgentShare int            // percent of admissions for which urgent requests take precedence
}

// Factory returns an empty queue.
type Factory func(Settings) Queue

// Policies is the registry of queue policies by name.
var Policies kernel.Registry[Factory]

func init() {
	Policies.Register("FairQueue", func(s Settings) Queue { return newFairQueue(s) })
	Policies.Register("Fifo", func(Settings) Queue { return &fifoQueue{} })
}

// fifoQueue is a first-in first-out queue. Removal only marks a waiter, which Pop then skips, so it takes
// amortized constant time.
type fifoQueue struct {
	waiters []*Waiter
	head    int
	length  int
}

const compactThreshold = 64

// Push appends a waiter.
func (q *fifoQueue) Push(w *Waiter) {
	w.queued = true
	q.waiters = append(q.waiters, w)
	q.length++
}

// Pop removes and returns the oldest waiter; it returns nil for an empty queue.
func (q *fifoQueue) Pop() *Waiter {
	for q.head < len(q.waiters) {
		w := q.waiters[q.head]
		q.waiters[q.head] = nil
		q.head++
		q.compact()
		if w.queued {
			w.queued = false
			q.length--
			return w
		}
	}
	return nil
}

// Remove removes a waiter from any position; it does nothing for one that is not queued.
func (q *fifoQueue) Remove(w *Waiter) {
	if w.queued {
		w.queued = false
		q.length--
		q.dropRemoved()
	}
}

// dropRemoved drops the removed waiters once they are more than half of those that are held, so that callers which leave while nothing is
// admitted leave nothing behind.
func (q *fifoQueue) dropRemoved() {
	held := q.waiters[q.head:]
	if len(held) < compactThreshold || q.length*2 > len(held) {
		return
	}
	kept := q.waiters[:0]
	for _, w := range held {
		if w.queued {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters, q.head = kept, 0
}

// Len returns the number of waiters.
func (q *fifoQueue) Len() int { return q.length }

func (q *fifoQueue) compact() {
	if q.head < compactThreshold || q.head*2 < len(q.waiters) {
		return
	}
	kept := copy(q.waiters, q.waiters[q.head:])
	clear(q.waiters[kept:])
	q.waiters = q.waiters[:kept]
	q.head = 0
}

// fairQueue gives precedence to urgent requests up to their share of admissions, and serves teams in
// proportion to their quotas.
type fairQueue struct {
	settings     Settings
	urgent       teamQueues
	normal       teamQueues
	urgentCredit float64
}

func newFairQueue(s Settings) *fairQueue {
	return &fairQueue{settings: s, urgent: teamQueues{quotas: s.Quota}, normal: teamQueues{quotas: s.Quota}}
}

func (f *fairQueue) classQueues(w *Waiter) *teamQueues {
	if w.Urgent {
		return &f.urgent
	}
	return &f.normal
}

// Push appends a waiter to the queue of its class and team.
func (f *fairQueue) Push(w *Waiter) { f.classQueues(w).push(w) }

// Remove removes a waiter; it does nothing for one that is not queued.
func (f *fairQueue) Remove(w *Waiter) { f.classQueues(w).remove(w) }

// Len returns the number of waiters.
func (f *fairQueue) Len() int { return f.urgent.length + f.normal.length }

const fullPercent = 100

// Pop removes and returns the next waiter: an urgent one while the urgent share allows it or no other waits, else a
// normal one. It returns nil for an empty queue.
func (f *fairQueue) Pop() *Waiter {
	if f.normal.length == 0 {
		return f.urgent.pop()
	}
	f.urgentCredit = min(1, f.urgentCredit+float64(f.settings.UrgentShare)/fullPercent)
	if f.urgent.length > 0 && f.urgentCredit >= 1 {
		f.urgentCredit--
		return f.urgent.pop()
	}
	return f.normal.pop()
}

// teamQueues holds one queue for each team and serves them by stride scheduling.
type teamQueues struct {
	quotas      map[string]int
	byTeam      map[string]*teamQueue
	length      int
	virtualTime float64
}

type teamQueue struct {
	fifoQueue
	pass float64 // virtual time of the team's next request; the team with the lowest one is served
}

func (t *teamQueues) stride(team string) float64 {
	quota, configured := t.quotas[team]
	if !configured {
		quota = fullPercent
	}
	return fullPercent / float64(max(1, quota))
}

// maxUnlistedTeams is the number of queues for teams that the configuration does not list. Callers name their teams, so a crowd of names must not
// take memory, nor precedence over teams that wait. Further names share one queue.
const (
	maxUnlistedTeams = 64
	sharedTeam       = ""
)

// teamOf returns the name of the queue of a waiter's team, which exists from then on.
func (t *teamQueues) teamOf(w *Waiter) string {
	if t.byTeam == nil {
		t.byTeam = make(map[string]*teamQueue)
	}
	if t.byTeam[w.Team] != nil {
		return w.Team
	}
	if _, listed := t.quotas[w.Team]; !listed && w.Team != sharedTeam && t.unlisted() >= maxUnlistedTeams {
		w.Team = sharedTeam
	}
	if t.byTeam[w.Team] == nil {
		t.byTeam[strings.Clone(w.Team)] = &teamQueue{}
	}
	return w.Team
}

// unlisted drops the empty queues of teams that are not listed once there are too many, and returns the number of those left.
func (t *teamQueues) unlisted() int {
	if n := len(t.byTeam) - len(t.quotas); n < maxUnlistedTeams {
		return n
	}
	n := 0
	for name, q := range t.byTeam {
		switch _, listed := t.quotas[name]; {
		case listed || name == sharedTeam:
		case q.length == 0 && q.pass <= t.virtualTime:
			delete(t.byTeam, name)
		default:
			n++
		}
	}
	return n
}

func (t *teamQueues) push(w *Waiter) {
	q := t.byTeam[t.teamOf(w)]
	if q.length == 0 {
		q.pass = max(q.pass, t.virtualTime)
	}
	q.Push(w)
	t.length++
}

func (t *teamQueues) remove(w *Waiter) {
	if !w.queued {
		return
	}
	t.byTeam[w.Team].Remove(w)
	t.length--
}

func (t *teamQueues) pop() *Waiter {
	var next *teamQueue
	var name string
	for team, q := range t.byTeam {
		if q.length == 0 {
			continue
		}
		if next == nil || q.pass < next.pass || q.pass == next.pass && team < name {
			next, name = q, team
		}
	}
	if next == nil {
		return nil
	}
	t.virtualTime = next.pass
	next.pass += t.stride(name)
	t.length--
	return next.Pop()
}
