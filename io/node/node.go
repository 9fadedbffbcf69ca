package node

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/fleet"
	"daisysaddle/core/sched"
	"daisysaddle/io/peer"
	"daisysaddle/io/store"
)

// Workers carries orders to workers.
type Workers interface {
	Start(ctx context.Context, w sched.Worker, fence uint64, o sched.Start) sched.Answer
	Stop(ctx context.Context, w sched.Worker, fence uint64, o sched.Stop) sched.Answer
	Pace(ctx context.Context, w sched.Worker, fence uint64, o sched.Pace) sched.Answer
	Look(ctx context.Context, w sched.Worker, fence uint64, o sched.Look) sched.Sight
}

// Machines lists machines and carries orders to them.
type Machines interface {
	List(ctx context.Context) ([]sched.Machine, error)
	Order(ctx context.Context, holder string, fence uint64, o sched.MachineOrder) sched.Answer
}

// Advisor asks the outside policy which workers may run a step.
type Advisor interface {
	Ask(ctx context.Context, a sched.Ask) (sched.Advised, error)
}

// Dialect decodes what the operator and the workers keep in the platform's store.
type Dialect interface {
	OperatorPrefix() string
	WorkersPrefix() string
	Operator(r store.Record) (OperatorRecord, error)
	Worker(r store.Record) (sched.Worker, error)
	WaveStatus(s sched.WaveStatus) (store.Record, error)
}

// OperatorRecord is a decoded record of the operator; at most one field is set.
type OperatorRecord struct {
	Config *Config
	Wave   *sched.Wave
}

// Route sends requests to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  string
}

// Limits are the bounds on callers' connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one accepted configuration.
type Config struct {
	sched.Config
	Routes []Route
	Limits Limits
}

// Settings are what an entry is told when it starts.
type Settings struct {
	Name        string
	Zone        string
	Deployment  string
	PeerAddress netip.AddrPort
	Cores       float64 // processors that the entry may use; zero when not known
	LinkMbps    float64 // megabits a second of its network link; zero when not known
	Bounds      sched.Settings
}

// Parts are what an entry works with.
type Parts struct {
	Store    *store.Client
	Workers  Workers
	Machines Machines // nil when the deployment has none
	Advisor  Advisor  // nil when the deployment has none
	Dialect  Dialect
	Now      func() time.Time // a clock that counts suspensions
}

// Node is one entry.
type Node struct {
	Settings
	Parts
	Log zerolog.Logger

	incarnation string
	config      atomic.Pointer[Config]
	owner       atomic.Pointer[ownership]
	largest     float64 // processors of the largest owner so far; used by the election only
	control     atomic.Pointer[control]
	stopping    atomic.Bool
	ownerSilent atomic.Bool // the last request to the owner got no answer that counts
	accepts     *store.Batcher
	doubts      doubts // ids whose acceptance was not settled
	porter      porter // carries out the orders of an owner
	mesh        *peer.Mesh
	peers       *http.Client
	metrics     *metrics
	events      events
	background  errgroup.Group

	mu        sync.Mutex
	waves     map[int64]sched.Wave
	accepting map[string]*acceptance
}

// Timing of the store's use; the call rates are shared by all entries (400 writes and 2000 reads a second).
const (
	acceptGather   = 6 * time.Millisecond    // accepts wait this long for others to share their call
	acceptPatience = 1500 * time.Millisecond // half of what a caller waits (3 s)
	saveGather     = 15 * time.Millisecond   // progress waits longer, since no caller waits for it
	savePatience   = 5 * time.Second
	watchWait      = 800 * time.Millisecond // with a retry, well inside the time for a configuration to be in force (2 s)
	retryPause     = 150 * time.Millisecond
)

// New returns an entry that is not running yet; it may be asked from then on.
func New(s Settings, p Parts) *Node {
	n := &Node{
		Settings: s, Parts: p, Log: zerolog.Nop(), metrics: newMetrics(), events: newEvents(), incarnation: uuid.NewString(),
		waves: make(map[int64]sched.Wave), accepting: make(map[string]*acceptance),
		accepts: &store.Batcher{Client: p.Store, Gather: acceptGather, Patience: acceptPatience},
	}
	n.porter.node = n
	n.porter.ctx, n.porter.end = context.WithCancel(context.Background())
	n.peers = n.peerClient()
	p.Store.Observe = n.metrics.storeCall
	return n
}

// Run serves until ctx ends; it returns once the ownership has been handed over.
func (n *Node) Run(ctx context.Context) error {
	n.log("Start").Str("Zone", n.Zone).Str("Incarnation", n.incarnation).Send()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { n.watchOperator(ctx); return nil })
	group.Go(func() error { n.elect(ctx); return nil })
	group.Go(func() error { return n.servePeers(ctx) })
	group.Go(func() error { n.summarize(ctx); return nil })
	err := group.Wait()
	n.porter.close()
	_ = n.background.Wait() // the links end with the context
	n.log("Stop").Err(err).Send()
	return err
}

// Stopping makes the entry unready and gives up the ownership.
func (n *Node) Stopping() {
	n.stopping.Store(true)
	if c := n.control.Load(); c != nil {
		c.quit(errStopping)
	}
}

// Ready reports whether the entry should get new connections: not before it has a configuration, when it
// stops, or while neither the store nor the owner has answered it for a while, since then other
// entries serve its callers better.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && !n.stopping.Load() && !n.cutOff(time.Now())
}

// cutOffAfter tells a cut from a few lost answers.
const cutOffAfter = 700 * time.Millisecond

// cutOff reports whether the entry can accept nothing, neither through the store nor through the owner.
func (n *Node) cutOff(now time.Time) bool {
	if n.Store.DownFor(now) < cutOffAfter {
		return false
	}
	o := n.owner.Load()
	return o == nil || o.Incarnation == n.incarnation || n.ownerSilent.Load()
}

// Config returns the configuration in force, or nil before there is one.
func (n *Node) Config() *Config { return n.config.Load() }

// Use puts a configuration in force unless a newer one is.
func (n *Node) Use(c *Config) { n.takeConfig(c) }

// watchOperator keeps the operator's configuration and waves in force.
func (n *Node) watchOperator(ctx context.Context) {
	prefix := n.Dialect.OperatorPrefix()
	up := true
	for ctx.Err() == nil {
		batch, err := n.Store.Range(ctx, prefix, store.Safety)
		if err == nil {
			n.takeOperator(batch)
			err = n.followOperator(ctx, prefix, batch.Revision, &up)
		}
		if err != nil && up && ctx.Err() == nil {
			up = false
			n.log("StoreLost").Err(err).Send()
		}
		if err != nil {
			n.askConfig(ctx)
		}
		pause(ctx, retryPause)
	}
}

// operatorReread bounds how long a watch that missed a change can hide it.
const operatorReread = 5 * time.Second

func (n *Node) followOperator(ctx context.Context, prefix string, after uint64, up *bool) error {
	began := n.Now()
	for ctx.Err() == nil && n.Now().Sub(began) < operatorReread {
		batch, err := n.Store.WatchPrefix(ctx, prefix, after, watchWait)
		if err != nil {
			return err
		}
		if !*up {
			*up = true
			n.log("StoreBack").Send()
		}
		n.takeOperator(batch)
		after = max(after, batch.Revision)
	}
	return nil
}

func (n *Node) takeOperator(batch store.Batch) {
	for _, r := range batch.Records {
		decoded, err := n.Dialect.Operator(r)
		switch {
		case err != nil:
			n.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
		case decoded.Config != nil:
			n.takeConfig(decoded.Config)
		case decoded.Wave != nil:
			n.takeWave(*decoded.Wave)
		}
	}
}

// takeConfig puts a configuration in force unless a newer one is.
func (n *Node) takeConfig(c *Config) {
	old := n.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	n.config.Store(c)
	n.log("ConfigInForce").Int64("Version", c.Version).Int("Routes", len(c.Routes)).Send()
	if o := n.control.Load(); o != nil {
		o.post(func(time.Time) { o.state.SetConfig(c.Config) })
	}
}

func (n *Node) takeWave(w sched.Wave) {
	n.mu.Lock()
	_, known := n.waves[w.Number]
	n.waves[w.Number] = w
	n.mu.Unlock()
	if known {
		return
	}
	n.log("WaveAsked").Int64("Wave", w.Number).Int("Machines", len(w.Machines)).Dur("Within", w.Within).Int("Cap", w.Cap).Send()
	if o := n.control.Load(); o != nil {
		o.post(func(now time.Time) { o.state.AddWave(now, w) })
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// servePeers links the entries, once the store has given them their common secret.
func (n *Node) servePeers(ctx context.Context) error {
	secret, err := n.sharedSecret(ctx)
	if err != nil {
		return nil // the context has ended
	}
	keys, err := peer.Keys(n.Deployment, secret)
	if err != nil {
		return err
	}
	listener, err := listen(ctx, n.PeerAddress)
	if err != nil {
		return err
	}
	sender := fleet.Sender{Name: n.Name, Incarnation: n.incarnation, PeerAddress: n.PeerAddress}
	mesh := &peer.Mesh{
		Self: peer.Identity{Deployment: n.Deployment, Zone: n.Zone, Sender: sender, Cores: n.Cores, LinkMbps: n.LinkMbps}, Keys: keys,
		Receive: n.receive, Changed: n.peerChanged, Handler: n.peerHandler(),
	}
	n.mu.Lock()
	n.mesh = mesh
	n.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return mesh.Serve(ctx, listener) })
	group.Go(func() error { n.linkOwner(ctx, mesh); return nil })
	return errors.Wrap(group.Wait(), "serve peers")
}

const summaryEvery = 10 * time.Second

// summarize logs now and then how the store was used.
func (n *Node) summarize(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, summaryEvery)
		n.log("StoreUse").Any("Calls", n.metrics.storeCalls()).Send()
	}
}
