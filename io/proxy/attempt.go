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
	silence time.Duration
	inform  func(code int, header http.Header) // passes on an informational answer

	conn   atomic.Pointer[conn]
	before int64
	reused bool
	sent   time.Time
	gaveUp atomic.Bool

	informing sync.Mutex
	over      bool // no informational answer may be passed on any more
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
	watch := time.AfterFunc(a.silence, func() { a.checkSilence(cancel) })
	response, err := a.pool.transport.RoundTrip(a.request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	watch.Stop()
	a.endInforming()
	if err != nil {
		cancel()
		return a.failed(err)
	}
	if c := a.conn.Load(); c != nil {
		a.pool.answered(c, time.Now())
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: a.finish(cancel)}
	if echo := response.Header.Get(HeaderAttempt); echo != "" && echo != a.id {
		_ = response.Body.Close()
		a.sealConn()
		return result{outcome: Unknown, err: errMismatch}
	}
	if response.Header.Get(HeaderOutcome) == string(NotRun) {
		return result{response: response, outcome: NotRun}
	}
	return result{response: response, outcome: Done}
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, counted := info.Conn.(*conn)
	if !counted {
		return
	}
	c.busy.Store(true)
	a.before = c.written.Load()
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

func (a *attempt) endInforming() {
	a.informing.Lock()
	defer a.informing.Unlock()
	a.over = true
}

// checkSilence gives up a reused connection when the target answers on newer ones.
func (a *attempt) checkSilence(cancel context.CancelFunc) {
	c := a.conn.Load()
	if c != nil && a.reused && a.pool.silent(c, a.sent) {
		a.gaveUp.Store(true)
		cancel()
	}
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
	if r.silent || a.reused && errors.Is(err, context.DeadlineExceeded) {
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
