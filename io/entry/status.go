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
		c.adoptStatus(now, from, body.Status)
	case *wire.Frame_Record:
		r := body.Record
		c.adoptRecord(now, store.Record{Key: r.GetKey(), Revision: r.GetRevision(), Value: r.GetValue()})
		c.publish(now)
		c.sendStatus(now, false)
	}
}

func (c *control) adoptStatus(now time.Time, from peer.Identity, s *wire.Status) {
	stamp := event.Stamp{Wall: time.Unix(0, s.GetStamp().GetWallNanoseconds()).UTC(), Logical: s.GetStamp().GetLogical()}
	c.log.Observe(stamp, now, maxClockAhead)
	p := c.peer(from)
	p.lastSeen = now
	p.config = s.GetConfigRevision()
	p.platformUp = s.GetPlatformUp()
	p.stopped = p.stopped || s.GetStopped()
	p.failing = s.GetFailing()
	p.inFlight = make(map[string]int)
	for _, f := range s.GetInFlight() {
		p.inFlight[f.GetInstance()] = int(f.GetRequests())
	}
	for _, z := range s.GetZones() {
		p.zones[z.GetZone()] = z.GetRevision()
	}
	c.passOn(p)
}

const (
	maxClockAhead  = time.Minute
	behindPatience = 3
)

// passOn sends a peer the records it lacks when the platform does not deliver them.
func (c *control) passOn(p *peerState) {
	var missing []store.Record
	if c.config != nil && p.config < c.config.Revision {
		missing = append(missing, c.configRecord)
	}
	for name, h := range c.zones {
		if p.zones[name] < h.zone.Revision {
			missing = append(missing, h.record)
		}
	}
	if len(missing) == 0 {
		p.behind = 0
		return
	}
	p.behind++
	if p.platformUp && p.behind < behindPatience {
		return
	}
	for _, r := range missing {
		record := &wire.Record{Key: r.Key, Revision: r.Revision, Value: r.Value}
		c.entry.mesh.Send(p.sender.Incarnation, &wire.Frame{Body: &wire.Frame_Record{Record: record}})
	}
}

// sendStatus sends a heartbeat to the peers of the zone and, when far is set, to all others.
func (c *control) sendStatus(now time.Time, far bool) {
	c.lastStatus = now
	if far {
		c.lastFar = now
	}
	frame := &wire.Frame{Body: &wire.Frame_Status{Status: c.status(now)}}
	for _, p := range c.peers {
		if p.linked && (far || p.zone == c.entry.settings.Zone) {
			c.entry.mesh.Send(p.sender.Incarnation, frame)
		}
	}
}

func (c *control) status(now time.Time) *wire.Status {
	stamp := c.log.Next(now)
	s := &wire.Status{
		Stamp:      &wire.Stamp{WallNanoseconds: stamp.Wall.UnixNano(), Logical: stamp.Logical},
		PlatformUp: c.platformUp,
		Stopped:    c.finished,
		Failing:    c.entry.proxy.Failing(),
	}
	if c.config != nil {
		s.ConfigRevision = c.config.Revision
	}
	for name, h := range c.zones {
		s.Zones = append(s.Zones, &wire.ZoneRevision{Zone: name, Revision: h.zone.Revision})
	}
	for name, n := range c.entry.proxy.InFlight() {
		s.InFlight = append(s.InFlight, &wire.InFlight{Instance: name, Requests: uint32(n)})
	}
	return s
}
