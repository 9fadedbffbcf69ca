package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"daisysaddle/core/carry"
	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
	"daisysaddle/io/wire"
)

// newCarried returns a cluster of entries so small that each carries the orders to one worker.
func newCarried(t *testing.T, size int) *cluster {
	t.Helper()
	entryCores = 0.001
	t.Cleanup(func() { entryCores = 0 })
	c, _ := newCluster(t, size, 0)
	c.await("all others carry", func() bool { return c.carriers() == size-1 })
	return c
}

// carriers returns how many carriers the owner uses.
func (c *cluster) carriers() int {
	for _, n := range c.nodes {
		o := n.owning()
		if o == nil {
			continue
		}
		count := make(chan int, 1)
		o.post(func(time.Time) {
			used := 0
			for i := range o.carriers.known {
				if o.carriers.usable(i) {
					used++
				}
			}
			count <- used
		})
		select {
		case used := <-count:
			return used
		case <-o.ctx.Done():
		}
	}
	return 0
}

func TestCarriedJobsRunOnce(t *testing.T) {
	c := newCarried(t, 3)
	for i := range 20 {
		must.Eq(t, OutcomeDone, c.nodes[i%3].Submit(t.Context(), job(fmt.Sprint("j", i), 6)).Outcome)
	}
	for i := range 20 {
		id := fmt.Sprint("j", i)
		c.await(id+" is completed", func() bool { return c.state(c.nodes[0], id) == sched.Completed })
		must.Eq(t, 7, c.fleet.count(id))
	}
	must.Positive(t, c.fleet.by(c.nodes[1])+c.fleet.by(c.nodes[2]))
	must.Eq(t, "spec", c.fleet.spec)
}

// TestCarrierIsLost: a carrier that ends with orders in hand costs no job and repeats no task.
func TestCarrierIsLost(t *testing.T) {
	c := newCarried(t, 3)
	for i := range 20 {
		must.Eq(t, OutcomeDone, c.nodes[0].Submit(t.Context(), job(fmt.Sprint("j", i), 6)).Outcome)
		if i == 10 {
			c.stops[1]()
		}
	}
	for i := range 20 {
		id := fmt.Sprint("j", i)
		c.await(id+" is completed", func() bool { return c.state(c.nodes[0], id) == sched.Completed })
		must.Eq(t, 7, c.fleet.finished(id))
	}
	c.await("the owner uses the other one", func() bool { return c.carriers() == 1 })
}

// TestWokenCarrierSendsNothing: orders whose permit ran out while the carrier stood still do not leave it.
func TestWokenCarrierSendsNothing(t *testing.T) {
	now := SteadyClock()
	fleet := newFleet(now)
	n := New(Settings{Name: "e"}, Parts{Store: store.NewClient(&stand.Platform{Unlimited: true}), Workers: fleet, Dialect: fakeDialect{}, Now: now})
	start := wireOrder(1, sched.Worker{ID: "w"}, sched.Start{Worker: "w", Task: sched.TaskID{Job: "j"}, Run: 1})
	cases := []struct {
		name  string
		heard time.Time
		want  sched.Answer
	}{
		{"young", now(), sched.Carried},
		{"paused", now().Add(-carry.PermitLasts - time.Millisecond), sched.NotSent},
		{"never heard", time.Time{}, sched.NotSent},
	}
	n.porter.keep("j", "spec")
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			must.Eq(t, e.want, n.porter.carry(start, 1, e.heard).Answer)
		})
	}
	must.Eq(t, 1, fleet.count("j"))
}

// TestWokenOwnerSendsNothing: an order that waited in a paused owner does not leave it.
func TestWokenOwnerSendsNothing(t *testing.T) {
	base := SteadyClock()
	var ahead time.Duration
	now := func() time.Time { return base().Add(ahead) }
	fleet := newFleet(now)
	n := New(Settings{Name: "e"}, Parts{Store: store.NewClient(&stand.Platform{Unlimited: true}), Workers: fleet, Dialect: fakeDialect{}, Now: now})
	c := n.newControl(t.Context(), ownership{revision: 5})
	c.state.SetWorkers(now(), []sched.Worker{{ID: "w", Pool: "p", Born: now()}})
	answers := make(chan sched.Answer, 1)
	planned := now()
	ahead = carry.PermitLasts + time.Millisecond // the process stood still between the plan and the call
	c.direct(planned, sched.Worker{ID: "w"}, sched.Start{Worker: "w", Task: sched.TaskID{Job: "j"}, Run: 1}, orderTimeout, func(_ time.Time, s sched.Sight) { answers <- s.Answer })
	(<-c.events)(now())
	must.Eq(t, sched.NotSent, <-answers)
	must.Eq(t, 0, fleet.count("j"))
	must.NoError(t, c.group.Wait())
}

// TestCarrierReadsSpecFromTheStore: an owner on a thin link leaves specs to the store.
func TestCarrierReadsSpecFromTheStore(t *testing.T) {
	p := &stand.Platform{Unlimited: true}
	n := New(Settings{Name: "e"}, Parts{Store: store.NewClient(p), Workers: newFleet(SteadyClock()), Dialect: fakeDialect{}, Now: SteadyClock()})
	j := job("j", 1)
	j.Spec = strings.Repeat("s", 4000)
	value, err := sched.EncodeJob(j)
	must.NoError(t, err)
	_, _, err = p.Commit(t.Context(), store.Change{Puts: []store.Record{{Key: keyJobs + "j", Value: value}}})
	must.NoError(t, err)
	for range 2 {
		text, err := n.porter.spec(t.Context(), "j")
		must.NoError(t, err)
		must.Eq(t, j.Spec, text)
	}
	must.Eq(t, 1, p.Calls()["Get"])
	_, err = n.porter.spec(t.Context(), "unknown")
	must.Error(t, err)
}

// TestOutdatedOwnerIsRefused: a carrier that has carried for a later owner sends nothing for an earlier one.
func TestOutdatedOwnerIsRefused(t *testing.T) {
	fleet := newFleet(SteadyClock())
	n := New(Settings{Name: "e"}, Parts{Store: store.NewClient(&stand.Platform{}), Workers: fleet, Dialect: fakeDialect{}, Now: SteadyClock()})
	n.porter.keep("j", "spec")
	order := wireOrder(1, sched.Worker{ID: "w"}, sched.Start{Worker: "w", Task: sched.TaskID{Job: "j"}, Run: 1})
	n.porter.take("later", &wire.Orders{Fence: 7})
	n.porter.take("earlier", &wire.Orders{Fence: 5, HeardNanoseconds: n.Now().UnixNano(), Orders: []*wire.Order{order}})
	n.porter.close()
	must.Eq(t, 0, fleet.count("j"))
}

func TestOrdersSurviveTheWire(t *testing.T) {
	id := sched.TaskID{Job: "j", Occurrence: 1, Step: 2, Index: 3}
	w := sched.Worker{ID: "w"}
	orders := []any{
		sched.Start{Worker: "w", Task: id, Run: 4, Saved: "s", Ticket: "t", Until: time.Second},
		sched.Stop{Worker: "w", Task: id, Run: 4},
		sched.Pace{Worker: "w", Task: id, Run: 4, Percent: 30},
		sched.Look{Worker: "w", Until: time.Minute, Acknowledged: 9, Wait: time.Second},
	}
	for _, o := range orders {
		back, order, _, err := orderOf(wireOrder(1, w, o))
		must.NoError(t, err)
		must.Eq(t, w.ID, back.ID)
		must.Eq(t, o, order)
	}
	s := sched.Sight{
		Answer: sched.Carried, Clock: time.Second, Born: time.UnixMilli(7),
		Running: []sched.Row{{Task: id, Run: 4, Saved: "s", Percent: 50, Figure: 9}},
		Ended:   []sched.End{{Number: 3, Row: sched.Row{Task: id, Run: 4}, How: sched.Done}},
	}
	must.Eq(t, s, sightOf(wireAnswer(1, s)))
	for _, m := range []*wire.Order{{}, {Worker: "w", Address: []byte{1}}, {Worker: "w", Kind: 99}} {
		_, _, _, err := orderOf(m)
		must.Error(t, err)
	}
}

// FuzzFrames: no frame of another entry ends the process.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{}, int64(1))
	f.Add([]byte{1, 2, 3, 4, 5, 6}, int64(0))
	n := New(Settings{Name: "e"}, Parts{Store: store.NewClient(&stand.Platform{}), Workers: newFleet(SteadyClock()), Dialect: fakeDialect{}, Now: SteadyClock()})
	f.Fuzz(func(_ *testing.T, address []byte, kind int64) {
		o := &wire.Order{Worker: "w", Address: address, Kind: wire.Order_Kind(kind)}
		n.porter.carry(o, 1, n.Now())
		_ = sightOf(&wire.Answer{Running: []*wire.Row{nil, {}}, Ended: []*wire.Row{{Task: &wire.Task{Index: int32(kind)}}}})
	})
}

// by returns how many calls an entry made.
func (f *fakeFleet) by(n *Node) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[n.Name]
}

// finished returns how many tasks of a job have ended as done.
func (f *fakeFleet) finished(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	done := make(map[sched.TaskID]bool)
	for _, ends := range f.ended {
		for _, e := range ends {
			if e.Task.Job == job && e.How == sched.Done {
				if done[e.Task] {
					return -1 // it ran twice
				}
				done[e.Task] = true
			}
		}
	}
	return len(done)
}

// callers is a fleet as one entry sees it.
type callers struct {
	*fakeFleet
	name string
}

// Start counts the entry that made the call.
func (c callers) Start(ctx context.Context, w sched.Worker, fence uint64, o sched.Start) sched.Answer {
	c.mu.Lock()
	c.calls[c.name]++
	c.fakeFleet.spec = o.Spec
	c.mu.Unlock()
	return c.fakeFleet.Start(ctx, w, fence, o)
}

// TestEntriesStoreAdmittedJobs: an owner on a thin link weighs a job without its spec; the asking entry stores it, and the
// specs reach the workers all the same, over carriers or from the owner itself.
func TestEntriesStoreAdmittedJobs(t *testing.T) {
	cases := []struct {
		name  string
		cores float64
	}{
		{"carried", 0.001},
		{"sent by the owner", 0},
	}
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			entryCores, entryMbps = e.cores, thinMbps
			t.Cleanup(func() { entryCores, entryMbps = 0, 0 })
			c, backends := newCluster(t, 2, 0)
			c.await("the entries are linked", func() bool { return c.nodes[1].links() != nil && len(c.nodes[1].links().Peers()) == 1 })
			for i := range 6 {
				id := fmt.Sprint("j", i)
				must.Eq(t, OutcomeDone, c.nodes[1].Submit(t.Context(), job(id, 3)).Outcome)
				must.Eq(t, reasonKnown, c.nodes[1].Submit(t.Context(), job(id, 3)).Reason) // sent again
			}
			backends[1].setDown(true) // the owner stores what the entry can't
			c.await("the breaker opens", func() bool { return c.nodes[1].Store.Down(time.Now()) })
			must.Eq(t, OutcomeDone, c.nodes[1].Submit(t.Context(), job("j6", 3)).Outcome)
			for i := range 7 {
				id := fmt.Sprint("j", i)
				c.await(id+" is completed", func() bool { return c.state(c.nodes[0], id) == sched.Completed })
				must.Eq(t, 4, c.fleet.count(id))
			}
			must.Eq(t, "spec", c.fleet.spec)
		})
	}
}

// TestAdmittedJobIsNotRefusedLater: the entry that was to store a job fell silent; whoever asks for its id again learns
// from the store what became of it, also when there is no room any more.
func TestAdmittedJobIsNotRefusedLater(t *testing.T) {
	now := SteadyClock()
	n := New(Settings{}, Parts{Store: store.NewClient(&stand.Platform{}), Dialect: fakeDialect{}, Now: now})
	c := n.newControl(t.Context(), ownership{revision: 5})
	must.Eq(t, OutcomeNotRun, c.weigh(now(), job("new", 1)).Outcome) // no queue is known
	c.admitted["j"] = admission{job("j", 1), now()}
	must.Eq(t, outcomeAdmitted, c.weigh(now(), job("j", 1)).Outcome)
	c.dropAdmissions(now().Add(doubtLasts + time.Second))
	must.Eq(t, OutcomeNotRun, c.weigh(now(), job("j", 1)).Outcome)
}

// TestOwnerFindsAJobWhoseNoticeWasLost: the entry that stored an admitted job fell silent before it told the owner.
func TestOwnerFindsAJobWhoseNoticeWasLost(t *testing.T) {
	c, _ := newCluster(t, 2, 0)
	c.await("the second entry is ready", c.nodes[1].Ready)
	must.Eq(t, OutcomeDone, c.nodes[1].accept(t.Context(), job("j", 2)).Outcome)
	c.await("j is completed", func() bool { return c.state(c.nodes[0], "j") == sched.Completed })
	must.Eq(t, 3, c.fleet.count("j"))
}

// TestLaggingOwnerKeepsItsCarriers: an owner that lagged behind its events for longer than a carrier may be silent took its
// own delay for the carriers' silence, gave up their orders and sent all others itself, which made it lag more
// (the sweep's day at 995 workers: 0.34 to 0.44 served, 333 runs lapsed).
func TestLaggingOwnerKeepsItsCarriers(t *testing.T) {
	c := newCarried(t, 3)
	owner := c.nodes[0].owning()
	for i := range 10 {
		must.Eq(t, OutcomeDone, c.nodes[1].Submit(t.Context(), job(fmt.Sprint("j", i), 6)).Outcome)
	}
	owner.post(func(time.Time) {
		for _, e := range owner.carriers.known {
			e.specs["mark"] = true // the loss of a carrier clears them
		}
		time.Sleep(carrierQuiet + lookExtraWait + carryExtra)
	})
	must.Eq(t, 2, c.carriers()) // behind what came during the delay
	marked := make(chan int, 1)
	owner.post(func(time.Time) {
		n := 0
		for _, e := range owner.carriers.known {
			if e.specs["mark"] {
				n++
			}
		}
		marked <- n
	})
	must.Eq(t, 2, <-marked)
	for i := range 10 {
		id := fmt.Sprint("j", i)
		c.await(id+" is completed", func() bool { return c.state(c.nodes[0], id) == sched.Completed })
		must.Eq(t, 7, c.fleet.finished(id))
	}
}
