package node

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

// errPanicked ends an ownership whose state can't be trusted any more.
var errPanicked = errors.New("the control loop panicked")

// caught logs a panic of what an entry was doing and hands on; the process goes on.
func (n *Node) caught(doing string, then func()) {
	p := recover()
	if p == nil {
		return
	}
	n.metrics.panics.Inc()
	n.often("Panic").Str("Doing", doing).Any("Value", p).Bytes("Stack", debug.Stack()).Send()
	then()
}
