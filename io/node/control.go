package node

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/sched"
	"daisysaddle/io/store"
)

// control is the owner's control loop: one goroutine owns the state, and events are functions
// that it runs.
type control struct {
	node      *Node
	ctx       context.Context
	quit      context.CancelCauseFunc
	fence     uint64
	state     *sched.State
	carriers  *carriers
	events    chan func(now time.Time)
	saves     *store.Batcher
	saving    context.Context // outlives the ownership, so that saves under way can end; the guard keeps them safe
	group     errgroup.Group
	revisions map[string]uint64 // of the owner's records, by key
	admitted  map[string]admission
	listing   bool          // the list of machines is being read
	relist    bool          // and must be read once more
	ready     atomic.Bool   // all that is durable was read
	suspended atomic.Bool   // no orders are given until the platform confirms the ownership
	plans     int           // since the last report
	planning  time.Duration // spent on them
	reported  time.Time     // when the load was logged last
}

const (
	eventBacklog    = 4096
	forgetEvery     = 10 * time.Second
	reportEvery     = time.Second
	flushPatience   = 400 * time.Millisecond // an owner that stops lets its last saves end
	eventsAtOnce    = 512
	orderTimeout    = 600 * time.Millisecond // far beyond a sound worker's answer (2 ms), within a task's length
	machineTimeout  = 1500 * time.Millisecond
	thinListGap     = 700 * time.Millisecond // between lists of machines on a thin link, half of a move
	suspendedCheck  = 20 * time.Millisecond  // a suspended owner looks this often whether it may go on
	planGapLeast    = 2 * time.Millisecond   // events gather this long, so that plans stay cheap under load
	planGapMost     = 40 * time.Millisecond  // a twentieth of a short task
	planGapFactor   = 2                      // of the time that the last plan took: planning leaves two thirds to other work
	lookExtraWait   = 700 * time.Millisecond
	adviceExtraWait = time.Second
)

func (n *Node) newControl(ctx context.Context, o ownership) *control {
	c := &control{node: n, fence: o.revision, saving: ctx, events: make(chan func(time.Time), eventBacklog), revisions: make(map[string]uint64), admitted: make(map[string]admission)}
	c.ctx, c.quit = context.WithCancelCause(ctx)
	c.state = sched.New(n.Now(), o.revision, n.Bounds)
	c.carriers = newCarriers(c)
	c.saves = &store.Batcher{Client: n.Store, Guard: &store.Condition{Key: keyOwner, Revision: o.revision}, Gather: saveGather, Patience: savePatience}
	return c
}

// post hands an event to the control loop, unless the ownership has ended.
func (c *control) post(f func(now time.Time)) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// run loads what is durable and carries out plans until the ownership ends.
func (c *control) run() {
	n := c.node
	roll := newRoll(n.Dialect, func(r store.Record, err error) { n.log("RecordSkipped").Str("Key", r.Key).Err(err).Send() })
	intake, err := c.load(roll)
	if err != nil {
		c.quit(err)
		return
	}
	intake = c.catchUp(intake)
	n.control.Store(c)
	defer n.control.CompareAndSwap(c, nil)
	if config := n.config.Load(); config != nil {
		c.state.SetConfig(config.Config)
	}
	n.mu.Lock()
	for _, w := range n.waves {
		c.state.AddWave(n.Now(), w)
	}
	n.mu.Unlock()
	c.ready.Store(true)
	c.group.Go(func() error { c.followWorkers(roll); return nil })
	c.group.Go(func() error { c.followIntake(intake); return nil })
	c.group.Go(func() error { c.carriers.tick(); return nil })
	c.loop()
	c.flush()
	_ = c.group.Wait() // the goroutines return no errors
}

func (c *control) loop() {
	defer c.node.caught("Control", func() { c.quit(errPanicked) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	forgot := c.node.Now()
	c.reported = forgot
	gap := planGapLeast
	for c.ctx.Err() == nil {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.events:
			f(c.node.Now())
		case <-timer.C:
		}
		pause(c.ctx, gap)
		c.drain()
		if c.suspended.Load() {
			timer.Reset(suspendedCheck)
			continue
		}
		now := c.node.Now()
		orders := c.state.Plan(now)
		c.plans++
		c.planning += c.node.Now().Sub(now)
		if c.state.Deposed() {
			c.quit(errOutdated)
			return
		}
		c.dispatch(orders)
		gap = min(planGapMost, max(c.carriers.leastGap(), planGapFactor*c.node.Now().Sub(now)))
		timer.Reset(max(0, orders.Wake.Sub(now)))
		if now.Sub(c.reported) > reportEvery {
			c.report(now)
		}
		if now.Sub(forgot) > forgetEvery {
			forgot = now
			c.forget(now)
		}
	}
}

// drain runs the events that are there already.
func (c *control) drain() {
	for range eventsAtOnce {
		select {
		case f := <-c.events:
			f(c.node.Now())
		default:
			return
		}
	}
}

// flush lets saves end after the control loop has.
func (c *control) flush() {
	if !errors.Is(context.Cause(c.ctx), errStopping) {
		return
	}
	done := make(chan struct{})
	c.group.Go(func() error { c.saves.Wait(); close(done); return nil })
	select {
	case <-done:
	case <-time.After(flushPatience):
	}
}

// load reads all that is durable; the returned revision is where the intake goes on.
func (c *control) load(roll *roll) (uint64, error) {
	var names, progress, workers, waves, roster store.Batch
	read := func(prefix string, into *store.Batch) error {
		for {
			batch, err := c.node.Store.Range(c.ctx, prefix, store.Safety)
			if err == nil {
				*into = batch
				return nil
			}
			if c.ctx.Err() != nil {
				return errors.Wrapf(err, "read %s", prefix)
			}
			pause(c.ctx, retryPause)
		}
	}
	for _, r := range []struct {
		prefix string
		into   *store.Batch
	}{{keyIntake, &names}, {keyState, &progress}, {keyWaves, &waves}, {keyRoster, &roster}, {c.node.Dialect.WorkersPrefix(), &workers}} {
		if err := read(r.prefix, r.into); err != nil {
			return 0, err
		}
	}
	states := make(map[string]sched.Progress, len(progress.Records))
	for _, r := range progress.Records {
		id := strings.TrimPrefix(r.Key, keyState)
		c.revisions[r.Key] = r.Revision
		p, err := sched.DecodeProgress(r.Value)
		if err != nil {
			c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
			continue
		}
		states[id] = p
	}
	jobs, err := c.loadJobs(names.Records, states)
	if err != nil {
		return 0, err
	}
	now := c.node.Now()
	c.takeIntake(now, jobs, states)
	for _, r := range waves.Records {
		var s sched.WaveStatus
		if err := json.Unmarshal(r.Value, &s); err != nil {
			c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
			continue
		}
		c.revisions[r.Key] = r.Revision
		c.state.WaveWas(s)
	}
	c.state.SetWorkers(now, roll.take(workers))
	for _, r := range roster.Records {
		var known sched.Worker
		if err := json.Unmarshal(r.Value, &known); err != nil {
			c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
			continue
		}
		c.revisions[r.Key] = r.Revision
		c.state.RosterWas(now, known)
	}
	return names.Revision, nil
}

// forget deletes the records of jobs that ended long ago.
func (c *control) forget(now time.Time) {
	c.dropAdmissions(now)
	for _, id := range c.state.Forget(now) {
		delete(c.revisions, keyState+id)
		change := store.Change{Deletes: []string{keyState + id, keyJobs + id, keyIntake + id, keyCancel + id}}
		c.saves.Submit(c.saving, change, func(store.Settlement, error) {}) // what stays is deleted by a later owner
	}
}

// report logs the load of the owner and of each pool.
func (c *control) report(now time.Time) {
	c.node.log("Plans").Int("Count", c.plans).Dur("Took", c.planning).Dur("Past", now.Sub(c.reported)).Int("Backlog", len(c.events)).Uint64("Fence", c.fence).Send()
	c.plans, c.planning, c.reported = 0, 0, now
	for _, p := range c.state.Report(now) {
		c.node.log("Pool").Str("Pool", p.Pool).Int("Workers", p.Workers).Int("Usable", p.Usable).
			Int("Unknown", p.Unknown).Int("Cordoned", p.Cordoned).Int("Silent", p.Silent).
			Int("Processors", p.Capacity.Processors).Int("UsedProcessors", p.Used.Processors).
			Int("MemoryMB", p.Capacity.MemoryMB).Int("UsedMemoryMB", p.Used.MemoryMB).
			Int("Running", p.Running).Int("Waiting", p.Waiting).Int("Doubtful", p.Doubtful).Send()
	}
}
