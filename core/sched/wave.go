package sched

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// Wave is a maintenance wave: a set of machines that are due for maintenance.
type Wave struct {
	Number    int64
	Machines  []string
	TimeLimit time.Duration // time that the whole wave may take, from when an owner first saw it
	MaxDown   int           // largest number of machines that may be down for the wave at once
}

// wave is the progress of a maintenance wave.
type wave struct {
	Wave
	requestedAt      time.Time // when an owner first saw the wave
	knownAt          time.Time // when this owner first saw it
	members          []*waveMachine
	storedBegun      int // number of machines whose maintenance had begun in the last stored status
	stored           bool
	saving           bool
	completed        bool // a status that marks the wave as completed was ordered to be stored, which can't be withdrawn
	completionStored bool // that status is durable
	allBegun         bool // maintenance has begun on all machines that are not excluded
}

// waveMachine is one machine of a wave.
type waveMachine struct {
	machine      string
	begun        bool      // an order was executed
	excluded     bool      // the machine is gone
	lackingLists int       // number of lists of machines in a row that lack it; those requested before its rejection do not count
	lackedAsOf   time.Time // when the last of them was requested
	denials      int       // number of times that the machine API answered that it is not part of the wave
	rejectedAt   time.Time // when the machine API rejected an order to it while no list showed it, or as to no machine; zero once a later list shows it
	returned     bool      // the machine is up again after its maintenance, or gone
	inFlight     bool      // an order was sent and is not answered yet
	unconfirmed  bool      // an order got no answer and may have been executed
	orderedAt    time.Time // when an order was last sent or answered
	chosenAt     time.Time // when the machine was chosen; its worker takes no new tasks from then on
	heldSince    time.Time // since when the chosen machine must not go down; zero if it may
	emptying     bool      // a task was stopped since the choice, because too many of its step run there
	retryAt      time.Time
	lastLogged   time.Time // when the reason for its waiting was last logged
}

const (
	batchDrainTimeout     = 3 * time.Second         // a chosen machine waits this long for its batch tasks; most take less
	maintenanceRetryDelay = 500 * time.Millisecond  // after an order that was refused or not answered
	rejectedRetryDelay    = time.Second             // after an order that the machine API rejected for the machine or its wave
	machineListLag        = 200 * time.Millisecond  // a list of machines may be this old when it is read
	maxMachineListAge     = 3 * time.Second         // an older list shows neither which worker runs on a machine nor that a machine is gone
	waveReserveDivisor    = 3                       // one part in this many of a wave's time is held back, since outages delay the wave
	maintenanceOverhead   = 1500 * time.Millisecond // time that one machine's turn takes beyond its maintenance
	pressedDownDivisor    = 2                       // a wave should not need more than one part in this many of MaxDown, since outages hold machines up
	longRunningCost       = 100                     // of restarting a long-running task elsewhere, in runs; above any number of batch tasks on a machine
	neededMachineCost     = 10_000                  // of taking a machine that batch tasks need, in runs; above any number of long-running tasks
)

// denialsToBelieve is the number of orders that the machine API must reject, rejectedRetryDelay apart, before a machine is taken for no part of a
// wave that names it: the API may learn of the wave later than the owner.
const denialsToBelieve = 3

// AddWave adds a wave; a wave that is known already stays as it is.
func (s *State) AddWave(now time.Time, w Wave) {
	if _, known := s.waves[w.Number]; known {
		return
	}
	knownAt := now
	restored, stored := s.storedWaves[w.Number]
	if !restored.Asked.IsZero() {
		now = restored.Asked
	}
	next := &wave{Wave: w, requestedAt: now, knownAt: knownAt}
	next.completed, next.completionStored, next.allBegun, next.stored, next.storedBegun = restored.Completed, restored.Completed, restored.Completed, stored, len(restored.Begun)
	for _, m := range w.Machines {
		begun := slices.Contains(restored.Begun, m)
		next.members = append(next.members, &waveMachine{machine: m, begun: begun, excluded: restored.Completed && !begun})
	}
	s.waves[w.Number] = next
}

// RestoreWave restores the status of a wave that an earlier owner stored. It must be called before AddWave for that wave.
func (s *State) RestoreWave(status WaveStatus) { s.storedWaves[status.Wave] = status }

// WaveSaved records that a wave's status has been stored durably.
func (s *State) WaveSaved(status WaveStatus) {
	if w := s.waves[status.Wave]; w != nil {
		w.saving, w.stored, w.storedBegun, w.completionStored = false, true, len(status.Begun), status.Completed
	}
}

// WaveSaveFailed records that storing a wave's status failed, so that the next plan repeats it.
func (s *State) WaveSaveFailed(number int64) {
	if w := s.waves[number]; w != nil {
		w.saving = false
	}
}

// MachineAnswered records the answer of the machine API to an order.
func (s *State) MachineAnswered(now time.Time, o MachineOrder, answer Answer) {
	if o.Pool != "" {
		s.moveAnswered(now, o, answer)
		return
	}
	w := s.waves[o.Wave]
	if w == nil {
		return
	}
	i := slices.IndexFunc(w.members, func(p *waveMachine) bool { return p.machine == o.Machine })
	if i < 0 {
		return
	}
	p := w.members[i]
	p.inFlight, p.orderedAt = false, now
	switch answer {
	case Executed:
		p.begun, p.unconfirmed = true, false
		s.machineOrderExecuted(now, p.machine)
	case NotInWave:
		p.unconfirmed = false
		s.notOrdered(now, p)
		s.uncordon(p.machine)
		p.chosenAt, p.retryAt = time.Time{}, now.Add(rejectedRetryDelay)
		if p.denials++; p.denials >= denialsToBelieve {
			p.begun, p.returned = true, true // it needs no maintenance
			s.logDecision("Excluded", TaskID{}, "", p.machine+" NotInWave, answered "+strconv.Itoa(p.denials)+" times", w.Number)
		}
	case StaleToken:
		s.fencedOff = true
	case Unanswered:
		p.unconfirmed, p.retryAt = true, now.Add(maintenanceRetryDelay)
	case Malformed:
		s.rejected(now, p)
	case MachineBusy:
		if p.unlisted() {
			s.rejected(now, p)
			break
		}
		s.notOrdered(now, p)
	default:
		s.notOrdered(now, p)
	}
	s.placementChanged, s.fleetChanged = true, true
}

// notOrdered records that an order to a wave's machine was not executed. An earlier one that got no answer may have been.
func (s *State) notOrdered(now time.Time, p *waveMachine) {
	p.retryAt = now.Add(maintenanceRetryDelay)
	if w := s.workers[s.machines[p.machine].Worker]; w != nil && !p.unconfirmed {
		w.maintenanceOrdered = false
	}
}

// rejected records that the machine API rejected an order to a wave's machine that may be gone, which later lists must confirm.
func (s *State) rejected(now time.Time, p *waveMachine) {
	p.unconfirmed = false
	s.notOrdered(now, p)
	s.uncordon(p.machine)
	p.rejectedAt, p.lackingLists, p.chosenAt, p.retryAt = now, 0, time.Time{}, now.Add(rejectedRetryDelay)
	s.machinesRequestedAt = time.Time{}
}

// unlisted reports whether the lists of machines lack the machine.
func (p *waveMachine) unlisted() bool { return p.lackingLists >= listsToForget }

// machineOrderExecuted records that an order to a machine was executed. The answer is the same for an order that
// had been executed before, in which case the runs on the machine go on, so the next list of machines decides
// whether they have ended.
func (s *State) machineOrderExecuted(now time.Time, machine string) {
	s.executedOrders[machine] = executedOrder{worker: s.machines[machine].Worker, at: now}
	s.machinesRequestedAt = time.Time{}
}

// executedOrder is an executed order to a machine whose effect on the machine's worker no list of machines has shown yet.
type executedOrder struct {
	worker string
	at     time.Time
}

// resolveExecutedOrders applies a list of machines, requested at the time asked, to the executed orders: it releases
// the runs of a worker whose machine is down or has another worker, and uncordons a worker that is still up.
func (s *State) resolveExecutedOrders(now, asked time.Time) {
	for _, name := range sortedKeys(s.executedOrders) {
		t := s.executedOrders[name]
		m, known := s.machines[name]
		if !asked.After(t.at) || known && !s.listedNow(name) {
			continue
		}
		w := s.workers[t.worker]
		up := w != nil && m.Worker == t.worker && m.Up
		if up && asked.Sub(t.at) <= machineListLag {
			continue // the list may be older than the order
		}
		delete(s.executedOrders, name)
		switch {
		case up:
			s.uncordon(name)
			w.maintenanceOrdered, w.moveOrdered = false, false
			for _, wv := range s.waves {
				for _, p := range wv.members {
					p.returned = p.returned || p.begun && p.machine == name
				}
			}
		case w != nil:
			w.ended = true
			s.releaseAll(now, w)
		}
	}
}

// uncordon lets a machine's worker take tasks again.
func (s *State) uncordon(machine string) { s.uncordonWorker(s.machines[machine].Worker) }

// uncordonWorker lets a worker take tasks again.
func (s *State) uncordonWorker(id string) {
	if w := s.workers[id]; w != nil && w.cordoned {
		w.cordoned, w.maintenanceOrdered, w.moveOrdered = false, false, false
		s.placementChanged = true
	}
}

// planWaves advances all waves. A machine that comes back after its wave was completed without it is still due for its maintenance.
func (s *State) planWaves(now time.Time, o *Orders) {
	s.seekRoom = nil
	for _, number := range sortedKeys(s.waves) {
		w := s.waves[number]
		if w.settled() {
			continue
		}
		s.updateWaveMachines(now, w)
		if !w.allBegun {
			s.requestMachineList(now, o)
			s.planWave(now, w, o)
		}
		s.saveWave(w, o)
	}
}

// settled reports whether the stored status says that the wave is completed and that maintenance has begun on all of its machines.
func (w *wave) settled() bool { return w.completionStored && w.storedBegun == len(w.members) }

// requestMachineList requests the list of machines once the last request is machineListInterval old.
func (s *State) requestMachineList(now time.Time, o *Orders) {
	if now.Sub(s.machinesRequestedAt) >= machineListInterval {
		s.machinesRequestedAt = now
		o.ListMachines = true
	}
}

// updateWaveMachines reads from the list of machines which of a wave's machines have returned or are gone.
//
// A machine is gone if the machine API has rejected an order to it and listsToForget lists that were requested since lack it. A list alone
// proves nothing: it may be older than the machine, and one of several pages may lack a machine that existed all the time.
func (s *State) updateWaveMachines(now time.Time, w *wave) {
	if len(s.machines) == 0 {
		return
	}
	w.allBegun = true
	outdated := now.Sub(s.machinesAsOf) > maxMachineListAge && !w.completed // a machine that was gone may be back
	for _, p := range w.members {
		switch {
		case !s.listedNow(p.machine):
			s.noteLacking(now, w, p)
		case s.machinesAsOf.After(p.rejectedAt):
			p.lackingLists, p.excluded, p.rejectedAt = 0, false, time.Time{}
		}
		p.returned = p.returned || s.hasReturned(p)
		if !p.begun && (!p.excluded || outdated) {
			w.allBegun = false
		}
	}
}

// hasReturned reports whether the maintenance of a machine has begun and is over, by a list that was requested since.
func (s *State) hasReturned(p *waveMachine) bool {
	asOf := s.machineSeen[p.machine]
	if p.unlisted() {
		asOf = s.machinesAsOf
	}
	return p.begun && (s.machines[p.machine].Up || p.unlisted()) && asOf.Sub(p.orderedAt) > s.settings.UpkeepTime+machineListLag
}

// noteLacking notes that the list of machines lacks a machine of a wave, and excludes the machine if it is gone.
func (s *State) noteLacking(now time.Time, w *wave, p *waveMachine) {
	since := latest(w.knownAt, p.rejectedAt)
	if !s.machinesAsOf.After(p.lackedAsOf) || s.machinesAsOf.Sub(since) <= machineListLag || s.machinesUnclear {
		return
	}
	p.lackingLists, p.lackedAsOf = p.lackingLists+1, s.machinesAsOf
	if !p.rejectedAt.IsZero() && p.unlisted() && !p.excluded {
		p.excluded = true
		s.logDecision("Excluded", TaskID{}, "", p.machine+" Rejected "+now.Sub(p.rejectedAt).String()+" ago and NotListed, "+s.listAge(now, w), w.Number)
	}
}

// listAge describes how old the list of machines is, also compared with when this owner first knew the wave.
func (s *State) listAge(now time.Time, w *wave) string {
	return "list of " + now.Sub(s.machinesAsOf).String() + " ago, " + s.machinesAsOf.Sub(w.knownAt).String() + " after the wave was known"
}

// mayBeDown reports whether the machine is or may be down for its maintenance.
func (p *waveMachine) mayBeDown() bool { return p.inFlight || p.unconfirmed || p.begun && !p.returned }

// planWave chooses machines of a wave and orders their maintenance once what runs on them may be ended.
func (s *State) planWave(now time.Time, w *wave, o *Orders) {
	if len(s.machines) == 0 || s.machinesAsOf.Sub(s.began) <= machineListLag {
		return // the list may not show yet which machines an earlier owner took down
	}
	down, chosen, left := 0, 0, 0
	for _, p := range w.members {
		switch {
		case p.mayBeDown() || s.machines[p.machine].Unavailable && s.moves[p.machine] == nil:
			down++ // includes a machine that an earlier owner took down without having stored it
		case !p.begun && !p.excluded:
			left++
			if m := s.machines[p.machine]; !m.Up && !s.config.Pools[m.Pool].Spare {
				p.chosenAt = time.Time{} // the machine is down for another reason and must not delay the others
			}
			if !p.chosenAt.IsZero() {
				chosen++
			}
		}
	}
	turns := s.turnsLeft(w)
	for _, p := range s.sortedWaveMachines(now, w, turns) {
		if p.begun || p.excluded || p.inFlight || (p.unconfirmed || p.chosenAt.IsZero()) && now.Before(p.retryAt) {
			continue
		}
		m := s.machines[p.machine]
		spare := s.config.Pools[m.Pool].Spare
		if s.moves[p.machine] != nil || m.Unavailable || !m.Up && !spare || s.otherOrderPending(w, p.machine) {
			continue
		}
		if p.chosenAt.IsZero() {
			s.logWaiting(now, w, p)
			wk := s.workers[m.Worker]
			if !spare && !p.unconfirmed && (!s.mayChoose(now, w, m, turns[p.machine], down+chosen, left) || !s.mayPrepare(now, wk) || wk.crowded() && chosen > 0) {
				continue
			}
			p.chosenAt = now
			chosen++
			if wk := s.workers[m.Worker]; wk != nil && !spare {
				wk.cordoned = true
				s.logDecision("Cordoned", TaskID{}, wk.ID, "UpkeepDue", w.Number)
			}
		}
		if !p.unconfirmed && !spare {
			p.emptying = s.stopExcessTask(now, s.workers[m.Worker]) || p.emptying
			if s.heldTooLong(now, p, s.workers[m.Worker]) {
				s.unchoose(now, w, p)
				chosen--
				continue
			}
		}
		s.logWaiting(now, w, p)
		if p.unconfirmed && !spare && !s.mayRepeatOrder(now, p, s.workers[m.Worker]) {
			continue
		}
		if now.Before(p.retryAt) || !p.unconfirmed && now.Sub(s.machineSeen[p.machine]) > maxMachineListAge {
			continue
		}
		if !spare && !s.workers[m.Worker].answers() && s.mayHaveWorker(p.machine) {
			continue // a newer list must show whether another worker runs there
		}
		if !p.unconfirmed && (down >= w.MaxDown || !spare && !s.mayTakeDown(now, s.workers[m.Worker], now.Sub(p.chosenAt) < batchDrainTimeout)) {
			continue
		}
		if !p.unconfirmed {
			down++
			chosen--
		}
		if wk := s.workers[m.Worker]; wk != nil {
			// The worker may have come after its machine was chosen.
			wk.maintenanceOrdered, wk.cordoned = true, wk.cordoned || !spare
		}
		w.order(now, p, o)
	}
	s.probeUnlisted(now, w, down+chosen, o)
}

// mayRepeatOrder reports whether an order that got no answer may be executed now. While the worker answers, the order has not ended what runs there.
// An order that can't be executed any more is settled.
func (s *State) mayRepeatOrder(now time.Time, p *waveMachine, w *worker) bool {
	if !w.answers() {
		return true
	}
	if now.Sub(p.orderedAt) > lateExecution && w.lastPoll.After(p.orderedAt) {
		p.unconfirmed, w.maintenanceOrdered = false, false
	}
	return s.mayTakeDown(now, w, false)
}

// order orders the maintenance of a machine.
func (w *wave) order(now time.Time, p *waveMachine, o *Orders) {
	p.inFlight, p.orderedAt, p.rejectedAt = true, now, time.Time{} // only the answer to the last order counts
	o.Machines = append(o.Machines, MachineOrder{Machine: p.machine, Wave: w.Number})
}

// probeUnlisted orders the maintenance of the machines that the list lacks. The machine API rejects the order if the machine is gone, and
// executes it if only the list lacks the machine; taken is how many machines are chosen or down.
func (s *State) probeUnlisted(now time.Time, w *wave, taken int, o *Orders) {
	for _, p := range w.members {
		switch {
		case !p.unlisted() || p.begun || p.excluded || p.inFlight || !p.rejectedAt.IsZero() || now.Before(p.retryAt):
		case s.moves[p.machine] != nil || s.otherOrderPending(w, p.machine) || s.mayHaveWorker(p.machine):
		case p.unconfirmed:
			w.order(now, p, o)
		case taken < w.MaxDown:
			taken++
			w.order(now, p, o)
		}
	}
}

// mayHaveWorker reports whether a worker answers that was last seen on the machine, or that no list has shown yet.
func (s *State) mayHaveWorker(machine string) bool {
	for _, w := range s.workers {
		if (w.machine == machine || w.machine == "") && w.answers() && !w.ended {
			return true
		}
	}
	return false
}

// waitLogInterval is the shortest time between two log entries on why a machine waits for its maintenance.
const waitLogInterval = 2 * time.Second

// logWaiting logs why a machine waits for its maintenance, once its wave has passed its target duration.
func (s *State) logWaiting(now time.Time, w *wave, p *waveMachine) {
	if now.Sub(w.requestedAt) < w.targetDuration() || now.Sub(p.lastLogged) < waitLogInterval {
		return
	}
	p.lastLogged = now
	m := s.machines[p.machine]
	why := s.maintenanceBlocker(now, s.workers[m.Worker], !p.chosenAt.IsZero())
	if why == "" && s.neededByPool(m) {
		why = "PoolLacksMachines"
	}
	s.logDecision("Held", TaskID{}, m.Worker, p.machine+" "+why, w.Number)
}

// turnsLeft returns, by machine of the wave that is left, how many times machines have to go down one after the other for the long-running step on
// it that needs most: as many as have tasks of the step, divided by how many of these may be away.
func (s *State) turnsLeft(w *wave) map[string]int {
	steps := make(map[string][]*stage) // by machine
	machines := make(map[*stage]int)
	for _, p := range w.members {
		wk := s.workers[s.machines[p.machine].Worker]
		if wk == nil || p.begun || p.excluded {
			continue
		}
		for st := range wk.longRunningRuns() {
			steps[p.machine] = append(steps[p.machine], st)
			machines[st]++
		}
	}
	turns := make(map[string]int, len(steps))
	for machine, all := range steps {
		for _, st := range all {
			limit := st.step.unavailableLimit()
			turns[machine] = max(turns[machine], (machines[st]+limit-1)/limit)
		}
	}
	return turns
}

// urgent reports whether so many turns take all of the wave's target duration that is left.
func (s *State) urgent(now time.Time, w *wave, turns int) bool {
	return turns > 1 && now.Sub(w.requestedAt)+time.Duration(turns)*s.maintenanceCycle() >= w.targetDuration()
}

// mayChoose reports whether a wave may choose a machine while taken others are chosen or down. One that its pool needs is chosen
// only when the wave is pressed for time, and then only as fast as the wave needs, or when a step's tasks leave no time for fewer turns.
func (s *State) mayChoose(now time.Time, w *wave, m Machine, turns, taken, left int) bool {
	if !s.neededByPool(m) || s.urgent(now, w, turns) {
		return taken < w.MaxDown
	}
	return s.pressedForTime(now, w, left) && taken < s.waveLimit(now, w, left)
}

// neededByPool reports whether a machine has runs and its pool has no more machines than its batch work needs.
func (s *State) neededByPool(m Machine) bool {
	l := s.demands[m.Pool]
	return l != nil && l.need > l.floor && l.machines <= l.need && s.runCount(m) > 0
}

// pressedForTime reports whether a wave has only as much of its target duration left as its remaining machines take with half
// of those down that may be down at once; left is their number.
func (s *State) pressedForTime(now time.Time, w *wave, left int) bool {
	atOnce := max(1, w.MaxDown/pressedDownDivisor)
	return now.Sub(w.requestedAt)+time.Duration(left)*s.maintenanceCycle()/time.Duration(atOnce) >= w.targetDuration()
}

// maintenanceCycle returns the time that the maintenance of one machine takes.
func (s *State) maintenanceCycle() time.Duration { return s.settings.UpkeepTime + maintenanceOverhead }

// otherOrderPending reports whether the outcome of an order to a machine is not known yet: one for another wave,
// or one whose effect no list of machines has shown.
func (s *State) otherOrderPending(w *wave, machine string) bool {
	if _, pending := s.executedOrders[machine]; pending {
		return true
	}
	for _, other := range s.waves {
		if other == w {
			continue
		}
		for _, p := range other.members {
			if p.machine == machine && (p.inFlight || p.unconfirmed) {
				return true
			}
		}
	}
	return false
}

// targetDuration returns the time in which the wave should complete: its time limit without the reserve for outages.
func (w *wave) targetDuration() time.Duration { return w.TimeLimit - w.TimeLimit/waveReserveDivisor }

// waveLimit returns how many machines may be chosen or down now: as few as let the wave complete in its target
// duration, within its cap.
func (s *State) waveLimit(now time.Time, w *wave, left int) int {
	cycle := s.maintenanceCycle()
	remaining := max(time.Second, w.targetDuration()-now.Sub(w.requestedAt))
	need := int((time.Duration(left)*cycle+remaining-1)/remaining) + 1
	return min(w.MaxDown, need)
}

// sortedWaveMachines returns a wave's machines in the order in which to choose them: those already chosen first, then those whose steps
// need the most turns if time is short, then those that their pools' batch tasks do not need, then those with the fewest runs.
func (s *State) sortedWaveMachines(now time.Time, w *wave, turns map[string]int) []*waveMachine {
	members := slices.Clone(w.members)
	load := func(p *waveMachine) int {
		m := s.machines[p.machine]
		wk := s.workers[m.Worker]
		switch {
		case !p.chosenAt.IsZero():
			return math.MinInt
		case wk == nil:
			return 0
		}
		if n := turns[p.machine]; s.urgent(now, w, n) {
			return -n
		}
		n := 1
		if s.neededByPool(m) {
			n += neededMachineCost
		}
		for _, r := range wk.runs {
			n++
			if r.task != nil && r.task.stage.step.LongRunning {
				n += longRunningCost
			}
		}
		return n
	}
	loads := make(map[*waveMachine]int, len(members))
	for _, p := range members {
		loads[p] = load(p)
	}
	slices.SortStableFunc(members, func(a, b *waveMachine) int { return cmp.Compare(loads[a], loads[b]) })
	return members
}

// answers reports whether the worker has answered its last poll.
func (w *worker) answers() bool { return w != nil && w.polled && w.pollFailures == 0 }

// mayTakeDown reports whether the runs on a worker may be ended for the maintenance of its machine.
func (s *State) mayTakeDown(now time.Time, w *worker, waitForBatch bool) bool {
	return s.maintenanceBlocker(now, w, waitForBatch) == ""
}

// mayPrepare reports whether a wave may choose the worker's machine: its maintenance may begin now, or once excess tasks of a long-running
// step have been moved off it.
func (s *State) mayPrepare(now time.Time, w *worker) bool {
	if w.crowded() {
		for st := range w.longRunningRuns() {
			if st.unavailable(w) > 0 {
				return false
			}
		}
		return w.polled
	}
	return s.mayTakeDown(now, w, false)
}

// longRunningRuns returns the number of the worker's runs for each long-running stage whose job has not ended.
func (w *worker) longRunningRuns() map[*stage]int {
	n := make(map[*stage]int)
	for _, r := range w.runs {
		if r.task != nil && r.task.stage.step.LongRunning && !r.task.stage.job.state.Final() {
			n[r.task.stage]++
		}
	}
	return n
}

// crowded reports whether the worker runs more tasks of a long-running step than may be unavailable at once.
func (w *worker) crowded() bool {
	if w == nil {
		return false
	}
	for st, n := range w.longRunningRuns() {
		if n > st.step.unavailableLimit() {
			return true
		}
	}
	return false
}

// maintenanceBlocker returns the reason why the maintenance of a worker's machine must not begin now, or "".
//
// No more tasks of a long-running step may be unavailable than the step allows. With waitForBatch the
// machine also waits for its batch tasks, each for at most batchDrainTimeout.
func (s *State) maintenanceBlocker(now time.Time, w *worker, waitForBatch bool) string {
	if w == nil {
		return ""
	}
	if !w.polled && !now.After(w.leaseEnd) {
		return "NotLookedAt"
	}
	taken := make(map[*stage]int)
	for _, r := range w.sortedRuns() {
		switch {
		case r.awaited:
			return "RunsUnread"
		case r.task == nil || r.task.stage.job.state.Final():
		case r.task.stage.step.LongRunning:
			taken[r.task.stage]++
		case waitForBatch && now.Sub(r.since) < batchDrainTimeout:
			return "BatchTasksRun"
		}
	}
	for st, n := range taken {
		if unavailable := st.unavailable(w); unavailable+n > st.step.unavailableLimit() {
			return "TasksAway:" + st.job.ID + "/" + strconv.Itoa(st.index) + ":" + strconv.Itoa(unavailable) + "+" + strconv.Itoa(n)
		}
	}
	return ""
}

// stopExcessTask prepares a worker for maintenance when it runs more tasks of a long-running step than may be unavailable
// at once. It stops one of them, which then starts on another worker, and only while all other tasks are available. It reports whether it did.
func (s *State) stopExcessTask(now time.Time, w *worker) (stopped bool) {
	if !w.crowded() || !s.mayEmpty(now, w) {
		return false
	}
	taken := make(map[*stage]int)
	for _, r := range w.sortedRuns() {
		if r.task == nil || !r.task.stage.step.LongRunning || r.phase != running {
			continue
		}
		st := r.task.stage
		taken[st]++
		othersAway := st.unavailable(nil) - boolInt(!r.available())
		if taken[st] > st.step.unavailableLimit() && othersAway == 0 && !w.isStopping(st) {
			r.phase = stopping
			w.requestScan()
			s.logDecision("Stop", r.id, w.ID, "UpkeepDue", r.number)
			stopped = true
		}
	}
	return stopped
}

// heldTooLong reports whether a chosen machine has waited too long for tasks that are unavailable elsewhere. Some of them may have room there
// only.
func (s *State) heldTooLong(now time.Time, p *waveMachine, w *worker) bool {
	if w == nil || s.mayTakeDown(now, w, false) {
		p.heldSince = time.Time{}
		return false
	}
	if p.heldSince.IsZero() {
		p.heldSince = now
	}
	limit := s.maintenanceCycle() // another machine of the wave may be down with them
	if p.emptying {
		limit += spreadWait
	}
	return now.Sub(p.heldSince) >= limit
}

// unchoose lets a chosen machine take tasks again. It ends the choice of all waves: another wave that went on emptying the machine would stop
// the tasks that are placed there now.
func (s *State) unchoose(now time.Time, w *wave, p *waveMachine) {
	wk := s.workers[s.machines[p.machine].Worker]
	s.logDecision("Uncordoned", TaskID{}, wk.ID, p.machine+" "+s.maintenanceBlocker(now, wk, false), w.Number)
	for _, other := range s.waves {
		for _, m := range other.members {
			if m.machine == p.machine && !m.begun && !m.mayBeDown() {
				m.chosenAt, m.heldSince, m.emptying = time.Time{}, time.Time{}, false
			}
		}
	}
	s.uncordon(p.machine)
}

// mayEmpty reports whether the other workers have room for all tasks by which steps exceed on w what may be unavailable at once. If they have
// not, as far as the placement advisor was asked, the next placement asks about others.
func (s *State) mayEmpty(now time.Time, w *worker) bool {
	may := true
	for st, n := range w.longRunningRuns() {
		if excess := n - st.step.unavailableLimit(); excess > 0 && s.placesBeside(now, st, w) < excess {
			may = false
			if s.config.Queues[st.job.Queue].Advice != nil {
				s.seekRoom = append(s.seekRoom, st)
			}
		}
	}
	return may
}

// placesBeside returns how many more tasks of the stage the workers other than w have room for.
func (s *State) placesBeside(now time.Time, st *stage, w *worker) int {
	q := s.config.Queues[st.job.Queue]
	n, runsPerWorker := 0, st.runsPerWorker()
	for _, other := range s.sortedWorkers() {
		if other != w && other.Pool == q.Pool && other.usable(now) && st.permitted(q, other) {
			n += st.fitting(other, other.free(), runsPerWorker)
		}
	}
	return n
}

// isStopping reports whether a run of the step is being stopped on the worker.
func (w *worker) isStopping(st *stage) bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.stage == st && r.phase == stopping {
			return true
		}
	}
	return false
}

// unavailable counts the tasks of a long-running step, other than those on w, that are not available.
func (st *stage) unavailable(w *worker) int {
	n := 0
	for i := range st.tasks {
		r := st.tasks[i].run
		if r != nil && r.worker == w {
			continue
		}
		if r == nil || !r.available() {
			n++
		}
	}
	return n
}

// available reports whether the run of a long-running task is ready on a worker that answers and is neither going down nor draining.
func (r *run) available() bool {
	return r.phase == running && r.percent >= fullPercent && r.worker.pollFailures == 0 && !r.worker.maintenanceOrdered && !r.worker.Draining
}

// saveWave requests storing a wave's status when it has changed.
func (s *State) saveWave(w *wave, o *Orders) {
	if w.allBegun && !w.completed {
		w.completed = true
		s.logDecision("WaveCompleted", TaskID{}, "", "after "+s.planned.Sub(w.requestedAt).String()+", "+s.listAge(s.planned, w), w.Number)
	}
	status := WaveStatus{Wave: w.Number, Completed: w.completed, Asked: w.requestedAt}
	for _, p := range w.members {
		if p.begun {
			status.Begun = append(status.Begun, p.machine)
		}
	}
	if w.saving || w.stored && len(status.Begun) == w.storedBegun && w.completed == w.completionStored {
		return
	}
	w.saving = true
	o.Waves = append(o.Waves, status)
}
