package sched

import (
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// A task may crash the worker that runs it. A crashed worker lists no ends, and workers crash for other causes too, so a crash makes a
// suspect of every task that ran there. Each crash counts by the probability that it struck the run by chance: small if the run had just
// begun, if no other suspects ran there and if workers crash rarely. Suspects are kept apart from each other, and a task under which two
// workers have crashed runs alone, so that innocent ones end and the cause shows. When the crashes under a task can hardly be chance, its
// job ends as failed, and they no longer count against the other suspects.

const (
	verdictDelay  = time.Second     // before a job is given up, in which answers and other crashes may still clear its task
	trialExposure = 4 * time.Second // for which nobody saw the worker of such a trial
	maxChance     = 1e-3            // probability of being chance from which the crashes under a task prove it to be the cause
	priorGuilt    = 0.01            // probability that a task of which nothing is known crashes its worker
	probation     = 3 * time.Second // a long-running task that has run for longer is not the cause of a crash
	crashWindow   = 8 * time.Second // over which the rate of crashes is taken

	coincidenceWindow = 750 * time.Millisecond // in which the first signs of crashes with a common cause come
	separateCauses    = 2                      // number of crashes in that time that need no common cause
	lapsedRunMemory   = 30 * time.Second       // for which the lapsed runs of a silent worker are kept, in case it turns out to have crashed

	// The rate of crashes begins with priorCrashes in priorExposure of one worker, before any are known.
	priorCrashes  = 0.25
	priorExposure = 20 * time.Second
)

// Crash is the unexpected end of a worker's process.
type Crash struct {
	Worker    string
	StartedAt time.Time `json:",omitzero"` // start of the incarnation that ended
	Address   netip.AddrPort
}

func (c Crash) equal(o Crash) bool { return c.Worker == o.Worker && c.StartedAt.Equal(o.StartedAt) }

// CrashedRun is a run under which a worker crashed.
type CrashedRun struct {
	Step  int
	Index int
	Run   int64
	Crash
	Chance float64 // probability that the crash struck the run by chance; zero for a trial
}

// trial is a run of a task that runs alone. It is stored before the start, so that a later owner knows of a crash that nobody saw.
type trial struct {
	CrashedRun
	version   uint64 // of the job's progress that holds it
	inherited bool   // an earlier owner stored it, and its outcome is not known
}

// recentCrash is a crash of the last crashWindow that no failed job explains.
type recentCrash struct {
	Crash
	pool string
	at   time.Time
	runs []suspectedRun // that it had
}

// struck reports whether the crash struck a run of the task.
func (c recentCrash) struck(t *task) bool {
	return slices.ContainsFunc(c.runs, func(r suspectedRun) bool { return r.task == t })
}

// suspectedRun is a run that may have crashed its worker.
type suspectedRun struct {
	task   *task
	number int64
	crash  Crash
	chance float64
}

// silentWorker holds the runs whose leases ended on a worker that did not answer, until it shows whether it had crashed.
type silentWorker struct {
	pool    string
	machine string // empty if no list of machines has shown the worker
	since   time.Time
	runs    []suspectedRun
}

// endCause is the reason for which a worker's process ended.
type endCause string

const (
	crashed endCause = "Crashed"
	drained endCause = "Drained" // it had announced that it would leave
	ordered endCause = "Ordered" // its machine was moved or maintained
)

// endCause returns why the process of a worker that is gone has ended, as far as this owner knows. An order that got no answer may have
// been executed, so it counts.
func (s *State) endCause(w *worker) endCause {
	switch {
	case w.Draining:
		return drained
	case w.maintenanceOrdered, w.moveOrdered, s.machines[w.machine].Unavailable:
		return ordered
	}
	return crashed
}

// logEnd logs why a worker's process ended and what it ran.
func (s *State) logEnd(w *worker) {
	s.logDecision("WorkerEnded", TaskID{}, w.ID, string(s.endCause(w))+" at "+w.Address.String()+" with "+strconv.Itoa(len(w.runs))+" runs", 0)
}

// crash returns the crash of the worker's incarnation that started at the given time.
func (w *worker) crash(startedAt time.Time) Crash {
	return Crash{Worker: w.ID, StartedAt: startedAt, Address: w.Address}
}

// workerCrashed counts the crash of a worker's incarnation against the tasks of the runs that it had, and of those that had lapsed there.
func (s *State) workerCrashed(now time.Time, w *worker, startedAt time.Time, runs []*run) {
	suspected := s.suspectedRuns(now, w, startedAt, runs)
	if l := s.silent[w.ID]; l != nil {
		suspected = append(suspected, l.runs...)
		delete(s.silent, w.ID)
	}
	for _, t := range s.inheritedTrials(w.crash(startedAt)) {
		suspected = append(suspected, suspectedRun{t, t.trial.Run, t.trial.Crash, min(1, s.crashRate(now, w, t)*trialExposure.Seconds())})
	}
	at := now
	if !w.silentSince.IsZero() {
		at = w.silentSince
	}
	s.countCrash(now, at, w.Pool, w.crash(startedAt), suspected)
}

// countCrash counts a crash, of which the first sign came at the given time, against the tasks of the suspected runs.
func (s *State) countCrash(now, at time.Time, pool string, c Crash, suspected []suspectedRun) {
	recent := recentCrash{Crash: c, pool: pool, at: at, runs: suspected}
	for _, r := range suspected {
		s.suspect(r)
	}
	s.recentCrashes = slices.DeleteFunc(s.recentCrashes, func(r recentCrash) bool { return now.Sub(r.at) > crashWindow || r.equal(c) })
	s.recentCrashes = append(s.recentCrashes, recent)
	s.weighCoincidence(at, pool)
	s.placementChanged = true // for the verdicts
}

// suspectLate counts a crash against the task of a run of which it became known later that the crash struck it.
func (s *State) suspectLate(r suspectedRun) {
	s.suspect(r)
	for i := range s.recentCrashes {
		if c := &s.recentCrashes[i]; c.equal(r.crash) {
			c.runs = append(c.runs, r)
			s.weighCoincidence(c.at, c.pool)
			return
		}
	}
}

// weighCoincidence raises the probability that the crashes whose first signs came in a pool at about the given time struck their runs by
// chance: a common cause that takes down a share of the workers strikes a run with that probability, however short it has run. Only workers
// that ran no earlier suspect show such a cause; several tasks that crash their workers would look alike.
func (s *State) weighCoincidence(at time.Time, pool string) {
	var together []recentCrash
	unexplained, underTask := 0, make(map[*task]int)
	for _, c := range s.recentCrashes {
		if c.pool != pool || c.at.Sub(at).Abs() > coincidenceWindow {
			continue
		}
		together = append(together, c)
		if slices.ContainsFunc(c.runs, func(r suspectedRun) bool { return len(r.task.crashes) > 1 }) {
			continue
		}
		unexplained++
		for _, r := range c.runs {
			underTask[r.task]++
		}
	}
	workers := max(len(together), s.workersIn(pool))
	for _, c := range together {
		for _, r := range c.runs {
			if others := unexplained - underTask[r.task]; others > separateCauses {
				s.raiseChance(r, min(1, r.chance+float64(others-separateCauses)/float64(workers)))
			}
		}
	}
}

// raiseChance raises the probability that a crash struck a run by chance, if the crash counts against its task.
func (s *State) raiseChance(r suspectedRun, chance float64) {
	i := slices.IndexFunc(r.task.crashes, func(c CrashedRun) bool { return c.Run == r.number && c.equal(r.crash) })
	if i < 0 || chance <= r.task.crashes[i].Chance {
		return
	}
	r.task.crashes[i].Chance = chance
	s.markDirty(r.task.stage.job)
}

// workersIn returns the number of known workers of a pool.
func (s *State) workersIn(pool string) int {
	n := 0
	for _, w := range s.workers {
		n += boolInt(w.Pool == pool)
	}
	return n
}

// suspectedRuns returns those of the runs that may have crashed the worker. It remembers the runs of jobs whose records have not been read.
func (s *State) suspectedRuns(now time.Time, w *worker, startedAt time.Time, runs []*run) []suspectedRun {
	var suspected []suspectedRun
	for _, r := range runs {
		switch a := s.announced[r.id.Job]; {
		case r.awaited && a != nil:
			a.crashes = append(a.crashes, awaitedCrash{r.id, r.number, w.crash(startedAt), s.chanceOfCrash(now, w, r)})
		case r.task != nil && !r.neverBegan && !w.provenHarmless(r):
			suspected = append(suspected, suspectedRun{r.task, r.number, w.crash(startedAt), s.chanceOfCrash(now, w, r)})
		}
	}
	return suspected
}

// chanceOfCrash returns the probability that a worker crashes by chance or by another of its tasks, in the time in which it crashed after the
// run began. If the worker has not confirmed the run, it may have crashed before that.
func (s *State) chanceOfCrash(now time.Time, w *worker, r *run) float64 {
	from, until := r.since, now
	if r.confirmedAt.IsZero() {
		from = earliest(from, w.lastPoll)
	}
	if !w.silentSince.IsZero() {
		until = w.silentSince
	}
	chance := s.crashRate(now, w, r.task) * max(0, until.Sub(from).Seconds())
	for _, other := range w.runs {
		switch {
		case other.id.Job == r.id.Job || w.provenHarmless(other):
		case other.task == nil:
			chance += priorGuilt
		default:
			chance += other.task.guilt()
		}
	}
	return min(1, chance)
}

// crashRate returns the rate, per second, at which a worker crashes by no fault of its tasks: that of its pool, or that of its machine if it
// is higher. Crashes under the given task are left out.
func (s *State) crashRate(now time.Time, w *worker, t *task) float64 {
	inPool, onMachine := priorCrashes, 0.0
	for _, c := range s.recentCrashes {
		if now.Sub(c.at) > crashWindow || c.pool != w.Pool && c.Address != w.Address || c.struck(t) {
			continue
		}
		byChance := c.byChance()
		if c.pool == w.Pool {
			inPool += byChance
		}
		if c.Address == w.Address {
			onMachine += byChance
		}
	}
	window := min(crashWindow, now.Sub(s.began)).Seconds()
	return max(inPool/(priorExposure.Seconds()+window*float64(s.workersIn(w.Pool))), onMachine/crashWindow.Seconds())
}

// byChance returns the probability that none of its tasks caused the crash, taking the most suspect one for the only suspect.
func (c recentCrash) byChance() float64 {
	guilt := 0.0
	for _, r := range c.runs {
		guilt = max(guilt, r.task.guilt())
	}
	return 1 - guilt
}

// guilt returns the probability that the task crashes its workers.
func (t *task) guilt() float64 {
	if t.done {
		return 0
	}
	return priorGuilt / (priorGuilt + t.chance())
}

// keepSilent keeps the runs whose leases have ended on a worker, in case it turns out to have crashed.
func (s *State) keepSilent(now time.Time, w *worker, ended []*run) {
	if suspected := s.suspectedRuns(now, w, w.StartedAt, ended); len(suspected) > 0 {
		l := s.silent[w.ID]
		if l == nil {
			l = &silentWorker{pool: w.Pool, machine: w.machine}
			s.silent[w.ID] = l
		}
		l.since, l.runs = now, append(l.runs, suspected...)
	}
}

// resolveSilent counts the crashes of silent workers that are gone from their machines, by a list of machines that was requested at the
// time asked.
func (s *State) resolveSilent(now, asked time.Time, onMachine map[string]bool) {
	for _, id := range sortedKeys(s.silent) {
		l := s.silent[id]
		if now.Sub(l.since) > lapsedRunMemory {
			delete(s.silent, id)
			continue
		}
		if l.machine != "" && !onMachine[id] && !s.machinesUnclear && asked.After(l.since) {
			delete(s.silent, id)
			if w := s.workers[id]; w != nil && s.endCause(w) != crashed || s.machines[l.machine].Unavailable {
				continue
			}
			s.countCrash(now, l.since, l.pool, l.runs[0].crash, l.runs)
		}
	}
}

// provenHarmless reports whether a long-running task had run so long when the worker last answered that it is not the cause of a crash.
func (w *worker) provenHarmless(r *run) bool {
	return r.task != nil && r.task.stage.step.LongRunning && !r.confirmedAt.IsZero() && w.lastPoll.Sub(r.confirmedAt) > probation
}

// hostsOnly reports whether the worker runs nothing but tasks of the job and long-running tasks that have proved harmless.
func (w *worker) hostsOnly(job string) bool {
	for _, r := range w.runs {
		if r.id.Job != job && !w.provenHarmless(r) {
			return false
		}
	}
	return true
}

// suspect counts a crash against the task of a run, once.
func (s *State) suspect(r suspectedRun) {
	t := r.task
	j := t.stage.job
	if t.done || j.state.Final() || slices.ContainsFunc(t.crashes, func(c CrashedRun) bool { return c.Run == r.number }) {
		return
	}
	s.addCrash(t, CrashedRun{Step: t.stage.index, Index: t.index, Run: r.number, Crash: r.crash, Chance: r.chance})
	s.markDirty(j)
	t.crashVersion, t.trial, t.waitsAloneSince = j.version, nil, time.Time{}
	s.logDecision("CrashCounted", t.id(), r.crash.Worker, t.describeCrashes()+", of this one "+formatChance(r.chance), r.number)
}

// addCrash adds a crash to those known of a task.
func (s *State) addCrash(t *task, c CrashedRun) {
	j := t.stage.job
	if len(t.crashes) == 0 {
		j.suspects = append(j.suspects, t)
		s.suspectJobs[j.ID] = j
	}
	t.crashes = append(t.crashes, c)
	t.lastRun = max(t.lastRun, c.Run)
}

// describeCrashes returns the number of crashes under the task and the probability that they are chance.
func (t *task) describeCrashes() string {
	return strconv.Itoa(len(t.crashes)) + " crashes, chance " + formatChance(t.chance())
}

func formatChance(p float64) string { return strconv.FormatFloat(p, 'g', 2, 64) }

// chance returns the probability that all crashes under the task are chance.
func (t *task) chance() float64 {
	chance := 1.0
	for _, c := range t.crashes {
		chance *= c.Chance
	}
	return chance
}

// incriminated reports whether the crashes under the task can hardly be chance. It takes one more of them than isolate the task.
func (t *task) incriminated() bool {
	return len(t.crashes) > isolationCrashes && t.chance() <= maxChance
}

// judge ends a task's job as failed once the task has been incriminated for verdictDelay. The crashes prove nothing against the other
// suspects then.
func (s *State) judge(now time.Time, t *task) {
	j := t.stage.job
	switch {
	case j.state.Final() || t.done || !t.incriminated():
		t.incriminatedAt = time.Time{}
		return
	case t.incriminatedAt.IsZero():
		t.incriminatedAt = now
		return
	case now.Sub(t.incriminatedAt) < verdictDelay:
		return
	}
	s.logDecision("JobFailed", t.id(), t.crashes[len(t.crashes)-1].Worker, "CrashesWorkers: "+t.describeCrashes(), t.lastRun)
	s.endJob(now, j, Failed)
	for _, c := range t.crashes {
		s.explainCrash(c.Crash)
	}
}

// retractCrash takes a crash back that was counted against a run, since the worker has not begun the run.
func (s *State) retractCrash(id TaskID, number int64, worker string) {
	t := s.find(id)
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.crashes, func(c CrashedRun) bool { return c.Run == number && c.Worker == worker })
	if i < 0 {
		return
	}
	for n := range s.recentCrashes {
		if c := &s.recentCrashes[n]; c.equal(t.crashes[i].Crash) {
			c.runs = slices.DeleteFunc(c.runs, func(r suspectedRun) bool { return r.task == t })
		}
	}
	t.crashes = slices.Delete(t.crashes, i, i+1)
	s.markDirty(t.stage.job)
	s.placementChanged = true
	s.logDecision("CrashRetracted", id, worker, "NeverBegan; "+t.describeCrashes(), number)
}

// explainCrash notes that the cause of a crash is known, so that it proves nothing against the other tasks that ran there.
func (s *State) explainCrash(c Crash) {
	s.recentCrashes = slices.DeleteFunc(s.recentCrashes, func(r recentCrash) bool { return r.equal(c) })
	for _, id := range sortedKeys(s.suspectJobs) {
		j := s.suspectJobs[id]
		if j.state.Final() {
			continue
		}
		for _, t := range j.suspects {
			i := slices.IndexFunc(t.crashes, func(r CrashedRun) bool { return r.equal(c) && r.Chance < 1 })
			if i < 0 {
				continue
			}
			t.crashes[i].Chance = 1
			s.markDirty(j)
			s.logDecision("CrashExplained", t.id(), c.Worker, t.describeCrashes(), t.lastRun)
		}
	}
	s.placementChanged = true
}

// reviewSuspects judges the tasks under which workers have crashed, and forgets the crashes of tasks that have ended and of long-running tasks
// that have proved harmless since.
func (s *State) reviewSuspects(now time.Time) {
	for _, id := range sortedKeys(s.suspectJobs) {
		j := s.suspectJobs[id]
		for _, t := range j.suspects {
			s.judge(now, t)
		}
		if !j.state.Final() {
			for _, t := range j.suspects {
				if r := t.run; r != nil && len(t.crashes) > 0 && r.worker.provenHarmless(r) {
					t.crashes = nil
					s.markDirty(j)
				}
			}
			j.suspects = slices.DeleteFunc(j.suspects, func(t *task) bool { return t.done || len(t.crashes) == 0 })
		}
		if j.state.Final() || len(j.suspects) == 0 {
			j.suspects = nil
			delete(s.suspectJobs, id)
		}
	}
}
