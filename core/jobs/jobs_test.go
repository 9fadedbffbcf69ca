package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func cores(n float64) Resources { return Resources{Processors: n, MemoryMB: n * 1000} }

func workers(n int) []Worker {
	all := make([]Worker, n)
	for i := range all {
		all[i] = Worker{Name: fmt.Sprintf("w%d", i), Capacity: cores(16), AcceptsJobs: true}
	}
	return all
}

func running(job, worker string, size float64) Placement {
	return Placement{Job: job, Worker: worker, Since: start, LeaseEnd: start.Add(time.Minute), Usage: cores(size)}
}

// TestPlanActions compares the actions of one planning step of Learned with the expected ones.
func TestPlanActions(t *testing.T) {
	lostRunOnce := running("once", "w0", 1)
	lostRunOnce.Lost = true
	lostRepeatable := running("many", "w0", 1)
	lostRepeatable.Lost = true
	cases := []struct {
		name     string
		view     View
		now      time.Time
		expected []Action
	}{
		{"starts a job where the least capacity is left", View{
			Workers:    workers(2),
			Jobs:       []Job{{Name: "a", Declared: cores(8)}, {Name: "b", Declared: cores(4)}},
			Placements: []Placement{running("a", "w1", 8)},
		}, start, []Action{{Start, "b", "w1", ReasonPlaced}}},
		{"parks a job that fits on no worker", View{
			Workers: workers(1), Jobs: []Job{{Name: "huge", Declared: Resources{Accelerators: 1}}},
		}, start, []Action{{Park, "huge", "", ReasonTooLarge}}},
		{"tries an oversized job of an unknown class on an empty worker", View{
			Workers: workers(1), Jobs: []Job{{Name: "huge", Declared: cores(17)}},
		}, start, []Action{{Start, "huge", "w0", ReasonPlaced}}},
		{"throttles for an urgent job and starts it at once", View{
			Workers:    workers(1),
			Jobs:       []Job{{Name: "low", Declared: Resources{Processors: 12, MemoryMB: 100}}, {Name: "now", Declared: Resources{Processors: 8, MemoryMB: 100}, Urgent: true}},
			Placements: []Placement{{Job: "low", Worker: "w0", Usage: Resources{Processors: 12, MemoryMB: 100}}},
		}, start, []Action{{Throttle, "low", "w0", ReasonUrgent}, {Start, "now", "w0", ReasonPlaced}}},
		{"never preempts an urgent job", View{
			Workers:    workers(1),
			Jobs:       []Job{{Name: "first", Declared: cores(12), Urgent: true}, {Name: "now", Declared: cores(8), Urgent: true}},
			Placements: []Placement{running("first", "w0", 12)},
		}, start, []Action{{Wait, "now", "", ReasonCapacity}}},
		{"never restarts a lost run-once job", View{
			Workers: workers(2), Jobs: []Job{{Name: "once", Declared: cores(1), RunOnce: true}}, Placements: []Placement{lostRunOnce},
		}, start.Add(time.Hour), []Action{{Park, "once", "w0", ReasonOutcomeUnknown}}},
		{"waits for the lease end of a lost job plus the clock error", View{
			Workers: workers(2), Jobs: []Job{{Name: "many", Declared: cores(1)}}, Placements: []Placement{lostRepeatable}, ClockError: time.Second,
		}, start.Add(time.Minute + time.Second), []Action{{Wait, "many", "w0", ReasonLease}}},
		{"restarts the lost job after that", View{
			Workers: workers(1), Jobs: []Job{{Name: "many", Declared: cores(1)}}, Placements: []Placement{lostRepeatable}, ClockError: time.Second,
		}, start.Add(time.Minute + 2*time.Second), []Action{{Start, "many", "w0", ReasonPlaced}}},
		{"stops a cancelled job and reuses its resources at once", View{
			Workers: workers(1), Jobs: []Job{{Name: "next", Declared: cores(16)}}, Placements: []Placement{running("gone", "w0", 10)},
		}, start, []Action{{Stop, "gone", "w0", ReasonCancelled}, {Start, "next", "w0", ReasonPlaced}}},
		{"checkpoints the jobs of a leaving worker", View{
			Workers:    []Worker{{Name: "w0", Capacity: cores(16)}},
			Jobs:       []Job{{Name: "a", Declared: cores(1)}},
			Placements: []Placement{running("a", "w0", 1)},
		}, start, []Action{{Checkpoint, "a", "w0", ReasonWorkerLeaves}}},
		{"checkpoints a job on an overloaded worker", View{
			Workers:    workers(1),
			Jobs:       []Job{{Name: "a", Declared: cores(1)}},
			Placements: []Placement{running("a", "w0", 15)},
		}, start, []Action{{Checkpoint, "a", "w0", ReasonOverloaded}}},
		{"preempts a job of a team that exceeds its quota", View{
			Workers:    workers(1),
			Jobs:       []Job{{Name: "borrower", Team: "a", Declared: cores(12)}, {Name: "owner", Team: "b", Declared: cores(8)}},
			Placements: []Placement{running("borrower", "w0", 12)},
			Quotas:     map[string]int{"a": 10, "b": 90},
		}, start, []Action{{Checkpoint, "borrower", "w0", ReasonQuota}, {Wait, "owner", "", ReasonCapacity}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.expected, Learned{}.Plan(c.now, c.view, &Evidence{}))
		})
	}
}

// TestBadWorkerIsDistinguishedFromBadJob checks that a job that fails on many good workers does not make these count as bad, and
// that the jobs that fail on a bad worker do not count as bad.
func TestBadWorkerIsDistinguishedFromBadJob(t *testing.T) {
	var e Evidence
	for i := range 5 {
		e.RecordStart(fmt.Sprintf("good%d", i), "w1")
		e.RecordStart(fmt.Sprintf("other%d", i), "w2")
		e.RecordStart(fmt.Sprintf("more%d", i), "w3")
	}
	for i := range 3 {
		e.RecordFailure(fmt.Sprintf("victim%d", i), "w0")
	}
	for _, w := range []string{"w1", "w2", "w3"} {
		e.RecordFailure("poison", w)
	}
	must.True(t, e.BadWorker("w0"))
	must.False(t, e.BadWorker("w1"))
	must.True(t, e.BadJob("poison"))
	must.False(t, e.BadJob("victim0"))
}

func TestSizesAreLearnedInBothDirections(t *testing.T) {
	cases := []struct {
		name     string
		uses     float64
		expected float64
	}{{"declared ten times too large", 1, 1.2}, {"declared ten times too small", 100, 120}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var e Evidence
			j := Job{Name: "j", Class: "c", Declared: cores(10)}
			for range minClassSamples {
				e.RecordUsage(j, cores(c.uses))
			}
			must.Eq(t, c.expected, e.Size(Job{Class: "c", Declared: cores(10)}, Resources{}).Processors)
		})
	}
}

func TestOversizedJobOfAKnownClassIsParked(t *testing.T) {
	var e Evidence
	for range minClassSamples {
		e.RecordUsage(Job{Class: "c", Declared: cores(10)}, cores(10))
	}
	v := View{Workers: workers(1), Jobs: []Job{{Name: "huge", Class: "c", Declared: cores(17)}}}
	must.Eq(t, []Action{{Park, "huge", "", ReasonTooLarge}}, Learned{}.Plan(start, v, &e))
}

func TestMassCancellationTakesOneStep(t *testing.T) {
	v := View{Workers: workers(100)}
	for i := range 10_000 {
		v.Placements = append(v.Placements, running(fmt.Sprintf("j%d", i), fmt.Sprintf("w%d", i%100), 0.1))
	}
	v.Jobs = []Job{{Name: "next", Declared: cores(16)}}
	actions := Learned{}.Plan(start, v, &Evidence{})
	must.Len(t, 10_001, actions)
	must.Eq(t, Start, actions[len(actions)-1].Kind)
}
