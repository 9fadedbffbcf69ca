package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// attempt sends a request to one target or peer.
type attempt struct {
	pool            *connPool
	request         *http.Request
	id              string
	silenceTimeout  time.Duration                      // zero on peer links, which detect silence by their own heartbeats
	waitWhenSilent  bool                               // keep waiting on a silent connection, because the request may not run again
	onSilent        func()                             // called once when the connection is presumed silent and waitWhenSilent is set
	onInformational func(code int, header http.Header) // forwards an informational response

	conn             atomic.Pointer[countingConn]
	writtenBefore    int64 // bytes written on the connection before this request
	readBefore       int64 // bytes read on it before this request
	reused           bool
	sentAt           time.Time
	canceledAsSilent atomic.Bool

	mu           sync.Mutex
	silenceCheck *time.Timer // the next one
	done         bool        // whether the response header has arrived or the attempt has failed
}

// result is the result of an attempt; the body of its response has not been read yet.
type result struct {
	response    *http.Response
	outcome     Outcome
	err         error
	silent      bool // whether the connection is presumed silent
	closedConns int  // number of older idle connections that were closed for that reason
}

var errResponseMismatch = errors.New("response belongs to another request")

// do sends the request and returns when the response header has arrived or the attempt has failed.
func (a *attempt) do(ctx context.Context) result {
	ctx, cancel := context.WithCancel(ctx)
	trace := &httptrace.ClientTrace{
		GotConn:        a.gotConn,
		Got1xxResponse: a.gotInformational,
	}
	if a.silenceTimeout > 0 {
		a.scheduleSilenceCheck(cancel)
	}
	response, err := a.pool.transport.RoundTrip(a.request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	a.markDone()
	if err != nil {
		cancel()
		return a.failureResult(err)
	}
	if c := a.conn.Load(); c != nil {
		a.pool.recordResponse(c, time.Now())
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: a.releaseFunc(cancel)}
	if !a.matchesRequest(response) {
		a.abortConn()
		_ = response.Body.Close()
		return result{outcome: Unknown, err: errResponseMismatch}
	}
	if response.Header.Get(HeaderOutcome) == string(NotRun) {
		return result{response: response, outcome: NotRun}
	}
	return result{response: response, outcome: Done}
}

// matchesRequest reports whether the response belongs to this request, as far as the proxy can tell. It does not if its
// bytes were read from the connection before the request was written, or if the target echoed another attempt id.
func (a *attempt) matchesRequest(response *http.Response) bool {
	c := a.conn.Load()
	if c != nil && (c.unsolicited.Load() || c.read.Load() == a.readBefore) {
		return false
	}
	echoedID := response.Header.Get(HeaderAttempt)
	return echoedID == "" || echoedID == a.id
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, isCounting := info.Conn.(*countingConn)
	if !isCounting {
		return
	}
	c.busy.Store(true)
	c.requestStarted.Store(false)
	a.writtenBefore = c.written.Load()
	a.readBefore = c.read.Load()
	a.reused = info.Reused
	a.sentAt = time.Now()
	a.conn.Store(c)
}

func (a *attempt) gotInformational(code int, header textproto.MIMEHeader) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.done && code != http.StatusContinue && code != http.StatusSwitchingProtocols {
		a.onInformational(code, http.Header(header))
	}
	return nil
}

// markDone stops the forwarding of informational responses and the silence checks.
func (a *attempt) markDone() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	if a.silenceCheck != nil {
		a.silenceCheck.Stop() // it would hold the request and its answer
	}
}

func (a *attempt) isDone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// reportSilent calls onSilent unless the attempt is done.
func (a *attempt) reportSilent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.done {
		a.onSilent()
	}
}

// scheduleSilenceCheck runs checkSilence at intervals of silenceTimeout until it returns true or the attempt is done.
func (a *attempt) scheduleSilenceCheck(cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.silenceCheck = time.AfterFunc(a.silenceTimeout, func() {
		if !a.isDone() && !a.checkSilence(cancel) {
			a.scheduleSilenceCheck(cancel)
		}
	})
}

// checkSilence reports whether the connection is presumed silent: it is a reused one, and the target has meanwhile
// answered on a newer one. It then cancels the request if the request may run again. Otherwise it closes the idle
// connections that are no newer, and the request keeps waiting.
func (a *attempt) checkSilence(cancel context.CancelFunc) bool {
	c := a.conn.Load()
	if c == nil || !a.reused || !a.pool.isSilent(c, a.sentAt) {
		return false
	}
	if a.waitWhenSilent {
		a.pool.closeOlderIdle(c)
		a.reportSilent()
		return true
	}
	a.canceledAsSilent.Store(true)
	cancel()
	return true
}

// failureResult aborts the connection and returns the result of a failed attempt. It is NotRun if no byte of the request
// was written. A deadline that passes on a reused connection to a target also counts as silence.
func (a *attempt) failureResult(err error) result {
	c := a.conn.Load()
	if c == nil {
		return result{outcome: NotRun, err: err}
	}
	nothingWritten := c.abort() == a.writtenBefore
	r := result{outcome: Unknown, err: err, silent: a.canceledAsSilent.Load()}
	if nothingWritten {
		r.outcome = NotRun
	}
	if r.silent || a.silenceTimeout > 0 && a.reused && errors.Is(err, context.DeadlineExceeded) {
		r.silent = true
		r.closedConns = a.pool.closeOlderIdle(c)
	}
	return r
}

func (a *attempt) abortConn() {
	if c := a.conn.Load(); c != nil {
		c.abort()
	}
}

func (a *attempt) releaseFunc(cancel context.CancelFunc) func() {
	return func() {
		if c := a.conn.Load(); c != nil {
			c.busy.Store(false)
		}
		cancel()
	}
}

// cancelBody is a response body that releases the attempt's resources when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body before it cancels the request's context, so that the transport keeps a connection whose response
// was read to the end.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
