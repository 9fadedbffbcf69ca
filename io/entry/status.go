package entry

import (
	"time"

	"daisysaddle/core/event"
	"daisysaddle/io/peer"
	"daisysaddle/io/store"
	"daisysaddle/io/wire"
)

func (c *control) handleFrame(now time.Time, from peer.Identity, f *wire.Frame) {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Status:
		c.applyStatus(now, from, body.Status)
	case *wire.Frame_Record:
		r := body.Record
		c.applyRecord(now, store.Record{Key: r.GetKey(), Revision: r.GetRevision(), Value: r.GetValue()})
		c.publish(now)
		c.sendStatus(now, false)
	}
}

// applyStatus records a peer's status message and sends the peer the records that it lacks.
func (c *control) applyStatus(now time.Time, from peer.Identity, s *wire.Status) {
	stamp := event.Stamp{Wall: time.Unix(0, s.GetStamp().GetWallNanoseconds()).UTC(), Logical: s.GetStamp().GetLogical()}
	c.log.Observe(stamp, now, maxClockAhead)
	p := c.peerState(from)
	p.lastSeen = now
	p.configRevision = s.GetConfigRevision()
	p.platformUp = s.GetPlatformUp()
	p.stopped = p.stopped || s.GetStopped()
	p.ejectedInstances = s.GetFailing()
	p.inFlight = make(map[string]int)
	for _, f := range s.GetInFlight() {
		p.inFlight[f.GetInstance()] = int(f.GetRequests())
	}
	for _, z := range s.GetZones() {
		p.zoneRevisions[z.GetZone()] = z.GetRevision()
	}
	c.sendMissingRecords(p)
}

const (
	maxClockAhead      = time.Minute
	maxStaleHeartbeats = 3
)

// sendMissingRecords sends a peer the records of which it has reported older revisions: at once if the peer cannot reach
// the platform, else from the maxStaleHeartbeats-th such report in a row on, since the platform normally delivers them.
func (c *control) sendMissingRecords(p *peerState) {
	var missing []store.Record
	if c.config != nil && p.configRevision < c.config.Revision {
		missing = append(missing, c.configRecord)
	}
	for name, h := range c.zones {
		if p.zoneRevisions[name] < h.zone.Revision {
			missing = append(missing, h.record)
		}
	}
	if len(missing) == 0 {
		p.staleHeartbeats = 0
		return
	}
	p.staleHeartbeats++
	if p.platformUp && p.staleHeartbeats < maxStaleHeartbeats {
		return
	}
	for _, r := range missing {
		record := &wire.Record{Key: r.Key, Revision: r.Revision, Value: r.Value}
		c.entry.mesh.Send(p.sender.Incarnation, &wire.Frame{Body: &wire.Frame_Record{Record: record}})
	}
}

// sendStatus sends a status message to the linked peers of the zone and, if includeRemote is set, to those of other zones.
func (c *control) sendStatus(now time.Time, includeRemote bool) {
	c.lastStatus = now
	if includeRemote {
		c.lastRemoteStatus = now
	}
	frame := &wire.Frame{Body: &wire.Frame_Status{Status: c.status(now)}}
	for _, p := range c.peers {
		if p.linked && (includeRemote || p.zone == c.entry.settings.Zone) {
			c.entry.mesh.Send(p.sender.Incarnation, frame)
		}
	}
}

func (c *control) status(now time.Time) *wire.Status {
	stamp := c.log.Next(now)
	s := &wire.Status{
		Stamp:      &wire.Stamp{WallNanoseconds: stamp.Wall.UnixNano(), Logical: stamp.Logical},
		PlatformUp: c.platformUp,
		Stopped:    c.stopped,
		Failing:    c.entry.proxy.EjectedInstances(),
	}
	if c.config != nil {
		s.ConfigRevision = c.config.Revision
	}
	for name, h := range c.zones {
		s.Zones = append(s.Zones, &wire.ZoneRevision{Zone: name, Revision: h.zone.Revision})
	}
	for name, n := range c.entry.proxy.InFlightNotAccepting() {
		s.InFlight = append(s.InFlight, &wire.InFlight{Instance: name, Requests: uint32(n)})
	}
	return s
}
