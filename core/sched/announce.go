package sched

import (
	"slices"
	"time"
)

// announcement is what the owner knows of a job whose record it has not read yet or did not find.
type announcement struct {
	cancelled bool         // a cancellation of the job is stored
	absent    bool         // the store held no such job when its record was to be read
	runs      []*run       // its runs that workers list
	ends      []awaitedEnd // its ended runs that workers listed
	crashes   []awaitedCrash
	since     time.Time // when the plan before it was made; zero before the first
}

// awaitedCrash is a crash under a run of a job whose record has not been read yet.
type awaitedCrash struct {
	task   TaskID
	number int64
	crash  Crash
	chance float64
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
	s.await(id)
}

// await returns the announcement of a job whose record is awaited, and announces the job if it is new. It returns nil if the job is
// known or was found absent.
func (s *State) await(id string) *announcement {
	a := s.announced[id]
	switch {
	case s.jobs[id] != nil || a != nil && a.absent:
		return nil
	case a == nil:
		a = &announcement{since: s.planned}
		s.announced[id] = a
		s.jobReads = append(s.jobReads, id)
	}
	return a
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
	for _, c := range a.crashes {
		if t := s.find(c.task); t != nil {
			s.suspectLate(suspectedRun{t, c.number, c.crash, c.chance})
		}
	}
	if a.cancelled {
		s.endJob(now, j, Cancelled)
	}
}

// takeJobReads returns the awaited jobs whose records no plan has ordered to be read.
func (s *State) takeJobReads() []string {
	ids := slices.DeleteFunc(s.jobReads, func(id string) bool { return !s.Awaits(id) })
	s.jobReads = nil
	return ids
}
