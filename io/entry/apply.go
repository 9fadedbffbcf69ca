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

// applyBatch applies the changes that a watch delivered. A full batch lists every key, so leases missing from it are gone.
func (c *control) applyBatch(now time.Time, b store.Batch) {
	if b.Full {
		c.deleteMissingLeases(now, b)
	}
	for _, r := range b.Records {
		c.applyRecord(now, r)
	}
	for _, key := range b.Deleted {
		c.applyDeletion(now, key)
	}
	c.publish(now)
	c.sendStatus(now, false)
}

// deleteMissingLeases handles each known lease and planner key that is absent from a full batch as deleted.
func (c *control) deleteMissingLeases(now time.Time, b store.Batch) {
	present := make(map[string]bool)
	for _, r := range b.Records {
		present[r.Key] = true
	}
	for key := range c.leases {
		if !present[key] {
			c.applyDeletion(now, key)
		}
	}
	if !present[keyPlanner(c.entry.settings.Zone)] {
		c.applyDeletion(now, keyPlanner(c.entry.settings.Zone))
	}
}

// applyRecord applies a record by the kind of its key. A configuration, zone or planner record that is not newer than the one
// in force is ignored.
func (c *control) applyRecord(now time.Time, r store.Record) {
	c.planner.changed = true
	zone, isEntry := zoneOfEntryKey(r.Key)
	switch {
	case r.Key == keyConfig:
		c.applyConfig(now, r)
	case r.Key == keyPlanner(c.entry.settings.Zone):
		c.planner.apply(r)
	case isEntry:
		c.applyMember(r, zone)
	case len(r.Key) > len(prefixZone) && r.Key[:len(prefixZone)] == prefixZone:
		c.applyZone(now, r)
	}
}

// revisionOf returns the key-value store's revision of the configuration or zone record in force, 0 if there is none.
func (c *control) revisionOf(key string) uint64 {
	if key == keyConfig {
		return c.configRecord.Revision
	}
	return c.zones[strings.TrimPrefix(key, prefixZone)].record.Revision
}

func (c *control) applyConfig(now time.Time, r store.Record) {
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
	c.recordEvent(now, event.Event{Kind: event.ConfigInForce, Revision: accepted.Revision})
}

// applyZone puts a zone's record in force if its revision in the key-value store is higher than that in force and its zone
// revision is not lower.
func (c *control) applyZone(now time.Time, r store.Record) {
	var z fleet.Zone
	if err := json.Unmarshal(r.Payload(), &z); err != nil {
		c.entry.log.Error().Str("Event", "RecordRefused").Str("Key", r.Key).Err(err).Msg("")
		return
	}
	if old := c.zones[z.Name]; r.Revision <= old.record.Revision || z.Revision < old.zone.Revision {
		return
	}
	sendersChanged := c.zones[z.Name].zone.SendersRevision != z.SendersRevision
	c.zones[z.Name] = zoneRecord{r, z}
	if sendersChanged {
		c.sendStatus(now, true) // the owners of request ids wait until every entry has acknowledged the new senders
	}
	if z.Name == c.entry.settings.Zone {
		c.recordEvent(now, event.Event{Kind: event.ZoneInForce, Revision: z.Revision})
	}
}

// applyMember records that an entry holds a lease. Of two entries, the one whose incarnation
// sorts first connects to the other.
func (c *control) applyMember(r store.Record, zone string) {
	var s fleet.Sender
	if json.Unmarshal(r.Payload(), &s) != nil || s.Incarnation == "" {
		return
	}
	_, known := c.leases[r.Key]
	c.leases[r.Key] = member{zone, s}
	delete(c.leaseLostAt, s.Incarnation)
	c.leasesChanged()
	if !known && c.entry.self.Incarnation < s.Incarnation {
		c.connect(s.PeerAddress)
	}
}

// leasesChanged divides the budget of platform calls among the lease holders and publishes the peer addresses to keep links to.
func (c *control) leasesChanged() {
	c.entry.client.ShareBudget(max(1, len(c.leases)))
	addresses := make(map[netip.AddrPort]bool)
	for _, m := range c.leases {
		addresses[m.sender.PeerAddress] = true
	}
	c.leasedAddresses.Store(&addresses)
}

// applyDeletion handles the deletion of a lease or planner key.
func (c *control) applyDeletion(now time.Time, key string) {
	c.planner.changed = true
	if m, known := c.leases[key]; known {
		delete(c.leases, key)
		c.leaseLostAt[m.sender.Incarnation] = now
		c.leasesChanged()
	}
	if key == keyPlanner(c.entry.settings.Zone) {
		c.planner.clear(now)
	}
}
