// Package sched is the job service's owner as a pure state machine: events go in, orders come out.
//
// Every decision takes the present time as an argument. The times must come from a clock that
// counts suspensions and never goes back. Nothing here does I/O; io/node carries the orders out.
package sched
