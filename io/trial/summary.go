package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisysaddle/core/audit"
	"daisysaddle/core/event"
)

// Summary is the result of a trial; Done, NotRun, Unknown and Cut count calls by outcome.
type Summary struct {
	Deployment       string
	Seed             uint64
	Duration         time.Duration
	Done             int
	NotRun           int
	Unknown          int
	Cut              int
	Executions       int
	Reasons          map[string]int // number of calls that have a reason, by OUTCOME.REASON
	Violations       map[audit.Invariant]int
	Details          []string
	BufferCost       float64       // slot-seconds of spare instances that accept work
	RollOutTime      time.Duration // longest retirement or move of an instance
	Unfinished       int           // retirements and moves that did not end
	Moves            uint64
	ConfigInForce    time.Duration // longest time from the acceptance of a configuration until an entry put it in force
	LastNewWork      time.Duration // longest time from the start of an instance's draining until its last new request
	P50, P99, P999   time.Duration // latencies of calls with the outcome Done
	OverSubscription int64         // requests that targets refused because no slot was free
}

const (
	maxLatencyMicroseconds   = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 3
	maxDetails               = 20
)

func (t *Trial) summarize(begin, end time.Time) Summary {
	t.recorder.Update(func(h *audit.History) {
		h.InForce = configsInForce(event.Merge(deduplicate(t.events)))
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, r := range t.entries {
			h.Lifetimes = append(h.Lifetimes, r.lifetime)
		}
	})
	h := t.recorder.History()
	if t.options.History != nil {
		_ = json.NewEncoder(t.options.History).Encode(h) // the summary is complete without the exported history
	}
	violations := audit.Check(h)
	s := Summary{Deployment: t.options.Deployment, Seed: t.options.Seed, Duration: end.Sub(begin), Executions: len(h.Executions), Violations: audit.CountByInvariant(violations), ConfigInForce: audit.LongestConfigDelay(h), LastNewWork: audit.LongestNewWorkDelay(h)}
	for _, v := range violations[:min(len(violations), maxDetails)] {
		s.Details = append(s.Details, fmt.Sprintf("%s: %s", v.Invariant, v.Detail))
	}
	s.RollOutTime, s.Unfinished = longestRollOut(h.Versions)
	s.BufferCost = t.bufferCost(h, begin, end)
	s.countCalls(h.Calls)
	lastMoves := make(map[string]uint64)
	for _, v := range h.Versions {
		lastMoves[v.Zone.Name] = v.Zone.Moves
	}
	for _, n := range lastMoves {
		s.Moves += n
	}
	for _, target := range t.targets {
		s.OverSubscription += target.OverSubscribed()
	}
	return s
}

// deduplicate removes repeated events, which occur because collectEvents reads whole timelines several times.
func deduplicate(events []event.Event) []event.Event {
	type key struct {
		stamp event.Stamp
		entry string
	}
	seen := make(map[key]bool)
	var unique []event.Event
	for _, e := range events {
		k := key{e.Stamp, e.Entry}
		if !seen[k] {
			seen[k] = true
			unique = append(unique, e)
		}
	}
	return unique
}

func (s *Summary) countCalls(calls []audit.Call) {
	s.Reasons = make(map[string]int)
	latencies := hdrhistogram.New(1, maxLatencyMicroseconds, latencySignificantDigits)
	for _, c := range calls {
		if c.Reason != "" {
			s.Reasons[c.Outcome+"."+c.Reason]++
		}
		switch c.Outcome {
		case "Done":
			s.Done++
			_ = latencies.RecordValue(int64(c.Ended.Sub(c.Sent) / time.Microsecond)) // deadlines keep the value in range
		case "NotRun":
			s.NotRun++
		case "Unknown":
			s.Unknown++
		default:
			s.Cut++
		}
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(latencies.ValueAtQuantile(q)) * time.Microsecond
	}
	s.P50, s.P99, s.P999 = quantile(50), quantile(99), quantile(99.9)
}

// bufferCost returns the slots of spare instances that accept work, integrated over time, in slot-seconds.
func (t *Trial) bufferCost(h audit.History, begin, end time.Time) float64 {
	cost := 0.0
	slots := make(map[string]float64)
	since := make(map[string]time.Time)
	accumulate := func(zone string, at time.Time) {
		if start := since[zone]; !start.IsZero() && at.After(start) {
			cost += slots[zone] * at.Sub(start).Seconds()
		}
	}
	for _, v := range h.Versions {
		at := v.At
		if at.Before(begin) {
			at = begin
		}
		accumulate(v.Zone.Name, at)
		since[v.Zone.Name] = at
		slots[v.Zone.Name] = 0
		for _, i := range v.Zone.Instances {
			p, _ := t.config.FindPool(i.Pool)
			instance, _ := t.config.FindInstance(i.Name)
			if p.Spare && i.State.AcceptsWork() {
				slots[v.Zone.Name] += float64(instance.Slots)
			}
		}
	}
	for zone := range since {
		accumulate(zone, end)
	}
	return cost
}

// Broken reports whether the history violates any invariant.
func (s Summary) Broken() bool {
	for _, n := range s.Violations {
		if n > 0 {
			return true
		}
	}
	return false
}

// Write writes the summary as lines of key=value pairs.
func (s Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "Deployment=%s Seed=%d Duration=%s\n", s.Deployment, s.Seed, s.Duration.Round(time.Millisecond))
	fmt.Fprintf(w, "Done=%d NotRun=%d Unknown=%d Cut=%d Executions=%d\n", s.Done, s.NotRun, s.Unknown, s.Cut, s.Executions)
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		fmt.Fprintf(w, "Refusal=%s Count=%d\n", reason, s.Reasons[reason])
	}
	for _, invariant := range audit.Invariants {
		fmt.Fprintf(w, "Promise=%s Violations=%d\n", invariant, s.Violations[invariant])
	}
	for _, d := range s.Details {
		fmt.Fprintf(w, "Violation=%q\n", d)
	}
	fmt.Fprintf(w, "BufferCost=%.0f RollOutTime=%s Unfinished=%d Moves=%d\n", s.BufferCost, s.RollOutTime.Round(time.Millisecond), s.Unfinished, s.Moves)
	fmt.Fprintf(w, "ConfigInForce=%s LastNewWork=%s OverSubscription=%d\n", s.ConfigInForce.Round(time.Millisecond), s.LastNewWork.Round(time.Millisecond), s.OverSubscription)
	fmt.Fprintf(w, "LatencyP50=%s LatencyP99=%s LatencyP999=%s\n", s.P50, s.P99, s.P999)
}
