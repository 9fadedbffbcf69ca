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
	"golang.org/x/time/rate"

	"daisysaddle/core/fleet"
	"daisysaddle/core/sched"
	"daisysaddle/io/guard"
	"daisysaddle/io/peer"
	"daisysaddle/io/store"
)

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, w sched.Worker, token uint64, o sched.Start) sched.Answer
	Stop(ctx context.Context, w sched.Worker, token uint64, o sched.Stop) sched.Answer
	Pace(ctx context.Context, w sched.Worker, token uint64, o sched.Pace) sched.Answer
	Poll(ctx context.Context, w sched.Worker, token uint64, o sched.Poll) sched.PollResult
}

// Machines calls the machine API: it lists machines and sends orders to them.
type Machines interface {
	List(ctx context.Context) (sched.MachineList, error)
	Order(ctx context.Context, holder string, token uint64, o sched.MachineOrder) sched.Answer
}

// Advisor asks the external placement advisor which workers may run a step.
type Advisor interface {
	Ask(ctx context.Context, a sched.AdviceRequest) (sched.AdviceResult, error)
}

// Dialect translates between the platform's format of stored records and this module's types: it decodes the records of
// the operator and of the workers, and encodes the status of maintenance waves.
type Dialect interface {
	OperatorPrefix() string
	WorkersPrefix() string
	Operator(r store.Record) (OperatorRecord, error)
	Worker(r store.Record) (sched.Worker, error)
	WaveStatus(s sched.WaveStatus) (store.Record, error)
}

// OperatorRecord is a decoded record that the operator stored; at most one field is set.
type OperatorRecord struct {
	Config *Config
	Wave   *sched.Wave
}

// Route maps requests for a host and a path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  string
	Public bool `json:",omitempty"` // its calls need no key
}

// Limits bounds the size and duration of callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration, with the routes, limits and keys of callers' requests.
type Config struct {
	sched.Config
	Routes []Route
	Limits Limits
	Keys   Keys `json:",omitzero"`
}

// Settings holds the parameters of an entry, which are fixed when it starts.
type Settings struct {
	Name        string
	Zone        string
	Deployment  string
	PeerAddress netip.AddrPort
	Cores       float64 // processors that the entry may use; zero means unknown
	LinkMbps    float64 // bandwidth of its network link in megabits per second; zero means unknown
	Bounds      sched.Settings
	Limits      guard.Limits // of callers; other ports get a part of them
	SpecBytes   int64        // memory of the specs that a carrier keeps; zero for no limit
	StoredBytes int64        // memory of jobs that wait to be stored; zero for no limit
}

// Dependencies holds the clients and functions that an entry depends on.
type Dependencies struct {
	Store    *store.Client
	Workers  Workers
	Machines Machines // nil without a machine API
	Advisor  Advisor  // nil without a placement advisor
	Dialect  Dialect
	Now      func() time.Time // must include the time during which the system is suspended
}

// Node is one entry of the job service.
type Node struct {
	Settings
	Dependencies
	Log zerolog.Logger

	incarnation       string
	started           time.Time
	operatorReadAt    atomic.Int64 // when the store last answered a read or a watch of the operator's records, in nanoseconds since started
	config            atomic.Pointer[Config]
	owner             atomic.Pointer[ownership]
	largestOwnerCores float64 // processors of the largest owner so far; used by the election only
	control           atomic.Pointer[control]
	stopping          atomic.Bool
	ownerUnresponsive atomic.Bool    // the last request to the owner failed, or the owner could not use the store
	acceptBatcher     *store.Batcher // writes accepted jobs
	unsettled         unsettledIDs   // ids of jobs whose write is unsettled
	tombstones        tombstones     // writes the cancellations of ids that have no job
	ownerReach        reach          // whether the owner answers
	storeReach        reach          // whether the store answers
	destinations      destinations   // the workers to which it sends orders
	carrier           carrier        // sends the orders that an owner on another entry forwards
	mesh              *peer.Mesh
	httpClient        *http.Client // sends requests over the mesh
	metrics           *metrics
	eventLog          eventLog
	background        errgroup.Group

	mu          sync.Mutex
	waves       map[int64]sched.Wave
	accepting   map[string]*acceptance
	storing     int64                         // memory of the jobs in accepting
	guardLogged map[[2]string]*rate.Sometimes // by port and kind
}

// Timing of calls to the key-value store, whose rate limits hold for all entries together: 400 writes and 2000 reads a
// second.
const (
	acceptBatchDelay = 6 * time.Millisecond    // accepted jobs wait this long to share a call with others
	acceptTimeout    = 1500 * time.Millisecond // half of a caller's timeout (3 s)
	saveBatchDelay   = 15 * time.Millisecond   // longer than for accepted jobs, since no caller waits for the progress of a job
	saveTimeout      = 5 * time.Second
	watchTimeout     = 800 * time.Millisecond // with one retry well below the 2 s within which a new configuration must be in force
	retryDelay       = 150 * time.Millisecond
)

// New returns an entry that has not been started; its methods may be called before Run.
func New(s Settings, p Dependencies) *Node {
	n := &Node{
		Settings: s, Dependencies: p, Log: zerolog.Nop(), metrics: newMetrics(), eventLog: newEventLog(), incarnation: uuid.NewString(),
		waves: make(map[int64]sched.Wave), accepting: make(map[string]*acceptance), guardLogged: make(map[[2]string]*rate.Sometimes),
		acceptBatcher: &store.Batcher{Client: p.Store, MinInterval: acceptBatchDelay, RetryTimeout: acceptTimeout},
	}
	n.tombstones.node = n
	n.tombstones.batcher = &store.Batcher{Client: p.Store, MinInterval: acceptBatchDelay, RetryTimeout: tombstoneTimeout}
	n.started = p.Now()
	n.ownerReach.silentAfter, n.storeReach.silentAfter = ownerSilentAfter, storeSilentAfter
	n.carrier.node = n
	n.carrier.ctx, n.carrier.cancel = context.WithCancel(context.Background())
	n.httpClient = n.peerClient()
	p.Store.Observe = n.metrics.observeStoreCall
	return n
}

// Run runs the entry until ctx ends, and returns after it has released the ownership. The error is that of the peer
// listener.
func (n *Node) Run(ctx context.Context) error {
	n.log("Start").Str("Zone", n.Zone).Str("Incarnation", n.incarnation).Send()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { n.watchOperator(ctx); return nil })
	group.Go(func() error { n.askWhileSilent(ctx); return nil })
	group.Go(func() error { n.elect(ctx); return nil })
	group.Go(func() error { return n.servePeers(ctx) })
	group.Go(func() error { n.logStoreUse(ctx); return nil })
	err := group.Wait()
	n.carrier.close()
	_ = n.background.Wait() // its goroutines end with their contexts or timeouts
	n.log("Stop").Err(err).Send()
	return err
}

// BeginShutdown makes the entry report that it is not ready, and gives up the ownership.
func (n *Node) BeginShutdown() {
	n.stopping.Store(true)
	if c := n.control.Load(); c != nil {
		c.quit(errStopping)
	}
}

// Ready reports whether the entry should get new connections. It is not ready before it has a configuration, once it
// stops, and while neither the store nor the owner answers it: other entries can serve its callers then.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && !n.stopping.Load() && !n.isolated(time.Now())
}

// isolatedAfter is how long the store must have been down, so that a few lost answers do not make the entry unready.
const isolatedAfter = 700 * time.Millisecond

// isolated reports whether the entry can accept no jobs, because it can use neither the store nor the owner.
func (n *Node) isolated(now time.Time) bool {
	n.noteStoreAnswer()
	if n.Store.DownFor(now) < isolatedAfter && !n.storeReach.silent() {
		return false
	}
	o := n.owner.Load()
	return o == nil || o.Incarnation == n.incarnation || n.ownerUnresponsive.Load()
}

// Config returns the configuration in force, or nil before there is one.
func (n *Node) Config() *Config { return n.config.Load() }

// UseConfig puts a configuration in force unless it already has this version or a newer one.
func (n *Node) UseConfig(c *Config) { n.applyConfig(c, fromStore) }

// watchOperator applies the operator's configuration and maintenance waves as they change. While the store fails it asks
// the other entries for the configuration.
func (n *Node) watchOperator(ctx context.Context) {
	prefix := n.Dialect.OperatorPrefix()
	up := true
	for ctx.Err() == nil {
		batch, err := n.Store.Range(ctx, prefix, store.Critical)
		if err == nil {
			n.operatorReadAt.Store(int64(n.Now().Sub(n.started)))
			n.applyOperatorRecords(batch)
			err = n.watchOperatorChanges(ctx, prefix, batch.Revision, &up)
		}
		if err != nil && up && ctx.Err() == nil {
			up = false
			n.log("StoreLost").Err(err).Send()
		}
		if err != nil {
			n.askConfig(ctx)
		}
		sleep(ctx, retryDelay)
	}
}

// operatorRereadPeriod bounds the delay of a change that the watch missed.
const operatorRereadPeriod = 5 * time.Second

// watchOperatorChanges applies changes until the operator's records must be read again; up tells whether the last call
// to the store succeeded.
func (n *Node) watchOperatorChanges(ctx context.Context, prefix string, after uint64, up *bool) error {
	began := n.Now()
	for ctx.Err() == nil && n.Now().Sub(began) < operatorRereadPeriod {
		batch, err := n.Store.WatchPrefix(ctx, prefix, after, watchTimeout)
		if err != nil {
			return err
		}
		n.operatorReadAt.Store(int64(n.Now().Sub(n.started)))
		if !*up {
			*up = true
			n.log("StoreBack").Send()
		}
		n.applyOperatorRecords(batch)
		after = max(after, batch.Revision)
	}
	return nil
}

func (n *Node) applyOperatorRecords(batch store.Batch) {
	for _, r := range batch.Records {
		decoded, err := n.Dialect.Operator(r)
		switch {
		case err != nil:
			n.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
		case decoded.Config != nil:
			n.applyConfig(decoded.Config, fromStore)
		case decoded.Wave != nil:
			n.applyWave(*decoded.Wave)
		}
	}
}

// applyConfig puts a configuration in force unless it already has this version or a newer one, and tells the linked entries. It may
// be called concurrently.
func (n *Node) applyConfig(c *Config, from string) {
	for {
		old := n.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if c.Keys == nil && old != nil && old.Keys != nil {
			closed := *c
			closed.Keys = make(Keys) // a configuration without accounts must not open the routes of one that had some
			c = &closed
		}
		if n.config.CompareAndSwap(old, c) {
			break
		}
	}
	n.tellPeers()
	n.log("ConfigInForce").Str("From", from).Int64("Version", c.Version).Int("Routes", len(c.Routes)).Int("Accounts", len(c.Accounts)).Int("Keys", len(c.Keys)).Send()
	if o := n.control.Load(); o != nil {
		o.enqueue(func(time.Time) { o.state.SetConfig(c.Config) })
	}
}

func (n *Node) applyWave(w sched.Wave) {
	n.mu.Lock()
	_, known := n.waves[w.Number]
	n.waves[w.Number] = w
	n.mu.Unlock()
	if known {
		return
	}
	n.log("WaveAsked").Int64("Wave", w.Number).Int("Machines", len(w.Machines)).Dur("Within", w.TimeLimit).Int("Cap", w.MaxDown).Send()
	if o := n.control.Load(); o != nil {
		o.enqueue(func(now time.Time) { o.state.AddWave(now, w) })
	}
}

// sleep sleeps for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// servePeers keeps the links to other entries, once it has read their shared secret from the store.
func (n *Node) servePeers(ctx context.Context) error {
	secret, err := n.sharedSecret(ctx)
	if err != nil {
		return nil // the context has ended
	}
	tlsConfig, err := peer.TLSConfig(n.Deployment, secret)
	if err != nil {
		return err
	}
	listener, err := listen(ctx, n.PeerAddress)
	if err != nil {
		return err
	}
	sender := fleet.Sender{Name: n.Name, Incarnation: n.incarnation, PeerAddress: n.PeerAddress}
	mesh := &peer.Mesh{
		Self: peer.Identity{Deployment: n.Deployment, Zone: n.Zone, Sender: sender, Cores: n.Cores, LinkMbps: n.LinkMbps}, TLSConfig: tlsConfig,
		HandleFrame: n.receive, LinkChanged: n.peerChanged, Handler: n.peerHandler(),
		Guard: n.newGuard("Peers", n.Limits.Unproved(internalPart)), Requests: n.newGuard("Forwarded", n.Limits.Forwarded()), Refuse: http.HandlerFunc(refuseForwarded),
		NotAccepted: func(cause error) { n.logLimited("NotAccepted").Str("Port", "Peers").Err(cause).Send() },
	}
	n.mu.Lock()
	n.mesh = mesh
	n.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return mesh.Serve(ctx, listener) })
	group.Go(func() error { n.linkOwner(ctx, mesh); return nil })
	return errors.Wrap(group.Wait(), "serve peers")
}

const storeUseLogPeriod = 10 * time.Second

// logStoreUse periodically logs the number of calls to the store by kind.
func (n *Node) logStoreUse(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, storeUseLogPeriod)
		n.log("StoreUse").Any("Calls", n.metrics.countStoreCalls()).Send()
	}
}
