package sched

import "time"

// Roster lists the workers on which runs may be. It is durable before the first start on a worker,
// so that a successor knows of workers that the platform's list has lost.
type Roster struct {
	Version uint64
	Workers []Worker
}

// mayRun reports whether something may run on a worker, now or after the next start.
func (w *worker) mayRun(now time.Time) bool {
	return !w.gone && (w.listed || len(w.runs) > 0 || !now.After(w.lapse))
}

// planRoster asks for the roster to be stored when a worker is new in it.
func (s *State) planRoster(now time.Time, workers []*worker, o *Orders) {
	if s.rosterSaving {
		return
	}
	stale := false
	for _, w := range workers {
		stale = stale || w.rostered != w.mayRun(now)
	}
	if !stale {
		return
	}
	s.rosterSaving = true
	s.roster++
	r := &Roster{Version: s.roster}
	for _, w := range workers {
		if w.mayRun(now) {
			r.Workers = append(r.Workers, w.Worker)
		} else {
			w.rostered = false
		}
	}
	o.Roster = r
}

// RosterSaved records that a roster is durable.
func (s *State) RosterSaved(r Roster) {
	s.rosterSaving = false
	s.changed = true
	for _, known := range r.Workers {
		if w := s.workers[known.ID]; w != nil {
			w.rostered = true
		}
	}
}

// RosterFailed records that the roster must be stored again.
func (s *State) RosterFailed() { s.rosterSaving = false }

// RosterWas takes in what an earlier owner stored; it comes after the list of workers.
func (s *State) RosterWas(now time.Time, r Roster) {
	for _, known := range r.Workers {
		w := s.workers[known.ID]
		if w == nil {
			w = s.addWorker(known)
		}
		w.rostered = true
		w.nextLook = now
	}
}
