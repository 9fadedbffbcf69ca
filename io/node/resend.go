package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"daisysaddle/core/resend"
	"daisysaddle/core/sched"
)

// destination holds what this entry has observed of one worker as the receiver of orders.
type destination struct {
	// slots limits the orders whose first copy is in flight, so that they share a few connections. An order whose answer is
	// overdue gives its slot back, because its connection may never be used again.
	slots    chan struct{}
	lastUsed time.Time // guarded by destinations.mu

	mu    sync.Mutex
	timer resend.Timer
}

// destinations holds the workers to which this entry has sent orders lately; it is safe for concurrent use.
type destinations struct {
	mu        sync.Mutex
	byWorker  map[string]*destination
	lastPrune time.Time
	typical   resend.Timer // the response times that a new destination begins with
}

const (
	firstCopies       = 3 // concurrent ones to a worker
	destinationMemory = time.Minute
)

// get returns the destination of a worker, and forgets those that were not used for destinationMemory.
func (d *destinations) get(now time.Time, worker string) *destination {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byWorker == nil {
		d.byWorker = make(map[string]*destination)
	}
	if now.Sub(d.lastPrune) > destinationMemory {
		d.lastPrune = now
		for id, e := range d.byWorker {
			if now.Sub(e.lastUsed) > destinationMemory {
				delete(d.byWorker, id)
			}
		}
	}
	e := d.byWorker[worker]
	if e == nil {
		e = &destination{slots: make(chan struct{}, firstCopies), timer: d.typical.Fresh()}
		d.byWorker[worker] = e
	}
	e.lastUsed = now
	return e
}

// answered records the response time of a worker.
func (d *destinations) answered(e *destination, took time.Duration) {
	e.mu.Lock()
	e.timer.Answered(took)
	e.mu.Unlock()
	d.mu.Lock()
	d.typical.Answered(took)
	d.mu.Unlock()
}

func (e *destination) overdue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timer.Overdue()
}

func (e *destination) delay(copies int) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timer.Delay(copies)
}

func (e *destination) answerWait(longest time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timer.AnswerWait(longest)
}

// transmission is an order on its way to a worker, of which copies are sent until one is answered.
type transmission struct {
	node      *Node
	worker    sched.Worker
	token     uint64
	order     any
	wait      time.Duration // for which the worker may delay its answer to the next copy
	copies    int           // sent so far
	permitted func() bool   // whether a copy may still be sent
	results   chan copyResult
	group     errgroup.Group
}

// copyResult is the result of one copy of an order.
type copyResult struct {
	sched.PollResult
	took time.Duration // beyond the wait that the copy allowed
}

// transmit sends an order to a worker until it is answered. An order without an answer in its usual time is sent again on
// another connection, with the same run number and token, so that the worker executes it once. No copy is sent once permitted
// returns false.
func (n *Node) transmit(ctx context.Context, w sched.Worker, token uint64, order any, permitted func() bool) sched.PollResult {
	e := n.destinations.get(n.Now(), w.ID)
	t := &transmission{node: n, worker: w, token: token, order: order, permitted: permitted, results: make(chan copyResult, resend.MaxCopies)}
	releaseSlot := func() {}
	if poll, is := order.(sched.Poll); is {
		t.wait = e.answerWait(poll.Wait)
	} else {
		select {
		case e.slots <- struct{}{}:
			releaseSlot = sync.OnceFunc(func() { <-e.slots })
		case <-ctx.Done():
			return sched.PollResult{Answer: sched.NotSent}
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		releaseSlot()
		cancel()
		_ = t.group.Wait() // the goroutines return no errors
	}()
	return t.run(ctx, e, releaseSlot)
}

// maxDisconnects is the number of copies in a row whose connections end or are refused after which a worker counts as gone.
const maxDisconnects = 3

// run sends copies until one is answered, and calls firstOverdue once the first answer is overdue. A copy whose connection has ended is
// followed by the next one at once.
func (t *transmission) run(ctx context.Context, e *destination, firstOverdue func()) sched.PollResult {
	overdue := time.NewTimer(0)
	defer overdue.Stop()
	pending, disconnects, more := 0, 0, true
	send := func() {
		if more = more && t.permitted(); !more {
			return
		}
		wait := t.wait
		t.sendCopy(ctx)
		pending++
		var delay time.Duration
		delay, more = e.delay(t.copies)
		overdue.Reset(wait + delay)
	}
	for more || pending > 0 {
		select {
		case <-ctx.Done():
			return t.unanswered()
		case r := <-t.results:
			pending--
			switch r.Answer {
			case sched.Unanswered:
			case sched.Disconnected:
				if disconnects++; disconnects < maxDisconnects {
					send()
				} else if pending == 0 {
					return sched.PollResult{Answer: sched.Disconnected}
				}
			default:
				t.node.destinations.answered(e, r.took)
				r.Answer = answerAfter(t.copies, t.order, r.Answer)
				return r.PollResult
			}
		case <-overdue.C:
			if t.copies > 0 {
				e.overdue()
				firstOverdue()
			}
			send()
		}
	}
	return t.unanswered()
}

// sendCopy sends the next copy. Only the first copy of a poll lets the worker delay its answer.
func (t *transmission) sendCopy(ctx context.Context) {
	t.copies++
	if t.copies > 1 {
		t.node.metrics.copies.WithLabelValues(orderName(t.order)).Inc()
	}
	order, wait := t.order, t.wait
	if poll, is := order.(sched.Poll); is {
		poll.Wait = wait
		order = poll
	}
	t.wait = 0
	t.group.Go(func() error {
		sent := t.node.Now()
		s := t.node.execute(ctx, t.worker, t.token, order)
		t.results <- copyResult{s, max(0, t.node.Now().Sub(sent)-wait)}
		return nil
	})
}

// unanswered returns the result of an order of which no copy was answered.
func (t *transmission) unanswered() sched.PollResult {
	if t.copies == 0 {
		return sched.PollResult{Answer: sched.NotSent}
	}
	return sched.PollResult{Answer: sched.Unanswered}
}

// answerAfter returns the answer to an order of which several copies were sent and the latest was answered. An earlier copy
// may have been executed, or may be executed later, so a worker that refuses a start proves nothing. The run that supersedes
// a copied start is that of an earlier copy; the next poll shows what became of it.
func answerAfter(copies int, order any, a sched.Answer) sched.Answer {
	if _, isStart := order.(sched.Start); !isStart || copies == 1 {
		return a
	}
	switch a {
	case sched.Executed, sched.StaleToken:
		return a
	case sched.Superseded:
		return sched.Executed
	}
	return sched.Unanswered
}
