package entry

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/core/plan"
	"daisysaddle/io/store"
)

// holder is the value of a planner key.
type holder struct {
	Incarnation string
}

// plannerState says who plans the zone and what this entry is writing.
type plannerState struct {
	record   store.Record
	holder   string
	known    bool
	busy     bool
	retryAt  time.Time
	lastPlan time.Time
	term     uint64
	changed  bool // a record, peer or lease changed since the last step
	unsure   bool // the last write was not settled: read the record before the next step
}

func (p *plannerState) adopt(r store.Record) {
	var h holder
	if r.Revision <= p.record.Revision || json.Unmarshal(r.Payload(), &h) != nil {
		return
	}
	p.record, p.holder, p.known = r, h.Incarnation, true
}

func (p *plannerState) vacant(now time.Time) {
	p.record, p.holder, p.known = store.Record{}, "", true
	p.retryAt = now.Add(rand.N(electionSpread))
}

const (
	electionSpread = 300 * time.Millisecond
	electionRetry  = time.Second
	planPeriod     = 100 * time.Millisecond
	restPeriod     = time.Second // between two steps while nothing changes
)

// plan takes one planning step when this entry plans the zone, and stands for election when nobody does.
func (c *control) plan(now time.Time) {
	p := &c.planner
	if p.busy || c.stopping || !c.platformUp || c.config == nil || now.Before(p.retryAt) {
		return
	}
	if p.holder != c.entry.self.Incarnation {
		if p.holder == "" && c.lease != "" {
			c.standForElection(now)
		}
		return
	}
	if now.Sub(p.lastPlan) < restPeriod && (!c.restless() || now.Sub(p.lastPlan) < planPeriod) {
		return
	}
	p.lastPlan, p.changed = now, false
	if p.unsure {
		c.readZone()
		return
	}
	c.step(now)
}

// restless reports whether a step now may decide anything that the last one did not.
func (c *control) restless() bool {
	return c.planner.changed || slices.ContainsFunc(c.zones[c.entry.settings.Zone].zone.Instances, func(i fleet.Instance) bool {
		return i.State.Draining() || i.State == fleet.Drained || i.State == fleet.Returned
	})
}

func (c *control) standForElection(now time.Time) {
	c.planner.busy = true
	c.planner.retryAt = now.Add(electionRetry)
	zone := c.entry.settings.Zone
	value, _ := json.Marshal(holder{c.entry.self.Incarnation}) // a struct of strings always encodes
	lease := c.lease
	c.group.Go(func() error {
		prev := store.Record{Key: keyPlanner(zone)}
		record, outcome, _ := c.entry.client.Swap(c.ctx, prev, value, lease)
		c.send(electionEnded{record, outcome})
		return nil
	})
}

func (c *control) electionEnded(now time.Time, m electionEnded) {
	c.planner.busy = false
	if m.outcome == store.Unsettled {
		return
	}
	c.planner.adopt(m.record)
	if c.planner.holder != c.entry.self.Incarnation {
		return
	}
	c.planner.unsure, c.planner.changed, c.planner.retryAt = true, true, now
	c.note(now, event.Event{Kind: event.PlannerElected})
}

// readZone reads the zone's record before this planner's first step or after an unsettled write.
func (c *control) readZone() {
	c.planner.busy = true
	key := KeyZone(c.entry.settings.Zone)
	c.group.Go(func() error {
		record, err := c.entry.client.Get(c.ctx, key, store.Safety)
		outcome := store.Conflicted
		if err != nil {
			outcome = store.Unsettled
		}
		c.send(zoneWritten{record: record, outcome: outcome})
		return nil
	})
}

// step decides and writes the zone's next record.
func (c *control) step(now time.Time) {
	policy, err := plan.Policies.Lookup(c.config.Policies.Planner)
	if err != nil {
		c.entry.log.Error().Str("Event", "TableRefused").Err(err).Msg("")
		return
	}
	own := c.zones[c.entry.settings.Zone]
	if own.zone.Name == "" {
		own.zone.Name = c.entry.settings.Zone
		own.record.Key = KeyZone(own.zone.Name)
	}
	d := plan.Step(now, c.view(now, own.zone), policy)
	c.noteHeld(now, d.Held)
	fence := own.zone.FencingToken < c.planner.term
	if !d.Changed && !fence {
		return
	}
	d.Zone.Revision++
	d.Zone.FencingToken = max(d.Zone.FencingToken, c.planner.term)
	value, err := json.Marshal(d.Zone)
	if err != nil {
		panic("entry: zone record does not encode: " + err.Error())
	}
	c.planner.busy = true
	c.group.Go(func() error {
		record, outcome, _ := c.entry.client.Swap(c.ctx, own.record, value, "")
		c.send(zoneWritten{record, outcome, d})
		return nil
	})
}

// noteHeld records which actions wait, once for each change of rule.
func (c *control) noteHeld(now time.Time, heldBack []plan.Held) {
	for _, h := range heldBack {
		same := func(o plan.Held) bool { return o.Instance == h.Instance && o.Rule == h.Rule }
		if !slices.ContainsFunc(c.heldBack, same) {
			c.note(now, event.Event{Kind: event.InstanceHeld, Instance: h.Instance, Pool: h.Pool, Detail: string(h.Rule) + ": " + h.Reason})
		}
	}
	c.heldBack = heldBack
}

func (c *control) zoneWritten(now time.Time, m zoneWritten) {
	c.planner.busy, c.planner.changed = false, true
	c.planner.unsure = m.outcome == store.Unsettled
	if m.outcome == store.Unsettled {
		return
	}
	if m.outcome == store.Applied {
		for _, e := range m.decision.Events {
			c.note(now, e)
		}
	}
	if m.record.Revision > 0 {
		c.adoptZone(now, m.record)
		c.planner.term = max(c.planner.term, c.zones[c.entry.settings.Zone].zone.FencingToken)
		if m.outcome == store.Conflicted && m.decision.Zone.Name == "" {
			c.planner.term++
		}
	}
	c.publish(now)
	c.sendStatus(now, false)
}

// view collects what a planning step depends on.
func (c *control) view(now time.Time, own fleet.Zone) plan.View {
	v := plan.View{Config: c.config, Zone: own, Others: make(map[string]fleet.Zone), Ended: c.gone(now, own)}
	for name, h := range c.zones {
		if name != own.Name {
			v.Others[name] = h.zone
		}
	}
	v.Members = c.members()
	v.Reports = append(v.Reports, plan.Report{Sender: c.entry.self, ZoneRevision: own.Revision, InFlight: c.entry.proxy.InFlight()})
	for _, p := range c.peers {
		if p.zone == own.Name {
			v.Reports = append(v.Reports, plan.Report{Sender: p.sender, ZoneRevision: p.zones[own.Name], InFlight: p.inFlight, Stopped: p.stopped})
		}
	}
	v.FailedInstances, v.Absent = c.health(own)
	return v
}

func (c *control) members() []plan.Member {
	members := []plan.Member{{Sender: c.entry.self}}
	zone := c.entry.settings.Zone
	for _, m := range c.leases {
		if m.zone == zone && m.sender.Incarnation != c.entry.self.Incarnation && !c.hasStopped(m.sender) {
			members = append(members, plan.Member{Sender: m.sender})
		}
	}
	for _, p := range c.peers {
		known := slices.ContainsFunc(members, func(m plan.Member) bool { return m.Sender.Incarnation == p.sender.Incarnation })
		if p.zone == zone && p.linked && !p.stopped && !known {
			members = append(members, plan.Member{Sender: p.sender})
		}
	}
	return members
}

func (c *control) hasStopped(s fleet.Sender) bool {
	p := c.peers[s.Incarnation]
	return p != nil && p.stopped
}

// gone returns the senders that surely no longer run: they or an operator said so, another
// process holds their address, or both their lease and their place in the platform's list are gone for
// longer than the list may lag.
func (c *control) gone(now time.Time, own fleet.Zone) map[string]bool {
	gone := make(map[string]bool)
	members := c.members()
	for _, s := range own.Senders {
		replaced := slices.ContainsFunc(members, func(m plan.Member) bool {
			return m.Sender.PeerAddress == s.PeerAddress && m.Sender.Incarnation != s.Incarnation
		})
		if s.Incarnation != c.entry.self.Incarnation && (c.hasStopped(s) || replaced || slices.Contains(c.config.Deployment.GoneEntries, s.Incarnation) || c.unlisted(now, own.Name, s)) {
			gone[s.Incarnation] = true
		}
	}
	return gone
}

func (c *control) unlisted(now time.Time, zone string, s fleet.Sender) bool {
	if _, leased := c.leases[keyEntry(zone, s.Incarnation)]; leased {
		return false
	}
	lost, seen := c.lostLease[s.Incarnation]
	if !seen {
		c.lostLease[s.Incarnation] = now
		return false
	}
	if !c.listing.At.After(lost.Add(c.config.Deployment.ListLag)) || !c.lists(c.entry.self) {
		return false
	}
	p := c.peers[s.Incarnation]
	return !c.lists(s) && (p == nil || !p.linked)
}

// lists reports whether the platform's list has the entry as live.
func (c *control) lists(s fleet.Sender) bool {
	return slices.ContainsFunc(c.listing.Instances, func(l store.Listed) bool {
		return l.Live && l.Address == s.PeerAddress
	})
}

// health returns the instances that failed and those that the platform does not list as live.
func (c *control) health(own fleet.Zone) (down, absent map[string]bool) {
	down, absent = make(map[string]bool), make(map[string]bool)
	if len(c.listing.Instances) > 0 {
		live := make(map[string]bool)
		for _, l := range c.listing.Instances {
			live[l.Name] = l.Live
		}
		for _, i := range own.Instances {
			absent[i.Name] = !live[i.Name]
			down[i.Name] = !live[i.Name]
		}
	}
	for _, name := range c.failingEverywhere(own) {
		down[name] = true
	}
	return down, absent
}

// failingEverywhere returns the instances that every reporting sender of the zone has ejected.
func (c *control) failingEverywhere(own fleet.Zone) []string {
	counts := make(map[string]int)
	reporting := 1
	for _, name := range c.entry.proxy.Failing() {
		counts[name]++
	}
	for _, p := range c.peers {
		if p.zone != own.Name || !p.linked {
			continue
		}
		reporting++
		for _, name := range p.failing {
			counts[name]++
		}
	}
	var failing []string
	for name, n := range counts {
		if n == reporting {
			failing = append(failing, name)
		}
	}
	return failing
}
