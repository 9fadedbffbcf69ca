package sched

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Progress is the stored state of a job, from which another owner can continue it.
type Progress struct {
	State       JobState
	Ended       time.Time            `json:",omitzero"`
	Zones       []string             `json:",omitempty"` // in which the job's tasks may run beside its zone
	Occurrences []OccurrenceProgress `json:",omitempty"`
	EndedRuns   *AccountRuns         `json:",omitempty"` // what may still have run of the job when it had ended, if its account has a cap
}

// AccountRuns is what runs of a client account.
type AccountRuns struct {
	Account string
	Size    Size
}

// OccurrenceProgress is the stored state of one occurrence of a job.
type OccurrenceProgress struct {
	Index     int            `json:",omitempty"`
	Completed bool           `json:"Whole,omitempty"` // all tasks are done; the other lists are empty
	Tasks     []TaskProgress `json:",omitempty"`
	Failed    []FailedRun    `json:",omitempty"`
	Crashes   []CrashedRun   `json:",omitempty"`
	Trials    []CrashedRun   `json:",omitempty"` // runs alone that have begun or are about to
}

// TaskProgress lists the indexes of the done tasks of a step.
type TaskProgress struct {
	Step int
	Done []int
}

// FailedRun identifies a failed run of a task, so that a run that is reported twice counts as one failure.
type FailedRun struct {
	Step  int
	Index int
	Run   int64
}

// Encode returns the progress in its stored form.
func (p Progress) Encode() ([]byte, error) {
	b, err := json.Marshal(p)
	return b, errors.Wrap(err, "encode progress")
}

// DecodeProgress decodes stored progress.
func DecodeProgress(b []byte) (Progress, error) {
	var p Progress
	err := json.Unmarshal(b, &p)
	return p, errors.Wrap(err, "decode progress")
}

// EncodeJob returns the job in its stored form.
func EncodeJob(j Job) ([]byte, error) {
	b, err := json.Marshal(j)
	return b, errors.Wrap(err, "encode job")
}

// DecodeJob decodes and checks a stored job. It returns an error that wraps ErrBadJob if the job is invalid.
func DecodeJob(b []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(b, &j); err != nil {
		return j, errors.Wrap(err, "decode job")
	}
	return j, j.Check()
}

// MaxSteps is the largest number of steps of a job.
const MaxSteps = 256

// Limits of an accepted job.
const (
	maxTasksPerStep = 10000
	maxTasks        = 50_000 // of one occurrence, if the job is submitted now; stored ones may have more
	maxRepeats      = 1 << 20
	maxSpecBytes    = 4000
)

// ErrBadJob is wrapped by the errors for an invalid job description.
var ErrBadJob = errors.New("bad job")

// Check returns an error that wraps ErrBadJob if the job's description is invalid, and describes its first fault.
func (j Job) Check() error {
	switch {
	case j.ID == "" || j.Queue == "":
		return errors.Wrap(ErrBadJob, "id or queue is missing")
	case len(j.Spec) > maxSpecBytes:
		return errors.Wrapf(ErrBadJob, "spec has %d bytes: want at most %d", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return errors.Wrapf(ErrBadJob, "%d steps: want 1 to %d", len(j.Steps), MaxSteps)
	case j.Repeats < 0 || j.Repeats > maxRepeats || j.Repeats > 1 && j.Interval <= 0:
		return errors.Wrapf(ErrBadJob, "%d repeats at an interval of %s", j.Repeats, j.Interval)
	}
	for i, s := range j.Steps {
		switch {
		case s.Count < 1 || s.Count > maxTasksPerStep:
			return errors.Wrapf(ErrBadJob, "step %d: count %d: want 1 to %d", i, s.Count, maxTasksPerStep)
		case s.Size.Processors < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 || s.MaxPerWorker < 0:
			return errors.Wrapf(ErrBadJob, "step %d: a size or the limit per worker is negative", i)
		case slices.ContainsFunc(s.After, func(a int) bool { return a < 0 || a >= i }):
			return errors.Wrapf(ErrBadJob, "step %d: after must name earlier steps only", i)
		}
	}
	return nil
}

// CheckSubmitted is Check for a job that has not been accepted yet. It also limits the number of tasks, each of which takes the owner's
// memory and time, however short the description is.
func (j Job) CheckSubmitted() error {
	if err := j.Check(); err != nil {
		return err
	}
	if n := j.taskCount(); n > maxTasks {
		return errors.Wrapf(ErrBadJob, "%d tasks in all steps: want at most %d", n, maxTasks)
	}
	return nil
}

// criticalPath returns the duration of the job's critical path, the longest chain of dependent steps, from an
// estimate of each step's run time.
func (j *Job) criticalPath(estimate func(*Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += estimate(&j.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}
