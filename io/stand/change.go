package stand

import (
	"context"
	"strings"
	"time"

	"daisysaddle/io/store"
)

// Commit applies a change atomically if the key of every condition has the expected revision, and returns the new store revision.
// Otherwise it returns store.ErrConflict with the current records of those keys. It returns store.ErrNoLease when a put names a
// lease that does not exist, and store.ErrInvalid for a key that is too long.
func (p *Platform) Commit(ctx context.Context, c store.Change) (uint64, []store.Record, error) {
	f, err := p.beginCall(ctx, "Commit", p.writeLimit)
	if err != nil {
		return 0, nil, err
	}
	revision, current, err := p.commit(c)
	if err != nil {
		return 0, current, err
	}
	return revision, nil, p.finishWrite(f)
}

func (p *Platform) commit(c store.Change) (uint64, []store.Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases(time.Now())
	var current []store.Record
	satisfied := true
	for _, condition := range c.Conditions {
		r := p.records[condition.Key]
		r.Key = condition.Key
		current = append(current, r)
		satisfied = satisfied && r.Revision == condition.Revision
	}
	if !satisfied {
		return 0, current, store.ErrConflict
	}
	for _, put := range c.Puts {
		if len(put.Key) > store.MaxKeyBytes {
			return 0, nil, store.ErrInvalid
		}
		if _, found := p.leases[put.Lease]; put.Lease != "" && !found {
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
			p.removeKey(key)
		}
	}
	p.notify()
	return p.revision, nil, nil
}

// Range returns all records whose keys begin with prefix, and the store revision.
func (p *Platform) Range(ctx context.Context, prefix string) (store.Batch, error) {
	if _, err := p.beginCall(ctx, "Range", p.readLimit); err != nil {
		return store.Batch{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases(time.Now())
	batch := store.Batch{Revision: p.revision, Full: true}
	for key, r := range p.records {
		if strings.HasPrefix(key, prefix) {
			batch.Records = append(batch.Records, r)
		}
	}
	return batch, nil
}

// WatchPrefix waits at most the given time for a change, after the given revision, of a key that begins with prefix.
// The batch is empty when there was none.
func (p *Platform) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Batch, error) {
	deadline := time.Now().Add(wait)
	for {
		batch, err := p.Watch(ctx, after, time.Until(deadline))
		if err != nil {
			return batch, err
		}
		matching := store.Batch{Revision: batch.Revision, Full: batch.Full}
		for _, r := range batch.Records {
			if strings.HasPrefix(r.Key, prefix) {
				matching.Records = append(matching.Records, r)
			}
		}
		for _, key := range batch.Deleted {
			if strings.HasPrefix(key, prefix) {
				matching.Deleted = append(matching.Deleted, key)
			}
		}
		if len(matching.Records)+len(matching.Deleted) > 0 || !time.Now().Before(deadline) {
			return matching, nil
		}
		after = batch.Revision
	}
}
