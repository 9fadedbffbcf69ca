package sched

import (
	"maps"
	"slices"
	"time"
)

// tombstone is a cancellation of an id under which no job was stored at the time.
type tombstone struct {
	caller Caller
	until  time.Time
}

const (
	minTombstoneLife = 2 * time.Minute
	maxTombstoneLife = 10 * time.Minute
)

// TombstoneLife returns how long a new tombstone is kept at most. It is kept for at least half of that, as long as the state of an
// ended job.
func (s Settings) TombstoneLife() time.Duration {
	return min(max(2*s.KeepEnded, minTombstoneLife), maxTombstoneLife)
}

// CancelUnstored applies a tombstone. A job that is stored under its id later ends when it is added, if the caller may use it.
func (s *State) CancelUnstored(now time.Time, id string, c Caller) {
	if j := s.jobs[id]; j != nil {
		// The job was stored after the tombstone and added before the tombstone arrived here.
		if c.MayUse(j.Account, j.Queue) {
			s.endJob(now, j, Cancelled)
		}
		return
	}
	t := tombstone{c, now.Add(s.settings.TombstoneLife())}
	i := slices.IndexFunc(s.tombstones[id], func(t tombstone) bool { return t.caller == c })
	if i >= 0 {
		s.tombstones[id][i] = t
		return
	}
	s.tombstones[id] = append(s.tombstones[id], t)
}

// Tombstones returns the number of ids that have tombstones.
func (s *State) Tombstones() int { return len(s.tombstones) }

// applyTombstones ends a job that was added if one of its callers had cancelled its id.
func (s *State) applyTombstones(now time.Time, j *job) {
	if slices.ContainsFunc(s.tombstones[j.ID], func(t tombstone) bool { return t.caller.MayUse(j.Account, j.Queue) }) {
		s.endJob(now, j, Cancelled)
	}
	delete(s.tombstones, j.ID) // the job is kept for as long
}

// expireTombstones removes tombstones that have reached the end of their life.
func (s *State) expireTombstones(now time.Time) {
	maps.DeleteFunc(s.tombstones, func(_ string, ts []tombstone) bool {
		return !slices.ContainsFunc(ts, func(t tombstone) bool { return now.Before(t.until) })
	})
}
