package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
)

// simAdvisor simulates the placement advisor, which handles the requests of an owner in turn and issues tickets that the workers check.
type simAdvisor struct {
	queue    string
	permits  func(TaskID, *simWorker) bool
	timing   Advice
	idleAt   map[*simOwner]time.Time // when it has handled the owner's requests
	waiting  map[*simOwner]int
	tickets  map[string]simTicket
	requests int
	rejected int // starts without a valid ticket
	down     bool
	fails    func(TaskID) bool // requests about these stages fail; nil for none
}

// simTicket is what a ticket permits.
type simTicket struct {
	stage     TaskID
	worker    string
	startedAt time.Time
	expires   time.Time
}

// maxWaitingAdvice is the number of an owner's requests that the placement advisor lets wait.
const maxWaitingAdvice = 32

// addAdvisor makes a placement advisor choose the workers of the queue of pool p, with no spare pool to which its machines could go.
func (w *simulation) addAdvisor(timing Advice, permits func(TaskID, *simWorker) bool) *simAdvisor {
	delete(w.config.Pools, "spare")
	return w.adviseQueue("q-p", timing, permits)
}

// adviseQueue makes a placement advisor choose the workers of a queue.
func (w *simulation) adviseQueue(queue string, timing Advice, permits func(TaskID, *simWorker) bool) *simAdvisor {
	w.advisor = &simAdvisor{queue: queue, permits: permits, timing: timing, idleAt: make(map[*simOwner]time.Time), waiting: make(map[*simOwner]int), tickets: make(map[string]simTicket)}
	q := w.config.Queues[queue]
	q.Advice = &timing
	w.setQueue(q)
	return w.advisor
}

// setQueue applies a configuration with the queue.
func (w *simulation) setQueue(q Queue) {
	w.config.Queues[q.Name] = q
	w.config.Version++
	w.owner.state.SetConfig(w.config)
}

// addSpares gives the simulation its spare pool back.
func (w *simulation) addSpares() {
	w.config.Pools["spare"] = Pool{Name: "spare", Spare: true}
	w.config.Version++
	w.owner.state.SetConfig(w.config)
}

// addUrgentQueues makes the advised queue urgent for an hour, and adds a less urgent one without advice to its pool.
func (w *simulation) addUrgentQueues(target time.Duration) {
	urgent := w.config.Queues["q-p"]
	urgent.Target = time.Hour
	w.setQueue(urgent)
	w.setQueue(Queue{Name: "q-other", Pool: "p", Priority: 1, Attempts: 3, Stretch: 1.6, Target: target})
}

// advise handles a request. The time limit of the request includes its wait for earlier ones, and it is handled also if that is over.
func (w *simulation) advise(o *simOwner, a AdviceRequest) {
	v := w.advisor
	if v.waiting[o] > maxWaitingAdvice {
		w.schedule(simLatency, func() { o.state.AdviceFailed(w.now, a) })
		return
	}
	begins := latest(w.now, v.idleAt[o])
	ends := begins.Add(v.timing.duration(len(a.Workers)))
	v.idleAt[o] = ends
	v.waiting[o]++
	v.requests++
	w.schedule(ends.Sub(w.now), func() { v.waiting[o]-- })
	if v.fails != nil && v.fails(a.Stage) {
		w.schedule(ends.Sub(w.now), func() { o.state.AdviceFailed(w.now, a) })
		return
	}
	if v.down || ends.Sub(w.now) > a.Timeout {
		w.schedule(a.Timeout, func() { o.state.AdviceFailed(w.now, a) })
		return
	}
	w.schedule(ends.Sub(w.now), func() {
		r := AdviceResult{Tickets: make(map[string]string), ValidFor: v.timing.Valid}
		for _, id := range a.Workers {
			if x := w.find(id); x != nil && !x.down && v.permits(a.Stage, x) {
				text := fmt.Sprint(a.Stage, " ", id, " ", len(v.tickets))
				v.tickets[text] = simTicket{a.Stage, id, x.StartedAt, w.now.Add(v.timing.Valid)}
				r.Tickets[id] = text
			}
		}
		w.log("advisor: asked about %d workers for %s, %d may run it", len(a.Workers), a.Stage, len(r.Tickets))
		o.state.AdviceAnswered(w.now, a, r)
	})
}

// ticketValid reports whether a start carries a valid ticket, if its queue needs one.
func (w *simulation) ticketValid(x *simWorker, s Start) bool {
	if w.advisor == nil || w.jobs[s.Task.Job].Queue != w.advisor.queue {
		return true
	}
	stage := s.Task
	stage.Index = 0
	k := w.advisor.tickets[s.Ticket]
	valid := k.stage == stage && k.worker == x.ID && k.startedAt.Equal(x.StartedAt) && w.now.Before(k.expires)
	if !valid {
		w.advisor.rejected++
	}
	return valid
}

// onMachines permits the workers on the machines with these names.
func onMachines(names ...string) func(TaskID, *simWorker) bool {
	return func(_ TaskID, x *simWorker) bool { return strings.Contains(strings.Join(names, " "), machineOf(x)) }
}

// usualAdvice takes 200 ms for a request about 30 workers.
var usualAdvice = Advice{PerCall: 50 * time.Millisecond, PerWorker: 5 * time.Millisecond, Valid: 3 * time.Second}

// awaitRuns runs the simulation until a number of tasks of a job run, at most for a time, and fails the test if they never do.
func (w *simulation) awaitRuns(job string, tasks int, most time.Duration) {
	w.t.Helper()
	for end := w.now.Add(most); w.runningTasks(job) < tasks; w.run(simStep) {
		if w.now.After(end) {
			w.t.Fatalf("%d tasks of %s run after %s, want %d\n%s", w.runningTasks(job), job, most, tasks, strings.Join(w.trace, "\n"))
		}
	}
}

// alone returns a batch job of whose tasks a worker runs one at a time.
func alone(id string, count int) Job {
	j := batch(id, "p", count, 1000, 1)
	j.Steps[0].MaxPerWorker = 1
	return j
}

// TestAdvisedStepStarts guards against LOST: a step with advice never ran where the policy permits none of the first workers that were asked about.
func TestAdvisedStepStarts(t *testing.T) {
	gang := alone("j", 4)
	gang.Steps[0].Gang = true
	wideGang := alone("j", 40)
	wideGang.Steps[0].Gang = true
	labelled := batch("j", "p", 1, 1000, 1)
	labelled.Steps[0].RequiredLabel = "b"
	slow := Advice{PerCall: 100 * time.Millisecond, PerWorker: 80 * time.Millisecond, Valid: 3 * time.Second}
	cases := []struct {
		name     string
		workers  int
		timing   Advice
		permits  func(TaskID, *simWorker) bool
		job      Job
		requests int // most that it may take
		within   time.Duration
	}{
		{"the last by id", 36, usualAdvice, onMachines("m32", "m33", "m34", "m35"), batch("j", "p", 1, 1000, 1), 2, time.Second},
		{"one of many", 85, usualAdvice, onMachines("m84"), batch("j", "p", 1, 1000, 1), 3, time.Second},
		{"too few of the first for the step", 36, usualAdvice, onMachines("m00", "m01", "m34", "m35"), alone("j", 4), 2, time.Second},
		{"too few of the first for the gang", 36, usualAdvice, onMachines("m00", "m10", "m31", "m35"), gang, 2, time.Second},
		{"a gang of more workers than a request names", 60, usualAdvice, func(TaskID, *simWorker) bool { return true }, wideGang, 3, time.Second},
		{"a gang on workers that are found after the first tickets expire", 60, slow, onMachines("m00", "m20", "m40", "m59"), gang, 9, 8 * time.Second},
		{"only those with the label", 40, usualAdvice, onMachines("m39"), labelled, 1, time.Second},
		{"an answer that takes over a second", 12, slow, onMachines("m11"), batch("j", "p", 1, 1000, 1), 1, 2 * time.Second},
		{"each worker takes long", 12, Advice{PerCall: 100 * time.Millisecond, PerWorker: 2 * time.Second, Valid: 3 * time.Second}, onMachines("m11"), batch("j", "p", 1, 1000, 1), 12, 30 * time.Second},
		{"a request takes longer than tickets are valid", 12, Advice{PerCall: 7 * time.Second, PerWorker: time.Millisecond, Valid: 3 * time.Second}, onMachines("m11"), alone("j", 1), 1, 8 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 1, map[string]int{"p": c.workers})
			for _, x := range w.workers[c.workers-2:] {
				x.Labels = append(x.Labels, "b")
			}
			w.runTime = func(TaskID) time.Duration { return time.Minute }
			a := w.addAdvisor(c.timing, c.permits)
			w.run(settleTime)
			w.submit(c.job)
			w.awaitRuns("j", c.job.Steps[0].Count, c.within)
			must.LessEq(t, c.requests, a.requests)
			must.Zero(t, a.rejected)
		})
	}
}

// TestAdviceIsRemembered guards against requests without end about workers that the policy does not permit.
func TestAdviceIsRemembered(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 36})
	w.runTime = func(TaskID) time.Duration { return time.Minute }
	a := w.addAdvisor(usualAdvice, onMachines("m00"))
	w.run(settleTime)
	w.submit(batch("first", "p", 1, 1000, 1))
	w.awaitRuns("first", 1, time.Second)
	must.Eq(t, 1, a.requests)
	a.permits = func(TaskID, *simWorker) bool { return false }
	w.submit(batch("j", "p", 1, 1000, 1))
	w.run(20 * time.Second)
	must.Eq(t, 3, a.requests)
	a.permits = onMachines("m36")
	w.pools["m36"] = "p"
	w.addWorker("m36")
	w.awaitRuns("j", 1, 2*time.Second) // a worker that is new is asked about
	must.Eq(t, 4, a.requests)
}

// TestAdviceForManySteps guards against LOST: of steps submitted at once most were never advised, since the time limit of a request counts its wait.
func TestAdviceForManySteps(t *testing.T) {
	const jobs = 60
	cases := []struct {
		name   string
		within time.Duration
		permit func(TaskID, *simWorker) bool
	}{
		{"all workers", 5 * time.Second, func(TaskID, *simWorker) bool { return true }},
		{"the last workers", 6 * time.Second, onMachines("m32", "m33", "m34", "m35")},
		{"one worker", 5 * time.Second, onMachines("m35")},
		{"others for each job", 7 * time.Second, func(stage TaskID, x *simWorker) bool { return xxhash.Sum64String(stage.Job+x.ID)%4 == 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 1, map[string]int{"p": 36})
			w.runTime = func(TaskID) time.Duration { return time.Minute }
			a := w.addAdvisor(usualAdvice, c.permit)
			w.run(settleTime)
			for i := range jobs {
				j := batch(fmt.Sprint("j", i), "p", 1, 200, 1)
				j.Steps[0].Size.MemoryMB = 100
				w.submit(j)
			}
			w.run(c.within)
			running := 0
			for i := range jobs {
				running += w.runningTasks(fmt.Sprint("j", i))
			}
			must.Eq(t, jobs, running, must.Sprint(a.requests, " requests"))
			must.Zero(t, a.rejected)
		})
	}
}

// TestUrgentStepIsAdvisedFirst guards against an urgent step that waits behind the requests of all others.
func TestUrgentStepIsAdvisedFirst(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 36})
	w.runTime = func(TaskID) time.Duration { return time.Minute }
	w.addAdvisor(usualAdvice, func(TaskID, *simWorker) bool { return true })
	w.run(settleTime)
	for i := range 40 {
		w.submit(batch(fmt.Sprint("j", i), "p", 1, 900, 1))
	}
	w.run(100 * time.Millisecond)
	w.submit(longRunningJob("service", "p", 1))
	w.awaitRuns("service", 1, time.Second)
}

// TestAdviceBeyondTheTicketsHeld guards against LOST: a step that held a valid ticket for some worker asked about no others.
func TestAdviceBeyondTheTicketsHeld(t *testing.T) {
	cases := []struct {
		name  string
		job   Job
		until func(*simulation) // the worker of the first ticket can't take the job's tasks any more
	}{
		{"it is full", alone("j", 2), func(*simulation) {}},
		{"it is lost for good", longRunningJob("j", "p", 1), func(w *simulation) {
			delete(w.pools, "m00")
			w.crash(w.byID["m00-1"])
		}},
		{"it is cut off", longRunningJob("j", "p", 1), func(w *simulation) { w.byID["m00-1"].unreachable = true }},
		{"it drains", longRunningJob("j", "p", 1), func(w *simulation) { w.byID["m00-1"].Draining = true }},
		{"it is chosen for maintenance", longRunningJob("j", "p", 1), func(w *simulation) {
			w.maxDown[1] = 1
			w.owner.state.AddWave(w.now, Wave{Number: 1, TimeLimit: time.Minute, MaxDown: 1, Machines: []string{"m00"}})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 1, map[string]int{"p": 36})
			w.runTime = func(TaskID) time.Duration { return time.Minute }
			w.addAdvisor(usualAdvice, onMachines("m00", "m35"))
			w.run(settleTime)
			w.submit(c.job)
			w.awaitRuns("j", 1, time.Second)
			c.until(w)
			w.run(lostAfter)
			must.Eq(t, c.job.Steps[0].Count, w.runningTasks("j"), must.Sprint(strings.Join(w.trace, "\n")))
		})
	}
}

// TestRejectedTicketIsNotUsedAgain guards against LOST: a start with the ticket of a worker's earlier life was ordered again and again.
func TestRejectedTicketIsNotUsedAgain(t *testing.T) {
	cases := []struct {
		name     string
		spoil    func(*simulation, *simWorker)
		rejected int // most starts that may be rejected
	}{
		{"the worker has a new life", func(w *simulation, x *simWorker) { w.restartUnderID(x) }, 1},
		{"the worker knows no ticket for a while", func(w *simulation, _ *simWorker) {
			for end := w.now.Add(4 * time.Second); w.now.Before(end); w.run(simStep) {
				clear(w.advisor.tickets)
			}
		}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 1, map[string]int{"p": 4})
			w.runTime = func(TaskID) time.Duration { return 500 * time.Millisecond }
			timing := usualAdvice
			timing.Valid = 30 * time.Second
			a := w.addAdvisor(timing, onMachines("m02"))
			w.run(settleTime)
			w.submit(alone("j", 3))
			w.awaitRuns("j", 1, time.Second)
			c.spoil(w, w.byID["m02-3"])
			w.run(lostAfter)
			must.Eq(t, Completed, w.stored["j"].State, must.Sprint(strings.Join(w.trace, "\n")))
			must.LessEq(t, c.rejected, a.rejected)
		})
	}
}

// TestSpreadStepWithAdviceReturns guards against LOST: a long-running task waited for ever, since the tickets for workers with tasks of its step had expired.
func TestSpreadStepWithAdviceReturns(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 4})
	w.addAdvisor(usualAdvice, func(TaskID, *simWorker) bool { return true })
	w.run(settleTime)
	w.submit(spreadJob(4))
	w.run(2 * usualAdvice.Valid)
	must.Eq(t, 4, w.runningTasks("l"))
	delete(w.pools, "m01")
	w.crash(w.byID["m01-2"])
	w.run(lostAfter)
	must.Eq(t, 4, w.runningTasks("l"))
}

// TestAdviceUnderChangesOfOwner guards against LOST: a new owner knows nothing of what an earlier one was told.
func TestAdviceUnderChangesOfOwner(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 70})
	w.runTime = func(TaskID) time.Duration { return time.Minute }
	w.addAdvisor(usualAdvice, onMachines("m69"))
	w.run(settleTime)
	w.submit(batch("j", "p", 1, 1000, 1))
	for range 3 {
		w.run(300 * time.Millisecond)
		w.changeOwner()
	}
	w.awaitRuns("j", 1, lostAfter)
}

// TestAdviceAfterAnOutage guards against LOST: a step is not advised once the placement advisor answers again.
func TestAdviceAfterAnOutage(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 36})
	w.runTime = func(TaskID) time.Duration { return time.Minute }
	a := w.addAdvisor(usualAdvice, onMachines("m35"))
	w.run(settleTime)
	a.down = true
	w.submit(batch("j", "p", 1, 1000, 1))
	w.run(20 * time.Second)
	must.Less(t, 15, a.requests) // they must not keep the advisor busy for long after it
	a.down = false
	w.awaitRuns("j", 1, lostAfter)
}

// TestAdvisedStepGetsRoomOnABusyWorker guards against LOST: the only worker that the policy permits had room for moments, in which the step had no ticket.
func TestAdvisedStepGetsRoomOnABusyWorker(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 2})
	w.runTime = func(id TaskID) time.Duration {
		if id.Job == "j" {
			return time.Minute
		}
		return 4500 * time.Millisecond
	}
	w.addAdvisor(usualAdvice, onMachines("m01"))
	w.addUrgentQueues(600 * time.Millisecond)
	w.run(settleTime)
	others := 0
	w.repeat(100*time.Millisecond, func() {
		j := batch(fmt.Sprint("other", others), "p", 1, 16000, 1)
		j.Queue = "q-other"
		others++
		if others < 300 {
			w.submit(j)
		}
	})
	w.run(time.Second)
	w.submit(batch("j", "p", 1, 16000, 1))
	w.awaitRuns("j", 1, 20*time.Second)
}

// TestSuspectWithAdviceRunsAlone guards against LOST: a task that is to run alone got no worker of its own, since all were full whenever it had a ticket.
func TestSuspectWithAdviceRunsAlone(t *testing.T) {
	for _, j := range []Job{batch("j", "p", 1, 16000, 1), longRunningJob("j", "p", 1)} {
		w := newSimulation(t, 1, map[string]int{"p": 4})
		w.runTime = func(id TaskID) time.Duration {
			if id.Job == "j" {
				return 2 * time.Second
			}
			return 7 * time.Second
		}
		w.addAdvisor(usualAdvice, onMachines("m02", "m03"))
		w.addUrgentQueues(time.Hour)
		w.run(settleTime)
		w.submit(j)
		w.crashUnder(TaskID{Job: "j"}, isolationCrashes)
		for i := range 60 {
			other := batch(fmt.Sprint("other", i), "p", 1, 16000, 1)
			other.Queue = "q-other"
			w.submit(other)
		}
		must.True(t, w.awaitRun(TaskID{Job: "j"}, 2*lostAfter), must.Sprint(strings.Join(w.trace, "\n")))
	}
}

// TestAvoidedWorkersWaitForAdvice guards against a job that fails: its task was started again where it had failed, since the ticket there was valid.
func TestAvoidedWorkersWaitForAdvice(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 36})
	w.addAdvisor(usualAdvice, onMachines("m00", "m35"))
	w.byID["m00-1"].failing = true
	w.run(settleTime)
	w.submit(batch("j", "p", 1, 1000, 1))
	w.run(lostAfter)
	must.Eq(t, Completed, w.stored["j"].State, must.Sprint(strings.Join(w.trace, "\n")))
}

// TestWaveEmptiesCrowdedWorkersWithAdvice guards against a wave that never ends: a crowded worker was not emptied without valid tickets for others.
func TestWaveEmptiesCrowdedWorkersWithAdvice(t *testing.T) {
	for _, newOwner := range []bool{false, true} {
		w := newSimulation(t, 1, map[string]int{"p": 2})
		w.addAdvisor(usualAdvice, func(TaskID, *simWorker) bool { return true })
		w.run(settleTime)
		w.submit(spreadJob(4))
		w.run(2 * spreadWait)
		must.Eq(t, 4, w.runningTasks("l"))
		if newOwner {
			w.changeOwner()
			w.run(2 * spreadWait)
		}
		wave := Wave{Number: 1, TimeLimit: time.Minute, MaxDown: 1, Machines: []string{"m00"}}
		w.maxDown[1] = wave.MaxDown
		w.owner.state.AddWave(w.now, wave)
		for end := w.now.Add(wave.TimeLimit); !w.waves[1].Completed && w.now.Before(end); {
			w.run(time.Second)
		}
		must.True(t, w.waves[1].Completed, must.Sprint(strings.Join(w.trace, "\n")))
		w.run(2 * spreadWait)
		must.Eq(t, 4, w.runningTasks("l"))
	}
}

// TestFailedRequestsHoldNoOthersUp guards against LOST: the requests about an urgent step always fail, and no other step is asked about.
func TestFailedRequestsHoldNoOthersUp(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 36})
	w.runTime = func(TaskID) time.Duration { return time.Minute }
	a := w.addAdvisor(usualAdvice, func(TaskID, *simWorker) bool { return true })
	a.fails = func(stage TaskID) bool { return stage.Job == "urgent" }
	w.run(settleTime)
	w.submit(longRunningJob("urgent", "p", 1))
	for i := range 10 {
		w.submit(batch(fmt.Sprint("j", i), "p", 1, 900, 1))
	}
	w.run(lostAfter)
	for i := range 10 {
		must.Eq(t, 1, w.runningTasks(fmt.Sprint("j", i)))
	}
	a.fails = nil
	w.awaitRuns("urgent", 1, lostAfter)
}

// TestPoolGrowsForAdvisedStep guards against LOST: a pool had machines enough, but the policy permits none of them, or too few for a gang.
func TestPoolGrowsForAdvisedStep(t *testing.T) {
	gang := alone("j", 2)
	gang.Steps[0].Gang = true
	for _, j := range []Job{alone("j", 1), gang, longRunningJob("j", "p", 2)} {
		w := newSimulation(t, 1, map[string]int{"p": 3, "spare": 5})
		w.runTime = func(TaskID) time.Duration { return time.Minute }
		w.addAdvisor(usualAdvice, onMachines("m02", "m07"))
		w.addSpares()
		w.run(settleTime)
		w.submit(batch("first", "p", 1, 1000, 1))
		w.run(4 * time.Second)
		w.submit(j)
		w.awaitRuns("j", j.Steps[0].Count, 40*time.Second)
	}
}

// occupy runs a service on the worker that leaves so much of its processors, in thousandths.
func (w *simulation) occupy(x *simWorker, left int) {
	x.Labels = append(x.Labels, "occupied")
	w.listWorkers(w.owner)
	w.setQueue(Queue{Name: "q-services", Pool: x.Pool})
	w.submit(Job{ID: "service", Queue: "q-services", Steps: []Step{{Count: 1, Size: Size{Processors: x.Capacity.Processors - left}, LongRunning: true, RequiredLabel: "occupied"}}})
	w.run(100 * time.Millisecond)
}

// TestPoolGrowsBesideServices guards against LOST: the policy permits only a worker whose room a long-running task takes.
func TestPoolGrowsBesideServices(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 3, "spare": 5})
	w.addAdvisor(usualAdvice, onMachines("m02", "m07"))
	w.addSpares()
	w.run(settleTime)
	w.occupy(w.byID["m02-3"], 1000)
	w.submit(batch("j", "p", 1, 2000, 1))
	w.awaitRuns("j", 1, 40*time.Second)
}

// TestPoolDoesNotGrowForEver guards against a pool that holds all machines for a step that the policy permits nowhere.
func TestPoolDoesNotGrowForEver(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 3, "spare": 9})
	w.addAdvisor(usualAdvice, onMachines())
	w.addSpares()
	w.run(settleTime)
	w.submit(batch("j", "p", 1, 2000, 1))
	w.run(maxGrowthTime)
	must.Eq(t, 12, w.owner.state.demands["p"].machines)
	w.run(maxGrowthTime / 2)
	must.Eq(t, 1, w.owner.state.demands["p"].machines)
}

// TestAdvisedTaskIsSpread guards against AVAIL: a task was placed on the busiest worker, with two of its step, as the advisor was asked about that one first.
func TestAdvisedTaskIsSpread(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 3})
	w.addAdvisor(usualAdvice, func(TaskID, *simWorker) bool { return true })
	w.run(settleTime)
	w.occupy(w.byID["m00-1"], 8000)
	w.submit(spreadJob(4))
	w.run(2 * spreadWait)
	delete(w.pools, "m02")
	w.crash(w.byID["m02-3"])
	w.run(lostAfter)
	must.Eq(t, 4, w.runningTasks("l"))
	perWorker := make(map[string]int)
	for _, x := range w.runsOf("l") {
		perWorker[x.ID]++
	}
	must.Eq(t, map[string]int{"m00-1": 2, "m01-2": 2}, perWorker)
}

// TestWaveStopsNoTaskInVain guards against AVAIL: a task was stopped for a wave on a worker that can't be emptied, since another step has no room elsewhere.
func TestWaveStopsNoTaskInVain(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 2})
	w.workers[0].Labels = append(w.workers[0].Labels, "b")
	w.run(settleTime)
	w.submit(spreadJob(4))
	only := spreadJob(2)
	only.ID, only.Steps[0].RequiredLabel = "only", "b"
	w.submit(only)
	w.run(2 * spreadWait)
	starts := 0
	for _, n := range w.starts {
		starts += n
	}
	w.maxDown[1] = 1
	w.owner.state.AddWave(w.now, Wave{Number: 1, TimeLimit: time.Minute, MaxDown: 1, Machines: []string{"m00"}})
	w.run(30 * time.Second)
	for _, n := range w.starts {
		starts -= n
	}
	must.Zero(t, starts)
}

// TestSlowQueueHoldsNoOthersUp guards against a configuration by which the advisor takes hours for a queue: its requests, which get no answer, held up those of others.
func TestSlowQueueHoldsNoOthersUp(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 4})
	a := w.addAdvisor(usualAdvice, func(TaskID, *simWorker) bool { return true })
	a.timing.PerCall = time.Hour
	q := w.config.Queues["q-p"]
	q.Priority, q.Name, q.Advice = -1, "q-slow", &Advice{PerCall: 3 * time.Hour, Valid: time.Second}
	w.setQueue(q)
	w.run(settleTime)
	slow := batch("slow", "p", 1, 900, 1)
	slow.Queue = "q-slow"
	w.submit(slow)
	w.run(time.Second)
	a.timing, a.idleAt[w.owner] = usualAdvice, w.now
	w.submit(batch("j", "p", 1, 900, 1))
	w.awaitRuns("j", 1, 3*maxAdviceDuration)
}
