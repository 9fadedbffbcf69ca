package sched

import (
	"strconv"
	"time"
)

// Size is the resources that a task requests or a worker offers.
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

// div returns the size divided by n.
func (s Size) div(n int) Size {
	return Size{s.Processors / n, s.MemoryMB / n, s.Accelerators / n}
}

// Fits reports whether no resource of s exceeds that of room.
func (s Size) Fits(room Size) bool {
	return s.Processors <= room.Processors && s.MemoryMB <= room.MemoryMB && s.Accelerators <= room.Accelerators
}

// Step is a group of tasks of a job that have the same requirements.
type Step struct {
	Count          int
	Size           Size
	Estimate       time.Duration `json:",omitempty"`        // the submitter's estimate of a task's run time
	After          []int         `json:",omitempty"`        // indexes of earlier steps that must be done first
	Checkpoint     bool          `json:",omitempty"`        // the tasks save their progress and can resume from it
	Gang           bool          `json:",omitempty"`        // the tasks run only all together
	RackLocal      bool          `json:",omitempty"`        // the tasks run slower when spread over more than one rack
	Speculative    bool          `json:",omitempty"`        // a second run of a task may start beside a slow one; the first that ends as done counts
	LongRunning    bool          `json:"Lasting,omitempty"` // the tasks run until the job is cancelled
	Backfill       bool          `json:"Fills,omitempty"`   // the tasks are backfill tasks, which use processors that others leave idle
	RequiredLabel  string        `json:",omitempty"`
	PreferredRack  string        `json:",omitempty"` // the rack that holds the tasks' data
	MaxPerWorker   int           `json:",omitempty"`
	Image          string        `json:",omitempty"`
	TailTarget     time.Duration `json:",omitempty"`        // limit of the tail response time of a long-running task
	MaxUnavailable int           `json:"MayMiss,omitempty"` // number of tasks that disruptions may make unavailable at once
}

// Job is the description of a job. It does not change once the job is accepted.
type Job struct {
	ID       string
	Queue    string
	Account  string `json:",omitempty"` // client account that submitted the job; empty on a queue that needs no key
	Zone     string `json:",omitempty"` // availability zone to which its tasks are confined, beside the zones of its progress; empty for all zones
	Spec     string `json:",omitempty"` // passed to the worker with each start
	Steps    []Step
	Repeats  int           `json:",omitempty"` // number of occurrences of a scheduled job, zero for a one-off job
	First    time.Time     `json:",omitzero"`  // when the first occurrence is due
	Interval time.Duration `json:",omitempty"`
	Accepted time.Time     // when the submitter first sent the job, as far as the entry that accepted it knows
}

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the id in the form used in logs.
func (t TaskID) String() string {
	return t.Job + "/" + strconv.Itoa(t.Occurrence) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
}

// Queue is the configuration of a queue of jobs.
type Queue struct {
	Name     string
	Pool     string
	Priority int           // lower values are placed first
	Attempts int           // number of failed runs of a task after which its job fails; zero for no limit
	Stretch  float64       // multiple of a job's critical path that its latency objective contains
	Target   time.Duration // fixed part of a job's latency objective, to which the multiple is added
	Advice   *Advice       // set when a placement advisor chooses the workers
}

// Advice is the timing of the placement advisor of a queue.
type Advice struct {
	PerCall   time.Duration `json:"Decide"` // time that each request takes
	PerWorker time.Duration `json:"Each"`   // time that each worker in a request adds
	Valid     time.Duration // how long a ticket is valid
}

// Pool is the configuration of a set of workers that serve the same queues.
type Pool struct {
	Name           string
	Spare          bool // its machines are switched off and cost nothing
	AdmissionCheck bool `json:"Guards"` // its workers refuse a task that exceeds their free capacity
}

// Account is the configuration of a client account.
type Account struct {
	Name string
	// Weight is the account's share of a resource while accounts compete for it, and the number of jobs that it may submit per second.
	Weight float64
	Cap    Size // what the account may have running on all workers; an amount of zero is no limit
}

// Config is the part of the accepted configuration that the owner uses, with queues, pools and accounts by name.
type Config struct {
	Version  int64
	Queues   map[string]Queue
	Pools    map[string]Pool
	Accounts map[string]Account `json:",omitempty"`
}

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	Pending   JobState = "Pending"
	Running   JobState = "Running"
	Completed JobState = "Completed"
	Failed    JobState = "Failed"
	Cancelled JobState = "Cancelled"
)

// Final reports whether the state is one in which a job ends.
func (j JobState) Final() bool { return j == Completed || j == Failed || j == Cancelled }

// Settings are the time limits of the deployment that decisions depend on.
type Settings struct {
	HoldMost        time.Duration // longest lease that a worker grants to its runs
	GangPatience    time.Duration // how long a worker keeps a member of a gang waiting for the others
	Notice          time.Duration // time after which a task that does no work counts as unavailable
	MoveTime        time.Duration // how long a machine is unavailable while it changes pools
	UpkeepTime      time.Duration // how long a machine is unavailable during its maintenance
	KeepEnded       time.Duration // how long the state of an ended job is kept for queries
	CheckpointEvery time.Duration // interval at which running tasks save their progress
	PaceDelay       time.Duration // delay until a pace order takes effect
	ToleratedZones  int           // number of availability zones that may be lost at once
	JobBytes        int64         // memory that jobs may take at the owner; zero for no limit
	RateWindow      time.Duration // window over which an account's rate of jobs is limited
	RateOverage     float64       // fraction by which an account may exceed its rate and its cap
	RateSlack       int           // number of jobs that an account may submit in a window beyond its rate
}
