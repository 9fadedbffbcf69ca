package sched

import (
	"slices"
	"time"
)

// QueuePools orders the record to be written of the pools in which queues may have runs, by queue.
//
// A configuration may send a queue to another pool while tasks of it run in the former one. The record tells a successor, which may know only
// the newest configuration, on which workers they may run. A queue that it does not name may have runs in any pool.
type QueuePools struct {
	Version uint64 `json:"-"` // counts the changes that this owner made
	Pools   map[string][]string
}

// queuePools is the owner's view of that record.
type queuePools struct {
	pools        map[string]map[string]recordedPool // by queue and pool
	restored     map[string]bool                    // queues that an earlier owner's record names
	version      uint64
	savedVersion uint64
	saving       bool
	lastReview   time.Time // when pools without runs were last removed
}

// recordedPool is a pool in the record of a queue.
type recordedPool struct {
	version uint64 // of the record that first had it
	always  bool   // every version of the record that names the queue has it
}

// poolReviewInterval is the interval at which pools are removed from the record of a queue.
const poolReviewInterval = time.Second

// RestoreQueuePools restores the record that an earlier owner stored.
func (s *State) RestoreQueuePools(stored QueuePools) {
	for queue, pools := range stored.Pools {
		s.queuePools.restored[queue] = true
		s.queuePools.pools[queue] = make(map[string]recordedPool)
		for _, p := range pools {
			s.queuePools.pools[queue][p] = recordedPool{}
		}
	}
}

// QueuePoolsSaved records that a version of the record was stored.
func (s *State) QueuePoolsSaved(p QueuePools) {
	s.queuePools.saving = false
	s.queuePools.savedVersion = max(s.queuePools.savedVersion, p.Version)
	s.placementChanged = true
}

// QueuePoolsFailed records that storing the record failed or is unsettled, so that the next plan repeats it.
func (s *State) QueuePoolsFailed() { s.queuePools.saving = false }

// add adds a pool to the record of a queue and reports whether a start there may follow: a successor reads a record that names the pool, or
// one that does not name the queue.
func (p *queuePools) add(queue, pool string) bool {
	known, recorded := p.pools[queue]
	if !recorded {
		known = make(map[string]recordedPool)
		p.pools[queue] = known
	}
	r, found := known[pool]
	if !found {
		p.version++
		r = recordedPool{version: p.version, always: !recorded}
		known[pool] = r
	}
	return r.always || r.version <= p.savedVersion
}

// remove removes a pool from the record of a queue.
func (p *queuePools) remove(queue, pool string) {
	p.version++
	delete(p.pools[queue], pool)
}

// record returns the record to store. It leaves out the queues without pools.
func (p *queuePools) record() *QueuePools {
	r := &QueuePools{Version: p.version, Pools: make(map[string][]string, len(p.pools))}
	for queue, pools := range p.pools {
		if len(pools) > 0 {
			r.Pools[queue] = sortedKeys(pools)
		}
	}
	return r
}

// mayHaveInherited reports whether the queue may have runs of an earlier owner in the pool.
func (p *queuePools) mayHaveInherited(queue, pool string) bool {
	_, found := p.pools[queue][pool]
	return found || !p.restored[queue]
}

// unseenRuns are the availability zones, by pool, where polls may not have shown all runs of an earlier owner, or all their ends.
type unseenRuns map[string]map[string]bool

// add adds the place of a worker.
func (u unseenRuns) add(w *worker) {
	if u[w.Pool] == nil {
		u[w.Pool] = make(map[string]bool)
	}
	u[w.Pool][w.Zone] = true
}

// hasUnseenRuns reports whether an earlier owner may have started tasks of the job that polls may not have shown yet.
func (s *State) hasUnseenRuns(j *job, unseen unseenRuns) bool {
	if !j.inherited {
		return false
	}
	for pool, zones := range unseen {
		if pool != s.config.Queues[j.Queue].Pool && !s.queuePools.mayHaveInherited(j.Queue, pool) {
			continue
		}
		for zone := range zones {
			if j.mayRunIn(zone) {
				return true
			}
		}
	}
	return false
}

// unseenPools returns the places that may have runs of an earlier owner that no poll has shown yet.
func (s *State) unseenPools(now time.Time) unseenRuns {
	unseen := make(unseenRuns)
	confirmed := s.lastConfirmed(now)
	if confirmed.After(s.unseenRunsEnd) {
		return unseen
	}
	for _, w := range s.workers {
		if w.mayHaveUnseenRuns(confirmed) {
			unseen.add(w)
		}
	}
	return unseen
}

// planQueuePools removes from the record the pools that can have no runs of their queue any more, and orders a changed record to be stored.
func (s *State) planQueuePools(now time.Time, o *Orders) {
	p := &s.queuePools
	if now.Sub(p.lastReview) >= poolReviewInterval {
		p.lastReview = now
		s.reviewQueuePools(now)
	}
	if p.saving || p.version == p.savedVersion {
		return
	}
	p.saving = true
	o.QueuePools = p.record()
}

// reviewQueuePools removes from the record the pools to which the configuration does not send their queue and that have no run of it.
func (s *State) reviewQueuePools(now time.Time) {
	former := make(map[string][]string) // by queue
	for queue, pools := range s.queuePools.pools {
		if len(pools) == 0 && s.queuePools.version == s.queuePools.savedVersion {
			delete(s.queuePools.pools, queue) // no stored record names it any more
		}
		for pool := range pools {
			if pool != s.config.Queues[queue].Pool {
				former[queue] = append(former[queue], pool)
			}
		}
	}
	if len(former) == 0 {
		return
	}
	occupied := make(map[string]bool)
	for pool := range s.unseenPools(now) {
		occupied[pool] = true
	}
	running := make(map[string]map[string]bool) // by queue, the pools with runs
	for _, w := range s.workers {
		if w.moreEnded || w.restarted {
			occupied[w.Pool] = true
		}
		for _, r := range w.runs {
			j := s.jobs[r.id.Job]
			if j == nil {
				occupied[w.Pool] = true // its queue is not known
				continue
			}
			if running[j.Queue] == nil {
				running[j.Queue] = make(map[string]bool)
			}
			running[j.Queue][w.Pool] = true
		}
	}
	for _, queue := range sortedKeys(former) {
		for _, pool := range slices.Sorted(slices.Values(former[queue])) {
			if !occupied[pool] && !running[queue][pool] {
				s.queuePools.remove(queue, pool)
			}
		}
	}
}
