package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestJobRunsItsStepsInOrder(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 3})
	w.run(time.Second)
	w.submit(batch("a", "p", 6, 900, 3))
	w.run(4 * time.Second)
	state, known := w.owner.state.JobState("a")
	must.True(t, known)
	must.Eq(t, Completed, state)
	must.Eq(t, 18, len(w.done))
	must.Eq(t, Completed, w.stored["a"].State)
}

// TestSilentWorkerLeaseExpires guards against renewing the leases on a worker that does not answer: the long-running
// tasks of a rack that became unreachable were never placed again.
func TestSilentWorkerLeaseExpires(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 6})
	w.run(time.Second)
	w.submit(longRunningJob("a", "p", 4))
	w.run(2 * time.Second)
	must.Eq(t, 4, w.runningTasks("a"))
	for id := range w.jobs {
		must.Eq(t, "a", id)
	}
	for _, x := range w.workers {
		if len(x.runs) > 0 {
			x.unreachable = true
			break
		}
	}
	w.run(8 * time.Second)
	must.Eq(t, 4, w.runningTasks("a"))
}

// TestUnconfirmedOwnerKeepsRuns guards against an owner that is cut off from the store together with its zone: it took
// the leases on the other workers for expired, and restarted tasks whose leases its successor had renewed.
func TestUnconfirmedOwnerKeepsRuns(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 8})
	w.run(time.Second)
	w.submit(longRunningJob("a", "p", 6))
	w.run(2 * time.Second)
	old := w.owner
	old.storeDown = true
	near := func(x *simWorker) bool { return machineOf(x) < "m03" }
	old.reaches = near
	w.run(2500 * time.Millisecond)
	w.others = append(w.others, old)
	w.owner = w.newOwner(2)
	w.owner.reaches = func(x *simWorker) bool { return !near(x) }
	w.run(6 * time.Second)
	must.Eq(t, 6, w.runningTasks("a"))
}

// TestSuccessorRestoresRosterWorkers guards against running tasks twice when unreachable workers that still run tasks
// have vanished from the platform's worker list before a successor begins.
func TestSuccessorRestoresRosterWorkers(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 9})
	w.run(time.Second)
	w.submit(longRunningJob("a", "p", 6))
	w.run(2 * time.Second)
	w.owner.ended = true
	for _, x := range w.workers[:3] {
		x.unreachable = true
	}
	w.owner = w.newOwner(2)
	w.run(15 * time.Second)
	must.Eq(t, 6, w.runningTasks("a"))
}

func TestLateStartsRunOnce(t *testing.T) {
	for seed := range uint64(8) {
		w := newSimulation(t, seed, map[string]int{"p": 4})
		w.run(time.Second)
		for _, x := range w.workers {
			x.lateAnswers = true
		}
		for i := range 10 {
			w.submit(batch(fmt.Sprint("a", i), "p", 4, 900, 2))
			w.run(200 * time.Millisecond)
		}
		w.run(6 * time.Second)
		for _, x := range w.workers {
			x.lateAnswers = false
		}
		w.run(20 * time.Second)
		for id := range w.jobs {
			state, _ := w.owner.state.JobState(id)
			must.Eq(t, Completed, state, must.Sprintf("seed %d job %s", seed, id))
		}
	}
}

func TestWaveLimitsUnavailableTasks(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 8, "spare": 2})
	w.run(time.Second)
	w.submit(longRunningJob("a", "p", 5))
	w.submit(longRunningJob("b", "p", 5))
	w.run(2 * time.Second)
	wave := Wave{Number: 1, TimeLimit: 27 * time.Second, MaxDown: 4}
	for name := range w.pools {
		wave.Machines = append(wave.Machines, name)
	}
	w.owner.state.AddWave(w.now, wave)
	began := w.now
	for !w.waves[1].Completed && w.now.Sub(began) < wave.TimeLimit {
		w.submit(batch(fmt.Sprint("c", w.now.UnixNano()), "p", 3, 900, 1))
		w.run(300 * time.Millisecond)
	}
	must.True(t, w.waves[1].Completed)
	w.run(3 * time.Second)
	must.Eq(t, 5, w.runningTasks("a"))
}

// TestSuccessorCountsUnavailableMachines guards against exceeding a wave's limit of machines that are down: the store
// had lost the wave's status, and the successor took the full number down again (seen with seed 824419861950).
func TestSuccessorCountsUnavailableMachines(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 8, "spare": 6})
	w.run(time.Second)
	wave := Wave{Number: 1, TimeLimit: 20 * time.Second, MaxDown: 3}
	for name := range w.pools {
		wave.Machines = append(wave.Machines, name)
	}
	w.maxDown[1] = wave.MaxDown
	w.owner.state.AddWave(w.now, wave)
	w.run(100 * time.Millisecond)
	must.MapLen(t, 3, w.unavailableUntil)
	w.owner.ended = true
	clear(w.waves)
	w.owner = w.newOwner(2)
	w.owner.state.AddWave(w.now, wave)
	w.run(20 * time.Second)
	must.True(t, w.waves[1].Completed)
}

// TestTwoWavesOverTheSameMachines guards against mixing up the orders of two waves: when one wave's order for a machine
// was refused, the machine counted as up although the other wave's order had taken it down, and its long-running
// tasks no longer counted as unavailable.
func TestTwoWavesOverTheSameMachines(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 7})
	w.run(time.Second)
	w.submit(longRunningJob("a", "p", 5))
	w.run(time.Second)
	for n := range int64(2) {
		wave := Wave{Number: n + 1, TimeLimit: 27 * time.Second, MaxDown: 4}
		for name := range w.pools {
			wave.Machines = append(wave.Machines, name)
		}
		w.owner.state.AddWave(w.now, wave)
	}
	w.run(27 * time.Second)
	must.True(t, w.waves[1].Completed)
	must.True(t, w.waves[2].Completed)
}

// TestMaintenanceAlreadyDone guards against taking a machine's runs for ended when the answer says that the order was
// executed, but that was under an earlier owner and the machine is up again.
func TestMaintenanceAlreadyDone(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 8})
	w.run(time.Second)
	w.submit(longRunningJob("a", "p", 5))
	w.run(time.Second)
	wave := Wave{Number: 1, TimeLimit: 27 * time.Second, MaxDown: 4}
	for name := range w.pools {
		wave.Machines = append(wave.Machines, name)
		w.maintained[waveOrder{1, name}] = true
	}
	w.owner.state.AddWave(w.now, wave)
	w.run(wave.TimeLimit)
	must.True(t, w.waves[1].Completed)
	must.Eq(t, 5, w.runningTasks("a"))
}

// TestWaveTimeSurvivesOwnerChange guards against a late end of a wave: a successor counted the wave's time limit from
// its own start.
func TestWaveTimeSurvivesOwnerChange(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 8})
	w.run(time.Second)
	wave := Wave{Number: 1, TimeLimit: 20 * time.Second, MaxDown: 1, Machines: []string{"m00", "m01", "m02", "m03"}}
	w.owner.state.AddWave(w.now, wave)
	asked := w.now
	w.run(2 * time.Second)
	w.owner.ended = true
	w.now = w.now.Add(3 * time.Second)
	w.owner = w.newOwner(2)
	w.owner.state.AddWave(w.now, wave)
	must.True(t, asked.Equal(w.owner.state.waves[1].requestedAt))
}

func TestSuccessorCompletesWave(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 8})
	w.run(time.Second)
	w.submit(longRunningJob("a", "p", 5))
	w.run(time.Second)
	wave := Wave{Number: 1, TimeLimit: 27 * time.Second, MaxDown: 4, Machines: []string{"m00", "m01", "m02", "m03", "m04"}}
	w.owner.state.AddWave(w.now, wave)
	w.run(4 * time.Second)
	w.owner.ended = true
	w.owner = w.newOwner(2)
	w.owner.state.AddWave(w.now, wave)
	w.run(20 * time.Second)
	must.True(t, w.waves[1].Completed)
}

// TestPoolSizingFollowsBurst checks that machines move to a pool whose demand exceeds its capacity while the other pool
// is idle, so that most jobs end within their objective, and that unused machines go to the spare pool afterwards.
func TestPoolSizingFollowsBurst(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 4, "q": 6, "spare": 4})
	w.run(time.Second)
	w.submit(batch("first", "q", 1, 900, 1))
	sent := make(map[string]time.Time)
	for i := range 240 { // 8 s of 30 jobs a second with 4.3 core-seconds each: twice the pool's capacity
		id := fmt.Sprint("a", i)
		w.submit(batch(id, "p", 6, 900, 1))
		sent[id] = w.now
		w.run(30 * time.Millisecond)
	}
	w.run(10 * time.Second)
	inTime := 0
	for id, at := range sent {
		last := at
		for i := range 6 {
			last = maxTime(last, w.done[TaskID{id, 0, 0, i}])
		}
		if last.Sub(at) < 600*time.Millisecond+1280*time.Millisecond {
			inTime++
		}
	}
	t.Logf("%d of %d jobs in time, %d moves", inTime, len(sent), w.moveCount)
	must.Greater(t, 200, inTime)
	spare := 0
	for _, pool := range w.pools {
		if pool == "spare" {
			spare++
		}
	}
	must.Eq(t, 12, spare)
}

// TestPoolSizingAfterCompletedWave guards against a successor that counts the machines of a completed wave as down and
// does not move them.
func TestPoolSizingAfterCompletedWave(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 2, "q": 6})
	w.waves[1] = WaveStatus{Wave: 1, Completed: true, Begun: []string{"m02", "m03", "m04", "m05", "m06", "m07"}}
	w.owner = w.newOwner(2)
	w.owner.state.AddWave(w.now, Wave{Number: 1, TimeLimit: 20 * time.Second, MaxDown: 3, Machines: w.waves[1].Begun})
	for i := range 100 {
		w.submit(batch(fmt.Sprint("a", i), "p", 6, 900, 1))
		w.run(30 * time.Millisecond)
	}
	w.run(2 * time.Second)
	must.Greater(t, 1, w.moveCount)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func TestFaultyWorkerDoesNotUseUpAttempts(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 4})
	w.run(time.Second)
	w.workers[0].failing = true
	for i := range 20 {
		w.submit(batch(fmt.Sprint("a", i), "p", 4, 900, 1))
		w.run(100 * time.Millisecond)
	}
	w.run(4 * time.Second)
	for id := range w.jobs {
		state, _ := w.owner.state.JobState(id)
		must.Eq(t, Completed, state)
	}
}

func TestCancelledJobStops(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 4})
	w.run(time.Second)
	w.submit(longRunningJob("a", "p", 3))
	w.run(time.Second)
	must.True(t, w.owner.state.Cancel(w.now, "a"))
	w.run(time.Second)
	must.Eq(t, 0, w.runningTasks("a"))
	must.Eq(t, Cancelled, w.stored["a"].State)
	must.False(t, w.owner.state.Cancel(w.now, "unknown"))
}

// TestRandomHistories checks the simulated workers' invariants, and that all jobs complete, under random network cuts,
// late orders, owner changes, store outages and maintenance waves.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { randomHistory(t, r, nil) })
}

// TestRandomHistoriesWithUnreadJobs: new owners read each job up to two seconds after they began, and jobs are cancelled.
func TestRandomHistoriesWithUnreadJobs(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		delays := rapid.SliceOfN(rapid.IntRange(0, 2000), 8, 8).Draw(r, "delays")
		randomHistory(t, r, func(id string) time.Duration {
			return time.Duration(delays[int(id[len(id)-1])%len(delays)]) * time.Millisecond
		})
	})
}

// randomHistory plays random jobs and faults and checks that every job ends. With readDelay, new owners read jobs after that time,
// and some jobs are cancelled.
func randomHistory(t *testing.T, r *rapid.T, readDelay func(id string) time.Duration) {
	w := newSimulation(t, rapid.Uint64().Draw(r, "seed"), map[string]int{"p": 5, "q": 4, "spare": 2})
	w.readDelay = readDelay
	w.run(time.Second)
	w.submit(longRunningJob("l", "p", 4))
	token := uint64(1)
	for i := range 24 {
		w.submit(batch(fmt.Sprint("a", i), rapid.SampledFrom([]string{"p", "q"}).Draw(r, "pool"), 1+i%5, 700+100*(i%7), 1+i%3))
		x := w.workers[rapid.IntRange(0, len(w.workers)-1).Draw(r, "worker")]
		switch rapid.IntRange(0, 10).Draw(r, "event") {
		case 0:
			x.unreachable = true
			w.schedule(5*time.Second, func() { x.unreachable = false })
		case 1:
			x.lateAnswers = true
			w.schedule(3*time.Second, func() { x.lateAnswers = false })
		case 2:
			token++
			w.owner.ended = true
			w.owner = w.newOwner(token)
		case 3:
			w.owner.storeDown = true
			o := w.owner
			w.schedule(3*time.Second, func() { o.storeDown = false })
		case 4:
			token++
			o := w.owner
			o.storeDown = true
			w.others = append(w.others, o)
			w.schedule(5*time.Second, func() { o.ended = true })
			w.owner = w.newOwner(token)
		case 5:
			w.maxDown[int64(i+1)] = 2
			w.owner.state.AddWave(w.now, Wave{Number: int64(i + 1), TimeLimit: 20 * time.Second, MaxDown: 2, Machines: []string{"m01", "m03", "m06", "m07"}})
		case 6:
			x.lostAnswers = true
			w.schedule(3*time.Second, func() { x.lostAnswers = false })
		}
		w.run(time.Duration(rapid.IntRange(50, 700).Draw(r, "gap")) * time.Millisecond)
		if readDelay != nil && i > 0 && rapid.IntRange(0, 4).Draw(r, "cancel") == 0 {
			w.cancel(fmt.Sprint("a", rapid.IntRange(0, i-1).Draw(r, "cancelled")))
		}
	}
	w.run(25 * time.Second)
	for id := range w.jobs {
		if state, _ := w.owner.state.JobState(id); id != "l" && state != Completed && !(state == Cancelled && w.cancelled[id]) {
			t.Fatalf("job %s is %s\n%s", id, state, w.owner.state.dump(id))
		}
	}
	must.Eq(t, 4, w.runningTasks("l"))
}
