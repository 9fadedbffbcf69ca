package sched

import "time"

const (
	adviceRequestSize    = 30                     // workers in one request; each adds to the time of the answer
	maxAdviceRequestSize = 100                    // workers in one request that the advisor accepts
	maxAdviceRequests    = 2                      // unanswered at a time: one that is handled, and one that waits for its turn
	adviceOverlap        = 50 * time.Millisecond  // a request may be sent this long before the advisor is expected to be idle
	adviceSlack          = time.Second            // by which an answer may be later than expected
	adviceRetryDelay     = 500 * time.Millisecond // delay after a request that failed or a ticket that was rejected, doubled for each further one
	maxStageRetryDelay   = 8 * time.Second        // longest such delay for a stage, or for a worker with it
	maxAdvisorRetryDelay = 2 * time.Second        // longest such delay for all stages
	maxAdviceDuration    = time.Minute            // longest time for an answer that a configuration can make the owner expect
	maxTimeoutDoublings  = 5                      // of the time limit of a request, while requests fail
)

// advisor is the owner's view of the placement advisor, which handles the requests of an entry in turn.
type advisor struct {
	requests           map[TaskID]adviceRequest // unanswered, by stage
	idleAt             time.Time                // when it is expected to have handled them
	lateness           time.Duration            // by which its last answer was later than expected
	staleAnswers       int                      // consecutive answers that came after their tickets had expired
	backoff                                     // after requests that failed
	withoutRoomAskedAt time.Time                // when it was last asked about workers without room
	waitingStages      int                      // stages that waited for tickets in the last placement
	queues             map[string]*queuePermits
}

// permitCount counts answers about workers, and those that permitted them.
type permitCount struct{ answers, permitted float64 }

const (
	queueWindow  = 300.0 // number of answers over which the share of permitted workers of a queue is taken
	workerWindow = 20.0  // the same for one worker
	searchMargin = 1.5   // by which a short search asks about more workers than are expected to suffice
	searchTrust  = 0.75  // part of the workers needed that suffices if the others are unlikely
	unlikelyPart = 0.5   // part of the queue's share of permitted workers below which a worker is unlikely
)

// add adds an answer. Older ones count less after a window of answers.
func (p *permitCount) add(permitted bool, window float64) {
	if p.answers >= window {
		p.answers, p.permitted = p.answers/2, p.permitted/2
	}
	p.answers++
	p.permitted += float64(boolInt(permitted))
}

// queuePermits is what the placement advisor has said so far for the steps of a queue.
type queuePermits struct {
	permitCount
	workers map[string]workerPermits
}

// workerPermits is the part that concerns one incarnation of a worker.
type workerPermits struct {
	permitCount
	startedAt time.Time
}

// add adds the advisor's word on a worker's incarnation.
func (p *queuePermits) add(worker string, startedAt time.Time, permitted bool) {
	p.permitCount.add(permitted, queueWindow)
	known := p.workers[worker]
	if !known.startedAt.Equal(startedAt) {
		known = workerPermits{startedAt: startedAt}
	}
	known.add(permitted, workerWindow)
	p.workers[worker] = known
}

// share returns the expected share of permitted workers.
func (p *queuePermits) share() float64 { return (p.permitted + 1) / (p.answers + 2) }

// likelihood returns the expected probability that a worker is permitted to run a step.
func (p *queuePermits) likelihood(w *worker) float64 {
	known := p.workers[w.ID]
	if !known.startedAt.Equal(w.StartedAt) {
		known = workerPermits{}
	}
	return (known.permitted + p.share()) / (known.answers + 1)
}

// unlikely reports whether steps of the queue are seldom permitted on the worker, compared with others.
func (p *queuePermits) unlikely(w *worker) bool { return p.likelihood(w) < unlikelyPart*p.share() }

// shortSearch returns the first of the workers, so that probably as many as needed of them are permitted. They are ordered, the unlikely ones last.
func (p *queuePermits) shortSearch(workers []*worker, needed int) []*worker {
	expected := 0.0
	for i, w := range workers {
		if expected >= searchMargin*float64(needed) || expected >= searchTrust*float64(needed) && p.unlikely(w) {
			return workers[:i]
		}
		expected += p.likelihood(w)
	}
	return workers
}

// permitsOf returns what the advisor has said for a queue.
func (a *advisor) permitsOf(queue string) *queuePermits {
	p := a.queues[queue]
	if p == nil {
		p = &queuePermits{workers: make(map[string]workerPermits)}
		a.queues[queue] = p
	}
	return p
}

// adviceRequest is a request that the placement advisor has not answered yet.
type adviceRequest struct {
	sent       time.Time
	due        time.Time            // when the answer is expected
	duration   time.Duration        // that the advisor takes for it
	startedAts map[string]time.Time // by worker, the start of the incarnation that it asks about
}

// backoff delays the next try after failures.
type backoff struct {
	failures int // consecutive ones
	retryAt  time.Time
}

// fail records a failure. The delay is adviceRetryDelay after the first one and doubles, up to most.
func (b *backoff) fail(now time.Time, most time.Duration) {
	b.retryAt = now.Add(min(most, adviceRetryDelay<<min(b.failures, 8)))
	b.failures++
}

// waits reports whether the delay is not over.
func (b *backoff) waits(now time.Time) bool { return now.Before(b.retryAt) }

// requestSize returns the number of workers in one request. Two requests about so many take no longer than a ticket is valid, so that
// the tickets of both can be used together.
func (a *Advice) requestSize() int {
	n := adviceRequestSize
	if a.PerWorker > 0 && a.Valid > 0 {
		n = min(n, int(max(a.Valid/2-a.PerCall, a.PerCall)/a.PerWorker))
	}
	return max(1, n)
}

// duration returns the time that the advisor takes for a request about a number of workers, at most maxAdviceDuration.
func (a *Advice) duration(workers int) time.Duration {
	return min(maxAdviceDuration, max(0, min(maxAdviceDuration, a.PerCall)+time.Duration(workers)*min(maxAdviceDuration, a.PerWorker)))
}

// mayAsk reports whether a request may be sent. The others wait here rather than at the advisor, so that the most urgent is always the next.
func (a *advisor) mayAsk(now time.Time) bool {
	return len(a.requests) < maxAdviceRequests && !a.waits(now) && !now.Add(adviceOverlap).Before(a.idleAt)
}

// timeout returns how long to wait for the answer to a request that is due then.
func (a *advisor) timeout(now, due time.Time) time.Duration {
	return adviceSlack<<min(a.failures/2, maxTimeoutDoublings) + 2*(due.Sub(now)+a.lateness)
}

// remove removes an answered or failed request.
func (a *advisor) remove(now time.Time, stage TaskID) (adviceRequest, bool) {
	r, found := a.requests[stage]
	delete(a.requests, stage)
	a.idleAt = now
	for _, other := range a.requests {
		a.idleAt = a.idleAt.Add(other.duration)
	}
	return r, found
}
