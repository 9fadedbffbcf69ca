package node

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// TestTasksRunOnceWhileHalfOfTheOrdersAreLost: each job ends and each task runs once, although late copies of its start arrive.
func TestTasksRunOnceWhileHalfOfTheOrdersAreLost(t *testing.T) {
	c, _ := newCluster(t, 1, 0)
	must.Eq(t, OutcomeDone, c.nodes[0].Submit(t.Context(), job("first", 4)).Outcome)
	c.await("first is completed", func() bool { return c.state(c.nodes[0], "first") == sched.Completed })
	c.fleet.mu.Lock()
	c.fleet.lossShare = 0.5
	c.fleet.mu.Unlock()
	const jobs = 20
	for i := range jobs {
		id := fmt.Sprint("j", i)
		must.Eq(t, OutcomeDone, c.nodes[0].Submit(t.Context(), job(id, 4)).Outcome)
		c.await(id+" is completed", func() bool { return c.state(c.nodes[0], id) == sched.Completed })
	}
	time.Sleep(executeLate) // late copies arrive
	for i := range jobs {
		must.Eq(t, 5, c.fleet.count(fmt.Sprint("j", i)))
	}
}

// TestJobsEndWhileHalfOfTheOrdersAreLost: 80% of the jobs end within the fixed part of their objective, and each task runs once.
func TestJobsEndWhileHalfOfTheOrdersAreLost(t *testing.T) {
	const seeds, jobs = 64, 50
	inTime := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) { inTime += jobsInTime(t, seed+1, jobs) })
	}
	t.Logf("%d of %d jobs in time", inTime, seeds*jobs)
	must.GreaterEq(t, seeds*jobs*8/10, inTime)
}

// jobsInTime submits jobs one after another to an entry without peers, whose workers lose half of all copies, and returns how
// many ended in time.
func jobsInTime(t *testing.T, seed uint64, jobs int) int {
	t.Helper()
	c := &cluster{t: t, platform: &stand.Platform{Seed: 1, Unlimited: true}, fleet: newFleet(time.Now)}
	c.putFleet()
	workers := &lossyWorkers{fakeFleet: c.fleet, seed: seed, copies: make(map[context.Context]int), sent: make(map[string]int)}
	n := New(Settings{Name: "e1", Zone: "z", Deployment: "test", Bounds: sched.Settings{HoldMost: 6 * time.Second, KeepEnded: time.Minute}},
		Dependencies{Store: store.NewClient(c.platform), Workers: workers, Dialect: fakeDialect{}, Now: time.Now})
	ctx, cancel := context.WithCancel(t.Context())
	c.group.Go(func() error { n.watchOperator(ctx); return nil }) // Run would wait for peers on a socket, which stops virtual time
	c.group.Go(func() error { n.elect(ctx); return nil })
	c.await("the entry owns", func() bool { return n.activeControl() != nil })
	must.Eq(t, OutcomeDone, n.Submit(t.Context(), job("first", 4)).Outcome)
	c.await("first is completed", func() bool { return c.state(n, "first") == sched.Completed })
	workers.lossy.Store(true)
	inTime := 0
	for i := range jobs {
		id := fmt.Sprint("j", i)
		began := time.Now()
		must.Eq(t, OutcomeDone, n.Submit(t.Context(), job(id, 4)).Outcome)
		c.await(id+" is completed", func() bool { return c.state(n, id) == sched.Completed })
		if time.Since(began) < time.Second { // the objective's fixed part in putFleet
			inTime++
		}
	}
	time.Sleep(executeLate) // late copies arrive
	for i := range jobs {
		must.Eq(t, 5, c.fleet.count(fmt.Sprint("j", i)))
	}
	cancel()
	must.NoError(t, c.group.Wait())
	n.carrier.close()
	must.NoError(t, n.background.Wait())
	must.NoError(t, c.fleet.late.Wait())
	return inTime
}

// lossyWorkers are the workers of a fake fleet that answer in the usual time or lose a call. Whether a copy is lost follows
// from the seed, the order and the number of the copy.
type lossyWorkers struct {
	*fakeFleet
	lossy  atomic.Bool
	seed   uint64
	mu     sync.Mutex
	copies map[context.Context]int // by order, whose copies share a context
	sent   map[string]int          // orders by worker and key
}

const roundTrip = 2 * time.Millisecond

// lose takes the time of a call and reports whether this copy of an order is lost. If so, it executes the order later and
// waits until the sender gives up.
func (w *lossyWorkers) lose(ctx context.Context, worker string, order any, execute func()) bool {
	time.Sleep(roundTrip)
	if !w.lossy.Load() || !w.draw(ctx, worker, order) {
		return false
	}
	w.executeLater(ctx, execute)
	return true
}

// draw returns whether the next copy of an order is lost.
func (w *lossyWorkers) draw(ctx context.Context, worker string, order any) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies[ctx]++
	copies := w.copies[ctx]
	var key string
	switch o := order.(type) {
	case sched.Start:
		key = fmt.Sprint("start ", o.Task, o.Run)
	case sched.Stop:
		key = fmt.Sprint("stop ", o.Task, o.Run)
	case sched.Poll:
		key = "poll"
	}
	if _, isStart := order.(sched.Start); !isStart && copies == 1 {
		w.sent[worker+key]++ // polls and stops are sent as new orders again
	}
	sum := sha256.Sum256(fmt.Appendln(nil, w.seed, worker, key, w.sent[worker+key], copies))
	return sum[0]&1 == 1
}

func (w *lossyWorkers) Start(ctx context.Context, to sched.Worker, token uint64, o sched.Start) sched.Answer {
	if w.lose(ctx, to.ID, o, func() { w.start(to, token, o) }) {
		return sched.Unanswered
	}
	return w.start(to, token, o)
}

func (w *lossyWorkers) Stop(ctx context.Context, to sched.Worker, token uint64, o sched.Stop) sched.Answer {
	if w.lose(ctx, to.ID, o, func() { w.stop(to, token, o) }) {
		return sched.Unanswered
	}
	return w.stop(to, token, o)
}

func (w *lossyWorkers) Poll(ctx context.Context, to sched.Worker, token uint64, o sched.Poll) sched.PollResult {
	if w.lose(ctx, to.ID, o, func() {}) {
		return sched.PollResult{Answer: sched.Unanswered}
	}
	return w.fakeFleet.Poll(ctx, to, token, o)
}

// TestAnswerAfterCopies: once a second copy of a start was sent, only an answer that covers both copies is taken as it is.
func TestAnswerAfterCopies(t *testing.T) {
	for _, c := range []struct {
		copies       int
		order        any
		answer, want sched.Answer
	}{
		{1, sched.Start{}, sched.Unhealthy, sched.Unhealthy},
		{1, sched.Start{}, sched.Superseded, sched.Superseded},
		{2, sched.Start{}, sched.Executed, sched.Executed},
		{2, sched.Start{}, sched.StaleToken, sched.StaleToken},
		{2, sched.Start{}, sched.WrongIncarnation, sched.Unanswered},
		{2, sched.Start{}, sched.Superseded, sched.Executed},
		{2, sched.Start{}, sched.Unhealthy, sched.Unanswered},
		{2, sched.Start{}, sched.NoRoom, sched.Unanswered},
		{3, sched.Start{}, sched.TooLate, sched.Unanswered},
		{3, sched.Stop{}, sched.Executed, sched.Executed},
		{3, sched.Poll{}, sched.Unhealthy, sched.Unhealthy},
	} {
		must.Eq(t, c.want, answerAfter(c.copies, c.order, c.answer))
	}
}

// silentWorkers answers no order and counts the copies.
type silentWorkers struct {
	Workers
	copies chan struct{}
}

func (w silentWorkers) Stop(ctx context.Context, _ sched.Worker, _ uint64, _ sched.Stop) sched.Answer {
	w.copies <- struct{}{}
	<-ctx.Done()
	return sched.Unanswered
}

// TestNoCopyWithoutPermit: an order is not sent, and not sent again, once its permit has ended.
func TestNoCopyWithoutPermit(t *testing.T) {
	for _, c := range []struct {
		permits int // copies that are permitted
		want    sched.Answer
	}{{0, sched.NotSent}, {1, sched.Unanswered}, {2, sched.Unanswered}} {
		w := silentWorkers{copies: make(chan struct{}, 10)}
		n := New(Settings{Name: "e"}, Dependencies{Store: store.NewClient(&stand.Platform{}), Workers: w, Dialect: fakeDialect{}, Now: SteadyClock()})
		ctx, cancel := context.WithTimeout(t.Context(), orderTimeout)
		left := c.permits
		s := n.transmit(ctx, sched.Worker{ID: "w"}, 1, sched.Stop{}, func() bool { left--; return left >= 0 })
		cancel()
		must.Eq(t, c.want, s.Answer)
		must.Eq(t, c.permits, len(w.copies))
	}
}

// refusingWorkers refuse the connections of all orders but those that are answered.
type refusingWorkers struct {
	*fakeFleet
	refused  int // copies that are refused first
	received int
}

func (f *refusingWorkers) Poll(context.Context, sched.Worker, uint64, sched.Poll) sched.PollResult {
	if f.received++; f.received <= f.refused {
		return sched.PollResult{Answer: sched.Disconnected}
	}
	return sched.PollResult{Answer: sched.Executed}
}

// TestRefusedConnectionsAreKnownAtOnce guards against a worker that counts as usable for a second after its process has ended.
func TestRefusedConnectionsAreKnownAtOnce(t *testing.T) {
	for _, c := range []struct {
		refused int
		want    sched.Answer
	}{{0, sched.Executed}, {maxDisconnects - 1, sched.Executed}, {maxDisconnects, sched.Disconnected}} {
		synctest.Test(t, func(t *testing.T) {
			workers := &refusingWorkers{fakeFleet: newFleet(time.Now), refused: c.refused}
			n := New(Settings{Name: "e"}, Dependencies{Store: store.NewClient(&stand.Platform{Unlimited: true}), Workers: workers, Dialect: fakeDialect{}, Now: time.Now})
			began := time.Now()
			s := n.transmit(t.Context(), sched.Worker{ID: "w"}, 1, sched.Poll{Wait: time.Second}, func() bool { return true })
			must.Eq(t, c.want, s.Answer, must.Sprint(c.refused))
			must.Eq(t, 0, time.Since(began))
		})
	}
}
