package stand

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"daisysaddle/io/store"
)

// Faults are the faults that a running Platform simulates.
type Faults struct {
	Down        bool          // all calls fail and watches deliver nothing
	PauseLeases bool          // leases do not expire while Down is set
	Delay       time.Duration // added to every call
	LoseAnswers float64       // probability that a write takes effect but returns store.ErrUnavailable
	SilentWatch bool          // watches deliver nothing until they time out
	ListLag     time.Duration // age of the list that List returns
}

type lease struct {
	duration time.Duration
	expires  time.Time
}

type listVersion struct {
	listedAt  time.Time
	instances []store.ListedInstance
}

// Platform is an in-memory stand-in for the platform's key-value store and list of instances; its zero value is ready to use.
type Platform struct {
	Seed      uint64
	Unlimited bool // do not enforce readRate and writeRate

	mu          sync.Mutex
	once        sync.Once
	random      *rand.Rand
	revision    uint64
	records     map[string]store.Record
	deleted     map[string]uint64 // revisions of deletions by key, until the next compaction
	leases      map[string]lease
	lastLeaseID int
	faults      Faults
	// faultsSince is when SetFaults was last called.
	faultsSince       time.Time
	listVersions      []listVersion
	readLimiter       *rate.Limiter
	writeLimiter      *rate.Limiter
	changed           chan struct{}
	compactedRevision uint64         // watches from an earlier revision get all records
	calls             map[string]int // number of calls by kind
}

const (
	readRate           = 2000 // calls per second, also the burst
	writeRate          = 500  // calls per second, also the burst
	maxTombstones      = 256  // deleted keys that are remembered for watches before a compaction
	watchPollInterval  = 25 * time.Millisecond
	maxListVersions    = 1024
	outageCallDuration = 5 * time.Millisecond // time until a call fails while the platform is down
)

func (p *Platform) init() {
	p.once.Do(func() {
		p.random = rand.New(rand.NewPCG(p.Seed, p.Seed+1))
		p.records = make(map[string]store.Record)
		p.deleted = make(map[string]uint64)
		p.leases = make(map[string]lease)
		p.calls = make(map[string]int)
		p.readLimiter = rate.NewLimiter(readRate, readRate)
		p.writeLimiter = rate.NewLimiter(writeRate, writeRate)
		p.changed = make(chan struct{})
	})
}

// SetFaults replaces the faults. Leases that PauseLeases has paused are extended by the time they were paused.
func (p *Platform) SetFaults(f Faults) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.faults.Down && p.faults.PauseLeases {
		for id, l := range p.leases {
			l.expires = l.expires.Add(now.Sub(p.faultsSince))
			p.leases[id] = l
		}
	}
	p.faults, p.faultsSince = f, now
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetInstances replaces the list of instances from the given time on; earlier versions remain for List with ListLag.
func (p *Platform) SetInstances(now time.Time, instances []store.ListedInstance) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listVersions = append(p.listVersions, listVersion{now, slices.Clone(instances)})
	if len(p.listVersions) > maxListVersions {
		p.listVersions = p.listVersions[1:]
	}
}

// SetInstance replaces or adds one instance in the list from the given time on.
func (p *Platform) SetInstance(now time.Time, instance store.ListedInstance) {
	p.init()
	p.mu.Lock()
	var instances []store.ListedInstance
	if len(p.listVersions) > 0 {
		instances = slices.Clone(p.listVersions[len(p.listVersions)-1].instances)
	}
	p.mu.Unlock()
	index := slices.IndexFunc(instances, func(l store.ListedInstance) bool { return l.Name == instance.Name })
	if index < 0 {
		instances = append(instances, instance)
	} else {
		instances[index] = instance
	}
	p.SetInstances(now, instances)
}

// Calls returns the number of calls so far by kind.
func (p *Platform) Calls() map[string]int {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// beginCall counts a call and applies the faults Down and Delay and the rate limit to it. It returns the faults in effect.
func (p *Platform) beginCall(ctx context.Context, kind string, limiter func() *rate.Limiter) (Faults, error) {
	p.init()
	p.mu.Lock()
	faults := p.faults
	p.calls[kind]++
	p.mu.Unlock()
	if faults.Down {
		sleep(ctx, outageCallDuration)
		return faults, store.ErrUnavailable
	}
	if faults.Delay > 0 && sleep(ctx, faults.Delay) != nil {
		return faults, store.ErrUnavailable
	}
	if !p.Unlimited && !limiter().Allow() {
		return faults, store.ErrRateLimited
	}
	return faults, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (p *Platform) readLimit() *rate.Limiter  { return p.readLimiter }
func (p *Platform) writeLimit() *rate.Limiter { return p.writeLimiter }

// finishWrite returns store.ErrUnavailable with the probability LoseAnswers, although the write took effect.
func (p *Platform) finishWrite(f Faults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.LoseAnswers > 0 && p.random.Float64() < f.LoseAnswers {
		return store.ErrUnavailable
	}
	return nil
}

// expireLeases removes expired leases and their keys; the caller holds the lock.
func (p *Platform) expireLeases(now time.Time) {
	if p.faults.Down && p.faults.PauseLeases {
		return
	}
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.removeLease(id)
		}
	}
}

func (p *Platform) removeLease(id string) {
	delete(p.leases, id)
	for key, r := range p.records {
		if r.Lease == id {
			p.removeKey(key)
		}
	}
}

func (p *Platform) removeKey(key string) {
	delete(p.records, key)
	p.revision++
	p.deleted[key] = p.revision
	if len(p.deleted) > maxTombstones {
		p.compact()
	}
	p.notify()
}

func (p *Platform) compact() {
	clear(p.deleted)
	p.compactedRevision = p.revision
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Get returns the record of a key; its revision is 0 when the key does not exist.
func (p *Platform) Get(ctx context.Context, key string) (store.Record, error) {
	if _, err := p.beginCall(ctx, "Get", p.readLimit); err != nil {
		return store.Record{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases(time.Now())
	r := p.records[key]
	r.Key = key
	return r, nil
}

// Swap writes a key if its revision is expect, 0 for a key that does not exist, and returns the record with its new revision.
// It returns store.ErrConflict for another revision, store.ErrNoLease for a lease that does not exist and store.ErrTooLarge for a
// value above store.MaxValueBytes.
func (p *Platform) Swap(ctx context.Context, next store.Record, expect uint64) (store.Record, error) {
	f, err := p.beginCall(ctx, "Swap", p.writeLimit)
	if err != nil {
		return store.Record{}, err
	}
	if len(next.Value) > store.MaxValueBytes {
		return store.Record{}, store.ErrTooLarge
	}
	written, err := p.swap(next, expect)
	if err != nil {
		return store.Record{}, err
	}
	return written, p.finishWrite(f)
}

func (p *Platform) swap(next store.Record, expect uint64) (store.Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases(time.Now())
	if p.records[next.Key].Revision != expect {
		return store.Record{}, store.ErrConflict
	}
	if _, found := p.leases[next.Lease]; next.Lease != "" && !found {
		return store.Record{}, store.ErrNoLease
	}
	p.revision++
	next.Revision = p.revision
	p.records[next.Key] = next
	delete(p.deleted, next.Key)
	p.notify()
	return next, nil
}

// Delete removes a key if its revision is expect; otherwise it returns store.ErrConflict.
func (p *Platform) Delete(ctx context.Context, key string, expect uint64) error {
	f, err := p.beginCall(ctx, "Delete", p.writeLimit)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if p.records[key].Revision != expect {
		p.mu.Unlock()
		return store.ErrConflict
	}
	p.removeKey(key)
	p.mu.Unlock()
	return p.finishWrite(f)
}

// Grant creates a lease that expires after duration unless it is renewed, and returns its id.
func (p *Platform) Grant(ctx context.Context, duration time.Duration) (string, error) {
	f, err := p.beginCall(ctx, "Grant", p.writeLimit)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	p.lastLeaseID++
	id := "L" + strconv.Itoa(p.lastLeaseID)
	p.leases[id] = lease{duration, time.Now().Add(duration)}
	p.mu.Unlock()
	return id, p.finishWrite(f)
}

// Renew restarts the duration of a lease; it returns store.ErrNoLease when the lease has expired.
func (p *Platform) Renew(ctx context.Context, id string) error {
	f, err := p.beginCall(ctx, "Renew", p.writeLimit)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.expireLeases(time.Now())
	l, found := p.leases[id]
	if found {
		l.expires = time.Now().Add(l.duration)
		p.leases[id] = l
	}
	p.mu.Unlock()
	if !found {
		return store.ErrNoLease
	}
	return p.finishWrite(f)
}

// Revoke ends a lease and removes its keys.
func (p *Platform) Revoke(ctx context.Context, id string) error {
	f, err := p.beginCall(ctx, "Revoke", p.writeLimit)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.removeLease(id)
	p.mu.Unlock()
	return p.finishWrite(f)
}

// Watch waits at most the given time for a change after the given revision; the batch is empty when there was none.
func (p *Platform) Watch(ctx context.Context, after uint64, wait time.Duration) (store.Batch, error) {
	if _, err := p.beginCall(ctx, "Watch", p.readLimit); err != nil {
		return store.Batch{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		batch, changed, ready := p.changesSince(after)
		if ready || time.Now().After(deadline) {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return store.Batch{}, store.ErrUnavailable
		case <-changed:
		case <-time.After(watchPollInterval):
		}
	}
}

// changesSince returns the changes after a revision, a channel that is closed at the next change, and whether watches may return
// the changes now.
func (p *Platform) changesSince(after uint64) (store.Batch, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases(time.Now())
	batch := store.Batch{Revision: after}
	if p.faults.SilentWatch || p.faults.Down {
		return batch, p.changed, false
	}
	batch.Revision = p.revision
	batch.Full = after < p.compactedRevision || after == 0
	for _, r := range p.records {
		if r.Revision > after || batch.Full {
			batch.Records = append(batch.Records, r)
		}
	}
	for key, revision := range p.deleted {
		if revision > after {
			batch.Deleted = append(batch.Deleted, key)
		}
	}
	return batch, p.changed, p.revision > after
}

// List returns the list of instances as it was ListLag ago, or the oldest list that is not empty when there was none then.
func (p *Platform) List(ctx context.Context) (store.Listing, error) {
	f, err := p.beginCall(ctx, "List", p.readLimit)
	if err != nil {
		return store.Listing{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := time.Now().Add(-f.ListLag)
	listing := store.Listing{At: asOf}
	for _, l := range p.listVersions {
		if !l.listedAt.After(asOf) || len(listing.Instances) == 0 {
			listing.Instances = l.instances
		}
	}
	return listing, nil
}

// Records returns the records whose keys begin with prefix. Faults and rate limits do not apply, and Calls does not count it.
func (p *Platform) Records(prefix string) []store.Record {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	var records []store.Record
	for key, r := range p.records {
		if strings.HasPrefix(key, prefix) {
			records = append(records, r)
		}
	}
	return records
}
