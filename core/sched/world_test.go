package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// simRun is one run on a simulated worker.
type simRun struct {
	row   Row
	began time.Time
	ends  time.Time // zero for a lasting task
	how   EndKind
	pace  int
}

// simWorker keeps a worker's side of the contract: leases, fences, numbered ends, no own guard of capacity.
type simWorker struct {
	Worker
	fence  uint64
	until  time.Time
	runs   map[TaskID]*simRun
	barred map[TaskID]int64
	ended  []End
	number int64
	cut    bool // no entry reaches it
	grey   bool // it fails all that it starts
	log    func(string, ...any)
	late   bool // starts get no answer and are carried out later
	slow   bool
	down   bool
}

// simWorld plays workers, machines and time for one or more owners.
type simWorld struct {
	t       *testing.T
	now     time.Time
	random  *rand.Rand
	workers []*simWorker
	byID    map[string]*simWorker
	listed  func(*simWorker) bool
	pending []event
	jobs    map[string]Job
	owner   *simOwner
	others  []*simOwner
	stored  map[string]Progress
	waves   map[int64]WaveStatus
	roster  map[string]Worker
	length  func(TaskID) time.Duration
	done    map[TaskID]time.Time
	starts  map[TaskID]int
	broken  []string
	trace   []string
	moved   int
	away    map[string]time.Time // machines that are away, until then
	pools   map[string]string    // by machine
	fences  map[string]uint64    // by machine
	kept    map[string]int64     // wave of a machine's last upkeep
	upkeep  map[string]time.Time // until when a machine is down for its upkeep
	caps    map[int64]int        // machines that may be down at once, by wave
	life    int
	config  Config
}

type event struct {
	at time.Time
	do func()
}

// simOwner is one owner with its fence; a cut owner reaches only the workers that it may.
type simOwner struct {
	state   *State
	fence   uint64
	reaches func(*simWorker) bool
	ended   bool
	stuck   bool // the store does not answer it
}

const (
	simStep    = 10 * time.Millisecond
	simDelay   = 3 * time.Millisecond
	simTimeout = 600 * time.Millisecond
	simRate    = 4096 // seeds' second half
)

var simSettings = Settings{
	HoldMost: 6 * time.Second, GangPatience: 3 * time.Second, Notice: 4500 * time.Millisecond,
	MoveTime: 1500 * time.Millisecond, UpkeepTime: 2 * time.Second, KeepEnded: 2 * time.Minute,
}

func newWorld(t *testing.T, seed uint64, pools map[string]int) *simWorld {
	w := &simWorld{
		t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, simRate)),
		jobs: make(map[string]Job), stored: make(map[string]Progress), waves: make(map[int64]WaveStatus), roster: make(map[string]Worker), byID: make(map[string]*simWorker),
		done: make(map[TaskID]time.Time), starts: make(map[TaskID]int), away: make(map[string]time.Time), pools: make(map[string]string), fences: make(map[string]uint64), kept: make(map[string]int64), caps: make(map[int64]int), upkeep: make(map[string]time.Time),
		config: Config{Version: 1, Queues: make(map[string]Queue), Pools: map[string]Pool{"spare": {Name: "spare", Spare: true}}},
	}
	w.length = func(TaskID) time.Duration { return 800 * time.Millisecond }
	w.listed = func(x *simWorker) bool { return !x.cut && !x.down }
	names := make([]string, 0, len(pools))
	for name := range pools {
		names = append(names, name)
	}
	slices.Sort(names)
	machine := 0
	for _, pool := range names {
		if pool != "spare" {
			w.config.Pools[pool] = Pool{Name: pool}
			w.config.Queues["q-"+pool] = Queue{Name: "q-" + pool, Pool: pool, Attempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond}
		}
		for range pools[pool] {
			name := fmt.Sprintf("m%02d", machine)
			machine++
			w.pools[name] = pool
			if pool != "spare" {
				w.addWorker(name)
			}
		}
	}
	w.owner = w.newOwner(1)
	return w
}

func (w *simWorld) addWorker(machine string) *simWorker {
	w.life++
	x := &simWorker{
		Worker: Worker{
			ID: fmt.Sprintf("%s-%d", machine, w.life), Pool: w.pools[machine], Rack: "r" + machine[1:2], Labels: []string{"a"},
			Capacity: Size{Processors: 16000, MemoryMB: 32768}, Born: w.now,
		},
		runs: make(map[TaskID]*simRun), barred: make(map[TaskID]int64), log: w.log,
	}
	w.workers = append(w.workers, x)
	w.byID[x.ID] = x
	return x
}

func machineOf(x *simWorker) string { return strings.Split(x.ID, "-")[0] }

// newOwner starts an owner from what is durable.
func (w *simWorld) newOwner(fence uint64) *simOwner {
	w.log("owner %d begins", fence)
	o := &simOwner{state: New(w.now, fence, simSettings), fence: fence, reaches: func(*simWorker) bool { return true }}
	o.state.SetConfig(w.config)
	ids := make([]string, 0, len(w.jobs))
	for id := range w.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		o.state.AddJob(w.now, w.jobs[id], w.stored[id], true)
	}
	for _, s := range w.waves {
		o.state.WaveWas(s)
	}
	w.list(o)
	for _, id := range sortedKeys(w.roster) {
		o.state.RosterWas(w.now, w.roster[id])
	}
	return o
}

func (w *simWorld) list(o *simOwner) {
	var list []Worker
	for _, x := range w.workers {
		if w.listed(x) {
			list = append(list, x.Worker)
		}
	}
	o.state.SetWorkers(w.now, list)
}

func (w *simWorld) submit(j Job) {
	j.Accepted = w.now
	w.jobs[j.ID] = j
	w.owner.state.AddJob(w.now, j, Progress{}, false)
}

func (w *simWorld) after(d time.Duration, f func()) {
	w.pending = append(w.pending, event{w.now.Add(d), f})
}

// run plays the world for a time.
func (w *simWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(simStep)
		due := w.pending
		w.pending = nil
		for _, e := range due {
			if e.at.After(w.now) {
				w.pending = append(w.pending, e)
				continue
			}
			e.do()
		}
		for _, x := range w.workers {
			w.work(x)
		}
		for _, o := range append([]*simOwner{w.owner}, w.others...) {
			w.own(o)
		}
		w.check()
	}
}

func (w *simWorld) own(o *simOwner) {
	if o.ended {
		return
	}
	if !o.stuck {
		o.state.Confirm(w.now.Add(2 * time.Second))
		if w.now.UnixMilli()%400 < simStep.Milliseconds() {
			w.list(o)
		}
	}
	orders := o.state.Plan(w.now)
	if o.state.Deposed() {
		o.ended = true
		return
	}
	w.carry(o, orders)
}

// traceLines is how much of a history a failed test prints.
const traceLines = 80

// log keeps the newest lines of the history.
func (w *simWorld) log(format string, args ...any) {
	line := fmt.Sprintf("%.2f ", float64(w.now.UnixMilli()%1_000_000)/1000) + fmt.Sprintf(format, args...)
	w.trace = append(w.trace, line)
	if len(w.trace) > traceLines {
		w.trace = w.trace[1:]
	}
}

// carry plays the network between an owner and the others.
func (w *simWorld) carry(o *simOwner, orders Orders) {
	for _, n := range orders.Notes {
		w.log("owner %d: %s %s on %s: %s", o.fence, n.What, n.Task, n.Worker, n.Reason)
	}
	for _, s := range orders.Starts {
		w.order(o, s.Worker, func(x *simWorker) Answer { return w.start(o, x, s) }, func(a Answer) { o.state.StartAnswered(w.now, s, a) })
	}
	for _, s := range orders.Stops {
		w.order(o, s.Worker, func(x *simWorker) Answer { return w.stop(o, x, s) }, func(a Answer) { o.state.StopAnswered(w.now, s, a) })
	}
	for _, p := range orders.Paces {
		w.order(o, p.Worker, func(x *simWorker) Answer {
			if r := x.runs[p.Task]; r != nil {
				r.pace = p.Percent
			}
			return Carried
		}, func(a Answer) { o.state.PaceAnswered(w.now, p, a) })
	}
	for _, l := range orders.Looks {
		w.awaitLook(o, l, w.now)
	}
	for _, m := range orders.Machines {
		w.after(simDelay, func() { o.state.MachineAnswered(w.now, m, w.machine(o, m)) })
	}
	if orders.ListMachines {
		asked := w.now
		w.after(simDelay, func() { o.state.SetMachines(w.now, asked, w.machines()) })
	}
	if o.stuck {
		for _, s := range orders.Saves {
			w.after(time.Second, func() { o.state.SaveFailed(s.Job) })
		}
		for _, c := range orders.Roster {
			w.after(time.Second, func() { o.state.RosterFailed(c) })
		}
		return
	}
	for _, s := range orders.Saves {
		w.after(simDelay, func() {
			w.stored[s.Job] = s.Progress
			o.state.Saved(s.Job, s.Version)
		})
	}
	for _, c := range orders.Roster {
		w.after(simDelay, func() {
			delete(w.roster, c.Worker.ID)
			if c.Named {
				w.roster[c.Worker.ID] = c.Worker
			}
			o.state.RosterSaved(c)
		})
	}
	for _, s := range orders.Waves {
		w.after(simDelay, func() {
			w.waves[s.Wave] = s
			o.state.WaveSaved(s)
		})
	}
}

// awaitLook plays one look, which renews at once and waits for an end.
func (w *simWorld) awaitLook(o *simOwner, l Look, sent time.Time) {
	w.after(simDelay, func() {
		x := w.find(l.Worker)
		switch {
		case x == nil || x.cut || x.down || !o.reaches(x):
			w.after(simTimeout, func() { o.state.Looked(w.now, l.Worker, Sight{Answer: Unanswered, Sent: sent}) })
			return
		case o.fence >= x.fence && l.Until > 0:
			x.fence = o.fence
			x.extend(w.now, l.Until)
			l.Until = 0
		}
		if x.number <= l.Acknowledged && w.now.Sub(sent) < l.Wait {
			w.awaitLook(o, l, sent)
			return
		}
		o.state.Looked(w.now, l.Worker, w.look(o, x, l, sent))
	})
}

// order plays one order: lost when the worker is out of reach, late when the worker is said to be.
func (w *simWorld) order(o *simOwner, id string, do func(*simWorker) Answer, answer func(Answer)) {
	w.after(simDelay, func() {
		x := w.find(id)
		switch {
		case x == nil || x.cut || x.down || !o.reaches(x):
			w.after(simTimeout, func() { answer(Unanswered) })
		case x.late && w.random.Float64() < 0.5:
			w.after(simTimeout, func() { answer(Unanswered) })
			w.after(2*time.Second+time.Duration(w.random.Int64N(int64(8*time.Second))), func() {
				if !x.down { // a life that is over carries nothing out
					do(x)
				}
			})
		default:
			answer(do(x))
		}
	})
}

func (w *simWorld) find(id string) *simWorker {
	return w.byID[id]
}

func (x *simWorker) clock(now time.Time) time.Duration { return now.Sub(x.Born) }

func (x *simWorker) extend(now time.Time, until time.Duration) {
	at := x.Born.Add(until)
	if most := now.Add(simSettings.HoldMost); at.After(most) {
		at = most
	}
	if at.After(x.until) {
		x.until = at
	}
}

func (w *simWorld) start(o *simOwner, x *simWorker, s Start) Answer {
	if o.fence < x.fence {
		return Outdated
	}
	x.fence = o.fence
	r := x.runs[s.Task]
	switch {
	case s.Until < x.clock(w.now):
		return TooLate
	case r != nil && r.row.Run == s.Run:
		return Carried
	case s.Run <= x.barred[s.Task]:
		return Superseded
	}
	x.extend(w.now, s.Until)
	step := w.jobs[s.Task.Job].Steps[s.Task.Step]
	next := &simRun{row: Row{Task: s.Task, Run: s.Run, Saved: s.Saved}, began: w.now, how: Done, pace: wholePercent}
	if !step.Lasting {
		next.ends = w.now.Add(w.length(s.Task))
	}
	if x.grey {
		next.ends, next.how = w.now.Add(50*time.Millisecond), Faulted
	}
	x.runs[s.Task] = next
	w.starts[s.Task]++
	w.checkStart(x, s)
	return Carried
}

func (w *simWorld) stop(o *simOwner, x *simWorker, s Stop) Answer {
	if o.fence < x.fence {
		return Outdated
	}
	x.fence = o.fence
	x.barred[s.Task] = max(x.barred[s.Task], s.Run)
	if r := x.runs[s.Task]; r != nil && r.row.Run <= s.Run {
		x.end(s.Task, Stopped)
	}
	return Carried
}

func (x *simWorker) end(id TaskID, how EndKind) {
	r := x.runs[id]
	delete(x.runs, id)
	if x.log != nil && how != Done {
		x.log("%s ends on %s: %s", id, x.ID, how)
	}
	x.barred[id] = max(x.barred[id], r.row.Run)
	x.number++
	x.ended = append(x.ended, End{Number: x.number, Row: r.row, How: how})
}

func (w *simWorld) look(o *simOwner, x *simWorker, l Look, sent time.Time) Sight {
	if o.fence < x.fence {
		return Sight{Answer: Outdated, Sent: sent}
	}
	x.fence = o.fence
	if l.Until > 0 {
		x.extend(w.now, l.Until)
	}
	x.ended = slices.DeleteFunc(x.ended, func(e End) bool { return e.Number <= l.Acknowledged })
	s := Sight{Answer: Carried, Sent: sent, Clock: x.clock(w.now), Born: x.Born, Ended: slices.Clone(x.ended)}
	for _, r := range x.runs {
		if w.now.Sub(r.began) > 300*time.Millisecond {
			r.row.Percent = wholePercent
		}
		s.Running = append(s.Running, r.row)
	}
	return s
}

// work ends the runs whose time or lease is over.
func (w *simWorld) work(x *simWorker) {
	var ids []TaskID
	for id, r := range x.runs {
		if x.down || w.now.After(x.until) || !r.ends.IsZero() && w.now.After(r.ends) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, TaskID.compare)
	for _, id := range ids {
		r := x.runs[id]
		switch {
		case x.down:
			delete(x.runs, id)
		case w.now.After(x.until):
			x.end(id, Lapsed)
		case !r.ends.IsZero() && w.now.After(r.ends):
			if r.how == Done {
				w.done[id] = w.now
			}
			x.end(id, r.how)
		}
	}
}

func (w *simWorld) machines() []Machine {
	var list []Machine
	for name, pool := range w.pools {
		m := Machine{Name: name, Pool: pool, Up: true, Capacity: Size{Processors: 16000, MemoryMB: 32768}}
		if until, away := w.away[name]; away && w.now.Before(until) {
			m.Up, m.Away = false, true
		}
		list = append(list, m)
	}
	at := make(map[string]string)
	for _, x := range w.workers {
		if !x.down {
			at[machineOf(x)] = x.ID
		}
	}
	for i := range list {
		list[i].Worker = at[list[i].Name]
	}
	return list
}

// machine moves a machine or takes it down for its upkeep; a new worker comes afterwards.
func (w *simWorld) machine(o *simOwner, m MachineOrder) Answer {
	w.log("owner %d orders machine %+v", o.fence, m)
	if o.fence < w.fences[m.Machine] {
		return Outdated
	}
	w.fences[m.Machine] = o.fence
	if until, away := w.away[m.Machine]; away && w.now.Before(until) {
		return MachineBusy
	}
	if m.Pool == "" && w.kept[m.Machine] == m.Wave || m.Pool != "" && w.pools[m.Machine] == m.Pool {
		return Carried // it was done before
	}
	took := simSettings.UpkeepTime
	if m.Pool == "" {
		down := 0
		for name, until := range w.upkeep {
			if w.kept[name] == m.Wave && w.now.Before(until) {
				down++
			}
		}
		if most := w.caps[m.Wave]; most > 0 && down >= most {
			w.breaks("upkeep of %s begins beside %d others of wave %d", m.Machine, down, m.Wave)
		}
		w.kept[m.Machine] = m.Wave
		w.upkeep[m.Machine] = w.now.Add(took)
	}
	if m.Pool != "" {
		took = simSettings.MoveTime
		w.pools[m.Machine] = m.Pool
		w.moved++
	}
	for _, x := range w.workers {
		if machineOf(x) == m.Machine {
			w.checkTaken(x)
			x.down = true
			clear(x.runs)
		}
	}
	w.away[m.Machine] = w.now.Add(took)
	w.after(took, func() {
		if w.pools[m.Machine] != "spare" {
			w.addWorker(m.Machine)
		}
	})
	return Carried
}

// batch returns a job of one or two steps.
func batch(id, pool string, count, processors int, steps int) Job {
	j := Job{ID: id, Queue: "q-" + pool}
	for i := range steps {
		s := Step{Count: count, Size: Size{Processors: processors, MemoryMB: 1000}, Estimate: 800 * time.Millisecond}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func lasting(id, pool string, count int) Job {
	return Job{ID: id, Queue: "q-" + pool, Steps: []Step{{Count: count, Size: Size{Processors: 1500, MemoryMB: 3000}, Lasting: true, MaxPerWorker: 1, MayMiss: 1}}}
}

// atWork counts the tasks of a lasting job that run.
func (w *simWorld) atWork(job string) int {
	n := 0
	for _, x := range w.workers {
		for id := range x.runs {
			if id.Job == job && !x.down {
				n++
			}
		}
	}
	return n
}

// dump describes a job's tasks and the workers for a failed test.
func (s *State) dump(id string) string {
	var b strings.Builder
	j := s.jobs[id]
	for _, o := range j.runs {
		for _, st := range o.stages {
			fmt.Fprintf(&b, "step %d: left %d blocked %d queued %v\n", st.index, st.left, st.blocked, st.queued)
			for i := range st.tasks {
				tk := &st.tasks[i]
				fmt.Fprintf(&b, "  %d done %v lastRun %d", i, tk.done, tk.lastRun)
				if tk.run != nil {
					fmt.Fprintf(&b, " run %+v on %s", *tk.run, tk.run.worker.ID)
				}
				b.WriteString("\n")
			}
		}
	}
	for _, w := range s.ordered() {
		fmt.Fprintf(&b, "%s pool %s listed %v looked %v rostered %v cordoned %v gone %v failures %d looking %v used %v runs %d\n", w.ID, w.Pool, w.listed, w.looked, w.rostered, w.cordoned, w.gone, w.failures, w.looking, w.used, len(w.runs))
	}
	for name, m := range s.moves {
		fmt.Fprintf(&b, "move %s %+v\n", name, *m)
	}
	return b.String()
}
