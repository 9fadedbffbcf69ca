// Package sched implements the owner of the job service's workers as a pure state machine.
//
// The owner places the tasks of accepted jobs on workers, renews the leases of their runs by polls,
// moves machines between pools as the demand changes, and plans maintenance waves.
//
// Callers report events to a [State] and call [State.Plan], which returns the orders to execute.
// Every method that depends on time takes the current time as an argument. The times must come from
// a monotonic clock that also advances while the system is suspended. The package does no I/O;
// io/node executes the orders.
package sched
