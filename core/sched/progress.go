package sched

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Progress is the durable part of a job that changes: what must outlive the owner.
type Progress struct {
	State       JobState
	Ended       time.Time            `json:",omitzero"`
	Occurrences []OccurrenceProgress `json:",omitempty"`
}

// OccurrenceProgress is the durable progress of one occurrence.
type OccurrenceProgress struct {
	Index  int            `json:",omitempty"`
	Whole  bool           `json:",omitempty"` // all its tasks are done
	Tasks  []TaskProgress `json:",omitempty"`
	Failed []FailedRun    `json:",omitempty"`
}

// TaskProgress lists the done tasks of a step.
type TaskProgress struct {
	Step int
	Done []int
}

// FailedRun names one failed run, so that a run that is reported twice counts once.
type FailedRun struct {
	Step  int
	Index int
	Run   int64
}

// Encode returns the record's bytes.
func (p Progress) Encode() ([]byte, error) {
	b, err := json.Marshal(p)
	return b, errors.Wrap(err, "encode progress")
}

// DecodeProgress reads a record's bytes.
func DecodeProgress(b []byte) (Progress, error) {
	var p Progress
	err := json.Unmarshal(b, &p)
	return p, errors.Wrap(err, "decode progress")
}

// EncodeJob returns the bytes of an accepted job's record.
func EncodeJob(j Job) ([]byte, error) {
	b, err := json.Marshal(j)
	return b, errors.Wrap(err, "encode job")
}

// DecodeJob reads an accepted job's record.
func DecodeJob(b []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(b, &j); err != nil {
		return j, errors.Wrap(err, "decode job")
	}
	return j, j.Check()
}

// Bounds of an accepted job.
const (
	maxSteps        = 256
	maxTasksPerStep = 10000
	maxRepeats      = 1 << 20
	maxSpecBytes    = 4000
)

// ErrBadJob marks a job whose description can't be carried out as written.
var ErrBadJob = errors.New("bad job")

// Check reports the first fault in a job's description.
func (j Job) Check() error {
	switch {
	case j.ID == "" || j.Queue == "":
		return errors.Wrap(ErrBadJob, "no id or no queue")
	case len(j.Spec) > maxSpecBytes:
		return errors.Wrapf(ErrBadJob, "spec has %d bytes: want at most %d", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return errors.Wrapf(ErrBadJob, "%d steps: want 1 to %d", len(j.Steps), maxSteps)
	case j.Repeats < 0 || j.Repeats > maxRepeats || j.Repeats > 1 && j.Interval <= 0:
		return errors.Wrapf(ErrBadJob, "%d repeats every %s", j.Repeats, j.Interval)
	}
	for i, s := range j.Steps {
		switch {
		case s.Count < 1 || s.Count > maxTasksPerStep:
			return errors.Wrapf(ErrBadJob, "step %d: count %d: want 1 to %d", i, s.Count, maxTasksPerStep)
		case s.Size.Processors < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 || s.MaxPerWorker < 0:
			return errors.Wrapf(ErrBadJob, "step %d: a size or limit is negative", i)
		case slices.ContainsFunc(s.After, func(a int) bool { return a < 0 || a >= i }):
			return errors.Wrapf(ErrBadJob, "step %d: after names a step that is not an earlier one", i)
		}
	}
	return nil
}

// chain returns the time of the longest chain of steps, by an estimate of each.
func (j *Job) chain(estimate func(*Step) time.Duration) time.Duration {
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
