package sched

import (
	"slices"
	"time"
)

// waveOrder names a machine that is due for maintenance in a wave.
type waveOrder struct {
	wave    int64
	machine string
}

// simMachineAPI is the state of the simulated machine API.
type simMachineAPI struct {
	busy        bool          // it refuses all calls
	losesOrders bool          // it neither executes nor answers orders
	listsFail   bool          // it refuses to list machines
	silent      bool          // it answers no call; it executes half of the orders
	unknownWave int64         // number of a wave of which it has not learnt yet
	old         bool          // its lists are up to machineListLag older than the call
	late        time.Duration // its lists arrive as much later
	pageSize    int           // number of machines on a page, or zero for lists of one page; later pages begin at a position
	former      []Machine     // the list from which old lists are read
}

// longestListDelay is the longest time from the request of a list until an owner has stored what the list shows.
const longestListDelay = 3 * time.Second

// pageDelay is the time between the calls for two pages of a list.
const pageDelay = 20 * time.Millisecond

// readMachines gives an owner the list of machines, of which the pages in list have been read.
func (w *simulation) readMachines(o *simOwner, asked time.Time, list MachineList) {
	api := &w.machineAPI
	if api.busy || api.silent || api.listsFail {
		return
	}
	all := w.listMachines()
	if api.old {
		all = api.former
	}
	rest := all[min(len(list.Machines), len(all)):]
	list.Pages++
	if api.pageSize > 0 && len(rest) > api.pageSize {
		list.Machines = append(list.Machines, rest[:api.pageSize]...)
		w.schedule(pageDelay, func() { w.readMachines(o, asked, list) })
		return
	}
	list.Machines = append(list.Machines, rest...)
	if api.late > 0 { // scheduling takes a step
		w.schedule(api.late, func() { o.state.SetMachines(w.now, asked, list) })
		return
	}
	o.state.SetMachines(w.now, asked, list)
}

// sendMachineOrder delivers an order to the machine API.
func (w *simulation) sendMachineOrder(o *simOwner, m MachineOrder) {
	w.log("owner %d sends %+v", o.token, m)
	w.schedule(simLatency, func() {
		switch api := w.machineAPI; {
		case api.busy:
			w.log("it is refused: %+v", m)
			o.state.MachineAnswered(w.now, m, Unhealthy)
		case api.losesOrders:
			w.schedule(simTimeout, func() { o.state.MachineAnswered(w.now, m, Unanswered) })
		case api.silent:
			if w.random.IntN(2) == 0 {
				w.executeMachineOrder(o, m)
			}
			w.schedule(simTimeout, func() { o.state.MachineAnswered(w.now, m, Unanswered) })
		default:
			o.state.MachineAnswered(w.now, m, w.executeMachineOrder(o, m))
		}
	})
}

// stepMachineAPI keeps a list of machines for old lists.
func (w *simulation) stepMachineAPI() {
	if w.now.UnixMilli()%machineListLag.Milliseconds() < simStep.Milliseconds() {
		w.machineAPI.former = w.listMachines()
	}
}

// addMachine adds a machine with a worker to a pool.
func (w *simulation) addMachine(name, pool string) {
	w.log("%s comes to %s", name, pool)
	w.pools[name], w.cameAt[name] = pool, w.now
	w.addWorker(name)
	for number, s := range w.waves {
		if wave := w.wave(number); s.Completed && slices.Contains(wave.Machines, name) && !w.maintained[waveOrder{number, name}] {
			w.unmaintained[waveOrder{number, name}] = w.now
		}
	}
}

// removeMachine takes away a machine, with what runs there.
func (w *simulation) removeMachine(name string) {
	w.log("%s is gone", name)
	for _, x := range w.workers {
		if machineOf(x) != name || x.down {
			continue
		}
		x.down = true
		for id := range x.runs {
			w.lostAt[id] = w.now
			w.struck[id]++ // an owner takes it for a crash
		}
		clear(x.runs)
	}
	delete(w.pools, name)
	delete(w.unavailableUntil, name)
	delete(w.maintenanceEnd, name)
	for number := range w.waves {
		delete(w.unmaintained, waveOrder{number, name})
	}
}

// requestWave stores a wave of the operator and gives it to the present owner.
func (w *simulation) requestWave(wave Wave) {
	w.requested = append(w.requested, wave)
	w.maxDown[wave.Number] = wave.MaxDown
	w.owner.state.AddWave(w.now, wave)
}

// wave returns the requested wave with a number.
func (w *simulation) wave(number int64) Wave {
	i := slices.IndexFunc(w.requested, func(wave Wave) bool { return wave.Number == number })
	if i < 0 {
		return Wave{}
	}
	return w.requested[i]
}

// checkWaveStatus checks that a wave whose completion is stored has no machine that exists and whose maintenance has not begun, and that
// no completion is withdrawn.
func (w *simulation) checkWaveStatus(s WaveStatus) {
	if !s.Completed {
		if w.waves[s.Wave].Completed {
			w.violated("the completion of wave %d is withdrawn", s.Wave)
		}
		return
	}
	for _, name := range w.wave(s.Wave).Machines {
		if s.Wave == w.machineAPI.unknownWave {
			continue // it is part of no wave
		}
		due := waveOrder{s.Wave, name}
		switch {
		case w.pools[name] == "" || w.maintained[due] || !w.unmaintained[due].IsZero():
		case w.now.Sub(w.cameAt[name]) <= longestListDelay:
			w.unmaintained[due] = w.now // it came since the list was requested that showed it gone
		default:
			w.violated("wave %d is completed, and the maintenance of %s has not begun", s.Wave, name)
		}
	}
}
