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
	"daisysaddle/io/guard"
)

// exchange handles one request, from a caller or another entry, until its response is sent.
type exchange struct {
	proxy      *Proxy
	table      *Table
	dispatcher *dispatcher
	w          http.ResponseWriter
	r          *http.Request
	meta       requestMeta
	body       *requestBody
	claimed    bool
	mayHaveRun bool // an attempt may have run, so the outcome must not be NotRun
	recorder   *bodyRecorder
	attempts   int
	idIsNew    bool          // no earlier attempt with the request id has run, though the id is not claimed
	retryAfter time.Duration // for a refusal; zero for the expected wait of the service
}

// run claims the request id if the request needs a claim, reads the body and runs the attempts.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.meta.deadline)
	defer cancel()
	// The read deadline bounds a caller that sends slowly. The error of a connection without support for deadlines is ignored.
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(x.meta.deadline)
	_ = controller.SetWriteDeadline(time.Time{}) // of an earlier request
	x.r = x.r.WithContext(x.r.Context())         // the server's own request keeps its body
	x.r.Body = &pacedBody{ReadCloser: x.r.Body, controller: controller, deadline: x.meta.deadline, timeout: x.dispatcher.serviceConfig().CallerTimeout}
	if x.needsClaim() && !x.claim(ctx) {
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
	x.dispatcher.recordAttempt()
	x.runAttempts(ctx)
}

func (x *exchange) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.refuse(http.StatusRequestEntityTooLarge, NotRun, ReasonBodyTooLarge, "the body is larger than 64 MB")
		return
	}
	if errors.Is(err, guard.ErrBusy) {
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusServiceUnavailable, NotRun, ReasonBusy, "the entry has no room for the body")
		return
	}
	x.refuse(http.StatusBadRequest, NotRun, ReasonBadRequest, "the body did not arrive whole")
}

// claim claims the request id and reports whether the request may run here. Otherwise the response has been sent: that of
// the entry that owns the id, a stored one or a refusal.
func (x *exchange) claim(ctx context.Context) bool {
	owner, self, found := x.proxy.owners.find(x.meta.id)
	switch {
	case !found || !self && x.meta.forwarding == forwardingOwner:
		x.refuse(http.StatusBadGateway, Unknown, ReasonOwnerUncertain, "it is not settled which entry owns this request id")
		return false
	case !self:
		x.forwardToOwner(ctx, owner)
		return false
	}
	status, result := x.proxy.owners.claim(time.Now(), x.meta.id)
	switch status {
	case once.Run:
		x.claimed = true
		x.recorder = &bodyRecorder{}
		return true
	case once.Finished:
		x.replay(result)
	case once.Running:
		x.refuse(http.StatusConflict, Unknown, ReasonDuplicate, "another attempt with this request id is running")
	case once.Full:
		x.idIsNew, x.retryAfter = true, x.proxy.owners.freeIn(time.Now())
		x.refuse(http.StatusServiceUnavailable, NotRun, ReasonTooManyIDs, "the entry that owns this request id has no room for it")
		return false
	case once.Uncertain:
		x.refuse(http.StatusBadGateway, Unknown, ReasonOwnerUncertain, "an earlier owner of this request id may have run it")
	}
	x.dispatcher.updateCounters(func(c *Counters) { c.Duplicates++ })
	return false
}

// forwardToOwner forwards the request to the entry that owns its id, without retries.
func (x *exchange) forwardToOwner(ctx context.Context, owner fleet.Sender) {
	var err error
	if x.body, err = readBody(x.w, x.r); err != nil {
		x.refuseBody(err)
		return
	}
	r := x.sendToPeer(ctx, owner, forwardingOwner)
	if r.response != nil {
		x.forwardResponse(r.response)
		return
	}
	x.refuse(http.StatusBadGateway, Unknown, ReasonOwnerUnreachable, "the entry that owns this request id does not answer")
}

// runAttempts sends the request to targets until one answers or no further attempt is allowed.
func (x *exchange) runAttempts(ctx context.Context) {
	var avoid *flow.Target
	for {
		g, reason := x.acquireTarget(ctx, avoid)
		if g == nil {
			x.handleNoTarget(ctx, reason)
			return
		}
		x.attempts++
		last := x.sendToTarget(ctx, g)
		if last.response != nil && last.outcome == Done {
			x.finishAttempt(g, last)
			return
		}
		x.releaseFailed(g, last)
		avoid = g.target
		if !x.mayRetry(last) {
			x.reportFailure(last)
			return
		}
		x.discardResponse(last)
		if !sleep(ctx, retryBackoff.Delay(x.attempts)) {
			x.reportFailure(result{outcome: last.outcome, err: ctx.Err()})
			return
		}
	}
}

// acquireTarget obtains a grant. A request that would wait long is offered to other entries first and queued if none
// accepts it.
func (x *exchange) acquireTarget(ctx context.Context, avoid *flow.Target) (*grant, Reason) {
	decided := make(chan decision, 1)
	r := &flow.Request{
		Team: x.meta.team, Urgent: x.meta.urgent, Deadline: x.meta.deadline, Avoid: avoid,
		NoQueue: x.meta.forwarding == forwardingSpill,
		Decided: func(t *flow.Target, refusal flow.Refusal) { decided <- decision{t, refusal} },
	}
	g, refusal := x.dispatcher.submit(r)
	switch refusal {
	case flow.Granted:
		return g, ""
	case flow.SpillFirst:
		if x.spill(ctx) {
			return nil, reasonSpilled
		}
		x.dispatcher.enqueueAfterSpill(r)
	case flow.Queued:
	default:
		return nil, refusalReasons[refusal]
	}
	return x.dispatcher.awaitDecision(ctx, r, decided)
}

// reasonSpilled is returned by acquireTarget for a request that another entry has answered.
const reasonSpilled Reason = "Spilled"

var retryBackoff = retry.Backoff{Initial: 2 * time.Millisecond, Max: 50 * time.Millisecond}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// sendToTarget makes one attempt at the granted target.
func (x *exchange) sendToTarget(ctx context.Context, g *grant) result {
	c := transportOf(g.target)
	return x.sendAttempt(ctx, c.pool, c.spec.Instance.Address.String(), forwardingNone, func() { x.dispatcher.markSilent(g) })
}

// silenceFactor is the number of expected service times after which a request is unusually slow, so that its connection
// may be presumed silent.
const silenceFactor = 8

func (x *exchange) sendToPeer(ctx context.Context, to fleet.Sender, f forwarding) result {
	return x.sendAttempt(ctx, x.proxy.peers.get(x.proxy.Links, to), to.Name, f, func() {})
}

func (x *exchange) sendAttempt(ctx context.Context, pool *connPool, host string, f forwarding, onSilent func()) result {
	id := x.meta.id
	if f == forwardingNone {
		id = fmt.Sprintf("%s-%d", x.proxy.Self.Incarnation, x.proxy.attemptCount.Add(1))
	}
	a := &attempt{pool: pool, id: id, onSilent: onSilent, onInformational: x.forwardInformational}
	if f == forwardingNone {
		a.silenceTimeout = max(x.dispatcher.serviceConfig().SilenceTimeout, silenceFactor*x.dispatcher.expectedServiceTime())
		a.waitWhenSilent = !x.meta.idempotent
	}
	a.request = x.newOutgoingRequest(host, id, f)
	r := a.do(ctx)
	x.mayHaveRun = x.mayHaveRun || r.outcome == Unknown
	return r
}

// reportedOutcome returns o, or Unknown in place of NotRun if an earlier attempt of this exchange may have run.
func (x *exchange) reportedOutcome(o Outcome) Outcome {
	if o == NotRun && x.mayHaveRun {
		return Unknown
	}
	return o
}

// needsClaim reports whether the request id must be claimed before the request runs. Until then, another attempt with
// the same id may have run elsewhere.
func (x *exchange) needsClaim() bool {
	return !x.claimed && !x.idIsNew && !x.meta.idempotent && x.meta.id != "" && x.meta.forwarding != forwardingSpill
}

// newOutgoingRequest returns the request to send to a target or peer.
func (x *exchange) newOutgoingRequest(host, attemptID string, f forwarding) *http.Request {
	request := &http.Request{
		Method: x.r.Method,
		URL:    &url.URL{Scheme: "http", Host: host, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery},
		Host:   x.r.Host,
		Header: x.r.Header.Clone(),
	}
	removeHopByHopHeaders(request.Header)
	remaining := time.Until(x.meta.deadline)
	request.Header.Set(HeaderTimeout, strconv.FormatFloat(max(remaining.Seconds(), 0.001), 'f', 3, 64))
	request.Header.Set(HeaderService, x.meta.service)
	request.Header.Del(headerForwarding)
	if f == forwardingNone {
		request.Header.Set(HeaderAttempt, attemptID)
	} else {
		request.Header.Set(headerForwarding, string(f))
	}
	if _, given := request.Header["User-Agent"]; !given {
		request.Header["User-Agent"] = nil
	}
	x.body.attach(request)
	return request
}

var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// endToEndHeaders determine how a request is run. They are kept even if the Connection header names them.
var endToEndHeaders = []string{HeaderService, HeaderTeam, HeaderIdempotent, HeaderTimeout, HeaderPriority, HeaderID}

// removeHopByHopHeaders removes the header fields that apply to a single connection.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			name := http.CanonicalHeaderKey(strings.TrimSpace(option))
			if !slices.Contains(endToEndHeaders, name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// releaseFailed releases the grant of an attempt that has no response to forward.
func (x *exchange) releaseFailed(g *grant, r result) {
	e := flow.Failed
	switch {
	case r.silent:
		e = flow.Inconclusive
		x.dispatcher.updateCounters(func(c *Counters) { c.Silent++ })
		x.recordEvent(event.ConnectionSilent, g, fmt.Sprintf("connection aborted, %d older idle connections closed", r.closedConns))
	case r.outcome == NotRun && r.response != nil:
		e = flow.NoSlot
	case x.r.Context().Err() != nil:
		e = flow.Inconclusive
	}
	x.release(g, e)
}

func (x *exchange) release(g *grant, e flow.AttemptResult) {
	status, changed := x.dispatcher.release(g, time.Now(), e)
	if !changed {
		return
	}
	kinds := map[eject.Status]event.Kind{eject.Ejected: event.TargetEjected, eject.OnTrial: event.TargetTrial, eject.Healthy: event.TargetReadmitted}
	x.recordEvent(kinds[status], g, "")
}

func (x *exchange) recordEvent(kind event.Kind, g *grant, detail string) {
	e := event.Event{Kind: kind, Zone: x.proxy.Zone, Request: x.meta.id, Detail: detail}
	if g != nil {
		e.Instance = g.target.Name
	}
	x.proxy.RecordEvent(e)
}

func (x *exchange) mayRetry(r result) bool {
	f := retry.FailedAttempt{
		Attempts:   x.attempts,
		NotRun:     r.outcome == NotRun,
		Idempotent: x.meta.idempotent,
		Replayable: x.body.replayable(),
		Deadline:   x.meta.deadline,
		Expected:   x.dispatcher.expectedServiceTime(),
	}
	return x.r.Context().Err() == nil && f.MayRetry(time.Now()) && x.dispatcher.takeRetry()
}

func (x *exchange) discardResponse(r result) {
	if r.response != nil {
		_ = r.response.Body.Close() // the response is a refusal that is not forwarded
	}
}

// finishAttempt forwards a target's response and releases the grant.
func (x *exchange) finishAttempt(g *grant, r result) {
	complete := x.forwardResponse(r.response)
	e := flow.Succeeded
	switch {
	case r.response.StatusCode >= http.StatusInternalServerError:
		e = flow.Failed
	case !complete && x.r.Context().Err() != nil:
		e = flow.Inconclusive
	case !complete:
		e = flow.Failed
	}
	x.release(g, e)
	if !complete {
		x.recordEvent(event.RequestUnknown, g, "the response was truncated")
		panic(http.ErrAbortHandler) // aborting is the only way to tell the caller that a response in progress is incomplete
	}
}

// reportFailure tells the caller about the last attempt, which has no response to forward.
func (x *exchange) reportFailure(r result) {
	x.discardResponse(r)
	if x.reportedOutcome(r.outcome) == NotRun {
		x.refuse(http.StatusServiceUnavailable, NotRun, ReasonTargetFailed, "no target took the request")
		return
	}
	status := http.StatusBadGateway
	if errors.Is(r.err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	x.recordEvent(event.RequestUnknown, nil, fmt.Sprint(r.err))
	x.refuse(status, Unknown, ReasonTargetFailed, "a target may have carried out the request")
}

// handleNoTarget refuses a request that was granted no target, unless another entry accepts it.
func (x *exchange) handleNoTarget(ctx context.Context, reason Reason) {
	switch {
	case reason == reasonSpilled:
		return
	case x.mayHaveRun && !x.meta.idempotent:
		x.reportFailure(result{outcome: Unknown})
		return
	case x.maySpill(ctx, reason) && x.spill(ctx):
		return
	}
	x.refuse(http.StatusServiceUnavailable, NotRun, reason, "the request was not sent to a target")
}

func (x *exchange) maySpill(ctx context.Context, reason Reason) bool {
	return ctx.Err() == nil && (reason == ReasonNoTarget || reason == ReasonQueueFull || reason == ReasonDeadline)
}

// spill offers the request to other entries, which accept it only if they have a free slot, and reports whether the caller
// has been answered.
func (x *exchange) spill(ctx context.Context) bool {
	if x.meta.forwarding == forwardingSpill || x.mayHaveRun && !x.meta.idempotent || !x.body.replayable() {
		return false
	}
	for _, to := range x.table.spillOrder(x.meta.service) {
		x.dispatcher.updateCounters(func(c *Counters) { c.Spills++ })
		r := x.sendToPeer(ctx, to, forwardingSpill)
		switch {
		case r.response != nil && r.outcome == Done:
			x.dispatcher.updateCounters(func(c *Counters) { c.SpillsDone++ })
			if !x.forwardResponse(r.response) {
				panic(http.ErrAbortHandler) // the response in progress is incomplete
			}
			return true
		case r.outcome == Unknown && !x.meta.idempotent:
			x.reportFailure(r)
			return true
		}
		x.discardResponse(r)
		if ctx.Err() != nil || !x.body.replayable() {
			return false
		}
	}
	return false
}

// refuse answers a request that no target has answered.
func (x *exchange) refuse(status int, o Outcome, reason Reason, text string) {
	o = x.reportedOutcome(o)
	if x.needsClaim() {
		o = Unknown
	}
	x.recordResult(once.Result{Outcome: string(o), Status: status})
	x.countOutcome(o)
	h := x.w.Header()
	h.Set(HeaderOutcome, string(o))
	h.Set(HeaderReason, string(reason))
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(x.retryAfterSeconds()))
	}
	x.allowWrite()
	http.Error(x.w, fmt.Sprintf("Outcome=%s Reason=%s: %s", o, reason, text), status)
}

// retryAfterSeconds returns the estimated time to serve the current queue in whole seconds, at least 1.
func (x *exchange) retryAfterSeconds() int {
	if x.retryAfter > 0 {
		return int(math.Ceil(x.retryAfter.Seconds()))
	}
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
	x.dispatcher.updateCounters(func(c *Counters) {
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

// recordResult records the result under the claimed request id, if any.
func (x *exchange) recordResult(r once.Result) {
	if x.claimed {
		x.proxy.owners.finish(x.meta.id, r)
	}
}
