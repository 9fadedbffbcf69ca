package sched

import (
	"slices"
	"strings"
	"time"
)

// A job of batch tasks is confined to one availability zone: its tasks run on workers of that zone only. So the loss of a zone delays the
// jobs of that zone and no others, and a new owner, which can't see what runs in a zone that it can't reach, goes on with the jobs of the
// other zones at once. The zone is part of the job's record. When it has no room for a task and another zone has, the job's progress is
// stored with that one added, and its tasks may run there too from then on.

// zoneRoom is the room that the last placement left in each zone of a pool, in processor units. Jobs that were given the zone since then
// take it up.
type zoneRoom map[string]int

// HomeZone returns the availability zone to which a new job is to be confined: the one of its pool with the most room. It returns "" for a job
// that is not to be confined: its tasks are long-running or scheduled, need the placement advisor, or have their data in several zones, or the
// deployment need not bear the loss of a zone.
func (s *State) HomeZone(j *Job) string {
	q, known := s.config.Queues[j.Queue]
	if s.settings.ToleratedZones == 0 || !known || q.Advice != nil || !j.unscheduledBatch() {
		return ""
	}
	room := s.zoneRooms[q.Pool]
	data := s.dataZones(j)
	if len(data) > 1 {
		return ""
	}
	best := ""
	for _, zone := range sortedKeys(room) {
		if (len(data) == 0 || data[zone]) && (best == "" || room[zone] > room[best]) {
			best = zone
		}
	}
	if best != "" {
		room[best] -= j.Steps[0].reserved().Processors * j.Steps[0].Count
	}
	return best
}

// MayBeConfined reports whether a job may be confined to a zone that is chosen without knowing the workers.
func (j *Job) MayBeConfined() bool {
	return j.unscheduledBatch() && !slices.ContainsFunc(j.Steps, func(p Step) bool { return p.PreferredRack != "" })
}

// dataZones returns the zones of the racks that hold the data of the job's tasks, as far as workers there are known.
func (s *State) dataZones(j *Job) map[string]bool {
	zones := make(map[string]bool)
	for i := range j.Steps {
		if rack := j.Steps[i].PreferredRack; rack != "" {
			for _, w := range s.workers {
				if w.Rack == rack {
					zones[w.Zone] = true
				}
			}
		}
	}
	return zones
}

// zones returns the zones in which the job's tasks may start now, or nil if they may start in all zones.
func (j *job) zones() []string {
	if j.Zone == "" {
		return nil
	}
	return append([]string{j.Zone}, j.otherZones[:j.openZones]...)
}

// mayRunIn reports whether the job may have tasks in a zone that an earlier owner started.
func (j *job) mayRunIn(zone string) bool {
	return j.Zone == "" || j.Zone == zone || slices.Contains(j.otherZones, zone)
}

// mayStartIn reports whether tasks of the job may start in a zone now.
func (j *job) mayStartIn(zone string) bool {
	return j.Zone == "" || j.Zone == zone || slices.Contains(j.otherZones[:j.openZones], zone)
}

// openRoom is the room that a pool's zones have for tasks of jobs that are confined elsewhere.
type openRoom struct {
	free  zoneRoom // what nothing takes, less what zones that are being opened will take
	spare zoneRoom // the same, less what the waiting tasks of the zone's own jobs need
}

// take takes processors of a zone.
func (r *openRoom) take(zone string, processors int) {
	r.free[zone] -= processors
	r.spare[zone] -= processors
}

// zoneWait is the time for which the tasks of a zone's own jobs go before those of other zones, which wait for room in theirs meanwhile.
const zoneWait = 500 * time.Millisecond

// roomToOpen returns the room that a pool's zones have for tasks of jobs that are confined elsewhere.
func (s *State) roomToOpen(pool string, workers []*worker) *openRoom {
	room := &openRoom{make(zoneRoom), make(zoneRoom)}
	for _, w := range workers {
		room.take(w.Zone, -w.free().Processors)
	}
	for name, q := range s.queues {
		if s.config.Queues[name].Pool != pool {
			continue
		}
		for _, st := range q.stages {
			if st.job.Zone == "" {
				continue
			}
			need := st.waitingTasks() * st.step.reserved().Processors
			room.spare[st.job.Zone] -= need
			for _, zone := range st.job.otherZones[st.job.openZones:] {
				room.take(zone, need)
			}
		}
	}
	return room
}

// openZone lets the waiting tasks of a stage run in one more zone, once the progress of their job says so. It chooses the zone with the most
// room that fits reports to have room for one of them, or any if tasks of the job are to run alone, and takes what they need from the room.
func (s *State) openZone(now time.Time, st *stage, open *openRoom, fits func(zone string) bool) {
	j, size := st.job, st.step.reserved()
	if st.fullSince.IsZero() {
		st.fullSince = now
	}
	if j.openZones < len(j.otherZones) {
		return
	}
	room := open.spare
	if now.Sub(st.fullSince) >= zoneWait {
		room = open.free
	}
	best := ""
	for _, zone := range sortedKeys(room) {
		if j.mayRunIn(zone) || best != "" && room[zone] <= room[best] {
			continue
		}
		if len(j.suspects) > 0 || room[zone] >= size.Processors && fits(zone) {
			best = zone
		}
	}
	if best == "" {
		return
	}
	open.take(best, st.waitingTasks()*size.Processors)
	j.otherZones = append(j.otherZones, best)
	s.markDirty(j)
	j.zonesVersion = j.version
	s.decisions = append(s.decisions, Decision{Kind: "ZoneOpened", Job: j.ID, Reason: best + " beside " + strings.Join(j.zones(), ", ")})
}

// workersIn returns the workers of the zones, or all of them if zones is nil.
func workersIn(zones []string, workers []*worker) []*worker {
	if zones == nil {
		return workers
	}
	return slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return !slices.Contains(zones, w.Zone) })
}

// place is a pool, or some of its availability zones if zones is set.
type place struct{ pool, zones string }

// placement is what one placement of waiting tasks knows of the usable workers.
type placement struct {
	pools map[string][]*worker
	zones map[place][]*worker  // those of the pools, as far as they are in the zones
	rooms map[string]*openRoom // by pool
	full  map[place][]Size     // sizes that fit on none of the workers
}

func newPlacement(pools map[string][]*worker) *placement {
	return &placement{pools, make(map[place][]*worker), make(map[string]*openRoom), make(map[place][]Size)}
}

// workersIn returns the workers of a pool that are in the zones, or all of them if zones is nil.
func (p *placement) workersIn(pool string, zones []string) (place, []*worker) {
	at := place{pool, strings.Join(zones, ",")}
	workers, found := p.zones[at]
	if !found {
		workers = workersIn(zones, p.pools[pool])
		p.zones[at] = workers
	}
	return at, workers
}

// isFull reports whether it is known that no worker there has room for a task of the size.
func (p *placement) isFull(at place, size Size) bool {
	return slices.ContainsFunc(p.full[at], func(tooLarge Size) bool { return tooLarge.Fits(size) })
}

// hasRoom reports whether one of the workers that are there has room for a task of the size.
func (p *placement) hasRoom(at place, size Size, workers []*worker) bool {
	if p.isFull(at, size) {
		return false
	}
	for _, w := range workers {
		if size.Fits(w.free()) {
			return true
		}
	}
	p.full[at] = append(p.full[at], size)
	return false
}

// roomToOpen returns the room of a pool's zones for jobs that are confined to others.
func (p *placement) roomToOpen(s *State, pool string) *openRoom {
	room, found := p.rooms[pool]
	if !found {
		room = s.roomToOpen(pool, p.pools[pool])
		p.rooms[pool] = room
	}
	return room
}
