package event

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStampsFollowObservedStampsAfterWallClockSteps(t *testing.T) {
	var a, b Clock
	observed := a.Next(start.Add(time.Minute))
	b.Observe(observed, start, time.Hour)
	must.Positive(t, b.Next(start).Compare(observed))
	must.Positive(t, b.Next(start.Add(-time.Minute)).Compare(observed))
}

func TestClockIgnoresStampsFarAhead(t *testing.T) {
	var c Clock
	c.Observe(Stamp{Wall: start.Add(time.Hour)}, start, time.Minute)
	must.Eq(t, start, c.Next(start).Wall)
}

func TestTrafficEventsNeverEvictControlEvents(t *testing.T) {
	l := Log{Entry: "e", Limit: 4}
	l.Add(start, Event{Kind: ConfigInForce, Revision: 1})
	for range 100 {
		l.Add(start, Event{Kind: RequestUnknown})
	}
	events := l.Events()
	must.Len(t, 5, events)
	must.Eq(t, ConfigInForce, events[0].Kind)
}

func TestMergeKeepsCausalOrder(t *testing.T) {
	a, b := Log{Entry: "a"}, Log{Entry: "b"}
	first := a.Add(start.Add(time.Second), Event{Kind: EntryStarted})
	b.Observe(first.Stamp, start, time.Minute)
	b.Add(start, Event{Kind: EntryStopping})
	merged := Merge(b.Events(), a.Events())
	must.Eq(t, []string{"a", "b"}, []string{merged[0].Entry, merged[1].Entry})
}
