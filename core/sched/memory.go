package sched

// Approximate sizes, in bytes, of what the owner keeps of a job.
const (
	jobBytes        = 1024 // a job with its entries in maps
	stepBytes       = 256
	occurrenceBytes = 256
	stageBytes      = 384
	taskBytes       = 256
	indexBytes      = 8
)

// descriptionBytes returns the memory of the job's description.
func (j *Job) descriptionBytes() int64 {
	n := jobBytes + len(j.Spec) + len(j.Steps)*stepBytes
	for i := range j.Steps {
		s := &j.Steps[i]
		n += len(s.RequiredLabel) + len(s.PreferredRack) + len(s.Image) + len(s.After)*indexBytes
	}
	return int64(n)
}

// occurrenceBytes returns the memory of one occurrence of the job.
func (j *Job) occurrenceBytes() int64 {
	return occurrenceBytes + int64(len(j.Steps))*stageBytes + int64(j.taskCount())*taskBytes
}

// Bytes returns the memory that the owner takes for the job at once.
func (j *Job) Bytes() int64 { return j.descriptionBytes() + j.occurrenceBytes() }

const (
	// smallJobPart is the part of Settings.JobBytes up to which a job counts as small.
	smallJobPart = 256
	// reservedPart is the part of Settings.JobBytes that is left for small jobs.
	reservedPart = 8
)

// FitsMemory reports whether there is memory for another job beside the known ones and those that are promised some bytes.
func (s *State) FitsMemory(j *Job, promised int64) bool {
	limit := s.settings.JobBytes
	if limit == 0 {
		return true
	}
	needed := j.Bytes()
	if needed > limit/smallJobPart {
		limit = s.unreservedBytes()
	}
	return s.jobBytes+promised+needed <= limit
}

// unreservedBytes returns the part of the limit that is not left for small jobs.
func (s *State) unreservedBytes() int64 {
	return s.settings.JobBytes - s.settings.JobBytes/reservedPart
}

// JobBytes returns the approximate memory of all jobs.
func (s *State) JobBytes() int64 { return s.jobBytes }

// jobMemory is the memory that a job takes, and what it is made of.
type jobMemory struct {
	description, occurrence, total int64
}

// account updates the memory that a job takes. A job that is due later holds the memory of an occurrence from its acceptance on.
func (s *State) account(j *job) {
	n := int64(0)
	if s.jobs[j.ID] == j {
		live := len(j.occurrences)
		if live == 0 && !j.state.Final() && j.nextOccurrence < j.occurrenceCount() {
			live = 1
		}
		n = j.memory.description + int64(live)*j.memory.occurrence + int64(len(j.doneOccurrences))*indexBytes
	}
	s.jobBytes += n - j.memory.total
	j.memory.total = n
}

// holdsAnother reports whether there is memory for an occurrence of a job beside those that are not done.
func (s *State) holdsAnother(j *job) bool {
	return s.settings.JobBytes == 0 || s.jobBytes+j.memory.occurrence <= s.unreservedBytes()
}

// releaseEnded drops what a job that has ended for good needs no more: its description but for the sizes of its tasks, and its tasks unless a run of
// one may exist.
func (s *State) releaseEnded(j *job) {
	j.Spec = ""
	for k, o := range j.occurrences {
		if !o.mayRun() {
			delete(j.occurrences, k)
		}
	}
	if len(j.occurrences) == 0 {
		j.early = nil
		for i := range j.Steps {
			p := &j.Steps[i]
			p.After, p.RequiredLabel, p.PreferredRack, p.Image = nil, "", "", ""
		}
	}
	j.memory.description = j.descriptionBytes()
	s.account(j)
}

// mayRun reports whether a run of one of the tasks may exist.
func (o *occurrence) mayRun() bool {
	for _, st := range o.stages {
		if st.queued {
			return true // the next placement takes it from its queue
		}
		for i := range st.tasks {
			if t := &st.tasks[i]; t.run != nil || t.copied != nil || t.trial != nil {
				return true
			}
		}
	}
	return false
}
