package sched

import "time"

// Start orders a worker to run a task.
type Start struct {
	Worker string
	Task   TaskID
	Run    int64
	Spec   string
	Saved  string        // checkpointed progress to resume from
	Ticket string        // the placement advisor's permission
	Until  time.Duration // end of the lease on the worker's clock
}

// Stop orders a worker to end a run, and to refuse its start if that arrives later.
type Stop struct {
	Worker    string
	StartedAt time.Time // start of the incarnation that is to refuse the run
	Task      TaskID
	Run       int64
}

// Pace sets the share, in percent, of its processors that a run may use.
type Pace struct {
	Worker  string
	Task    TaskID
	Run     int64
	Percent int
}

// Poll renews the leases of a worker's runs and requests the list of them.
type Poll struct {
	Worker       string
	Until        time.Duration // end of the leases on the worker's clock; zero does not renew them
	StartedAt    time.Time     // start of the incarnation for which Acknowledged holds
	Acknowledged int64         // ended runs up to this number are stored; the incarnation, and no other, may drop them from its list; zero if there is nothing new to acknowledge
	Wait         time.Duration // the worker may delay its answer for this long until a run ends
}

// Save orders a version of a job's progress to be stored.
type Save struct {
	Job      string
	Version  uint64
	Progress Progress
}

// MachineOrder orders a machine to move to another pool or to begin its maintenance.
type MachineOrder struct {
	Machine string
	Pool    string // set for a machine move
	Wave    int64  // set for maintenance
}

// WaveStatus is the state of a maintenance wave to be stored.
type WaveStatus struct {
	Wave      int64
	Completed bool
	Begun     []string  // machines whose maintenance has begun
	Asked     time.Time `json:",omitzero"` // when an owner first saw the wave; its time limit counts from then
}

// AdviceRequest asks the placement advisor which of the workers may run a stage's tasks.
type AdviceRequest struct {
	Stage   TaskID   // the stage's first task
	Workers []string // ids
	Timeout time.Duration
}

// Decision records what the owner decided, for the log and the metrics.
type Decision struct {
	Kind   string // kind of the decision
	Job    string
	Task   TaskID
	Worker string
	Reason string
	Run    int64
	Queue  string // of the task, in decisions on copies
	Cause  string // why the copy was started, in decisions on copies
}

// Orders is the result of one call of State.Plan.
type Orders struct {
	Starts         []Start
	Stops          []Stop
	Paces          []Pace
	Polls          []Poll
	Saves          []Save
	Machines       []MachineOrder
	Waves          []WaveStatus
	AdviceRequests []AdviceRequest
	Roster         []RosterChange
	QueuePools     *QueuePools // nil unless the record is to be stored
	Durations      *Durations  // nil unless the record is to be stored
	JobReads       []string    // ids of announced jobs whose records are to be read
	Decisions      []Decision
	ListMachines   bool      // the list of machines is to be read again
	Wake           time.Time // when to plan again if no event comes earlier
}

// Answer is the outcome of an order to a worker or to the machine API.
type Answer string

// Outcomes of orders.
const (
	Executed         Answer = "Carried"
	Unanswered       Answer = "Unanswered"   // the order may have been executed, or may still be
	Disconnected     Answer = "Disconnected" // the same, and the receiver's connections ended or were refused
	NotSent          Answer = "NotSent"      // the order was not sent and never will be
	StaleToken       Answer = "Outdated"     // the receiver has seen a higher fencing token
	Superseded       Answer = "Superseded"   // a run of the task with this or a higher number was stopped or ended there
	TooLate          Answer = "TooLate"      // the lease in the order has expired
	NoRoom           Answer = "NoRoom"       // the task exceeds the worker's free capacity
	NoTicket         Answer = "NoTicket"     // the ticket is not valid
	Unhealthy        Answer = "Unhealthy"    // the receiver did nothing, because it is unhealthy
	WrongIncarnation Answer = "OtherLife"    // another incarnation answered at the worker's address; no copy of a start can have been executed
	Malformed        Answer = "Malformed"    // the receiver rejected the order as invalid
	MachineBusy      Answer = "MachineBusy"  // the machine is down or being taken down
	NotInWave        Answer = "NotInWave"    // the machine is not part of the wave
)

// RunStatus describes a run that a worker lists.
type RunStatus struct {
	Task    TaskID
	Run     int64
	Saved   string
	Percent int // share of its time that the run was at work; 100 for a long-running task at work
	Metric  int // tail response time in milliseconds of a long-running task, else thousandths of a core in use
}

// EndedRun describes a run that has ended, as its worker lists it.
type EndedRun struct {
	Number int64 // counts the ended runs of a worker's incarnation
	RunStatus
	Reason EndReason
}

// EndReason is the reason for which a run ended.
type EndReason string

// Reasons for which a run ended.
const (
	Done            EndReason = "Done"
	Faulted         EndReason = "Faulted" // the run failed through its own fault or the worker's
	Stopped         EndReason = "Stopped" // on a Stop order
	LeaseExpired    EndReason = "Lapsed"  // its lease expired
	GangMemberEnded EndReason = "Broken"  // another member of its gang ended
	GangIncomplete  EndReason = "Alone"   // the other members of its gang did not start in time
)

// PollResult is the result of a poll.
type PollResult struct {
	Answer       Answer
	Sent         time.Time     // when the poll was sent
	Acknowledged int64         // what the poll acknowledged to the incarnation; zero if it was left out
	Clock        time.Duration // the worker's clock when it answered
	StartedAt    time.Time     // when the worker's incarnation started
	Running      []RunStatus
	Ended        []EndedRun
	MoreEnded    bool // Ended holds as many runs as the worker lists at a time, so there may be others
}
