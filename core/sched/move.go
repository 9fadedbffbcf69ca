package sched

import "time"

// move is the move of a machine to another pool, from its choice until the list of machines shows it.
type move struct {
	to          string
	from        string
	worker      string // id of the worker that was cordoned for it
	startedAt   time.Time
	executed    bool // the order was answered as executed
	inFlight    bool // the order was sent and is not answered yet
	unconfirmed bool // an order got no answer and may have been executed
	retryAt     time.Time
	answeredAt  time.Time // when the order was last answered
}

const (
	moveDrainTimeout = 3 * time.Second // a machine that is not empty after this time stays in its pool
	moveRetryDelay   = 400 * time.Millisecond
	moveListDelay    = 2 * time.Second // from the end of a move until the list of machines must show it
)

// startMove chooses a machine to move to another pool; its worker gets no more tasks.
func (s *State) startMove(now time.Time, name, to string) {
	m := s.machines[name]
	s.moves[name] = &move{to: to, from: m.Pool, worker: m.Worker, startedAt: now}
	if l := s.demands[m.Pool]; l != nil && !s.config.Pools[m.Pool].Spare {
		l.machines = max(0, l.machines-1)
	}
	w := s.workers[m.Worker]
	id := ""
	if w != nil {
		w.cordoned, id = true, w.ID
	}
	s.logDecision("MoveChosen", TaskID{}, id, name+" to "+to, 0)
}

// advanceMove removes a move that is done, and cancels one that took too long to drain or is not needed any more.
func (s *State) advanceMove(now time.Time, name string, mv *move) {
	m, listed := s.machines[name]
	switch {
	case mv.inFlight || mv.unconfirmed: // the answer to the order tells more than a list
	case !listed:
		delete(s.moves, name)
		s.uncordonWorker(mv.worker) // a later list may show the machine again
	case mv.executed:
		if m.Pool == mv.to && !m.Unavailable && s.machineSeen[name].Sub(mv.answeredAt) > machineListLag || now.Sub(mv.answeredAt) > s.settings.MoveTime+moveListDelay {
			delete(s.moves, name)
		}
	case now.Sub(mv.startedAt) > moveDrainTimeout || s.sourceNeedsMachine(mv):
		s.cancelMove(name, mv)
	}
}

// cancelMove gives up a move that was not ordered yet; the machine stays in its pool.
func (s *State) cancelMove(name string, mv *move) {
	delete(s.moves, name)
	s.uncordon(name)
	s.logDecision("MoveEnded", TaskID{}, s.machines[name].Worker, name+" stays in "+mv.from, 0)
	if l := s.demands[mv.from]; l != nil && !s.config.Pools[mv.from].Spare {
		l.machines++ // so that no more moves are cancelled than the pool lacks machines
	}
}

// sourceNeedsMachine reports whether the pool that the machine is to leave needs it again.
func (s *State) sourceNeedsMachine(mv *move) bool {
	l := s.demands[mv.from]
	return l != nil && l.machines < l.share
}

// sendMove sends the order to move once the machine is empty, and until then stops tasks that can go on elsewhere.
func (s *State) sendMove(now time.Time, name string, mv *move, o *Orders) {
	if mv.inFlight || mv.executed || now.Before(mv.retryAt) {
		return
	}
	w := s.workers[s.machines[name].Worker]
	if w != nil && len(w.runs) > 0 && !mv.unconfirmed {
		s.vacate(now, w, mv)
		return
	}
	if w != nil {
		w.moveOrdered = true
	}
	mv.inFlight = true
	o.Machines = append(o.Machines, MachineOrder{Machine: name, Pool: mv.to})
}

// minRemainingToStop is the remaining run time from which stopping a task and resuming it elsewhere saves time.
const minRemainingToStop = 600 * time.Millisecond

// vacate stops tasks with checkpoints on a machine that another pool with waiting work is to get, as far as other
// workers of the machine's pool have room for them now. They resume there.
func (s *State) vacate(now time.Time, w *worker, mv *move) {
	if s.config.Pools[mv.to].Spare || s.demands[mv.to] == nil || s.demands[mv.to].backlog == (vector{}) {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.task == nil || r.phase != running || !r.task.stage.step.Checkpoint || r.task.stage.step.Gang {
			continue
		}
		st := r.task.stage
		if s.remaining(now, r) < minRemainingToStop || !s.reserveElsewhere(now, w, st.job, r.size) {
			continue
		}
		r.phase = stopping
		w.requestScan()
		s.logDecision("Stop", r.id, w.ID, "MachineMoves", r.number)
	}
}

// reserveElsewhere reports whether another usable worker of the pool has room for a task of the job, and if so reserves the
// room until the end of the plan.
func (s *State) reserveElsewhere(now time.Time, from *worker, j *job, size Size) bool {
	if !s.promisedAt.Equal(now) {
		s.promisedAt = now
		clear(s.promisedRoom)
	}
	for _, w := range s.sortedWorkers() {
		if w == from || w.Pool != from.Pool || !j.mayStartIn(w.Zone) || !w.usable(now) || !size.Fits(w.free().Sub(s.promisedRoom[w.ID])) {
			continue
		}
		s.promisedRoom[w.ID] = s.promisedRoom[w.ID].Add(size)
		return true
	}
	return false
}

// moveAnswered records the answer of the machine API to an order to move.
func (s *State) moveAnswered(now time.Time, order MachineOrder, answer Answer) {
	mv := s.moves[order.Machine]
	if mv == nil {
		return
	}
	mv.inFlight, mv.answeredAt = false, now
	switch answer {
	case Executed:
		mv.executed, mv.unconfirmed = true, false
		s.machineOrderExecuted(now, order.Machine)
	case StaleToken:
		s.fencedOff = true
	case Unanswered, Unhealthy:
		mv.unconfirmed = mv.unconfirmed || answer == Unanswered
		mv.retryAt = now.Add(moveRetryDelay)
	default:
		if answer == Malformed {
			s.refusedMoves[moveTarget{order.Machine, order.Pool}] = true
		}
		delete(s.moves, order.Machine)
		s.uncordon(order.Machine)
	}
	s.placementChanged, s.fleetChanged = true, true
}
