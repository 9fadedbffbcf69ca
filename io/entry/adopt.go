package entry

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"daisysaddle/core/config"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/io/store"
)

// adoptBatch takes over what the watch delivered.
func (c *control) adoptBatch(now time.Time, b store.Batch) {
	if b.Full {
		c.forgetMissingLeases(now, b)
	}
	for _, r := range b.Records {
		c.adoptRecord(now, r)
	}
	for _, key := range b.Deleted {
		c.deleted(now, key)
	}
	c.publish(now)
	c.sendStatus(now, false)
}

func (c *control) forgetMissingLeases(now time.Time, b store.Batch) {
	present := make(map[string]bool)
	for _, r := range b.Records {
		present[r.Key] = true
	}
	for key := range c.leases {
		if !present[key] {
			c.deleted(now, key)
		}
	}
	if !present[keyPlanner(c.entry.settings.Zone)] {
		c.deleted(now, keyPlanner(c.entry.settings.Zone))
	}
}

// adoptRecord takes over a record that is newer than the one in force.
func (c *control) adoptRecord(now time.Time, r store.Record) {
	c.planner.changed = true
	zone, isEntry := zoneOfEntryKey(r.Key)
	switch {
	case r.Key == keyConfig:
		c.adoptConfig(now, r)
	case r.Key == keyPlanner(c.entry.settings.Zone):
		c.planner.adopt(r)
	case isEntry:
		c.adoptMember(r, zone)
	case len(r.Key) > len(prefixZone) && r.Key[:len(prefixZone)] == prefixZone:
		c.adoptZone(now, r)
	}
}

// revisionOf returns the platform's revision of the configuration or zone record in force.
func (c *control) revisionOf(key string) uint64 {
	if key == keyConfig {
		return c.configRecord.Revision
	}
	return c.zones[strings.TrimPrefix(key, prefixZone)].record.Revision
}

func (c *control) adoptConfig(now time.Time, r store.Record) {
	if r.Revision <= c.configRecord.Revision {
		return
	}
	accepted, err := config.Decode(r.Payload())
	if err != nil {
		c.entry.log.Error().Str("Event", "RecordRefused").Str("Key", r.Key).Err(err).Msg("")
		return
	}
	parsed, problems := config.Parse(accepted.Files, accepted.Revision)
	if len(problems) > 0 {
		c.entry.log.Error().Str("Event", "RecordRefused").Str("Key", r.Key).Err(config.JoinProblems(problems)).Msg("")
		return
	}
	c.configRecord, c.config = r, parsed
	c.note(now, event.Event{Kind: event.ConfigInForce, Revision: accepted.Revision})
}

func (c *control) adoptZone(now time.Time, r store.Record) {
	var z fleet.Zone
	if err := json.Unmarshal(r.Payload(), &z); err != nil {
		c.entry.log.Error().Str("Event", "RecordRefused").Str("Key", r.Key).Err(err).Msg("")
		return
	}
	if old := c.zones[z.Name]; r.Revision <= old.record.Revision || z.Revision < old.zone.Revision {
		return
	}
	ringChanged := c.zones[z.Name].zone.SendersRevision != z.SendersRevision
	c.zones[z.Name] = held{r, z}
	if ringChanged {
		c.sendStatus(now, true) // owners of request ids wait for every node's acknowledgement
	}
	if z.Name == c.entry.settings.Zone {
		c.note(now, event.Event{Kind: event.ZoneInForce, Revision: z.Revision})
	}
}

func (c *control) adoptMember(r store.Record, zone string) {
	var s fleet.Sender
	if json.Unmarshal(r.Payload(), &s) != nil || s.Incarnation == "" {
		return
	}
	_, known := c.leases[r.Key]
	c.leases[r.Key] = member{zone, s}
	delete(c.lostLease, s.Incarnation)
	c.leasesChanged()
	if !known && c.entry.self.Incarnation < s.Incarnation {
		c.connect(s.PeerAddress)
	}
}

// leasesChanged divides the call budget again and tells the dialling goroutines whom to keep.
func (c *control) leasesChanged() {
	c.entry.client.ShareBudget(max(1, len(c.leases)))
	addresses := make(map[netip.AddrPort]bool)
	for _, m := range c.leases {
		addresses[m.sender.PeerAddress] = true
	}
	c.addresses.Store(&addresses)
}

func (c *control) deleted(now time.Time, key string) {
	c.planner.changed = true
	if m, known := c.leases[key]; known {
		delete(c.leases, key)
		c.lostLease[m.sender.Incarnation] = now
		c.leasesChanged()
	}
	if key == keyPlanner(c.entry.settings.Zone) {
		c.planner.vacant(now)
	}
}
