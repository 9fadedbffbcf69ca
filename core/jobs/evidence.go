package jobs

// Evidence holds the observed resource usage and failures of jobs; its zero value is ready to use.
type Evidence struct {
	classes map[string]*classUsage
	jobs    map[string]*startRecord // by job; failedWith holds workers
	workers map[string]*startRecord // by worker; failedWith holds jobs
}

// classUsage estimates which share of their declared size the jobs of a class use.
type classUsage struct {
	peakShare float64 // largest share reported, which decays with each later report
	samples   int
}

// startRecord records the failed and successful starts of one job or one worker.
// Repeated failures of the same job on the same worker count once.
type startRecord struct {
	failedWith   map[string]bool
	startedCount int // successful starts; counted for workers only
}

const (
	peakDecay           = 0.95 // factor on the peak at each usage report
	minClassSamples     = 3
	sizeHeadroom        = 1.2
	minClassShare       = 0.02 // of the declared size
	badWorkerMinJobs    = 3
	badJobMinWorkers    = 3
	badWorkerMinPercent = 50 // of the successful starts and the failures for which the worker is the likely cause
)

// RecordUsage records a usage report of a running job for the job's class.
func (e *Evidence) RecordUsage(j Job, usage Resources) {
	if e.classes == nil {
		e.classes = make(map[string]*classUsage)
	}
	r := e.classes[j.Class]
	if r == nil {
		r = &classUsage{}
		e.classes[j.Class] = r
	}
	share := usage.Share(j.Declared)
	r.peakShare = max(share, r.peakShare*peakDecay)
	r.samples++
}

// Size returns the resources to reserve for a job: its own usage with headroom if there is a report,
// else the usage of its class with headroom, else the declared size. Accelerators get no headroom.
func (e *Evidence) Size(j Job, usage Resources) Resources {
	if usage != (Resources{}) {
		size := usage.Scale(sizeHeadroom)
		size.Accelerators = max(usage.Accelerators, j.Declared.Accelerators)
		return size
	}
	if !e.ClassKnown(j.Class) {
		return j.Declared
	}
	r := e.classes[j.Class]
	size := j.Declared.Scale(max(minClassShare, r.peakShare) * sizeHeadroom)
	size.Accelerators = j.Declared.Accelerators
	return size
}

// ClassKnown reports whether there are enough usage reports of a class to size its jobs.
func (e *Evidence) ClassKnown(class string) bool {
	r := e.classes[class]
	return r != nil && r.samples >= minClassSamples
}

func recordFor(all *map[string]*startRecord, name string) *startRecord {
	if *all == nil {
		*all = make(map[string]*startRecord)
	}
	r := (*all)[name]
	if r == nil {
		r = &startRecord{failedWith: make(map[string]bool)}
		(*all)[name] = r
	}
	return r
}

// RecordStart records that a job started successfully on a worker. It clears the job's failures, but other workers on which the
// job failed keep theirs.
func (e *Evidence) RecordStart(job, worker string) {
	recordFor(&e.workers, worker).startedCount++
	delete(e.workers[worker].failedWith, job)
	delete(e.jobs, job)
}

// RecordFailure records that a job failed to start on a worker; the cause may be the job or the worker.
func (e *Evidence) RecordFailure(job, worker string) {
	recordFor(&e.workers, worker).failedWith[job] = true
	recordFor(&e.jobs, job).failedWith[worker] = true
}

// BadWorker reports whether so many jobs failed on the worker without failing elsewhere
// that the worker is the likely cause.
func (e *Evidence) BadWorker(worker string) bool {
	r := e.workers[worker]
	if r == nil {
		return false
	}
	unexplained := 0
	for job := range r.failedWith {
		if !e.failsElsewhere(job, worker) {
			unexplained++
		}
	}
	return unexplained >= badWorkerMinJobs && unexplained*100 >= badWorkerMinPercent*(unexplained+r.startedCount)
}

// failsElsewhere reports whether the job also failed on another worker, on which other jobs started successfully.
func (e *Evidence) failsElsewhere(job, worker string) bool {
	r := e.jobs[job]
	if r == nil {
		return false
	}
	for other := range r.failedWith {
		if other != worker && e.workers[other].startedCount > 0 {
			return true
		}
	}
	return false
}

// BadJob reports whether the job failed on so many workers that are not bad that the job is the likely cause.
func (e *Evidence) BadJob(job string) bool {
	r := e.jobs[job]
	if r == nil {
		return false
	}
	healthyWorkers := 0
	for worker := range r.failedWith {
		if !e.BadWorker(worker) {
			healthyWorkers++
		}
	}
	return healthyWorkers >= badJobMinWorkers
}

func (e *Evidence) failedOn(job, worker string) bool {
	r := e.jobs[job]
	return r != nil && r.failedWith[worker]
}
