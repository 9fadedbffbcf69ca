package entry

import (
	"daisysaddle/core/event"
	"daisysaddle/core/plan"
	"daisysaddle/io/peer"
	"daisysaddle/io/store"
	"daisysaddle/io/wire"
)

// message is one of the types below, which the control goroutine receives.
type message any

type batchArrived struct{ batch store.Batch }

// recordRead delivers a record that was read directly, not by the watch.
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

// zoneWritten reports the end of a compare-and-swap of the zone record, or of a read of it; a read has no decision.
type zoneWritten struct {
	record   store.Record
	outcome  store.Outcome
	decision plan.Decision
}

// electionEnded reports the end of an attempt to become planner.
type electionEnded struct {
	record  store.Record
	outcome store.Outcome
}

type eventReported struct{ event event.Event }

type stopRequested struct{}

// requestsEnded reports that a stopping entry serves no more requests; done is closed once a status message
// that says so is queued for the peers.
type requestsEnded struct{ done chan struct{} }

// query asks the control goroutine to call run and then to close done.
type query struct {
	run  func()
	done chan struct{}
}
