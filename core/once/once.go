package once

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// Answer says what the owner of an id must do with a request.
type Answer string

// Answers of the memory.
const (
	Run       Answer = "Run"       // first seen: run it
	Running   Answer = "Running"   // an earlier attempt is still running
	Finished  Answer = "Finished"  // an earlier attempt has ended
	Uncertain Answer = "Uncertain" // an earlier owner may have run it
)

// Result is what an ended attempt told its caller.
type Result struct {
	Outcome string
	Status  int
	Header  map[string][]string
	Body    []byte // empty when the answer was too large to keep
	Kept    bool
}

type entry struct {
	done    bool
	result  Result
	expires time.Time
}

// Memory remembers the ids that this entry owns.
type Memory struct {
	Window time.Duration // how long an id is remembered
	Skew   time.Duration // largest clock error between callers and entries
	Limit  int           // ids remembered at once

	entries map[string]*entry
	order   []string
}

// DefaultLimit is the number of ids a memory holds when Limit is zero.
const DefaultLimit = 100_000

// Begin claims an id and says whether the request may run; ids issued before
// ownedSince may be known to an earlier owner only.
func (m *Memory) Begin(now time.Time, id string, ownedSince time.Time) (Answer, Result) {
	m.expire(now)
	if e, known := m.entries[id]; known {
		if e.done {
			return Finished, e.result
		}
		return Running, Result{}
	}
	if m.knownElsewhere(now, id, ownedSince) {
		return Uncertain, Result{}
	}
	if len(m.entries) >= m.limit() {
		return Uncertain, Result{}
	}
	if m.entries == nil {
		m.entries = make(map[string]*entry)
	}
	m.entries[id] = &entry{expires: now.Add(2 * m.Window)}
	m.order = append(m.order, id)
	return Run, Result{}
}

// knownElsewhere reports whether an earlier owner, or this one before it forgot, may have run the id.
func (m *Memory) knownElsewhere(now time.Time, id string, ownedSince time.Time) bool {
	issued, dated := IssuedAt(id)
	if !dated {
		return now.Before(ownedSince.Add(m.Window))
	}
	return issued.Before(ownedSince.Add(m.Skew)) || issued.Before(now.Add(-m.Window))
}

func (m *Memory) limit() int {
	if m.Limit == 0 {
		return DefaultLimit
	}
	return m.Limit
}

// End records how the claimed request ended.
func (m *Memory) End(id string, r Result) {
	if e, known := m.entries[id]; known {
		e.done = true
		e.result = r
	}
}

// Forget releases an id whose request surely did not run.
func (m *Memory) Forget(id string) {
	delete(m.entries, id)
}

// Len returns the number of remembered ids.
func (m *Memory) Len() int { return len(m.entries) }

func (m *Memory) expire(now time.Time) {
	for len(m.order) > 0 {
		e, known := m.entries[m.order[0]]
		if known && (!e.done || now.Before(e.expires)) {
			return
		}
		delete(m.entries, m.order[0])
		m.order = m.order[1:]
	}
}

// Split separates the zone that an id names, as in "zone:id".
func Split(id string) (zone, rest string) {
	zone, rest, found := strings.Cut(id, ":")
	if !found {
		return "", id
	}
	return zone, rest
}

// IssuedAt returns the time at which a version 7 UUID was made.
func IssuedAt(id string) (time.Time, bool) {
	_, rest := Split(id)
	u, err := uuid.Parse(rest)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	var milliseconds int64
	for _, b := range u[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds), true
}
