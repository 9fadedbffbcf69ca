package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// pacedBytes is what a caller must send of its body in its service's CallerTimeout.
const pacedBytes = 4 << 10

// pacedBody is a caller's body. Its reads fail when the caller sends too slowly, so that a request which is being sent to a target does not hold
// the target's slot.
type pacedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	deadline   time.Time
	timeout    time.Duration // zero for none

	waited  time.Duration // for the bytes of the present part
	arrived int           // of these bytes
}

// Read reads from the body.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.timeout <= 0 {
		return b.ReadCloser.Read(p)
	}
	began := time.Now()
	b.allowUntil(began.Add(b.timeout - b.waited))
	n, err := b.ReadCloser.Read(p)
	b.waited += time.Since(began)
	if b.arrived += n; b.arrived >= pacedBytes {
		b.waited, b.arrived = 0, 0
	}
	if errors.Is(err, io.EOF) {
		b.allowUntil(b.deadline) // the server reads on to see whether the caller leaves
	}
	return n, err
}

// allowUntil sets the time until which the caller may send. The error of a connection without support for deadlines is ignored, as elsewhere.
func (b *pacedBody) allowUntil(t time.Time) {
	if b.deadline.Before(t) {
		t = b.deadline
	}
	_ = b.controller.SetReadDeadline(t)
}

// allowWrite gives the caller the service's CallerTimeout to take what is written next.
func (x *exchange) allowWrite() {
	var until time.Time // none: that of an earlier request does not hold for this one
	if x.dispatcher != nil {
		if timeout := x.dispatcher.serviceConfig().CallerTimeout; timeout > 0 {
			until = time.Now().Add(timeout)
		}
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(until)
}
