package audit

import (
	"fmt"
	"slices"
	"time"

	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
)

// Invariant is the name of an invariant: a property that every history of the system must have.
type Invariant string

// Invariants that Check verifies.
const (
	// WithinBudget means that no planned change leaves a pool with more missing instances than its budget allows.
	WithinBudget Invariant = "WithinBudget"
	// OnePool means that an instance belongs to exactly one pool and executes requests of that pool's service only.
	OnePool Invariant = "OnePool"
	// WholeAnswer means that a caller that gets Done has the complete answer to its own request.
	WholeAnswer Invariant = "WholeAnswer"
	// NotRunIsTrue means that a request that was refused as NotRun was not executed.
	NotRunIsTrue Invariant = "NotRunIsTrue"
	// AtMostOnce means that a request that is not idempotent and has an id is executed at most once.
	AtMostOnce Invariant = "AtMostOnce"
	// NoWorkOnLeaving means that an instance starts no request later than MaxNewWorkDelay after it stopped accepting work.
	NoWorkOnLeaving Invariant = "NoWorkOnLeaving"
	// GracefulStop means that an entry cuts no call during a planned shutdown.
	GracefulStop Invariant = "GracefulStop"
	// ConfigInForce means that each entry puts an accepted configuration in force within MaxConfigDelay,
	// and never goes back to an older one.
	ConfigInForce Invariant = "ConfigInForce"
)

// Invariants lists all invariants in the order of their declaration.
var Invariants = []Invariant{WithinBudget, OnePool, WholeAnswer, NotRunIsTrue, AtMostOnce, NoWorkOnLeaving, GracefulStop, ConfigInForce}

// Time limits of the invariants NoWorkOnLeaving and ConfigInForce.
const (
	MaxNewWorkDelay = 3 * time.Second
	MaxConfigDelay  = 4 * time.Second
)

// Call is one attempt of a caller to have a request executed.
type Call struct {
	ID         string // request id, shared by all attempts of one request
	Nonce      string // unique to the attempt
	Service    string
	Entry      string
	Idempotent bool
	Sent       time.Time
	Ended      time.Time
	Outcome    string // Done, NotRun, Unknown, or Cut when the connection ended without an outcome
	Reason     string
	Answer     string // nonce found in the answer
	Complete   bool   `json:"Whole"` // the answer arrived completely
	Replayed   bool   // the answer is the stored one of an earlier attempt with the same id
}

// Execution is one execution of a request by a target.
type Execution struct {
	ID       string
	Nonce    string
	Service  string
	Instance string
	Started  time.Time
	Finished bool
}

// ZoneVersion is one revision of a zone record and the time it was accepted.
type ZoneVersion struct {
	At   time.Time
	Zone fleet.Zone
}

// AcceptedConfig is one accepted configuration and the time it was accepted.
type AcceptedConfig struct {
	At     time.Time
	Config *config.Config
}

// ConfigActivation records that an entry put a configuration revision in force.
type ConfigActivation struct {
	At       time.Time
	Entry    string
	Revision uint64
}

// Lifetime is the time during which an entry served; a zero End means that it is still serving.
type Lifetime struct {
	Entry    string
	Start    time.Time
	End      time.Time
	Graceful bool // a planned shutdown, not a crash
}

// History holds all events that were recorded during a test run.
type History struct {
	Calls      []Call
	Executions []Execution
	Versions   []ZoneVersion // in the order they were accepted
	Configs    []AcceptedConfig
	InForce    []ConfigActivation
	Lifetimes  []Lifetime
	Outages    []Outage
}

// Outage is a time during which the platform delivered no data to the entries.
type Outage struct {
	Start time.Time
	End   time.Time
}

// Violation is one case in which an invariant does not hold.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Check returns all violations found in a history.
func Check(h History) []Violation {
	var found []Violation
	add := func(broken Invariant, format string, arguments ...any) {
		found = append(found, Violation{broken, fmt.Sprintf(format, arguments...)})
	}
	checkZoneRecords(h, add)
	checkAnswers(h, add)
	checkExecutions(h, add)
	checkNewWork(h, add)
	checkGracefulStops(h, add)
	checkConfigDelays(h, add)
	return found
}

// CountByInvariant returns the number of violations by invariant, with a zero for each invariant that holds.
func CountByInvariant(violations []Violation) map[Invariant]int {
	counts := make(map[Invariant]int)
	for _, invariant := range Invariants {
		counts[invariant] = 0
	}
	for _, v := range violations {
		counts[v.Invariant]++
	}
	return counts
}

type reportFunc func(broken Invariant, format string, arguments ...any)

// MaxViewAge is the maximum age of the view of other zones that a planner may act on.
// It is one lease duration: a planner whose lease has expired is fenced off by its successor.
const MaxViewAge = 5 * time.Second

// zoneRecords is the state of a replay of the zone records.
type zoneRecords struct {
	current  map[string]fleet.Zone
	versions map[string][]ZoneVersion // by zone, in the order they were accepted
}

// leastMissing returns the lowest number of missing instances of a pool that any record of the zone showed
// between MaxViewAge before at and at.
func (r *zoneRecords) leastMissing(c *config.Config, zone, pool string, at time.Time) int {
	target := fleet.Targets(c, zone)[pool]
	fewest := -1
	for _, v := range slices.Backward(r.versions[zone]) {
		missing := max(0, target-v.Zone.Available()[pool])
		if fewest < 0 || missing < fewest {
			fewest = missing
		}
		if v.At.Before(at.Add(-MaxViewAge)) {
			break
		}
	}
	return max(0, fewest)
}

// checkZoneRecords replays the zone records in the order they were accepted and checks OnePool and WithinBudget after each.
func checkZoneRecords(h History, add reportFunc) {
	r := zoneRecords{current: make(map[string]fleet.Zone), versions: make(map[string][]ZoneVersion)}
	for _, v := range h.Versions {
		before := r.current[v.Zone.Name]
		r.current[v.Zone.Name] = v.Zone
		r.versions[v.Zone.Name] = append(r.versions[v.Zone.Name], v)
		checkOnePool(r.current, v, add)
		if c := configAt(h.Configs, v.Zone.ConfigRevision); c != nil {
			r.checkBudget(c, before, v, add)
		}
	}
}

func configAt(configs []AcceptedConfig, revision uint64) *config.Config {
	for _, a := range configs {
		if a.Config.Revision == revision {
			return a.Config
		}
	}
	return nil
}

func checkOnePool(current map[string]fleet.Zone, v ZoneVersion, add reportFunc) {
	seen := make(map[string]string)
	for zone, z := range current {
		for _, i := range z.Instances {
			if other, twice := seen[i.Name]; twice {
				add(OnePool, "instance %s is in the records of both %s and %s at %s", i.Name, other, zone, v.At)
			}
			seen[i.Name] = zone
			if i.Pool == "" {
				add(OnePool, "instance %s is in no pool at %s", i.Name, v.At)
			}
		}
	}
}

// checkBudget reports a planned change that leaves a pool with more missing instances than its budget allows.
// Failures in other zones count only when they are older than MaxViewAge, since a planner may not have seen newer ones.
func (r *zoneRecords) checkBudget(c *config.Config, before fleet.Zone, v ZoneVersion, add reportFunc) {
	if before.Revision == 0 {
		return
	}
	sizes := c.PoolSizes()
	for _, p := range c.Pools {
		if p.Spare || !removedVoluntarily(p.Name, before, v.Zone) {
			continue
		}
		missing := max(0, fleet.Targets(c, v.Zone.Name)[p.Name]-v.Zone.Available()[p.Name])
		for name := range r.current {
			if name != v.Zone.Name {
				missing += r.leastMissing(c, name, p.Name, v.At)
			}
		}
		if limit := p.Budget.Limit(sizes[p.Name]); missing > limit {
			add(WithinBudget, "pool %s lacks %d instances with a budget of %d after zone %s revision %d", p.Name, missing, limit, v.Zone.Name, v.Zone.Revision)
		}
	}
}

// removedVoluntarily reports whether a revision takes capacity from a pool by a decision of the planner,
// not only because instances failed.
func removedVoluntarily(pool string, before, after fleet.Zone) bool {
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

func checkAnswers(h History, add reportFunc) {
	for _, c := range h.Calls {
		if c.Outcome != "Done" || c.Replayed {
			continue
		}
		if !c.Complete {
			add(WholeAnswer, "call %s got outcome Done with an incomplete answer", c.Nonce)
		}
		if c.Answer != c.Nonce {
			add(WholeAnswer, "call %s got the answer to call %s", c.Nonce, c.Answer)
		}
	}
}

func checkExecutions(h History, add reportFunc) {
	byNonce := make(map[string]int)
	byID := make(map[string]int)
	for _, e := range h.Executions {
		byNonce[e.Nonce]++
		byID[e.ID]++
	}
	counted := make(map[string]bool)
	for _, c := range h.Calls {
		if c.Outcome == "NotRun" && byNonce[c.Nonce] > 0 {
			add(NotRunIsTrue, "call %s was refused as NotRun but was executed %d times", c.Nonce, byNonce[c.Nonce])
		}
		if c.Outcome == "NotRun" && !c.Idempotent && c.ID != "" && executedBefore(h, c) {
			add(NotRunIsTrue, "call %s was refused as NotRun but a request with its id %s had been executed", c.Nonce, c.ID)
		}
		if !c.Idempotent && c.ID != "" && byID[c.ID] > 1 && !counted[c.ID] {
			counted[c.ID] = true
			add(AtMostOnce, "id %s was executed %d times", c.ID, byID[c.ID])
		}
	}
}

func executedBefore(h History, c Call) bool {
	return slices.ContainsFunc(h.Executions, func(e Execution) bool {
		return e.ID == c.ID && e.Started.Before(c.Sent)
	})
}

// checkNewWork reports executions that started later than MaxNewWorkDelay after the instance stopped accepting work
// or was moved to a pool of another service.
func checkNewWork(h History, add reportFunc) {
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
		var current change
		for _, c := range changes[e.Instance] {
			if c.at.After(e.Started) {
				break
			}
			if c.accepts != current.accepts || c.pool != current.pool {
				current = c
			}
		}
		if current.at.IsZero() || e.Started.Sub(current.at) <= MaxNewWorkDelay {
			continue
		}
		if !current.accepts {
			add(NoWorkOnLeaving, "instance %s started request %s %s after it stopped accepting work", e.Instance, e.Nonce, e.Started.Sub(current.at))
		}
		if service := serviceOf(h.Configs, current.pool); service != "" && service != e.Service {
			add(OnePool, "instance %s of pool %s executed request %s of service %s", e.Instance, current.pool, e.Nonce, e.Service)
		}
	}
}

func serviceOf(configs []AcceptedConfig, pool string) string {
	if len(configs) == 0 {
		return ""
	}
	p, _ := configs[len(configs)-1].Config.FindPool(pool)
	return p.Service
}

// checkGracefulStops reports calls that were cut at an entry during a planned shutdown.
func checkGracefulStops(h History, add reportFunc) {
	for _, l := range h.Lifetimes {
		if !l.Graceful || l.End.IsZero() {
			continue
		}
		for _, c := range h.Calls {
			if c.Entry == l.Entry && c.Outcome == "Cut" && c.Sent.After(l.Start) && c.Sent.Before(l.End) {
				add(GracefulStop, "call %s was cut during the planned shutdown of entry %s", c.Nonce, l.Entry)
			}
		}
	}
}

// checkConfigDelays reports entries that went back to an older revision, or did not have a revision in force
// within MaxConfigDelay. Revisions accepted shortly before or during an outage have no limit.
func checkConfigDelays(h History, add reportFunc) {
	last := make(map[string]uint64)
	for _, f := range h.InForce {
		if f.Revision < last[f.Entry] {
			add(ConfigInForce, "entry %s went back from revision %d to %d", f.Entry, last[f.Entry], f.Revision)
		}
		last[f.Entry] = f.Revision
	}
	for _, a := range h.Configs {
		for _, l := range h.Lifetimes {
			if l.Start.After(a.At) || !l.End.IsZero() && l.End.Before(a.At.Add(MaxConfigDelay)) || duringOutage(h.Outages, a.At) {
				continue
			}
			if delay, found := activationDelay(h, l.Entry, a); !found || delay > MaxConfigDelay {
				add(ConfigInForce, "revision %d was not in force on entry %s within %s", a.Config.Revision, l.Entry, MaxConfigDelay)
			}
		}
	}
}

// activationDelay returns how long an entry took to put a revision, or a newer one, in force, and whether it ever did.
//
// The delay is 0 when the entry saw the revision before the publisher learned that it was accepted.
func activationDelay(h History, entry string, a AcceptedConfig) (time.Duration, bool) {
	for _, f := range h.InForce {
		if f.Entry == entry && f.Revision >= a.Config.Revision {
			return max(0, f.At.Sub(a.At)), true
		}
	}
	return 0, false
}

func duringOutage(outages []Outage, at time.Time) bool {
	return slices.ContainsFunc(outages, func(o Outage) bool {
		return at.Add(MaxConfigDelay).After(o.Start) && at.Before(o.End)
	})
}

// LongestConfigDelay returns the longest time that any entry took to put an accepted configuration in force.
// Entries that never did so count as 0; Check reports them.
func LongestConfigDelay(h History) time.Duration {
	var slowest time.Duration
	for _, a := range h.Configs {
		for _, l := range h.Lifetimes {
			if l.Start.Before(a.At) && (l.End.IsZero() || l.End.After(a.At.Add(MaxConfigDelay))) {
				delay, _ := activationDelay(h, l.Entry, a)
				slowest = max(slowest, delay)
			}
		}
	}
	return slowest
}

// LongestNewWorkDelay returns the longest time from the start of an instance's drain to the start of an execution during the drain.
func LongestNewWorkDelay(h History) time.Duration {
	type span struct{ from, to time.Time }
	spans := make(map[string][]span)
	for _, v := range h.Versions {
		for _, i := range v.Zone.Instances {
			drains := spans[i.Name]
			isOpen := len(drains) > 0 && drains[len(drains)-1].to.IsZero()
			switch {
			case i.State.Draining() && !isOpen:
				spans[i.Name] = append(drains, span{from: v.At})
			case isOpen && !i.State.Draining():
				drains[len(drains)-1].to = v.At
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
