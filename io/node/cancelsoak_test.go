package node

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/io/store"
)

var (
	cancelSeeds = flag.Uint64("cancel.seeds", 4, "number of histories of TestCancelledJobsNeverStart")
	cancelFirst = flag.Uint64("cancel.first", 1, "seed of the first of them")
)

const (
	historyJobs = 24
	cancelLimit = 3 * time.Second // from which no task of a job starts whose cancellation was answered
	cancelTries = 4
)

// lateWrites returns how late the writes of jobs and cancellations are: all of some jobs, so that their acceptance stays unsettled, and
// some of the cancellations.
func lateWrites(seed, backend uint64) func(store.Change) time.Duration {
	r := rand.New(rand.NewPCG(seed, backend))
	return func(c store.Change) time.Duration { // called with the backend locked
		late := time.Duration(1000+r.IntN(5000)) * time.Millisecond
		for _, put := range c.Puts {
			if strings.HasPrefix(put.Key, keyJobs) && xxhash.Sum64String(fmt.Sprint(put.Key, seed))%2 == 0 || strings.HasPrefix(put.Key, keyCancel) && r.IntN(3) == 0 {
				return late
			}
		}
		return 0
	}
}

// repetition tells when a job is submitted again.
type repetition int

const (
	never repetition = iota
	beforeCancel
	afterCancel
	repetitions // the number of the others
)

// submitAndCancel submits a job through one entry, cancels it through another one, and may submit it again through a third one. It sends the
// id when the cancellation is answered.
func submitAndCancel(ctx context.Context, id string, entries [3]*Node, pause time.Duration, again repetition, answered chan<- string) error {
	var attempts errgroup.Group
	attempts.Go(func() error { entries[0].Submit(ctx, job(id, 1)); return nil })
	time.Sleep(pause)
	repeat := func() error { entries[2].Submit(ctx, job(id, 1)); return nil }
	if again == beforeCancel {
		attempts.Go(repeat)
	}
	for range cancelTries {
		if v := entries[1].Cancel(ctx, Caller{}, id); v.Outcome == OutcomeDone || v.Outcome == OutcomeNoSuchJob {
			answered <- id
			break
		}
	}
	if again == afterCancel {
		attempts.Go(repeat)
	}
	return attempts.Wait()
}

// checkCancelled checks for a time that no job starts later than cancelLimit after its cancellation was answered. It returns the number of
// those jobs.
func (c *cluster) checkCancelled(answered <-chan string, d time.Duration) int {
	at, starts := make(map[string]time.Time), make(map[string]int)
	for end := time.Now().Add(d); time.Now().Before(end); {
		select {
		case id := <-answered:
			at[id] = time.Now()
		case <-time.After(20 * time.Millisecond):
		}
		for id, t := range at {
			n := c.fleet.count(id)
			if time.Since(t) > cancelLimit {
				must.Eq(c.t, starts[id], n, must.Sprintf("%s started %s after its cancellation was answered", id, time.Since(t)))
			}
			starts[id] = n
		}
	}
	return len(at)
}

// TestCancelledJobsNeverStart guards against starting cancelled jobs when writes are late and unanswered and an entry ends.
func TestCancelledJobsNeverStart(t *testing.T) {
	for seed := *cancelFirst; seed < *cancelFirst+*cancelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 0))
			c, backends := newCluster(t, 4, 0)
			c.await("the entries are linked", func() bool { return c.linked(1) && c.linked(2) && c.linked(3) })
			for i, b := range backends {
				b.setLate(lateWrites(seed, uint64(i)))
			}
			victim := r.IntN(4)
			survivor := func() *Node { return c.nodes[(victim+1+r.IntN(3))%4] }
			answered := make(chan string, historyJobs)
			var callers errgroup.Group
			for i := range historyJobs {
				id, entries := fmt.Sprint("j", i), [3]*Node{c.nodes[r.IntN(4)], survivor(), survivor()}
				pause, again := time.Duration(r.IntN(1500))*time.Millisecond, repetition(r.IntN(int(repetitions)))
				callers.Go(func() error { return submitAndCancel(t.Context(), id, entries, pause, again, answered) })
				if i == historyJobs/2 {
					callers.Go(func() error { c.stops[victim](); return nil })
				}
				time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
			}
			n := c.checkCancelled(answered, 10*time.Second)
			must.NoError(t, callers.Wait())
			must.Greater(t, historyJobs/3, n)
			t.Logf("%d of %d cancellations answered", n, historyJobs)
		})
	}
}
