package sched

import (
	"strconv"
	"time"
)

// Size is what a task asks for, or a worker has.
type Size struct {
	Processors   int `json:",omitempty"` // thousandths of a core
	MemoryMB     int `json:",omitempty"`
	Accelerators int `json:",omitempty"`
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{s.Processors + o.Processors, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns the difference of two sizes.
func (s Size) Sub(o Size) Size {
	return Size{s.Processors - o.Processors, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Fits reports whether s fits into room.
func (s Size) Fits(room Size) bool {
	return s.Processors <= room.Processors && s.MemoryMB <= room.MemoryMB && s.Accelerators <= room.Accelerators
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count         int
	Size          Size
	Estimate      time.Duration `json:",omitempty"` // the submitter's guess of a task's run time
	After         []int         `json:",omitempty"` // earlier steps whose tasks must all be done first
	Checkpoint    bool          `json:",omitempty"`
	Gang          bool          `json:",omitempty"` // the tasks run only together
	RackLocal     bool          `json:",omitempty"` // the tasks run slower on more than one rack
	Speculative   bool          `json:",omitempty"`
	Lasting       bool          `json:",omitempty"` // the tasks run until the job is cancelled
	Fills         bool          `json:",omitempty"` // the tasks use processors that others leave idle
	RequiredLabel string        `json:",omitempty"`
	PreferredRack string        `json:",omitempty"` // the rack that holds the data
	MaxPerWorker  int           `json:",omitempty"`
	Image         string        `json:",omitempty"`
	TailTarget    time.Duration `json:",omitempty"` // bound of the response tail of a lasting task
	MayMiss       int           `json:",omitempty"` // tasks that may be away at once because of disruptions
}

// Job is the accepted description of a job, which never changes.
type Job struct {
	ID       string
	Queue    string
	Spec     string `json:",omitempty"`
	Steps    []Step
	Repeats  int           `json:",omitempty"` // occurrences of a scheduled job, zero for a plain one
	First    time.Time     `json:",omitzero"`  // when the first occurrence is due
	Interval time.Duration `json:",omitempty"`
	Accepted time.Time     // when the job was first sent, as far as the entry knows
}

// TaskID names a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name for logs.
func (t TaskID) String() string {
	return t.Job + "/" + strconv.Itoa(t.Occurrence) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
}

// Queue is a named queue with its rules.
type Queue struct {
	Name     string
	Pool     string
	Priority int // zero comes first
	Attempts int // failed runs of a task after which the job fails
	Stretch  float64
	Target   time.Duration // latency objective beyond the stretched chain of work
	Advice   *Advice       // set when an outside policy picks the workers
}

// Advice tells how the outside policy of a queue answers.
type Advice struct {
	Decide time.Duration // time for each call
	Each   time.Duration // time for each worker named
	Valid  time.Duration // how long a ticket holds
}

// Pool is a set of workers that serve the same queues.
type Pool struct {
	Name   string
	Spare  bool // its machines are off and cost nothing
	Guards bool // its workers refuse what does not fit
}

// Config is the part of the accepted configuration that the owner uses.
type Config struct {
	Version int64
	Queues  map[string]Queue
	Pools   map[string]Pool
}

// JobState is the state that callers see.
type JobState string

// States of a job.
const (
	Pending   JobState = "Pending"
	Running   JobState = "Running"
	Completed JobState = "Completed"
	Failed    JobState = "Failed"
	Cancelled JobState = "Cancelled"
)

// Final reports whether a job in this state never changes again.
func (j JobState) Final() bool { return j == Completed || j == Failed || j == Cancelled }

// Settings are the bounds of the deployment that decisions depend on.
type Settings struct {
	HoldMost        time.Duration // longest lease that a worker grants to what runs on it
	GangPatience    time.Duration // how long a member of a gang waits for the others
	Notice          time.Duration // time after which a task that is not at work counts as away
	MoveTime        time.Duration // a machine is away for this long when it changes pools
	UpkeepTime      time.Duration // a machine is away for this long for its upkeep
	KeepEnded       time.Duration // how long the state of an ended job can be asked for
	CheckpointEvery time.Duration // running tasks save their progress this often
	PaceDelay       time.Duration // time until a pace order has its effect
}
