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
	watchHold     = 2 * time.Second
	listPeriod    = time.Second
	renewFraction = 3 // renewals in each lease duration
	defaultLease  = 5 * time.Second
)

// runPlatform keeps the watch, the lease and the list of instances up to date.
func (e *Entry) runPlatform(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { e.runWatch(ctx); return nil })
	group.Go(func() error { e.runLease(ctx); return nil })
	group.Go(func() error { e.runList(ctx); return nil })
	return group.Wait()
}

// runWatch delivers every change at the platform with one waiting call.
func (e *Entry) runWatch(ctx context.Context) {
	var after uint64
	failures := 0
	backoff := retry.Backoff{Max: time.Second}
	for ctx.Err() == nil {
		batch, err := e.client.Watch(ctx, after, watchHold)
		if err != nil {
			failures++
			e.control.send(platformChanged{up: false})
			pause(ctx, backoff.Delay(failures))
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

// verifyWatch reads the records that must be in force soon, in case the watch silently delivers nothing.
func (e *Entry) verifyWatch(ctx context.Context) {
	for _, key := range []string{keyConfig, KeyZone(e.settings.Zone)} {
		if record, err := e.client.Get(ctx, key, store.Informational); err == nil && record.Revision > 0 {
			e.control.send(recordRead{record})
		}
	}
}

// runLease holds the lease that says this entry is alive.
func (e *Entry) runLease(ctx context.Context) {
	lease := ""
	for ctx.Err() == nil && !e.released() {
		var err error
		if lease == "" {
			lease, err = e.register(ctx)
		} else {
			err = e.client.Renew(ctx, lease)
		}
		if errors.Is(err, store.ErrNoLease) || err != nil && lease == "" {
			lease = ""
			pause(ctx, retry.Backoff{}.Delay(renewFraction))
			continue
		}
		e.pauseUntilRelease(ctx, defaultLease/renewFraction)
	}
	if lease != "" {
		release, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		_ = e.client.Revoke(release, lease) // otherwise the lease lapses by itself
	}
}

func (e *Entry) released() bool {
	select {
	case <-e.release:
		return true
	default:
		return false
	}
}

func (e *Entry) pauseUntilRelease(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-e.release:
	case <-timer.C:
	}
}

// register makes a lease and the membership key under it.
func (e *Entry) register(ctx context.Context) (string, error) {
	lease, err := e.client.Grant(ctx, defaultLease)
	if err != nil {
		return "", err
	}
	value, err := json.Marshal(e.self)
	if err != nil {
		return "", errors.Wrap(err, "encode sender")
	}
	key := keyEntry(e.settings.Zone, e.self.Incarnation)
	current, err := e.client.Get(ctx, key, store.Safety)
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
		if e.control.planning.Load() {
			if listing, err := e.client.List(ctx); err == nil {
				e.control.send(listArrived{listing})
			}
		}
		pause(ctx, listPeriod)
	}
}
