package event

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	EntryStarted     Kind = "EntryStarted"
	EntryStopping    Kind = "EntryStopping"
	ConfigInForce    Kind = "ConfigInForce"
	ZoneInForce      Kind = "ZoneInForce"
	PlannerElected   Kind = "PlannerElected"
	PlannerLost      Kind = "PlannerLost"
	InstanceChanged  Kind = "InstanceChanged"
	InstanceHeld     Kind = "InstanceHeld" // a rule of the planner holds back an action on an instance
	SenderAdded      Kind = "SenderAdded"
	SenderRemoved    Kind = "SenderRemoved"
	AllowanceGiven   Kind = "AllowanceGiven" // one unit of allowance was transferred to another zone
	AllowanceTaken   Kind = "AllowanceTaken" // one unit of allowance was received from another zone
	PlatformDown     Kind = "PlatformDown"
	PlatformUp       Kind = "PlatformUp"
	TargetEjected    Kind = "TargetEjected"
	TargetTrial      Kind = "TargetTrial" // an ejected target gets trial requests
	TargetReadmitted Kind = "TargetReadmitted"
	ConnectionSilent Kind = "ConnectionSilent" // a connection to a target was aborted as silent
	CallersGuarded   Kind = "CallersGuarded"   // connections, requests or reads were closed or refused for lack of room
	RequestUnknown   Kind = "RequestUnknown"   // the outcome of a request is not known
)

// Event is one event in the log of an entry.
type Event struct {
	Stamp    Stamp
	Entry    string
	Kind     Kind
	Zone     string `json:",omitempty"`
	Instance string `json:",omitempty"`
	Pool     string `json:",omitempty"`
	Request  string `json:",omitempty"`
	Revision uint64 `json:",omitempty"`
	Detail   string `json:",omitempty"`
}

// String formats the event as one line of key=value pairs.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Time=%s.%d Entry=%s Kind=%s", e.Stamp.Wall.UTC().Format("2006-01-02T15:04:05.000Z"), e.Stamp.Logical, e.Entry, e.Kind)
	for _, pair := range [][2]string{{"Zone", e.Zone}, {"Instance", e.Instance}, {"Pool", e.Pool}, {"Request", e.Request}} {
		if pair[1] != "" {
			fmt.Fprintf(&b, " %s=%s", pair[0], pair[1])
		}
	}
	if e.Revision != 0 {
		fmt.Fprintf(&b, " Revision=%d", e.Revision)
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " Detail=%q", e.Detail)
	}
	return b.String()
}

// isTraffic reports whether events of this kind occur at a rate that grows with the request rate.
func (k Kind) isTraffic() bool {
	switch k {
	case RequestUnknown, CallersGuarded, ConnectionSilent, TargetEjected, TargetTrial, TargetReadmitted:
		return true
	default:
		return false
	}
}

// Log holds the newest events of one entry in bounded memory.
//
// Traffic events and control events are stored in separate buffers, so that traffic never evicts control events.
type Log struct {
	Entry string
	Limit int // maximum number of events in each buffer; zero means 2048

	clock   Clock
	control eventRing
	traffic eventRing
}

const defaultLimit = 2048

// eventRing is a ring buffer of the newest events.
type eventRing struct {
	events []Event
	next   int
}

func (r *eventRing) add(e Event, limit int) {
	if len(r.events) < limit {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % limit
}

func (r *eventRing) ordered() []Event {
	return append(slices.Clone(r.events[r.next:]), r.events[:r.next]...)
}

// Add stamps an event, stores it, and returns it; if its buffer is full, the event replaces the oldest one.
func (l *Log) Add(now time.Time, e Event) Event {
	e.Stamp = l.clock.Next(now)
	e.Entry = l.Entry
	limit := l.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	if e.Kind.isTraffic() {
		l.traffic.add(e, limit)
	} else {
		l.control.add(e, limit)
	}
	return e
}

// Observe advances the clock to a stamp received from another entry, unless the stamp is more than maxAhead after now.
func (l *Log) Observe(s Stamp, now time.Time, maxAhead time.Duration) {
	l.clock.Observe(s, now, maxAhead)
}

// Next returns a stamp for an outgoing message.
func (l *Log) Next(now time.Time) Stamp {
	return l.clock.Next(now)
}

// Events returns a copy of the stored events, oldest first.
func (l *Log) Events() []Event {
	return Merge(l.control.ordered(), l.traffic.ordered())
}

// Filter selects events; an empty field matches every event.
type Filter struct {
	Instance string
	Pool     string
	Request  string
}

// Match reports whether e passes the filter.
func (f Filter) Match(e Event) bool {
	matches := func(want, have string) bool { return want == "" || want == have }
	return matches(f.Instance, e.Instance) && matches(f.Pool, e.Pool) && matches(f.Request, e.Request)
}

// Merge merges the logs of several entries into causal order.
func Merge(logs ...[]Event) []Event {
	merged := slices.Concat(logs...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		return cmp.Compare(a.Entry, b.Entry)
	})
	return merged
}
