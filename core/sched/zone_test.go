package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSuccessorGoesOnInTheZonesThatItSees checks when jobs end after the owner changes while a zone is out of reach.
func TestSuccessorGoesOnInTheZonesThatItSees(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"a": 9})
	w.spreadOverZones(3)
	w.run(settleTime)
	for i := range 30 {
		w.submit(batch(fmt.Sprint("j", i), "a", 4, 3000, 3))
	}
	w.run(time.Second)
	for _, x := range w.workers {
		x.unreachable = x.Zone == "z0"
	}
	w.changeOwner()
	w.run(3 * time.Second) // the leases of what may run in the zone end later
	ended := map[string]int{}
	for id, j := range w.jobs {
		if w.stored[id].State == Completed {
			ended[j.Zone]++
		}
	}
	must.Positive(t, ended["z1"])
	must.Positive(t, ended["z2"])
	w.run(20 * time.Second)
	for id := range w.jobs {
		must.Eq(t, Completed, w.stored[id].State, must.Sprint(id, "\n", w.owner.state.dump(id)))
	}
}

// TestJobLeavesAFullZone checks that a task waits for no zone while another has room.
func TestJobLeavesAFullZone(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"a": 3})
	w.spreadOverZones(3)
	w.run(settleTime)
	j := batch("wide", "a", 12, 4000, 1) // a worker holds four of its tasks
	w.submit(j)
	must.NotEq(t, "", w.jobs[j.ID].Zone)
	w.run(1500 * time.Millisecond)
	must.Eq(t, Completed, w.stored[j.ID].State)
}

func TestHomeZone(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"a": 6})
	w.spreadOverZones(3)
	w.run(settleTime)
	s := w.owner.state
	racks := map[string]string{} // by zone
	for _, x := range s.workers {
		x.Rack = "r" + x.Zone
		racks[x.Zone] = x.Rack
	}
	near := func(zones ...string) Job {
		j := batch("near", "a", 1, 100, len(zones))
		for i, z := range zones {
			j.Steps[i].PreferredRack = racks[z]
		}
		return j
	}
	chosen := map[string]int{}
	for range 9 {
		j := batch("j", "a", 4, 2000, 1)
		chosen[s.HomeZone(&j)]++
	}
	must.Eq(t, map[string]int{"z0": 3, "z1": 3, "z2": 3}, chosen)
	for _, c := range []struct {
		job  Job
		want string
	}{
		{near("z1"), "z1"},
		{near("z1", "z1"), "z1"},
		{near("z1", "z2"), ""},
		{longRunningJob("l", "a", 1), ""},
		{batch("b", "none", 1, 100, 1), ""},
	} {
		must.Eq(t, c.want, s.HomeZone(&c.job))
	}
}

// TestSuccessorDoesNotWaitForMovedWorkers checks that workers that are listed, silent and on no machine hold no task up.
func TestSuccessorDoesNotWaitForMovedWorkers(t *testing.T) {
	for _, c := range []struct {
		name    string
		machine bool // the list of machines still shows the worker
		clear   bool // the list has no fault
		waits   bool
	}{{"moved", false, true, false}, {"on its machine", true, true, true}, {"list with a fault", false, false, true}} {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 1, map[string]int{"a": 4})
			w.run(settleTime)
			for i := range 20 {
				w.submit(batch(fmt.Sprint("j", i), "a", 2, 6000, 2))
			}
			w.run(500 * time.Millisecond)
			gone := w.workers[0]
			gone.unreachable, gone.down = !c.machine, !c.machine
			if c.machine {
				gone.unreachable = true
			}
			gone.runs = map[TaskID]*simRun{}
			w.listed = func(*simWorker) bool { return true } // its record has not expired
			if !c.clear {
				w.machineFault = machineOf(w.workers[1])
			}
			w.changeOwner()
			w.run(2500 * time.Millisecond)
			must.Eq(t, c.waits, len(w.owner.state.unseenPools(w.now)) > 0)
		})
	}
}

// TestRoomForOneOpensTheZoneToFew checks that room for one task makes no crowd of waiting jobs open its zone.
func TestRoomForOneOpensTheZoneToFew(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"a": 3})
	w.spreadOverZones(3)
	w.run(settleTime)
	for i := range 300 {
		j := batch(fmt.Sprint("j", i), "a", 1, 4000, 20)
		j.Accepted, j.Zone = w.now, "z0"
		w.jobs[j.ID] = j
		w.owner.state.AddJob(w.now, j, Progress{}, false)
	}
	w.run(400 * time.Millisecond)
	opened := 0
	for _, j := range w.owner.state.jobs {
		if len(j.otherZones) > 0 {
			opened++
		}
	}
	must.LessEq(t, 60, opened) // the two other zones have room for eight tasks
}

// TestOpenedZoneStartsNoJob checks that a job of which only a zone was stored still counts as waiting under a successor.
func TestOpenedZoneStartsNoJob(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(now, 1, Settings{})
	s.config.Queues = map[string]Queue{"q-q": {Name: "q-q", Pool: "a"}}
	j := batch("j", "q", 1, 1000, 1)
	j.Zone = "z0"
	s.AddJob(now, j, Progress{}, false)
	must.Eq(t, 1, s.Waiting(j.Queue))
	s.openZone(now, s.jobs["j"].occurrences[0].stages[0], &openRoom{zoneRoom{"z1": 4000}, zoneRoom{"z1": 4000}}, func(string) bool { return true })
	must.SliceNotEmpty(t, s.jobs["j"].otherZones)
	next := New(now, 2, Settings{})
	next.config = s.config
	next.AddJob(now, j, s.jobs["j"].progress(), true)
	must.Eq(t, 1, next.Waiting(j.Queue))
}

// TestWorkerForgottenTooSoonIsUsedAgain checks that a worker that one list of machines lacked is used once later lists show it and it answers.
func TestWorkerForgottenTooSoonIsUsedAgain(t *testing.T) {
	w := newSimulation(t, 1, map[string]int{"a": 4})
	w.run(settleTime)
	gone := w.workers[0]
	gone.unreachable = true
	w.changeOwner()
	s := w.owner.state
	w.run(50 * time.Millisecond)
	x := s.workers[gone.ID]
	x.machine, x.unshown, x.listed = "", 0, true // as before the first list of machines, with a record that has not expired
	x.pollFailures = max(1, x.pollFailures)
	x.silentSince = w.now.Add(-time.Second)
	var list []Machine
	for _, m := range w.listMachines() {
		if m.Worker != gone.ID {
			list = append(list, m)
		}
	}
	for range listsToForget {
		must.False(t, x.ended)
		s.SetMachines(w.now, w.now, MachineList{Machines: list})
	}
	must.True(t, x.ended)
	gone.unreachable = false
	w.submit(batch("j", "a", 1, 1000, 1)) // the list of machines is read from the first job on
	used := false
	for range 20 {
		w.run(100 * time.Millisecond)
		used = used || s.workers[gone.ID] != nil && s.workers[gone.ID].usable(w.now)
	}
	must.True(t, used)
}

// TestOldWorkerListMakesNoMachineUnmanned checks that machines count while the list of workers, which would show theirs, is not read.
func TestOldWorkerListMakesNoMachineUnmanned(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(now, 1, Settings{})
	s.SetWorkers(now, nil)
	list := []Machine{{Name: "m", Pool: "p", Worker: "w", Up: true}}
	s.SetMachines(now, now, MachineList{Machines: list})
	now = now.Add(2 * workerAppearTime) // the store is down meanwhile
	s.SetMachines(now, now, MachineList{Machines: list})
	s.lastFleetPlan = now
	s.countMachines()
	must.Eq(t, 1, s.demandOf("p").machines)
}

// TestTrialsBeginInOpenZones checks that a suspect awaits a worker in a zone in which its job may run.
func TestTrialsBeginInOpenZones(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(now, 1, Settings{})
	s.config.Queues = map[string]Queue{"q-q": {Name: "q-q", Pool: "a"}}
	var workers []*worker
	for i, zone := range []string{"z0", "z1", "z2"} {
		w := &worker{Worker: Worker{ID: zone, Pool: "a", Zone: zone, Capacity: Size{Processors: 4000, MemoryMB: 1000}}, runs: map[TaskID]*run{}, listed: true, polled: true, inRoster: true}
		if i == 0 {
			w.notReservedBefore = now.Add(time.Hour)
		}
		workers = append(workers, w)
		s.workers[w.ID] = w
	}
	s.workersAsOf = now
	j := batch("j", "q", 1, 1000, 1)
	j.Zone = "z0"
	s.AddJob(now, j, Progress{}, false)
	tk := s.find(TaskID{Job: "j"})
	must.NotNil(t, tk)
	s.reserveWorker(now, tk, workers, map[*worker]Size{})
	must.Eq(t, "", tk.awaitedWorker, must.Sprint("awaits a worker in a closed zone, with trial ", tk.trial))
}
