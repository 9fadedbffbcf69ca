package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"daisysaddle/io/store"
)

// reach tells whether a callee answers, so that a request whose loss would leave its outcome unknown is not sent into
// silence. It is safe for concurrent use.
type reach struct {
	silentAfter time.Duration // a callee that leaves a probe unanswered for this long is silent

	mu         sync.Mutex
	answeredAt time.Time     // when the callee last answered
	failedAt   time.Time     // when a probe was last overdue
	took       time.Duration // by its last probe
	probe      *probe        // the probe that is not answered yet
}

// probe is a request without effect.
type probe struct {
	sentAt time.Time
	done   chan struct{}
}

const (
	freshAnswer      = 100 * time.Millisecond // an answer this recent needs no probe; a job sent within this time after a cut may stay unanswered
	slowProbeFactor  = 3                      // times the last probe's duration, for a callee that is slow but not silent
	ownerSilentAfter = 150 * time.Millisecond // far above the time of a probe between entries (2 ms)
	storeSilentAfter = 600 * time.Millisecond // far above a call to a slow store (300 ms), a quarter of a short job's objective
	probeTimeout     = time.Second
)

// record notes that the callee answered at the given time.
func (r *reach) record(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.answeredAt) {
		r.answeredAt = at
	}
}

// answers reports whether the callee answered lately or answers a probe in time. Concurrent callers share a probe, and those
// that come while it is overdue get their answer at once.
func (r *reach) answers(ctx context.Context, now func() time.Time, group *errgroup.Group, send func(context.Context) error) bool {
	r.mu.Lock()
	if now().Sub(r.answeredAt) < freshAnswer {
		r.mu.Unlock()
		return true
	}
	p := r.probe
	if p == nil {
		p = &probe{sentAt: now(), done: make(chan struct{})}
		r.probe = p
		group.Go(func() error { r.sendProbe(context.WithoutCancel(ctx), now, p, send); return nil })
	}
	overdue := max(r.silentAfter, slowProbeFactor*r.took) - now().Sub(p.sentAt)
	r.mu.Unlock()
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeredAt.Before(p.sentAt) {
		r.failedAt = now()
		return false
	}
	return true
}

// silent reports whether a probe was overdue and the callee has not answered since.
func (r *reach) silent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedAt.After(r.answeredAt)
}

// sendProbe sends a probe and records its answer.
func (r *reach) sendProbe(ctx context.Context, now func() time.Time, p *probe, send func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := send(ctx)
	at := now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probe = nil
	if err == nil {
		r.answeredAt, r.took = at, at.Sub(p.sentAt)
	}
	close(p.done)
}

// ownerAnswers reports whether the owner answers this entry.
func (n *Node) ownerAnswers(ctx context.Context, o *ownership) bool {
	return n.ownerReach.answers(ctx, n.Now, &n.background, func(ctx context.Context) error {
		var v Verdict
		return n.askPeer(ctx, o.Incarnation, "GET", alivePath, probeTimeout, nil, &v)
	})
}

// storeAnswers reports whether the store answers this entry.
func (n *Node) storeAnswers(ctx context.Context) bool {
	n.noteStoreAnswer()
	return n.storeReach.answers(ctx, n.Now, &n.background, func(ctx context.Context) error {
		_, err := n.Store.Get(ctx, keyOwner, store.Critical)
		return err
	})
}

// noteStoreAnswer notes when any call to the store was last answered.
func (n *Node) noteStoreAnswer() {
	if since, ever := n.Store.SinceAnswer(time.Now()); ever {
		n.storeReach.record(n.Now().Add(-since))
	}
}
