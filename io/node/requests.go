package node

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/sched"
	"daisysaddle/io/guard"
	"daisysaddle/io/store"
)

// Outcome tells how a caller's request ended.
type Outcome string

// Outcomes of a caller's request.
const (
	OutcomeDone      Outcome = "Done"
	OutcomeNotRun    Outcome = "NotRun"  // nothing was done and nothing will be done later
	OutcomeUnknown   Outcome = "Unknown" // it may have been done
	OutcomeNoSuchJob Outcome = "Unheard" // no such job
	OutcomeTaken     Outcome = "Taken"   // the id is that of another account's job

	outcomeAdmitted Outcome = "Admitted" // the owner has room for the job; the asking entry may store it
)

// Verdict is the result of a caller's request.
type Verdict struct {
	Outcome    Outcome
	State      sched.JobState `json:",omitempty"`
	Waiting    int            `json:",omitempty"`
	RetryAfter time.Duration  `json:",omitempty"`
	Reason     string         `json:",omitempty"`
	Zone       string         `json:",omitempty"` // availability zone of an admitted job, or of the record that was stored
	// FirstSent is set on an admitted job that the owner has refused before: when its caller first sent it, as far as the owner knows.
	FirstSent time.Time `json:",omitzero"`
}

// RefusedByStore reports whether a request was refused because the store did not serve the entry; the store may still serve
// another entry.
func (v Verdict) RefusedByStore() bool {
	return v.Outcome == OutcomeNotRun && strings.HasPrefix(v.Reason, "Store")
}

// ReasonBusy is the reason of a request for which the entry has no room.
const ReasonBusy = "Busy"

// RefuseUnread returns the verdict on a request for a job that was not read whole, for want of room.
func (n *Node) RefuseUnread(id string) Verdict {
	return n.settleVerdict(n.Now(), id, Verdict{Outcome: OutcomeNotRun, RetryAfter: minRetryAfter, Reason: ReasonBusy})
}

// reasonKnown is the reason of a request whose id was accepted before.
const reasonKnown = "Known"

// acceptance is a job that this entry is storing; further requests with its id wait for the same result.
type acceptance struct {
	done    chan struct{}
	verdict Verdict   // on the first request
	stored  sched.Job // the job that is stored under the id, if verdict is OutcomeDone or OutcomeTaken
}

// verdictFor returns the verdict on a request with the id.
func (a *acceptance) verdictFor(j sched.Job) Verdict {
	v := a.verdict
	switch {
	case v.Outcome != OutcomeDone && v.Outcome != OutcomeTaken:
	case !submitter(j).MayUse(a.stored.Account, a.stored.Queue):
		return verdictTaken
	case a.stored.Account != j.Account || v.Outcome == OutcomeTaken:
		v.Outcome, v.State, v.Reason = OutcomeDone, sched.Pending, reasonKnown
	}
	return v
}

const (
	minRetryAfter = time.Second     // Retry-After has a resolution of 1 s
	maxRetryAfter = 4 * time.Second // about the length of an outage
)

// storeRetryAfter returns the retry delay for a caller while the store fails. It is as long as the outage has lasted so far,
// within the bounds above, since the outage is likely to last as long again and callers retry only a few times.
func (n *Node) storeRetryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, n.Store.DownFor(time.Now())))
}

// Submit accepts a job; OutcomeDone means that the job is durable.
func (n *Node) Submit(ctx context.Context, j sched.Job) Verdict {
	return n.settleVerdict(n.Now(), j.ID, n.submit(ctx, j))
}

func (n *Node) submit(ctx context.Context, j sched.Job) Verdict {
	if c := n.activeControl(); c != nil {
		return c.submit(ctx, j)
	}
	if o := n.owner.Load(); o != nil && o.Thin && !n.Store.Down(time.Now()) {
		return n.acceptAdmitted(ctx, j)
	}
	// The id is unsettled while the owner has the request, since another attempt may come meanwhile.
	first := !n.unsettled.has(n.Now(), j.ID)
	n.unsettled.add(n.Now(), j.ID)
	v, err := n.askOwner(ctx, "POST", "/jobs/"+j.ID, j)
	switch {
	case err != nil && !errors.Is(err, errNotSent):
		n.unsettled.add(n.Now(), j.ID) // a refused attempt may have settled it meanwhile
	case first && (err != nil || v.Outcome == OutcomeNotRun || v.Outcome == OutcomeTaken):
		n.unsettled.settle(j.ID)
	}
	if err == nil && !v.RefusedByStore() {
		return v
	}
	// Admission control needs the owner. When the owner can't be reached, or can't reach the store itself, the job is stored
	// without it.
	j.Zone = n.zoneFor(&j)
	return n.accept(ctx, j)
}

// zoneFor returns the availability zone of a job that is stored without the owner. It is the entry's own, which is in reach of the store: a
// successor of an owner in a zone that is cut off can start the job before it sees that zone again.
func (n *Node) zoneFor(j *sched.Job) string {
	if c := n.config.Load(); c != nil && n.Bounds.ToleratedZones > 0 && c.Queues[j.Queue].Advice == nil && j.MayBeConfined() {
		return n.Zone
	}
	return ""
}

// acceptAdmitted asks the owner whether it has room for a job, stores the job from this entry, and notifies the owner. The
// job's spec, which is most of its size, thus stays off the owner's slow link. The owner writes nothing for this question, so
// the id does not become unsettled when the answer is lost.
func (n *Node) acceptAdmitted(ctx context.Context, j sched.Job) Verdict {
	withoutSpec := j
	withoutSpec.Spec = ""
	admission, err := n.askOwner(ctx, "POST", "/admissions/"+j.ID, withoutSpec)
	if err == nil && (admission.Outcome == OutcomeDone || admission.Outcome == OutcomeNotRun || admission.Outcome == OutcomeTaken) {
		return admission
	}
	j.Zone = admission.Zone
	if admission.Outcome != outcomeAdmitted {
		j.Zone = n.zoneFor(&j)
	}
	j.Accepted = admission.firstSent(j)
	v := n.accept(ctx, j)
	if v.Outcome == OutcomeDone && v.Reason != reasonKnown && admission.Outcome == outcomeAdmitted {
		n.background.Go(func() error {
			// When this notice is lost, the owner finds the job in the store.
			_, err := n.askOwner(context.WithoutCancel(ctx), "POST", "/admissions/"+j.ID+"/stored?zone="+url.QueryEscape(v.Zone), nil)
			if err != nil {
				n.logLimited("OwnerNotTold").Str("Job", j.ID).Err(err).Send()
			}
			return nil
		})
	}
	return v
}

// storedGrowth is the memory that a job takes while it waits to be stored, as a multiple of its stored form: the form itself, the batch, its
// encoding and the request.
const storedGrowth = 8

// accept stores a job on the condition that its id is new.
func (n *Node) accept(ctx context.Context, j sched.Job) Verdict {
	if n.Store.Down(time.Now()) {
		return Verdict{Outcome: OutcomeNotRun, RetryAfter: n.storeRetryAfter(), Reason: "StoreDown"}
	}
	value, err := sched.EncodeJob(j)
	if err != nil {
		return Verdict{Outcome: OutcomeNotRun, Reason: "NotEncoded"}
	}
	if !n.isAccepting(j.ID) && !n.storeAnswers(ctx) {
		return Verdict{Outcome: OutcomeNotRun, RetryAfter: n.storeRetryAfter(), Reason: "StoreSilent"}
	}
	n.mu.Lock()
	a := n.accepting[j.ID]
	if a == nil {
		weight := int64(len(value)) * storedGrowth
		if n.StoredBytes > 0 && n.storing > 0 && n.storing+weight > n.StoredBytes {
			e := guard.Event{Kind: guard.RequestRefused, Requests: len(n.accepting), Charged: n.storing}
			n.mu.Unlock()
			n.observeGuard("Store", e)
			return Verdict{Outcome: OutcomeNotRun, RetryAfter: n.storeRetryAfter(), Reason: "StoreQueueFull"}
		}
		n.storing += weight
		a = &acceptance{done: make(chan struct{})}
		n.accepting[j.ID] = a
		change := store.Change{
			Conditions: []store.Condition{{Key: keyJobs + j.ID}},
			Puts:       []store.Record{{Key: keyJobs + j.ID, Value: value}, {Key: keyIntake + j.ID, Value: []byte(`{}`)}},
		}
		// The write continues after the caller leaves: once sent to the store, it may take effect.
		n.acceptBatcher.Submit(context.WithoutCancel(ctx), change, func(s store.CommitResult, err error) {
			a.verdict, a.stored = n.acceptVerdict(j, s, err)
			n.mu.Lock()
			delete(n.accepting, j.ID)
			n.storing -= weight
			n.mu.Unlock()
			close(a.done)
		})
	}
	n.mu.Unlock()
	select {
	case <-a.done:
		return a.verdictFor(j)
	case <-ctx.Done():
		return Verdict{Outcome: OutcomeUnknown, Reason: "CallerLeft"}
	}
}

// isAccepting reports whether this entry is storing a job with the id.
func (n *Node) isAccepting(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepting[id] != nil
}

// acceptVerdict returns, logs and counts the result of storing a job. It also returns the job that is stored under the id.
func (n *Node) acceptVerdict(j sched.Job, s store.CommitResult, err error) (Verdict, sched.Job) {
	v, stored := Verdict{Outcome: OutcomeDone, State: sched.Pending, Zone: j.Zone}, j
	switch {
	case s.Outcome == store.Applied:
	case s.Outcome == store.Conflicted && len(s.Current) > 0:
		v.Reason = reasonKnown // the id was accepted before and stays a single job
		stored = n.decodeStored(j.ID, s.Current)
		if !submitter(j).MayUse(stored.Account, stored.Queue) {
			v = verdictTaken
		}
	case s.MaybeApplied:
		v = Verdict{Outcome: OutcomeUnknown, Reason: "StoreUnanswered"}
	default:
		v = Verdict{Outcome: OutcomeNotRun, RetryAfter: n.storeRetryAfter(), Reason: "StoreRefused"}
	}
	n.logLimited("Accept").Str("Job", j.ID).Str("Queue", j.Queue).Str("Account", j.Account).Str("Outcome", string(v.Outcome)).Str("Reason", v.Reason).Uint64("Revision", s.Revision).AnErr("Cause", err).Send()
	n.metrics.countSubmit(j, v)
	return v, stored
}

// decodeStored returns the job of an id among stored records. It is empty, and so anybody's, if it can't be decoded.
func (n *Node) decodeStored(id string, current []store.Record) sched.Job {
	r := store.RecordOf(current, keyJobs+id)
	if r.Revision == 0 {
		return sched.Job{}
	}
	j, err := sched.DecodeJob(r.Value)
	if err != nil {
		n.log("RecordSkipped").Str("Key", r.Key).Err(err).Send()
	}
	return j
}

// State returns the state of a job to a caller.
func (n *Node) State(ctx context.Context, caller Caller, id string) Verdict {
	v := Verdict{Outcome: OutcomeNoSuchJob}
	err := errNoOwner
	if c := n.activeControl(); c != nil {
		v, err = c.jobState(ctx, caller, id), nil
	} else {
		v, err = n.askOwner(ctx, "GET", jobPath(caller, id), nil)
	}
	if err == nil && (v.Outcome == OutcomeDone || v == verdictHidden) {
		return v
	}
	return n.storedState(ctx, caller, id)
}

// storedState reads the state of a job from the store, for when the owner is out of reach or does not know the job yet.
func (n *Node) storedState(ctx context.Context, caller Caller, id string) Verdict {
	if !n.storeAnswers(ctx) {
		return Verdict{Outcome: OutcomeUnknown, RetryAfter: n.storeRetryAfter(), Reason: "StoreSilent"}
	}
	record, err := n.Store.Get(ctx, keyProgress+id, store.Critical)
	if err != nil {
		return Verdict{Outcome: OutcomeUnknown, RetryAfter: n.storeRetryAfter(), Reason: "StoreUnanswered"}
	}
	if record.Revision > 0 {
		p, err := sched.DecodeProgress(record.Value)
		if err == nil {
			return Verdict{Outcome: OutcomeDone, State: p.State}
		}
		n.log("RecordSkipped").Str("Key", record.Key).Err(err).Send()
	}
	record, err = n.Store.Get(ctx, keyJobs+id, store.Critical)
	switch {
	case err != nil:
		return Verdict{Outcome: OutcomeUnknown, RetryAfter: n.storeRetryAfter(), Reason: "StoreUnanswered"}
	case record.Revision == 0:
		return Verdict{Outcome: OutcomeNoSuchJob}
	}
	if j := n.decodeStored(id, []store.Record{record}); !caller.MayUse(j.Account, j.Queue) {
		return verdictHidden
	}
	return Verdict{Outcome: OutcomeDone, State: sched.Pending}
}

// Cancel ends a caller's job; OutcomeDone means that the cancellation is durable. OutcomeNoSuchJob means that no job is stored under
// the id, and that one that is stored later does not run.
func (n *Node) Cancel(ctx context.Context, caller Caller, id string) Verdict {
	v := Verdict{Outcome: OutcomeNoSuchJob}
	err := errNoOwner
	if c := n.activeControl(); c != nil {
		v, err = c.cancel(ctx, caller, id), nil
	} else {
		v, err = n.askOwner(ctx, "DELETE", jobPath(caller, id), nil)
	}
	if err == nil && (v.Outcome == OutcomeDone || v == verdictHidden) {
		return v
	}
	sent := err == nil && v.Outcome == OutcomeUnknown || err != nil && !errors.Is(err, errNotSent)
	v = n.storeCancel(ctx, caller, id, v)
	if sent && v.Outcome == OutcomeNotRun {
		v.Outcome = OutcomeUnknown // the owner may have cancelled the job
	}
	return v
}

// storeCancel stores a cancellation, which the owner reads from the intake: that of the job that is stored under the id, or a
// tombstone. The owner's verdict is empty if the owner did not answer. If the owner knows no such job, the tombstone is written without
// looking for the job first.
func (n *Node) storeCancel(ctx context.Context, caller Caller, id string, owner Verdict) Verdict {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var job store.Record
	if owner != verdictNoSuchJob || n.tombstones.full(n.Now()) {
		var err error
		if job, err = n.Store.Get(ctx, keyJobs+id, store.Critical); err != nil {
			return Verdict{Outcome: OutcomeNotRun, RetryAfter: n.storeRetryAfter(), Reason: "StoreUnanswered"}
		}
	}
	for {
		if job.Revision == 0 {
			if owner == verdictTombstones {
				return owner
			}
			var v Verdict
			if v, job = n.storeTombstone(ctx, caller, id); job.Revision == 0 {
				return v
			}
		}
		v, removed := n.cancelStored(ctx, caller, job)
		if !removed {
			return v
		}
		job = store.Record{}
	}
}

// cancelStored stores the cancellation of a stored job, and reports whether the job has been removed meanwhile.
func (n *Node) cancelStored(ctx context.Context, caller Caller, job store.Record) (v Verdict, removed bool) {
	id := strings.TrimPrefix(job.Key, keyJobs)
	if j := n.decodeStored(id, []store.Record{job}); !caller.MayUse(j.Account, j.Queue) {
		return verdictHidden, false
	}
	change := store.Change{
		Conditions: []store.Condition{{Key: job.Key, Revision: job.Revision}, {Key: keyCancel + id}},
		Puts:       []store.Record{{Key: keyCancel + id, Value: []byte(`{}`)}},
	}
	s, err := n.Store.Commit(ctx, change)
	n.logLimited("Cancel").Str("Job", id).Str("Outcome", string(s.Outcome)).AnErr("Cause", err).Send()
	switch conflict := s.Outcome == store.Conflicted && len(s.Current) > 0; {
	case s.Outcome == store.Applied || conflict && store.RecordOf(s.Current, keyCancel+id).Revision > 0:
		return Verdict{Outcome: OutcomeDone, State: sched.Cancelled}, false
	case conflict && store.RecordOf(s.Current, job.Key).Revision == 0:
		return Verdict{}, true
	}
	return Verdict{Outcome: OutcomeUnknown, Reason: "StoreUnanswered"}, false
}

// Waiting returns the number of waiting jobs of a queue.
func (n *Node) Waiting(ctx context.Context, queue string) Verdict {
	if c := n.activeControl(); c != nil {
		return c.waiting(ctx, queue)
	}
	v, err := n.askOwner(ctx, "GET", "/queues/"+queue, nil)
	if err != nil {
		return Verdict{Outcome: OutcomeNotRun, RetryAfter: n.storeRetryAfter(), Reason: "OwnerUnanswered"}
	}
	return v
}

// activeControl returns the control loop while this entry owns the workers and has loaded the durable state, and nil otherwise.
func (n *Node) activeControl() *control {
	c := n.control.Load()
	if c == nil || !c.ready.Load() || c.ctx.Err() != nil {
		return nil
	}
	return c
}

// query runs a function on the control goroutine and returns its verdict, or OutcomeUnknown when the caller or the
// ownership ends first.
func (c *control) query(ctx context.Context, f func(now time.Time) Verdict) Verdict {
	answer := make(chan Verdict, 1)
	c.enqueue(func(now time.Time) { answer <- f(now) })
	select {
	case v := <-answer:
		return v
	case <-ctx.Done():
		return Verdict{Outcome: OutcomeUnknown, Reason: "CallerLeft"}
	case <-c.ctx.Done():
		return Verdict{Outcome: OutcomeUnknown, Reason: "OwnershipEnded"}
	}
}

// submit accepts a job if the queue has room for it.
func (c *control) submit(ctx context.Context, j sched.Job) Verdict {
	promised := int64(0) // belongs to the control goroutine
	v := c.query(ctx, func(now time.Time) Verdict {
		v := c.checkRoom(now, j)
		if v.Outcome == outcomeAdmitted {
			promised = j.Bytes()
			c.promisedBytes += promised
		}
		return v
	})
	c.countRefusal(j, v)
	if v.Outcome != outcomeAdmitted {
		if v.Outcome == OutcomeUnknown { // the question may be answered later
			c.enqueue(func(time.Time) { c.promisedBytes -= promised })
		}
		return v
	}
	j.Zone = v.Zone
	j.Accepted = v.firstSent(j)
	v = c.node.settleVerdict(c.node.Now(), j.ID, c.node.accept(ctx, j))
	added := v.Outcome == OutcomeDone && v.Reason != reasonKnown
	if added {
		j.Zone = v.Zone // another attempt may have stored the job
	}
	c.enqueue(func(now time.Time) {
		c.promisedBytes -= promised
		if added {
			c.state.AddJob(now, j, sched.Progress{}, false)
		}
	})
	return v
}

// ownerFullRetryAfter is the delay for the caller of a job that doesn't fit the owner's memory, which is free again when jobs end.
const ownerFullRetryAfter = 2 * time.Second

// checkRoom checks whether there is room for a job: outcomeAdmitted lets it be stored, OutcomeDone means that its id is known, and
// OutcomeTaken that it is known as that of another account's job.
func (c *control) checkRoom(now time.Time, j sched.Job) Verdict {
	if account, queue, known := c.state.JobOwner(j.ID); known {
		if !submitter(j).MayUse(account, queue) {
			return verdictTaken
		}
		return Verdict{Outcome: OutcomeDone, Reason: reasonKnown}
	}
	if _, admitted := c.admitted[j.ID]; admitted || c.state.Awaits(j.ID) || c.node.unsettled.has(now, j.ID) {
		return Verdict{Outcome: outcomeAdmitted} // only the store knows whether an earlier attempt took effect
	}
	if !c.state.FitsMemory(&j, c.promisedBytes) {
		c.refused[j.Account]++
		c.node.observeGuard("Owner", guard.Event{Kind: guard.RequestRefused, Requests: len(c.admitted), Charged: c.state.JobBytes() + c.promisedBytes})
		return Verdict{Outcome: OutcomeNotRun, RetryAfter: ownerFullRetryAfter, Reason: "OwnerFull"}
	}
	r := c.state.Admit(now, j)
	if !r.Refused {
		return Verdict{Outcome: outcomeAdmitted, Zone: c.state.HomeZone(&j), FirstSent: r.FirstSent}
	}
	c.refused[j.Account]++
	line := c.node.logLimited("Refuse").Str("Job", j.ID).Str("Queue", j.Queue).Str("Account", j.Account).Str("Reason", r.Reason).Dur("RetryAfter", r.RetryAfter).
		Float64("WorkAhead", r.WorkAhead).Float64("Room", r.Processors).Dur("Objective", r.Objective).Uint64("Fence", c.token)
	if !r.FirstSent.IsZero() {
		line = line.Float64("Rate", r.Rate).Float64("Share", r.Share)
	}
	line.Send()
	return Verdict{Outcome: OutcomeNotRun, RetryAfter: r.RetryAfter, Reason: r.Reason}
}

// firstSent returns when a job was first sent, as far as the owner that admitted it or the entry that asked knows.
func (v Verdict) firstSent(j sched.Job) time.Time {
	if !v.FirstSent.IsZero() && v.FirstSent.Before(j.Accepted) {
		return v.FirstSent
	}
	return j.Accepted
}

// countRefusal counts a verdict on a job in the metrics if it is a refusal.
func (c *control) countRefusal(j sched.Job, v Verdict) {
	if v.Outcome == OutcomeNotRun || v.Outcome == OutcomeTaken {
		c.node.metrics.countSubmit(j, v)
	}
}

// admission is a job for which the owner had room and which another entry may be storing.
type admission struct {
	job        sched.Job // without its spec
	admittedAt time.Time
	contested  bool // two accounts were admitted with the id, so that only the store knows whose job it is
	bytes      int64
}

// admit checks whether there is room for a job that the asking entry will store.
func (c *control) admit(ctx context.Context, j sched.Job) Verdict {
	v := c.query(ctx, func(now time.Time) Verdict {
		v := c.checkRoom(now, j)
		if v.Outcome == outcomeAdmitted {
			j.Zone = v.Zone
			j.Accepted = v.firstSent(j)
			earlier, again := c.admitted[j.ID]
			c.promisedBytes += j.Bytes() - earlier.bytes
			c.admitted[j.ID] = admission{j, now, again && (earlier.contested || earlier.job.Account != j.Account), j.Bytes()}
		}
		return v
	})
	c.countRefusal(j, v)
	return v
}

// recordStored adds an admitted job to the state after the asking entry has stored it with a zone.
func (c *control) recordStored(ctx context.Context, id, zone string) Verdict {
	return c.query(ctx, func(now time.Time) Verdict {
		a, admitted := c.admitted[id]
		c.dropAdmission(id)
		// An announced job may be that of an earlier attempt, with runs of an earlier owner. The intake shows a job that was stored with
		// the zone of another attempt.
		if admitted && !a.contested && !c.state.Awaits(id) && a.job.Zone == zone {
			c.state.AddJob(now, a.job, sched.Progress{}, false)
		}
		return Verdict{Outcome: OutcomeDone}
	})
}

// expireAdmissions removes admissions that no entry has confirmed as stored in time.
func (c *control) expireAdmissions(now time.Time) {
	for id, a := range c.admitted {
		if now.Sub(a.admittedAt) > unsettledPeriod {
			c.dropAdmission(id)
		}
	}
}

// dropAdmission forgets an admission.
func (c *control) dropAdmission(id string) {
	c.promisedBytes -= c.admitted[id].bytes
	delete(c.admitted, id)
}

func (c *control) jobState(ctx context.Context, caller Caller, id string) Verdict {
	return c.query(ctx, func(time.Time) Verdict {
		if c.hides(caller, id) {
			return verdictHidden
		}
		state, known := c.state.JobState(id)
		if !known {
			return Verdict{Outcome: OutcomeNoSuchJob}
		}
		return Verdict{Outcome: OutcomeDone, State: state}
	})
}

// hides reports whether a job is another account's.
func (c *control) hides(caller Caller, id string) bool {
	account, queue, known := c.state.JobOwner(id)
	return known && !caller.MayUse(account, queue)
}

// cancel ends a job and waits until the cancellation is durable.
func (c *control) cancel(ctx context.Context, caller Caller, id string) Verdict {
	done := make(chan Verdict, 1)
	v := c.query(ctx, func(now time.Time) Verdict {
		if c.hides(caller, id) {
			return verdictHidden
		}
		switch {
		case c.state.Cancel(now, id):
		case c.state.Tombstones() >= maxTombstones:
			return verdictTombstones
		default:
			return verdictNoSuchJob
		}
		c.state.WhenFinal(id, func(state sched.JobState) { done <- Verdict{Outcome: OutcomeDone, State: state} })
		return Verdict{Outcome: OutcomeDone}
	})
	if v.Outcome != OutcomeDone {
		return v
	}
	c.node.logLimited("Cancel").Str("Job", id).Send()
	select {
	case v := <-done:
		return v
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return Verdict{Outcome: OutcomeUnknown, Reason: "NotStoredInTime"}
}

func (c *control) waiting(ctx context.Context, queue string) Verdict {
	return c.query(ctx, func(time.Time) Verdict {
		return Verdict{Outcome: OutcomeDone, Waiting: c.state.Waiting(queue)}
	})
}

var (
	errNotSent = errors.New("request was not sent to another entry")
	errNoOwner = errors.Mark(errors.New("owner is unknown or not linked"), errNotSent)

	errOwnerSilent = errors.Mark(errors.New("owner left a probe unanswered"), errNotSent)
)
