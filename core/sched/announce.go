package sched

import "time"

// announcement is an accepted job whose record the owner has not read yet.
type announcement struct {
	cancelled bool   // a cancellation of the job is stored
	absent    bool   // the store held no such job when it was read
	runs      []*run // its runs that workers list
	ends      []awaitedEnd
}

// awaitedEnd is an ended run of a job whose record has not been read yet.
type awaitedEnd struct {
	worker  *worker
	end     EndedRun
	unsaved *unsavedEnd
}

// Announce records that a job was stored. The next plan orders its record to be read unless the job is known.
//
// A job is announced before it is added, so that what needs no record takes effect at once: its cancellation, and that its
// runs and ended runs are kept.
func (s *State) Announce(id string) {
	if a := s.announced[id]; a != nil && a.absent {
		delete(s.announced, id)
	}
	if s.jobs[id] == nil {
		s.await(id)
	}
}

// await announces a job that a worker's list names, and reports whether its record is awaited: it is not once it was found absent.
func (s *State) await(id string) bool {
	a := s.announced[id]
	if a == nil {
		a = &announcement{}
		s.announced[id] = a
		s.toRead = append(s.toRead, id)
	}
	return !a.absent
}

// Awaits reports whether a job was announced and its record has not been read yet.
func (s *State) Awaits(id string) bool {
	a := s.announced[id]
	return a != nil && !a.absent
}

// CancelStored applies a cancellation that is stored. A job that is only announced ends when it is added.
func (s *State) CancelStored(now time.Time, id string) {
	if a := s.announced[id]; a != nil {
		a.cancelled = true
		return
	}
	s.Cancel(now, id)
}

// Withdraw records that the store holds no job with an announced id. Its runs are stopped and its ends may be acknowledged.
func (s *State) Withdraw(id string) {
	a := s.announced[id]
	if a == nil {
		return
	}
	for _, r := range a.runs {
		r.awaited = false
		r.worker.requestScan()
	}
	for _, e := range a.ends {
		e.unsaved.absent = true
	}
	s.announced[id] = &announcement{absent: true}
}

// endAnnouncement removes the announcement of a job that was added, and applies to the job what was learned of it meanwhile.
func (s *State) endAnnouncement(now time.Time, j *job) {
	a := s.announced[j.ID]
	if a == nil {
		return
	}
	delete(s.announced, j.ID)
	for _, r := range a.runs {
		r.awaited = false
		if r.worker.runs[r.id] == r {
			s.attach(r)
		}
	}
	for _, e := range a.ends {
		s.applyJobEnd(now, e.worker, j, e.end, e.unsaved)
	}
	if a.cancelled {
		s.endJob(now, j, Cancelled)
	}
}

// takeUnread returns the announced jobs whose records no plan has ordered to be read.
func (s *State) takeUnread() []string {
	var ids []string
	for _, id := range s.toRead {
		if s.Awaits(id) {
			ids = append(ids, id)
		}
	}
	s.toRead = nil
	return ids
}
