package audit

import (
	"fmt"
	"slices"
	"time"

	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
)

// Promise names one of the properties that always hold.
type Promise string

// The promises in their order.
const (
	WithinBudget    Promise = "WithinBudget"
	OnePool         Promise = "OnePool"
	WholeAnswer     Promise = "WholeAnswer"
	NotRunIsTrue    Promise = "NotRunIsTrue"
	AtMostOnce      Promise = "AtMostOnce"
	NoWorkOnLeaving Promise = "NoWorkOnLeaving"
	GracefulStop    Promise = "GracefulStop"
	ConfigInForce   Promise = "ConfigInForce"
)

// Promises lists all promises in their order.
var Promises = []Promise{WithinBudget, OnePool, WholeAnswer, NotRunIsTrue, AtMostOnce, NoWorkOnLeaving, GracefulStop, ConfigInForce}

// Bounds of the promises that speak of seconds.
const (
	LeavingBound = 3 * time.Second
	ConfigBound  = 4 * time.Second
)

// Call is one attempt of a caller.
type Call struct {
	ID         string // request id, the same for repeated attempts
	Nonce      string // unique to the attempt
	Service    string
	Entry      string
	Idempotent bool
	Sent       time.Time
	Ended      time.Time
	Outcome    string // Done, NotRun, Unknown, or Cut when the connection ended without an outcome
	Reason     string
	Answer     string // nonce in the answer
	Whole      bool
	Replayed   bool // the answer was kept from an earlier attempt with the same id
}

// Execution is one run of a request at a target.
type Execution struct {
	ID       string
	Nonce    string
	Service  string
	Instance string
	Started  time.Time
	Finished bool
}

// Version is one revision of a zone record and the time it was accepted.
type Version struct {
	At   time.Time
	Zone fleet.Zone
}

// Accepted is one accepted configuration and the time it was accepted.
type Accepted struct {
	At     time.Time
	Config *config.Config
}

// InForce says that an entry put a configuration in force.
type InForce struct {
	At       time.Time
	Entry    string
	Revision uint64
}

// Lifetime is the time during which an entry served; a zero End means that it still does.
type Lifetime struct {
	Entry    string
	Start    time.Time
	End      time.Time
	Graceful bool
}

// History is everything that was recorded.
type History struct {
	Calls      []Call
	Executions []Execution
	Versions   []Version // in the order they were accepted
	Configs    []Accepted
	InForce    []InForce
	Lifetimes  []Lifetime
	Outages    []Outage
}

// Outage is a time during which the platform delivered nothing.
type Outage struct {
	Start time.Time
	End   time.Time
}

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// Check returns every broken promise in a history.
func Check(h History) []Violation {
	var found []Violation
	add := func(p Promise, format string, arguments ...any) {
		found = append(found, Violation{p, fmt.Sprintf(format, arguments...)})
	}
	checkRecords(h, add)
	checkAnswers(h, add)
	checkRuns(h, add)
	checkLeaving(h, add)
	checkStops(h, add)
	checkConfigs(h, add)
	return found
}

// Count returns the number of violations of each promise.
func Count(violations []Violation) map[Promise]int {
	counts := make(map[Promise]int)
	for _, p := range Promises {
		counts[p] = 0
	}
	for _, v := range violations {
		counts[v.Promise]++
	}
	return counts
}

type report func(p Promise, format string, arguments ...any)

// ViewBound is the age of the oldest view of other zones that a planner may act on: one
// lease, after which another planner has fenced it off.
const ViewBound = 5 * time.Second

// records replays zone records in the order they were accepted.
type records struct {
	latest  map[string]fleet.Zone
	earlier map[string][]Version // by zone, in order
}

// missing returns the fewest missing instances of a pool that a zone's records showed within the view bound.
func (r *records) missing(c *config.Config, zone, pool string, at time.Time) int {
	target := fleet.Targets(c, zone)[pool]
	fewest := -1
	for _, v := range slices.Backward(r.earlier[zone]) {
		lacking := max(0, target-v.Zone.Available()[pool])
		if fewest < 0 || lacking < fewest {
			fewest = lacking
		}
		if v.At.Before(at.Add(-ViewBound)) {
			break
		}
	}
	return max(0, fewest)
}

// checkRecords replays all zone records in the order they were accepted.
func checkRecords(h History, add report) {
	r := records{latest: make(map[string]fleet.Zone), earlier: make(map[string][]Version)}
	for _, v := range h.Versions {
		before := r.latest[v.Zone.Name]
		r.latest[v.Zone.Name] = v.Zone
		r.earlier[v.Zone.Name] = append(r.earlier[v.Zone.Name], v)
		checkOnePool(r.latest, v, add)
		if c := configAt(h.Configs, v.Zone.ConfigRevision); c != nil {
			r.checkBudget(c, before, v, add)
		}
	}
}

func configAt(configs []Accepted, revision uint64) *config.Config {
	for _, a := range configs {
		if a.Config.Revision == revision {
			return a.Config
		}
	}
	return nil
}

func checkOnePool(latest map[string]fleet.Zone, v Version, add report) {
	seen := make(map[string]string)
	for zone, z := range latest {
		for _, i := range z.Instances {
			if other, twice := seen[i.Name]; twice {
				add(OnePool, "instance %s stands in records of %s and %s at %s", i.Name, other, zone, v.At)
			}
			seen[i.Name] = zone
			if i.Pool == "" {
				add(OnePool, "instance %s is in no pool at %s", i.Name, v.At)
			}
		}
	}
}

// checkBudget verifies that no voluntary change leaves a pool with more missing instances than its budget.
// Failures in other zones count once a planner must have seen them.
func (r *records) checkBudget(c *config.Config, before fleet.Zone, v Version, add report) {
	if before.Revision == 0 {
		return
	}
	sizes := c.PoolSizes()
	for _, p := range c.Pools {
		if p.Spare || !lostVoluntarily(p.Name, before, v.Zone) {
			continue
		}
		missing := max(0, fleet.Targets(c, v.Zone.Name)[p.Name]-v.Zone.Available()[p.Name])
		for name := range r.latest {
			if name != v.Zone.Name {
				missing += r.missing(c, name, p.Name, v.At)
			}
		}
		if limit := p.Budget.Limit(sizes[p.Name]); missing > limit {
			add(WithinBudget, "pool %s misses %d instances with a budget of %d after zone %s revision %d", p.Name, missing, limit, v.Zone.Name, v.Zone.Revision)
		}
	}
}

// lostVoluntarily reports whether a revision takes capacity from a pool by decision and not by failure.
func lostVoluntarily(pool string, before, after fleet.Zone) bool {
	if after.Available()[pool] >= before.Available()[pool] {
		return false
	}
	for _, i := range after.Instances {
		old := before.Find(i.Name)
		if old != nil && old.Pool == pool && old.State.AcceptsWork() && (i.State.Draining() || i.Pool != pool) {
			return true
		}
	}
	return false
}

func checkAnswers(h History, add report) {
	for _, c := range h.Calls {
		if c.Outcome != "Done" || c.Replayed {
			continue
		}
		if !c.Whole {
			add(WholeAnswer, "call %s got a cut answer as Done", c.Nonce)
		}
		if c.Answer != c.Nonce {
			add(WholeAnswer, "call %s got the answer to %s", c.Nonce, c.Answer)
		}
	}
}

func checkRuns(h History, add report) {
	byNonce := make(map[string]int)
	byID := make(map[string]int)
	for _, e := range h.Executions {
		byNonce[e.Nonce]++
		byID[e.ID]++
	}
	counted := make(map[string]bool)
	for _, c := range h.Calls {
		if c.Outcome == "NotRun" && byNonce[c.Nonce] > 0 {
			add(NotRunIsTrue, "call %s was refused as NotRun and ran %d times", c.Nonce, byNonce[c.Nonce])
		}
		if c.Outcome == "NotRun" && !c.Idempotent && c.ID != "" && ranBefore(h, c) {
			add(NotRunIsTrue, "call %s was refused as NotRun although its id %s had run", c.Nonce, c.ID)
		}
		if !c.Idempotent && c.ID != "" && byID[c.ID] > 1 && !counted[c.ID] {
			counted[c.ID] = true
			add(AtMostOnce, "id %s ran %d times", c.ID, byID[c.ID])
		}
	}
}

func ranBefore(h History, c Call) bool {
	return slices.ContainsFunc(h.Executions, func(e Execution) bool {
		return e.ID == c.ID && e.Started.Before(c.Sent)
	})
}

// checkLeaving finds executions that began on an instance too long after it stopped accepting work,
// or for a service whose pool the instance had left.
func checkLeaving(h History, add report) {
	type change struct {
		at      time.Time
		accepts bool
		pool    string
	}
	changes := make(map[string][]change)
	for _, v := range h.Versions {
		for _, i := range v.Zone.Instances {
			changes[i.Name] = append(changes[i.Name], change{v.At, i.State.AcceptsWork() || i.State == fleet.Failed, i.Pool})
		}
	}
	for _, e := range h.Executions {
		var now change
		for _, c := range changes[e.Instance] {
			if c.at.After(e.Started) {
				break
			}
			if c.accepts != now.accepts || c.pool != now.pool {
				now = c
			}
		}
		if now.at.IsZero() || e.Started.Sub(now.at) <= LeavingBound {
			continue
		}
		if !now.accepts {
			add(NoWorkOnLeaving, "instance %s got %s %s after it was marked", e.Instance, e.Nonce, e.Started.Sub(now.at))
		}
		if service := serviceOf(h.Configs, now.pool); service != "" && service != e.Service {
			add(OnePool, "instance %s of pool %s ran %s for service %s", e.Instance, now.pool, e.Nonce, e.Service)
		}
	}
}

func serviceOf(configs []Accepted, pool string) string {
	if len(configs) == 0 {
		return ""
	}
	p, _ := configs[len(configs)-1].Config.FindPool(pool)
	return p.Service
}

// checkStops finds calls that were cut at an entry that stopped as planned.
func checkStops(h History, add report) {
	for _, l := range h.Lifetimes {
		if !l.Graceful || l.End.IsZero() {
			continue
		}
		for _, c := range h.Calls {
			if c.Entry == l.Entry && c.Outcome == "Cut" && c.Sent.After(l.Start) && c.Sent.Before(l.End) {
				add(GracefulStop, "call %s was cut at entry %s, which stopped as planned", c.Nonce, l.Entry)
			}
		}
	}
}

// checkConfigs verifies that revisions never go back and are in force everywhere in time.
func checkConfigs(h History, add report) {
	last := make(map[string]uint64)
	for _, f := range h.InForce {
		if f.Revision < last[f.Entry] {
			add(ConfigInForce, "entry %s went back from revision %d to %d", f.Entry, last[f.Entry], f.Revision)
		}
		last[f.Entry] = f.Revision
	}
	for _, a := range h.Configs {
		for _, l := range h.Lifetimes {
			if l.Start.After(a.At) || !l.End.IsZero() && l.End.Before(a.At.Add(ConfigBound)) || duringOutage(h.Outages, a.At) {
				continue
			}
			if took, found := forceDelay(h, l.Entry, a); !found || took > ConfigBound {
				add(ConfigInForce, "revision %d was not in force on entry %s within %s", a.Config.Revision, l.Entry, ConfigBound)
			}
		}
	}
}

// forceDelay returns how long an entry took to put a revision, or a newer one, in force, and whether it ever did.
//
// An entry may see a revision before its publisher learns that it was accepted.
func forceDelay(h History, entry string, a Accepted) (time.Duration, bool) {
	for _, f := range h.InForce {
		if f.Entry == entry && f.Revision >= a.Config.Revision {
			return max(0, f.At.Sub(a.At)), true
		}
	}
	return 0, false
}

func duringOutage(outages []Outage, at time.Time) bool {
	return slices.ContainsFunc(outages, func(o Outage) bool {
		return at.Add(ConfigBound).After(o.Start) && at.Before(o.End)
	})
}

// SlowestConfig returns the longest time from acceptance to the last entry.
func SlowestConfig(h History) time.Duration {
	var slowest time.Duration
	for _, a := range h.Configs {
		for _, l := range h.Lifetimes {
			if l.Start.Before(a.At) && (l.End.IsZero() || l.End.After(a.At.Add(ConfigBound))) {
				took, _ := forceDelay(h, l.Entry, a)
				slowest = max(slowest, took)
			}
		}
	}
	return slowest
}

// LastNewWork returns the longest time from an instance's mark to a new execution while it emptied.
func LastNewWork(h History) time.Duration {
	type span struct{ from, to time.Time }
	spans := make(map[string][]span)
	for _, v := range h.Versions {
		for _, i := range v.Zone.Instances {
			open := spans[i.Name]
			isOpen := len(open) > 0 && open[len(open)-1].to.IsZero()
			switch {
			case i.State.Draining() && !isOpen:
				spans[i.Name] = append(open, span{from: v.At})
			case isOpen && !i.State.Draining():
				open[len(open)-1].to = v.At
			}
		}
	}
	var longest time.Duration
	for _, e := range h.Executions {
		for _, s := range spans[e.Instance] {
			if e.Started.After(s.from) && (s.to.IsZero() || e.Started.Before(s.to)) {
				longest = max(longest, e.Started.Sub(s.from))
			}
		}
	}
	return longest
}
