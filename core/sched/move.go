package sched

import "time"

// move is a machine on its way to another pool.
type move struct {
	to       string
	from     string
	began    time.Time
	ordered  bool
	inFlight bool
	doubt    bool
	retry    time.Time
	at       time.Time // when the order was answered
}

const (
	moveDrain   = 3 * time.Second // a machine that does not get empty in this time stays
	moveRetry   = 400 * time.Millisecond
	moveVisible = 2 * time.Second // after this long the list of machines must show a move
)

// beginMove chooses a machine for another pool; its worker gets no more tasks.
func (s *State) beginMove(now time.Time, name, to string) {
	m := s.machines[name]
	s.moves[name] = &move{to: to, from: m.Pool, began: now}
	if l := s.lendings[m.Pool]; l != nil && !s.config.Pools[m.Pool].Spare {
		l.machines = max(0, l.machines-1)
	}
	w := s.workers[m.Worker]
	id := ""
	if w != nil {
		w.cordoned, id = true, w.ID
	}
	s.note("MoveChosen", TaskID{}, id, name+" to "+to, 0)
}

// carryMove ends moves that are over or not wanted any more.
func (s *State) carryMove(now time.Time, name string, mv *move) {
	m, listed := s.machines[name]
	switch {
	case !listed:
		delete(s.moves, name)
	case mv.inFlight || mv.doubt:
	case mv.ordered:
		if m.Pool == mv.to && !m.Away && s.listedAt.Sub(mv.at) > listLag || now.Sub(mv.at) > s.settings.MoveTime+moveVisible {
			delete(s.moves, name)
		}
	case now.Sub(mv.began) > moveDrain || s.wantsBack(mv):
		s.endMove(name, mv)
	}
}

// endMove leaves a machine where it is.
func (s *State) endMove(name string, mv *move) {
	delete(s.moves, name)
	s.uncordon(name)
	s.note("MoveEnded", TaskID{}, s.machines[name].Worker, name+" stays in "+mv.from, 0)
	if l := s.lendings[mv.from]; l != nil && !s.config.Pools[mv.from].Spare {
		l.machines++ // so that no more machines come back than the pool lacks
	}
}

// wantsBack reports whether the pool that a machine was to leave needs it again.
func (s *State) wantsBack(mv *move) bool {
	l := s.lendings[mv.from]
	return l != nil && l.machines < l.need
}

// orderMove sends the order once the machine is empty.
func (s *State) orderMove(now time.Time, name string, mv *move, o *Orders) {
	if mv.inFlight || mv.ordered || now.Before(mv.retry) {
		return
	}
	if w := s.workers[s.machines[name].Worker]; w != nil && len(w.runs) > 0 && !mv.doubt {
		s.vacate(now, w, mv)
		return
	}
	mv.inFlight = true
	o.Machines = append(o.Machines, MachineOrder{Machine: name, Pool: mv.to})
}

// vacateLeast is how much of a task must be left for a stop and a resumption to pay.
const vacateLeast = 600 * time.Millisecond

// vacate stops tasks that save their progress on a machine that another pool waits for, as far as
// other workers of its pool have room for them at once.
func (s *State) vacate(now time.Time, w *worker, mv *move) {
	if s.config.Pools[mv.to].Spare || s.lendings[mv.to] == nil || s.lendings[mv.to].backlog == (vector{}) {
		return
	}
	for _, r := range w.sorted() {
		if r.task == nil || r.phase != running || !r.task.stage.step.Checkpoint || r.task.stage.step.Gang {
			continue
		}
		st := r.task.stage
		if s.estimate(st.job.Queue, st.step)-now.Sub(r.since) < vacateLeast || !s.takeRoom(now, w, r.size) {
			continue
		}
		r.phase = stopping
		w.attend()
		s.note("Stop", r.id, w.ID, "MachineMoves", r.number)
	}
}

// takeRoom reports whether another usable worker of the pool has room for a task, and counts it as given away.
func (s *State) takeRoom(now time.Time, from *worker, size Size) bool {
	if !s.vacated.Equal(now) {
		s.vacated = now
		clear(s.promised)
	}
	for _, w := range s.ordered() {
		if w == from || w.Pool != from.Pool || !w.usable(now) || !size.Fits(w.free().Sub(s.promised[w.ID])) {
			continue
		}
		s.promised[w.ID] = s.promised[w.ID].Add(size)
		return true
	}
	return false
}

// moveAnswered takes in what became of a move.
func (s *State) moveAnswered(now time.Time, order MachineOrder, answer Answer) {
	mv := s.moves[order.Machine]
	if mv == nil {
		return
	}
	mv.inFlight, mv.at = false, now
	switch answer {
	case Carried:
		mv.ordered, mv.doubt = true, false
		s.machineWentDown(now, order.Machine)
	case Outdated:
		s.deposed = true
	case Unanswered, Unhealthy:
		mv.doubt = mv.doubt || answer == Unanswered
		mv.retry = now.Add(moveRetry)
	default:
		if answer == Malformed {
			s.refusedMoves[moveTarget{order.Machine, order.Pool}] = true
		}
		delete(s.moves, order.Machine)
		s.uncordon(order.Machine)
	}
	s.changed, s.fleetChanged = true, true
}
