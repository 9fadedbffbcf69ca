package intake

import (
	"maps"
	"time"
)

// Reason tells why a job is refused.
type Reason string

// Reasons for a refusal.
const (
	OverRate Reason = "OverRate" // its account submits more than its rate, and the room is needed for others
	AtCap    Reason = "AtCap"    // its account's cap keeps it from ending before its result is worthless
	Hopeless Reason = "Hopeless" // it can't end before its result is worthless
	Late     Reason = "Late"     // it can't end within its objective and would take room from jobs that can
)

// Request describes a job for a decision.
type Request struct {
	ID, Account, Pool string
	Work              float64       // processor-seconds
	Start             float64       // processors that it takes when it starts
	Path              time.Duration // expected duration of its critical path
	Objective         time.Duration
	Worthless         time.Duration // after its first sending, when its result is worth nothing
	Sent              time.Time     // when it was first sent, as far as its entry knows
	Weight            float64       // of its account
	Rated             bool          // its account's weight is also the number of jobs that it may submit per second
	Processors        float64       // processors that its account's cap leaves for jobs of its shape; zero if there is no cap
}

// Decision is the decision on a job, with its inputs.
type Decision struct {
	Reason     Reason // empty if the job is admitted
	RetryAfter time.Duration
	FirstSent  time.Time     // the earliest time at which the job is known to have been sent
	First      bool          // the job was not decided on before
	Rate       float64       // jobs that its account submits per second
	WorkAhead  float64       // processor-seconds of its account ahead of it
	Share      float64       // processors of its account
	End        time.Duration // expected, from now
	processors float64       // of the pool
}

const (
	minRetryAfter = time.Second     // Retry-After has a resolution of 1 s
	maxRetryAfter = 8 * time.Second // callers wait no longer than a burst lasts
	// returnWindow is how long before and after the promised time a caller's work is reserved.
	returnWindow = time.Second
	// callLife is how long a refused job is remembered after its last refusal: the longest Retry-After and as long again.
	callLife = 2 * maxRetryAfter
	// pendingLife is how long an admitted job counts as work before the owner knows it as stored.
	pendingLife = 5 * time.Second
	// minWeight keeps the quotients by a weight finite.
	minWeight = 0.001
	// maxCalls, of refusals, and maxPending bound the memory of an account, about 2 MB.
	maxCalls   = 8192
	maxPending = 8192
	// excessRoom is the part of the time a job can wait up to which jobs beyond their account's rate fill a contended
	// pool. The rest is left for those within.
	excessRoom = 0.5
)

// call is a job that was refused.
type call struct {
	id        string
	pool      string
	firstSent time.Time
	excess    bool
	work      float64 // reserved for its return
	late      bool    // it can't end within its objective when it returns
	returns   time.Time
	refusals  int  // number of its entries in account.order
	gone      bool // admitted since
}

// refusal is an entry of account.order.
type refusal struct {
	*call
	expires time.Time
}

// pending is an admitted job that the owner does not know as stored yet.
type pending struct {
	pool  string
	work  float64
	late  bool
	since time.Time
}

// account is the memory of one account.
type account struct {
	weight  float64
	rate    rateLog
	calls   map[string]*call
	order   []refusal // oldest first
	pending map[string]pending
	lines   map[string]*line // by pool
}

// line is the order in which an account's callers return to a pool.
type line struct {
	next   time.Time // when the next caller may return
	onTime calendar  // work of the callers that return in time for their objectives
	late   calendar  // work of the others
}

// reserved returns the calendar that holds a call's work.
func (n *line) reserved(k *call) *calendar {
	if k.late {
		return &n.late
	}
	return &n.onTime
}

// Controller decides on the admission of jobs. It is not safe for concurrent use.
type Controller struct {
	limits   Limits
	accounts map[string]*account
	promises map[string]promises // by pool
}

// NewController returns a controller with no memory.
func NewController(l Limits) *Controller {
	return &Controller{limits: l, accounts: make(map[string]*account), promises: make(map[string]promises)}
}

// Decide decides whether a job is admitted to a pool with the load.
func (c *Controller) Decide(now time.Time, r Request, l *Load) Decision {
	a := c.account(r.Account)
	a.weight = max(r.Weight, minWeight)
	a.expire(now)
	n := a.line(r.Pool)
	if _, admitted := a.pending[r.ID]; admitted {
		return Decision{FirstSent: r.Sent, Rate: a.rate.rate(now, c.limits.Window)}
	}
	k, returning := a.calls[r.ID], false
	d := Decision{First: k == nil, FirstSent: r.Sent}
	if k == nil {
		a.rate.count(now, c.limits.Window)
		k = &call{id: r.ID, pool: r.Pool, firstSent: earliest(r.Sent, now), excess: true}
	} else {
		returning = !now.Before(k.returns.Add(-returnWindow))
		a.line(k.pool).reserved(k).add(k.returns, -k.work)
		k.work, k.pool = 0, r.Pool
	}
	k.firstSent = earliest(k.firstSent, r.Sent)
	d.FirstSent = k.firstSent
	k.excess = k.excess && r.Rated && !a.rate.take(now, c.limits, r.Weight)
	d.Rate = a.rate.rate(now, c.limits.Window)

	own := l.Accounts[r.Account]
	own.Weight, own.Processors = a.weight, r.Processors
	if !returning {
		own.OnTime += n.onTime.around(now)
		own.Waiting += n.onTime.around(now)
		own.Late += n.late.around(now)
	}
	d.WorkAhead, d.Share, d.processors = own.OnTime, l.share(r.Account, own), l.Processors
	wait := l.drainTime(r.Account, own, false)
	capped := time.Duration(0)
	if own.Processors > 0 {
		capped = seconds((own.OnTime + r.Work) / own.Processors)
	}
	elapsed := max(0, now.Sub(k.firstSent))
	d.End = max(wait+r.Path, capped)
	late := false
	if k.excess || r.Start >= l.Free {
		d.Reason, late = decide(d.End, elapsed, k.excess, own, r, l)
	} // else it starts at once, whatever runs beside it
	if d.Reason == "" {
		l.Free -= r.Start
		a.admit(now, k, r, late)
		l.add(r.Account, a.weight, r.Work, late)
		return d
	}
	if d.Reason == Hopeless && capped > wait+r.Path {
		d.Reason = AtCap
	}
	early := !d.First && !returning
	a.refuse(now, k, r, &d, early, c.promisesOf(r.Pool))
	return d
}

// decide returns the reason to refuse a job that is expected to end after end, and whether it is late if it is admitted.
func decide(end, elapsed time.Duration, excess bool, own Backlog, r Request, l *Load) (reason Reason, late bool) {
	onTime := end <= r.Objective-elapsed
	if excess && l.Contended {
		all, _ := l.total()
		slack := r.Objective - elapsed - r.Path
		if onTime && seconds(all/l.Processors) <= time.Duration(excessRoom*float64(slack)) {
			return "", false
		}
		return OverRate, false
	}
	if onTime {
		return "", false
	}
	lateEnd := max(end, l.drainTime(r.Account, own, true)+r.Path)
	if lateEnd > r.Worthless-elapsed {
		return Hopeless, true
	}
	if !l.Contended {
		return "", true
	}
	// A late job runs in the room that the arrivals leave.
	spare := l.Processors - l.Arrivals
	onTimeWork, lateWork := l.total()
	if spare <= 0 || seconds((onTimeWork+lateWork)/spare)+r.Path > r.Worthless-elapsed {
		return Late, true
	}
	return "", true
}

// admit forgets the refusals of a job and counts its work until the owner knows it as stored.
func (a *account) admit(now time.Time, k *call, r Request, late bool) {
	k.gone = true
	delete(a.calls, k.id)
	if len(a.pending) >= maxPending {
		return
	}
	a.pending[r.ID] = pending{pool: r.Pool, work: r.Work, late: late, since: now}
}

// refuse promises a caller a time to return and reserves its work then. One that returns early keeps its promise.
func (a *account) refuse(now time.Time, k *call, r Request, d *Decision, early bool, p promises) {
	n := a.line(r.Pool)
	if !early {
		k.returns = n.promise(now, k, r, d, p)
	}
	d.RetryAfter = min(maxRetryAfter, max(minRetryAfter, ceilSecond(k.returns.Sub(now))))
	if !early {
		k.returns = now.Add(d.RetryAfter)
		p.add(now, k.returns)
	}
	k.work, k.late = r.Work, k.returns.Add(r.Path).After(k.firstSent.Add(r.Objective))
	n.reserved(k).add(k.returns, k.work)
	k.refusals++
	a.calls[k.id] = k
	a.order = append(a.order, refusal{k, now.Add(callLife)})
	if len(a.order) > maxCalls {
		a.dropOldest()
	}
}

// promise returns when the caller may return. Successive callers return at the rate at which the account's share drains their
// work. Those for which that leaves no place return in the second in which the fewest do: before their results are worthless
// if fewer do then than the pool can serve.
func (n *line) promise(now time.Time, k *call, r Request, d *Decision, p promises) time.Time {
	first, last := now.Add(minRetryAfter), now.Add(maxRetryAfter)
	longest := last
	if worthless := k.firstSent.Add(r.Worthless - r.Path - returnWindow); !worthless.Before(first) {
		last = earliest(last, worthless)
	}
	room := now.Add(d.End - r.Objective) // when a job that comes new would end in time
	at := latest(n.next, latest(first, room))
	if at.After(last) {
		if !room.After(last) {
			first = latest(first, now.Add(ceilSecond(room.Sub(now)))) // whole seconds from now, as the caller is told
		}
		at = p.emptiest(first, last)
		if float64(p[at.Unix()])*r.Work >= d.processors {
			at = p.emptiest(first, longest)
		}
		return at
	}
	n.next = at.Add(seconds(r.Work / d.Share))
	at = now.Add(ceilSecond(at.Sub(now)))
	return p.emptiest(at, earliest(at.Add(time.Second), last))
}

// promises holds the number of callers that were told to return to a pool, by second.
type promises map[int64]int

// emptiest returns the time, in whole seconds after first and up to last, in whose second the fewest callers return.
func (p promises) emptiest(first, last time.Time) time.Time {
	best := first
	for at := first; !at.After(last); at = at.Add(time.Second) {
		if p[at.Unix()] < p[best.Unix()] {
			best = at
		}
	}
	return best
}

// add counts a caller.
func (p promises) add(now, at time.Time) {
	p[at.Unix()]++
	if len(p) > 2*int(maxRetryAfter/time.Second) {
		maps.DeleteFunc(p, func(second int64, _ int) bool { return second < now.Unix() })
	}
}

// Settle removes the admitted jobs that the owner knows by now, so that the load contains them, and those that were not
// stored in time. It also forgets accounts of which nothing is left.
func (c *Controller) Settle(now time.Time, known func(id string) bool) {
	for name, a := range c.accounts {
		a.expire(now)
		for id, p := range a.pending {
			if known(id) || now.Sub(p.since) > pendingLife {
				delete(a.pending, id)
			}
		}
		if len(a.pending) == 0 && len(a.calls) == 0 && now.Sub(a.rate.at) > callLife+c.limits.Window {
			delete(c.accounts, name)
		}
	}
}

// AddPending adds to a pool's load the admitted jobs that the owner does not know as stored yet.
func (c *Controller) AddPending(pool string, l *Load) {
	for name, a := range c.accounts {
		for _, p := range a.pending {
			if p.pool == pool {
				l.add(name, a.weight, p.work, p.late)
			}
		}
	}
}

func (c *Controller) promisesOf(pool string) promises {
	p := c.promises[pool]
	if p == nil {
		p = make(promises)
		c.promises[pool] = p
	}
	return p
}

func (c *Controller) account(name string) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{calls: make(map[string]*call), pending: make(map[string]pending), lines: make(map[string]*line)}
		c.accounts[name] = a
	}
	return a
}

func (a *account) line(pool string) *line {
	n := a.lines[pool]
	if n == nil {
		n = &line{}
		a.lines[pool] = n
	}
	return n
}

// expire forgets the refused jobs that were not sent again in time.
func (a *account) expire(now time.Time) {
	for len(a.order) > 0 && (a.order[0].gone || !now.Before(a.order[0].expires)) {
		a.dropOldest()
	}
}

// dropOldest removes the oldest entry of the order. A job that was refused again since has a later one.
func (a *account) dropOldest() {
	k := a.order[0].call
	a.order[0] = refusal{}
	a.order = a.order[1:]
	if k.gone {
		return
	}
	k.refusals--
	if k.refusals == 0 {
		a.lines[k.pool].reserved(k).add(k.returns, -k.work)
		delete(a.calls, k.id)
	}
}

// ceilSecond rounds a duration up to whole seconds, which is how the caller is told.
func ceilSecond(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
