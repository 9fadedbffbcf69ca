package entry

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"daisysaddle/core/config"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/core/plan"
	"daisysaddle/io/peer"
	"daisysaddle/io/store"
)

// zoneRecord is a stored record with the zone decoded from it.
type zoneRecord struct {
	record store.Record
	zone   fleet.Zone
}

// peerState is the state of another entry, as last reported to this one.
type peerState struct {
	zone             string
	sender           fleet.Sender
	linked           bool
	lastSeen         time.Time
	configRevision   uint64
	zoneRevisions    map[string]uint64
	inFlight         map[string]int
	stopped          bool
	platformUp       bool
	ejectedInstances []string
	staleHeartbeats  int // consecutive heartbeats that reported an older revision than this entry's
}

// control owns the state of one entry; only its goroutine touches the fields.
type control struct {
	entry         *Entry
	inbox         chan message
	droppedEvents atomic.Uint64
	// isPlanner tells the goroutine that reads the platform's list of instances whether this entry plans its zone.
	isPlanner atomic.Bool
	group     *errgroup.Group
	ctx       context.Context

	log               event.Log
	configRecord      store.Record
	config            *config.Config
	zones             map[string]zoneRecord
	leases            map[string]member     // by key of the lease record
	leaseLostAt       map[string]time.Time  // by incarnation
	peers             map[string]*peerState // by incarnation
	listing           store.Listing
	leaseID           string
	platformUp        bool
	planner           plannerState
	stopping          bool
	stopped           bool
	lastStatus        time.Time
	lastRemoteStatus  time.Time
	heldActions       []plan.Held
	acknowledgedSets  map[string]acknowledgedSet              // by zone name; allZones is the set of all zones
	newlyAcknowledged bool                                    // an owner set is newly acknowledged since updateOwnerSets last began
	closed            chan struct{}                           // closed when run returns
	leasedAddresses   atomic.Pointer[map[netip.AddrPort]bool] // peer addresses of the entries that hold a lease
}

// member is an entry that holds a lease.
type member struct {
	zone   string
	sender fleet.Sender
}

// acknowledgedSet is an owner set that all its entries have acknowledged, and the time of the last acknowledgement.
type acknowledgedSet struct {
	incarnations string // of the entries, in order
	since        time.Time
}

func newControl(e *Entry) *control {
	return &control{
		entry:            e,
		inbox:            make(chan message, inboxCapacity),
		log:              event.Log{Entry: e.settings.Name},
		zones:            make(map[string]zoneRecord),
		leases:           make(map[string]member),
		leaseLostAt:      make(map[string]time.Time),
		peers:            make(map[string]*peerState),
		acknowledgedSets: make(map[string]acknowledgedSet),
		closed:           make(chan struct{}),
	}
}

// send delivers a message to the control goroutine and blocks while the inbox is full. Traffic goroutines use reportEvent instead.
func (c *control) send(m message) {
	select {
	case c.inbox <- m:
	case <-c.closed:
	}
}

// reportEvent records an event of a traffic goroutine. It never blocks: the event is dropped when the inbox is full.
func (c *control) reportEvent(e event.Event) {
	select {
	case c.inbox <- eventReported{e}:
	default:
		c.droppedEvents.Add(1)
	}
}

const tickPeriod = 50 * time.Millisecond

// run processes messages until ctx ends.
func (c *control) run(ctx context.Context) error {
	c.group, c.ctx = errgroup.WithContext(ctx)
	defer close(c.closed)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	c.recordEvent(time.Now(), event.Event{Kind: event.EntryStarted})
	for _, peerAddress := range c.entry.settings.Peers {
		c.connect(peerAddress)
	}
	for {
		select {
		case <-ctx.Done():
			return c.awaitGoroutines()
		case m := <-c.inbox:
			c.handle(time.Now(), m)
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

// awaitGoroutines waits for the goroutines of the group and discards their messages, so that none of them blocks on a full inbox.
func (c *control) awaitGoroutines() error {
	done := make(chan error, 1)
	var waiter errgroup.Group
	waiter.Go(func() error { done <- c.group.Wait(); return nil })
	for {
		select {
		case err := <-done:
			return err
		case <-c.inbox:
		}
	}
}

// recordEvent adds an event to the event log and writes a log line of it.
func (c *control) recordEvent(now time.Time, e event.Event) {
	if e.Zone == "" {
		e.Zone = c.entry.settings.Zone
	}
	e = c.log.Add(now, e)
	line := c.entry.log.Info().Str("Event", string(e.Kind)).Str("Zone", e.Zone)
	for _, pair := range [][2]string{{"Instance", e.Instance}, {"Pool", e.Pool}, {"Request", e.Request}, {"Detail", e.Detail}} {
		if pair[1] != "" {
			line = line.Str(pair[0], pair[1])
		}
	}
	line.Uint64("Revision", e.Revision).Msg("")
}

func (c *control) handle(now time.Time, m message) {
	switch m := m.(type) {
	case batchArrived:
		c.applyBatch(now, m.batch)
	case recordRead:
		if m.record.Revision > c.revisionOf(m.record.Key) {
			c.applyBatch(now, store.Batch{Records: []store.Record{m.record}})
		}
	case platformChanged:
		c.setPlatformUp(now, m.up)
	case listArrived:
		c.listing = m.listing
	case leaseGranted:
		c.leaseID = m.lease
	case frameArrived:
		c.handleFrame(now, m.from, m.frame)
	case peerChanged:
		c.setPeerLinked(now, m)
	case zoneWritten:
		c.handleZoneWritten(now, m)
	case electionEnded:
		c.handleElectionEnded(now, m)
	case eventReported:
		c.recordEvent(now, m.event)
	case stopRequested:
		c.stopping = true
		c.recordEvent(now, event.Event{Kind: event.EntryStopping})
		c.publish(now)
	case requestsEnded:
		c.stopped = true
		c.sendStatus(now, true)
		close(m.done)
	case query:
		m.run()
		close(m.done)
	}
}

// do runs f on the control goroutine and reports whether f has completed before the end of ctx.
func (c *control) do(ctx context.Context, f func()) bool {
	q := query{f, make(chan struct{})}
	select {
	case c.inbox <- q:
	case <-ctx.Done():
		return false
	}
	select {
	case <-q.done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *control) setPlatformUp(now time.Time, up bool) {
	if up == c.platformUp {
		return
	}
	c.platformUp = up
	kind := event.PlatformDown
	if up {
		kind = event.PlatformUp
	}
	c.recordEvent(now, event.Event{Kind: kind})
}

func (c *control) heartbeatPeriod() time.Duration {
	if c.config != nil {
		return c.config.Deployment.HeartbeatPeriod
	}
	return defaultHeartbeatPeriod
}

const (
	defaultHeartbeatPeriod    = 250 * time.Millisecond // until a configuration is in force
	heartbeatsPerRemoteStatus = 8                      // status messages go to other zones once in this many heartbeat periods
)

func (c *control) tick(now time.Time) {
	if now.Sub(c.lastStatus) >= c.heartbeatPeriod() {
		includeRemote := now.Sub(c.lastRemoteStatus) >= heartbeatsPerRemoteStatus*c.heartbeatPeriod()
		c.sendStatus(now, includeRemote)
	}
	c.isPlanner.Store(c.planner.incarnation == c.entry.self.Incarnation)
	c.entry.proxy.AdmitWaiting(now)
	c.updateOwnerSets(now)
	c.runPlanner(now)
}

// connect keeps a link to the peer at address until mayDisconnect allows it to end.
func (c *control) connect(address netip.AddrPort) {
	c.group.Go(func() error {
		c.entry.mesh.Connect(c.ctx, address, c.mayDisconnect)
		return nil
	})
}

// mayDisconnect reports whether no entry at address holds a lease. Addresses from the settings are always kept.
func (c *control) mayDisconnect(address netip.AddrPort) bool {
	leased := c.leasedAddresses.Load()
	return !slices.Contains(c.entry.settings.Peers, address) && leased != nil && !(*leased)[address]
}

// prunePeers deletes the state of peers that are not linked, hold no lease and are not a sender in any zone's record.
func (c *control) prunePeers() {
	named := make(map[string]bool)
	for _, h := range c.zones {
		for _, s := range h.zone.Senders {
			named[s.Incarnation] = true
		}
	}
	for _, m := range c.leases {
		named[m.sender.Incarnation] = true
	}
	for id, p := range c.peers {
		if !p.linked && !named[id] {
			delete(c.peers, id)
			delete(c.leaseLostAt, id)
		}
	}
}

func (c *control) setPeerLinked(now time.Time, m peerChanged) {
	c.planner.changed = true
	p := c.peerState(m.peer)
	p.linked = m.up
	if m.up {
		p.lastSeen = now
		c.sendStatus(now, true)
	}
	c.prunePeers()
	c.publish(now)
}

// peerState returns the state of a peer and creates it if there is none.
func (c *control) peerState(id peer.Identity) *peerState {
	p := c.peers[id.Sender.Incarnation]
	if p == nil {
		p = &peerState{zone: id.Zone, sender: id.Sender, zoneRevisions: make(map[string]uint64)}
		c.peers[id.Sender.Incarnation] = p
	}
	return p
}
