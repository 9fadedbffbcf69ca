package node

import (
	"sync"
	"time"
)

// NotRun promises a caller that its job has not been accepted and never will be. It is said for these reasons only:
//
//	reason              proof
//	Admit's reasons     the owner holds no such job and is not in doubt about its id
//	StoreDown           this entry sent nothing for the id, and nor did an owner that it asked
//	StoreRefused        the store answered each attempt, and carried out none
//	NotEncoded          nothing was sent
//
// A request that left for the owner without an answer, or a write without one, leaves the id in doubt: the write may
// still be carried out. No refusal of an id in doubt is a proof, on this attempt or on a later one, until the store
// answers a write of it.
//
// What is not proven: an entry that can ask neither the owner nor the store cannot know of an attempt at an entry that
// fell silent. It refuses all the same, because a caller must not repeat a request whose end is unknown, and almost every
// request to an entry that is cut off is a first attempt: in the cut of a zone 784 callers of 4907 jobs were left
// without a second try by the opposite choice (lc-palermo-large trouble-3). Whoever asks an entry that sees the store hears the truth.

// doubts remembers ids whose acceptance was not settled.
type doubts struct {
	mu      sync.Mutex
	expires map[string]time.Time
	order   []string // oldest first
}

const (
	doubtLasts      = time.Minute // far beyond the time in which a caller tries again or a delayed write is carried out
	maxUnsettledIDs = 10_000      // about 1 MB
)

// add notes that the acceptance of an id is not settled.
func (d *doubts) add(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expires == nil {
		d.expires = make(map[string]time.Time)
	}
	if _, known := d.expires[id]; !known {
		d.order = append(d.order, id)
	}
	d.expires[id] = now.Add(doubtLasts)
	for len(d.order) > 0 && (len(d.order) > maxUnsettledIDs || d.expires[d.order[0]].Before(now)) {
		delete(d.expires, d.order[0])
		d.order = d.order[1:]
	}
}

// settle forgets an id whose record is known to be there.
func (d *doubts) settle(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.expires[id]; known {
		d.expires[id] = time.Time{} // its place in the order goes when it is the oldest
	}
}

// has reports whether the acceptance of an id is not settled.
func (d *doubts) has(now time.Time, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.expires[id])
}

// settleVerdict returns a verdict on a job whose refusal holds also against what earlier attempts may have left behind.
func (n *Node) settleVerdict(now time.Time, id string, v Verdict) Verdict {
	switch v.Outcome {
	case OutcomeDone:
		n.doubts.settle(id)
	case OutcomeUnknown:
		n.doubts.add(now, id)
	case OutcomeNotRun:
		if n.doubts.has(now, id) {
			v.Outcome = OutcomeUnknown
		}
	}
	return v
}
