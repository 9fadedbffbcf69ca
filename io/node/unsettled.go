package node

import (
	"sync"
	"time"
)

// NotRun promises a caller that its job has not been accepted and never will be. It is returned for these reasons only:
//
//	reason              proof
//	those of Admit      the owner holds no such job and its id is not unsettled; what it remembers of a job that it refused
//	                    is a time to return, and nothing starts a job from it
//	StoreDown           this entry sent no write for the id, and neither did an owner that it asked
//	StoreSilent         the same: the store left a probe unanswered, so no write was sent
//	StoreRefused        the store answered each attempt and applied none
//	NotEncoded          nothing was sent
//	StoreQueueFull      no write was sent for the id, and none is waiting
//	OwnerFull           the same as those of Admit
//	Busy                the body was not read whole or not decoded, so nothing was sent
//
// A request to the owner or a write that was sent and not answered leaves the id unsettled: the write may still be
// applied. Until the store answers a write of the id, a refusal proves nothing, on this attempt or on a later one.
//
// One case is not proven: an entry that reaches neither the owner nor the store cannot know of an attempt at another entry
// that has since become unreachable. It refuses nevertheless, because a caller must not repeat a request of unknown
// outcome, and almost every request to an isolated entry is a first attempt: when a zone was cut off, the opposite choice
// left 784 callers of 4907 jobs without a second attempt.
//
// Nor does an entry know of an attempt that another entry has stored without the owner, or under an earlier owner, and whose write is
// unsettled there. It may refuse a further attempt, and the job runs if the write is applied (TestRefusalWhileAnotherEntryIsUnsettled).

// unsettledIDs holds the ids whose acceptance is unsettled, for a limited time; it is safe for concurrent use.
type unsettledIDs struct {
	mu      sync.Mutex
	expires map[string]time.Time
	order   []string // oldest first
}

const (
	unsettledPeriod = time.Minute // far longer than callers retry or a delayed write takes to apply
	maxUnsettledIDs = 10_000      // about 1 MB of memory
)

// add records that the acceptance of an id is unsettled.
func (d *unsettledIDs) add(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expires == nil {
		d.expires = make(map[string]time.Time)
	}
	if _, known := d.expires[id]; !known {
		d.order = append(d.order, id)
	}
	d.expires[id] = now.Add(unsettledPeriod)
	for len(d.order) > 0 && (len(d.order) > maxUnsettledIDs || d.expires[d.order[0]].Before(now)) {
		delete(d.expires, d.order[0])
		d.order = d.order[1:]
	}
}

// settle removes an id whose record is known to be stored.
func (d *unsettledIDs) settle(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.expires[id]; known {
		d.expires[id] = time.Time{} // add deletes the id once it is the oldest
	}
}

// has reports whether the acceptance of an id is unsettled.
func (d *unsettledIDs) has(now time.Time, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.expires[id])
}

// settleVerdict updates the unsettled ids by the verdict on a job. It turns a refusal into OutcomeUnknown when an earlier attempt
// with the id may still take effect.
func (n *Node) settleVerdict(now time.Time, id string, v Verdict) Verdict {
	switch v.Outcome {
	case OutcomeDone, OutcomeTaken:
		n.unsettled.settle(id)
	case OutcomeUnknown:
		n.unsettled.add(now, id)
	case OutcomeNotRun:
		if n.unsettled.has(now, id) {
			v.Outcome = OutcomeUnknown
		}
	}
	return v
}
