package node

import (
	"maps"
	"slices"
	"time"

	"daisysaddle/core/sched"
	"daisysaddle/io/store"
)

const (
	workerRereadInterval   = 1200 * time.Millisecond // a silent watch hides that a worker drains for at most this long, well inside 2 s
	slowLinkRereadInterval = 1800 * time.Millisecond // the same on a thin link, which 95 workers fill by a quarter with a list each 1.2 s
	workerWatchWait        = 500 * time.Millisecond  // of one watch
	workerBatchDelay       = 100 * time.Millisecond  // changes gather this long: each worker writes a heartbeat in 1.5 s
)

// roll is the list of workers, kept from the changes of their records.
type roll struct {
	dialect     Dialect
	onSkipped   func(store.Record, error)
	workers     map[string]sched.Worker // by key
	undecodable map[string]uint64       // revision of records that name no worker
}

func newRoll(d Dialect, onSkipped func(store.Record, error)) *roll {
	return &roll{dialect: d, onSkipped: onSkipped, workers: make(map[string]sched.Worker), undecodable: make(map[string]uint64)}
}

// take takes in changes, or all records when the batch is full, and returns the list.
func (l *roll) take(b store.Batch) []sched.Worker {
	if b.Full {
		clear(l.workers)
	}
	for _, key := range b.Deleted {
		delete(l.workers, key)
		delete(l.undecodable, key)
	}
	for _, r := range b.Records {
		w, err := l.dialect.Worker(r)
		if err == nil {
			l.workers[r.Key] = w
			continue
		}
		delete(l.workers, r.Key)
		if l.undecodable[r.Key] != r.Revision {
			l.undecodable[r.Key] = r.Revision
			l.onSkipped(r, err)
		}
	}
	return slices.Collect(maps.Values(l.workers))
}

// followWorkers keeps the list of workers: a new worker counts at once when machines follow a burst.
func (c *control) followWorkers(l *roll) {
	prefix := c.node.Dialect.WorkersPrefix()
	reread := workerRereadInterval
	if c.node.thin() {
		reread = slowLinkRereadInterval
	}
	for c.ctx.Err() == nil {
		batch, err := c.node.Store.Range(c.ctx, prefix, store.Safety)
		if err != nil {
			pause(c.ctx, retryPause)
			continue
		}
		read := c.node.Now()
		for c.ctx.Err() == nil {
			if len(batch.Records)+len(batch.Deleted) > 0 || batch.Full {
				list := l.take(batch)
				c.post(func(now time.Time) { c.state.SetWorkers(now, list) })
			}
			pause(c.ctx, workerBatchDelay)
			if c.node.Now().Sub(read) > reread {
				break
			}
			after := batch.Revision
			if batch, err = c.node.Store.WatchPrefix(c.ctx, prefix, after, workerWatchWait); err != nil {
				break
			}
			batch.Revision = max(batch.Revision, after)
		}
	}
}
