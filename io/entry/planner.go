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

// plannerState is the election state of the zone's planner, and this entry's own progress while it is the planner.
type plannerState struct {
	record       store.Record
	incarnation  string // of the elected planner; empty if there is none
	keyRead      bool   // whether the planner key, or its absence, has been read
	callPending  bool   // an election, a read or a write of the zone record is in progress
	retryAt      time.Time
	lastStep     time.Time
	fencingToken uint64
	changed      bool // a record, peer or lease has changed since the last step
	mustReadZone bool // the zone record must be read before the next step: this entry was just elected, or its last write is unsettled
}

// apply records the planner named by r, unless r is stale or malformed.
func (p *plannerState) apply(r store.Record) {
	var h holder
	if r.Revision <= p.record.Revision || json.Unmarshal(r.Payload(), &h) != nil {
		return
	}
	p.record, p.incarnation, p.keyRead = r, h.Incarnation, true
}

// clear records that the zone has no planner. The random delay spreads out the attempts of several entries to be elected.
func (p *plannerState) clear(now time.Time) {
	p.record, p.incarnation, p.keyRead = store.Record{}, "", true
	p.retryAt = now.Add(rand.N(electionJitter))
}

const (
	electionJitter     = 300 * time.Millisecond
	electionRetryDelay = time.Second
	activeStepPeriod   = 100 * time.Millisecond
	idleStepPeriod     = time.Second // interval between steps while nothing changes
)

// runPlanner takes one planning step if this entry is the zone's planner, and tries to be elected if the zone has no planner.
func (c *control) runPlanner(now time.Time) {
	p := &c.planner
	if p.callPending || c.stopping || !c.platformUp || c.config == nil || now.Before(p.retryAt) {
		return
	}
	if p.incarnation != c.entry.self.Incarnation {
		if p.incarnation == "" && c.leaseID != "" {
			c.attemptElection(now)
		}
		return
	}
	if now.Sub(p.lastStep) < idleStepPeriod && (!c.mayProgress() || now.Sub(p.lastStep) < activeStepPeriod) {
		return
	}
	p.lastStep, p.changed = now, false
	if p.mustReadZone {
		c.readZoneRecord()
		return
	}
	c.planStep(now)
}

// mayProgress reports whether a step may have a different result than the last one: an input has changed, or
// an instance is draining, drained or returned, which may end without such a change.
func (c *control) mayProgress() bool {
	return c.planner.changed || slices.ContainsFunc(c.zones[c.entry.settings.Zone].zone.Instances, func(i fleet.Instance) bool {
		return i.State.Draining() || i.State == fleet.Drained || i.State == fleet.Returned
	})
}

// attemptElection tries to create the planner key under this entry's lease.
func (c *control) attemptElection(now time.Time) {
	c.planner.callPending = true
	c.planner.retryAt = now.Add(electionRetryDelay)
	zone := c.entry.settings.Zone
	value, _ := json.Marshal(holder{c.entry.self.Incarnation}) // cannot fail: the struct has only string fields
	lease := c.leaseID
	c.group.Go(func() error {
		prev := store.Record{Key: keyPlanner(zone)}
		record, outcome, _ := c.entry.client.Swap(c.ctx, prev, value, lease)
		c.send(electionEnded{record, outcome})
		return nil
	})
}

// handleElectionEnded applies the planner key found or written by an attempt to become planner.
func (c *control) handleElectionEnded(now time.Time, m electionEnded) {
	c.planner.callPending = false
	if m.outcome == store.Unsettled {
		return
	}
	c.planner.apply(m.record)
	if c.planner.incarnation != c.entry.self.Incarnation {
		return
	}
	c.planner.mustReadZone, c.planner.changed, c.planner.retryAt = true, true, now
	c.recordEvent(now, event.Event{Kind: event.PlannerElected})
}

// readZoneRecord reads the zone's record, before a new planner's first step or after an unsettled write.
func (c *control) readZoneRecord() {
	c.planner.callPending = true
	key := KeyZone(c.entry.settings.Zone)
	c.group.Go(func() error {
		record, err := c.entry.client.Get(c.ctx, key, store.Critical)
		outcome := store.Conflicted
		if err != nil {
			outcome = store.Unsettled
		}
		c.send(zoneWritten{record: record, outcome: outcome})
		return nil
	})
}

// planStep takes a planning step and writes the zone's next record if the step changed it. A record with a lower fencing
// token than this planner's is written in any case.
func (c *control) planStep(now time.Time) {
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
	c.recordHeldActions(now, d.Held)
	raisesToken := own.zone.FencingToken < c.planner.fencingToken
	if !d.Changed && !raisesToken {
		return
	}
	d.Zone.Revision++
	d.Zone.FencingToken = max(d.Zone.FencingToken, c.planner.fencingToken)
	value, err := json.Marshal(d.Zone)
	if err != nil {
		panic("entry: cannot encode zone record: " + err.Error())
	}
	c.planner.callPending = true
	c.group.Go(func() error {
		record, outcome, _ := c.entry.client.Swap(c.ctx, own.record, value, "")
		c.send(zoneWritten{record, outcome, d})
		return nil
	})
}

// recordHeldActions records an event for each held action, unless the same rule held it back in the last step.
func (c *control) recordHeldActions(now time.Time, held []plan.Held) {
	for _, h := range held {
		same := func(o plan.Held) bool { return o.Instance == h.Instance && o.Rule == h.Rule }
		if !slices.ContainsFunc(c.heldActions, same) {
			c.recordEvent(now, event.Event{Kind: event.InstanceHeld, Instance: h.Instance, Pool: h.Pool, Detail: string(h.Rule) + ": " + h.Reason})
		}
	}
	c.heldActions = held
}

// handleZoneWritten applies the result of a write or read of the zone record. After the read of an
// existing record this planner's fencing token is higher than that of the record, which fences off earlier planners.
func (c *control) handleZoneWritten(now time.Time, m zoneWritten) {
	c.planner.callPending, c.planner.changed = false, true
	c.planner.mustReadZone = m.outcome == store.Unsettled
	if m.outcome == store.Unsettled {
		return
	}
	if m.outcome == store.Applied {
		for _, e := range m.decision.Events {
			c.recordEvent(now, e)
		}
	}
	if m.record.Revision > 0 {
		c.applyZone(now, m.record)
		c.planner.fencingToken = max(c.planner.fencingToken, c.zones[c.entry.settings.Zone].zone.FencingToken)
		if m.outcome == store.Conflicted && m.decision.Zone.Name == "" {
			c.planner.fencingToken++
		}
	}
	c.publish(now)
	c.sendStatus(now, false)
}

// view returns the inputs of a planning step.
func (c *control) view(now time.Time, own fleet.Zone) plan.View {
	v := plan.View{Config: c.config, Zone: own, Others: make(map[string]fleet.Zone), Ended: c.endedSenders(now, own)}
	for name, h := range c.zones {
		if name != own.Name {
			v.Others[name] = h.zone
		}
	}
	v.Members = c.members()
	v.Reports = append(v.Reports, plan.Report{Sender: c.entry.self, ZoneRevision: own.Revision, InFlight: c.entry.proxy.InFlightNotAccepting()})
	for _, p := range c.peers {
		if p.zone == own.Name {
			v.Reports = append(v.Reports, plan.Report{Sender: p.sender, ZoneRevision: p.zoneRevisions[own.Name], InFlight: p.inFlight, Stopped: p.stopped})
		}
	}
	v.FailedInstances, v.Absent = c.instanceFailures(own)
	return v
}

// members returns the entries of the zone that hold a lease or are linked and have not stopped, with this entry first.
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

// endedSenders returns the incarnations of the senders that are certain to have ended: the sender or an operator
// has reported it, another process uses its peer address, or it has lost its lease and the platform's list, read
// more than ListLag later, no longer has it as live.
func (c *control) endedSenders(now time.Time, own fleet.Zone) map[string]bool {
	ended := make(map[string]bool)
	members := c.members()
	for _, s := range own.Senders {
		replaced := slices.ContainsFunc(members, func(m plan.Member) bool {
			return m.Sender.PeerAddress == s.PeerAddress && m.Sender.Incarnation != s.Incarnation
		})
		if s.Incarnation != c.entry.self.Incarnation && (c.hasStopped(s) || replaced || slices.Contains(c.config.Deployment.GoneEntries, s.Incarnation) || c.absentFromPlatform(now, own.Name, s)) {
			ended[s.Incarnation] = true
		}
	}
	return ended
}

// absentFromPlatform reports whether a sender is neither linked, nor holds a lease, nor is listed as live in a list read
// more than ListLag after the loss of its lease was noticed. A list that lacks this entry is not trusted.
func (c *control) absentFromPlatform(now time.Time, zone string, s fleet.Sender) bool {
	if _, leased := c.leases[keyEntry(zone, s.Incarnation)]; leased {
		return false
	}
	lostAt, known := c.leaseLostAt[s.Incarnation]
	if !known {
		c.leaseLostAt[s.Incarnation] = now
		return false
	}
	if !c.listing.At.After(lostAt.Add(c.config.Deployment.ListLag)) || !c.listedLive(c.entry.self) {
		return false
	}
	p := c.peers[s.Incarnation]
	return !c.listedLive(s) && (p == nil || !p.linked)
}

// listedLive reports whether the platform lists an instance at the entry's peer address as live.
func (c *control) listedLive(s fleet.Sender) bool {
	return slices.ContainsFunc(c.listing.Instances, func(l store.ListedInstance) bool {
		return l.Live && l.Address == s.PeerAddress
	})
}

// instanceFailures returns the instances that failed and the instances that the platform does not list as live. The
// former include the latter and the instances that all entries have ejected.
func (c *control) instanceFailures(own fleet.Zone) (failed, absent map[string]bool) {
	failed, absent = make(map[string]bool), make(map[string]bool)
	if len(c.listing.Instances) > 0 {
		live := make(map[string]bool)
		for _, l := range c.listing.Instances {
			live[l.Name] = l.Live
		}
		for _, i := range own.Instances {
			absent[i.Name] = !live[i.Name]
			failed[i.Name] = !live[i.Name]
		}
	}
	for _, name := range c.ejectedByAll(own) {
		failed[name] = true
	}
	return failed, absent
}

// ejectedByAll returns the instances that this entry and every linked entry of the zone have ejected.
func (c *control) ejectedByAll(own fleet.Zone) []string {
	counts := make(map[string]int)
	reporters := 1
	for _, name := range c.entry.proxy.EjectedInstances() {
		counts[name]++
	}
	for _, p := range c.peers {
		if p.zone != own.Name || !p.linked {
			continue
		}
		reporters++
		for _, name := range p.ejectedInstances {
			counts[name]++
		}
	}
	var ejected []string
	for name, n := range counts {
		if n == reporters {
			ejected = append(ejected, name)
		}
	}
	return ejected
}
