package sched

import "time"

// RosterChange asks for the durable roster to name a worker, or to forget it.
//
// The roster holds the workers on which runs may be. It names a worker before the first start there, so
// that a successor knows of workers that the platform's list has lost. Each worker has a record of its
// own, because machines that change pools bring many new workers a second.
type RosterChange struct {
	Worker Worker
	Named  bool
}

// mayRun reports whether something may run on a worker, now or after the next start.
func (w *worker) mayRun(now time.Time) bool {
	return !w.gone && (w.listed || len(w.runs) > 0 || !now.After(w.lapse))
}

// rosterKnown reports whether the durable roster may name the worker.
func (w *worker) rosterKnown() bool { return w.rostered || w.rosterSaving || w.rosterUnsure }

// planRoster asks for the records of workers that came or went to be stored.
func (s *State) planRoster(now time.Time, workers []*worker, o *Orders) {
	for _, w := range workers {
		named := w.mayRun(now)
		if w.rosterSaving || named == w.rostered && (named || !w.rosterUnsure) {
			continue
		}
		w.rosterSaving, w.rostered = true, false // nothing is started there meanwhile
		o.Roster = append(o.Roster, RosterChange{Worker: w.Worker, Named: named})
	}
}

// RosterSaved records that a change of the roster is durable.
func (s *State) RosterSaved(c RosterChange) {
	w := s.workers[c.Worker.ID]
	if w == nil {
		return
	}
	w.rosterSaving, w.rosterUnsure, w.rostered = false, false, c.Named
	s.changed = true
}

// RosterFailed records that a change of the roster must be stored again.
func (s *State) RosterFailed(c RosterChange) {
	if w := s.workers[c.Worker.ID]; w != nil {
		w.rosterSaving, w.rosterUnsure = false, true
	}
}

// RosterWas takes in a worker that an earlier owner's roster names; it comes after the list of workers.
func (s *State) RosterWas(now time.Time, known Worker) {
	w := s.workers[known.ID]
	if w == nil {
		w = s.addWorker(known)
	}
	w.rostered = true
	w.nextLook = now
}
