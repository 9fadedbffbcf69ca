package jobs

// Evidence is what was learned from usage and failures; its zero value is ready to use.
type Evidence struct {
	classes map[string]*ratio
	jobs    map[string]*record // failures of a job by worker
	workers map[string]*record // failures of a worker by job
}

// ratio learns how much of its declared size a class uses.
type ratio struct {
	peak    float64
	samples int
}

// record counts failures and successes by distinct counterparts.
type record struct {
	failed  map[string]bool
	started int
}

const (
	peakDecay        = 0.95
	minClassSamples  = 3
	headroom         = 1.2
	leastRatio       = 0.02
	badWorkerJobs    = 3
	badJobWorkers    = 3
	badWorkerPercent = 50
)

// Used records a usage report of a running job.
func (e *Evidence) Used(j Job, usage Resources) {
	if e.classes == nil {
		e.classes = make(map[string]*ratio)
	}
	r := e.classes[j.Class]
	if r == nil {
		r = &ratio{}
		e.classes[j.Class] = r
	}
	share := usage.Share(j.Declared)
	r.peak = max(share, r.peak*peakDecay)
	r.samples++
}

// Size returns the resources to reserve for a job: what it uses if that is known, else what its class uses.
func (e *Evidence) Size(j Job, usage Resources) Resources {
	if usage != (Resources{}) {
		size := usage.Scale(headroom)
		size.Accelerators = max(usage.Accelerators, j.Declared.Accelerators)
		return size
	}
	if !e.Learned(j.Class) {
		return j.Declared
	}
	r := e.classes[j.Class]
	size := j.Declared.Scale(max(leastRatio, r.peak) * headroom)
	size.Accelerators = j.Declared.Accelerators
	return size
}

// Learned reports whether enough usage of a class was seen to size its jobs.
func (e *Evidence) Learned(class string) bool {
	r := e.classes[class]
	return r != nil && r.samples >= minClassSamples
}

func touch(all *map[string]*record, name string) *record {
	if *all == nil {
		*all = make(map[string]*record)
	}
	r := (*all)[name]
	if r == nil {
		r = &record{failed: make(map[string]bool)}
		(*all)[name] = r
	}
	return r
}

// Started records a job that runs well on a worker.
func (e *Evidence) Started(job, worker string) {
	touch(&e.workers, worker).started++
	delete(e.workers[worker].failed, job)
	delete(e.jobs, job)
}

// Failed records a start that failed; the fault may lie with either side.
func (e *Evidence) Failed(job, worker string) {
	touch(&e.workers, worker).failed[job] = true
	touch(&e.jobs, job).failed[worker] = true
}

// BadWorker reports whether several jobs failed on the worker that do not fail elsewhere.
func (e *Evidence) BadWorker(worker string) bool {
	r := e.workers[worker]
	if r == nil {
		return false
	}
	own := 0
	for job := range r.failed {
		if !e.failsElsewhere(job, worker) {
			own++
		}
	}
	return own >= badWorkerJobs && own*100 >= badWorkerPercent*(own+r.started)
}

// failsElsewhere reports whether the job also failed on a worker that runs others.
func (e *Evidence) failsElsewhere(job, worker string) bool {
	r := e.jobs[job]
	if r == nil {
		return false
	}
	for other := range r.failed {
		if other != worker && e.workers[other].started > 0 {
			return true
		}
	}
	return false
}

// BadJob reports whether the job failed on several workers that are not bad themselves.
func (e *Evidence) BadJob(job string) bool {
	r := e.jobs[job]
	if r == nil {
		return false
	}
	good := 0
	for worker := range r.failed {
		if !e.BadWorker(worker) {
			good++
		}
	}
	return good >= badJobWorkers
}

func (e *Evidence) failedOn(job, worker string) bool {
	r := e.jobs[job]
	return r != nil && r.failed[worker]
}
