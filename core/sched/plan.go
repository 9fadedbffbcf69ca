package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	doubtPatience   = 400 * time.Millisecond // an unanswered start may still show in a look
	lookWait        = time.Second            // a worker answers a look after this long at the latest
	unsavedPatience = 250 * time.Millisecond // looks go on without an acknowledgement while ends can't be stored
	machinesEvery   = 500 * time.Millisecond // the list of machines is read this often, a third of a move's time
	placeEvery      = 250 * time.Millisecond // pauses and tickets end without an event
	scanEvery       = 50 * time.Millisecond  // runs are examined this often without an event on their worker
	fleetEvery      = 40 * time.Millisecond  // waves and moves are planned this often, a fortieth of a move's time
	planEvery       = 250 * time.Millisecond // a plan is due this often without any event
)

// Plan decides what to do now.
func (s *State) Plan(now time.Time) Orders {
	var o Orders
	s.advanceScheduled(now)
	workers := s.ordered()
	for _, w := range workers {
		s.lapseRuns(now, w)
	}
	// An unconfirmed owner has a stale view of what is away.
	if now.Before(s.confirmed) && (s.fleetChanged || now.Sub(s.fleetPlanned) >= fleetEvery) {
		s.fleetChanged, s.fleetPlanned = false, now
		s.planWaves(now, &o)
		s.planLending(now, &o)
	}
	for _, w := range workers {
		if now.Before(w.scanAt) {
			continue
		}
		w.scanAt = now.Add(scanEvery)
		s.planRuns(now, w, &o)
		s.planPace(now, w, &o)
	}
	if s.changed || now.Sub(s.placed) >= placeEvery {
		s.changed, s.placed = false, now
		s.place(now, workers, &o)
	}
	for _, w := range workers {
		s.planLook(now, w, &o)
	}
	s.planRoster(now, workers, &o)
	s.planSaves(&o)
	o.Wake = now.Add(planEvery)
	for _, w := range workers {
		if !w.looking && w.nextLook.After(now) && w.nextLook.Before(o.Wake) {
			o.Wake = w.nextLook
		}
	}
	o.Notes, s.notes = s.notes, nil
	return o
}

// advanceScheduled creates the occurrences of jobs with times that are due.
func (s *State) advanceScheduled(now time.Time) {
	for _, id := range sortedKeys(s.scheduled) {
		j := s.scheduled[id]
		if j.state.Final() || j.next == j.total() {
			delete(s.scheduled, id)
			continue
		}
		s.advance(now, j, nil)
	}
}

// planRuns stops what should not run on a worker and settles what is in doubt.
func (s *State) planRuns(now time.Time, w *worker, o *Orders) {
	var unsettled []*run // few of the runs, so that only these are put in order
	for _, r := range w.runs {
		if r.phase == stopping || r.phase == doubtful || r.phase == running && r.whyUnwanted() != "" {
			unsettled = append(unsettled, r)
		}
	}
	slices.SortFunc(unsettled, func(a, b *run) int { return a.id.compare(b.id) })
	for _, r := range unsettled {
		if r.phase == running {
			r.phase = stopping
			s.note("Stop", r.id, w.ID, r.whyUnwanted(), r.number)
		}
		waits := r.phase == stopping || r.phase == doubtful && now.Sub(r.since) >= doubtPatience
		if !waits || !r.stopSure.IsZero() || now.Sub(r.stopAt) < stopRepeatAfter {
			continue
		}
		r.stopAt = now
		o.Stops = append(o.Stops, Stop{Worker: w.ID, Task: r.id, Run: r.number})
	}
}

// whyUnwanted returns why a run should be stopped, or nothing.
func (r *run) whyUnwanted() string {
	t := r.task
	switch {
	case t == nil || t.run != r:
		return "NotNeeded"
	case t.done:
		return "AlreadyDone"
	case t.stage.job.state.Final():
		return "Job" + string(t.stage.job.state)
	case r.worker.Draining && (t.stage.step.Lasting || t.stage.step.Checkpoint):
		return "WorkerDrains"
	}
	return ""
}

// planLook renews leases and reads what runs.
func (s *State) planLook(now time.Time, w *worker, o *Orders) {
	if w.looking || now.Before(w.nextLook) {
		return
	}
	look := Look{Worker: w.ID, Acknowledged: w.ackable()}
	switch {
	case !w.looked || w.failures > 0:
		if !w.listed && len(w.runs) == 0 && (w.gone || now.After(w.lapse)) {
			return
		}
	case w.seen > look.Acknowledged:
		if now.Sub(w.lastLook) < unsavedPatience {
			w.nextLook = w.lastLook.Add(unsavedPatience)
			return
		}
	case len(w.runs) == 0 && w.acked == w.seen:
		return
	case len(w.runs) > 0:
		look.Wait = lookWait
	}
	// A worker that does not answer is not renewed, so that what runs there ends at a known time.
	if w.looked && w.failures == 0 && len(w.runs) > 0 {
		look.Until = s.until(now, w)
		s.extend(now, w)
	}
	w.looking = true
	w.acked = look.Acknowledged
	o.Looks = append(o.Looks, look)
}

// planSaves asks for the progress of changed jobs to be stored.
func (s *State) planSaves(o *Orders) {
	for _, id := range sortedKeys(s.dirty) {
		j := s.dirty[id]
		if j.saving {
			continue
		}
		j.saving = true
		o.Saves = append(o.Saves, Save{Job: id, Version: j.version, Progress: j.progress()})
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
