package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	missedHeartbeats  = 3 // after which the store drops a silent runner
	leaseCheck        = 20 * time.Millisecond
	startupTime       = 300 * time.Millisecond // until a long-running work unit is at work
	clockStart        = 100 * time.Second      // of a runner's own clock
)

// Reasons for which a run ended.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
)

// behavior is what a work unit does; the client states it in the job's spec.
type behavior struct {
	work    time.Duration // until it ends; zero for one that lasts
	fails   bool
	crashes time.Duration // until the runner crashes under it; zero for never
	serves  bool          // it has users of its own, who see the tail of its response times
	fills   bool          // it takes what others leave unused, and disturbs those that serve
}

func parseBehavior(spec string) behavior {
	var b behavior
	for _, field := range strings.Fields(spec) {
		name, value, _ := strings.Cut(field, "=")
		ms, _ := strconv.Atoi(value)
		switch name {
		case "work":
			b.work = time.Duration(ms) * time.Millisecond
		case "crash":
			b.crashes = time.Duration(ms) * time.Millisecond
		case "fail":
			b.fails = true
		case "serve":
			b.serves = true
		case "fill":
			b.fills = true
		}
	}
	return b
}

type run struct {
	task   string
	number int64
	saved  string
	began  time.Time
	b      behavior
	timer  *time.Timer
	pace   int // in percent
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// size is a capacity in its wire format.
type size struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem_mb"`
	GPU int `json:"gpu"`
}

// runner is one life of a machine: a stand-in for the server that runs work units.
type runner struct {
	env     *environment
	machine *machine
	id      string
	born    time.Time
	server  *http.Server
	cancel  context.CancelFunc

	mu        sync.Mutex
	fence     uint64
	until     time.Duration // end of the lease on the runner's clock
	runs      map[string]*run
	highest   map[string]int64 // by work unit, the highest run that was stopped or ended
	ends      []end
	lastEnd   int64
	acked     int64
	changed   chan struct{}
	crashed   bool
	unhealthy bool // it refuses starts
}

// machine is a machine with its address, which outlives its runners.
type machine struct {
	name     string
	service  string
	zone     string
	labels   []string
	capacity size
	address  string

	mu     sync.Mutex
	runner *runner // nil while the machine is down
	lives  int
}

func (m *machine) current() *runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runner
}

// boot starts a new runner on the machine.
func (e *environment) boot(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		e.fail("runner on %s can't listen: %v", m.name, err)
		return
	}
	m.address = listener.Addr().String()
	r := &runner{
		env: e, machine: m, id: fmt.Sprintf("i-%s-%d", m.name, m.lives), born: time.Now(),
		runs: make(map[string]*run), highest: make(map[string]int64), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /daisysaddle/run-start", r.handle(r.start))
	mux.HandleFunc("POST /daisysaddle/run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /daisysaddle/pace", r.handle(r.setPace))
	mux.HandleFunc("POST /daisysaddle/hold", r.hold)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(e.ctx)
	m.runner = r
	e.group.Go(func() error { _ = r.server.Serve(listener); return nil })
	e.group.Go(func() error { r.live(ctx); return nil })
	e.log("runner %s of %s is up on machine %s", r.id, m.service, m.name)
}

// crash ends the runner at once; its record leaves the store after three missed heartbeats.
func (r *runner) crash(why string) {
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	var lost []string
	for _, t := range r.runs {
		t.timer.Stop()
		lost = append(lost, t.task)
	}
	clear(r.runs)
	r.mu.Unlock()
	slices.Sort(lost)
	r.env.log("runner %s crashes (%s); with it %v", r.id, why, lost)
	r.env.note(func(h *history) { h.crashes = append(h.crashes, crash{r.id, time.Now(), lost}) })
	r.machine.mu.Lock()
	r.machine.runner = nil
	r.machine.mu.Unlock()
	r.cancel()
	_ = r.server.Close()
	time.AfterFunc(missedHeartbeats*heartbeatInterval, func() {
		if next := r.machine.current(); next == nil || next.id != r.id {
			r.env.store.remove("servers/" + r.id)
		}
	})
}

// live sends heartbeats and ends the runs whose lease has expired.
func (r *runner) live(ctx context.Context) {
	var lastBeat time.Time
	for seq := 1; ctx.Err() == nil; {
		if time.Since(lastBeat) >= heartbeatInterval && !r.env.store.isDown() {
			lastBeat = time.Now()
			r.heartbeat(seq)
			seq++
		}
		r.mu.Lock()
		if r.clock() > r.until {
			for _, t := range r.runs {
				r.finish(t, endLapsed)
			}
		}
		r.mu.Unlock()
		sleep(ctx, leaseCheck)
	}
}

func (r *runner) heartbeat(seq int) {
	m := r.machine
	r.env.store.set("servers/"+r.id, map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": m.capacity, "labels": m.labels, "clock_ms": r.clock().Milliseconds(), "seq": seq, "born": r.born.UnixMilli(),
	})
}

// clock returns the runner's own steady clock.
func (r *runner) clock() time.Duration { return clockStart + time.Since(r.born) }

// finish ends a run; the caller holds mu.
func (r *runner) finish(t *run, how string) {
	if r.runs[t.task] != t {
		return
	}
	t.timer.Stop()
	delete(r.runs, t.task)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, t.task, t.number, how})
	r.highest[t.task] = max(r.highest[t.task], t.number)
	r.env.log("runner %s: run %d of %s ends %s, end number %d", r.id, t.number, t.task, how, r.lastEnd)
	id, number := r.id, r.lastEnd
	r.env.note(func(h *history) {
		h.ends = append(h.ends, ended{id, number, t.task, t.number, how, time.Now(), time.Time{}})
	})
	close(r.changed)
	r.changed = make(chan struct{})
}

// order is the body of a call for one run.
type order struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence uint64 `json:"fence"`
	Saved string `json:"saved"`

	Ticket  string `json:"ticket"`
	Percent int    `json:"percent"`
}

// handle decodes an order, checks its addressee and its fence, and replies with the status and the reason of execute.
func (r *runner) handle(execute func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if json.NewDecoder(q.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if delay, late := r.env.orderLateBy(q.URL.Path, o); late {
			time.AfterFunc(delay, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.env.log("runner %s: an order that got no answer is carried out %s late: %s", r.id, delay, q.URL.Path)
				r.obey(o, execute)
			})
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		status, reason := r.obey(o, execute)
		body := map[string]any{"clock_ms": r.clock().Milliseconds(), "born": r.born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		reply(w, status, body)
	}
}

// obey executes an order unless its fence is lower than the highest one seen; the caller holds mu.
func (r *runner) obey(o order, execute func(order) (int, string)) (int, string) {
	if o.Fence < r.fence || r.crashed {
		return http.StatusConflict, "fence"
	}
	r.fence = o.Fence
	return execute(o)
}

// setPace sets the share at which a run works and disturbs; the caller holds mu.
func (r *runner) setPace(o order) (int, string) {
	if t := r.runs[o.Task]; t != nil && t.number == o.Run {
		t.pace = o.Percent
		r.env.log("runner %s: %s works at %d percent", r.id, o.Task, o.Percent)
	}
	return http.StatusOK, ""
}

// extend extends the lease, but not beyond the longest one; the caller holds mu.
func (r *runner) extend(untilMS int64) {
	r.until = max(r.until, min(time.Duration(untilMS)*time.Millisecond, r.clock()+holdMax))
}

// start begins a run; the caller holds mu.
func (r *runner) start(o order) (int, string) {
	if r.unhealthy {
		r.env.log("runner %s is unhealthy and refuses run %d of %s with 503", r.id, o.Run, o.Task)
		return http.StatusServiceUnavailable, ""
	}
	if !r.env.ticketValid(o, r.id) {
		return http.StatusConflict, "ticket"
	}
	old := r.runs[o.Task]
	switch {
	case old != nil && old.number == o.Run:
		return http.StatusOK, ""
	case o.Run <= r.highest[o.Task] || old != nil && o.Run < old.number:
		r.extend(o.Until)
		return http.StatusConflict, "old"
	case time.Duration(o.Until)*time.Millisecond <= r.clock():
		return http.StatusConflict, "late"
	}
	r.extend(o.Until)
	t := &run{task: o.Task, number: o.Run, saved: o.Saved, began: time.Now(), b: parseBehavior(o.Spec), pace: 100}
	t.timer = time.AfterFunc(time.Hour, func() {})
	switch {
	case t.b.crashes > 0:
		t.timer = time.AfterFunc(t.b.crashes, func() { r.crash("under " + t.task) })
	case t.b.work > 0:
		how := endDone
		if t.b.fails {
			how = endFailed
		}
		t.timer = time.AfterFunc(t.b.work, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(t, how)
		})
	}
	r.runs[o.Task] = t
	r.env.log("runner %s starts run %d of %s", r.id, o.Run, o.Task)
	id := r.id
	r.env.note(func(h *history) { h.starts = append(h.starts, started{id, o.Task, o.Run, time.Now()}) })
	return http.StatusOK, ""
}

// stop ends a run; the caller holds mu.
func (r *runner) stop(o order) (int, string) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if t := r.runs[o.Task]; t != nil && t.number <= o.Run {
		r.finish(t, endStopped)
	}
	return http.StatusOK, ""
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body struct {
		Until int64  `json:"until_ms"`
		Fence uint64 `json:"fence"`
		Ack   int64  `json:"ack_cursor"`
		Wait  int64  `json:"wait_ms"`
	}
	if json.NewDecoder(q.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if body.Fence < r.fence {
		defer r.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock_ms": r.clock().Milliseconds(), "born": r.born.UnixMilli(), "reason": "fence"})
		return
	}
	r.fence = body.Fence
	if body.Until > 0 {
		r.extend(body.Until)
	}
	if body.Ack > r.acked {
		r.acked = body.Ack
		r.ends = slices.DeleteFunc(r.ends, func(e end) bool { return e.number <= body.Ack })
		r.env.log("runner %s: ends up to %d are taken note of", r.id, body.Ack)
		id := r.id
		r.env.note(func(h *history) { h.acknowledge(id, body.Ack) })
	}
	deadline := time.After(time.Duration(min(body.Wait, 2000)) * time.Millisecond)
	for waiting := body.Wait > 0; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-q.Context().Done():
			waiting = false
		}
		r.mu.Lock()
	}
	running, ends := make([]any, 0), make([]any, 0)
	for _, t := range r.runs {
		percent, metric := 100, r.metric(t)
		if time.Since(t.began) < startupTime {
			percent = 0
		}
		running = append(running, []any{t.task, t.number, t.saved, percent, metric})
	}
	const listedEnds = 500
	for _, e := range r.ends[:min(len(r.ends), listedEnds)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer := map[string]any{"clock_ms": r.clock().Milliseconds(), "born": r.born.UnixMilli(), "running": running, "ended": ends}
	r.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

// metric returns the tail in milliseconds of a run that serves, and 10 for others; the caller holds mu.
func (r *runner) metric(t *run) int {
	if !t.b.serves {
		return 10
	}
	tail, share := r.env.disturbance()
	for _, other := range r.runs {
		if other.b.fills {
			tail += share * float64(other.pace) / 100
		}
	}
	return int(tail)
}

// tails returns, for each run that serves, its tail in milliseconds and what that would be without those that fill.
func (r *runner) tails() (with, without []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.runs {
		if t.b.serves {
			own, _ := r.env.disturbance()
			with, without = append(with, r.metric(t)), append(without, int(own))
		}
	}
	return with, without
}

// setUnhealthy makes the runner refuse all starts, or ends that.
func (r *runner) setUnhealthy(unhealthy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unhealthy = unhealthy
	r.env.log("runner %s: unhealthy %t", r.id, unhealthy)
}

// runCount returns the number of work units that run there.
func (r *runner) runCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}
