package sched

import "time"

// Start asks a worker to run a task.
type Start struct {
	Worker string
	Task   TaskID
	Run    int64
	Spec   string
	Saved  string        // progress to resume from
	Ticket string        // permission of the outside policy
	Until  time.Duration // end of the lease on the worker's clock
}

// Stop asks a worker to end a run, and to refuse it when it comes later.
type Stop struct {
	Worker string
	Task   TaskID
	Run    int64
}

// Pace sets the share of its processors that a run may use.
type Pace struct {
	Worker  string
	Task    TaskID
	Run     int64
	Percent int
}

// Look renews the lease of all that runs on a worker and asks what runs there.
type Look struct {
	Worker       string
	Until        time.Duration // end of the lease on the worker's clock; zero leaves it
	Acknowledged int64         // ends up to this number are durable here
	Wait         time.Duration // the worker may wait this long for an end
}

// Save asks for a job's progress to be stored.
type Save struct {
	Job      string
	Version  uint64
	Progress Progress
}

// MachineOrder moves a machine to another pool, or sends it to its upkeep.
type MachineOrder struct {
	Machine string
	Pool    string // set for a move
	Wave    int64  // set for an upkeep
}

// WaveStatus asks for the state of a wave to be stored.
type WaveStatus struct {
	Wave      int64
	Completed bool
	Begun     []string  // machines whose upkeep has begun
	Asked     time.Time `json:",omitzero"` // when the wave was first seen, from which its time counts
}

// Ask asks the outside policy which workers may run a step.
type Ask struct {
	Stage   TaskID // Index is zero
	Workers []string
}

// Note is one decision for the log.
type Note struct {
	What   string
	Job    string
	Task   TaskID
	Worker string
	Reason string
	Run    int64
}

// Orders is what one planning step asks for.
type Orders struct {
	Starts       []Start
	Stops        []Stop
	Paces        []Pace
	Looks        []Look
	Saves        []Save
	Machines     []MachineOrder
	Waves        []WaveStatus
	Asks         []Ask
	Roster       []RosterChange // to be stored
	Notes        []Note
	ListMachines bool      // the list of machines should be read again
	Wake         time.Time // when to plan again without an event; zero for never
}

// Answer says what became of an order to a worker or to the machines' interface.
type Answer string

// Answers to orders.
const (
	Carried     Answer = "Carried"
	Unanswered  Answer = "Unanswered"  // it may have been carried out, or may be later
	NotSent     Answer = "NotSent"     // it did not leave, and never will
	Outdated    Answer = "Outdated"    // a higher fencing token was seen
	Superseded  Answer = "Superseded"  // a run as high was stopped or ended there
	TooLate     Answer = "TooLate"     // the lease in the order has passed
	NoRoom      Answer = "NoRoom"      // it does not fit
	NoTicket    Answer = "NoTicket"    // the ticket does not hold
	Unhealthy   Answer = "Unhealthy"   // the worker did nothing, because it is not well
	OtherLife   Answer = "OtherLife"   // another incarnation lives there
	Malformed   Answer = "Malformed"   // the order was not understood
	MachineBusy Answer = "MachineBusy" // the machine is not up, or leaves
	NotInWave   Answer = "NotInWave"
)

// Row is one run that a worker lists.
type Row struct {
	Task    TaskID
	Run     int64
	Saved   string
	Percent int // how much of its time the run was at work; 100 for a lasting task at work
	Figure  int // tail in milliseconds for a lasting task, else thousandths of a core in use
}

// End is one run that ended, as a worker lists it.
type End struct {
	Number int64
	Row
	How EndKind
}

// EndKind says how a run ended.
type EndKind string

// Kinds of ends.
const (
	Done    EndKind = "Done"
	Faulted EndKind = "Faulted" // by its own fault or the worker's
	Stopped EndKind = "Stopped"
	Lapsed  EndKind = "Lapsed" // its lease ended
	Broken  EndKind = "Broken" // another member of its gang ended
	Alone   EndKind = "Alone"  // the other members of its gang did not come
)

// Sight is the result of a look.
type Sight struct {
	Answer  Answer
	Sent    time.Time // when the look was sent
	Clock   time.Duration
	Born    time.Time // start of the worker's life
	Running []Row
	Ended   []End
}
