package node

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/sched"
	"daisysaddle/io/store"
)

const (
	workerRereadInterval   = 1200 * time.Millisecond // limits how long a stalled watch hides that a worker drains; well below 2 s
	slowLinkRereadInterval = 1800 * time.Millisecond // a list of 95 workers, read every 1.2 s, takes a quarter of a slow link
	workerWatchWait        = 500 * time.Millisecond  // of one watch call
	workerBatchDelay       = 100 * time.Millisecond  // changes are collected this long, since each worker writes a heartbeat every 1.5 s
)

// workerList holds the workers of the deployment, kept up to date from the changes of the workers' records.
type workerList struct {
	dialect     Dialect
	onSkipped   func(store.Record, error)
	workers     map[string]sched.Worker // by key
	undecodable map[string]uint64       // revisions of records that do not decode as a worker, by key
}

func newWorkerList(d Dialect, onSkipped func(store.Record, error)) *workerList {
	return &workerList{dialect: d, onSkipped: onSkipped, workers: make(map[string]sched.Worker), undecodable: make(map[string]uint64)}
}

// apply applies changes, or replaces the list when the batch is full, and returns the list.
func (l *workerList) apply(b store.Batch) []sched.Worker {
	if b.Full {
		clear(l.workers)
	}
	for _, key := range b.Deleted {
		delete(l.workers, key)
		delete(l.undecodable, key)
	}
	for _, r := range b.Records {
		w, err := l.dialect.Worker(r)
		if err == nil && len(keyRoster+w.ID) > store.MaxKeyBytes {
			err = errors.Newf("worker id of %d bytes: want at most %d", len(w.ID), store.MaxKeyBytes-len(keyRoster))
		}
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

// followWorkers keeps the worker list of the state up to date. It watches for changes between full reads, so that workers on
// machines added for a burst of load are used at once.
func (c *control) followWorkers(l *workerList) {
	prefix := c.node.Dialect.WorkersPrefix()
	reread := workerRereadInterval
	if c.node.slowLink() {
		reread = slowLinkRereadInterval
	}
	for c.ctx.Err() == nil {
		batch, err := c.node.Store.Range(c.ctx, prefix, store.Critical)
		if err != nil {
			sleep(c.ctx, retryDelay)
			continue
		}
		lastRead := c.node.Now()
		for c.ctx.Err() == nil {
			if len(batch.Records)+len(batch.Deleted) > 0 || batch.Full {
				list := l.apply(batch)
				c.enqueue(func(now time.Time) { c.state.SetWorkers(now, list) })
			}
			sleep(c.ctx, workerBatchDelay)
			if c.node.Now().Sub(lastRead) > reread {
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
