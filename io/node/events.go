package node

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"daisysaddle/core/sched"
)

// Rate limit of the log. The busiest entry writes about 500 lines per second.
const (
	logLinesPerSecond = 1000
	logBurstLines     = 2000
)

// eventLog limits the rate of the lines that logLimited begins.
type eventLog struct {
	limiter *rate.Limiter
}

func newEventLog() eventLog { return eventLog{rate.NewLimiter(logLinesPerSecond, logBurstLines)} }

// log begins a line that is always written, for rare events such as a start, a stop or a change of the owner.
func (n *Node) log(event string) *zerolog.Event { return n.Log.Info().Str("Event", event) }

// logLimited begins a line for an event that may happen with each request or task. Beyond the rate limit it counts the line as
// dropped and returns nil, a zerolog event that writes nothing.
func (n *Node) logLimited(event string) *zerolog.Event {
	if !n.eventLog.limiter.Allow() {
		n.metrics.droppedLines.Inc()
		return nil
	}
	return n.log(event)
}

// CountDroppedLines counts log lines that the log writer dropped because its reader was slow.
func (n *Node) CountDroppedLines(lines int) { n.metrics.droppedLines.Add(float64(lines)) }

// RecordSkipped logs a part of a record or an answer that was left out because it can't be read.
func (n *Node) RecordSkipped(key string, cause error) {
	n.logLimited("RecordSkipped").Str("Key", key).Err(cause).Send()
}

// RecordAnswer records the answer to a caller's request. It logs only refusals and failures, since accepted jobs are logged
// elsewhere.
func (n *Node) RecordAnswer(method, queue, id string, status int, v Verdict, took time.Duration) {
	method, id = knownMethod(method), shorten(id)
	n.metrics.requests.WithLabelValues(method, strconv.Itoa(status)).Observe(took.Seconds())
	if status < firstErrorStatus {
		return
	}
	n.logLimited("Answer").Str("Job", id).Str("Queue", queue).Str("Method", method).Int("Status", status).
		Str("Outcome", string(v.Outcome)).Str("Reason", v.Reason).Dur("RetryAfter", v.RetryAfter).Dur("Took", took).
		Dur("StoreDownFor", n.Store.DownFor(time.Now())).Uint64("Owner", n.ownerRevision()).Int64("Config", n.configVersion()).Send()
}

const firstErrorStatus = 400

// otherMethod stands for each method that no request to the job service has, so that callers can't add time series.
const otherMethod = "Other"

func knownMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return otherMethod
}

// maxLoggedBytes is the length of a text of a caller from which it is cut in the log. Lines wait in memory while their reader is slow.
const maxLoggedBytes = 100

// shorten returns a copy of the beginning of a text that is too long for the log, and other texts as they are.
func shorten(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedBytes], "") + "..."
}

func (n *Node) ownerRevision() uint64 {
	if o := n.owner.Load(); o != nil {
		return o.revision
	}
	return 0
}

func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

func (n *Node) logDecision(token uint64, decision sched.Decision) {
	n.metrics.decisions.WithLabelValues(decision.Kind).Inc()
	if decision.Cause != "" {
		n.metrics.taskCopies.WithLabelValues(decision.Kind, decision.Queue, decision.Cause).Inc()
	}
	n.logLimited(decision.Kind).Str("Job", decision.Job).Int("Occurrence", decision.Task.Occurrence).Int("Step", decision.Task.Step).Int("Index", decision.Task.Index).
		Str("Worker", decision.Worker).Str("Reason", decision.Reason).Int64("Run", decision.Run).Uint64("Fence", token).Send()
}
