package node

import (
	"context"
	"encoding/json"
	"slices"
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
	intakePause     = 250 * time.Millisecond // jobs that an entry stored without the owner are rare
	catchUpWait     = time.Millisecond       // the shortest wait that the store knows
	intakeSettle    = 20 * time.Millisecond  // the owner's own accept is answered at about the time of its event
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
	c.takeJobs(now, jobs, states, true)
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

// loadsAtOnce bounds the jobs that are read at once: 32 calls of 4 ms bring 8000 jobs a second.
const loadsAtOnce = 32

// loadJobs reads the named jobs that have not ended, and returns them and the cancels; of the others the state needs
// nothing but how they ended.
func (c *control) loadJobs(names []store.Record, states map[string]sched.Progress) ([]store.Record, error) {
	jobs := make([]store.Record, len(names))
	var group errgroup.Group
	group.SetLimit(loadsAtOnce)
	now := c.node.Now()
	for i, r := range names {
		id := strings.TrimPrefix(r.Key, keyIntake)
		switch {
		case strings.HasPrefix(r.Key, keyCancel):
			jobs[i] = r
		case states[id].State.Final():
			c.state.AddJob(now, sched.Job{ID: id}, states[id], true)
		default:
			group.Go(func() error {
				jobs[i], _ = c.read(keyJobs + id)
				return nil
			})
		}
	}
	_ = group.Wait() // the goroutines return no errors
	if err := context.Cause(c.ctx); err != nil {
		return nil, errors.Wrap(err, "read the jobs")
	}
	return slices.DeleteFunc(jobs, func(r store.Record) bool { return r.Revision == 0 }), nil
}

// takeJobs takes in accepted jobs and cancels; jobs come first, because a cancel may lie before its job.
func (c *control) takeJobs(now time.Time, records []store.Record, states map[string]sched.Progress, inherited bool) {
	var cancels []string
	for _, r := range records {
		if id, is := strings.CutPrefix(r.Key, keyCancel); is {
			cancels = append(cancels, id)
			continue
		}
		j, err := sched.DecodeJob(r.Value)
		if err != nil {
			c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
			continue
		}
		c.state.AddJob(now, j, states[j.ID], inherited)
	}
	for _, id := range cancels {
		c.state.Cancel(now, id)
	}
}

// takeIntake takes in jobs and cancels that others stored. An owner that has not noticed its replacement may
// have accepted such a job and started its tasks on a worker that this one has not looked at yet.
func (c *control) takeIntake(now time.Time, records []store.Record, states map[string]sched.Progress) {
	c.takeJobs(now, records, states, true)
}

// catchUp takes in what was stored while the rest was read, which takes seconds on a slow link: a job that was
// cancelled meanwhile must not begin.
func (c *control) catchUp(after uint64) uint64 {
	for c.ctx.Err() == nil {
		batch, err := c.node.Store.WatchPrefix(c.ctx, keyIntake, after, catchUpWait)
		if err == nil && batch.Full {
			batch, err = c.node.Store.Range(c.ctx, keyIntake, store.Safety)
		}
		if err != nil {
			pause(c.ctx, retryPause)
			continue
		}
		records, states := c.readIntake(c.unknown(batch.Records), batch.Records)
		c.takeIntake(c.node.Now(), records, states)
		return max(after, batch.Revision)
	}
	return after
}

// followIntake takes in what entries stored without the owner. It watches the names of jobs only: the owner has
// accepted most of them itself, and their records would fill a thin link.
func (c *control) followIntake(after uint64) {
	for c.ctx.Err() == nil {
		batch, err := c.node.Store.WatchPrefix(c.ctx, keyIntake, after, watchWait)
		if err == nil && batch.Full {
			batch, err = c.node.Store.Range(c.ctx, keyIntake, store.Safety)
		}
		if err == nil {
			after = max(after, batch.Revision)
			if len(batch.Records) > 0 {
				pause(c.ctx, intakeSettle)
				if records, states := c.readIntake(c.askUnknown(batch.Records), batch.Records); len(records) > 0 {
					c.post(func(now time.Time) { c.takeIntake(now, records, states) })
				}
			}
		}
		pause(c.ctx, intakePause)
	}
}

// unknown returns the named jobs that the state does not hold.
func (c *control) unknown(names []store.Record) []string {
	var ids []string
	for _, r := range names {
		id := strings.TrimPrefix(r.Key, keyIntake)
		if _, known := c.state.JobState(id); !known && !strings.HasPrefix(r.Key, keyCancel) {
			ids = append(ids, id)
		}
	}
	return ids
}

// askUnknown is unknown for other goroutines than the control loop's.
func (c *control) askUnknown(names []store.Record) []string {
	asked := make(chan []string, 1)
	c.post(func(time.Time) { asked <- c.unknown(names) })
	select {
	case ids := <-asked:
		return ids
	case <-c.ctx.Done():
		return nil
	}
}

// readIntake reads jobs with their progress, and returns them and all cancels among the names.
func (c *control) readIntake(ids []string, names []store.Record) ([]store.Record, map[string]sched.Progress) {
	jobs, progress := make([]store.Record, len(ids)), make([]store.Record, len(ids))
	var group errgroup.Group
	group.SetLimit(loadsAtOnce)
	for i, id := range ids {
		group.Go(func() error {
			jobs[i], _ = c.read(keyJobs + id)
			progress[i], _ = c.read(keyState + id)
			return nil
		})
	}
	_ = group.Wait() // the goroutines return no errors
	var found []store.Record
	states := make(map[string]sched.Progress)
	for i, id := range ids {
		if jobs[i].Revision == 0 {
			continue // the ownership has ended, or the job was forgotten meanwhile
		}
		if progress[i].Revision > 0 { // an end whose records were not deleted yet
			p, err := sched.DecodeProgress(progress[i].Value)
			if err != nil {
				c.node.log("RecordSkipped").Str("Key", progress[i].Key).Err(err).Send()
				continue
			}
			states[id] = p
		}
		found = append(found, jobs[i])
	}
	for _, r := range names {
		if strings.HasPrefix(r.Key, keyCancel) {
			found = append(found, r)
		}
	}
	return found, states
}

// read reads a key until that succeeds; false says that the ownership has ended.
func (c *control) read(key string) (store.Record, bool) {
	for c.ctx.Err() == nil {
		r, err := c.node.Store.Get(c.ctx, key, store.Safety)
		if err == nil {
			return r, true
		}
		pause(c.ctx, retryPause)
	}
	return store.Record{}, false
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
