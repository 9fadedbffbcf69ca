package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestUnchooseEndsTheChoiceOfAllWaves guards against a wave that goes on emptying a machine that another one has given up.
func TestUnchooseEndsTheChoiceOfAllWaves(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New(now, 1, simSettings)
	s.addWorker(Worker{ID: "w", Pool: "a"}).cordoned = true
	s.machines["m"] = Machine{Name: "m", Pool: "a", Up: true, Worker: "w"}
	var chosen []*waveMachine
	for number := range int64(3) {
		s.AddWave(now, Wave{Number: number, Machines: []string{"m", "other"}})
		for _, m := range s.waves[number].members {
			m.chosenAt, m.heldSince, m.emptying = now, now, true
			chosen = append(chosen, m)
		}
	}
	s.unchoose(now, s.waves[0], s.waves[0].members[0])
	must.False(t, s.workers["w"].cordoned)
	for _, m := range chosen {
		must.Eq(t, m.machine == "m", m.chosenAt.IsZero(), must.Sprint(m.machine))
		must.Eq(t, m.machine == "m", m.heldSince.IsZero(), must.Sprint(m.machine))
		must.Eq(t, m.machine == "other", m.emptying, must.Sprint(m.machine))
	}
}

// TestWaveBeginsWithStepsThatNeedManyTurns checks that a wave ends in time though a step's tasks lie on most of its machines and one may be away.
func TestWaveBeginsWithStepsThatNeedManyTurns(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"a": 16, "b": 16, "spare": 4})
	w.run(settleTime)
	w.submit(longRunningJob("long", "a", 13))
	w.repeat(100*time.Millisecond, func() { // batch work for most of the machines
		w.submit(batch(fmt.Sprint("a", len(w.jobs)), "a", 4, 8000, 1))
		w.submit(batch(fmt.Sprint("b", len(w.jobs)), "b", 4, 8000, 1))
	})
	w.run(3 * time.Second)
	wave := Wave{Number: 1, Machines: sortedKeys(w.pools), TimeLimit: 30 * time.Second, MaxDown: 12}
	w.maxDown[1] = wave.MaxDown
	w.owner.state.AddWave(w.now, wave)
	for began := w.now; !w.waves[1].Completed; {
		w.run(100 * time.Millisecond)
		must.Less(t, wave.TimeLimit, w.now.Sub(began))
	}
}

// TestWaveNamesMachinesNewerThanTheList guards against MIXED: a wave was completed without machines that had come since the last list of machines.
func TestWaveNamesMachinesNewerThanTheList(t *testing.T) {
	for _, outage := range []time.Duration{0, 4 * time.Second} {
		w := newSimulation(t, 1, map[string]int{"p": 6})
		w.run(settleTime)
		w.submit(longRunningJob("long", "p", 4))
		w.run(time.Second)
		w.machineAPI.busy = outage > 0
		w.run(outage)
		for _, name := range []string{"m10", "m11", "m12"} {
			w.addMachine(name, "p")
		}
		w.requestWave(Wave{Number: 1, Machines: sortedKeys(w.pools), TimeLimit: 30 * time.Second, MaxDown: 3})
		w.run(outage / 4)
		w.machineAPI.busy = false
		w.awaitCompletion(1, 20*time.Second)
		must.Len(t, 9, w.waves[1].Begun)
	}
}

// TestWaveEndsWithoutItsGoneMachines guards against a wave that never ends, or ends late, since some of its machines are gone.
func TestWaveEndsWithoutItsGoneMachines(t *testing.T) {
	for _, c := range []struct {
		name string
		gone func(w *simulation)
	}{
		{"before the wave", func(w *simulation) { w.removeMachine("m05") }},
		{"in the wave", func(w *simulation) {
			w.run(100 * time.Millisecond)
			w.removeMachine("m05")
			w.removeMachine("m04")
		}},
		{"while orders are not answered", func(w *simulation) {
			w.machineAPI.losesOrders = true
			w.run(time.Second)
			for _, p := range w.owner.state.waves[1].members {
				if p.mayBeDown() {
					w.removeMachine(p.machine)
				}
			}
			must.MapLen(t, 6, w.pools)
			w.machineAPI.losesOrders = false
		}},
		{"during their maintenance", func(w *simulation) {
			w.run(100 * time.Millisecond)
			must.MapLen(t, 2, w.unavailableUntil)
			for _, name := range sortedKeys(w.unavailableUntil) {
				w.removeMachine(name)
			}
		}},
		{"all but one", func(w *simulation) {
			for _, name := range []string{"m00", "m01", "m02", "m03", "m04"} {
				w.removeMachine(name)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 1, map[string]int{"p": 6, "q": 2})
			w.run(settleTime)
			machines := []string{"m00", "m01", "m02", "m03", "m04", "m05"}
			w.requestWave(Wave{Number: 1, Machines: machines, TimeLimit: 30 * time.Second, MaxDown: 2})
			c.gone(w)
			w.awaitCompletion(1, 8*time.Second)
		})
	}
}

// TestNoMaintenanceBesideADrain guards against AVAIL: a plan took a machine down and stopped a task of the same step on a draining worker.
func TestNoMaintenanceBesideADrain(t *testing.T) {
	w, first, second := simulateLongRunning(t, 5)
	first.Draining, first.DrainLeft = true, 2*time.Second
	w.listWorkers(w.owner)
	w.requestWave(Wave{Number: 1, Machines: []string{machineOf(second)}, TimeLimit: 20 * time.Second, MaxDown: 1})
	w.run(10 * time.Second)
	must.True(t, w.waves[1].Completed)
}

// TestMachineThatComesBackIsMaintained guards against a machine that is never maintained since it was away when its wave was completed.
func TestMachineThatComesBackIsMaintained(t *testing.T) {
	for _, successor := range []bool{false, true} {
		w := newSimulation(t, 1, map[string]int{"p": 6})
		w.run(settleTime)
		w.requestWave(Wave{Number: 1, Machines: []string{"m00", "m01", "m02"}, TimeLimit: 20 * time.Second, MaxDown: 1})
		w.removeMachine("m02")
		w.run(12 * time.Second)
		must.True(t, w.waves[1].Completed)
		if successor {
			w.changeOwner()
		}
		w.addMachine("m02", "p")
		w.submit(longRunningJob("long", "p", 3)) // the list of machines is read from the first job on
		w.run(5 * time.Second)
		must.MapEmpty(t, w.unmaintained, must.Sprint(successor))
		must.True(t, w.waves[1].Completed)
		must.Len(t, 3, w.waves[1].Begun)
	}
}

// TestWaveThatTheMachineAPILearnsOfLate guards against MIXED: one answer that a machine is not part of its wave counted as maintenance.
func TestWaveThatTheMachineAPILearnsOfLate(t *testing.T) {
	for _, late := range []time.Duration{time.Second, time.Hour} {
		w := newSimulation(t, 1, map[string]int{"p": 4})
		w.run(settleTime)
		w.machineAPI.unknownWave = 1
		w.schedule(late, func() { w.machineAPI.unknownWave = 0 })
		w.requestWave(Wave{Number: 1, Machines: []string{"m00", "m01"}, TimeLimit: 20 * time.Second, MaxDown: 1})
		w.run(12 * time.Second)
		must.True(t, w.waves[1].Completed)
		must.Eq(t, late < time.Minute, w.maintained[waveOrder{1, "m00"}])
	}
}

// TestRefusalDoesNotSettleAnUnansweredOrder guards against AVAIL: a refusal made tasks available again whose machine an earlier order may have taken down.
func TestRefusalDoesNotSettleAnUnansweredOrder(t *testing.T) {
	for _, answer := range []Answer{Unhealthy, MachineBusy} {
		s, list := ownerWithRun(t)
		list(machineOfW, otherMachine)
		s.AddWave(s.machinesAsOf, Wave{Number: 1, Machines: []string{"m"}, TimeLimit: time.Minute, MaxDown: 1})
		order := MachineOrder{Machine: "m", Wave: 1}
		s.workers["w"].maintenanceOrdered = true
		s.MachineAnswered(s.machinesAsOf, order, Unanswered)
		s.MachineAnswered(s.machinesAsOf, order, answer)
		must.True(t, s.waves[1].members[0].mayBeDown())
		must.True(t, s.workers["w"].maintenanceOrdered)
	}
}

// TestNoMaintenanceByAnOldList guards against AVAIL: a list from before an outage named a worker that ran on the machine no more.
func TestNoMaintenanceByAnOldList(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 4})
	w.run(settleTime)
	w.submit(longRunningJob("long", "p", 3))
	w.run(time.Second)
	w.machineAPI.listsFail = true
	for name := range w.pools {
		w.removeMachine(name)
		w.addMachine(name, "p")
	}
	w.run(8 * time.Second)
	must.Eq(t, 3, w.runningTasks("long"))
	w.requestWave(Wave{Number: 1, Machines: sortedKeys(w.pools), TimeLimit: 20 * time.Second, MaxDown: 4})
	w.run(time.Second)
	w.machineAPI.listsFail = false
	w.run(20 * time.Second)
	must.True(t, w.waves[1].Completed)
}

// TestSuccessorAwaitsAListOfItsOwnTime guards against LIMIT: the first list of a new owner lacked its predecessor's last orders.
func TestSuccessorAwaitsAListOfItsOwnTime(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"p": 8})
	w.machineAPI.old = true
	w.run(settleTime)
	w.requestWave(Wave{Number: 1, Machines: sortedKeys(w.pools), TimeLimit: 20 * time.Second, MaxDown: 2})
	for len(w.unavailableUntil) == 0 {
		w.run(simStep)
	}
	clear(w.waves) // the store had lost the wave's status
	w.changeOwner()
	w.run(20 * time.Second)
	must.True(t, w.waves[1].Completed)
}

// TestWaveIsNotCompletedByAnOldList guards against MIXED: a wave was completed by an old list that showed a machine gone which was back.
func TestWaveIsNotCompletedByAnOldList(t *testing.T) {
	s, list := ownerWithRun(t)
	list(machineOfW, otherMachine)
	s.AddWave(s.machinesAsOf, Wave{Number: 1, Machines: []string{"m", "gone"}, TimeLimit: time.Minute, MaxDown: 2})
	list(machineOfW, otherMachine)
	list(machineOfW, otherMachine)
	wave := s.waves[1]
	s.MachineAnswered(s.machinesAsOf, MachineOrder{Machine: "gone", Wave: 1}, Malformed)
	for range listsToForget {
		list(machineOfW, otherMachine)
		s.updateWaveMachines(s.machinesAsOf, wave)
	}
	must.True(t, wave.members[1].excluded)
	late := s.machinesAsOf.Add(2 * maxMachineListAge)
	s.MachineAnswered(late, MachineOrder{Machine: "m", Wave: 1}, Executed)
	s.updateWaveMachines(late, wave)
	must.False(t, wave.allBegun)
	s.SetMachines(late, late, MachineList{Machines: []Machine{{Name: "m", Pool: "p", Unavailable: true}, otherMachine}})
	s.updateWaveMachines(late, wave)
	must.True(t, wave.allBegun)
}

// TestUnansweredOrderIsNotRepeatedAtOnce guards against AVAIL: an unanswered order was repeated while another task of a step was unavailable.
func TestUnansweredOrderIsNotRepeatedAtOnce(t *testing.T) {
	w, first, second := simulateLongRunning(t, 3)
	w.machineAPI.losesOrders = true
	w.requestWave(Wave{Number: 1, Machines: []string{machineOf(first)}, TimeLimit: 30 * time.Second, MaxDown: 1})
	w.run(time.Second)
	second.unreachable = true // its task has no other place
	w.run(15 * time.Second)
	w.machineAPI.losesOrders = false
	w.run(2 * time.Second)
	second.unreachable = false
	w.run(10 * time.Second)
	must.True(t, w.waves[1].Completed)
}

// TestNoProbeOfAMannedMachine guards against AVAIL: a machine that lists lacked was ordered down while a worker there answered.
func TestNoProbeOfAMannedMachine(t *testing.T) {
	for _, c := range []struct {
		machine string // on which a list has shown the worker
		probes  int
	}{{"m", 0}, {"", 0}, {"n", 1}} {
		s, list := ownerWithRun(t)
		list(otherMachine)
		s.AddWave(s.machinesAsOf, Wave{Number: 1, Machines: []string{"m"}, TimeLimit: time.Minute, MaxDown: 1})
		s.SetWorkers(s.machinesAsOf, []Worker{s.workers["w"].Worker})
		s.workers["w"].machine = c.machine
		var o Orders
		for range listsToForget {
			must.SliceEmpty(t, o.Machines)
			list(otherMachine)
			s.planWaves(s.machinesAsOf, &o)
		}
		must.Len(t, c.probes, o.Machines, must.Sprint(c.machine))
	}
}

// TestNoStartBesideARepeatedOrder guards against AVAIL: a plan repeated an order to a machine and started a task on its new worker.
func TestNoStartBesideARepeatedOrder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s, _ := successor(t, now)
	now = now.Add(time.Second)
	s.SetMachines(now, now, MachineList{Machines: []Machine{machineOfW}, Pages: 1})
	s.AddWave(now, Wave{Number: 1, Machines: []string{"m"}, TimeLimit: time.Minute, MaxDown: 1})
	m := s.waves[1].members[0]
	m.chosenAt, m.orderedAt, m.unconfirmed = now, now, true
	s.AddJob(now, batch("j", "p", 1, 900, 1), Progress{}, false)
	o := s.Plan(now)
	must.Len(t, 1, o.Machines)
	must.SliceEmpty(t, o.Starts)
}

// TestNoMaintenanceUnderAnUnseenWorker guards against AVAIL: a machine was taken down under a new worker that no list had shown yet.
func TestNoMaintenanceUnderAnUnseenWorker(t *testing.T) {
	for _, c := range []struct {
		machine string // on which a list has shown the worker that answers
		orders  int
	}{{"", 0}, {"n", 1}} {
		now := time.Unix(1_700_000_000, 0)
		s, _ := successor(t, now)
		now = now.Add(time.Second)
		former := Machine{Name: "m", Pool: "p", Up: true, Worker: "former"}
		s.SetMachines(now, now, MachineList{Machines: []Machine{former, otherMachine}, Pages: 1})
		s.AddWave(now, Wave{Number: 1, Machines: []string{"m"}, TimeLimit: time.Minute, MaxDown: 1})
		s.workers["w"].machine = c.machine
		must.Len(t, c.orders, s.Plan(now).Machines)
	}
}

// TestOrderAfterARejectionIsAwaited guards against a wave that never ends: an earlier rejection excluded a machine whose last order got no answer.
func TestOrderAfterARejectionIsAwaited(t *testing.T) {
	s, list := ownerWithRun(t)
	list(machineOfW, otherMachine)
	s.AddWave(s.machinesAsOf, Wave{Number: 1, Machines: []string{"gone"}, TimeLimit: time.Minute, MaxDown: 1})
	m, order := s.waves[1].members[0], MachineOrder{Machine: "gone", Wave: 1}
	s.MachineAnswered(s.machinesAsOf, order, Malformed)
	s.waves[1].order(s.machinesAsOf, m, &Orders{})
	s.MachineAnswered(s.machinesAsOf, order, Unanswered)
	for range listsToForget {
		list(machineOfW, otherMachine)
		s.updateWaveMachines(s.machinesAsOf, s.waves[1])
	}
	must.False(t, m.excluded)
	s.probeUnlisted(s.machinesAsOf, s.waves[1], 1, &Orders{})
	must.True(t, m.inFlight)
}

// simulateLongRunning returns a simulation of a pool with a long-running job of three tasks, and the workers of the first two.
func simulateLongRunning(t *testing.T, machines int) (w *simulation, first, second *simWorker) {
	w = newSimulation(t, 1, map[string]int{"p": machines})
	w.run(settleTime)
	w.submit(longRunningJob("long", "p", 3))
	w.run(2 * time.Second)
	on := w.runsOf("long")
	first, second = on[TaskID{Job: "long"}], on[TaskID{Job: "long", Index: 1}]
	return w, first, second
}

// awaitCompletion fails the test unless a wave is completed within the limit.
func (w *simulation) awaitCompletion(wave int64, limit time.Duration) {
	w.t.Helper()
	for began := w.now; !w.waves[wave].Completed; {
		w.run(100 * time.Millisecond)
		must.Less(w.t, limit, w.now.Sub(began))
	}
}
