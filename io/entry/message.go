package entry

import (
	"daisysaddle/core/event"
	"daisysaddle/core/plan"
	"daisysaddle/io/peer"
	"daisysaddle/io/store"
	"daisysaddle/io/wire"
)

// message is anything the control goroutine receives.
type message any

type batchArrived struct{ batch store.Batch }

// recordRead is a record that was read apart from the watch.
type recordRead struct{ record store.Record }

type platformChanged struct{ up bool }

type listArrived struct{ listing store.Listing }

type leaseGranted struct{ lease string }

type frameArrived struct {
	from  peer.Identity
	frame *wire.Frame
}

type peerChanged struct {
	peer peer.Identity
	up   bool
}

// zoneWritten reports a compare-and-swap of the zone record.
type zoneWritten struct {
	record   store.Record
	outcome  store.Outcome
	decision plan.Decision
}

// electionEnded reports an attempt to become planner.
type electionEnded struct {
	record  store.Record
	outcome store.Outcome
}

type eventHappened struct{ event event.Event }

type stopRequested struct{}

type drained struct{ done chan struct{} }

// query runs a function on the control goroutine and waits for it.
type query struct {
	run  func()
	done chan struct{}
}
