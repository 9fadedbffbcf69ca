package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

const (
	fakeOperator = "operator/"
	fakeWorkers  = "workers/"
	fakeWaves    = fakeOperator + "wave/"
	fakeStatus   = "status/wave/"
	taskTime     = 60 * time.Millisecond
)

// fakeDialect decodes records that hold the JSON of this module's own types.
type fakeDialect struct{}

func (fakeDialect) OperatorPrefix() string { return fakeOperator }
func (fakeDialect) WorkersPrefix() string  { return fakeWorkers }

func (fakeDialect) Operator(r store.Record) (OperatorRecord, error) {
	if strings.HasPrefix(r.Key, fakeWaves) {
		var w sched.Wave
		err := json.Unmarshal(r.Value, &w)
		return OperatorRecord{Wave: &w}, errors.Wrap(err, "decode")
	}
	var c Config
	err := json.Unmarshal(r.Value, &c)
	return OperatorRecord{Config: &c}, errors.Wrap(err, "decode")
}

func (fakeDialect) Worker(r store.Record) (sched.Worker, error) {
	var w sched.Worker
	err := json.Unmarshal(r.Value, &w)
	return w, errors.Wrap(err, "decode")
}

func (fakeDialect) WaveStatus(s sched.WaveStatus) (store.Record, error) {
	value, err := json.Marshal(s)
	return store.Record{Key: fakeStatus + strconv.FormatInt(s.Wave, 10), Value: value}, errors.Wrap(err, "encode")
}

// fakeFleet simulates all workers and counts the starts of each task.
type fakeFleet struct {
	mu        sync.Mutex
	token     map[string]uint64 // highest fencing token seen, by worker
	runs      map[string]map[sched.TaskID]fakeRun
	ended     map[string][]sched.EndedRun
	forgotten map[string]int64 // number up to which ended runs were acknowledged, by worker
	starts    map[sched.TaskID]int
	calls     map[string]int // start orders by entry
	spec      string         // of the last start
	startedAt time.Time
	now       func() time.Time
	stopped   map[sched.TaskID]int64 // highest run number that was stopped or ended, by task
	lossShare float64                // share of the orders that get no answer and are executed executeLate later
	random    *rand.Rand
	late      errgroup.Group
}

// executeLate is shorter than a worker's real delay, but longer than all copies of an order and than a task.
const executeLate = 800 * time.Millisecond

// lose reports whether an order is lost. If so, it executes the order later and waits until the sender gives up.
func (f *fakeFleet) lose(ctx context.Context, execute func()) bool {
	f.mu.Lock()
	lost := f.random.Float64() < f.lossShare
	f.mu.Unlock()
	if lost {
		f.executeLater(ctx, execute)
	}
	return lost
}

// executeLater executes a lost order after executeLate and waits until its sender gives up.
func (f *fakeFleet) executeLater(ctx context.Context, execute func()) {
	f.late.Go(func() error {
		time.Sleep(executeLate)
		execute()
		return nil
	})
	<-ctx.Done()
}

type fakeRun struct {
	number int64
	ends   time.Time
}

func newFleet(now func() time.Time) *fakeFleet {
	return &fakeFleet{
		token: make(map[string]uint64), runs: make(map[string]map[sched.TaskID]fakeRun), ended: make(map[string][]sched.EndedRun), forgotten: make(map[string]int64),
		starts: make(map[sched.TaskID]int), calls: make(map[string]int), startedAt: now(), now: now,
		stopped: make(map[sched.TaskID]int64), random: rand.New(rand.NewPCG(1, 0)),
	}
}

// advance checks the fencing token of an order to a worker, and ends the runs whose time is over. It reports whether the
// worker accepts the order.
func (f *fakeFleet) advance(w sched.Worker, token uint64) bool {
	if token < f.token[w.ID] {
		return false
	}
	f.token[w.ID] = token
	if f.runs[w.ID] == nil {
		f.runs[w.ID] = make(map[sched.TaskID]fakeRun)
	}
	for id, r := range f.runs[w.ID] {
		if f.now().After(r.ends) {
			f.end(w, sched.RunStatus{Task: id, Run: r.number}, sched.Done)
		}
	}
	return true
}

// end removes a run and lists it as ended.
func (f *fakeFleet) end(w sched.Worker, status sched.RunStatus, reason sched.EndReason) {
	delete(f.runs[w.ID], status.Task)
	f.stopped[status.Task] = max(f.stopped[status.Task], status.Run)
	n := int64(len(f.ended[w.ID]) + 1)
	f.ended[w.ID] = append(f.ended[w.ID], sched.EndedRun{Number: n, RunStatus: status, Reason: reason})
}

func (f *fakeFleet) Start(ctx context.Context, w sched.Worker, token uint64, o sched.Start) sched.Answer {
	if f.lose(ctx, func() { f.start(w, token, o) }) {
		return sched.Unanswered
	}
	return f.start(w, token, o)
}

func (f *fakeFleet) start(w sched.Worker, token uint64, o sched.Start) sched.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.advance(w, token) {
		return sched.StaleToken
	}
	if r, runs := f.runs[w.ID][o.Task]; runs && r.number == o.Run {
		return sched.Executed
	}
	if o.Run <= f.stopped[o.Task] {
		return sched.Superseded
	}
	f.runs[w.ID][o.Task] = fakeRun{o.Run, f.now().Add(taskTime)}
	f.starts[o.Task]++
	return sched.Executed
}

func (f *fakeFleet) Stop(ctx context.Context, w sched.Worker, token uint64, o sched.Stop) sched.Answer {
	if f.lose(ctx, func() { f.stop(w, token, o) }) {
		return sched.Unanswered
	}
	return f.stop(w, token, o)
}

func (f *fakeFleet) stop(w sched.Worker, token uint64, o sched.Stop) sched.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.advance(w, token) {
		return sched.StaleToken
	}
	f.stopped[o.Task] = max(f.stopped[o.Task], o.Run)
	if r, runs := f.runs[w.ID][o.Task]; runs {
		f.end(w, sched.RunStatus{Task: o.Task, Run: r.number}, sched.Stopped)
	}
	return sched.Executed
}

func (f *fakeFleet) Pace(context.Context, sched.Worker, uint64, sched.Pace) sched.Answer {
	return sched.Executed
}

func (f *fakeFleet) Poll(ctx context.Context, w sched.Worker, token uint64, o sched.Poll) sched.PollResult {
	if f.lose(ctx, func() {}) {
		return sched.PollResult{Answer: sched.Unanswered}
	}
	sleep(ctx, o.Wait/20)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.advance(w, token) {
		return sched.PollResult{Answer: sched.StaleToken}
	}
	s := sched.PollResult{Answer: sched.Executed, Clock: f.now().Sub(f.startedAt), StartedAt: f.startedAt}
	for id, r := range f.runs[w.ID] {
		s.Running = append(s.Running, sched.RunStatus{Task: id, Run: r.number, Percent: 50})
	}
	f.forgotten[w.ID] = max(f.forgotten[w.ID], o.Acknowledged)
	s.Acknowledged = o.Acknowledged
	for _, e := range f.ended[w.ID] {
		if e.Number > f.forgotten[w.ID] {
			s.Ended = append(s.Ended, e)
		}
	}
	return s
}

// count returns how often the tasks of a job were started.
func (f *fakeFleet) count(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id, starts := range f.starts {
		if id.Job == job {
			n += starts
		}
	}
	return n
}

// cluster is a set of entries that share a simulated platform and a fake fleet of workers.
type cluster struct {
	t        *testing.T
	platform *stand.Platform
	fleet    *fakeFleet
	nodes    []*Node
	stops    []context.CancelFunc
	group    errgroup.Group
}

// faultyBackend is the platform's store as seen by one entry, with faults that a test can switch on.
type faultyBackend struct {
	*stand.Platform
	mu          sync.Mutex
	down        bool
	writeDelay  time.Duration // writes take effect after this time, even when the caller has given up
	loseAnswers bool          // writes take effect, but their answers are lost
	renewDelay  time.Duration // answers to renewals take this long
	silent      bool          // calls get no answer and have no effect
	jobDelay    time.Duration // reads of job records take this long
	// lateBy returns how long after its call a write takes effect whose call gets no answer; zero for a write that is answered. Nil for none.
	lateBy func(store.Change) time.Duration
	late   sync.WaitGroup
	calls  func(key string) // called with each key that is read or put; nil for none
}

func (f *faultyBackend) setCalls(calls func(key string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = calls
}

func (f *faultyBackend) setLate(lateBy func(store.Change) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateBy = lateBy
}

// lateWritesOf makes the writes of a key take effect late and without an answer.
func lateWritesOf(key string, late time.Duration) func(store.Change) time.Duration {
	return func(c store.Change) time.Duration {
		if slices.ContainsFunc(c.Puts, func(r store.Record) bool { return strings.HasPrefix(r.Key, key) }) {
			return late
		}
		return 0
	}
}

func (f *faultyBackend) setJobDelay(jobDelay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobDelay = jobDelay
}

func (f *faultyBackend) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// awaitAnswer waits until ctx ends and fails while the store is silent.
func (f *faultyBackend) awaitAnswer(ctx context.Context) error {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return errors.Mark(ctx.Err(), store.ErrUnavailable)
}

func (f *faultyBackend) Get(ctx context.Context, key string) (store.Record, error) {
	if err := f.awaitAnswer(ctx); err != nil {
		return store.Record{}, err
	}
	f.mu.Lock()
	jobDelay := f.jobDelay
	if f.calls != nil {
		f.calls(key)
	}
	f.mu.Unlock()
	if strings.HasPrefix(key, keyJobs) {
		time.Sleep(jobDelay)
	}
	return f.Platform.Get(ctx, key)
}

func (f *faultyBackend) setRenewDelay(renewDelay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewDelay = renewDelay
}

func (f *faultyBackend) setWriteFaults(writeDelay time.Duration, loseAnswers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeDelay, f.loseAnswers = writeDelay, loseAnswers
}

func (f *faultyBackend) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *faultyBackend) unavailable() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errors.Mark(store.ErrNotApplied, store.ErrUnavailable)
	}
	return nil
}

func (f *faultyBackend) Commit(ctx context.Context, c store.Change) (uint64, []store.Record, error) {
	if err := f.awaitAnswer(ctx); err != nil {
		return 0, nil, err
	}
	if err := f.unavailable(); err != nil {
		return 0, nil, err
	}
	f.mu.Lock()
	writeDelay, loseAnswers, late := f.writeDelay, f.loseAnswers, time.Duration(0)
	if f.lateBy != nil {
		late = f.lateBy(c)
	}
	if f.calls != nil && len(c.Puts) > 0 {
		f.calls(c.Puts[0].Key)
	}
	f.mu.Unlock()
	if late > 0 {
		f.late.Go(func() {
			time.Sleep(late)
			_, _, _ = f.Platform.Commit(context.WithoutCancel(ctx), c) // nobody waits for the answer
		})
		<-ctx.Done()
		return 0, nil, errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	time.Sleep(writeDelay)
	revision, current, err := f.Platform.Commit(context.WithoutCancel(ctx), c)
	if loseAnswers && err == nil {
		return 0, nil, store.ErrUnavailable
	}
	return revision, current, err
}

func (f *faultyBackend) Renew(ctx context.Context, lease string) error {
	if err := f.unavailable(); err != nil {
		return err
	}
	f.mu.Lock()
	renewDelay := f.renewDelay
	f.mu.Unlock()
	err := f.Platform.Renew(context.WithoutCancel(ctx), lease)
	sleep(ctx, renewDelay)
	if ctx.Err() != nil {
		return errors.Mark(ctx.Err(), store.ErrUnavailable)
	}
	return err
}

func (f *faultyBackend) Range(ctx context.Context, prefix string) (store.Batch, error) {
	if err := f.awaitAnswer(ctx); err != nil {
		return store.Batch{}, err
	}
	if err := f.unavailable(); err != nil {
		return store.Batch{}, err
	}
	return f.Platform.Range(ctx, prefix)
}

func (f *faultyBackend) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Batch, error) {
	if err := f.awaitAnswer(ctx); err != nil {
		return store.Batch{}, err
	}
	if err := f.unavailable(); err != nil {
		return store.Batch{}, err
	}
	return f.Platform.WatchPrefix(ctx, prefix, after, wait)
}

// entryCores and entryLinkMbps are the processors and the link bandwidth of each entry of a new cluster; zero means unknown.
var entryCores, entryLinkMbps float64

// newCluster starts a cluster of size entries with three workers. If first is zero, the first entry owns the workers before
// the others start.
func newCluster(t *testing.T, size int, first int) (*cluster, []*faultyBackend) {
	t.Helper()
	return newClusterWithMachines(t, size, first, nil)
}

// newClusterWithMachines starts a cluster whose entries use the machine API.
func newClusterWithMachines(t *testing.T, size int, first int, machines Machines) (*cluster, []*faultyBackend) {
	t.Helper()
	now := SteadyClock()
	c := &cluster{t: t, platform: &stand.Platform{Seed: 1, Unlimited: true}, fleet: newFleet(now)}
	c.putFleet()
	var backends []*faultyBackend
	for i := range size {
		b := &faultyBackend{Platform: c.platform}
		backends = append(backends, b)
		name := "e" + string(rune('1'+i))
		n := New(Settings{
			Name: name, Cores: entryCores, LinkMbps: entryLinkMbps, Zone: "z", Deployment: "test", PeerAddress: freeAddress(t),
			Bounds: sched.Settings{HoldMost: 6 * time.Second, KeepEnded: time.Minute, ToleratedZones: 1, UpkeepTime: fakeUpkeepTime},
		}, Dependencies{Store: store.NewClient(b), Workers: countingWorkers{c.fleet, name}, Machines: machines, Dialect: fakeDialect{}, Now: now})
		c.nodes = append(c.nodes, n)
		ctx, cancel := context.WithCancel(t.Context())
		c.stops = append(c.stops, cancel)
		c.group.Go(func() error { return n.Run(ctx) })
		if i == 0 && first == 0 {
			c.await("the first entry owns", func() bool { return n.activeControl() != nil })
		}
	}
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
		must.NoError(t, c.group.Wait())
		must.NoError(t, c.fleet.late.Wait())
		for _, b := range backends {
			b.late.Wait()
		}
	})
	return c, backends
}

// putFleet writes the configuration and three workers.
func (c *cluster) putFleet() {
	config := Config{Config: sched.Config{
		Version: 1, Queues: map[string]sched.Queue{"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 1.6, Target: time.Second}},
		Pools: map[string]sched.Pool{"p": {Name: "p"}},
	}}
	c.put(fakeOperator+"config", config)
	for _, id := range []string{"w1", "w2", "w3"} {
		c.put(fakeWorkers+id, sched.Worker{ID: id, Pool: "p", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: sched.Size{Processors: 16000, MemoryMB: 32768}, StartedAt: c.fleet.startedAt})
	}
}

func (c *cluster) put(key string, value any) {
	encoded, err := json.Marshal(value)
	must.NoError(c.t, err)
	_, _, err = c.platform.Commit(c.t.Context(), store.Change{Puts: []store.Record{{Key: key, Value: encoded}}})
	must.NoError(c.t, err)
}

var lastAddress atomic.Uint32

// freeAddress returns a loopback address with a port that was free a moment ago. Each call returns another host of the process's own part of the
// loopback network, since clusters that run in parallel take each other's free ports.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(64 + pid%64), byte(pid / 64), byte(lastAddress.Add(1))})
	l, err := listen(t.Context(), netip.AddrPortFrom(host, 0))
	must.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	return address
}

const awaitTimeout = 12 * time.Second

// await waits until holds returns true, and fails the test after awaitTimeout.
func (c *cluster) await(what string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// job returns a job of count parallel tasks and a last task that runs after them.
func job(id string, count int) sched.Job {
	return sched.Job{ID: id, Queue: "q", Spec: "spec", Steps: []sched.Step{
		{Count: count, Size: sched.Size{Processors: 500, MemoryMB: 100}, Estimate: taskTime},
		{Count: 1, Size: sched.Size{Processors: 500, MemoryMB: 100}, Estimate: taskTime, After: []int{0}},
	}}
}

func (c *cluster) state(n *Node, id string) sched.JobState {
	return n.State(c.t.Context(), Caller{}, id).State
}

// accepted returns the number of jobs in the store.
func (c *cluster) accepted() int {
	n := 0
	for _, r := range c.platform.Records(keyJobs) {
		if !strings.HasPrefix(r.Key, keyCancel) {
			n++
		}
	}
	return n
}
