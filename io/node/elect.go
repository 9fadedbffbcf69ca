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

// Keys of the entries in the platform's store.
const (
	keyOwner  = "daisysaddle/owner"
	keySecret = "daisysaddle/secret"
	keyJobs   = "daisysaddle/jobs/"     // accepted jobs, written once
	keyIntake = "daisysaddle/intake/"   // names of accepted jobs, for the owner to find those that it did not accept itself
	keyCancel = "daisysaddle/intake/x/" // cancels that an entry stored without the owner
	keyState  = "daisysaddle/progress/" // written by the owner only
	keyRoster = "daisysaddle/roster/"   // workers on which runs may be
	keyWaves  = "daisysaddle/waves/"    // progress of maintenance waves
)

// ownership is the record of the entry that owns the workers.
type ownership struct {
	Name        string
	Incarnation string
	Claim       string // unique to the claim, so that a lost answer can be settled
	Peer        netip.AddrPort
	Cores       float64 // the most that this or an earlier owner had
	Thin        bool    `json:",omitempty"` // its network link is slow, so that entries keep jobs from it
	revision    uint64
}

const (
	ownerLease     = 1500 * time.Millisecond // a dead owner is replaced after this long; the store grants 1 s and more
	renewInterval  = 400 * time.Millisecond
	renewTimeout   = ownerLease - leaseMargin // an answer that takes longer confirms nothing
	suspendAfter   = 4 * time.Second          // an owner that can't reach the platform stops its orders; core/sched relies on it
	leaseMargin    = 200 * time.Millisecond   // between the end of a lease here and at the store
	ownerWatchWait = 2 * time.Second
)

// Reasons why an ownership ended.
var (
	errStopping       = errors.New("the entry stops")
	errLeaseLost      = errors.New("the lease of the ownership has ended")
	errReplaced       = errors.New("another entry owns the workers")
	errPlatformSilent = errors.New("the platform did not answer for too long")
	errOutdated       = errors.New("a worker has seen a higher fencing token")
)

// elect follows the ownership record and claims it when there is none.
func (n *Node) elect(ctx context.Context) {
	for ctx.Err() == nil {
		if n.stopping.Load() {
			<-ctx.Done()
			return
		}
		record, after, err := n.readOwner(ctx)
		switch {
		case err != nil:
			pause(ctx, retryPause)
		case record.Revision == 0:
			n.setOwner(nil)
			if n.deferToLarger(ctx, after) {
				continue
			}
			if err := n.claim(ctx); err != nil {
				n.log("ClaimFailed").Err(err).Send()
				pause(ctx, retryPause)
			}
		default:
			n.followOwner(ctx, record, after)
		}
	}
}

const (
	// maxClaimDelay is how long an entry without a processor would leave the claim to others; it is well above
	// a claim's two calls (8 ms) and the delay of a watch, and small against the lease.
	maxClaimDelay = 300 * time.Millisecond
	wholeCore     = 1.0
)

// claimDelay returns how long an entry leaves a claim to larger ones: an owner orders everything, so on a small
// entry all would wait for its processor. An entry as large as any owner before need not wait.
func claimDelay(cores, largest float64) time.Duration {
	if cores <= 0 || cores >= wholeCore || largest > 0 && cores >= largest {
		return 0
	}
	return time.Duration((wholeCore - cores) * float64(maxClaimDelay))
}

// deferToLarger waits for larger entries to claim, and reports whether the record changed meanwhile.
func (n *Node) deferToLarger(ctx context.Context, after uint64) bool {
	wait := claimDelay(n.Cores, n.largest)
	if wait == 0 {
		return false
	}
	batch, err := n.Store.WatchPrefix(ctx, keyOwner, after, wait)
	if err != nil {
		pause(ctx, retryPause)
		return true
	}
	return batch.Full || len(batch.Records) > 0
}

// followOwner waits until the ownership record changes; after is the store's revision when it was read.
func (n *Node) followOwner(ctx context.Context, record store.Record, after uint64) {
	var o ownership
	if err := json.Unmarshal(record.Value, &o); err != nil {
		n.log("RecordSkipped").Str("Key", keyOwner).Err(err).Send()
	}
	o.revision = record.Revision
	n.largest = max(n.largest, o.Cores)
	n.setOwner(&o)
	if o.Name == n.Name && o.Incarnation != n.incarnation {
		n.deletePreviousRecord(ctx, record)
		return
	}
	for ctx.Err() == nil {
		batch, err := n.Store.WatchPrefix(ctx, keyOwner, after, ownerWatchWait)
		if err != nil {
			pause(ctx, retryPause)
			return
		}
		if batch.Full || len(batch.Deleted)+len(batch.Records) > 0 {
			return
		}
		after = max(after, batch.Revision)
	}
}

// deletePreviousRecord removes the record of this entry's earlier life, which has surely ended; the fence guards against the rest.
func (n *Node) deletePreviousRecord(ctx context.Context, record store.Record) {
	commitCtx, cancel := context.WithTimeout(ctx, ownerLease)
	defer cancel()
	change := store.Change{Conditions: []store.Condition{{Key: keyOwner, Revision: record.Revision}}, Deletes: []string{keyOwner}}
	s, err := n.Store.Commit(commitCtx, change)
	n.log("EarlierLifeCleared").Uint64("Fence", record.Revision).Str("Outcome", string(s.Outcome)).AnErr("Cause", err).Send()
	if s.Outcome != store.Applied {
		pause(ctx, retryPause)
	}
}

// readOwner reads the ownership record and the store's revision, from which a watch can go on.
func (n *Node) readOwner(ctx context.Context) (store.Record, uint64, error) {
	batch, err := n.Store.Range(ctx, keyOwner, store.Safety)
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

// claim tries to become the owner, and then owns the workers until that ends.
func (n *Node) claim(ctx context.Context) error {
	grantedAt := n.Now()
	lease, err := n.Store.Grant(ctx, ownerLease)
	if err != nil {
		return err
	}
	o := ownership{Name: n.Name, Incarnation: n.incarnation, Claim: uuid.NewString(), Peer: n.PeerAddress, Cores: max(n.Cores, n.largest), Thin: n.thin()}
	value, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode the ownership")
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
			return nil // another entry was faster
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

// runOwnership runs the control loop until the ownership ends, and gives it up if it is still held.
func (n *Node) runOwnership(ctx context.Context, o ownership, lease string, grantedAt time.Time) error {
	c := n.newControl(ctx, o)
	c.state.Confirm(grantedAt.Add(ownerLease - leaseMargin))
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

// revokeOwnership ends the lease, so that a successor need not wait for it.
func (n *Node) revokeOwnership(ctx context.Context, lease string) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if err := n.Store.Revoke(ctx, lease); err != nil {
		n.log("HandoverFailed").Err(err).Send()
	}
}

// renewLease renews the lease of the ownership. A renewal begins at each period, also while earlier ones are on their way,
// so that answers may take as long as the lease lasts: a slow path to the store is no reason to lose it.
func (n *Node) renewLease(c *control, lease string, confirmed time.Time) {
	var lastConfirmed latestTime // sending time of a renewal that was answered
	lastConfirmed.advance(confirmed)
	var renewals errgroup.Group
	for c.ctx.Err() == nil {
		pause(c.ctx, renewInterval)
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

// renewOnce makes one renewal and reports whether it succeeded; a suspended owner goes on when its record stands too.
func (n *Node) renewOnce(c *control, lease string, sent time.Time) bool {
	call, cancel := context.WithTimeout(c.ctx, renewTimeout)
	defer cancel()
	err := n.Store.Renew(call, lease)
	switch {
	case errors.Is(err, store.ErrNoLease):
		c.quit(errLeaseLost)
		return false
	case err != nil || n.Now().Sub(sent) > renewTimeout: // the process may have stood still
		return false
	case c.suspended.Load() && !n.stillOwns(c):
		return false
	}
	c.confirm(sent)
	c.resume()
	return true
}

// latestTime is the latest of some times.
type latestTime struct {
	mu sync.Mutex
	at time.Time
}

// advance takes in a time and returns the latest one.
func (l *latestTime) advance(t time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.After(l.at) {
		l.at = t
	}
	return l.at
}

// stillOwns reports whether the store holds the ownership record of a suspended owner.
func (n *Node) stillOwns(c *control) bool {
	record, _, err := n.readOwner(c.ctx)
	if err == nil && record.Revision != c.fence {
		c.quit(errReplaced)
	}
	return err == nil && record.Revision == c.fence
}

// suspend stops all orders of an owner that is out of the platform's reach. It may be replaced, or the platform may
// be down for all and its lease stand still; then nobody else has ordered anything and the owner goes on.
func (c *control) suspend() {
	if !c.suspended.Swap(true) {
		c.node.log("OwnerSuspended").Uint64("Fence", c.fence).Err(errPlatformSilent).Send()
	}
}

// resume lets an owner whose lease and record were confirmed give orders again.
func (c *control) resume() {
	if c.suspended.Swap(false) {
		c.node.log("OwnerResumed").Uint64("Fence", c.fence).Send()
	}
}

// confirm notes that the lease was renewed by a call sent at a time.
func (c *control) confirm(sent time.Time) {
	c.post(func(time.Time) { c.state.Confirm(sent.Add(ownerLease - leaseMargin)) })
}

// watchOwnership watches for the ownership record being taken away.
func (n *Node) watchOwnership(c *control, o ownership) {
	after := o.revision
	for c.ctx.Err() == nil {
		batch, err := n.Store.WatchPrefix(c.ctx, keyOwner, after, ownerWatchWait)
		if err != nil {
			pause(c.ctx, retryPause)
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

// sharedSecret returns the secret of the deployment's entries, which the first of them makes.
func (n *Node) sharedSecret(ctx context.Context) (string, error) {
	for ctx.Err() == nil {
		record, err := n.Store.Get(ctx, keySecret, store.Safety)
		if err == nil && record.Revision > 0 {
			return string(record.Value), nil
		}
		if err == nil {
			change := store.Change{
				Conditions: []store.Condition{{Key: keySecret}},
				Puts:       []store.Record{{Key: keySecret, Value: []byte(uuid.NewString() + uuid.NewString())}},
			}
			commitCtx, cancel := context.WithTimeout(ctx, acceptPatience)
			_, err = n.Store.Commit(commitCtx, change) // a conflict shows in the next read
			cancel()
		}
		if err != nil && !errors.Is(err, store.ErrConflict) {
			pause(ctx, retryPause)
		}
	}
	return "", ctx.Err()
}
