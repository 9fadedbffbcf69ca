package jobs

import (
	"time"

	"daisysaddle/core/kernel"
)

// Resources is an amount of each resource.
type Resources struct {
	Processors   float64 // in cores
	MemoryMB     float64
	Accelerators float64
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns r multiplied by f.
func (r Resources) Scale(f float64) Resources {
	return Resources{r.Processors * f, r.MemoryMB * f, r.Accelerators * f}
}

// Fits reports whether o has at least r of each resource.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Share returns the dominant share: the largest fraction that r takes of any resource of total.
// Resources of which total has none are left out.
func (r Resources) Share(total Resources) float64 {
	share := func(part, whole float64) float64 {
		if whole <= 0 {
			return 0
		}
		return part / whole
	}
	return max(share(r.Processors, total.Processors), share(r.MemoryMB, total.MemoryMB), share(r.Accelerators, total.Accelerators))
}

// Job describes a job that is to run.
type Job struct {
	Name      string
	Team      string
	Class     string    // jobs of one class use similar shares of their declared sizes
	Declared  Resources // size that the submitter gave
	Urgent    bool
	RunOnce   bool // not restarted when the outcome of a run is unknown
	Submitted time.Time
}

// Worker is an instance on which jobs run.
type Worker struct {
	Name        string
	Capacity    Resources
	AcceptsJobs bool
}

// Placement is a job that runs, or may still be running, on a worker.
type Placement struct {
	Job       string
	Worker    string
	Since     time.Time
	LeaseEnd  time.Time
	Usage     Resources // last report, which is delayed; zero before the first one
	Lost      bool      // the lease was not renewed in time
	Ending    bool      // a checkpoint or stop was requested
	Throttled bool
}

// View is the input of one planning step.
type View struct {
	Workers    []Worker
	Jobs       []Job // jobs that are to run; cancelled jobs are absent
	Placements []Placement
	Quotas     map[string]int // by team, in percent of the total capacity
	ClockError time.Duration
}

// ActionKind is the kind of an action.
type ActionKind string

// Kinds of actions.
const (
	Start      ActionKind = "Start"
	Throttle   ActionKind = "Throttle"   // reduce the job to a small share of its processors at once
	Checkpoint ActionKind = "Checkpoint" // save the job's state and end it, so that it can be placed again
	Stop       ActionKind = "Stop"
	Park       ActionKind = "Park" // do not start the job
	Wait       ActionKind = "Wait"
)

// Action is one decision with its reason.
type Action struct {
	Kind   ActionKind
	Job    string
	Worker string
	Reason Reason
}

// Reason is the name of the rule that led to an action.
type Reason string

// Reasons of actions.
const (
	ReasonPlaced         Reason = "Placed"
	ReasonUrgent         Reason = "MakesRoomForUrgent"
	ReasonCancelled      Reason = "Cancelled"
	ReasonWorkerLeaves   Reason = "WorkerLeaves"
	ReasonOverloaded     Reason = "WorkerOverloaded"
	ReasonTooLarge       Reason = "LargerThanAnyWorker"
	ReasonBadJob         Reason = "FailsOnManyWorkers"
	ReasonOutcomeUnknown Reason = "OutcomeInDoubt"
	ReasonCapacity       Reason = "Capacity"
	ReasonQuota          Reason = "Quota"
	ReasonLease          Reason = "LeaseNotLapsed"
)

// Policy decides the actions of one planning step.
type Policy interface {
	Plan(now time.Time, v View, e *Evidence) []Action
}

// Policies holds the placement policies by name.
var Policies kernel.Registry[Policy]

func init() {
	Policies.Register("Learned", Learned{})
	Policies.Register("FirstFit", FirstFit{})
}
