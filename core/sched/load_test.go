package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fullFleet returns the state of an owner whose workers are all full, with about 2000 more tasks waiting.
func fullFleet(t testing.TB, now time.Time, workers int) *State {
	t.Helper()
	s := New(now, 1, simSettings)
	s.SetConfig(Config{Version: 1, Queues: map[string]Queue{"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 1.6, Target: time.Second}}, Pools: map[string]Pool{"p": {Name: "p"}}})
	var list []Worker
	for i := range workers {
		list = append(list, Worker{ID: fmt.Sprintf("w%03d", i), Pool: "p", Capacity: Size{Processors: 16000, MemoryMB: 32768}, StartedAt: now})
	}
	s.SetWorkers(now, list)
	for _, w := range list {
		s.PollAnswered(now, w.ID, PollResult{Answer: Executed, Sent: now, StartedAt: now})
	}
	s.ConfirmOwnership(now.Add(time.Hour))
	for _, c := range s.Plan(now).Roster {
		s.RosterSaved(c)
	}
	for i := range workers*16/6 + 2000/6 { // 16 tasks of one core fill a worker
		j := batch(fmt.Sprint("j", i), "p", 6, 1000, 1)
		j.Queue = "q"
		s.AddJob(now, j, Progress{}, false)
	}
	for _, o := range s.Plan(now).Starts {
		s.StartAnswered(now, o, Executed)
	}
	return s
}

// TestPlanWithoutEvents checks that a plan without new events does not sort all runs and jobs again. The owner plans
// after every few events, hundreds of times a second; with 350 workers the sorting used all of its processor time, so
// that half of the jobs began more than 1.1 s after their submission and 5% more than 15 s.
func TestPlanWithoutEvents(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := fullFleet(t, now, 350)
	s.Plan(now)
	s.Plan(now)
	const most = 100 // allocations; one per worker would be 350
	must.LessEq(t, most, testing.AllocsPerRun(10, func() { s.Plan(now) }))
}

// TestRosterStoresOnlyChanges guards against writing the whole roster for each change: machines that change pools add
// tens of new workers a second, and a record of all 350 workers has 100 KB.
func TestRosterStoresOnlyChanges(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := fullFleet(t, now, 50)
	must.SliceEmpty(t, s.Plan(now).Roster)
	list := make([]Worker, 0, 51)
	for _, w := range s.sortedWorkers() {
		list = append(list, w.Worker)
	}
	list = append(list, Worker{ID: "new", Pool: "p", Capacity: Size{Processors: 16000}, StartedAt: now})
	s.SetWorkers(now, list)
	changes := s.Plan(now).Roster
	must.Len(t, 1, changes)
	must.Eq(t, RosterChange{Worker: list[50], Listed: true}, changes[0])
	must.SliceEmpty(t, s.Plan(now).Roster, must.Sprint("the change is being stored"))
	s.RosterFailed(changes[0])
	must.Len(t, 1, s.Plan(now).Roster, must.Sprint("an unsettled change is repeated"))
}

// TestRosterRepeatsUnsettledRemoval checks that a worker whose removal from the roster is unsettled is listed again
// before it is used.
func TestRosterRepeatsUnsettledRemoval(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := fullFleet(t, now, 1)
	known := s.sortedWorkers()[0].Worker
	s.workers[known.ID].runs = map[TaskID]*run{}
	s.SetWorkers(now, nil)
	later := now.Add(time.Minute)
	s.ConfirmOwnership(later.Add(time.Hour))
	changes := s.Plan(later).Roster
	must.Eq(t, []RosterChange{{Worker: known}}, changes)
	s.RosterFailed(changes[0])
	s.SetWorkers(later, []Worker{known})
	must.False(t, s.workers[known.ID].usable(later))
	must.Eq(t, []RosterChange{{Worker: known, Listed: true}}, s.Plan(later).Roster)
}
