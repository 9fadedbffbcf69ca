package jobs

import (
	"time"

	"daisysaddle/core/kernel"
)

// Resources is an amount of each resource.
type Resources struct {
	Processors   float64 // cores
	MemoryMB     float64
	Accelerators float64
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns r times f.
func (r Resources) Scale(f float64) Resources {
	return Resources{r.Processors * f, r.MemoryMB * f, r.Accelerators * f}
}

// Fits reports whether r is within o.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Share returns the largest share that r takes of any resource of total.
func (r Resources) Share(total Resources) float64 {
	share := func(part, whole float64) float64 {
		if whole <= 0 {
			return 0
		}
		return part / whole
	}
	return max(share(r.Processors, total.Processors), share(r.MemoryMB, total.MemoryMB), share(r.Accelerators, total.Accelerators))
}

// Job is a job that should run.
type Job struct {
	Name      string
	Team      string
	Class     string // jobs of one class use like shares of what they declare
	Declared  Resources
	Urgent    bool
	RunOnce   bool // never started again when its outcome is in doubt
	Submitted time.Time
}

// Worker is an instance on which jobs run.
type Worker struct {
	Name     string
	Capacity Resources
	Accepts  bool
}

// Placement is a job that runs, or may still run, on a worker.
type Placement struct {
	Job       string
	Worker    string
	Since     time.Time
	LeaseEnd  time.Time
	Usage     Resources // last report, which lags; zero when there is none yet
	Lost      bool      // the worker has not renewed the lease
	Leaving   bool      // a checkpoint or stop was asked for
	Throttled bool
}

// View is all that a planning step may depend on.
type View struct {
	Workers    []Worker
	Jobs       []Job // those that should run; a cancelled job is absent
	Placements []Placement
	Quotas     map[string]int // percent of the capacity by team
	ClockError time.Duration
}

// Verb is what an action does.
type Verb string

// Verbs of actions.
const (
	Start      Verb = "Start"
	Throttle   Verb = "Throttle"   // leave the job a small share at once
	Checkpoint Verb = "Checkpoint" // save the job's state and end it, to be placed again
	Stop       Verb = "Stop"
	Park       Verb = "Park" // the job is not tried
	Wait       Verb = "Wait"
)

// Action is one decision with its reason.
type Action struct {
	Verb   Verb
	Job    string
	Worker string
	Reason Reason
}

// Reason names the rule behind an action.
type Reason string

// Reasons of actions.
const (
	ReasonPlaced      Reason = "Placed"
	ReasonUrgent      Reason = "MakesRoomForUrgent"
	ReasonCancelled   Reason = "Cancelled"
	ReasonWorkerLeave Reason = "WorkerLeaves"
	ReasonOverloaded  Reason = "WorkerOverloaded"
	ReasonTooLarge    Reason = "LargerThanAnyWorker"
	ReasonBadJob      Reason = "FailsOnManyWorkers"
	ReasonInDoubt     Reason = "OutcomeInDoubt"
	ReasonCapacity    Reason = "Capacity"
	ReasonQuota       Reason = "Quota"
	ReasonLease       Reason = "LeaseNotLapsed"
)

// Policy decides the actions of one step.
type Policy interface {
	Plan(now time.Time, v View, e *Evidence) []Action
}

// Policies holds the placement policies by name.
var Policies kernel.Registry[Policy]

func init() {
	Policies.Register("Learned", Learned{})
	Policies.Register("FirstFit", FirstFit{})
}
