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

// Load is the stand-in for the callers of one service.
type Load struct {
	Service  string
	Rate     func(now time.Time) float64 // requests per second
	Deadline time.Duration
	Entries  func() []EntryPoint // live entries, as the balancer sees them
	Record   func(audit.Call)
	Sequence func() string // unique text for each attempt
	Client   *http.Client
	Seed     uint64
}

// EntryPoint is an entry behind the balancer.
type EntryPoint struct {
	Name    string
	Zone    string
	Address netip.AddrPort
}

const (
	callerTries      = 3
	callerPause      = 100 * time.Millisecond
	idempotentShare  = 0.4
	urgentShare      = 0.1
	loadTick         = 5 * time.Millisecond
	callerGrace      = 500 * time.Millisecond
	maxAnswer        = 1 << 20
	zonedShare       = 0.5
	outcomeCut       = "Cut"
	requestBodyBytes = 100
)

// Run makes calls until ctx ends and returns when all have ended.
func (l *Load) Run(ctx context.Context) error {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed+7))
	var group errgroup.Group
	ticker := time.NewTicker(loadTick)
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
				work := l.newWork(random)
				group.Go(func() error { l.call(work); return nil })
			}
		}
	}
}

// work is what one caller wants done.
type work struct {
	id         string
	idempotent bool
	urgent     bool
	team       string
	choices    [callerTries]uint64
	zoned      bool
}

func (l *Load) newWork(random *rand.Rand) work {
	w := work{idempotent: random.Float64() < idempotentShare, urgent: random.Float64() < urgentShare, zoned: random.Float64() < zonedShare}
	w.team = fmt.Sprintf("team%d", random.IntN(4))
	for i := range w.choices {
		w.choices[i] = random.Uint64()
	}
	return w
}

// call tries until an answer comes that is not NotRun; the same id goes with each try.
func (l *Load) call(w work) {
	deadline := time.Now().Add(l.Deadline)
	for try := range callerTries {
		entries := l.Entries()
		if len(entries) == 0 {
			time.Sleep(callerPause)
			continue
		}
		entry := entries[w.choices[try]%uint64(len(entries))]
		if w.id == "" && !w.idempotent {
			w.id = newID(entry.Zone, w.zoned)
		}
		remaining := time.Until(deadline)
		if remaining <= callerPause {
			return
		}
		c := l.attempt(w, entry, remaining)
		l.Record(c)
		if c.Outcome == string(proxy.Done) || c.Outcome != string(proxy.NotRun) && try > 0 {
			return
		}
		time.Sleep(callerPause)
	}
}

func newID(zone string, zoned bool) string {
	id := uuid.Must(uuid.NewV7()).String()
	if zoned {
		return zone + ":" + id
	}
	return id
}

func (l *Load) attempt(w work, entry EntryPoint, remaining time.Duration) audit.Call {
	c := audit.Call{ID: w.id, Nonce: l.Sequence(), Service: l.Service, Entry: entry.Name, Idempotent: w.idempotent, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), remaining+callerGrace)
	defer cancel()
	method := http.MethodPost
	if w.idempotent {
		method = http.MethodPut
	}
	body := strings.Repeat("x", requestBodyBytes)
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/work", entry.Address), io.NopCloser(strings.NewReader(body)))
	if err != nil {
		panic("stand: request cannot be made: " + err.Error())
	}
	request.ContentLength = int64(len(body))
	request.Header.Set(proxy.HeaderService, l.Service)
	request.Header.Set(proxy.HeaderTeam, w.team)
	request.Header.Set(proxy.HeaderTimeout, fmt.Sprintf("%.3f", remaining.Seconds()))
	request.Header.Set(HeaderNonce, c.Nonce)
	if w.id != "" {
		request.Header.Set(proxy.HeaderID, `"`+w.id+`"`)
	}
	if w.urgent {
		request.Header.Set(proxy.HeaderPriority, "u=1")
	}
	l.send(request, &c)
	c.Ended = time.Now()
	return c
}

func (l *Load) send(request *http.Request, c *audit.Call) {
	response, err := l.Client.Do(request)
	if err != nil {
		c.Outcome = outcomeCut
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
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
		c.Answer, c.Whole = c.Nonce, true
		return
	}
	first, _ := bufio.NewReader(strings.NewReader(string(answer))).ReadString('\n')
	c.Answer = strings.TrimSpace(first)
	c.Replayed = response.Header.Get(proxy.HeaderReason) == string(proxy.ReasonDuplicate)
	c.Whole = response.Trailer.Get("Daisysaddle-Sum") == c.Answer || response.ContentLength == int64(len(answer))
}

// Bursts returns a rate that is factor times mean for one service after the other, and low times mean in between.
func Bursts(start time.Time, index, services int, mean float64, burst time.Duration) func(time.Time) float64 {
	return func(now time.Time) float64 {
		turn := int(now.Sub(start)/burst) % services
		if turn == index {
			return mean * burstFactor
		}
		return mean * quietFactor
	}
}

const (
	burstFactor = 5.0
	quietFactor = 0.05
)

// Recorder collects a history from many goroutines.
type Recorder struct {
	mu      sync.Mutex
	history audit.History
}

// AddCall stores a call.
func (r *Recorder) AddCall(c audit.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, c)
}

// AddExecution stores an execution.
func (r *Recorder) AddExecution(e audit.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Executions = append(r.history.Executions, e)
}

// Change edits the history under the lock.
func (r *Recorder) Change(edit func(*audit.History)) {
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
