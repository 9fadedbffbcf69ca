package fleet

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"
)

// State is the lifecycle state of an instance.
type State string

// States of an instance.
const (
	Serving  State = "Serving"  // accepts work
	Leaving  State = "Leaving"  // finishes its work before it is returned
	Moving   State = "Moving"   // finishes its work before it serves another pool
	Drained  State = "Drained"  // has no work left
	Returned State = "Returned" // handed back to its operator, for maintenance or permanently
	Failed   State = "Failed"   // out of service after an unplanned failure
)

// Event is an input to the state machine of an instance.
type Event string

// Events that change the state of an instance.
const (
	Leave   Event = "Leave"
	Move    Event = "Move"
	Drain   Event = "Drain"
	Return  Event = "Return"
	Assign  Event = "Assign"
	Cancel  Event = "Cancel"
	Fail    Event = "Fail"
	Recover Event = "Recover"
	Rejoin  Event = "Rejoin"
)

// ErrIllegalEvent reports an event that the current state does not allow.
var ErrIllegalEvent = errors.New("event is not allowed in this state")

var transitions = []fsm.EventDesc{
	{Name: string(Leave), Src: []string{string(Serving), string(Failed)}, Dst: string(Leaving)},
	{Name: string(Move), Src: []string{string(Serving)}, Dst: string(Moving)},
	{Name: string(Drain), Src: []string{string(Leaving)}, Dst: string(Drained)},
	{Name: string(Return), Src: []string{string(Drained)}, Dst: string(Returned)},
	{Name: string(Assign), Src: []string{string(Moving)}, Dst: string(Serving)},
	{Name: string(Cancel), Src: []string{string(Leaving), string(Moving)}, Dst: string(Serving)},
	{Name: string(Fail), Src: []string{string(Serving)}, Dst: string(Failed)},
	{Name: string(Recover), Src: []string{string(Failed)}, Dst: string(Serving)},
	{Name: string(Rejoin), Src: []string{string(Returned), string(Drained)}, Dst: string(Serving)},
}

// Apply returns the state that follows s on event e; if s does not allow e, it returns s and ErrIllegalEvent.
func (s State) Apply(e Event) (State, error) {
	machine := fsm.NewFSM(string(s), transitions, fsm.Callbacks{})
	if err := machine.Event(context.Background(), string(e)); err != nil {
		return s, errors.Wrapf(ErrIllegalEvent, "%s in state %s", e, s)
	}
	return State(machine.Current()), nil
}

// AcceptsWork reports whether new work may be sent to an instance in state s.
func (s State) AcceptsWork() bool {
	return s == Serving
}

// Draining reports whether an instance in state s accepts no new work and finishes the work that it has.
func (s State) Draining() bool {
	return s == Leaving || s == Moving
}
