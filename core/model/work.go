package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"daisysaddle/core/jobs"
)

// WorkSetup describes jobs that arrive at a set of workers.
type WorkSetup struct {
	Name       string
	Policy     string
	Workers    int
	Capacity   jobs.Resources
	Rate       float64       // jobs a second
	Run        time.Duration // mean run time
	Mean       float64       // cores that a job uses on average
	Error      float64       // declared sizes are wrong by up to this factor in both directions
	Urgent     float64       // share of urgent jobs
	Poison     float64       // share of jobs that fail on every worker
	BadWorkers int           // workers that fail every job
	Teams      int
	UsageLag   time.Duration
	Checkpoint time.Duration
	Length     time.Duration
	Seed       uint64
}

// WorkResult is what the jobs experienced.
type WorkResult struct {
	Jobs         int
	Started      int
	Wasted       int // starts that failed
	WastedOnBad  int // of them on workers that fail everything
	Parked       int
	Urgent       int
	UrgentInTime int           // started within 1.5 s
	UrgentP99    time.Duration // delay of the start
	Packing      float64       // mean share of the asked cores that runs
	OverSeconds  float64       // worker-seconds with more used than there is
	StepTime     time.Duration
}

const (
	workTick    = 250 * time.Millisecond
	urgentBound = 1500 * time.Millisecond
	jobClasses  = 8
	memoryCore  = 2000.0 // MB for each core
)

// job is what the model knows and the policy does not.
type job struct {
	jobs.Job
	real    jobs.Resources
	left    time.Duration
	poison  bool
	started bool
}

type work struct {
	WorkSetup
	now      time.Time
	random   *rand.Rand
	policy   jobs.Policy
	evidence jobs.Evidence
	ratios   [jobClasses]float64
	waiting  map[string]*job
	placed   map[string]*placed
	parked   map[string]bool
	result   WorkResult
	delays   []time.Duration
	spent    time.Duration
	asked    float64
	running  float64
	steps    int
}

type placed struct {
	job *job
	jobs.Placement
	ends time.Time // end of a checkpoint or stop
}

// RunWork plays jobs against a placement policy.
func RunWork(s WorkSetup) (WorkResult, error) {
	policy, err := jobs.Policies.Lookup(s.Policy)
	if err != nil {
		return WorkResult{}, err
	}
	w := &work{
		WorkSetup: s, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(s.Seed, s.Seed+5)), policy: policy,
		waiting: make(map[string]*job), placed: make(map[string]*placed), parked: make(map[string]bool),
	}
	for i := range w.ratios {
		w.ratios[i] = math.Pow(s.Error, 2*w.random.Float64()-1)
	}
	end := w.now.Add(s.Length)
	for w.now.Before(end) {
		w.now = w.now.Add(workTick)
		w.arrive()
		w.advance()
		w.decide()
		w.count()
	}
	w.summarize()
	return w.result, nil
}

func (w *work) arrive() {
	for due := w.Rate * workTick.Seconds(); due > 0; due-- {
		if due < 1 && w.random.Float64() > due {
			break
		}
		class := w.random.IntN(jobClasses)
		use := w.Mean * (0.5 + w.random.Float64())
		j := &job{real: jobs.Resources{Processors: use, MemoryMB: use * memoryCore}, left: time.Duration(w.random.ExpFloat64() * float64(w.Run)), poison: w.random.Float64() < w.Poison}
		j.Job = jobs.Job{
			Name: fmt.Sprintf("job%06d", w.result.Jobs), Team: fmt.Sprintf("team%d", w.random.IntN(w.Teams)), Class: fmt.Sprintf("class%d", class),
			Declared: j.real.Scale(1 / w.ratios[class]), Urgent: w.random.Float64() < w.Urgent, Submitted: w.now,
		}
		w.result.Jobs++
		w.waiting[j.Name] = j
		if j.Urgent {
			w.result.Urgent++
		}
	}
}

// advance lets running jobs progress and checkpoints end.
func (w *work) advance() {
	for _, name := range w.names() {
		p := w.placed[name]
		speed := 1.0
		if p.Throttled {
			speed = 0.1
		}
		p.job.left -= time.Duration(speed * float64(workTick))
		if p.Usage == (jobs.Resources{}) && w.now.Sub(p.Since) >= w.UsageLag {
			p.Usage = p.job.real
			w.evidence.Used(p.job.Job, p.job.real)
			w.evidence.Started(name, p.Worker)
		}
		switch {
		case p.job.left <= 0:
			delete(w.placed, name)
		case p.Leaving && !w.now.Before(p.ends):
			delete(w.placed, name)
			w.waiting[name] = p.job
		}
	}
}

// names returns the placed jobs in order, so that runs with one seed are equal.
func (w *work) names() []string {
	names := make([]string, 0, len(w.placed))
	for name := range w.placed {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *work) view() jobs.View {
	v := jobs.View{Quotas: make(map[string]int)}
	for i := range w.Workers {
		v.Workers = append(v.Workers, jobs.Worker{Name: workerName(i), Capacity: w.Capacity, Accepts: true})
	}
	for _, name := range w.names() {
		v.Jobs = append(v.Jobs, w.placed[name].job.Job)
		v.Placements = append(v.Placements, w.placed[name].Placement)
	}
	for _, j := range w.waiting {
		v.Jobs = append(v.Jobs, j.Job)
	}
	slices.SortFunc(v.Jobs, func(a, b jobs.Job) int { return a.Submitted.Compare(b.Submitted)*2 + compareNames(a.Name, b.Name) })
	for i := range w.Teams {
		v.Quotas[fmt.Sprintf("team%d", i)] = fullQuota / w.Teams
	}
	return v
}

const fullQuota = 100

func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func workerName(i int) string { return fmt.Sprintf("worker%03d", i) }

func (w *work) decide() {
	v := w.view()
	before := time.Now()
	actions := w.policy.Plan(w.now, v, &w.evidence)
	w.spent += time.Since(before)
	w.steps++
	for _, a := range actions {
		switch a.Verb {
		case jobs.Start:
			w.start(a)
		case jobs.Throttle:
			w.placed[a.Job].Throttled = true
		case jobs.Checkpoint, jobs.Stop:
			w.placed[a.Job].Leaving = true
			w.placed[a.Job].ends = w.now.Add(w.Checkpoint)
		case jobs.Park:
			if !w.parked[a.Job] {
				w.parked[a.Job] = true
				w.result.Parked++
			}
		case jobs.Wait:
		}
	}
}

func (w *work) start(a jobs.Action) {
	j := w.waiting[a.Job]
	bad := a.Worker < workerName(w.BadWorkers)
	if j.poison || bad {
		w.result.Wasted++
		if bad {
			w.result.WastedOnBad++
		}
		w.evidence.Failed(a.Job, a.Worker)
		return
	}
	delete(w.waiting, a.Job)
	w.placed[a.Job] = &placed{job: j, Placement: jobs.Placement{Job: a.Job, Worker: a.Worker, Since: w.now}}
	w.result.Started++
	if j.Urgent && !j.started {
		w.delays = append(w.delays, w.now.Sub(j.Submitted)+workTick)
	}
	j.started = true
}

// count integrates what was asked for, what runs and what is used beyond the capacity.
func (w *work) count() {
	used := make(map[string]float64)
	for _, p := range w.placed {
		used[p.Worker] += p.job.real.Processors
		w.running += p.job.real.Processors
		w.asked += p.job.real.Processors
	}
	for name, j := range w.waiting {
		if !j.poison && !w.parked[name] {
			w.asked += j.real.Processors
		}
	}
	for _, cores := range used {
		if cores > w.Capacity.Processors {
			w.result.OverSeconds += workTick.Seconds()
		}
	}
}

func (w *work) summarize() {
	for _, d := range w.delays {
		if d <= urgentBound {
			w.result.UrgentInTime++
		}
	}
	for _, j := range w.waiting {
		if j.Urgent && !j.poison && !j.started && w.now.Sub(j.Submitted) > urgentBound {
			w.delays = append(w.delays, w.now.Sub(j.Submitted))
		}
	}
	slices.Sort(w.delays)
	if n := len(w.delays); n > 0 {
		w.result.UrgentP99 = w.delays[n*99/100]
	}
	w.result.Packing = w.running / max(w.asked, 1)
	w.result.StepTime = w.spent / time.Duration(max(1, w.steps))
}

// WorkScenes lists the job experiments: the brief's workers and a zone of the two-year plan.
func WorkScenes() []WorkSetup {
	common := WorkSetup{
		Run: 2 * time.Minute, Mean: 2, Error: 10, Urgent: 0.05, Poison: 0.02, BadWorkers: 2, UsageLag: 15 * time.Second, Checkpoint: 750 * time.Millisecond, Length: 10 * time.Minute,
		Teams: 4, Capacity: jobs.Resources{Processors: 16, MemoryMB: 16 * memoryCore},
	}
	sicily, large := common, common
	sicily.Name, sicily.Workers, sicily.Rate = "Sicily", 50, 2.6
	large.Name, large.Workers, large.Rate, large.Teams = "TwoYearsZone", 128, 7, 40
	return []WorkSetup{sicily, large}
}

// WorkPolicies lists the compared placement policies, the baseline first.
var WorkPolicies = []string{"FirstFit", "Learned"}
