package sched

import "time"

// RosterChange orders a worker's record in the stored roster to be written, or to be deleted.
//
// The roster lists the workers on which runs may exist. A worker is added before the first start on
// it, so that a successor knows of workers that are missing from the platform's worker list. Each worker
// has its own record, because machines that change pools add many new workers a second.
//
// The start time in a record tells a successor how long leases may last: after a restart the record keeps naming an earlier incarnation
// until no lease can last that was computed with its clock.
type RosterChange struct {
	Worker Worker
	Listed bool // whether the roster is to list the worker
}

// mayHaveRuns reports whether a run may exist on the worker now or after the next start.
func (w *worker) mayHaveRuns(now time.Time) bool {
	return !w.ended && (w.listed || len(w.runs) > 0 || !now.After(w.leaseEnd))
}

// mayBeInRoster reports whether the stored roster may list the worker.
func (w *worker) mayBeInRoster() bool { return w.inRoster || w.rosterSaving || w.rosterUnsettled }

// planRoster orders the roster changes for workers that were added and for those that can have no runs any more.
func (s *State) planRoster(now time.Time, workers []*worker, o *Orders) {
	for _, w := range workers {
		listed, settled := w.mayHaveRuns(now), now.After(w.formerClockEnd)
		outdated := listed && w.inRoster && settled && !w.StartedAt.Equal(w.rosterStart)
		if w.rosterSaving || listed == w.inRoster && (listed || !w.rosterUnsettled) && !outdated {
			continue
		}
		w.rosterSaving, w.inRoster = true, outdated // no task is started on an added worker until the change is stored
		c := RosterChange{Worker: w.Worker, Listed: listed}
		if !settled {
			c.Worker.StartedAt = w.formerStart
		}
		o.Roster = append(o.Roster, c)
	}
}

// RosterSaved records that a roster change was stored.
func (s *State) RosterSaved(c RosterChange) {
	w := s.workers[c.Worker.ID]
	if w == nil {
		return
	}
	w.rosterSaving, w.rosterUnsettled, w.inRoster, w.rosterStart = false, false, c.Listed, c.Worker.StartedAt
	s.placementChanged = true
}

// RosterFailed records that a roster change failed or is unsettled, so that the next plan repeats it.
func (s *State) RosterFailed(c RosterChange) {
	if w := s.workers[c.Worker.ID]; w != nil {
		w.rosterSaving, w.rosterUnsettled = false, true
	}
}

// RestoreRosterWorker restores a worker from the roster that an earlier owner stored. It must be called after SetWorkers.
func (s *State) RestoreRosterWorker(now time.Time, stored Worker) {
	w := s.workers[stored.ID]
	if w == nil {
		w = s.addWorker(stored)
	}
	w.mayHaveRestarted = !w.listed
	if w.mayHaveRestarted || !w.StartedAt.Equal(stored.StartedAt) {
		s.expectLongLeases(now, w)
	}
	w.inRoster, w.rosterStart = true, stored.StartedAt
	w.nextPoll = now
}
