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

// control is the owner's control loop. One goroutine, the control goroutine, owns the scheduling state; events are
// functions that it runs.
type control struct {
	node          *Node
	ctx           context.Context
	quit          context.CancelCauseFunc // ends the ownership for a reason
	token         uint64                  // fencing token of the owner's orders
	state         *sched.State
	carriers      *carriers
	events        chan func(now time.Time)
	saveBatcher   *store.Batcher
	saveContext   context.Context // outlives the ownership, so that pending writes can end; the batcher's guard rejects them under a later owner
	group         errgroup.Group
	revisions     map[string]uint64    // of the records that the owner writes, by key
	admitted      map[string]admission // jobs that other entries may be storing, by id
	promisedBytes int64                // memory of jobs that are admitted and not known yet
	refused       map[string]uint64    // jobs refused by this owner, by client account
	jobReads      []string             // ids of announced jobs to be read next
	readingJobs   bool                 // announced jobs are being read
	listing       bool                 // a request for the list of machines is in progress
	listAgain     bool                 // another one must follow it
	machineFaults map[string]string    // by name, the faults of machines in the last list
	ready         atomic.Bool          // the stored state has been loaded
	suspended     atomic.Bool          // no orders are sent until the store confirms the ownership
	planCount     int                  // plans made since lastReport
	machineCalls  int                  // calls to the machine API since lastReport: pages of its list, and orders
	planTime      time.Duration        // spent on these plans
	lastReport    time.Time            // when the load was last logged
}

const (
	eventQueueLength     = 4096
	forgetPeriod         = 10 * time.Second
	reportPeriod         = time.Second
	flushTimeout         = 400 * time.Millisecond // for the last writes of an owner that stops
	eventsPerDrain       = 512
	orderTimeout         = 600 * time.Millisecond // far above a healthy worker's response time (2 ms), below the duration of a task
	machineTimeout       = 1500 * time.Millisecond
	slowLinkListDelay    = 700 * time.Millisecond // before each list of machines on a slow link; half the duration of a machine move
	suspendedCheckPeriod = 20 * time.Millisecond  // a suspended owner checks this often whether it may continue
	minPlanGap           = 2 * time.Millisecond   // batches events, so that planning stays cheap under load
	maxPlanGap           = 40 * time.Millisecond  // a twentieth of the duration of a short task
	planGapFactor        = 2                      // times the duration of the last plan, which leaves two thirds of the time to other work
	pollTimeoutMargin    = 700 * time.Millisecond
)

func (n *Node) newControl(ctx context.Context, o ownership) *control {
	c := &control{node: n, token: o.revision, saveContext: ctx, events: make(chan func(time.Time), eventQueueLength), revisions: make(map[string]uint64), admitted: make(map[string]admission), refused: make(map[string]uint64)}
	c.ctx, c.quit = context.WithCancelCause(ctx)
	c.state = sched.New(n.Now(), o.revision, n.Bounds)
	c.carriers = newCarriers(c)
	c.saveBatcher = &store.Batcher{Client: n.Store, Guard: &store.Condition{Key: keyOwner, Revision: o.revision}, MinInterval: saveBatchDelay, RetryTimeout: saveTimeout}
	return c
}

// enqueue queues an event for the control goroutine, unless the ownership has ended.
func (c *control) enqueue(f func(now time.Time)) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// run loads the stored state, then plans and sends orders until the ownership ends.
func (c *control) run() {
	n := c.node
	list := newWorkerList(n.Dialect, func(r store.Record, err error) { n.log("RecordSkipped").Str("Key", r.Key).Err(err).Send() })
	began := n.Now()
	intakeRevision, err := c.load(list)
	if err != nil {
		c.quit(err)
		return
	}
	intakeRevision = c.catchUp(intakeRevision)
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
	n.log("OwnerReady").Dur("Took", n.Now().Sub(began)).Uint64("Fence", c.token).Send()
	c.group.Go(func() error { c.followWorkers(list); return nil })
	c.group.Go(func() error { c.followIntake(intakeRevision); return nil })
	c.group.Go(func() error { c.carriers.refreshPeriodically(); return nil })
	c.loop()
	c.flushSaves()
	_ = c.group.Wait() // the goroutines return no errors
}

// loop runs events, plans and sends orders. The wait between two plans is proportional to the duration of the last one.
func (c *control) loop() {
	defer c.node.recoverPanic("Control", func() { c.quit(errPanicked) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastForget := c.node.Now()
	c.lastReport = lastForget
	gap := minPlanGap
	for c.ctx.Err() == nil {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.events:
			f(c.node.Now())
		case <-timer.C:
		}
		sleep(c.ctx, gap)
		c.runQueuedEvents()
		if c.suspended.Load() {
			timer.Reset(suspendedCheckPeriod)
			continue
		}
		now := c.node.Now()
		orders := c.state.Plan(now)
		c.planCount++
		c.planTime += c.node.Now().Sub(now)
		if c.state.FencedOff() {
			c.quit(errStaleToken)
			return
		}
		c.dispatch(orders)
		gap = min(maxPlanGap, max(c.carriers.minGap(), planGapFactor*c.node.Now().Sub(now)))
		timer.Reset(max(0, orders.Wake.Sub(now)))
		if now.Sub(c.lastReport) > reportPeriod {
			c.logLoad(now)
		}
		if now.Sub(lastForget) > forgetPeriod {
			lastForget = now
			c.forget(now)
		}
	}
}

// runQueuedEvents runs the events that are already queued, up to eventsPerDrain.
func (c *control) runQueuedEvents() {
	for range eventsPerDrain {
		select {
		case f := <-c.events:
			f(c.node.Now())
		default:
			return
		}
	}
}

// flushSaves waits up to flushTimeout for pending writes when the entry stops.
func (c *control) flushSaves() {
	if !errors.Is(context.Cause(c.ctx), errStopping) {
		return
	}
	done := make(chan struct{})
	c.group.Go(func() error { c.saveBatcher.Wait(); close(done); return nil })
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

// load restores the state from the store. It returns the revision from which the intake must be watched.
func (c *control) load(list *workerList) (uint64, error) {
	prefixes := []string{keyIntake, keyProgress, keyWaves, keyRoster, c.node.Dialect.WorkersPrefix(), keyPools, keyDurations}
	lists := make([]store.Batch, len(prefixes))
	var group errgroup.Group
	for i, prefix := range prefixes {
		group.Go(func() (err error) {
			lists[i], err = c.readList(prefix)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	intake, progress, waves, roster, workers, pools := lists[0], lists[1], lists[2], lists[3], lists[4], lists[5]
	c.loadQueuePools(pools.Records)
	c.loadDurations(lists[6].Records)
	states := make(map[string]sched.Progress, len(progress.Records))
	for _, r := range progress.Records {
		id := strings.TrimPrefix(r.Key, keyProgress)
		c.revisions[r.Key] = r.Revision
		p, err := sched.DecodeProgress(r.Value)
		if err != nil {
			c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
			continue
		}
		states[id] = p
	}
	if err := c.loadJobs(intake.Records, states); err != nil {
		return 0, err
	}
	now := c.node.Now()
	for _, r := range waves.Records {
		var s sched.WaveStatus
		if err := json.Unmarshal(r.Value, &s); err != nil {
			c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
			continue
		}
		c.revisions[r.Key] = r.Revision
		c.state.RestoreWave(s)
	}
	c.state.SetWorkers(now, list.apply(workers))
	for _, r := range roster.Records {
		var known sched.Worker
		err := json.Unmarshal(r.Value, &known)
		if err == nil {
			err = known.Check()
		}
		if err != nil {
			c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
			continue
		}
		c.revisions[r.Key] = r.Revision
		c.state.RestoreRosterWorker(now, known)
	}
	return intake.Revision, nil
}

// loadQueuePools restores the record of the pools in which queues may have runs. Without it they may have runs in any pool.
func (c *control) loadQueuePools(records []store.Record) {
	for _, r := range records {
		if r.Key != keyPools {
			continue
		}
		c.revisions[r.Key] = r.Revision
		var stored sched.QueuePools
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
			continue
		}
		c.state.RestoreQueuePools(stored)
	}
}

// loadDurations restores the record of how long runs take. A record that can't be used costs only accuracy.
func (c *control) loadDurations(records []store.Record) {
	for _, r := range records {
		if r.Key != keyDurations {
			continue
		}
		c.revisions[r.Key] = r.Revision
		var stored sched.Durations
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
			continue
		}
		c.state.RestoreDurations(stored)
	}
}

// readList reads all keys with a prefix, with retries until it succeeds or the ownership ends.
func (c *control) readList(prefix string) (store.Batch, error) {
	for {
		batch, err := c.node.Store.Range(c.ctx, prefix, store.Critical)
		if err == nil {
			return batch, nil
		}
		if c.ctx.Err() != nil {
			return store.Batch{}, errors.Wrapf(err, "read %s", prefix)
		}
		sleep(c.ctx, retryDelay)
	}
}

// forget deletes the records of jobs whose retention period after their end is over, and expires admissions.
func (c *control) forget(now time.Time) {
	c.expireAdmissions(now)
	for _, id := range c.state.Forget(now) {
		delete(c.revisions, keyProgress+id)
		c.carriers.forget(id)
		change := store.Change{Deletes: []string{keyProgress + id, keyJobs + id, keyIntake + id, keyCancel + id}}
		c.saveBatcher.Submit(c.saveContext, change, func(store.CommitResult, error) {}) // after a failure a later owner deletes the records
	}
}

// logLoad logs the load of the owner and of each pool, and resets the counts of plans.
func (c *control) logLoad(now time.Time) {
	c.node.log("Plans").Int("Count", c.planCount).Dur("Took", c.planTime).Dur("Past", now.Sub(c.lastReport)).Int("Backlog", len(c.events)).Int("MachineCalls", c.machineCalls).Uint64("Fence", c.token).Send()
	c.planCount, c.machineCalls, c.planTime, c.lastReport = 0, 0, 0, now
	for _, p := range c.state.Report(now) {
		c.node.log("Pool").Str("Pool", p.Pool).Int("Workers", p.Workers).Int("Usable", p.Usable).
			Int("Unknown", p.Unknown).Int("Cordoned", p.Cordoned).Int("Silent", p.Silent).
			Int("Processors", p.Capacity.Processors).Int("UsedProcessors", p.Used.Processors).
			Int("MemoryMB", p.Capacity.MemoryMB).Int("UsedMemoryMB", p.Used.MemoryMB).
			Int("Running", p.Running).Int("Waiting", p.Waiting).Int("Doubtful", p.Unconfirmed).
			Int("Machines", p.Machines).Int("Need", p.Need).Int("Share", p.Share).Send()
	}
}
