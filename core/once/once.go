package once

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// ClaimStatus tells the entry that owns a request id whether the request may run.
type ClaimStatus string

// Results of IDTable.Claim.
const (
	Run       ClaimStatus = "Run"       // the id is new: run the request
	Running   ClaimStatus = "Running"   // an earlier attempt is still running
	Finished  ClaimStatus = "Finished"  // an earlier attempt has ended
	Uncertain ClaimStatus = "Uncertain" // the request may have run already
	Full      ClaimStatus = "Full"      // the id is new, and there is no room for it
)

// size returns the memory that the result takes.
func (r Result) size() int64 {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name) + headerBytes
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// headerBytes is the memory of a header field beyond its text.
const headerBytes = 64

// Result is the response that a finished attempt returned to its caller.
type Result struct {
	Outcome      string
	Status       int
	Header       map[string][]string
	Body         []byte // empty if the body was too large to store
	BodyComplete bool   // whether Body is the whole body
}

type record struct {
	finished bool
	result   Result
	expires  time.Time
}

// IDTable holds the request ids that this entry owns, with the results of finished requests.
type IDTable struct {
	Window        time.Duration // age up to which an id can be claimed; ids are stored for at least twice as long
	MaxClockError time.Duration // maximum clock error between callers and entries
	Limit         int           // maximum number of stored ids; zero means DefaultLimit
	AnswerBytes   int64         // memory of stored responses, beyond which the oldest are dropped and their ids kept; zero means no limit

	records  map[string]*record
	finished []string // by time of their end, oldest first
	answers  []string // finished ones whose responses are stored, oldest first
	bytes    int64    // of stored responses
}

// DefaultLimit is the maximum number of ids that an IDTable stores when its Limit is zero.
const DefaultLimit = 100_000

// Claim claims an id and reports whether its request may run; the Result is set for Finished only. For an id that is not
// stored it returns Uncertain if the id may have been issued before ownedSince, when another entry owned it, or if it was issued
// more than Window ago, and Full if the table is full.
func (t *IDTable) Claim(now time.Time, id string, ownedSince time.Time) (ClaimStatus, Result) {
	t.expire(now)
	if r, known := t.records[id]; known {
		if r.finished {
			return Finished, r.result
		}
		return Running, Result{}
	}
	if t.mayHaveRun(now, id, ownedSince) {
		return Uncertain, Result{}
	}
	if len(t.records) >= t.limit() {
		return Full, Result{}
	}
	if t.records == nil {
		t.records = make(map[string]*record)
	}
	t.records[id] = &record{}
	return Run, Result{}
}

// mayHaveRun reports whether the request of an id that is not stored may have run: under an earlier owner of the id, or under
// this one before the id expired. An id that holds no time is taken for a new one after this entry has owned it for Window.
func (t *IDTable) mayHaveRun(now time.Time, id string, ownedSince time.Time) bool {
	issued, hasTime := IssuedAt(id)
	if !hasTime {
		return now.Before(ownedSince.Add(t.Window))
	}
	return issued.Before(ownedSince.Add(t.MaxClockError)) || issued.Before(now.Add(-t.Window))
}

func (t *IDTable) limit() int {
	if t.Limit == 0 {
		return DefaultLimit
	}
	return t.Limit
}

// Finish stores the result of a claimed request.
func (t *IDTable) Finish(now time.Time, id string, r Result) {
	rec, known := t.records[id]
	if !known || rec.finished {
		return
	}
	rec.finished, rec.result, rec.expires = true, r, now.Add(2*t.Window)
	t.finished = append(t.finished, id)
	if r.BodyComplete {
		t.answers = append(t.answers, id)
		t.bytes += r.size()
	}
	for t.AnswerBytes > 0 && t.bytes > t.AnswerBytes && len(t.answers) > 0 {
		t.dropAnswer()
	}
}

// dropAnswer drops the oldest stored response. What is left says that the request has ended.
func (t *IDTable) dropAnswer() {
	if rec, known := t.records[t.answers[0]]; known && rec.result.BodyComplete {
		t.bytes -= rec.result.size()
		rec.result.Body, rec.result.Header, rec.result.BodyComplete = nil, nil, false
	}
	t.answers = t.answers[1:]
}

// Release releases the claim on an id whose request is known not to have run.
func (t *IDTable) Release(id string) {
	if r, known := t.records[id]; known && !r.finished {
		delete(t.records, id)
	}
}

// Len returns the number of stored ids.
func (t *IDTable) Len() int { return len(t.records) }

// expire deletes the ids whose requests ended long ago. A request that is running holds up none.
func (t *IDTable) expire(now time.Time) {
	for len(t.finished) > 0 && !now.Before(t.records[t.finished[0]].expires) {
		for len(t.answers) > 0 && t.records[t.finished[0]].result.BodyComplete {
			t.dropAnswer()
		}
		delete(t.records, t.finished[0])
		t.finished = t.finished[1:]
	}
}

// FreeAt returns when the oldest stored id whose request has ended expires, or now if there is none.
func (t *IDTable) FreeAt(now time.Time) time.Time {
	if len(t.finished) == 0 {
		return now
	}
	return t.records[t.finished[0]].expires
}

// SplitZone splits an id of the form "zone:rest"; zone is empty for an id that names no zone.
func SplitZone(id string) (zone, rest string) {
	zone, rest, found := strings.Cut(id, ":")
	if !found {
		return "", id
	}
	return zone, rest
}

// IssuedAt returns the creation time of an id that is a version 7 UUID, with or without a zone, and whether it is one.
func IssuedAt(id string) (time.Time, bool) {
	_, rest := SplitZone(id)
	parsed, err := uuid.Parse(rest)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	var milliseconds int64
	for _, b := range parsed[:6] {
		milliseconds = milliseconds<<8 | int64(b)
	}
	return time.UnixMilli(milliseconds), true
}
