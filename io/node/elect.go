package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"daisysaddle/io/store"
)

// Keys of the entries' records in the platform's key-value store.
const (
	keyOwner     = "daisysaddle/owner"
	keySecret    = "daisysaddle/secret"
	keyJobs      = "daisysaddle/jobs/"     // accepted jobs, written once
	keyIntake    = "daisysaddle/intake/"   // ids of accepted jobs, where the owner finds those that other entries accepted
	keyCancel    = "daisysaddle/intake/x/" // cancellations that an entry stored without the owner, by id, and tombstones below the ids
	keyProgress  = "daisysaddle/progress/" // progress of jobs, written by the owner only
	keyRoster    = "daisysaddle/roster/"   // workers on which runs may exist
	keyWaves     = "daisysaddle/waves/"    // progress of maintenance waves
	keyDurations = "daisysaddle/durations" // how long runs take compared with their estimates
	keyPools     = "daisysaddle/pools"     // pools in which queues may have runs
)

// ownership is the record of the entry that owns the workers.
type ownership struct {
	Name        string
	Incarnation string
	Claim       string // unique to this claim, so that the outcome of an unanswered write can be determined
	Peer        netip.AddrPort
	Cores       float64 // the most processors that this or an earlier owner had
	Thin        bool    `json:",omitempty"` // the owner has a slow link, so other entries store jobs themselves
	revision    uint64
}

const (
	ownerLease     = 1500 * time.Millisecond // a failed owner is replaced after this long; the store grants leases of at least 1 s
	renewInterval  = 400 * time.Millisecond
	renewTimeout   = ownerLease - leaseMargin // a later answer does not prove that the lease still holds
	suspendAfter   = 4 * time.Second          // an owner without a renewal for this long stops sending orders; core/sched relies on this bound
	leaseMargin    = 200 * time.Millisecond   // the owner takes its lease to end this much before the store does
	ownerWatchWait = 2 * time.Second
)

// Causes of the end or the suspension of an ownership.
var (
	errStopping       = errors.New("entry is stopping")
	errLeaseLost      = errors.New("ownership lease has expired")
	errReplaced       = errors.New("another entry owns the workers")
	errPlatformSilent = errors.New("platform has not answered a lease renewal in time")
	errStaleToken     = errors.New("worker or machine API has seen a higher fencing token")
)

// elect watches the ownership record and claims the ownership when there is no record.
func (n *Node) elect(ctx context.Context) {
	for ctx.Err() == nil {
		if n.stopping.Load() {
			<-ctx.Done()
			return
		}
		record, after, err := n.readOwner(ctx)
		switch {
		case err != nil:
			sleep(ctx, retryDelay)
		case record.Revision == 0:
			n.setOwner(nil)
			if n.deferToLarger(ctx, after) {
				continue
			}
			if err := n.claim(ctx); err != nil {
				n.log("ClaimFailed").Err(err).Send()
				sleep(ctx, retryDelay)
			}
		default:
			n.followOwner(ctx, record, after)
		}
	}
}

const (
	// maxClaimDelay is the limit of claimDelay as an entry's processor share approaches zero. It is well above the time of
	// a claim's two calls (8 ms) plus the delay of a watch, and small compared with the lease.
	maxClaimDelay = 300 * time.Millisecond
	wholeCore     = 1.0
)

// claimDelay returns how long an entry waits before it claims the ownership, so that entries with more processors claim
// first. All orders go through the owner, so a small owner's processor would delay all work. There is no delay for an entry
// with at least one core, with at least as many cores as the largest owner so far, or with an unknown number.
func claimDelay(cores, largest float64) time.Duration {
	if cores <= 0 || cores >= wholeCore || largest > 0 && cores >= largest {
		return 0
	}
	return time.Duration((wholeCore - cores) * float64(maxClaimDelay))
}

// deferToLarger waits while entries with more processors may claim the ownership. It reports whether the record must be read
// again, because it changed or could not be watched.
func (n *Node) deferToLarger(ctx context.Context, after uint64) bool {
	wait := claimDelay(n.Cores, n.largestOwnerCores)
	if wait == 0 {
		return false
	}
	batch, err := n.Store.WatchPrefix(ctx, keyOwner, after, wait)
	if err != nil {
		sleep(ctx, retryDelay)
		return true
	}
	return batch.Full || len(batch.Records) > 0
}

// followOwner waits until the ownership record changes, or deletes it when an earlier incarnation of this entry wrote it. The
// record was read at the store's revision after.
func (n *Node) followOwner(ctx context.Context, record store.Record, after uint64) {
	var o ownership
	if err := json.Unmarshal(record.Value, &o); err != nil {
		n.log("RecordSkipped").Str("Key", keyOwner).Err(err).Send()
	}
	o.revision = record.Revision
	n.largestOwnerCores = max(n.largestOwnerCores, o.Cores)
	n.setOwner(&o)
	if o.Name == n.Name && o.Incarnation != n.incarnation {
		n.deletePreviousRecord(ctx, record)
		return
	}
	for ctx.Err() == nil {
		batch, err := n.Store.WatchPrefix(ctx, keyOwner, after, ownerWatchWait)
		if err != nil {
			sleep(ctx, retryDelay)
			return
		}
		if batch.Full || len(batch.Deleted)+len(batch.Records) > 0 {
			return
		}
		after = max(after, batch.Revision)
	}
}

// deletePreviousRecord deletes the ownership record of an earlier incarnation of this entry. That process has surely ended;
// fencing tokens protect the workers from any of its orders that are still on their way.
func (n *Node) deletePreviousRecord(ctx context.Context, record store.Record) {
	commitCtx, cancel := context.WithTimeout(ctx, ownerLease)
	defer cancel()
	change := store.Change{Conditions: []store.Condition{{Key: keyOwner, Revision: record.Revision}}, Deletes: []string{keyOwner}}
	s, err := n.Store.Commit(commitCtx, change)
	n.log("EarlierLifeCleared").Uint64("Fence", record.Revision).Str("Outcome", string(s.Outcome)).AnErr("Cause", err).Send()
	if s.Outcome != store.Applied {
		sleep(ctx, retryDelay)
	}
}

// readOwner reads the ownership record and the store's revision, from which a watch can continue. A record of revision 0
// means that there is no owner.
func (n *Node) readOwner(ctx context.Context) (store.Record, uint64, error) {
	batch, err := n.Store.Range(ctx, keyOwner, store.Critical)
	if err != nil {
		return store.Record{}, 0, err
	}
	for _, r := range batch.Records {
		if r.Key == keyOwner {
			return r, batch.Revision, nil
		}
	}
	return store.Record{Key: keyOwner}, batch.Revision, nil
}

func (n *Node) setOwner(o *ownership) {
	old := n.owner.Swap(o)
	if o != nil && (old == nil || old.revision != o.revision) {
		n.log("OwnerKnown").Str("Owner", o.Name).Uint64("Fence", o.revision).Send()
	}
}

// claim tries to become the owner and, when it succeeds, returns once the ownership has ended.
func (n *Node) claim(ctx context.Context) error {
	grantedAt := n.Now()
	lease, err := n.Store.Grant(ctx, ownerLease)
	if err != nil {
		return err
	}
	o := ownership{Name: n.Name, Incarnation: n.incarnation, Claim: uuid.NewString(), Peer: n.PeerAddress, Cores: max(n.Cores, n.largestOwnerCores), Thin: n.slowLink()}
	value, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode ownership record")
	}
	change := store.Change{
		Conditions: []store.Condition{{Key: keyOwner}},
		Puts:       []store.Record{{Key: keyOwner, Value: value, Lease: lease}},
	}
	commitCtx, cancel := context.WithTimeout(ctx, ownerLease)
	defer cancel()
	s, err := n.Store.Commit(commitCtx, change)
	if s.Outcome != store.Applied {
		if errors.Is(err, store.ErrConflict) {
			return nil // another entry claimed first
		}
		return err
	}
	o.revision = s.Revision
	n.setOwner(&o)
	n.log("Owner").Uint64("Fence", o.revision).Send()
	reason := n.runOwnership(ctx, o, lease, grantedAt)
	n.log("OwnerEnds").Uint64("Fence", o.revision).AnErr("Reason", reason).Send()
	return nil
}

// runOwnership runs the control loop until the ownership ends and returns the cause. It revokes the lease if the entry stopped
// or the loop panicked, since the lease may then still be in force.
func (n *Node) runOwnership(ctx context.Context, o ownership, lease string, grantedAt time.Time) error {
	c := n.newControl(ctx, o)
	c.state.ConfirmOwnership(grantedAt.Add(ownerLease - leaseMargin))
	var group errgroup.Group
	group.Go(func() error { n.renewLease(c, lease, grantedAt); return nil })
	group.Go(func() error { n.watchOwnership(c, o); return nil })
	c.run()
	reason := context.Cause(c.ctx)
	_ = group.Wait() // the goroutines return no errors
	if errors.Is(reason, errStopping) || errors.Is(reason, errPanicked) || ctx.Err() != nil {
		n.revokeOwnership(context.WithoutCancel(ctx), lease)
	}
	return reason
}

const revokeTimeout = time.Second

// revokeOwnership revokes the lease, so that a successor need not wait for it to expire.
func (n *Node) revokeOwnership(ctx context.Context, lease string) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if err := n.Store.Revoke(ctx, lease); err != nil {
		n.log("HandoverFailed").Err(err).Send()
	}
}

// renewLease renews the ownership lease. It sends a renewal at each interval, even while earlier ones are unanswered, so that
// answers may take almost as long as the lease lasts and a slow path to the store does not end the ownership.
func (n *Node) renewLease(c *control, lease string, confirmed time.Time) {
	var lastConfirmed latestTime // sending time of the latest successful renewal
	lastConfirmed.advance(confirmed)
	var renewals errgroup.Group
	for c.ctx.Err() == nil {
		sleep(c.ctx, renewInterval)
		sent := n.Now()
		if sent.Sub(lastConfirmed.advance(time.Time{})) > suspendAfter {
			c.suspend()
		}
		renewals.Go(func() error {
			if n.renewOnce(c, lease, sent) {
				lastConfirmed.advance(sent)
			}
			return nil
		})
	}
	_ = renewals.Wait() // the goroutines return no errors
}

// renewOnce sends one renewal and reports whether it confirmed the ownership. A suspended owner resumes only if its record is
// still stored too.
func (n *Node) renewOnce(c *control, lease string, sent time.Time) bool {
	call, cancel := context.WithTimeout(c.ctx, renewTimeout)
	defer cancel()
	err := n.Store.Renew(call, lease)
	switch {
	case errors.Is(err, store.ErrNoLease):
		c.quit(errLeaseLost)
		return false
	case err != nil || n.Now().Sub(sent) > renewTimeout: // the process may have been paused
		return false
	case c.suspended.Load() && !n.stillOwns(c):
		return false
	}
	c.confirm(sent)
	c.resume()
	return true
}

// latestTime holds the latest of the times passed to advance; it is safe for concurrent use.
type latestTime struct {
	mu sync.Mutex
	at time.Time
}

// advance raises the held time to t if t is later, and returns the held time.
func (l *latestTime) advance(t time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.After(l.at) {
		l.at = t
	}
	return l.at
}

// stillOwns reports whether the store still holds the ownership record of a suspended owner.
func (n *Node) stillOwns(c *control) bool {
	record, _, err := n.readOwner(c.ctx)
	if err == nil && record.Revision != c.token {
		c.quit(errReplaced)
	}
	return err == nil && record.Revision == c.token
}

// suspend stops all orders of an owner that can't reach the platform. Another entry may replace it meanwhile. During an outage
// of the whole platform, however, leases do not expire, so no other entry has sent orders and the owner resumes afterwards.
func (c *control) suspend() {
	if !c.suspended.Swap(true) {
		c.node.log("OwnerSuspended").Uint64("Fence", c.token).Err(errPlatformSilent).Send()
	}
}

// resume lets a suspended owner send orders again once its lease and record are confirmed.
func (c *control) resume() {
	if c.suspended.Swap(false) {
		c.node.log("OwnerResumed").Uint64("Fence", c.token).Send()
	}
}

// confirm extends the lease in the state after a renewal that was sent at the given time.
func (c *control) confirm(sent time.Time) {
	c.enqueue(func(time.Time) { c.state.ConfirmOwnership(sent.Add(ownerLease - leaseMargin)) })
}

// watchOwnership ends the ownership when its record is replaced or deleted.
func (n *Node) watchOwnership(c *control, o ownership) {
	after := o.revision
	for c.ctx.Err() == nil {
		batch, err := n.Store.WatchPrefix(c.ctx, keyOwner, after, ownerWatchWait)
		if err != nil {
			sleep(c.ctx, retryDelay)
			continue
		}
		after = max(after, batch.Revision)
		if batch.Full || len(batch.Deleted)+len(batch.Records) > 0 {
			record, revision, err := n.readOwner(c.ctx)
			if err == nil && record.Revision != o.revision {
				c.quit(errReplaced)
			}
			after = max(after, revision)
		}
	}
}

// sharedSecret returns the secret that the deployment's entries share; the first entry creates it.
func (n *Node) sharedSecret(ctx context.Context) (string, error) {
	for ctx.Err() == nil {
		record, err := n.Store.Get(ctx, keySecret, store.Critical)
		if err == nil && record.Revision > 0 {
			return string(record.Value), nil
		}
		if err == nil {
			change := store.Change{
				Conditions: []store.Condition{{Key: keySecret}},
				Puts:       []store.Record{{Key: keySecret, Value: []byte(uuid.NewString() + uuid.NewString())}},
			}
			commitCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
			_, err = n.Store.Commit(commitCtx, change) // after a conflict the next read finds the other entry's secret
			cancel()
		}
		if err != nil && !errors.Is(err, store.ErrConflict) {
			sleep(ctx, retryDelay)
		}
	}
	return "", ctx.Err()
}
