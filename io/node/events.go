package node

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"daisysaddle/core/sched"
)

// Bounds of the log's volume; the busiest entry measured writes some 500 lines a second.
const (
	logLines = 1000 // a second
	logBurst = 2000
)

// events writes one structured line for each decision, up to a rate.
type events struct {
	limiter *rate.Limiter
}

func newEvents() events { return events{rate.NewLimiter(logLines, logBurst)} }

// log begins a line that is always written: starts, stops, changes of belief.
func (n *Node) log(event string) *zerolog.Event { return n.Log.Info().Str("Event", event) }

// often begins a line that may come with each request or task; it is nil, and costs nothing, beyond the rate.
func (n *Node) often(event string) *zerolog.Event {
	if !n.events.limiter.Allow() {
		n.metrics.dropped.Inc()
		return nil
	}
	return n.log(event)
}

// Dropped counts lines that the writer dropped because its reader was slow.
func (n *Node) Dropped(lines int) { n.metrics.dropped.Add(float64(lines)) }

// Answered records how a caller's request ended; only refusals and failures are logged, since what was
// accepted has a line of its own.
func (n *Node) Answered(method, queue, id string, status int, v Verdict, took time.Duration) {
	n.metrics.requests.WithLabelValues(method, strconv.Itoa(status)).Observe(took.Seconds())
	if status < firstErrorStatus {
		return
	}
	n.often("Answer").Str("Job", id).Str("Queue", queue).Str("Method", method).Int("Status", status).
		Str("Outcome", string(v.Outcome)).Str("Reason", v.Reason).Dur("RetryAfter", v.RetryAfter).Dur("Took", took).
		Dur("StoreDownFor", n.Store.DownFor(time.Now())).Uint64("Owner", n.ownerRevision()).Int64("Config", n.configVersion()).Send()
}

const firstErrorStatus = 400

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

func (n *Node) logNote(fence uint64, note sched.Note) {
	n.metrics.decisions.WithLabelValues(note.What).Inc()
	n.often(note.What).Str("Job", note.Job).Int("Occurrence", note.Task.Occurrence).Int("Step", note.Task.Step).Int("Index", note.Task.Index).
		Str("Worker", note.Worker).Str("Reason", note.Reason).Int64("Run", note.Run).Uint64("Fence", fence).Send()
}
