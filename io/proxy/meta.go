package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Header fields exchanged between callers, entries and targets.
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
	HeaderAttempt    = "Daisysaddle-Attempt" // attempt id, which a target may echo so that the proxy can match the response to its request
	headerForwarding = "Daisysaddle-Hop"     // a forwarding; read only from other entries
)

// Outcome tells the caller whether its request has run.
type Outcome string

// Outcomes of a request.
const (
	Done    Outcome = "Done"    // a target answered the request
	NotRun  Outcome = "NotRun"  // the request certainly did not run
	Unknown Outcome = "Unknown" // the request may have run
)

// Reason says why a request was not answered by a target.
type Reason string

// Reasons for a refusal.
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
	ReasonBusy             Reason = "Busy"
	ReasonTooManyIDs       Reason = "TooManyIDs"
)

// forwarding is the reason why an entry forwards a request to another one.
type forwarding string

const (
	forwardingNone  forwarding = ""      // not forwarded: from a caller, or to a target
	forwardingOwner forwarding = "Owner" // to the owner of the request id
	forwardingSpill forwarding = "Spill" // to an entry that may run it sooner
)

// requestMeta holds what the header of a request says about it.
type requestMeta struct {
	service    string
	team       string
	id         string
	urgent     bool
	idempotent bool
	deadline   time.Time
	forwarding forwarding
}

const (
	maxIDLength    = 128
	maxUrgentLevel = 1
	maxTimeout     = time.Hour
)

func parseRequestMeta(r *http.Request, now time.Time, defaultTimeout func(service string) time.Duration) (requestMeta, error) {
	m := requestMeta{
		service:    serviceOf(r),
		team:       r.Header.Get(HeaderTeam),
		id:         strings.Trim(r.Header.Get(HeaderID), `"`),
		urgent:     isUrgent(r.Header.Get(HeaderPriority)),
		idempotent: isIdempotentMethod(r.Method),
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
	timeout := defaultTimeout(m.service)
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

// isUrgent reports whether the urgency parameter of a Priority header (RFC 9218) is at most maxUrgentLevel.
func isUrgent(priority string) bool {
	for part := range strings.SplitSeq(priority, ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(part), "u="); found {
			urgency, err := strconv.Atoi(value)
			return err == nil && urgency <= maxUrgentLevel
		}
	}
	return false
}

// isIdempotentMethod reports whether a method is idempotent according to RFC 9110, section 9.2.2.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
