package sched

// announcement is an accepted job whose description the owner has not read yet.
type announcement struct {
	cancelled bool   // the job was cancelled meanwhile
	absent    bool   // the store holds no such job
	runs      []*run // its runs that workers list
}

// Announce records that a job was accepted. The next plan orders its description to be read unless the job is known.
//
// A job is announced before it is added, so that what is known of it without its description takes effect at once: its
// cancellation, and that its runs and ended runs must not be dropped.
func (s *State) Announce(id string) {
	if s.jobs[id] == nil && s.announced[id] == nil {
		s.announced[id] = &announcement{}
		s.unread = append(s.unread, id)
	}
}

// Awaits reports whether a job was announced and its description is not known yet.
func (s *State) Awaits(id string) bool {
	a := s.announced[id]
	return a != nil && !a.absent
}

// Withdraw records that the store holds no job with an announced id, so that its runs are stopped.
func (s *State) Withdraw(id string) {
	a := s.announced[id]
	if a == nil {
		return
	}
	a.absent = true
	for _, r := range a.runs {
		r.awaited = false
		r.worker.requestScan()
	}
	a.runs = nil
}

// awaitRun keeps a run of a job that is not known until its description has been read.
func (s *State) awaitRun(r *run) {
	s.Announce(r.id.Job)
	if a := s.announced[r.id.Job]; a != nil && !a.absent {
		r.awaited = true
		a.runs = append(a.runs, r)
	}
}

// endAnnouncement removes the announcement of a job that was added, attaches its runs to their tasks, and reports whether the job
// was cancelled meanwhile.
func (s *State) endAnnouncement(id string) bool {
	a := s.announced[id]
	if a == nil {
		return false
	}
	delete(s.announced, id)
	for _, r := range a.runs {
		r.awaited = false
		if r.worker.runs[r.id] == r {
			s.attach(r)
		}
	}
	return a.cancelled
}

// takeUnread returns the announced jobs whose descriptions no plan has ordered to be read.
func (s *State) takeUnread() []string {
	var ids []string
	for _, id := range s.unread {
		if s.Awaits(id) {
			ids = append(ids, id)
		}
	}
	s.unread = nil
	return ids
}
