package proxy

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/eject"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/core/flow"
	"daisysaddle/core/once"
	"daisysaddle/core/retry"
)

// exchange is one caller's request on its way through this entry.
type exchange struct {
	proxy      *Proxy
	table      *Table
	dispatcher *dispatcher
	w          http.ResponseWriter
	r          *http.Request
	meta       meta
	body       *body
	claimed    bool
	doubt      bool // an attempt may have run, so that NotRun would be false
	capture    *capture
	attempts   int
}

// run carries the request to its end.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.meta.deadline)
	defer cancel()
	// A caller that sends slowly is cut at its own deadline; connections without deadlines need none.
	_ = http.NewResponseController(x.w).SetReadDeadline(x.meta.deadline)
	if x.unclaimed() && !x.claim(ctx) {
		return
	}
	if !x.table.Ready {
		x.refuse(http.StatusServiceUnavailable, NotRun, ReasonNotReady, "the entry is starting or stopping")
		return
	}
	var err error
	if x.body, err = readBody(x.w, x.r); err != nil {
		x.refuseBody(err)
		return
	}
	x.dispatcher.attempt()
	x.runAttempts(ctx)
}

func (x *exchange) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.refuse(http.StatusRequestEntityTooLarge, NotRun, ReasonBodyTooLarge, "the body is larger than 64 MB")
		return
	}
	x.refuse(http.StatusBadRequest, NotRun, ReasonBadRequest, "the body did not arrive whole")
}

// claim makes sure that this entry owns the id, and forwards the request when another one does.
func (x *exchange) claim(ctx context.Context) bool {
	owner, self, found := x.proxy.owners.find(x.meta.id)
	switch {
	case !found || !self && x.meta.hop == hopOwner:
		x.refuse(http.StatusBadGateway, Unknown, ReasonOwnerUncertain, "it is not settled which entry owns this request id")
		return false
	case !self:
		x.forwardToOwner(ctx, owner)
		return false
	}
	answer, result := x.proxy.owners.begin(time.Now(), x.meta.id)
	switch answer {
	case once.Run:
		x.claimed = true
		x.capture = &capture{}
		return true
	case once.Finished:
		x.replay(result)
	case once.Running:
		x.refuse(http.StatusConflict, Unknown, ReasonDuplicate, "another attempt with this request id is running")
	case once.Uncertain:
		x.refuse(http.StatusBadGateway, Unknown, ReasonOwnerUncertain, "an earlier owner of this request id may have run it")
	}
	x.dispatcher.count(func(c *Counters) { c.Duplicates++ })
	return false
}

// forwardToOwner sends the request over the peer link, once.
func (x *exchange) forwardToOwner(ctx context.Context, owner fleet.Sender) {
	var err error
	if x.body, err = readBody(x.w, x.r); err != nil {
		x.refuseBody(err)
		return
	}
	r := x.tryPeer(ctx, owner, hopOwner)
	if r.response != nil {
		x.pass(r.response)
		return
	}
	x.refuse(http.StatusBadGateway, Unknown, ReasonOwnerUnreachable, "the entry that owns this request id does not answer")
}

// runAttempts tries targets until one answers or no further try is allowed.
func (x *exchange) runAttempts(ctx context.Context) {
	var avoid *flow.Target
	for {
		g, reason := x.acquire(ctx, avoid)
		if g == nil {
			x.noTarget(ctx, reason)
			return
		}
		x.attempts++
		last := x.tryTarget(ctx, g)
		if last.response != nil && last.outcome == Done {
			x.finish(g, last)
			return
		}
		x.settle(g, last)
		avoid = g.target
		if !x.mayRetry(last) {
			x.failed(last)
			return
		}
		x.discard(last)
		if !pause(ctx, retryBackoff.Delay(x.attempts)) {
			x.failed(result{outcome: last.outcome, err: ctx.Err()})
			return
		}
	}
}

// acquire gets a target, spills the request when it would wait long, or lets it wait.
func (x *exchange) acquire(ctx context.Context, avoid *flow.Target) (*grant, Reason) {
	decided := make(chan admission, 1)
	r := &flow.Request{
		Team: x.meta.team, Urgent: x.meta.urgent, Deadline: x.meta.deadline, Avoid: avoid,
		NoQueue: x.meta.hop == hopSpill,
		Decided: func(t *flow.Target, refusal flow.Refusal) { decided <- admission{t, refusal} },
	}
	g, refusal := x.dispatcher.submit(r)
	switch refusal {
	case flow.Granted:
		return g, ""
	case flow.SpillFirst:
		if x.spill(ctx) {
			return nil, reasonSpilled
		}
		x.dispatcher.enqueue(r)
	case flow.Queued:
	default:
		return nil, reasons[refusal]
	}
	return x.dispatcher.await(ctx, r, decided)
}

// reasonSpilled marks a request that another entry has answered.
const reasonSpilled Reason = "Spilled"

var retryBackoff = retry.Backoff{Initial: 2 * time.Millisecond, Max: 50 * time.Millisecond}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// tryTarget sends one attempt to the granted target.
func (x *exchange) tryTarget(ctx context.Context, g *grant) result {
	c := carrierOf(g.target)
	return x.try(ctx, c.pool, c.spec.Instance.Address.String(), hopNone, func() { x.dispatcher.suspect(g) })
}

// silenceFactor is the number of typical service times after which a request is unusually slow.
const silenceFactor = 8

func (x *exchange) tryPeer(ctx context.Context, to fleet.Sender, h hop) result {
	return x.try(ctx, x.proxy.peers.get(x.proxy.Links, to), to.Name, h, func() {})
}

func (x *exchange) try(ctx context.Context, pool *connPool, host string, h hop, suspect func()) result {
	id := x.meta.id
	if h == hopNone {
		id = fmt.Sprintf("%s-%d", x.proxy.Self.Incarnation, x.proxy.attempts.Add(1))
	}
	a := &attempt{pool: pool, id: id, suspect: suspect, inform: x.inform}
	if h == hopNone {
		a.silence = max(x.dispatcher.settings().SilenceTimeout, silenceFactor*x.dispatcher.expected())
		a.patient = !x.meta.idempotent
	}
	a.request = x.outgoing(host, id, h)
	r := a.do(ctx)
	x.doubt = x.doubt || r.outcome == Unknown
	return r
}

// truthful replaces NotRun by Unknown when an earlier attempt of this exchange may have run.
func (x *exchange) truthful(o Outcome) Outcome {
	if o == NotRun && x.doubt {
		return Unknown
	}
	return o
}

// unclaimed reports whether another attempt with the same request id may have run elsewhere.
func (x *exchange) unclaimed() bool {
	return !x.claimed && !x.meta.idempotent && x.meta.id != "" && x.meta.hop != hopSpill
}

// outgoing builds the request that goes to a target or peer.
func (x *exchange) outgoing(host, attemptID string, h hop) *http.Request {
	request := &http.Request{
		Method: x.r.Method,
		URL:    &url.URL{Scheme: "http", Host: host, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery},
		Host:   x.r.Host,
		Header: x.r.Header.Clone(),
	}
	removeHopHeaders(request.Header)
	remaining := time.Until(x.meta.deadline)
	request.Header.Set(HeaderTimeout, strconv.FormatFloat(max(remaining.Seconds(), 0.001), 'f', 3, 64))
	request.Header.Set(HeaderService, x.meta.service)
	request.Header.Del(headerHop)
	if h == hopNone {
		request.Header.Set(HeaderAttempt, attemptID)
	} else {
		request.Header.Set(headerHop, string(h))
	}
	if _, given := request.Header["User-Agent"]; !given {
		request.Header["User-Agent"] = nil
	}
	x.body.attach(request)
	return request
}

var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// endToEndHeaders decide how a request is run; no connection option may drop them between entries.
var endToEndHeaders = []string{HeaderService, HeaderTeam, HeaderIdempotent, HeaderTimeout, HeaderPriority, HeaderID}

// removeHopHeaders drops the headers that concern one connection only.
func removeHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			name := http.CanonicalHeaderKey(strings.TrimSpace(option))
			if !slices.Contains(endToEndHeaders, name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// settle returns the slot of an attempt that gave no answer to pass on.
func (x *exchange) settle(g *grant, r result) {
	e := flow.Failed
	switch {
	case r.silent:
		e = flow.Inconclusive
		x.dispatcher.count(func(c *Counters) { c.Silent++ })
		x.event(event.ConnectionSilent, g, fmt.Sprintf("connection given up, %d older idle ones closed", r.retired))
	case r.outcome == NotRun && r.response != nil:
		e = flow.NoSlot
	case x.r.Context().Err() != nil:
		e = flow.Inconclusive
	}
	x.release(g, e)
}

func (x *exchange) release(g *grant, e flow.AttemptResult) {
	verdict, changed := x.dispatcher.release(g, time.Now(), e)
	if !changed {
		return
	}
	kinds := map[eject.Status]event.Kind{eject.Ejected: event.TargetEjected, eject.OnTrial: event.TargetTrial, eject.Healthy: event.TargetReadmitted}
	x.event(kinds[verdict], g, "")
}

func (x *exchange) event(kind event.Kind, g *grant, detail string) {
	e := event.Event{Kind: kind, Zone: x.proxy.Zone, Request: x.meta.id, Detail: detail}
	if g != nil {
		e.Instance = g.target.Name
	}
	x.proxy.Events(e)
}

func (x *exchange) mayRetry(r result) bool {
	t := retry.FailedAttempt{
		Attempts:   x.attempts,
		NotRun:     r.outcome == NotRun,
		Idempotent: x.meta.idempotent,
		Replayable: x.body.replayable(),
		Deadline:   x.meta.deadline,
		Expected:   x.dispatcher.expected(),
	}
	return x.r.Context().Err() == nil && t.MayRetry(time.Now()) && x.dispatcher.takeRetry()
}

func (x *exchange) discard(r result) {
	if r.response != nil {
		_ = r.response.Body.Close() // the answer is a refusal without use
	}
}

// finish passes on a target's answer.
func (x *exchange) finish(g *grant, r result) {
	whole := x.pass(r.response)
	e := flow.Succeeded
	switch {
	case r.response.StatusCode >= http.StatusInternalServerError:
		e = flow.Failed
	case !whole && x.r.Context().Err() != nil:
		e = flow.Inconclusive
	case !whole:
		e = flow.Failed
	}
	x.release(g, e)
	if !whole {
		x.event(event.RequestUnknown, g, "the answer was cut")
		panic(http.ErrAbortHandler) // the only way to tell the caller that an answer that began is not whole
	}
}

// failed tells the caller about an attempt that gave no answer.
func (x *exchange) failed(r result) {
	x.discard(r)
	if x.truthful(r.outcome) == NotRun {
		x.refuse(http.StatusServiceUnavailable, NotRun, ReasonTargetFailed, "no target took the request")
		return
	}
	status := http.StatusBadGateway
	if errors.Is(r.err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	x.event(event.RequestUnknown, nil, fmt.Sprint(r.err))
	x.refuse(status, Unknown, ReasonTargetFailed, "a target may have carried out the request")
}

// noTarget refuses a request that got no target, unless another entry takes it.
func (x *exchange) noTarget(ctx context.Context, reason Reason) {
	switch {
	case reason == reasonSpilled:
		return
	case x.doubt && !x.meta.idempotent:
		x.failed(result{outcome: Unknown})
		return
	case x.maySpill(ctx, reason) && x.spill(ctx):
		return
	}
	x.refuse(http.StatusServiceUnavailable, NotRun, reason, "the request was not sent to a target")
}

func (x *exchange) maySpill(ctx context.Context, reason Reason) bool {
	return ctx.Err() == nil && (reason == ReasonNoTarget || reason == ReasonQueueFull || reason == ReasonDeadline)
}

// spill offers the request to other entries, which take it only into a free slot, and reports whether it was answered.
func (x *exchange) spill(ctx context.Context) bool {
	if x.meta.hop == hopSpill || x.doubt && !x.meta.idempotent || !x.body.replayable() {
		return false
	}
	for _, to := range x.table.spillOrder(x.meta.service) {
		x.dispatcher.count(func(c *Counters) { c.Spills++ })
		r := x.tryPeer(ctx, to, hopSpill)
		switch {
		case r.response != nil && r.outcome == Done:
			x.dispatcher.count(func(c *Counters) { c.SpillsDone++ })
			if !x.pass(r.response) {
				panic(http.ErrAbortHandler) // the answer that began is not whole
			}
			return true
		case r.outcome == Unknown && !x.meta.idempotent:
			x.failed(r)
			return true
		}
		x.discard(r)
		if ctx.Err() != nil || !x.body.replayable() {
			return false
		}
	}
	return false
}

// refuse answers a request without a target's answer.
func (x *exchange) refuse(status int, o Outcome, reason Reason, text string) {
	o = x.truthful(o)
	if x.unclaimed() {
		o = Unknown
	}
	x.end(once.Result{Outcome: string(o), Status: status})
	x.countOutcome(o)
	h := x.w.Header()
	h.Set(HeaderOutcome, string(o))
	h.Set(HeaderReason, string(reason))
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(x.retryAfter()))
	}
	http.Error(x.w, fmt.Sprintf("Outcome=%s Reason=%s: %s", o, reason, text), status)
}

// retryAfter returns the whole seconds after which a queue of the present length is served.
func (x *exchange) retryAfter() int {
	if x.dispatcher == nil {
		return 1
	}
	wait := x.dispatcher.expectedWait(time.Now())
	return max(1, int(math.Ceil(wait.Seconds())))
}

func (x *exchange) countOutcome(o Outcome) {
	if x.dispatcher == nil {
		return
	}
	x.dispatcher.count(func(c *Counters) {
		switch o {
		case Done:
			c.Done++
		case NotRun:
			c.NotRun++
		case Unknown:
			c.Unknown++
		}
	})
}

// end records the outcome under the claimed request id.
func (x *exchange) end(r once.Result) {
	if x.claimed {
		x.proxy.owners.end(x.meta.id, r)
	}
}
