package sched

import (
	"maps"
	"time"
)

// Machine is a machine as the machine API lists it.
type Machine struct {
	Name        string
	Pool        string
	Up          bool
	Unavailable bool   // it is moving to another pool, or down for maintenance
	Worker      string // id of the worker that runs on it, or empty
	Zone        string
	Capacity    Size
	Fault       string `json:",omitempty"` // why the rest of its entry can't be used, or empty
}

// MachineList is the list of machines as the machine API gave it.
type MachineList struct {
	Machines []Machine
	Pages    int // a list of several pages is no snapshot: it may lack a machine that existed all the time
}

// listsToForget is the number of lists of machines in a row that must lack a machine, or a worker on no known machine, before it is gone.
const listsToForget = 2

// SetMachines applies a list of machines that was requested at the time asked, unless a newer one has been applied.
func (s *State) SetMachines(now, asked time.Time, list MachineList) {
	if asked.Before(s.machinesAsOf) {
		return
	}
	s.replaceMachines(asked, list)
	onMachine := make(map[string]bool, len(s.machines))
	for name, m := range s.machines {
		onMachine[m.Worker] = true
		if w := s.workers[m.Worker]; w != nil {
			w.machine = name
		}
	}
	s.fleetChanged, s.placementChanged = true, true
	s.noteUnmanned(now)
	s.resolveExecutedOrders(now, asked)
	s.resolveSilent(now, asked, onMachine)
	for _, w := range s.sortedWorkers() {
		s.locateWorker(now, asked, w, onMachine[w.ID], list.Pages > 1)
	}
}

// replaceMachines replaces the list of machines. A machine that the list lacks stays as it was if the list is unclear, since it shows nothing or an
// entry that can't be used, or if it has several pages and is the first that lacks the machine. So does a machine whose entry can't be used.
func (s *State) replaceMachines(asked time.Time, list MachineList) {
	former, formerAsOf := s.machines, s.machinesAsOf
	s.machines, s.machinesAsOf, s.machinesUnclear = make(map[string]Machine, len(list.Machines)), asked, len(list.Machines) == 0
	for _, m := range list.Machines {
		if m.Fault != "" {
			s.machinesUnclear = true
			continue
		}
		s.machines[m.Name], s.machineSeen[m.Name] = m, asked
	}
	for name, m := range former {
		if _, listed := s.machines[name]; listed {
			continue
		}
		if !s.machinesUnclear && (list.Pages <= 1 || !s.machineSeen[name].Equal(formerAsOf)) {
			delete(s.machineSeen, name)
			maps.DeleteFunc(s.refusedMoves, func(t moveTarget, _ bool) bool { return t.machine == name }) // one that comes back may move
			continue
		}
		s.machines[name] = m
		if w := s.workers[m.Worker]; w != nil && !w.listed && len(w.runs) > 0 {
			s.machinesRequestedAt = time.Time{} // its runs wait for the next list
		}
	}
}

// listedNow reports whether the list of machines shows the machine, and not only an earlier one.
func (s *State) listedNow(name string) bool {
	seen, known := s.machineSeen[name]
	return known && seen.Equal(s.machinesAsOf)
}

// locateWorker applies a list of machines to a worker; paged is set for a list of several pages. Each worker runs on a machine, so a worker that
// is on none and that the platform does not list any more, or that is silent and was on a machine before, has ended.
func (s *State) locateWorker(now, asked time.Time, w *worker, onMachine, paged bool) {
	_, listed := s.machines[w.machine]
	w.absent = listed && !onMachine
	silent := w.absent && w.pollFailures > 0 && asked.After(w.silentSince)
	switch {
	case w.listed || onMachine || !asked.After(w.lastListed):
		w.unplaced = 0
	case !s.machinesUnclear:
		w.unplaced++
	}
	listsNeeded := 1
	if paged && w.machine == "" {
		listsNeeded = listsToForget // the first of them may lack its machine
	}
	if s.machinesUnclear || onMachine || !w.unseen() || !asked.After(w.silentSince) {
		w.unshown = 0
	} else {
		w.unshown++
	}
	switch {
	case w.endedByList && onMachine:
		w.ended, w.endedByList, w.nextPoll = false, false, now
		s.logDecision("WorkerBack", TaskID{}, w.ID, "on "+w.machine, 0)
	case w.ended:
	case w.unplaced >= listsNeeded || silent:
		w.ended, w.endedByList = true, true
		s.releaseAll(now, w)
	case w.unshown >= listsToForget:
		s.forgetUnseen(now, w)
	}
}

// workerAppearTime is the time in which the platform's list shows the worker of a machine that is up.
const workerAppearTime = 3 * time.Second

// unmanned is a machine that is up and whose worker is not known.
type unmanned struct {
	worker string
	since  time.Time
}

// noteUnmanned notes the machines that are up and whose worker is not known.
func (s *State) noteUnmanned(now time.Time) {
	maps.DeleteFunc(s.unmanned, func(name string, u unmanned) bool {
		m := s.machines[name]
		return m.Worker != u.worker || !m.Up || s.workers[m.Worker] != nil
	})
	for name, m := range s.machines {
		if _, noted := s.unmanned[name]; !noted && m.Up && m.Worker != "" && s.workers[m.Worker] == nil {
			s.unmanned[name] = unmanned{m.Worker, now}
		}
	}
}
