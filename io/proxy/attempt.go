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

// attempt is one try of a request at one target or peer.
type attempt struct {
	pool    *connPool
	request *http.Request
	id      string
	silence time.Duration                      // zero on peer links, which notice silence by their own heartbeats
	patient bool                               // wait for the answer even on a suspected connection, because the request may not run again
	suspect func()                             // called once when a patient request's connection is suspected
	inform  func(code int, header http.Header) // passes on an informational answer

	conn   atomic.Pointer[conn]
	before int64 // bytes written on the connection before this request
	read   int64 // bytes read on it before this request
	reused bool
	sent   time.Time
	gaveUp atomic.Bool

	informing sync.Mutex
	over      bool // the answer's header has come or the attempt failed
}

// result is the outcome of an attempt that may still have a body to copy.
type result struct {
	response *http.Response
	outcome  Outcome
	err      error
	silent   bool
	retired  int
}

var errMismatch = errors.New("answer belongs to another request")

// do sends the request and returns when the answer's header has come or the attempt failed.
func (a *attempt) do(ctx context.Context) result {
	ctx, cancel := context.WithCancel(ctx)
	trace := &httptrace.ClientTrace{
		GotConn:        a.gotConn,
		Got1xxResponse: a.informational,
	}
	if a.silence > 0 {
		a.watchSilence(cancel)
	}
	response, err := a.pool.transport.RoundTrip(a.request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	a.end()
	if err != nil {
		cancel()
		return a.failed(err)
	}
	if c := a.conn.Load(); c != nil {
		a.pool.answered(c, time.Now())
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: a.finish(cancel)}
	if !a.answers(response) {
		a.sealConn()
		_ = response.Body.Close()
		return result{outcome: Unknown, err: errMismatch}
	}
	if response.Header.Get(HeaderOutcome) == string(NotRun) {
		return result{response: response, outcome: NotRun}
	}
	return result{response: response, outcome: Done}
}

// answers reports whether the response was sent in answer to this request, as far as
// that can be told: bytes that were there before the request belong to another one.
func (a *attempt) answers(response *http.Response) bool {
	c := a.conn.Load()
	if c != nil && (c.unasked.Load() || c.read.Load() == a.read) {
		return false
	}
	echo := response.Header.Get(HeaderAttempt)
	return echo == "" || echo == a.id
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, counted := info.Conn.(*conn)
	if !counted {
		return
	}
	c.busy.Store(true)
	c.asked.Store(false)
	a.before = c.written.Load()
	a.read = c.read.Load()
	a.reused = info.Reused
	a.sent = time.Now()
	a.conn.Store(c)
}

func (a *attempt) informational(code int, header textproto.MIMEHeader) error {
	a.informing.Lock()
	defer a.informing.Unlock()
	if !a.over && code != http.StatusContinue && code != http.StatusSwitchingProtocols {
		a.inform(code, http.Header(header))
	}
	return nil
}

// end stops informational answers and the watch for silence.
func (a *attempt) end() {
	a.informing.Lock()
	defer a.informing.Unlock()
	a.over = true
}

func (a *attempt) ended() bool {
	a.informing.Lock()
	defer a.informing.Unlock()
	return a.over
}

// suspectOnce reports the suspicion unless the attempt has ended.
func (a *attempt) suspectOnce() {
	a.informing.Lock()
	defer a.informing.Unlock()
	if !a.over {
		a.suspect()
	}
}

// watchSilence checks for silence again and again until the answer's header has come.
func (a *attempt) watchSilence(cancel context.CancelFunc) {
	time.AfterFunc(a.silence, func() {
		if !a.ended() && !a.checkSilence(cancel) {
			a.watchSilence(cancel)
		}
	})
}

// checkSilence suspects a reused connection when the target answers on newer ones, and reports whether
// it did. The older idle connections are closed; the request is given up if it may run again.
func (a *attempt) checkSilence(cancel context.CancelFunc) bool {
	c := a.conn.Load()
	if c == nil || !a.reused || !a.pool.silent(c, a.sent) {
		return false
	}
	if a.patient {
		a.pool.retireOlder(c)
		a.suspectOnce()
		return true
	}
	a.gaveUp.Store(true)
	cancel()
	return true
}

func (a *attempt) failed(err error) result {
	c := a.conn.Load()
	if c == nil {
		return result{outcome: NotRun, err: err}
	}
	untouched := c.seal() == a.before
	r := result{outcome: Unknown, err: err, silent: a.gaveUp.Load()}
	if untouched {
		r.outcome = NotRun
	}
	if r.silent || a.silence > 0 && a.reused && errors.Is(err, context.DeadlineExceeded) {
		r.silent = true
		r.retired = a.pool.retireOlder(c)
	}
	return r
}

func (a *attempt) sealConn() {
	if c := a.conn.Load(); c != nil {
		c.seal()
	}
}

func (a *attempt) finish(cancel context.CancelFunc) func() {
	return func() {
		if c := a.conn.Load(); c != nil {
			c.busy.Store(false)
		}
		cancel()
	}
}

// cancelBody releases the attempt's resources when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body first, so that a connection that was read to its end is kept.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
