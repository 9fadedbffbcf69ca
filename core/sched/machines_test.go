package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ownerWithRun returns an owner of a worker "w" that runs a task and whose record is away, and a function that gives the owner a list of
// two pages, each time a second later.
func ownerWithRun(t *testing.T) (s *State, list func(...Machine)) {
	now := time.Unix(1_700_000_000, 0)
	s, poll := successor(t, now)
	s.AddJob(now, batch("j", "p", 1, 900, 1), Progress{}, false)
	s.StartAnswered(now, s.Plan(now).Starts[0], Executed)
	poll(now, []RunStatus{{Task: TaskID{Job: "j"}, Run: s.workers["w"].sortedRuns()[0].number}}, nil)
	s.SetWorkers(now, nil)
	return s, func(machines ...Machine) {
		now = now.Add(time.Second)
		s.SetMachines(now, now, MachineList{Machines: machines, Pages: 2})
	}
}

var (
	machineOfW   = Machine{Name: "m", Pool: "p", Up: true, Worker: "w"}
	otherMachine = Machine{Name: "n", Pool: "p"}
)

// TestTornListEndsNoWorker guards against TWICE: a list of several pages lacked a machine that existed, and its worker counted as ended.
func TestTornListEndsNoWorker(t *testing.T) {
	s, list := ownerWithRun(t)
	list(machineOfW, otherMachine)
	for range 3 {
		list(otherMachine)
		must.False(t, s.workers["w"].ended)
		must.MapLen(t, 1, s.workers["w"].runs)
		must.MapContainsKey(t, s.machines, "m") // it counts for its pool
		list(machineOfW, otherMachine)
	}
	list(otherMachine)
	list(otherMachine)
	must.True(t, s.workers["w"].ended)
	must.MapNotContainsKey(t, s.machines, "m")
}

// TestFirstListIsTorn guards against TWICE: the first list that a new owner read lacked the machine of a worker of its predecessor.
func TestFirstListIsTorn(t *testing.T) {
	s, list := ownerWithRun(t)
	list(otherMachine)
	must.False(t, s.workers["w"].ended)
	list(machineOfW, otherMachine)
	must.Eq(t, 0, s.workers["w"].unplaced)
}

// TestEmptyListProvesNothing guards against taking all machines for gone when the machine API lists none.
func TestEmptyListProvesNothing(t *testing.T) {
	s, list := ownerWithRun(t)
	list(machineOfW, otherMachine)
	for range 3 {
		list()
		must.MapLen(t, 2, s.machines)
		must.False(t, s.workers["w"].ended)
	}
}

// TestOlderListIsNotApplied guards against machines that come back in a list that was read late.
func TestOlderListIsNotApplied(t *testing.T) {
	s, list := ownerWithRun(t)
	list(otherMachine)
	asked := s.machinesAsOf
	s.SetMachines(asked.Add(time.Second), asked.Add(-time.Second), MachineList{Machines: []Machine{machineOfW}, Pages: 1})
	must.MapNotContainsKey(t, s.machines, "m")
	must.Eq(t, asked, s.machinesAsOf)
}

// TestTornListEndsNoRunOfAnExecutedOrder guards against TWICE: a torn list decided whether an executed order had ended the runs on its machine.
func TestTornListEndsNoRunOfAnExecutedOrder(t *testing.T) {
	s, list := ownerWithRun(t)
	list(machineOfW, otherMachine)
	s.machineOrderExecuted(s.machinesAsOf.Add(time.Millisecond), "m")
	list(otherMachine)
	must.MapLen(t, 1, s.workers["w"].runs)
	must.MapLen(t, 1, s.executedOrders) // nor does it show that the machine is still up
	list(machineOfW, otherMachine)
	must.MapLen(t, 1, s.workers["w"].runs)
	must.MapEmpty(t, s.executedOrders)
	s.machineOrderExecuted(s.machinesAsOf.Add(time.Millisecond), "m")
	list(Machine{Name: "m", Pool: "p", Unavailable: true}, otherMachine)
	must.MapEmpty(t, s.workers["w"].runs)
}

// TestWorkerThatListsShowAgainIsUsed guards against leaving a worker aside for good that earlier lists of machines had lacked.
func TestWorkerThatListsShowAgainIsUsed(t *testing.T) {
	s, list := ownerWithRun(t)
	description := s.workers["w"].Worker
	list(machineOfW, otherMachine)
	list(otherMachine)
	list(otherMachine)
	must.True(t, s.workers["w"].ended)
	list(machineOfW, otherMachine)
	now := s.machinesAsOf
	s.SetWorkers(now, []Worker{description})
	must.SliceNotEmpty(t, s.Plan(now).Polls)
	s.PollAnswered(now, "w", PollResult{Answer: Executed, Sent: now, StartedAt: description.StartedAt})
	must.True(t, s.workers["w"].usable(now))
}

// TestOldListDoesNotUndoAnExecutedOrder guards against LIMIT: by a list a little older than an executed order the machine counted as maintained.
func TestOldListDoesNotUndoAnExecutedOrder(t *testing.T) {
	s, list := ownerWithRun(t)
	list(machineOfW)
	now := s.machinesAsOf
	s.AddWave(now, Wave{Number: 1, Machines: []string{"m"}, TimeLimit: time.Minute, MaxDown: 1})
	s.MachineAnswered(now, MachineOrder{Machine: "m", Wave: 1}, Executed)
	now = now.Add(machineListLag / 2)
	s.SetMachines(now, now, MachineList{Machines: []Machine{machineOfW}, Pages: 1})
	must.True(t, s.waves[1].members[0].mayBeDown())
	list(Machine{Name: "m", Pool: "p", Unavailable: true})
	must.True(t, s.workers["w"].ended)
	must.True(t, s.waves[1].members[0].mayBeDown())
}
