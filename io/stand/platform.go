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

// Faults are the platform faults that can be switched on while it runs.
type Faults struct {
	Down        bool
	PauseLeases bool // leases stand still while it is down
	Delay       time.Duration
	LoseAnswers float64 // probability that a write takes effect and its answer is lost
	SilentWatch bool    // watches wait and deliver nothing
	ListLag     time.Duration
}

type lease struct {
	duration time.Duration
	expires  time.Time
}

type listVersion struct {
	at        time.Time
	instances []store.Listed
}

// Platform is an in-memory stand-in for the platform; its zero value is ready to use.
type Platform struct {
	Seed      uint64
	Unlimited bool // the call rates are not enforced

	mu       sync.Mutex
	once     sync.Once
	random   *rand.Rand
	revision uint64
	records  map[string]store.Record
	deleted  map[string]uint64
	leases   map[string]lease
	leaseSeq int
	faults   Faults
	// faultsSince is when they came into force.
	faultsSince time.Time
	lists       []listVersion
	reads       *rate.Limiter
	writes      *rate.Limiter
	changed     chan struct{}
	compacted   uint64
	calls       map[string]int
}

const (
	readRate         = 2000 // per second
	writeRate        = 500  // per second
	maxTombstones    = 256
	watchPoll        = 25 * time.Millisecond
	maxListVersions  = 1024
	outageCallFailed = 5 * time.Millisecond
)

func (p *Platform) init() {
	p.once.Do(func() {
		p.random = rand.New(rand.NewPCG(p.Seed, p.Seed+1))
		p.records = make(map[string]store.Record)
		p.deleted = make(map[string]uint64)
		p.leases = make(map[string]lease)
		p.calls = make(map[string]int)
		p.reads = rate.NewLimiter(readRate, readRate)
		p.writes = rate.NewLimiter(writeRate, writeRate)
		p.changed = make(chan struct{})
	})
}

// SetFaults replaces the faults in force.
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

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(now time.Time, instances []store.Listed) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, listVersion{now, slices.Clone(instances)})
	if len(p.lists) > maxListVersions {
		p.lists = p.lists[1:]
	}
}

// SetLive changes one instance in the list, adding it when it is new.
func (p *Platform) SetLive(now time.Time, instance store.Listed) {
	p.init()
	p.mu.Lock()
	var instances []store.Listed
	if len(p.lists) > 0 {
		instances = slices.Clone(p.lists[len(p.lists)-1].instances)
	}
	p.mu.Unlock()
	at := slices.IndexFunc(instances, func(l store.Listed) bool { return l.Name == instance.Name })
	if at < 0 {
		instances = append(instances, instance)
	} else {
		instances[at] = instance
	}
	p.SetInstances(now, instances)
}

// Calls returns the number of calls of each kind so far.
func (p *Platform) Calls() map[string]int {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// enter applies outage, delay and rate to a call.
func (p *Platform) enter(ctx context.Context, kind string, limiter func() *rate.Limiter) (Faults, error) {
	p.init()
	p.mu.Lock()
	faults := p.faults
	p.calls[kind]++
	p.mu.Unlock()
	if faults.Down {
		sleep(ctx, outageCallFailed)
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

func (p *Platform) readLimit() *rate.Limiter  { return p.reads }
func (p *Platform) writeLimit() *rate.Limiter { return p.writes }

// leave loses the answer of a write that took effect, when that fault is on.
func (p *Platform) leave(f Faults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.LoseAnswers > 0 && p.random.Float64() < f.LoseAnswers {
		return store.ErrUnavailable
	}
	return nil
}

// expire deletes the keys of lapsed leases; the caller holds the lock.
func (p *Platform) expire(now time.Time) {
	if p.faults.Down && p.faults.PauseLeases {
		return
	}
	for id, l := range p.leases {
		if now.After(l.expires) {
			p.dropLease(id)
		}
	}
}

func (p *Platform) dropLease(id string) {
	delete(p.leases, id)
	for key, r := range p.records {
		if r.Lease == id {
			p.remove(key)
		}
	}
}

func (p *Platform) remove(key string) {
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
	p.compacted = p.revision
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Get reads one key.
func (p *Platform) Get(ctx context.Context, key string) (store.Record, error) {
	if _, err := p.enter(ctx, "Get", p.readLimit); err != nil {
		return store.Record{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	r := p.records[key]
	r.Key = key
	return r, nil
}

// Swap writes a key if its revision is expect.
func (p *Platform) Swap(ctx context.Context, next store.Record, expect uint64) (store.Record, error) {
	f, err := p.enter(ctx, "Swap", p.writeLimit)
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
	return written, p.leave(f)
}

func (p *Platform) swap(next store.Record, expect uint64) (store.Record, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	if p.records[next.Key].Revision != expect {
		return store.Record{}, store.ErrConflict
	}
	if _, held := p.leases[next.Lease]; next.Lease != "" && !held {
		return store.Record{}, store.ErrNoLease
	}
	p.revision++
	next.Revision = p.revision
	p.records[next.Key] = next
	delete(p.deleted, next.Key)
	p.notify()
	return next, nil
}

// Delete removes a key if its revision is expect.
func (p *Platform) Delete(ctx context.Context, key string, expect uint64) error {
	f, err := p.enter(ctx, "Delete", p.writeLimit)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if p.records[key].Revision != expect {
		p.mu.Unlock()
		return store.ErrConflict
	}
	p.remove(key)
	p.mu.Unlock()
	return p.leave(f)
}

// Grant makes a lease.
func (p *Platform) Grant(ctx context.Context, duration time.Duration) (string, error) {
	f, err := p.enter(ctx, "Grant", p.writeLimit)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	p.leaseSeq++
	id := "L" + strconv.Itoa(p.leaseSeq)
	p.leases[id] = lease{duration, time.Now().Add(duration)}
	p.mu.Unlock()
	return id, p.leave(f)
}

// Renew extends a lease.
func (p *Platform) Renew(ctx context.Context, id string) error {
	f, err := p.enter(ctx, "Renew", p.writeLimit)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.expire(time.Now())
	l, held := p.leases[id]
	if held {
		l.expires = time.Now().Add(l.duration)
		p.leases[id] = l
	}
	p.mu.Unlock()
	if !held {
		return store.ErrNoLease
	}
	return p.leave(f)
}

// Revoke ends a lease.
func (p *Platform) Revoke(ctx context.Context, id string) error {
	f, err := p.enter(ctx, "Revoke", p.writeLimit)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.dropLease(id)
	p.mu.Unlock()
	return p.leave(f)
}

// Watch waits for a change after the given revision.
func (p *Platform) Watch(ctx context.Context, after uint64, hold time.Duration) (store.Batch, error) {
	if _, err := p.enter(ctx, "Watch", p.readLimit); err != nil {
		return store.Batch{}, err
	}
	deadline := time.Now().Add(hold)
	for {
		batch, changed, ready := p.since(after)
		if ready || time.Now().After(deadline) {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return store.Batch{}, store.ErrUnavailable
		case <-changed:
		case <-time.After(watchPoll):
		}
	}
}

func (p *Platform) since(after uint64) (store.Batch, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	batch := store.Batch{Revision: after}
	if p.faults.SilentWatch || p.faults.Down {
		return batch, p.changed, false
	}
	batch.Revision = p.revision
	batch.Full = after < p.compacted || after == 0
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

// List returns the list of instances as it was ListLag ago.
func (p *Platform) List(ctx context.Context) (store.Listing, error) {
	f, err := p.enter(ctx, "List", p.readLimit)
	if err != nil {
		return store.Listing{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := time.Now().Add(-f.ListLag)
	listing := store.Listing{At: seen}
	for _, l := range p.lists {
		if !l.at.After(seen) || len(listing.Instances) == 0 {
			listing.Instances = l.instances
		}
	}
	return listing, nil
}

// Records returns the records whose keys begin with prefix, without a call.
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
