package entry

import (
	"slices"
	"strings"
	"time"

	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
	"daisysaddle/core/route"
	"daisysaddle/io/proxy"
)

// publish builds the routing table from the configuration and zone records in force and passes it to the traffic goroutines.
func (c *control) publish(now time.Time) {
	if c.config == nil {
		return
	}
	table := proxy.Table{
		Ready:         c.ready(),
		Policies:      c.config.Policies,
		Teams:         c.config.Teams,
		OwnerSets:     c.rings(now),
		IDWindow:      c.config.Deployment.IdempotencyRetry,
		MaxClockError: c.config.Deployment.ClockError,
	}
	targets, spill, services := c.targetSpecs(), c.spillPeers(), c.services()
	for _, p := range c.config.Pools {
		if service, found := services[p.Service]; found {
			table.Routes = append(table.Routes, proxy.Route{Service: service, Pool: p.Name, Targets: targets[p.Name], Spill: spill})
		}
	}
	if err := c.entry.proxy.Update(now, table); err != nil {
		c.entry.log.Error().Str("Event", "TableRefused").Err(err).Msg("")
	}
}

// ready reports whether callers may send requests: the zone's record must list this entry as a sender. During a platform
// outage, when the record cannot change, a link to another entry of the zone is enough.
func (c *control) ready() bool {
	own := c.zones[c.entry.settings.Zone].zone
	if c.stopping || own.Revision == 0 {
		return false
	}
	return c.isSender() || !c.platformUp && c.anyZonePeerLinked()
}

// isSender reports whether the zone's record lists this entry as a sender.
func (c *control) isSender() bool {
	own := c.zones[c.entry.settings.Zone].zone
	return own.HasSender(c.entry.self.Name, c.entry.self.Incarnation)
}

func (c *control) anyZonePeerLinked() bool {
	for _, p := range c.peers {
		if p.linked && p.zone == c.entry.settings.Zone {
			return true
		}
	}
	return false
}

func (c *control) services() map[string]config.Service {
	services := make(map[string]config.Service, len(c.config.Services))
	for _, s := range c.config.Services {
		services[s.Name] = s
	}
	return services
}

// targetSpecs returns the targets of the zone by pool. Instances that the configuration does not have in the zone are left out.
func (c *control) targetSpecs() map[string][]proxy.TargetSpec {
	own := c.zones[c.entry.settings.Zone].zone
	senders := make([]string, len(own.Senders))
	self := 0
	for i, s := range own.Senders {
		senders[i] = s.Incarnation
		if s.Incarnation == c.entry.self.Incarnation {
			self = i
		}
	}
	configured := make(map[string]config.Instance)
	for _, i := range c.config.Instances {
		if i.Zone == own.Name {
			configured[i.Name] = i
		}
	}
	specs := make(map[string][]proxy.TargetSpec)
	for _, i := range own.Instances {
		instance, known := configured[i.Name]
		if !known {
			continue
		}
		share := route.ShareSettings{Slots: instance.Slots, Entries: max(1, len(senders)), Index: self, Owner: route.Owner(senders, i.Name)}
		specs[i.Pool] = append(specs[i.Pool], proxy.TargetSpec{Instance: instance, Accepts: i.State.AcceptsWork(), Share: share})
	}
	return specs
}

// spillPeers returns the linked entries to which this one may forward requests.
func (c *control) spillPeers() proxy.SpillPeers {
	var spill proxy.SpillPeers
	for _, p := range c.peers {
		switch {
		case !p.linked || p.stopped:
		case p.zone == c.entry.settings.Zone:
			spill.SameZone = append(spill.SameZone, p.sender)
		default:
			spill.OtherZones = append(spill.OtherZones, p.sender)
		}
	}
	return spill
}

const allZones = "" // name of the ring that spans all zones

// rings returns the ring of each zone and the ring that spans all zones, by zone name.
func (c *control) rings(now time.Time) map[string]proxy.OwnerSet {
	rings := make(map[string]proxy.OwnerSet)
	var all []fleet.Sender
	var names []string
	for name := range c.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		senders := c.zones[name].zone.Senders
		rings[name] = c.ring(now, name, senders, []string{name})
		all = append(all, senders...)
	}
	rings[allZones] = c.ring(now, allZones, all, names)
	return rings
}

// ring returns a ring, which is settled once every node has acknowledged the records that define it. It stays settled
// while its nodes are the same, also when a later revision is not acknowledged yet.
func (c *control) ring(now time.Time, name string, nodes []fleet.Sender, zones []string) proxy.OwnerSet {
	var key strings.Builder
	for _, n := range nodes {
		key.WriteString(n.Incarnation + " ")
	}
	if !c.acknowledged(nodes, zones) {
		if s := c.settledRings[name]; s.incarnations == key.String() {
			return proxy.OwnerSet{Entries: nodes, Acknowledged: true, Since: s.since}
		}
		return proxy.OwnerSet{Entries: nodes}
	}
	if c.settledRings[name].incarnations != key.String() {
		c.settledRings[name] = settledRing{incarnations: key.String(), since: now}
		c.ringSettled = true
	}
	return proxy.OwnerSet{Entries: nodes, Acknowledged: true, Since: c.settledRings[name].since}
}

// acknowledged reports whether every node has applied the revision that last changed the senders of each zone.
func (c *control) acknowledged(nodes []fleet.Sender, zones []string) bool {
	for _, n := range nodes {
		if n.Incarnation == c.entry.self.Incarnation {
			continue
		}
		p := c.peers[n.Incarnation]
		if p == nil {
			return false
		}
		for _, z := range zones {
			if p.zoneRevisions[z] < c.zones[z].zone.SendersRevision {
				return false
			}
		}
	}
	return true
}

// updateRings publishes the routing table again if a ring has become settled since the last evaluation.
func (c *control) updateRings(now time.Time) {
	c.ringSettled = false
	c.rings(now)
	if c.ringSettled {
		c.publish(now)
	}
}
