package node

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

// errPanicked ends an ownership, because the scheduling state may be inconsistent after a panic.
var errPanicked = errors.New("the control loop panicked")

// recoverPanic is deferred to recover from a panic: it logs the panic, counts it and calls onPanic, and the process goes on.
func (n *Node) recoverPanic(activity string, onPanic func()) {
	p := recover()
	if p == nil {
		return
	}
	n.metrics.panics.Inc()
	n.logLimited("Panic").Str("Doing", activity).Any("Value", p).Bytes("Stack", debug.Stack()).Send()
	onPanic()
}
