package node

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

// errPanicked ends an ownership, because the scheduling state may be inconsistent after a panic.
var errPanicked = errors.New("the control loop panicked")

// recoverPanic recovers from a panic, logs and counts it and calls onPanic, so that the process goes on. It must be deferred.
func (n *Node) recoverPanic(activity string, onPanic func()) {
	p := recover()
	if p == nil {
		return
	}
	n.metrics.panics.Inc()
	n.logLimited("Panic").Str("Doing", activity).Any("Value", p).Bytes("Stack", debug.Stack()).Send()
	onPanic()
}
