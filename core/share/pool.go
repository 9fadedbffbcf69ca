package share

import (
	"math"
	"time"
)

// bands is the number of bands of the window. Between accounts in the same band the order by urgency stands.
const bands = 4

// Pool keeps the virtual times of the accounts that compete for a pool. It is not safe for concurrent use.
type Pool struct {
	window   float64 // seconds
	accounts map[string]*Account
	round    uint64
	weights  float64 // sum of the weights of the accounts with work
	virtual  float64 // the pool's virtual time
	// lowest and highest are the virtual times of the accounts that the round left without room.
	lowest, highest float64
}

// Account is the balance of a client account in a pool.
type Account struct {
	pool    *Pool
	weight  float64
	virtual float64
	runs    int    // charged runs that have not ended
	round   uint64 // the last round for which it had work
}

// NewPool returns the balances of a pool, which reach back over a window.
func NewPool(window time.Duration) *Pool {
	return &Pool{window: window.Seconds(), accounts: make(map[string]*Account), lowest: math.Inf(1), highest: math.Inf(-1)}
}

// Begin begins a round of placement. Compete must follow for each account that has tasks waiting.
func (p *Pool) Begin() {
	if p.lowest <= p.highest { // those without room compete only with each other: what the others leave them is no debt
		p.virtual = min(max(p.virtual, p.lowest), p.highest)
	}
	p.lowest, p.highest = math.Inf(1), math.Inf(-1)
	p.round++
	p.weights = 0
	for name, a := range p.accounts {
		switch {
		case a.runs > 0:
			p.add(a)
		case p.round-a.round > idleRounds:
			delete(p.accounts, name)
		}
	}
}

// idleRounds is the number of rounds without work after which an account is forgotten. With 50 rounds a second it exceeds any window.
const idleRounds = 3000

// Compete adds an account with tasks waiting to the round, and returns its balance. One that is new has been quiet.
func (p *Pool) Compete(name string, weight float64) *Account {
	a := p.accounts[name]
	if a == nil {
		a = &Account{pool: p, virtual: math.Inf(-1)}
		p.accounts[name] = a
	}
	if a.round != p.round {
		a.weight = weight
		p.add(a)
	}
	return a
}

func (p *Pool) add(a *Account) {
	a.round = p.round
	p.weights += a.weight
}

// Lead returns the time by which the account is ahead of its share, and whether it has had work lately.
func (p *Pool) Lead(name string) (time.Duration, bool) {
	a := p.accounts[name]
	if a == nil {
		return 0, false
	}
	return time.Duration(a.Lead() * float64(time.Second)), true
}

// NoRoom records that the round has left tasks of the account waiting for want of room.
func (a *Account) NoRoom() {
	p := a.pool
	if p.weights > 0 {
		a.clamp()
		p.lowest, p.highest = min(p.lowest, a.virtual), max(p.highest, a.virtual)
	}
}

// Levels of accounts by their use. Those that are further ahead have higher levels, up to MaxLevel.
const (
	Owed     = -1 // it has had less than its share
	Even     = 0
	MaxLevel = bands - 1
)

// Level returns by how many bands the account is ahead of its share. The accounts of a lower level are served first.
func (a *Account) Level() int {
	p := a.pool
	if p.weights <= 0 {
		return Even
	}
	a.clamp()
	n := (a.virtual - p.virtual) / p.reach() * bands
	if n < -1 {
		return Owed
	}
	return min(max(Even, int(math.Ceil(n))-1), MaxLevel)
}

// Lead returns the time, in seconds of its share, by which the account is ahead of its share; it is negative for one that is behind.
func (a *Account) Lead() float64 {
	if a.pool.weights <= 0 {
		return 0
	}
	a.clamp()
	return (a.virtual - a.pool.virtual) * a.pool.weights
}

// Start charges the expected use of a run that starts, in seconds of the whole pool.
func (a *Account) Start(seconds float64) {
	a.runs++
	a.charge(seconds)
}

// End corrects the charge of a run that has ended by what it has used beyond it.
func (a *Account) End(seconds float64) {
	a.runs--
	a.charge(seconds)
}

func (a *Account) charge(seconds float64) {
	p := a.pool
	if a.weight <= 0 || p.weights <= 0 {
		return
	}
	a.clamp()
	a.virtual += seconds / a.weight
	p.virtual += seconds / p.weights
}

// reach returns the window in virtual time.
func (p *Pool) reach() float64 { return p.window / p.weights }

// clamp keeps what an account owes, or is owed, within a window.
func (a *Account) clamp() {
	p := a.pool
	a.virtual = min(max(a.virtual, p.virtual-p.reach()), p.virtual+p.reach())
}
