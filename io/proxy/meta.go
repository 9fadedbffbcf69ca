package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers between callers, entries and targets.
const (
	HeaderService    = "Daisysaddle-Service"
	HeaderTeam       = "Daisysaddle-Team"
	HeaderIdempotent = "Daisysaddle-Idempotent"
	HeaderTimeout    = "Request-Timeout"
	HeaderPriority   = "Priority"
	HeaderID         = "Idempotency-Key"
	HeaderOutcome    = "Daisysaddle-Outcome"
	HeaderReason     = "Daisysaddle-Reason"
	HeaderZone       = "Daisysaddle-Zone"
	HeaderAttempt    = "Daisysaddle-Attempt" // echoed by targets that can, to tie an answer to its request
	headerHop        = "Daisysaddle-Hop"
)

// Outcome is what the caller is told about its request.
type Outcome string

// Outcomes of a request.
const (
	Done    Outcome = "Done"
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Reason says why a request was not answered by a target.
type Reason string

// Reasons of a refusal.
const (
	ReasonBadRequest       Reason = "BadRequest"
	ReasonUnknownService   Reason = "UnknownService"
	ReasonNotReady         Reason = "NotReady"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonDeadline         Reason = "Deadline"
	ReasonNoTarget         Reason = "NoTarget"
	ReasonNoFreeSlot       Reason = "NoFreeSlot"
	ReasonTargetFailed     Reason = "TargetFailed"
	ReasonCancelled        Reason = "Cancelled"
	ReasonOwnerUnreachable Reason = "OwnerUnreachable"
	ReasonOwnerUncertain   Reason = "OwnerUncertain"
	ReasonDuplicate        Reason = "Duplicate"
	ReasonBodyTooLarge     Reason = "BodyTooLarge"
)

// hop says how a request came to this entry.
type hop string

const (
	hopNone  hop = ""
	hopOwner hop = "Owner" // forwarded to the owner of its request id
	hopSpill hop = "Spill" // forwarded because the first zone had no room
)

// meta is what the proxy knows about a request from its headers.
type meta struct {
	service    string
	team       string
	id         string
	urgent     bool
	idempotent bool
	deadline   time.Time
	hop        hop
}

const (
	maxIDLength    = 128
	urgentPriority = 1
	maxTimeout     = time.Hour
)

func parseMeta(r *http.Request, now time.Time, fallback func(service string) time.Duration) (meta, error) {
	m := meta{
		service:    serviceOf(r),
		team:       r.Header.Get(HeaderTeam),
		id:         strings.Trim(r.Header.Get(HeaderID), `"`),
		urgent:     isUrgent(r.Header.Get(HeaderPriority)),
		idempotent: idempotentMethod(r.Method),
	}
	if len(m.id) > maxIDLength {
		return m, errors.Newf("%s has %d characters: want at most %d", HeaderID, len(m.id), maxIDLength)
	}
	switch strings.ToLower(r.Header.Get(HeaderIdempotent)) {
	case "yes", "true":
		m.idempotent = true
	case "no", "false":
		m.idempotent = false
	case "":
	default:
		return m, errors.Newf("%s is %q: want yes or no", HeaderIdempotent, r.Header.Get(HeaderIdempotent))
	}
	timeout := fallback(m.service)
	if value := r.Header.Get(HeaderTimeout); value != "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
			return m, errors.Newf("%s is %q: want seconds, above 0 and at most %.0f", HeaderTimeout, value, maxTimeout.Seconds())
		}
		timeout = time.Duration(seconds * float64(time.Second))
	}
	m.deadline = now.Add(timeout)
	return m, nil
}

func serviceOf(r *http.Request) string {
	if name := r.Header.Get(HeaderService); name != "" {
		return name
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return host
}

// isUrgent reads the urgency parameter of RFC 9218.
func isUrgent(priority string) bool {
	for part := range strings.SplitSeq(priority, ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(part), "u="); found {
			urgency, err := strconv.Atoi(value)
			return err == nil && urgency <= urgentPriority
		}
	}
	return false
}

// idempotentMethod follows RFC 9110, section 9.2.2.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
