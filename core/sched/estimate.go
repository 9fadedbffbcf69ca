package sched

import (
	"slices"
	"time"
)

// queueStats holds statistics of a queue's past runs and jobs, which correct the estimates of its tasks.
type queueStats struct {
	ratio       float64 // mean of run time over estimate, within minRatio and maxRatio
	meanRunTime time.Duration
	runs        int     // number of runs that were recorded
	meanJobWork float64 // mean processor-seconds of a job
	jobs        int     // number of jobs that were recorded
}

const (
	runWeight      = 0.05 // weight of one run in the moving means
	minRatio       = 0.3
	maxRatio       = 3.0
	defaultRunTime = time.Second // estimate while no other is known
	minRuns        = 10          // number of recorded runs from which the means are used
)

// recordRunTime records the run time of a run that succeeded.
func (s *State) recordRunTime(queue string, step *Step, took time.Duration) {
	l := s.statsOf(queue)
	l.runs++
	l.meanRunTime += time.Duration(runWeight * float64(took-l.meanRunTime))
	if l.runs == 1 {
		l.meanRunTime = took
	}
	k, base := kindOf(queue, step)
	s.durations.Record(k, base, took)
	if step.Estimate > 0 {
		ratio := min(maxRatio, max(minRatio, float64(took)/float64(step.Estimate)))
		l.ratio += runWeight * (ratio - l.ratio)
	}
}

// movingMean returns the mean run time of a task of a step, as far as the queue's runs and the estimate tell.
func (s *State) movingMean(queue string, step *Step) time.Duration {
	l := s.runStats[queue]
	switch {
	case step.Estimate <= 0 && (l == nil || l.runs < minRuns):
		return defaultRunTime
	case step.Estimate <= 0:
		return l.meanRunTime
	case l == nil || l.runs < minRuns:
		return step.Estimate
	}
	return time.Duration(float64(step.Estimate) * l.ratio)
}

// cost returns the expected processor-seconds of a task of a step.
func (s *State) cost(queue string, step *Step) float64 {
	return s.estimate(queue, step).Seconds() * float64(step.Size.Processors) / milliPerCore
}

// outlook is what the placement order needs to know of an occurrence. It is computed once for all of its stages.
type outlook struct {
	placement uint64          // counts the placement for which it holds
	due       time.Time       // by when the occurrence should be done
	remaining []time.Duration // by step, the expected time of the longest chain of steps that begins with it
	left      float64         // processor-seconds of the waiting tasks
	total     float64         // processor-seconds of all tasks
}

// outlookOf returns the outlook of an occurrence for the present placement. Its cost is linear in the number of tasks and dependencies.
func (s *State) outlookOf(q Queue, o *occurrence) *outlook {
	l := &o.outlook
	if l.placement == s.placements {
		return l
	}
	l.placement = s.placements
	l.remaining = s.remainingPaths(&o.stages[0].job.Job, l.remaining)
	l.due = o.due.Add(q.objective(slices.Max(l.remaining)))
	l.left, l.total = s.occurrenceWork(o)
	return l
}

// remainingPaths returns, by step, the expected time of the longest chain of steps that begins with it. It may reuse the given slice.
func (s *State) remainingPaths(j *Job, paths []time.Duration) []time.Duration {
	paths = slices.Grow(paths[:0], len(j.Steps))[:len(j.Steps)]
	clear(paths) // each is that of the steps that follow, until the step itself is reached
	for i := len(j.Steps) - 1; i >= 0; i-- {
		step := &j.Steps[i]
		paths[i] += s.stepTime(j.Queue, step)
		for _, a := range step.After {
			paths[a] = max(paths[a], paths[i])
		}
	}
	return paths
}

// occurrenceWork returns the processor-seconds of the waiting tasks of an occurrence, and those of all its tasks.
func (s *State) occurrenceWork(o *occurrence) (left, total float64) {
	for _, st := range o.stages {
		seconds := s.cost(st.job.Queue, st.step)
		total += seconds * float64(st.step.Count)
		for i := range st.tasks {
			if st.tasks[i].waiting() {
				left += seconds
			}
		}
	}
	return left, total
}

// recordJobWork records the processor-seconds of a job.
func (s *State) recordJobWork(j *Job) {
	work := 0.0
	for i := range j.Steps {
		work += s.cost(j.Queue, &j.Steps[i]) * float64(j.Steps[i].Count)
	}
	l := s.statsOf(j.Queue)
	l.jobs++
	l.meanJobWork += (work - l.meanJobWork) / float64(min(l.jobs, meanWorkJobs))
}

// meanWorkJobs is the number of jobs over which the mean of their work is taken.
const meanWorkJobs = 100

// meanWork returns the mean processor-seconds of a queue's jobs.
func (s *State) meanWork(queue string) float64 {
	return max(minWork, s.statsOf(queue).meanJobWork)
}

// minWork, in processor-seconds, keeps quotients by the mean work finite.
const minWork = 0.001

// statsOf returns the statistics of a queue and creates them when missing.
func (s *State) statsOf(queue string) *queueStats {
	l := s.runStats[queue]
	if l == nil {
		l = &queueStats{ratio: 1}
		s.runStats[queue] = l
	}
	return l
}
