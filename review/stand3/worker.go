package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a runner. A task runs for the milliseconds that its spec names, as "ms=800".
type worker struct {
	id       string
	pool     string
	address  string
	zone     string
	rack     string
	born     time.Time
	capacity map[string]int
	log      *record

	mu      sync.Mutex
	fence   uint64
	lease   time.Duration // end of the lease on the worker's clock
	runs    map[string]*run
	refused map[string]int64 // by task, the highest run that was stopped or has ended
	ends    [][]any
	lastEnd int64
	changed chan struct{}
}

// run is a task that a worker runs.
type run struct {
	number int64
	saved  string
	timer  *time.Timer
}

const maxListedEnds = 500

func newWorker(id, pool, address, zone, rack string, log *record) *worker {
	w := &worker{
		id: id, pool: pool, address: address, zone: zone, rack: rack, born: time.Now(), log: log,
		capacity: map[string]int{"cpu": 16000, "mem_mb": 32768, "gpu": 0},
		runs:     make(map[string]*run), refused: make(map[string]int64), changed: make(chan struct{}),
	}
	go w.expire()
	return w
}

// clock returns the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.born) }

// describe returns the worker's record in the store.
func (w *worker) describe(seq int) map[string]any {
	return map[string]any{
		"service": w.pool, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": w.capacity, "labels": []string{"a", w.rack}, "clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "seq": seq,
	}
}

// expire ends all runs when the lease is over.
func (w *worker) expire() {
	for {
		time.Sleep(leaseCheckPause)
		w.mu.Lock()
		if w.clock() > w.lease {
			for task := range w.runs {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends the run of a task. The caller holds mu.
func (w *worker) end(task, how string) {
	r := w.runs[task]
	r.timer.Stop()
	delete(w.runs, task)
	w.refused[task] = max(w.refused[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, task, r.number, how, r.saved})
	w.log.count("run " + how)
	w.log.count(how + " " + task[:strings.LastIndex(task, ".")])
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of every call of a worker.
type order struct {
	Task      string `json:"task"`
	Run       int64  `json:"run"`
	Spec      string `json:"spec"`
	UntilMS   int64  `json:"until_ms"`
	Fence     uint64 `json:"fence"`
	Saved     string `json:"saved"`
	AckCursor int64  `json:"ack_cursor"`
	WaitMS    int64  `json:"wait_ms"`
}

// ServeHTTP answers one call.
func (w *worker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		w.mu.Unlock()
		w.refuse(response, "fence")
		return
	}
	w.fence = o.Fence
	w.lease = max(w.lease, time.Duration(o.UntilMS)*time.Millisecond)
	switch strings.TrimPrefix(r.URL.Path, "/daisysaddle/") {
	case "run-start":
		reason := w.start(o)
		w.mu.Unlock()
		if reason != "" {
			w.refuse(response, reason)
			return
		}
		answer(response, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()})
	case "run-stop":
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
			w.end(o.Task, "stopped")
		}
		w.refused[o.Task] = max(w.refused[o.Task], o.Run)
		w.mu.Unlock()
		answer(response, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()})
	case "hold":
		for len(w.ends) > 0 && w.ends[0][0].(int64) <= o.AckCursor {
			w.ends = w.ends[1:]
		}
		changed, has := w.changed, len(w.ends) > 0
		w.mu.Unlock()
		if !has && o.WaitMS > 0 {
			select {
			case <-changed:
			case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		w.list(response)
	default:
		w.mu.Unlock()
		answer(response, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()})
	}
}

// start starts a run and returns why it can't. The caller holds mu.
func (w *worker) start(o order) string {
	if old := w.runs[o.Task]; old != nil && old.number == o.Run {
		return ""
	}
	if o.Run <= w.refused[o.Task] || w.runs[o.Task] != nil {
		return "old"
	}
	if w.clock() > w.lease {
		return "late"
	}
	next := &run{number: o.Run, saved: o.Saved}
	next.timer = time.AfterFunc(specTime(o.Spec), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[o.Task] == next {
			w.end(o.Task, "done")
		}
	})
	w.runs[o.Task] = next
	w.log.count("run started")
	w.log.started(strings.SplitN(o.Task, ".", 2)[0])
	return ""
}

// list answers with the running and the ended runs.
func (w *worker) list(response http.ResponseWriter) {
	w.mu.Lock()
	running := [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, r.saved, 100, 100})
	}
	ended := append([][]any{}, w.ends[:min(len(w.ends), maxListedEnds)]...)
	w.mu.Unlock()
	answer(response, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

// runsOf returns the number of a job's tasks that run on the worker.
func (w *worker) runsOf(j *job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task := range w.runs {
		if strings.HasPrefix(task, j.id) {
			n++
		}
	}
	return n
}

// runCount returns the number of tasks that run on the worker.
func (w *worker) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

func (w *worker) refuse(response http.ResponseWriter, reason string) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(http.StatusConflict)
	answer(response, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

// specTime returns the duration that a spec names.
func specTime(spec string) time.Duration {
	text, _ := strings.CutPrefix(spec, "ms=")
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(fmt.Sprintf("spec %q: want ms=N", spec)) // this program sent it
	}
	return time.Duration(n) * time.Millisecond
}
