package sched

import "time"

// learned is what past runs tell of a queue's estimates.
type learned struct {
	ratio float64 // run time over estimate
	mean  time.Duration
	runs  int
	work  float64 // mean processor-seconds of a job
	jobs  int
}

const (
	learnWeight  = 0.05 // of one run
	ratioLeast   = 0.3
	ratioMost    = 3.0
	guessRunTime = time.Second // before anything is known
	learnAfter   = 10
)

// learn takes in how long a run took that ended well.
func (s *State) learn(queue string, step *Step, took time.Duration) {
	l := s.learnedOf(queue)
	l.runs++
	l.mean += time.Duration(learnWeight * float64(took-l.mean))
	if l.runs == 1 {
		l.mean = took
	}
	if step.Estimate > 0 {
		ratio := min(ratioMost, max(ratioLeast, float64(took)/float64(step.Estimate)))
		l.ratio += learnWeight * (ratio - l.ratio)
	}
}

// estimate returns how long a task of a step is expected to run.
func (s *State) estimate(queue string, step *Step) time.Duration {
	l := s.learned[queue]
	switch {
	case step.Estimate <= 0 && (l == nil || l.runs < learnAfter):
		return guessRunTime
	case step.Estimate <= 0:
		return l.mean
	case l == nil || l.runs < learnAfter:
		return step.Estimate
	}
	return time.Duration(float64(step.Estimate) * l.ratio)
}

// cost returns the processor-seconds that a task of a step is expected to take.
func (s *State) cost(queue string, step *Step) float64 {
	return s.estimate(queue, step).Seconds() * float64(step.Size.Processors) / milli
}

// remaining returns the expected time of the longest chain of a step and those after it.
func (s *State) remaining(st *stage) time.Duration {
	longest := time.Duration(0)
	for _, next := range st.occurrence.stages[st.index+1:] {
		for _, a := range next.step.After {
			if a == st.index {
				longest = max(longest, s.remaining(next))
			}
		}
	}
	return longest + s.estimate(st.job.Queue, st.step)
}

// learnWork takes in the size of an accepted job.
func (s *State) learnWork(j *Job) {
	work := 0.0
	for i := range j.Steps {
		work += s.cost(j.Queue, &j.Steps[i]) * float64(j.Steps[i].Count)
	}
	l := s.learnedOf(j.Queue)
	l.jobs++
	l.work += (work - l.work) / float64(min(l.jobs, learnJobs))
}

// learnJobs is the number of jobs over which the mean size is taken.
const learnJobs = 100

// meanWork returns the mean processor-seconds of a queue's jobs.
func (s *State) meanWork(queue string) float64 {
	return max(minWork, s.learnedOf(queue).work)
}

// minWork keeps the comparison of sizes finite.
const minWork = 0.001

func (s *State) learnedOf(queue string) *learned {
	l := s.learned[queue]
	if l == nil {
		l = &learned{ratio: 1}
		s.learned[queue] = l
	}
	return l
}
