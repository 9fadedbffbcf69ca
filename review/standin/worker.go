package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1500 * time.Millisecond
	silentBeats  = 3 // after so many the platform removes the entry of a worker
	holdMax      = 6 * time.Second
	stopTime     = 50 * time.Millisecond
	startupTime  = 300 * time.Millisecond // of a work unit that lasts
	endsAtATime  = 500
	upkeepTime   = 2 * time.Second
	workerAnswer = 2 * time.Millisecond

	loggedRejects = 40 // further starts that are rejected are only counted
)

// size is an amount of resources.
type size struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem_mb"`
	GPU int `json:"gpu"`
}

// running is a run on a worker.
type running struct {
	task    string
	number  int64
	began   time.Time
	ends    time.Time // zero for one that lasts
	failing bool
	size    size
}

// ended is a run that has ended, as its worker lists it.
type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

// worker is one life of a runner.
type worker struct {
	f        *fleet
	id       string
	service  string
	zone     string
	labels   []string
	capacity size
	address  string
	born     time.Time
	server   *http.Server

	// Guarded by f.mu.
	alive   bool
	cut     bool // the entries do not reach it, nor it them
	gone    chan struct{}
	fence   int64
	until   int64
	runs    map[string]*running
	ends    []ended
	lastEnd int64
	highest map[string]int64 // number of the last run of each task that was stopped or ended
	seq     int
	news    chan struct{}
}

// startEvent is a start that a worker executed.
type startEvent struct {
	at     time.Time
	task   string
	run    int64
	worker *worker
}

// endEvent is the end of a run, as the worker saw it.
type endEvent struct {
	at   time.Time
	task string
	run  int64
	how  string
}

// fleet holds all workers and what they saw.
type fleet struct {
	mu      sync.Mutex
	kv      *kv
	rec     *recorder
	workers map[string]*worker // those that are up, by id
	starts  []startEvent
	endings []endEvent
	noted   map[string]bool // task/run of ends that were taken note of

	// work returns how long a run works, zero for one that lasts, and whether it fails then.
	work func(task string, run int64) (time.Duration, bool)
	// sizeOf returns what a task takes.
	sizeOf func(task string) size
	// ticket reports whether a ticket is valid on a life of a worker; nil where none is needed.
	ticket   func(w *worker, task, ticket string) bool
	rejected int // starts that were rejected
	// deadly reports whether a task crashes the worker that starts it, and sees to that; nil if none does.
	deadly func(w *worker, task string) bool
}

func newFleet(s *kv, rec *recorder) *fleet {
	return &fleet{kv: s, rec: rec, workers: make(map[string]*worker), noted: make(map[string]bool)}
}

// start starts a worker at an address, or at a free one if it is empty.
func (f *fleet) start(id, service, zone string, labels []string, capacity size, address string) (*worker, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	w := &worker{
		f: f, id: id, service: service, zone: zone, labels: labels, capacity: capacity, address: listener.Addr().String(), born: time.Now(),
		alive: true, gone: make(chan struct{}), runs: make(map[string]*running), highest: make(map[string]int64), news: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /daisysaddle/run-start", w.order(w.startRun))
	mux.HandleFunc("POST /daisysaddle/run-stop", w.order(w.stopRun))
	mux.HandleFunc("POST /daisysaddle/pace", w.order(func(orderBody) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /daisysaddle/hold", w.serveHold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		cut := w.cut
		f.mu.Unlock()
		if cut {
			<-r.Context().Done() // nothing arrives
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	go func() { _ = w.server.Serve(listener) }()
	f.mu.Lock()
	f.workers[id] = w
	f.mu.Unlock()
	f.rec.log("worker %s up at %s, labels %v", id, w.address, labels)
	w.beat()
	go w.live()
	return w, nil
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.f.mu.Lock()
	if !w.alive {
		w.f.mu.Unlock()
		return
	}
	w.seq++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": w.seq,
		"capacity": w.capacity, "labels": w.labels, "born": w.born.UnixMilli(), "clock_ms": w.clock(),
	}
	w.f.mu.Unlock()
	w.f.kv.write("servers/"+w.id, entry)
}

// live beats, ends runs and lets leases lapse until the worker is gone.
func (w *worker) live() {
	beats := time.NewTicker(heartbeat)
	ticks := time.NewTicker(5 * time.Millisecond)
	defer beats.Stop()
	defer ticks.Stop()
	for {
		select {
		case <-w.gone:
			return
		case <-beats.C:
			w.beat()
		case <-ticks.C:
			w.f.mu.Lock()
			w.advance()
			w.f.mu.Unlock()
		}
	}
}

// clock returns the worker's steady clock.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// advance ends the runs that are due. The caller holds f.mu.
func (w *worker) advance() {
	if !w.alive {
		return
	}
	if len(w.runs) > 0 && w.clock() > w.until {
		for _, r := range w.sorted() {
			w.end(r, "lapsed")
		}
	}
	for _, r := range w.sorted() {
		switch {
		case r.ends.IsZero() || time.Now().Before(r.ends):
		case r.failing:
			w.end(r, "failed")
		default:
			w.end(r, "done")
		}
	}
}

// sorted returns the runs in the order of their tasks. The caller holds f.mu.
func (w *worker) sorted() []*running {
	all := make([]*running, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].task < all[b].task })
	return all
}

// end ends a run and lists its end. The caller holds f.mu.
func (w *worker) end(r *running, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.task, r.number, how})
	w.f.endings = append(w.f.endings, endEvent{time.Now(), r.task, r.number, how})
	w.f.rec.log("worker %s: run %d of %s ends %s", w.id, r.number, r.task, how)
	close(w.news)
	w.news = make(chan struct{})
}

// vanish ends the worker and all that runs there, without a word. Its entry stays until the platform misses its beats, unless it leaves
// by order of the platform.
func (w *worker) vanish(why string, byOrder bool) {
	w.f.mu.Lock()
	if !w.alive {
		w.f.mu.Unlock()
		return
	}
	w.alive = false
	close(w.gone)
	delete(w.f.workers, w.id)
	for _, r := range w.sorted() {
		w.f.endings = append(w.f.endings, endEvent{time.Now(), r.task, r.number, why})
		w.f.rec.log("worker %s: run %d of %s ends with its worker", w.id, r.number, r.task)
	}
	w.runs = make(map[string]*running)
	w.f.mu.Unlock()
	w.f.rec.log("worker %s gone: %s", w.id, why)
	_ = w.server.Close()
	remove := func() {
		w.f.mu.Lock()
		_, back := w.f.workers[w.id]
		w.f.mu.Unlock()
		if !back {
			w.f.kv.remove("servers/" + w.id)
		}
	}
	if byOrder {
		remove()
		return
	}
	time.AfterFunc(silentBeats*heartbeat, remove)
}

// crashing is the reason of a start that is never answered, since its worker crashes.
const crashing = "crashing"

// orderBody is the body of an order for a run.
type orderBody struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Spec    string `json:"spec"`
	UntilMS int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
	Saved   string `json:"saved"`
	Ticket  string `json:"ticket"`
}

// order serves an order for a run.
func (w *worker) order(execute func(orderBody) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o orderBody
		if json.NewDecoder(r.Body).Decode(&o) != nil || o.Task == "" {
			answer(rw, http.StatusBadRequest, nil)
			return
		}
		time.Sleep(workerAnswer)
		if r.Header.Get("Expect-Instance") != w.id {
			answer(rw, http.StatusMisdirectedRequest, nil)
			return
		}
		w.f.mu.Lock()
		status, reason := http.StatusConflict, "fence"
		if o.Fence >= w.fence {
			w.fence = o.Fence
			status, reason = execute(o)
		}
		body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
		w.f.mu.Unlock()
		if reason == crashing {
			<-r.Context().Done()
			return
		}
		if reason != "" {
			body["reason"] = reason
		}
		answer(rw, status, body)
	}
}

// extend lengthens the leases. The caller holds f.mu.
func (w *worker) extend(untilMS int64) {
	w.until = max(w.until, min(untilMS, w.clock()+holdMax.Milliseconds()))
}

// startRun begins a run. The caller holds f.mu.
func (w *worker) startRun(o orderBody) (int, string) {
	w.advance()
	r := w.runs[o.Task]
	reject := func(reason string) (int, string) {
		if w.f.rejected++; w.f.rejected <= loggedRejects {
			w.f.rec.log("worker %s: run %d of %s rejected: %s", w.id, o.Run, o.Task, reason)
		}
		return http.StatusConflict, reason
	}
	switch {
	case o.UntilMS < w.clock():
		return reject("late")
	case r != nil && r.number == o.Run:
		return http.StatusOK, ""
	case o.Run <= w.highest[o.Task] || r != nil && o.Run < r.number:
		w.extend(o.UntilMS)
		return reject("old")
	case w.f.ticket != nil && !w.f.ticket(w, o.Task, o.Ticket):
		return reject("ticket")
	}
	if w.f.deadly != nil && w.f.deadly(w, o.Task) {
		w.f.rec.log("worker %s: run %d of %s begins and crashes it", w.id, o.Run, o.Task)
		return http.StatusOK, crashing
	}
	w.extend(o.UntilMS)
	r = &running{task: o.Task, number: o.Run, began: time.Now(), size: w.f.sizeOf(o.Task)}
	length, failing := w.f.work(o.Task, o.Run)
	if length > 0 {
		r.ends, r.failing = r.began.Add(length), failing
	}
	w.runs[o.Task] = r
	w.f.starts = append(w.f.starts, startEvent{r.began, o.Task, o.Run, w})
	w.f.rec.log("worker %s: run %d of %s begins", w.id, o.Run, o.Task)
	return http.StatusOK, ""
}

// stopRun stops a run. The caller holds f.mu.
func (w *worker) stopRun(o orderBody) (int, string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		time.AfterFunc(stopTime, func() {
			w.f.mu.Lock()
			defer w.f.mu.Unlock()
			if w.alive && w.runs[o.Task] == r {
				w.end(r, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

// serveHold renews the leases, takes note of the ends that the caller acknowledges, and lists what runs and has ended.
func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Fence   int64 `json:"fence"`
		Cursor  int64 `json:"ack_cursor"`
		UntilMS int64 `json:"until_ms"`
		WaitMS  int64 `json:"wait_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	time.Sleep(workerAnswer)
	if r.Header.Get("Expect-Instance") != w.id {
		answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	w.f.mu.Lock()
	if o.Fence < w.fence {
		body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "reason": "fence"}
		w.f.mu.Unlock()
		answer(rw, http.StatusConflict, body)
		return
	}
	w.fence = o.Fence
	w.extend(o.UntilMS)
	for len(w.ends) > 0 && w.ends[0].number <= o.Cursor {
		w.f.noted[runKey(w.ends[0].task, w.ends[0].run)] = true
		w.ends = w.ends[1:]
	}
	news, waiting := w.news, len(w.ends) == 0 && o.WaitMS > 0
	w.f.mu.Unlock()
	if waiting {
		select {
		case <-news:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.f.mu.Lock()
	w.advance()
	runs, ends := [][]any{}, [][]any{}
	for _, r := range w.sorted() {
		percent := 100
		if r.ends.IsZero() && time.Since(r.began) < startupTime {
			percent = 0
		}
		runs = append(runs, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), endsAtATime)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": runs, "ended": ends}
	w.f.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

func runKey(task string, run int64) string { return fmt.Sprint(task, "/", strconv.FormatInt(run, 10)) }

// used returns what runs on the workers of a service take, and what these have. The caller holds f.mu.
func (f *fleet) used(service string) (used, all size) {
	for _, w := range f.workers {
		if w.service != service {
			continue
		}
		all.CPU += w.capacity.CPU
		for _, r := range w.runs {
			used.CPU += r.size.CPU
		}
	}
	return used, all
}

// running returns the run of a task and its worker, or nil. The caller holds f.mu.
func (f *fleet) running(task string) (*running, *worker) {
	for _, w := range f.workers {
		if r := w.runs[task]; r != nil {
			return r, w
		}
	}
	return nil, nil
}

// begun returns how often a task was started.
func (f *fleet) begun(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.starts {
		if s.task == task {
			n++
		}
	}
	return n
}

// twice describes how a task runs twice at this moment, or returns an empty string.
func (f *fleet) twice(task string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var where []string
	for _, w := range f.workers {
		if r := w.runs[task]; r != nil {
			where = append(where, fmt.Sprintf("run %d on %s", r.number, w.id))
		}
	}
	if len(where) < 2 {
		return ""
	}
	sort.Strings(where)
	return fmt.Sprintf("TWICE: at %.3f s %s runs at the same time as %s", f.rec.at().Seconds(), task, strings.Join(where, " and "))
}

// hasEnded reports whether a run of a task has ended so.
func (f *fleet) hasEnded(task, how string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endings {
		if e.task == task && e.how == how {
			return true
		}
	}
	return false
}

// roomFor returns the number of workers of a service, with a label if one is given, that have room for a task twice over.
func (f *fleet) roomFor(service, label string, s size) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		if w.service != service || label != "" && !slices.Contains(w.labels, label) {
			continue
		}
		free := w.capacity
		for _, r := range w.runs {
			free.CPU -= r.size.CPU
			free.Mem -= r.size.Mem
		}
		if free.CPU >= 2*s.CPU && free.Mem >= 2*s.Mem {
			n++
		}
	}
	return n
}
