package intake

import (
	"math"
	"time"
)

// Backlog is the unfinished batch work of one account in a pool.
type Backlog struct {
	Weight     float64
	OnTime     float64 // processor-seconds that run, or wait and can still end within their objectives
	Late       float64 // processor-seconds that wait and can't; they yield to the others
	Waiting    float64 // part of OnTime that waits for room only
	Processors float64 // processors that the account's cap leaves for the work; zero if there is no cap
}

// Load is the batch work of a pool by account.
type Load struct {
	Processors float64 // processors for batch work, less what packing leaves unused
	Free       float64 // processors that nothing takes and nothing waits for
	Arrivals   float64 // processor-seconds that jobs request per second, refused ones included
	Contended  bool    // the pool needs more machines than there are for it
	Accounts   map[string]Backlog
}

// drainTime returns how long an account's backlog takes at its weighted share of the processors. The others' backlogs are drained
// at their shares, and what they leave unused is shared again: when the account's backlog of W per weight is drained, each
// other account has received its own backlog, or W times its weight if that is less.
//
// What runs, and steps that wait for others, do not keep a new job waiting, since room becomes free all the time. They count only for an
// account that is loud, whose jobs would else take the room that the others need next.
func (l *Load) drainTime(of string, own Backlog, all bool) time.Duration {
	loud := l.loud(own)
	work := func(b Backlog) float64 {
		w := b.Waiting
		if loud {
			w = b.OnTime
		}
		if all {
			w += b.Late
		}
		return w
	}
	level := work(own) / own.Weight
	ahead := work(own)
	for name, b := range l.Accounts {
		if name != of {
			ahead += min(work(b), b.Weight*level)
		}
	}
	return seconds(ahead / l.Processors)
}

// loudLevel is the multiple of the mean backlog for its weight from which an account is loud.
const loudLevel = 2

// loud reports whether an account has far more work for its weight than the others.
func (l *Load) loud(own Backlog) bool {
	work, weight := 0.0, 0.0
	for _, b := range l.Accounts {
		work += b.OnTime
		weight += b.Weight
	}
	return weight > 0 && own.OnTime*weight > loudLevel*work*own.Weight
}

// share returns the processors that an account receives while all accounts with work compete.
func (l *Load) share(of string, own Backlog) float64 {
	weights := own.Weight
	for name, b := range l.Accounts {
		if name != of && b.OnTime+b.Late > 0 {
			weights += b.Weight
		}
	}
	share := l.Processors * own.Weight / weights
	if own.Processors > 0 {
		share = min(share, own.Processors)
	}
	return share
}

// total returns the work of all accounts.
func (l *Load) total() (onTime, late float64) {
	for _, b := range l.Accounts {
		onTime += b.OnTime
		late += b.Late
	}
	return onTime, late
}

// add adds the work of a job.
func (l *Load) add(name string, weight, work float64, late bool) {
	b := l.Accounts[name]
	b.Weight = weight
	if late {
		b.Late += work
	} else {
		b.OnTime += work
		b.Waiting += work
	}
	l.Accounts[name] = b
}

// longest is a duration beyond any objective.
const longest = 24 * time.Hour

// seconds returns s seconds as a duration of at most longest.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s > longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}
