package sched

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Wave is a set of machines that are due for upkeep.
type Wave struct {
	Number   int64
	Machines []string
	Within   time.Duration
	Cap      int // machines that may be down for it at once
}

type wave struct {
	Wave
	asked   time.Time
	parts   []*wavePart
	saved   int // how many machines had begun when the status was last stored
	stored  bool
	saving  bool
	done    bool // the completed status is durable
	settled bool // all machines that stay have begun
}

// wavePart is one machine of a wave.
type wavePart struct {
	machine  string
	begun    bool
	gone     bool
	back     bool      // it is up again after its upkeep
	inFlight bool      // the order was sent and not answered
	doubt    bool      // an order may have been carried out
	at       time.Time // when the order was last sent or answered
	chosen   time.Time // since when its worker takes no new tasks
	retry    time.Time
	noted    time.Time // when the log said last why it waits
}

const (
	drainPatience   = 3 * time.Second        // a chosen machine waits this long for its batch tasks, more than most tasks take
	upkeepRetry     = 500 * time.Millisecond // pause after an order that was refused or not answered
	listLag         = 200 * time.Millisecond // the list of machines may lag this much
	wavesSafety     = 3                      // a wave aims to end in all but this part of its time, since outages hold it up
	orderCycleExtra = 1500 * time.Millisecond
)

// AddWave takes in a wave; a known one is left alone.
func (s *State) AddWave(now time.Time, w Wave) {
	if _, known := s.waves[w.Number]; known {
		return
	}
	was, stored := s.waved[w.Number]
	if !was.Asked.IsZero() {
		now = was.Asked
	}
	next := &wave{Wave: w, asked: now}
	next.done, next.settled, next.stored, next.saved = was.Completed, was.Completed, stored, len(was.Begun)
	for _, m := range w.Machines {
		next.parts = append(next.parts, &wavePart{machine: m, begun: slices.Contains(was.Begun, m)})
	}
	s.waves[w.Number] = next
}

// WaveWas takes in what an earlier owner stored of a wave; it comes before the wave itself.
func (s *State) WaveWas(status WaveStatus) { s.waved[status.Wave] = status }

// WaveSaved records that a wave's status is durable.
func (s *State) WaveSaved(status WaveStatus) {
	if w := s.waves[status.Wave]; w != nil {
		w.saving, w.stored, w.saved, w.done = false, true, len(status.Begun), status.Completed
	}
}

// WaveSaveFailed records that a wave's status must be stored again.
func (s *State) WaveSaveFailed(number int64) {
	if w := s.waves[number]; w != nil {
		w.saving = false
	}
}

// MachineAnswered takes in what became of an order to a machine.
func (s *State) MachineAnswered(now time.Time, o MachineOrder, answer Answer) {
	if o.Pool != "" {
		s.moveAnswered(now, o, answer)
		return
	}
	w := s.waves[o.Wave]
	if w == nil {
		return
	}
	at := slices.IndexFunc(w.parts, func(p *wavePart) bool { return p.machine == o.Machine })
	if at < 0 {
		return
	}
	p := w.parts[at]
	p.inFlight, p.at = false, now
	switch answer {
	case Carried:
		p.begun, p.doubt = true, false
		s.machineWentDown(now, p.machine)
	case NotInWave:
		p.begun, p.back, p.doubt = true, true, false
		s.uncordon(p.machine)
	case Outdated:
		s.deposed = true
	case Unanswered:
		p.doubt, p.retry = true, now.Add(upkeepRetry)
	case Malformed:
		p.gone = true
		s.uncordon(p.machine)
	default:
		p.retry = now.Add(upkeepRetry)
		if w := s.workers[s.machines[p.machine].Worker]; w != nil {
			w.leaving = false // nothing was done
		}
	}
	s.changed, s.fleetChanged = true, true
}

// machineWentDown notes that an order to a machine was carried out. The answer is the same for an order
// that was carried out before, when what runs there goes on, so the next list of machines decides.
func (s *State) machineWentDown(now time.Time, machine string) {
	s.taken[machine] = taken{worker: s.machines[machine].Worker, at: now}
	s.machined = time.Time{}
}

// taken is a machine whose order was answered, until a list shows what became of its worker.
type taken struct {
	worker string
	at     time.Time
}

// settleTaken releases what ran on machines that a list, asked for at a time, shows without their worker.
func (s *State) settleTaken(now, asked time.Time) {
	for _, name := range sortedKeys(s.taken) {
		t := s.taken[name]
		if !asked.After(t.at) {
			continue
		}
		delete(s.taken, name)
		w := s.workers[t.worker]
		if w == nil {
			continue
		}
		if m := s.machines[name]; m.Worker == t.worker && m.Up {
			s.uncordon(name)
			w.leaving = false
			for _, wv := range s.waves {
				for _, p := range wv.parts {
					p.back = p.back || p.begun && p.machine == name
				}
			}
			continue
		}
		w.gone = true
		s.otherLife(now, w)
	}
}

func (s *State) uncordon(machine string) {
	if w := s.workers[s.machines[machine].Worker]; w != nil && w.cordoned {
		w.cordoned, w.leaving = false, false
		s.changed = true
	}
}

// planWaves carries waves on.
func (s *State) planWaves(now time.Time, o *Orders) {
	for _, number := range sortedKeys(s.waves) {
		w := s.waves[number]
		if w.done {
			continue
		}
		s.noteMachines(w)
		if !w.settled {
			s.wantMachines(now, o)
			s.carryWave(now, w, o)
		}
		s.saveWave(w, o)
	}
}

// wantMachines asks for the list of machines now and then.
func (s *State) wantMachines(now time.Time, o *Orders) {
	if now.Sub(s.machined) >= machinesEvery {
		s.machined = now
		o.ListMachines = true
	}
}

// noteMachines learns from the list which machines are back or gone.
func (s *State) noteMachines(w *wave) {
	if len(s.machines) == 0 {
		return
	}
	w.settled = true
	for _, p := range w.parts {
		m, listed := s.machines[p.machine]
		switch {
		case !listed:
			p.gone = !p.inFlight && !p.doubt
		case p.begun && !p.back && m.Up && s.listedAt.Sub(p.at) > s.settings.UpkeepTime+listLag:
			p.back = true
		}
		if !p.begun && !p.gone {
			w.settled = false
		}
	}
}

func (p *wavePart) down() bool { return p.inFlight || p.doubt || p.begun && !p.back }

// carryWave chooses machines, and orders their upkeep once they are empty enough.
func (s *State) carryWave(now time.Time, w *wave, o *Orders) {
	if len(s.machines) == 0 {
		return
	}
	down, chosen, left := 0, 0, 0
	for _, p := range w.parts {
		switch {
		case p.down() || s.machines[p.machine].Away && s.moves[p.machine] == nil:
			down++ // also one that an earlier owner took down, of which nothing was stored
		case !p.begun && !p.gone:
			left++
			if m := s.machines[p.machine]; !m.Up && !s.config.Pools[m.Pool].Spare {
				p.chosen = time.Time{} // it is down by itself, and must not hold up the others
			}
			if !p.chosen.IsZero() {
				chosen++
			}
		}
	}
	slots := s.waveSlots(now, w, left)
	for _, p := range s.waveOrder(w) {
		if p.begun || p.gone || p.inFlight || p.doubt && now.Before(p.retry) {
			continue
		}
		m := s.machines[p.machine]
		idle := s.config.Pools[m.Pool].Spare
		if s.moves[p.machine] != nil || m.Away || !m.Up && !idle || s.orderedElsewhere(w, p.machine) {
			continue
		}
		if p.chosen.IsZero() {
			s.noteHeld(now, w, p)
			if !idle && !p.doubt && (down+chosen >= slots || s.busy(m) && !s.behind(now, w, left) || !s.mayTake(now, s.workers[m.Worker], false)) {
				continue
			}
			p.chosen = now
			chosen++
			if wk := s.workers[m.Worker]; wk != nil && !idle {
				wk.cordoned = true
				s.note("Cordoned", TaskID{}, wk.ID, "UpkeepDue", w.Number)
			}
		}
		if !p.doubt && !idle {
			s.thinOut(s.workers[m.Worker])
		}
		s.noteHeld(now, w, p)
		if now.Before(p.retry) || !p.doubt && down >= w.Cap || !p.doubt && !idle && !s.mayTake(now, s.workers[m.Worker], now.Sub(p.chosen) < drainPatience) {
			continue
		}
		if !p.doubt {
			down++
			chosen--
		}
		p.inFlight, p.at = true, now
		if wk := s.workers[m.Worker]; wk != nil {
			wk.leaving = true
		}
		o.Machines = append(o.Machines, MachineOrder{Machine: p.machine, Wave: w.Number})
	}
}

// heldEvery bounds how often the log says why a machine waits for its upkeep.
const heldEvery = 2 * time.Second

// noteHeld logs why a machine waits once its wave is late.
func (s *State) noteHeld(now time.Time, w *wave, p *wavePart) {
	if now.Sub(w.asked) < w.aim() || now.Sub(p.noted) < heldEvery {
		return
	}
	p.noted = now
	m := s.machines[p.machine]
	why := s.whyNotTake(now, s.workers[m.Worker], !p.chosen.IsZero())
	if why == "" && s.busy(m) {
		why = "PoolLacksMachines"
	}
	s.note("Held", TaskID{}, m.Worker, p.machine+" "+why, w.Number)
}

// busy reports whether a machine's pool lacks machines.
func (s *State) busy(m Machine) bool {
	l := s.lendings[m.Pool]
	return l != nil && l.machines <= l.need && s.batchRuns(m) > 0
}

// behind reports whether a wave has begun with a smaller share of its machines than of its time.
func (s *State) behind(now time.Time, w *wave, left int) bool {
	share := float64(now.Sub(w.asked)) / float64(max(time.Second, w.aim()))
	return share > 1-float64(left)/float64(len(w.parts))
}

// orderedElsewhere reports whether a machine was ordered to go down and it is not known yet what became of it,
// for another wave or an order whose effect no list has shown.
func (s *State) orderedElsewhere(w *wave, machine string) bool {
	if _, pending := s.taken[machine]; pending {
		return true
	}
	for _, other := range s.waves {
		if other == w || other.done {
			continue
		}
		for _, p := range other.parts {
			if p.machine == machine && (p.inFlight || p.doubt) {
				return true
			}
		}
	}
	return false
}

// aim returns the time in which the wave should end.
func (w *wave) aim() time.Duration { return w.Within - w.Within/wavesSafety }

// waveSlots returns how many machines may be chosen or down now: enough to end in time, no more.
func (s *State) waveSlots(now time.Time, w *wave, left int) int {
	cycle := s.settings.UpkeepTime + orderCycleExtra
	remaining := max(time.Second, w.aim()-now.Sub(w.asked))
	need := int((time.Duration(left)*cycle+remaining-1)/remaining) + 1
	return min(w.Cap, need)
}

// waveOrder returns the parts in the order in which to choose them: those already chosen, then the emptiest.
func (s *State) waveOrder(w *wave) []*wavePart {
	parts := slices.Clone(w.parts)
	load := func(p *wavePart) int {
		wk := s.workers[s.machines[p.machine].Worker]
		switch {
		case !p.chosen.IsZero():
			return -1
		case wk == nil:
			return 0
		}
		n := 1
		for _, r := range wk.runs {
			n++
			if r.task != nil && r.task.stage.step.Lasting {
				n += 100 // moving a lasting task costs more than waiting for any number of batch tasks
			}
		}
		return n
	}
	slices.SortStableFunc(parts, func(a, b *wavePart) int { return cmp.Compare(load(a), load(b)) })
	return parts
}

// mayTake reports whether what runs on a worker may be ended for its upkeep.
func (s *State) mayTake(now time.Time, w *worker, patient bool) bool {
	return s.whyNotTake(now, w, patient) == ""
}

// whyNotTake returns the rule that keeps a worker from being taken for its upkeep, or nothing.
//
// Lasting tasks may be away only as far as their step allows; patient says that batch tasks
// should end first.
func (s *State) whyNotTake(now time.Time, w *worker, patient bool) string {
	if w == nil {
		return ""
	}
	if !w.looked && !now.After(w.lapse) {
		return "NotLookedAt"
	}
	taken := make(map[*stage]int)
	for _, r := range w.sorted() {
		switch {
		case r.task == nil || r.task.stage.job.state.Final():
		case r.task.stage.step.Lasting:
			taken[r.task.stage]++
		case patient && now.Sub(r.since) < drainPatience:
			return "BatchTasksRun"
		}
	}
	for st, n := range taken {
		if away := st.away(w); away+n > max(1, st.step.MayMiss) {
			return "TasksAway:" + st.job.ID + "/" + strconv.Itoa(st.index) + ":" + strconv.Itoa(away) + "+" + strconv.Itoa(n)
		}
	}
	return ""
}

// thinOut stops one task of a lasting step of which a chosen worker runs more than may be away at
// once, when none is away; it starts again on another worker.
func (s *State) thinOut(w *worker) {
	if w == nil {
		return
	}
	taken := make(map[*stage]int)
	for _, r := range w.sorted() {
		if r.task == nil || !r.task.stage.step.Lasting || r.phase != running {
			continue
		}
		st := r.task.stage
		taken[st]++
		if taken[st] > max(1, st.step.MayMiss) && st.away(w) == 0 && !w.stopping(st) {
			r.phase = stopping
			w.attend()
			s.note("Stop", r.id, w.ID, "UpkeepDue", r.number)
		}
	}
}

// stopping reports whether a run of the step is being stopped on the worker.
func (w *worker) stopping(st *stage) bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.stage == st && r.phase == stopping {
			return true
		}
	}
	return false
}

// away counts the tasks of a lasting step, other than those on w, that are not at work.
func (st *stage) away(w *worker) int {
	n := 0
	for i := range st.tasks {
		r := st.tasks[i].run
		if r != nil && r.worker == w {
			continue
		}
		if r == nil || r.phase != running || r.percent < wholePercent || r.worker.failures > 0 || r.worker.leaving {
			n++
		}
	}
	return n
}

func (s *State) saveWave(w *wave, o *Orders) {
	status := WaveStatus{Wave: w.Number, Completed: w.settled, Asked: w.asked}
	for _, p := range w.parts {
		if p.begun {
			status.Begun = append(status.Begun, p.machine)
		}
	}
	if w.saving || w.stored && len(status.Begun) == w.saved && !w.settled {
		return
	}
	w.saving = true
	o.Waves = append(o.Waves, status)
}
