package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTableIsBounded checks that a full table refuses new ids, that running requests keep no others in it, and that stored responses stay in
// their memory while their ids are kept.
func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := IDTable{Window: time.Minute, Limit: 10, AnswerBytes: 300}
	claim := func(id string) ClaimStatus {
		s, _ := table.Claim(now, id, time.Time{})
		return s
	}
	must.Eq(t, Run, claim("running"))
	for i := range 9 {
		id := fmt.Sprint(i)
		must.Eq(t, Run, claim(id))
		table.Finish(now, id, Result{Outcome: "Done", BodyComplete: true, Body: make([]byte, 100)})
	}
	must.Eq(t, Full, claim("another"))
	must.Eq(t, now.Add(2*time.Minute), table.FreeAt(now))
	for i := range 9 {
		s, r := table.Claim(now, fmt.Sprint(i), time.Time{})
		must.Eq(t, Finished, s)
		must.Eq(t, i >= 6, r.BodyComplete)
	}
	now = now.Add(2 * time.Minute)
	must.Eq(t, Running, claim("running"))
	must.Eq(t, 1, table.Len())
	must.Zero(t, table.bytes)
	must.SliceEmpty(t, table.answers)
	must.Eq(t, Run, claim("another"))
	table.Release("another")
	must.Eq(t, 1, table.Len())
}
