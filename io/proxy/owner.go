package proxy

import (
	"sync"
	"time"

	"daisysaddle/core/fleet"
	"daisysaddle/core/once"
	"daisysaddle/core/route"
)

// OwnerSet is a set of entries that own request ids. Rendezvous hashing determines the owner of each id.
type OwnerSet struct {
	Entries      []fleet.Sender
	Acknowledged bool      // whether all entries of the set have acknowledged it
	Since        time.Time // when all had acknowledged it
}

func (s OwnerSet) owner(id string) (fleet.Sender, bool) {
	names := make([]string, len(s.Entries))
	for i, e := range s.Entries {
		names[i] = e.Incarnation
	}
	at := route.Owner(names, id)
	if at < 0 {
		return fleet.Sender{}, false
	}
	return s.Entries[at], true
}

// ownerSetHistory holds the latest owner sets of a zone or of all zones, newest last.
type ownerSetHistory struct {
	sets []OwnerSet
}

const maxOwnerSets = 16

// update records the current owner set.
func (h *ownerSetHistory) update(next OwnerSet) {
	if len(h.sets) == 0 || !sameEntries(h.sets[len(h.sets)-1], next) {
		h.sets = append(h.sets, next)
		if len(h.sets) > maxOwnerSets {
			h.sets = h.sets[1:]
		}
		return
	}
	last := &h.sets[len(h.sets)-1]
	if next.Acknowledged && !last.Acknowledged {
		last.Acknowledged = true
		last.Since = next.Since
	}
}

func sameEntries(a, b OwnerSet) bool {
	if len(a.Entries) != len(b.Entries) {
		return false
	}
	for i := range a.Entries {
		if a.Entries[i].Incarnation != b.Entries[i].Incarnation {
			return false
		}
	}
	return true
}

func (h *ownerSetHistory) current() OwnerSet {
	if len(h.sets) == 0 {
		return OwnerSet{}
	}
	return h.sets[len(h.sets)-1]
}

// ownedSince returns the time since which self has certainly owned the id without interruption, and whether there is one.
//
// Self must own the id in every set from the newest back to one that all its entries have acknowledged. Every entry then
// has that set or a newer one, so only self can claim the id. The time returned is that of the oldest acknowledged set in
// this unbroken run.
func (h *ownerSetHistory) ownedSince(self, id string) (time.Time, bool) {
	var since time.Time
	certain := false
	for i := len(h.sets) - 1; i >= 0; i-- {
		if o, found := h.sets[i].owner(id); !found || o.Incarnation != self {
			break
		}
		if h.sets[i].Acknowledged {
			since, certain = h.sets[i].Since, true
		}
	}
	return since, certain
}

// idOwners determines the owners of request ids and stores the ids that this entry owns.
type idOwners struct {
	self fleet.Sender

	mu        sync.Mutex
	ids       once.IDTable
	histories map[string]*ownerSetHistory // by zone; the empty name stands for all zones together
}

func (o *idOwners) update(sets map[string]OwnerSet) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.histories == nil {
		o.histories = make(map[string]*ownerSetHistory)
	}
	for zone, set := range sets {
		if o.histories[zone] == nil {
			o.histories[zone] = &ownerSetHistory{}
		}
		o.histories[zone].update(set)
	}
}

// find returns the owner of an id, whether it is this entry, and whether there is an owner.
func (o *idOwners) find(id string) (owner fleet.Sender, self, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	history := o.history(id)
	if history == nil {
		return fleet.Sender{}, false, false
	}
	owner, found = history.current().owner(id)
	return owner, found && owner.Incarnation == o.self.Incarnation, found
}

// history returns the owner sets that apply to an id: those of the zone that the id names, or of all zones. The caller
// must hold o.mu.
func (o *idOwners) history(id string) *ownerSetHistory {
	zone, _ := once.SplitZone(id)
	if zone != "" && o.histories[zone] != nil {
		return o.histories[zone]
	}
	return o.histories[""]
}

// claim claims an id for this entry. The status is Uncertain unless the entry certainly owns the id.
func (o *idOwners) claim(now time.Time, id string) (once.ClaimStatus, once.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	history := o.history(id)
	if history == nil {
		return once.Uncertain, once.Result{}
	}
	since, certain := history.ownedSince(o.self.Incarnation, id)
	if !certain {
		return once.Uncertain, once.Result{}
	}
	return o.ids.Claim(now, id, since)
}

// freeIn returns how long no new id can be claimed, if the table of ids is full.
func (o *idOwners) freeIn(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return min(maxRetryAfter, max(minRetryAfter, o.ids.FreeAt(now).Sub(now)))
}

const (
	minRetryAfter = time.Second // Retry-After has a resolution of 1 s
	maxRetryAfter = time.Minute
)

// finish stores the result of the request with a claimed id. It releases the id if the request did not run, so that the
// request may be tried again.
func (o *idOwners) finish(id string, r once.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Outcome == string(NotRun) {
		o.ids.Release(id)
		return
	}
	o.ids.Finish(time.Now(), id, r)
}
