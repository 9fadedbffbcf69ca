package quota

// resources is the number of resources that a cap limits.
const resources = 3

// Amounts are amounts of each resource. A limit of zero is no limit.
type Amounts [resources]int

// Add returns the sum of two amounts.
func (a Amounts) Add(o Amounts) Amounts {
	for i := range a {
		a[i] += o[i]
	}
	return a
}

// Times returns n times the amounts.
func (a Amounts) Times(n int) Amounts {
	for i := range a {
		a[i] *= n
	}
	return a
}

// Min returns the smaller of the amounts of each resource.
func (a Amounts) Min(o Amounts) Amounts {
	for i := range a {
		a[i] = min(a[i], o[i])
	}
	return a
}

// within reports whether no limited amount exceeds its limit.
func (a Amounts) within(limit Amounts) bool {
	for i := range a {
		if limit[i] > 0 && a[i] > limit[i] {
			return false
		}
	}
	return true
}

// underHalf reports whether each limited amount is below half of its limit.
func (a Amounts) underHalf(limit Amounts) bool {
	for i := range a {
		if limit[i] > 0 && 2*a[i] >= limit[i] {
			return false
		}
	}
	return true
}

// Use is what an account has running.
type Use struct {
	Cap    Amounts
	Seen   Amounts // runs that are known
	Long   Amounts // those of them that run until their job is cancelled
	Unseen Amounts // the most that may run besides
	Runs   int     // number of known runs
}

// Ledger counts what accounts have running. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*Use
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{accounts: make(map[string]*Use)} }

// Use returns what an account has running.
func (l *Ledger) Use(account string) Use {
	if u := l.accounts[account]; u != nil {
		return *u
	}
	return Use{}
}

// Limited reports whether the account has a cap.
func (l *Ledger) Limited(account string) bool { return l.Use(account).Cap != Amounts{} }

// SetCap sets the cap of an account.
func (l *Ledger) SetCap(account string, limit Amounts) { l.use(account).Cap = limit }

// Begin counts a run of the account, which is long-running or not.
func (l *Ledger) Begin(account string, size Amounts, long bool) { l.use(account).count(size, long, 1) }

// End takes back a run that Begin has counted, once it has certainly ended.
func (l *Ledger) End(account string, size Amounts, long bool) {
	u := l.use(account)
	u.count(size, long, -1)
	if *u == (Use{}) {
		delete(l.accounts, account)
	}
}

func (u *Use) count(size Amounts, long bool, n int) {
	u.Seen, u.Runs = u.Seen.Add(size.Times(n)), u.Runs+n
	if long {
		u.Long = u.Long.Add(size.Times(n))
	}
}

// SetUnseen sets the most that each account with a cap may have running besides the known runs.
func (l *Ledger) SetUnseen(most func(account string) Amounts) {
	for name, u := range l.accounts {
		u.Unseen = Amounts{}
		if u.Cap != (Amounts{}) {
			u.Unseen = most(name)
		}
	}
}

// Start is a start of tasks.
type Start struct {
	Account string
	Size    Amounts // of one task
	Count   int     // number of tasks that start together
	Long    bool    // they run until their job is cancelled
}

// Permits reports whether the cap of an account permits a start.
//
// A task that does not fit in what the cap leaves may start while under half of the cap runs, or beside nothing but long-running tasks, since it might wait
// for ever otherwise. A gang may then start if what runs ends within the cap, the fraction overage of it and one task.
func (l *Ledger) Permits(s Start, overage float64) bool {
	u := l.accounts[s.Account]
	if u == nil || u.Cap == (Amounts{}) {
		return true
	}
	before := u.Seen.Add(u.Unseen)
	after := before.Add(s.Size.Times(s.Count))
	if after.within(u.Cap) {
		return true
	}
	most := u.Cap.stretched(overage)
	mayExceed := before.underHalf(u.Cap) || !s.Long && before == u.Long && before.within(most)
	return mayExceed && (s.Count == 1 || after.within(most.plusLimited(s.Size)))
}

// stretched returns the limits with a fraction more.
func (a Amounts) stretched(overage float64) Amounts {
	for i := range a {
		a[i] += int(overage * float64(a[i]))
	}
	return a
}

// plusLimited returns the limits with a size more. What has no limit keeps none.
func (a Amounts) plusLimited(size Amounts) Amounts {
	for i := range a {
		if a[i] > 0 {
			a[i] += size[i]
		}
	}
	return a
}

func (l *Ledger) use(account string) *Use {
	u := l.accounts[account]
	if u == nil {
		u = &Use{}
		l.accounts[account] = u
	}
	return u
}
