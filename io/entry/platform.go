package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/retry"
	"daisysaddle/io/store"
)

const (
	watchTimeout     = 2 * time.Second
	listPeriod       = time.Second
	renewalsPerLease = 3 // renewals per lease duration
	leaseDuration    = 5 * time.Second
)

// runPlatform keeps the watch, the lease and the list of instances up to date until ctx ends.
func (e *Entry) runPlatform(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { e.runWatch(ctx); return nil })
	group.Go(func() error { e.runLease(ctx); return nil })
	group.Go(func() error { e.runList(ctx); return nil })
	return group.Wait()
}

// runWatch delivers every change in the key-value store to the control goroutine by long polling.
func (e *Entry) runWatch(ctx context.Context) {
	var after uint64
	failures := 0
	backoff := retry.Backoff{Max: time.Second}
	for ctx.Err() == nil {
		batch, err := e.client.Watch(ctx, after, watchTimeout)
		if err != nil {
			failures++
			e.control.send(platformChanged{up: false})
			sleep(ctx, backoff.Delay(failures))
			continue
		}
		failures = 0
		e.control.send(platformChanged{up: true})
		if batch.Revision < after {
			batch.Full = true
		}
		after = batch.Revision
		if len(batch.Records)+len(batch.Deleted) > 0 {
			e.control.send(batchArrived{batch})
			continue
		}
		e.verifyWatch(ctx)
	}
}

// verifyWatch reads the configuration and the zone's record directly, because a faulty watch may answer without delivering changes.
func (e *Entry) verifyWatch(ctx context.Context) {
	for _, key := range []string{keyConfig, KeyZone(e.settings.Zone)} {
		if record, err := e.client.Get(ctx, key, store.Informational); err == nil && record.Revision > 0 {
			e.control.send(recordRead{record})
		}
	}
}

// runLease keeps the lease that marks this entry as live, until ctx ends or the lease is no longer needed.
func (e *Entry) runLease(ctx context.Context) {
	lease := ""
	for ctx.Err() == nil && !e.isLeaseUnneeded() {
		var err error
		if lease == "" {
			lease, err = e.register(ctx)
		} else {
			err = e.client.Renew(ctx, lease)
		}
		if errors.Is(err, store.ErrNoLease) || err != nil && lease == "" {
			lease = ""
			sleep(ctx, retry.Backoff{}.Delay(renewalsPerLease))
			continue
		}
		e.sleepWhileLeaseNeeded(ctx, leaseDuration/renewalsPerLease)
	}
	if lease != "" {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		_ = e.client.Revoke(revokeCtx, lease) // on failure the lease expires by itself
	}
}

func (e *Entry) isLeaseUnneeded() bool {
	select {
	case <-e.leaseUnneeded:
		return true
	default:
		return false
	}
}

func (e *Entry) sleepWhileLeaseNeeded(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-e.leaseUnneeded:
	case <-timer.C:
	}
}

// register obtains a lease and writes this entry's lease record under it. It returns an empty lease
// if the lease could not be granted or the record was not written.
func (e *Entry) register(ctx context.Context) (string, error) {
	lease, err := e.client.Grant(ctx, leaseDuration)
	if err != nil {
		return "", err
	}
	value, err := json.Marshal(e.self)
	if err != nil {
		return "", errors.Wrap(err, "encode sender")
	}
	key := keyEntry(e.settings.Zone, e.self.Incarnation)
	current, err := e.client.Get(ctx, key, store.Critical)
	if err != nil {
		return "", err
	}
	if _, outcome, err := e.client.Swap(ctx, current, value, lease); outcome != store.Applied {
		return "", err
	}
	e.control.send(leaseGranted{lease})
	return lease, nil
}

// runList reads the platform's list of instances while this entry plans its zone.
func (e *Entry) runList(ctx context.Context) {
	for ctx.Err() == nil {
		if e.control.isPlanner.Load() {
			if listing, err := e.client.List(ctx); err == nil {
				e.control.send(listArrived{listing})
			}
		}
		sleep(ctx, listPeriod)
	}
}
