package stand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/audit"
	"daisysaddle/io/proxy"
)

// LoadGenerator simulates the callers of one service.
type LoadGenerator struct {
	Service    string
	Rate       func(now time.Time) float64 // operations started per second
	Deadline   time.Duration
	Entries    func() []Endpoint // entries that the load balancer regards as ready
	RecordCall func(audit.Call)
	NextNonce  func() string // returns a text that is unique to the attempt
	Client     *http.Client
	Seed       uint64
}

// Endpoint is an entry to which the load balancer sends requests.
type Endpoint struct {
	Name    string
	Zone    string
	Address netip.AddrPort
}

const (
	maxAttempts       = 3
	retryDelay        = 100 * time.Millisecond
	idempotentShare   = 0.4
	urgentShare       = 0.1
	loadTickInterval  = 5 * time.Millisecond
	callerGracePeriod = 500 * time.Millisecond // wait for an answer after the deadline
	maxAnswerBytes    = 1 << 20
	zonedIDShare      = 0.5   // share of request ids that have the entry's zone as prefix
	outcomeCut        = "Cut" // the connection ended without a complete answer or without an outcome
	requestBodyBytes  = 100
)

// Run starts operations at the given rate until ctx ends, and returns when all of them have ended.
func (l *LoadGenerator) Run(ctx context.Context) error {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed+7))
	var group errgroup.Group
	ticker := time.NewTicker(loadTickInterval)
	defer ticker.Stop()
	due := 0.0
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case now := <-ticker.C:
			due += l.Rate(now) * now.Sub(last).Seconds()
			last = now
			for ; due >= 1; due-- {
				operation := l.newOperation(random)
				group.Go(func() error { l.runOperation(operation); return nil })
			}
		}
	}
}

// operation is one logical request of a caller, which may take several attempts.
type operation struct {
	id           string // empty if idempotent
	idempotent   bool
	urgent       bool
	team         string
	entryChoices [maxAttempts]uint64
	zonedID      bool
}

func (l *LoadGenerator) newOperation(random *rand.Rand) operation {
	o := operation{idempotent: random.Float64() < idempotentShare, urgent: random.Float64() < urgentShare, zonedID: random.Float64() < zonedIDShare}
	o.team = fmt.Sprintf("team%d", random.IntN(4))
	for i := range o.entryChoices {
		o.entryChoices[i] = random.Uint64()
	}
	return o
}

// runOperation makes up to maxAttempts attempts, all with the same request id; idempotent operations have none. It stops at
// the outcome Done and, from the second attempt on, at every outcome but NotRun. It also stops when at most retryDelay is
// left before the deadline.
func (l *LoadGenerator) runOperation(o operation) {
	deadline := time.Now().Add(l.Deadline)
	for attempt := range maxAttempts {
		entries := l.Entries()
		if len(entries) == 0 {
			time.Sleep(retryDelay)
			continue
		}
		entry := entries[o.entryChoices[attempt]%uint64(len(entries))]
		if o.id == "" && !o.idempotent {
			o.id = newID(entry.Zone, o.zonedID)
		}
		remaining := time.Until(deadline)
		if remaining <= retryDelay {
			return
		}
		c := l.attempt(o, entry, remaining)
		l.RecordCall(c)
		if c.Outcome == string(proxy.Done) || c.Outcome != string(proxy.NotRun) && attempt > 0 {
			return
		}
		time.Sleep(retryDelay)
	}
}

func newID(zone string, zoned bool) string {
	id := uuid.Must(uuid.NewV7()).String()
	if zoned {
		return zone + ":" + id
	}
	return id
}

func (l *LoadGenerator) attempt(o operation, entry Endpoint, remaining time.Duration) audit.Call {
	c := audit.Call{ID: o.id, Nonce: l.NextNonce(), Service: l.Service, Entry: entry.Name, Idempotent: o.idempotent, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), remaining+callerGracePeriod)
	defer cancel()
	method := http.MethodPost
	if o.idempotent {
		method = http.MethodPut
	}
	body := strings.Repeat("x", requestBodyBytes)
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/work", entry.Address), io.NopCloser(strings.NewReader(body)))
	if err != nil {
		panic("stand: invalid request: " + err.Error())
	}
	request.ContentLength = int64(len(body))
	request.Header.Set(proxy.HeaderService, l.Service)
	request.Header.Set(proxy.HeaderTeam, o.team)
	request.Header.Set(proxy.HeaderTimeout, fmt.Sprintf("%.3f", remaining.Seconds()))
	request.Header.Set(HeaderNonce, c.Nonce)
	if o.id != "" {
		request.Header.Set(proxy.HeaderID, `"`+o.id+`"`)
	}
	if o.urgent {
		request.Header.Set(proxy.HeaderPriority, "u=1")
	}
	l.send(request, &c)
	c.Ended = time.Now()
	return c
}

func (l *LoadGenerator) send(request *http.Request, c *audit.Call) {
	response, err := l.Client.Do(request)
	if err != nil {
		c.Outcome = outcomeCut
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	c.Outcome = response.Header.Get(proxy.HeaderOutcome)
	c.Reason = response.Header.Get(proxy.HeaderReason)
	if err != nil || c.Outcome == "" {
		c.Outcome = outcomeCut
		return
	}
	if c.Outcome != string(proxy.Done) {
		return
	}
	if response.StatusCode >= http.StatusInternalServerError {
		c.Answer, c.Complete = c.Nonce, true // a target's error answer contains no nonce to compare
		return
	}
	firstLine, _ := bufio.NewReader(strings.NewReader(string(answer))).ReadString('\n')
	c.Answer = strings.TrimSpace(firstLine)
	c.Replayed = response.Header.Get(proxy.HeaderReason) == string(proxy.ReasonDuplicate)
	c.Complete = response.Trailer.Get("Daisysaddle-Sum") == c.Answer || response.ContentLength == int64(len(answer))
}

// Bursts returns a function that gives the request rate at a time, in requests per second, for the service with the given index.
// The services have bursts of one period in turn, at burstRateFactor times mean; outside its burst the rate of a service is
// quietRateFactor times mean.
func Bursts(start time.Time, index, services int, mean float64, period time.Duration) func(time.Time) float64 {
	return func(now time.Time) float64 {
		active := int(now.Sub(start)/period) % services
		if active == index {
			return mean * burstRateFactor
		}
		return mean * quietRateFactor
	}
}

const (
	burstRateFactor = 5.0
	quietRateFactor = 0.05
)

// Recorder collects a history; its methods are safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	history audit.History
}

// AddCall appends a call to the history.
func (r *Recorder) AddCall(c audit.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, c)
}

// AddExecution appends an execution to the history.
func (r *Recorder) AddExecution(e audit.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Executions = append(r.history.Executions, e)
}

// Update calls edit on the history while it holds the lock.
func (r *Recorder) Update(edit func(*audit.History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit(&r.history)
}

// History returns the history; nothing may be recorded afterwards.
func (r *Recorder) History() audit.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history
}
