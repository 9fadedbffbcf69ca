package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/sched"
	"daisysaddle/io/store"
)

const (
	intakePause  = 250 * time.Millisecond // jobs that an entry stored without the owner are rare
	catchUpWait  = time.Millisecond       // the shortest wait that the store knows
	intakeSettle = 20 * time.Millisecond  // the owner's own accept is answered at about the time of its event
)

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
