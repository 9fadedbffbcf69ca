package stand

import (
	"context"
	"strings"
	"time"

	"daisysaddle/io/store"
)

// Commit applies a change if all its conditions hold.
func (p *Platform) Commit(ctx context.Context, c store.Change) (uint64, []store.Record, error) {
	f, err := p.enter(ctx, "Commit", p.writeLimit)
	if err != nil {
		return 0, nil, err
	}
	revision, current, err := p.commit(c)
	if err != nil {
		return 0, current, err
	}
	return revision, nil, p.leave(f)
}

func (p *Platform) commit(c store.Change) (uint64, []store.Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	var current []store.Record
	holds := true
	for _, condition := range c.Conditions {
		r := p.records[condition.Key]
		r.Key = condition.Key
		current = append(current, r)
		holds = holds && r.Revision == condition.Revision
	}
	if !holds {
		return 0, current, store.ErrConflict
	}
	for _, put := range c.Puts {
		if _, held := p.leases[put.Lease]; put.Lease != "" && !held {
			return 0, nil, store.ErrNoLease
		}
	}
	p.revision++
	for _, put := range c.Puts {
		put.Revision = p.revision
		p.records[put.Key] = put
		delete(p.deleted, put.Key)
	}
	for _, key := range c.Deletes {
		if _, exists := p.records[key]; exists {
			p.remove(key)
		}
	}
	p.notify()
	return p.revision, nil, nil
}

// Range returns all records whose keys begin with prefix.
func (p *Platform) Range(ctx context.Context, prefix string) (store.Batch, error) {
	if _, err := p.enter(ctx, "Range", p.readLimit); err != nil {
		return store.Batch{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	batch := store.Batch{Revision: p.revision, Full: true}
	for key, r := range p.records {
		if strings.HasPrefix(key, prefix) {
			batch.Records = append(batch.Records, r)
		}
	}
	return batch, nil
}

// WatchPrefix waits for a change of a key that begins with prefix.
func (p *Platform) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Batch, error) {
	deadline := time.Now().Add(wait)
	for {
		batch, err := p.Watch(ctx, after, time.Until(deadline))
		if err != nil {
			return batch, err
		}
		kept := store.Batch{Revision: batch.Revision, Full: batch.Full}
		for _, r := range batch.Records {
			if strings.HasPrefix(r.Key, prefix) {
				kept.Records = append(kept.Records, r)
			}
		}
		for _, key := range batch.Deleted {
			if strings.HasPrefix(key, prefix) {
				kept.Deleted = append(kept.Deleted, key)
			}
		}
		if len(kept.Records)+len(kept.Deleted) > 0 || !time.Now().Before(deadline) {
			return kept, nil
		}
		after = batch.Revision
	}
}
