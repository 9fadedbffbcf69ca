package sched

import (
	"fmt"
	"slices"
	"time"

	"daisysaddle/core/quota"
)

const (
	capLogInterval = time.Second // at which the log says of an account that its cap holds tasks back
	// endedRunsTime is the time after the end of a job for which a new owner counts the runs that its record names. It covers the longest lease
	// and the difference of two entries' clocks.
	endedRunsTime = 30 * time.Second
)

// accountCaps is the owner's view of the caps of client accounts.
type accountCaps struct {
	ledger      *quota.Ledger
	unknownRuns int                  // runs of jobs whose records are not read, which may be those of any account
	held        map[string]int       // by account, the stages that its cap held back in the last placement
	loggedAt    map[string]time.Time // by account, when the log last said so
}

func newAccountCaps() accountCaps {
	return accountCaps{ledger: quota.New(), held: make(map[string]int), loggedAt: make(map[string]time.Time)}
}

// AccountUse is what an account has running.
type AccountUse struct {
	Account string
	Cap     Size
	Running Size // the known runs
	Unseen  Size // the most that may run besides, as far as a new owner knows
	Runs    int
	Held    int                      // stages that the cap held back in the last placement
	Leads   map[string]time.Duration // by pool, by how much of its time the account is ahead of its share
}

// AccountUses returns what each account of the configuration has running, in order of their names.
func (s *State) AccountUses() []AccountUse {
	var all []AccountUse
	for _, name := range sortedKeys(s.config.Accounts) {
		all = append(all, s.accountUse(name))
	}
	return all
}

// accountUse returns what an account has running.
func (s *State) accountUse(name string) AccountUse {
	u := s.caps.ledger.Use(name)
	use := AccountUse{name, sizeOfAmounts(u.Cap), sizeOfAmounts(u.Seen), sizeOfAmounts(u.Unseen), u.Runs, s.caps.held[name], make(map[string]time.Duration)}
	for pool, p := range s.shares {
		if lead, found := p.Lead(name); found {
			use.Leads[pool] = lead
		}
	}
	return use
}

func (s Size) amounts() quota.Amounts {
	return quota.Amounts{s.Processors, s.MemoryMB, s.Accelerators}
}

func sizeOfAmounts(a quota.Amounts) Size { return Size{a[0], a[1], a[2]} }

// setCaps applies the caps of the configuration. An account that it drops keeps its cap, since it may have runs.
func (s *State) setCaps() {
	for name, a := range s.config.Accounts {
		s.caps.ledger.SetCap(name, a.Cap.amounts())
	}
}

// countRun counts a run for the account of its job, until uncountRun. A run whose job is not known is one of any account.
func (s *State) countRun(r *run) {
	j := s.jobs[r.id.Job]
	if j == nil {
		r.anyAccount = true
		r.worker.unknownRuns++
		s.caps.unknownRuns++
		return
	}
	r.account, r.counted = j.chargedAccount(), j.endedRuns.Size
	if r.id.Step >= 0 && r.id.Step < len(j.Steps) {
		r.counted, r.countedLong = j.Steps[r.id.Step].Size, j.Steps[r.id.Step].LongRunning
	}
	s.caps.ledger.Begin(r.account, r.counted.amounts(), r.countedLong)
}

// chargedAccount returns the account for which the job's runs count. Of a job that ended under an earlier owner only what still ran is known.
func (j *job) chargedAccount() string {
	if j.Account != "" {
		return j.Account
	}
	return j.endedRuns.Account
}

// uncountRun takes back what countRun has counted.
func (s *State) uncountRun(r *run) {
	if r.anyAccount {
		r.anyAccount = false
		r.worker.unknownRuns--
		s.caps.unknownRuns--
		return
	}
	s.caps.ledger.End(r.account, r.counted.amounts(), r.countedLong)
}

// capPermits reports whether the cap of the stage's account permits the start of n more of its tasks together.
func (s *State) capPermits(st *stage, n int) bool {
	return s.caps.ledger.Permits(quota.Start{Account: st.job.Account, Size: st.step.Size.amounts(), Count: n, Long: st.step.LongRunning}, s.settings.RateOverage)
}

// heldByCap reports whether the cap of the stage's account permits no start of the stage.
func (s *State) heldByCap(st *stage) bool {
	if st.step.Gang {
		return !s.capPermits(st, len(st.tasks))
	}
	return !s.capPermits(st, 1)
}

// logHeld records that the cap of the stage's account holds the stage back.
func (s *State) logHeld(now time.Time, st *stage) {
	name := st.job.Account
	s.caps.held[name]++
	if now.Sub(s.caps.loggedAt[name]) < capLogInterval {
		return
	}
	s.caps.loggedAt[name] = now
	u := s.caps.ledger.Use(name)
	s.decisions = append(s.decisions, Decision{
		Kind: "HeldByCap", Job: st.job.ID, Task: st.firstTask(),
		Reason: fmt.Sprintf("%s %s: runs %v, unseen up to %v, cap %v", accountAtCap, name, u.Seen, u.Unseen, u.Cap),
	})
}

// countUnseen sets the most that each account may have running unseen: runs of an earlier owner that no poll has shown, and those of jobs whose
// records are not read.
func (s *State) countUnseen(now time.Time, unseen unseenRuns) {
	clear(s.caps.held)
	confirmed := s.lastConfirmed(now)
	if len(s.config.Accounts) == 0 || s.caps.unknownRuns == 0 && confirmed.After(s.unseenRunsEnd) {
		s.caps.ledger.SetUnseen(func(string) quota.Amounts { return quota.Amounts{} })
		return
	}
	u := unseenBounds{room: make(map[string]Size), accounts: make(map[string]quota.Amounts)}
	for _, w := range s.workers {
		switch {
		case w.mayHaveUnseenRuns(confirmed):
			u.room[w.Pool] = u.room[w.Pool].Add(w.uncountedRoom())
			u.total = u.total.Add(w.uncountedRoom())
		case w.unknownRuns > 0:
			u.ofAnyAccount = u.ofAnyAccount.Add(w.uncountedRoom())
		}
	}
	if len(u.room) > 0 && !s.readsPredecessorJobs() {
		s.countInherited(now, unseen, &u)
		s.caps.ledger.SetUnseen(func(name string) quota.Amounts {
			return u.accounts[name].Min(u.total.amounts()).Add(u.ofAnyAccount.amounts())
		})
		return
	}
	most := u.total.Add(u.ofAnyAccount).amounts()
	s.caps.ledger.SetUnseen(func(string) quota.Amounts { return most })
}

// unseenBounds bounds the runs that the owner can't see.
type unseenBounds struct {
	room         map[string]Size // by pool, the room of workers that may have some
	total        Size
	ofAnyAccount Size // the room of other workers that have runs of jobs whose records are not read
	accounts     map[string]quota.Amounts
}

// uncountedRoom returns the capacity that the counted runs leave.
func (w *worker) uncountedRoom() Size {
	room := w.Capacity
	for _, r := range w.runs {
		room = room.Sub(r.counted)
	}
	return Size{max(0, room.Processors), max(0, room.MemoryMB), max(0, room.Accelerators)}
}

// readsPredecessorJobs reports whether the records of jobs are still to be read that an earlier owner may have started.
func (s *State) readsPredecessorJobs() bool {
	for _, a := range s.announced {
		if !a.absent && !a.since.After(s.predecessorEnd) {
			return true
		}
	}
	return false
}

// countInherited sums up, by account, the tasks of inherited jobs that may run unseen.
func (s *State) countInherited(now time.Time, unseen unseenRuns, u *unseenBounds) {
	type source struct{ account, queue string }
	sums := make(map[source]quota.Amounts)
	for _, j := range s.jobs {
		if !s.caps.ledger.Limited(j.chargedAccount()) || j.state.Final() && now.Sub(j.endedAt) > endedRunsTime || !s.hasUnseenRuns(j, unseen) {
			continue
		}
		name := j.chargedAccount()
		u.accounts[name] = u.accounts[name].Add(j.endedRuns.Size.amounts())
		for _, o := range j.occurrences {
			for _, st := range o.stages {
				size, n := st.step.Size.amounts(), st.unseenTasks()
				if st.step.Backfill { // the workers' room does not bound their processors
					u.accounts[name] = u.accounts[name].Add(size.Times(n))
					continue
				}
				from := source{name, j.Queue}
				sums[from] = sums[from].Add(size.Times(n))
			}
		}
	}
	rooms := make(map[string]quota.Amounts) // by queue
	for from, sum := range sums {
		room, known := rooms[from.queue]
		if !known {
			room = s.unseenRoom(from.queue, u.room).amounts()
			rooms[from.queue] = room
		}
		u.accounts[from.account] = u.accounts[from.account].Add(sum.Min(room))
	}
}

// unseenRoom returns the part of the pools' room where the queue may have runs of an earlier owner.
func (s *State) unseenRoom(queue string, pools map[string]Size) Size {
	var room Size
	for pool, size := range pools {
		if pool == s.config.Queues[queue].Pool || s.queuePools.mayHaveInherited(queue, pool) {
			room = room.Add(size)
		}
	}
	return room
}

// unseenTasks returns the number of the stage's tasks that may run unseen. Members of a gang may run on for a moment after the first is done.
func (st *stage) unseenTasks() int {
	n := 0
	for i := range st.tasks {
		t := &st.tasks[i]
		if st.step.mayHaveCopies() {
			n += max(0, 2-boolInt(t.done)-len(t.runs())) // the run that lost may go on for a moment after the task is done
			continue
		}
		n += boolInt(t.run == nil && (!t.done || st.step.Gang))
	}
	return n
}

// endedRunsOf returns what may still run of a job that has ended, or nil if its account has no cap or nothing runs.
func (s *State) endedRunsOf(now time.Time, j *job) *AccountRuns {
	if !j.state.Final() || !s.caps.ledger.Limited(j.chargedAccount()) {
		return nil
	}
	unseen := j.inherited && !s.lastConfirmed(now).After(s.unseenRunsEnd)
	sum := j.endedRuns.Size
	for _, o := range j.occurrences {
		for _, st := range o.stages {
			n := 0
			for i := range st.tasks {
				n += len(st.tasks[i].runs())
			}
			if unseen {
				n += st.unseenTasks()
			}
			sum = sum.Add(sizeOfAmounts(st.step.Size.amounts().Times(n)))
		}
	}
	if sum == (Size{}) {
		return nil
	}
	return &AccountRuns{j.chargedAccount(), sum}
}

// capBudgets are, by account, the resource-seconds that its cap permits within backlogDrainTime, less those that were taken. More machines would not help
// what waits beyond them.
type capBudgets map[string]vector

// take takes the work of a stage, given in seconds of its size, from the budget of its account and returns the part of it that the budget held.
func (b capBudgets) take(s *State, st *stage, seconds float64) float64 {
	limit := sizeOfAmounts(s.caps.ledger.Use(st.job.Account).Cap).vector()
	if limit == (vector{}) {
		return 1
	}
	left, found := b[st.job.Account]
	if !found {
		left = left.addScaled(limit, backlogDrainTime.Seconds())
	}
	size, part := st.step.reserved().vector(), 1.0
	for i := range size {
		if limit[i] > 0 && size[i]*seconds > 0 {
			part = min(part, max(0, left[i])/(size[i]*seconds))
		}
	}
	b[st.job.Account] = left.addScaled(size, -part*seconds)
	return part
}

// ExceedsCap reports whether a step of the job is a gang that the cap of the job's account never permits to start.
func (s *State) ExceedsCap(j Job) bool {
	limit := s.config.Accounts[j.Account].Cap
	ledger := quota.New()
	ledger.SetCap(j.Account, limit.amounts())
	return slices.ContainsFunc(j.Steps, func(p Step) bool {
		start := quota.Start{Account: j.Account, Size: p.Size.amounts(), Count: p.Count, Long: p.LongRunning}
		return p.Gang && !ledger.Permits(start, s.settings.RateOverage)
	})
}

// accountAtCap is the reason for which a stage waits while its account has as much running as its cap permits.
const accountAtCap = "AccountAtCap"
