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
		OwnerSets:     c.ownerSets(now),
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

const allZones = "" // name of the owner set of all zones

// ownerSets returns, by zone name, the entries of each zone that own request ids; allZones stands for the entries of all zones.
func (c *control) ownerSets(now time.Time) map[string]proxy.OwnerSet {
	ownerSets := make(map[string]proxy.OwnerSet)
	var all []fleet.Sender
	var names []string
	for name := range c.zones {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		senders := c.zones[name].zone.Senders
		ownerSets[name] = c.ownerSet(now, name, senders, []string{name})
		all = append(all, senders...)
	}
	ownerSets[allZones] = c.ownerSet(now, allZones, all, names)
	return ownerSets
}

// ownerSet returns the owner set of the given entries. It is acknowledged once each of them has acknowledged the zone records
// that list them, and stays so while the entries are the same, even if a later revision is not acknowledged yet.
func (c *control) ownerSet(now time.Time, name string, entries []fleet.Sender, zones []string) proxy.OwnerSet {
	var incarnations strings.Builder
	for _, n := range entries {
		incarnations.WriteString(n.Incarnation + " ")
	}
	if !c.acknowledged(entries, zones) {
		if s := c.acknowledgedSets[name]; s.incarnations == incarnations.String() {
			return proxy.OwnerSet{Entries: entries, Acknowledged: true, Since: s.since}
		}
		return proxy.OwnerSet{Entries: entries}
	}
	if c.acknowledgedSets[name].incarnations != incarnations.String() {
		c.acknowledgedSets[name] = acknowledgedSet{incarnations: incarnations.String(), since: now}
		c.newlyAcknowledged = true
	}
	return proxy.OwnerSet{Entries: entries, Acknowledged: true, Since: c.acknowledgedSets[name].since}
}

// acknowledged reports whether each of the entries has applied the revision that last changed the senders of each zone.
func (c *control) acknowledged(entries []fleet.Sender, zones []string) bool {
	for _, n := range entries {
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

// updateOwnerSets publishes the routing table again if an owner set is newly acknowledged.
func (c *control) updateOwnerSets(now time.Time) {
	c.newlyAcknowledged = false
	c.ownerSets(now)
	if c.newlyAcknowledged {
		c.publish(now)
	}
}
