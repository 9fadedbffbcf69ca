package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"daisysaddle/core/jobs"
)

// JobSetup describes a simulation of jobs that are placed on a set of workers.
type JobSetup struct {
	Name           string
	Policy         string
	Workers        int
	Capacity       jobs.Resources
	JobsPerSecond  float64       // arrivals
	RunTime        time.Duration // mean, exponentially distributed
	MeanCores      float64       // mean of the cores that a job uses
	SizeError      float64       // declared sizes are too small or too large by up to this factor
	UrgentShare    float64       // of the jobs
	PoisonShare    float64       // of the jobs; these fail on every worker
	BadWorkers     int           // workers on which every job fails
	Teams          int
	UsageLag       time.Duration // time from the start of a run to its usage report
	CheckpointTime time.Duration // time from a request to checkpoint or stop a run to its end
	Duration       time.Duration
	Seed           uint64
}

// JobResult holds the measurements of a job simulation.
type JobResult struct {
	Jobs         int
	Started      int
	Wasted       int // starts that failed
	WastedOnBad  int // starts that failed on bad workers
	Parked       int
	Urgent       int
	UrgentInTime int           // started within 1.5 s
	UrgentP99    time.Duration // delay of an urgent job's start; one that never starts counts if it waited for more than 1.5 s
	Packing      float64       // cores in use over the whole simulation, as a share of those that placed and waiting jobs need
	OverSeconds  float64       // worker-seconds during which the jobs of a worker use more cores than it has
	StepTime     time.Duration // mean real time of a planning step
}

const (
	jobTick          = 250 * time.Millisecond
	urgentStartLimit = 1500 * time.Millisecond
	jobClasses       = 8
	memoryMBPerCore  = 2000.0
)

// simulatedJob adds to a job the properties that are hidden from the policy.
type simulatedJob struct {
	jobs.Job
	actual    jobs.Resources
	remaining time.Duration
	poison    bool
	started   bool
}

// jobSimulation is the state of a job simulation.
type jobSimulation struct {
	JobSetup
	now           time.Time
	random        *rand.Rand
	policy        jobs.Policy
	evidence      jobs.Evidence
	usageRatios   [jobClasses]float64 // used size divided by declared size, by class
	waiting       map[string]*simulatedJob
	placed        map[string]*placedJob
	parked        map[string]bool
	result        JobResult
	urgentDelays  []time.Duration
	planningTime  time.Duration // real time
	demandedCores float64
	runningCores  float64
	planningSteps int
}

type placedJob struct {
	job *simulatedJob
	jobs.Placement
	endsAt time.Time // when a requested checkpoint or stop is done
}

// RunJobs simulates jobs under a placement policy. It returns an error if the policy is unknown.
func RunJobs(s JobSetup) (JobResult, error) {
	policy, err := jobs.Policies.Lookup(s.Policy)
	if err != nil {
		return JobResult{}, err
	}
	w := &jobSimulation{
		JobSetup: s, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(s.Seed, s.Seed+5)), policy: policy,
		waiting: make(map[string]*simulatedJob), placed: make(map[string]*placedJob), parked: make(map[string]bool),
	}
	for i := range w.usageRatios {
		w.usageRatios[i] = math.Pow(s.SizeError, 2*w.random.Float64()-1)
	}
	end := w.now.Add(s.Duration)
	for w.now.Before(end) {
		w.now = w.now.Add(jobTick)
		w.submitArrivals()
		w.advanceRuns()
		w.plan()
		w.accumulate()
	}
	w.summarize()
	return w.result, nil
}

func (w *jobSimulation) submitArrivals() {
	for due := w.JobsPerSecond * jobTick.Seconds(); due > 0; due-- {
		if due < 1 && w.random.Float64() > due {
			break
		}
		class := w.random.IntN(jobClasses)
		use := w.MeanCores * (0.5 + w.random.Float64())
		j := &simulatedJob{
			actual:    jobs.Resources{Processors: use, MemoryMB: use * memoryMBPerCore},
			remaining: time.Duration(w.random.ExpFloat64() * float64(w.RunTime)), poison: w.random.Float64() < w.PoisonShare,
		}
		j.Job = jobs.Job{
			Name: fmt.Sprintf("job%06d", w.result.Jobs), Team: fmt.Sprintf("team%d", w.random.IntN(w.Teams)), Class: fmt.Sprintf("class%d", class),
			Declared: j.actual.Scale(1 / w.usageRatios[class]), Urgent: w.random.Float64() < w.UrgentShare, Submitted: w.now,
		}
		w.result.Jobs++
		w.waiting[j.Name] = j
		if j.Urgent {
			w.result.Urgent++
		}
	}
}

// advanceRuns advances the running jobs by one tick, reports their usage and ends those that are done or checkpointed.
func (w *jobSimulation) advanceRuns() {
	for _, name := range w.placedNames() {
		p := w.placed[name]
		speed := 1.0
		if p.Throttled {
			speed = 0.1
		}
		p.job.remaining -= time.Duration(speed * float64(jobTick))
		if p.Usage == (jobs.Resources{}) && w.now.Sub(p.Since) >= w.UsageLag {
			p.Usage = p.job.actual
			w.evidence.RecordUsage(p.job.Job, p.job.actual)
			w.evidence.RecordStart(name, p.Worker)
		}
		switch {
		case p.job.remaining <= 0:
			delete(w.placed, name)
		case p.Ending && !w.now.Before(p.endsAt):
			delete(w.placed, name)
			w.waiting[name] = p.job
		}
	}
}

// placedNames returns the names of the placed jobs in order, since map order would make runs with the same seed differ.
func (w *jobSimulation) placedNames() []string {
	names := make([]string, 0, len(w.placed))
	for name := range w.placed {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *jobSimulation) view() jobs.View {
	v := jobs.View{Quotas: make(map[string]int)}
	for i := range w.Workers {
		v.Workers = append(v.Workers, jobs.Worker{Name: workerName(i), Capacity: w.Capacity, AcceptsJobs: true})
	}
	for _, name := range w.placedNames() {
		v.Jobs = append(v.Jobs, w.placed[name].job.Job)
		v.Placements = append(v.Placements, w.placed[name].Placement)
	}
	for _, j := range w.waiting {
		v.Jobs = append(v.Jobs, j.Job)
	}
	slices.SortFunc(v.Jobs, func(a, b jobs.Job) int { return a.Submitted.Compare(b.Submitted)*2 + compareNames(a.Name, b.Name) })
	for i := range w.Teams {
		v.Quotas[fmt.Sprintf("team%d", i)] = fullQuotaPercent / w.Teams
	}
	return v
}

const fullQuotaPercent = 100

func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func workerName(i int) string { return fmt.Sprintf("worker%03d", i) }

func (w *jobSimulation) plan() {
	v := w.view()
	before := time.Now()
	actions := w.policy.Plan(w.now, v, &w.evidence)
	w.planningTime += time.Since(before)
	w.planningSteps++
	for _, a := range actions {
		switch a.Kind {
		case jobs.Start:
			w.start(a)
		case jobs.Throttle:
			w.placed[a.Job].Throttled = true
		case jobs.Checkpoint, jobs.Stop:
			w.placed[a.Job].Ending = true
			w.placed[a.Job].endsAt = w.now.Add(w.CheckpointTime)
		case jobs.Park:
			if !w.parked[a.Job] {
				w.parked[a.Job] = true
				w.result.Parked++
			}
		case jobs.Wait:
		}
	}
}

func (w *jobSimulation) start(a jobs.Action) {
	j := w.waiting[a.Job]
	bad := a.Worker < workerName(w.BadWorkers)
	if j.poison || bad {
		w.result.Wasted++
		if bad {
			w.result.WastedOnBad++
		}
		w.evidence.RecordFailure(a.Job, a.Worker)
		return
	}
	delete(w.waiting, a.Job)
	w.placed[a.Job] = &placedJob{job: j, Placement: jobs.Placement{Job: a.Job, Worker: a.Worker, Since: w.now}}
	w.result.Started++
	if j.Urgent && !j.started {
		w.urgentDelays = append(w.urgentDelays, w.now.Sub(j.Submitted)+jobTick)
	}
	j.started = true
}

// accumulate adds one tick of the cores that jobs need, of the cores in use and of the time in which workers are overloaded.
// Waiting jobs that are parked or poison need no cores.
func (w *jobSimulation) accumulate() {
	used := make(map[string]float64)
	for _, p := range w.placed {
		used[p.Worker] += p.job.actual.Processors
		w.runningCores += p.job.actual.Processors
		w.demandedCores += p.job.actual.Processors
	}
	for name, j := range w.waiting {
		if !j.poison && !w.parked[name] {
			w.demandedCores += j.actual.Processors
		}
	}
	for _, cores := range used {
		if cores > w.Capacity.Processors {
			w.result.OverSeconds += jobTick.Seconds()
		}
	}
}

func (w *jobSimulation) summarize() {
	for _, d := range w.urgentDelays {
		if d <= urgentStartLimit {
			w.result.UrgentInTime++
		}
	}
	for _, j := range w.waiting {
		if j.Urgent && !j.poison && !j.started && w.now.Sub(j.Submitted) > urgentStartLimit {
			w.urgentDelays = append(w.urgentDelays, w.now.Sub(j.Submitted))
		}
	}
	slices.Sort(w.urgentDelays)
	if n := len(w.urgentDelays); n > 0 {
		w.result.UrgentP99 = w.urgentDelays[n*99/100]
	}
	w.result.Packing = w.runningCores / max(w.demandedCores, 1)
	w.result.StepTime = w.planningTime / time.Duration(max(1, w.planningSteps))
}

// JobScenarios lists the job simulations: on the workers of the example deployment Sicily, and on those of one zone of a
// deployment as large as planned for two years ahead.
func JobScenarios() []JobSetup {
	common := JobSetup{
		RunTime: 2 * time.Minute, MeanCores: 2, SizeError: 10, UrgentShare: 0.05, PoisonShare: 0.02, BadWorkers: 2,
		UsageLag: 15 * time.Second, CheckpointTime: 750 * time.Millisecond, Duration: 10 * time.Minute,
		Teams: 4, Capacity: jobs.Resources{Processors: 16, MemoryMB: 16 * memoryMBPerCore},
	}
	sicily, twoYearsZone := common, common
	sicily.Name, sicily.Workers, sicily.JobsPerSecond = "Sicily", 50, 2.6
	twoYearsZone.Name, twoYearsZone.Workers, twoYearsZone.JobsPerSecond, twoYearsZone.Teams = "TwoYearsZone", 128, 7, 40
	return []JobSetup{sicily, twoYearsZone}
}

// JobPolicies lists the placement policies to compare, the baseline first.
var JobPolicies = []string{"FirstFit", "Learned"}
