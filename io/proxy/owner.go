package proxy

import (
	"sync"
	"time"

	"daisysaddle/core/fleet"
	"daisysaddle/core/once"
	"daisysaddle/core/route"
)

// Ring is the set of entries that own request ids.
type Ring struct {
	Nodes   []fleet.Sender
	Settled bool // every node has acknowledged this ring
	Since   time.Time
}

func (r Ring) owner(id string) (fleet.Sender, bool) {
	names := make([]string, len(r.Nodes))
	for i, n := range r.Nodes {
		names[i] = n.Incarnation
	}
	at := route.Owner(names, id)
	if at < 0 {
		return fleet.Sender{}, false
	}
	return r.Nodes[at], true
}

// ringHistory remembers the rings that were in force, newest last.
type ringHistory struct {
	rings []Ring
}

const rememberedRings = 16

// update records the ring in force and reports whether it changed.
func (h *ringHistory) update(next Ring) {
	if len(h.rings) == 0 || !sameNodes(h.rings[len(h.rings)-1], next) {
		h.rings = append(h.rings, next)
		if len(h.rings) > rememberedRings {
			h.rings = h.rings[1:]
		}
		return
	}
	last := &h.rings[len(h.rings)-1]
	if next.Settled && !last.Settled {
		last.Settled = true
		last.Since = next.Since
	}
}

func sameNodes(a, b Ring) bool {
	if len(a.Nodes) != len(b.Nodes) {
		return false
	}
	for i := range a.Nodes {
		if a.Nodes[i].Incarnation != b.Nodes[i].Incarnation {
			return false
		}
	}
	return true
}

func (h *ringHistory) current() Ring {
	if len(h.rings) == 0 {
		return Ring{}
	}
	return h.rings[len(h.rings)-1]
}

// ownedSince returns since when self has surely owned the id without a gap.
//
// The owner must be the same in every ring from the newest back to one that all
// nodes acknowledged; then no node with another view can claim the id. The time
// returned is that of the oldest such acknowledged ring.
func (h *ringHistory) ownedSince(self, id string) (time.Time, bool) {
	var since time.Time
	sure := false
	for i := len(h.rings) - 1; i >= 0; i-- {
		if o, found := h.rings[i].owner(id); !found || o.Incarnation != self {
			break
		}
		if h.rings[i].Settled {
			since, sure = h.rings[i].Since, true
		}
	}
	return since, sure
}

// owners decides which entry may run a request id and remembers the ids of this one.
type owners struct {
	self fleet.Sender

	mu     sync.Mutex
	memory once.IDTable
	rings  map[string]*ringHistory // by zone; the empty name is the ring of all zones
}

func (o *owners) update(rings map[string]Ring) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rings == nil {
		o.rings = make(map[string]*ringHistory)
	}
	for zone, ring := range rings {
		if o.rings[zone] == nil {
			o.rings[zone] = &ringHistory{}
		}
		o.rings[zone].update(ring)
	}
}

// find returns the owner of an id and whether this entry is it.
func (o *owners) find(id string) (owner fleet.Sender, self, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ring := o.ring(id)
	if ring == nil {
		return fleet.Sender{}, false, false
	}
	owner, found = ring.current().owner(id)
	return owner, found && owner.Incarnation == o.self.Incarnation, found
}

// ring returns the ring that an id belongs to; the caller holds the lock.
func (o *owners) ring(id string) *ringHistory {
	zone, _ := once.SplitZone(id)
	if zone != "" && o.rings[zone] != nil {
		return o.rings[zone]
	}
	return o.rings[""]
}

// begin claims an id for this entry, which must be its owner.
func (o *owners) begin(now time.Time, id string) (once.ClaimStatus, once.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ring := o.ring(id)
	if ring == nil {
		return once.Uncertain, once.Result{}
	}
	since, sure := ring.ownedSince(o.self.Incarnation, id)
	if !sure {
		return once.Uncertain, once.Result{}
	}
	return o.memory.Claim(now, id, since)
}

// end records how the request with a claimed id ended; one that did not run may be tried again.
func (o *owners) end(id string, r once.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Outcome == string(NotRun) {
		o.memory.Release(id)
		return
	}
	o.memory.Finish(id, r)
}
