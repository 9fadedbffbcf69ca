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

// held is a record with the zone it decodes to.
type held struct {
	record store.Record
	zone   fleet.Zone
}

// peerState is what this entry knows of another one.
type peerState struct {
	zone       string
	sender     fleet.Sender
	linked     bool
	lastSeen   time.Time
	config     uint64
	zones      map[string]uint64
	inFlight   map[string]int
	stopped    bool
	platformUp bool
	failing    []string
	behind     int // consecutive heartbeats with an older revision
}

// control owns the state of one entry; only its goroutine touches the fields.
type control struct {
	entry   *Entry
	inbox   chan message
	dropped atomic.Uint64
	// planning tells the goroutine that reads the list whether this entry plans its zone.
	planning atomic.Bool
	group    *errgroup.Group
	ctx      context.Context

	log          event.Log
	configRecord store.Record
	config       *config.Config
	zones        map[string]held
	leases       map[string]member // by key
	lostLease    map[string]time.Time
	peers        map[string]*peerState // by incarnation
	listing      store.Listing
	lease        string
	platformUp   bool
	planner      plannerState
	stopping     bool
	finished     bool
	lastStatus   time.Time
	lastFar      time.Time
	heldBack     []plan.Held
	settled      map[string]settlement
	newlySettled bool
	closed       chan struct{}                           // closed when run has returned
	addresses    atomic.Pointer[map[netip.AddrPort]bool] // peers that hold a lease
}

// member is an entry that holds a lease.
type member struct {
	zone   string
	sender fleet.Sender
}

// settlement remembers when a ring was acknowledged by all its nodes.
type settlement struct {
	key   string
	since time.Time
}

func newControl(e *Entry) *control {
	return &control{
		entry:     e,
		inbox:     make(chan message, inboxMessages),
		log:       event.Log{Entry: e.settings.Name},
		zones:     make(map[string]held),
		leases:    make(map[string]member),
		lostLease: make(map[string]time.Time),
		peers:     make(map[string]*peerState),
		settled:   make(map[string]settlement),
		closed:    make(chan struct{}),
	}
}

// send delivers a message to the control goroutine; it blocks only the platform and peer goroutines.
func (c *control) send(m message) {
	select {
	case c.inbox <- m:
	case <-c.closed:
	}
}

// trafficEvent reports an event from a traffic goroutine; it is dropped when the inbox is full.
func (c *control) trafficEvent(e event.Event) {
	select {
	case c.inbox <- eventHappened{e}:
	default:
		c.dropped.Add(1)
	}
}

const tickPeriod = 50 * time.Millisecond

// run processes messages until ctx ends.
func (c *control) run(ctx context.Context) error {
	c.group, c.ctx = errgroup.WithContext(ctx)
	defer close(c.closed)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	c.note(time.Now(), event.Event{Kind: event.EntryStarted})
	for _, address := range c.entry.settings.Peers {
		c.connect(address)
	}
	for {
		select {
		case <-ctx.Done():
			return c.finish()
		case m := <-c.inbox:
			c.handle(time.Now(), m)
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

// finish lets the goroutines end that still send messages.
func (c *control) finish() error {
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

func (c *control) note(now time.Time, e event.Event) {
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
		c.adoptBatch(now, m.batch)
	case recordRead:
		if m.record.Revision > c.revisionOf(m.record.Key) {
			c.adoptBatch(now, store.Batch{Records: []store.Record{m.record}})
		}
	case platformChanged:
		c.setPlatform(now, m.up)
	case listArrived:
		c.listing = m.listing
	case leaseGranted:
		c.lease = m.lease
	case frameArrived:
		c.handleFrame(now, m.from, m.frame)
	case peerChanged:
		c.setPeer(now, m)
	case zoneWritten:
		c.zoneWritten(now, m)
	case electionEnded:
		c.electionEnded(now, m)
	case eventHappened:
		c.note(now, m.event)
	case stopRequested:
		c.stopping = true
		c.note(now, event.Event{Kind: event.EntryStopping})
		c.publish(now)
	case drained:
		c.finished = true
		c.sendStatus(now, true)
		close(m.done)
	case query:
		m.run()
		close(m.done)
	}
}

// ask runs f on the control goroutine.
func (c *control) ask(ctx context.Context, f func()) bool {
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

func (c *control) setPlatform(now time.Time, up bool) {
	if up == c.platformUp {
		return
	}
	c.platformUp = up
	kind := event.PlatformDown
	if up {
		kind = event.PlatformUp
	}
	c.note(now, event.Event{Kind: kind})
}

func (c *control) heartbeat() time.Duration {
	if c.config != nil {
		return c.config.Deployment.HeartbeatPeriod
	}
	return defaultHeartbeat
}

const (
	defaultHeartbeat = 250 * time.Millisecond
	farHeartbeats    = 8 // heartbeat periods between two heartbeats to another zone
)

func (c *control) tick(now time.Time) {
	if now.Sub(c.lastStatus) >= c.heartbeat() {
		far := now.Sub(c.lastFar) >= farHeartbeats*c.heartbeat()
		c.sendStatus(now, far)
	}
	c.planning.Store(c.planner.holder == c.entry.self.Incarnation)
	c.entry.proxy.Poll(now)
	c.updateRings(now)
	c.plan(now)
}

// connect keeps a link to a peer until its lease is gone; addresses from the settings are kept always.
func (c *control) connect(address netip.AddrPort) {
	c.group.Go(func() error {
		c.entry.mesh.Connect(c.ctx, address, c.mayForget)
		return nil
	})
}

func (c *control) mayForget(address netip.AddrPort) bool {
	known := c.addresses.Load()
	return !slices.Contains(c.entry.settings.Peers, address) && known != nil && !(*known)[address]
}

// prunePeers forgets entries that are neither linked nor named by a record.
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
			delete(c.lostLease, id)
		}
	}
}

func (c *control) setPeer(now time.Time, m peerChanged) {
	c.planner.changed = true
	p := c.peer(m.peer)
	p.linked = m.up
	if m.up {
		p.lastSeen = now
		c.sendStatus(now, true)
	}
	c.prunePeers()
	c.publish(now)
}

func (c *control) peer(id peer.Identity) *peerState {
	p := c.peers[id.Sender.Incarnation]
	if p == nil {
		p = &peerState{zone: id.Zone, sender: id.Sender, zones: make(map[string]uint64)}
		c.peers[id.Sender.Incarnation] = p
	}
	return p
}
