package node

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"daisysaddle/core/sched"
	"daisysaddle/io/store"
)

const (
	intakeInterval  = 250 * time.Millisecond // between watch calls; jobs that an entry stored without the owner are rare
	catchUpWait     = time.Millisecond       // the shortest wait that the store supports
	intakeReadDelay = 20 * time.Millisecond  // lets the owner first add jobs that it accepted itself and whose watch events came early
)

const (
	maxParallelReads = 256  // keeps most of the rate also when a call takes 40 times its usual 4 ms
	bulkReadShare    = 0.75 // of the client's calls; the others are for renewals, saves and cancellations, which must not wait
	bulkReadBurst    = 32   // reads that begin together
)

// readAll reads keys in parallel and returns their records in the same order; they are empty once the ownership has ended. It uses
// a part of the client's rate only, since calls beyond the rate queue up and would delay all later ones.
func (c *control) readAll(keys []string) []store.Record {
	records := make([]store.Record, len(keys))
	var group errgroup.Group
	group.SetLimit(maxParallelReads)
	limiter := rate.NewLimiter(rate.Limit(bulkReadShare*c.node.Store.Rate()), bulkReadBurst)
	for i, key := range keys {
		group.Go(func() error {
			_ = limiter.Wait(c.ctx) // the read fails if the ownership has ended
			records[i] = c.read(key)
			return nil
		})
	}
	_ = group.Wait() // the goroutines return no errors
	return records
}

// read reads a key, with retries until it succeeds or the ownership ends.
func (c *control) read(key string) store.Record {
	for c.ctx.Err() == nil {
		r, err := c.node.Store.Get(c.ctx, key, store.Critical)
		if err == nil {
			return r
		}
		sleep(c.ctx, retryDelay)
	}
	return store.Record{}
}

// loadJobs reads those jobs of the intake that have not ended and adds them to the state, then applies the cancellations. Jobs that
// have ended are added from their progress alone.
func (c *control) loadJobs(intake []store.Record, progressByID map[string]sched.Progress) error {
	now := c.node.Now()
	var ids []string
	for _, r := range intake {
		id := strings.TrimPrefix(r.Key, keyIntake)
		switch {
		case strings.HasPrefix(r.Key, keyCancel):
		case progressByID[id].State.Final():
			c.state.AddJob(now, sched.Job{ID: id}, progressByID[id], true)
		default:
			ids = append(ids, id)
		}
	}
	jobs := c.readAll(keysOf(keyJobs, ids))
	if err := context.Cause(c.ctx); err != nil {
		return errors.Wrap(err, "read jobs")
	}
	for i, id := range ids {
		c.addJob(c.node.Now(), id, jobs[i], progressByID[id])
	}
	c.applyIntake(c.node.Now(), intake)
	return nil
}

func keysOf(prefix string, ids []string) []string {
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = prefix + id
	}
	return keys
}

// applyIntake announces the jobs of the intake to the state and applies its cancellations. All jobs are announced first, because a
// cancellation may precede its job in the list. It needs no further reads, which would delay the cancellations.
func (c *control) applyIntake(now time.Time, intake []store.Record) {
	var cancels []store.Record
	for _, r := range intake {
		if strings.HasPrefix(r.Key, keyCancel) {
			cancels = append(cancels, r)
			continue
		}
		c.state.Announce(strings.TrimPrefix(r.Key, keyIntake))
	}
	for _, r := range cancels {
		c.applyCancel(now, r)
	}
}

// applyCancel applies a stored cancellation: one of a stored job, or a tombstone.
func (c *control) applyCancel(now time.Time, r store.Record) {
	id, caller, isTombstone, err := decodeTombstone(r)
	switch {
	case err != nil:
		c.node.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
	case isTombstone:
		c.state.CancelUnstored(now, id, caller)
	default:
		c.state.CancelStored(now, id)
	}
}

// addJob adds a job to the state from its stored record, or withdraws it if there is none. The job counts as inherited from an earlier owner: one that has not
// noticed its replacement may have started its tasks on a worker that this owner has not polled yet.
func (c *control) addJob(now time.Time, id string, record store.Record, progress sched.Progress) {
	if record.Revision == 0 {
		c.state.Withdraw(id)
		return
	}
	j, err := sched.DecodeJob(record.Value)
	if err != nil {
		c.node.log("RecordSkipped").Str("Key", record.Key).Err(err).Send()
		c.state.Withdraw(id)
		return
	}
	c.state.AddJob(now, j, progress, true)
}

// catchUp applies what was stored in the intake while the durable state was read, which takes seconds on a slow link: a job that
// was cancelled meanwhile must not start. It returns the revision from which followIntake continues.
func (c *control) catchUp(after uint64) uint64 {
	for c.ctx.Err() == nil {
		batch, err := c.node.Store.WatchPrefix(c.ctx, keyIntake, after, catchUpWait)
		if err != nil {
			sleep(c.ctx, retryDelay)
			continue
		}
		c.applyIntake(c.node.Now(), batch.Records)
		return max(after, batch.Revision)
	}
	return after
}

// followIntake applies jobs and cancellations that entries store without the owner. It watches only the ids of jobs, because
// the owner has accepted most jobs itself and their full records would fill a slow link.
func (c *control) followIntake(after uint64) {
	for c.ctx.Err() == nil {
		batch, err := c.node.Store.WatchPrefix(c.ctx, keyIntake, after, watchTimeout)
		if err == nil {
			after = max(after, batch.Revision)
			if len(batch.Records) > 0 {
				arrived := c.node.Now()
				sleep(c.ctx, intakeReadDelay)
				c.enqueue(func(now time.Time) {
					c.applyIntake(now, batch.Records)
					c.observeIntake(batch.Records, now.Sub(arrived))
				})
			}
		}
		sleep(c.ctx, intakeInterval)
	}
}

// readJobs reads announced jobs and adds them to the state. It reads one group of jobs at a time, so that the rate of its reads
// stays bounded.
func (c *control) readJobs(ids []string) {
	c.jobReads = append(c.jobReads, ids...)
	if c.readingJobs || len(c.jobReads) == 0 {
		return
	}
	ids, c.jobReads, c.readingJobs = c.jobReads, nil, true
	began := c.node.Now()
	c.group.Go(func() error {
		progress := c.readAll(keysOf(keyProgress, ids)) // first, because both are deleted together
		jobs := c.readAll(keysOf(keyJobs, ids))
		if c.ctx.Err() != nil {
			return nil
		}
		c.enqueue(func(now time.Time) {
			for i, id := range ids {
				c.addStoredJob(now, id, jobs[i], progress[i])
			}
			newest := slices.MaxFunc(jobs, func(a, b store.Record) int { return cmp.Compare(a.Revision, b.Revision) })
			c.node.logLimited("JobsRead").Int("Jobs", len(ids)).Str("Newest", strings.TrimPrefix(newest.Key, keyJobs)).Uint64("Revision", newest.Revision).Dur("Took", now.Sub(began)).Uint64("Fence", c.token).Send()
			c.readingJobs = false
			c.readJobs(nil) // those that were ordered meanwhile
		})
		return nil
	})
}

// addStoredJob adds a job to the state from its stored record and progress, which exists if a task of the job has ended.
func (c *control) addStoredJob(now time.Time, id string, job, progress store.Record) {
	var p sched.Progress
	if progress.Revision > 0 {
		var err error
		if p, err = sched.DecodeProgress(progress.Value); err != nil {
			c.node.log("RecordSkipped").Str("Key", progress.Key).Err(err).Send()
			c.state.Withdraw(id)
			return
		}
	}
	c.addJob(now, id, job, p)
}

// observeIntake records how long jobs and cancellations waited between their arrival here and their application.
func (c *control) observeIntake(applied []store.Record, delay time.Duration) {
	cancels := 0
	for _, r := range applied {
		kind := "Job"
		if strings.HasPrefix(r.Key, keyCancel) {
			kind = "Cancel"
			cancels++
		}
		c.node.metrics.intake.WithLabelValues(kind).Observe(delay.Seconds())
	}
	c.node.logLimited("IntakeApplied").Int("Jobs", len(applied)-cancels).Int("Cancels", cancels).Dur("Delay", delay).Uint64("Fence", c.token).Send()
}
