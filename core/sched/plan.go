package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	unconfirmedWait     = 400 * time.Millisecond // time for an unanswered start to show in a poll, before the run is stopped
	pollWait            = 800 * time.Millisecond // longest time that a worker may delay its answer to a poll; a copy must leave within a permit's second
	unsavedPollInterval = 250 * time.Millisecond // interval of polls while ended runs can't be stored and acknowledged
	machineListInterval = 500 * time.Millisecond // interval at which the list of machines is read, a third of a machine move's time
	placeInterval       = 250 * time.Millisecond // interval of placement without an event, since pauses and tickets end without one
	scanInterval        = 50 * time.Millisecond  // interval at which a worker's runs are examined without an event there
	fleetPlanInterval   = 40 * time.Millisecond  // interval of planning waves and machine moves without an event, a fortieth of a move's time
	planInterval        = 250 * time.Millisecond // longest time between two plans
)

// Plan returns the orders to execute now. It must be called after events and no later than Orders.Wake.
func (s *State) Plan(now time.Time) Orders {
	var o Orders
	s.planned = now
	s.createScheduledOccurrences(now)
	workers := s.sortedWorkers()
	for _, w := range workers {
		s.expireRuns(now, w)
	}
	// An owner whose ownership is not confirmed may have an outdated view of what is unavailable.
	if now.Before(s.confirmedUntil) && (s.fleetChanged || now.Sub(s.lastFleetPlan) >= fleetPlanInterval) {
		s.fleetChanged, s.lastFleetPlan = false, now
		s.planWaves(now, &o)
		s.planPoolSizes(now, &o)
	}
	for _, w := range workers {
		if now.Before(w.nextScan) {
			continue
		}
		w.nextScan = now.Add(scanInterval)
		s.planRuns(now, w, &o)
		s.planPace(now, w, &o)
	}
	if s.placementChanged || now.Sub(s.lastPlacement) >= placeInterval {
		s.placementChanged, s.lastPlacement = false, now
		s.place(now, workers, &o)
	}
	for _, w := range workers {
		s.planPoll(now, w, &o)
	}
	o.JobReads = s.takeJobReads()
	s.planRoster(now, workers, &o)
	s.planQueuePools(now, &o)
	s.planDurations(now, &o)
	s.planSaves(now, &o)
	o.Wake = now.Add(planInterval)
	for _, w := range workers {
		if !w.polling && w.nextPoll.After(now) && w.nextPoll.Before(o.Wake) {
			o.Wake = w.nextPoll
		}
	}
	o.Decisions, s.decisions = s.decisions, nil
	return o
}

// createScheduledOccurrences creates the due occurrences of scheduled jobs, and enqueues those that are due by now.
func (s *State) createScheduledOccurrences(now time.Time) {
	for _, id := range sortedKeys(s.scheduled) {
		j := s.scheduled[id]
		if j.state.Final() || j.nextOccurrence == j.occurrenceCount() && len(j.early) == 0 {
			delete(s.scheduled, id)
			continue
		}
		s.enqueueDue(now, j)
		s.createOccurrences(now, j, noOccurrence, nil)
	}
}

// planRuns orders the stops of a worker's runs that are not wanted or whose start stayed unconfirmed.
func (s *State) planRuns(now time.Time, w *worker, o *Orders) {
	var affected []*run // usually few of the runs; only these are sorted
	for _, r := range w.runs {
		if r.phase == stopping || r.phase == unconfirmed || r.phase == running && r.stopReason() != "" {
			affected = append(affected, r)
		}
	}
	slices.SortFunc(affected, func(a, b *run) int { return a.id.compare(b.id) })
	for _, r := range affected {
		if r.phase == running {
			r.phase = stopping
			s.logDecision("Stop", r.id, w.ID, r.stopReason(), r.number)
		}
		needsStop := r.phase == stopping || r.phase == unconfirmed && now.Sub(r.since) >= unconfirmedWait
		if !needsStop || !r.stopConfirmedAt.IsZero() || now.Sub(r.stopSentAt) < stopRetryDelay {
			continue
		}
		r.stopSentAt = now
		o.Stops = append(o.Stops, Stop{Worker: w.ID, StartedAt: w.StartedAt, Task: r.id, Run: r.number})
	}
}

// stopReason returns why the run is to be stopped, or the empty string if it is not.
func (r *run) stopReason() string {
	t := r.task
	switch {
	case r.awaited:
		return ""
	case t == nil || !t.wants(r):
		return "NotNeeded"
	case t.done:
		return "AlreadyDone"
	case t.stage.job.state.Final():
		return "Job" + string(t.stage.job.state)
	case r.worker.Draining && (t.stage.step.LongRunning || t.stage.step.Checkpoint):
		return "WorkerDrains"
	}
	return ""
}

// planPoll orders a poll of the worker if one is due.
func (s *State) planPoll(now time.Time, w *worker, o *Orders) {
	if w.polling || now.Before(w.nextPoll) {
		return
	}
	poll := Poll{Worker: w.ID, StartedAt: w.StartedAt, Acknowledged: w.acknowledgeable()}
	switch {
	case !w.polled || w.pollFailures > 0:
		if !w.listed && len(w.runs) == 0 && (w.ended || now.After(w.leaseEnd)) {
			return
		}
	case w.lastEndRead > poll.Acknowledged:
		if now.Sub(w.lastPoll) < unsavedPollInterval {
			w.nextPoll = w.lastPoll.Add(unsavedPollInterval)
			return
		}
	case len(w.runs) == 0 && w.lastEndAcked == w.lastEndRead && !w.absent:
		return
	case len(w.runs) > 0 || w.storedAtLastPoll == poll.Acknowledged: // the latter: the acknowledgement was left out, and is repeated without hurry
		poll.Wait = pollWait
	}
	// The leases on a worker that does not answer are not renewed, so that its runs end at a known time.
	if w.polled && w.pollFailures == 0 && len(w.runs) > 0 {
		poll.Until = s.leaseEndOn(now, w)
		s.extendLease(now, w)
	}
	w.polling, w.storedAtLastPoll = true, poll.Acknowledged
	if poll.Acknowledged <= w.lastEndAcked {
		poll.Acknowledged = 0 // a repeated acknowledgement could only reach a later incarnation
	}
	o.Polls = append(o.Polls, poll)
}

// planSaves orders the progress of changed jobs to be stored.
func (s *State) planSaves(now time.Time, o *Orders) {
	for _, id := range sortedKeys(s.dirty) {
		j := s.dirty[id]
		if j.saving {
			continue
		}
		j.saving = true
		p := j.progress()
		p.EndedRuns = s.endedRunsOf(now, j)
		o.Saves = append(o.Saves, Save{Job: id, Version: j.version, Progress: p})
	}
}

// sortedKeys returns the keys of m in order, so that equal events give equal plans.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
