package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	workerSize = size{CPU: 16000, Mem: 32768}
	errNoSetup = errors.New("the case did not get to its disruption")
)

const (
	plans    = "/plans100/"
	digests  = "/digests200/"
	finish   = 14 * time.Second // finish_s
	standing = 3 * time.Second  // for which a work unit has nothing running, in LOST
	settled  = 6 * time.Second  // from the last run of a work unit that lasts, in LOST
)

// route returns a route of the configuration.
func route(name, prefix, service string) map[string]any {
	return map[string]any{"name": name, "host": "jobs.example", "prefix": prefix, "service": service, "priority": 0, "attempts": 3, "stretch": 1.6, "target_runtime_ms": 600, "timeout_ms": 3000}
}

// configure publishes a configuration.
func (d *deployment) configure(version int, services []string, routes ...map[string]any) {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 64, "admission_check": false})
	}
	names := []string{}
	for _, r := range routes {
		names = append(names, r["prefix"].(string))
	}
	d.kv.write("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 30000},
	})
	d.rec.log("operator: configuration %d with the routes %s", version, strings.Join(names, " "))
}

// addMachines adds n machines to a service.
func (d *deployment) addMachines(service string, n int, capacity size) error {
	for i := range n {
		zone := d.zones[i%len(d.zones)]
		rack := fmt.Sprintf("r%d", i/4+1)
		if _, err := d.cloud.add(fmt.Sprintf("%s-%d", service, i+1), service, zone, []string{"a", rack}, capacity); err != nil {
			return err
		}
	}
	return nil
}

// begin starts the entries and waits until they are ready.
func (d *deployment) begin() error {
	if err := d.startEntries(3); err != nil {
		return err
	}
	if err := d.waitReady(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// until waits until a condition holds, and reports whether it did in time.
func until(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// waitsInVain watches a task for the given time and describes how it breaks LOST: it has nothing running all the while, though its turn has
// come, a worker with the label that it needs has room for it twice over, and under half of the capacity of its service is in use.
func (d *deployment) waitsInVain(task, service, label string, s size, watch time.Duration) string {
	began := time.Now()
	for time.Since(began) < watch {
		d.fleet.mu.Lock()
		r, _ := d.fleet.running(task)
		used, all := d.fleet.used(service)
		d.fleet.mu.Unlock()
		if r != nil || d.fleet.roomFor(service, label, s) == 0 || 2*used.CPU >= all.CPU {
			return ""
		}
		time.Sleep(10 * time.Millisecond)
	}
	used, all := d.usedBy(service)
	return fmt.Sprintf("LOST: at %.3f s %s has had nothing running for %s; %d workers that may run it have room for it twice over, %d of %d thousandths of a core are in use", d.rec.at().Seconds(), task, watch, d.fleet.roomFor(service, label, s), used.CPU, all.CPU)
}

func (d *deployment) usedBy(service string) (used, all size) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.fleet.used(service)
}

// playUpkeep: the owner's order for the upkeep of a machine is left unanswered and carried out 4 s later; the owner gets SIGTERM meanwhile.
func playUpkeep(d *deployment, trouble bool) ([]string, error) {
	const heldFor = 4 * time.Second
	half := size{CPU: workerSize.CPU / 2, Mem: 1024}
	d.fleet.sizeOf = func(string) size { return half }
	released := make(chan struct{}) // closed when the work of the second job ends
	long, short := jobID(), jobID()
	d.fleet.work = func(string, int64) (time.Duration, bool) {
		select {
		case <-released:
			return 500 * time.Millisecond, false
		default:
			return time.Minute, false
		}
	}
	d.configure(1, []string{"plans"}, route("plan", plans, "plans"))
	if err := d.addMachines("plans", 4, workerSize); err != nil {
		return nil, err
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	whole := map[string]any{"count": 1, "cpu": workerSize.CPU, "mem_mb": 1024, "est_ms": 60000}
	halves := map[string]any{"count": 6, "cpu": half.CPU, "mem_mb": half.Mem, "est_ms": 5000}
	if !d.submit(plans, long, map[string]any{"spec": "long", "steps": []any{whole}}) || !until(5*time.Second, func() bool { return d.fleet.begun(long+".0.0.0") > 0 }) {
		return nil, errNoSetup
	}
	if !d.submit(plans, short, map[string]any{"spec": "short", "steps": []any{halves}}) || !until(5*time.Second, func() bool { return d.fleet.begun(short+".0.0.5") > 0 }) {
		return nil, errNoSetup
	}
	time.Sleep(8 * time.Second) // the demand of the two jobs has passed

	first := make(chan struct{})
	held := false
	d.cloud.mu.Lock()
	d.cloud.holdBack = func() time.Duration {
		if held {
			return 0
		}
		held = true
		close(first)
		if trouble {
			return heldFor
		}
		return 0
	}
	d.cloud.mu.Unlock()
	request := waveRequest{Wave: 1, WithinS: 60, Cap: 1}
	d.cloud.mu.Lock()
	for name := range d.cloud.machines {
		request.Machines = append(request.Machines, name)
	}
	slices.Sort(request.Machines)
	d.cloud.waves[1] = request
	d.cloud.mu.Unlock()
	d.kv.write("op/wave/1", request)
	d.rec.log("operator: wave 1, %v, one at once", request.Machines)
	select {
	case <-first:
	case <-time.After(20 * time.Second):
		return nil, errNoSetup
	}
	// The work of the short job ends now, and the owner is stopped as planned.
	close(released)
	d.fleet.finishAll(short)
	time.Sleep(300 * time.Millisecond)
	owner := d.owner()
	if owner == nil {
		return nil, errNoSetup
	}
	d.signal(owner, syscall.SIGTERM)
	time.Sleep(18 * time.Second)
	d.cloud.mu.Lock()
	defer d.cloud.mu.Unlock()
	return d.cloud.broken, nil
}

// finishAll lets the runs of a job end as done now.
func (f *fleet) finishAll(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for _, r := range w.sorted() {
			if strings.HasPrefix(r.task, job) {
				r.ends = time.Now()
			}
		}
	}
}

// playRoute: a configuration removes a route while a job that was accepted on it has a step to come.
func playRoute(d *deployment, trouble bool) ([]string, error) {
	unit := size{CPU: 1000, Mem: 512}
	d.fleet.sizeOf = func(string) size { return unit }
	d.fleet.work = func(string, int64) (time.Duration, bool) { return 4 * time.Second, false }
	services := []string{"plans"}
	d.configure(1, services, route("plan", plans, "plans"), route("digest", digests, "plans"))
	if err := d.addMachines("plans", 4, workerSize); err != nil {
		return nil, err
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	id := jobID()
	step := map[string]any{"count": 1, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 4000}
	next := map[string]any{"count": 1, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 4000, "after": []int{0}}
	if !d.submit(plans, id, map[string]any{"spec": "two steps", "steps": []any{step, next}}) || !until(5*time.Second, func() bool { return d.fleet.begun(id+".0.0.0") > 0 }) {
		return nil, errNoSetup
	}
	time.Sleep(time.Second)
	if trouble {
		d.configure(2, services, route("digest", digests, "plans"))
	} else {
		d.configure(2, services, route("plan", plans, "plans"), route("digest", digests, "plans"), route("extra", "/extra300/", "plans"))
	}
	if !until(10*time.Second, func() bool { return d.fleet.hasEnded(id+".0.0.0", "done") }) {
		return nil, errNoSetup
	}
	d.rec.log("the first step is done; nothing is sent from now on but questions")
	time.Sleep(finish)
	d.call(d.entries[0], http.MethodGet, plans+id, nil)
	if d.fleet.begun(id+".0.1.0") > 0 {
		return nil, nil
	}
	if b := d.waitsInVain(id+".0.1.0", "plans", "", unit, standing); b != "" {
		return []string{b}, nil
	}
	return nil, nil
}

// playLasting: one of eight workers is lost for good, and the work unit that lasts there has nowhere to go by the owner's own limit.
func playLasting(d *deployment, trouble bool) ([]string, error) {
	unit := size{CPU: 1000, Mem: 1024}
	d.fleet.sizeOf = func(string) size { return unit }
	d.fleet.work = func(string, int64) (time.Duration, bool) { return 0, false }
	d.configure(1, []string{"plans"}, route("digest", digests, "plans"))
	if err := d.addMachines("plans", 8, workerSize); err != nil {
		return nil, err
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	id := jobID()
	step := map[string]any{"count": 8, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 1000, "long_running": true, "may_miss": 1}
	if !d.submit(digests, id, map[string]any{"spec": "lasts", "steps": []any{step}}) {
		return nil, errNoSetup
	}
	tasks := make([]string, 8)
	for i := range tasks {
		tasks[i] = fmt.Sprintf("%s.0.0.%d", id, i)
	}
	if !until(10*time.Second, func() bool { return d.allRun(tasks) }) {
		return nil, errNoSetup
	}
	time.Sleep(4 * time.Second)
	if trouble {
		d.fleet.mu.Lock()
		_, w := d.fleet.running(tasks[0])
		d.fleet.mu.Unlock()
		d.cloud.lose(w)
	}
	// The crash is an impairment until the platform takes the worker's entry away, 4.5 s later; 3 s and 4 s of calm and 3 s without a run follow.
	time.Sleep(silentBeats*heartbeat + settled + 7*time.Second)
	for _, task := range tasks {
		if b := d.waitsInVain(task, "plans", "", unit, standing); b != "" {
			return []string{b}, nil
		}
	}
	return nil, nil
}

// allRun reports whether all tasks run.
func (d *deployment) allRun(tasks []string) bool {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	for _, task := range tasks {
		if r, _ := d.fleet.running(task); r == nil {
			return false
		}
	}
	return true
}

// lose ends a worker for good; its machine is down from now on.
func (c *cloud) lose(w *worker) {
	c.mu.Lock()
	for _, m := range c.machines {
		if m.runner == w {
			m.runner, m.state = nil, "down"
		}
	}
	c.mu.Unlock()
	w.vanish("crash, for good", false)
}

// playTicket: the worker that alone may run a step crashes and is back under its id after two seconds; the ticket was for its earlier life.
func playTicket(d *deployment, trouble bool) ([]string, error) {
	const valid = 30 * time.Second
	unit := size{CPU: 1000, Mem: 1024}
	d.fleet.sizeOf = func(string) size { return unit }
	d.fleet.work = func(string, int64) (time.Duration, bool) { return 6 * time.Second, false }
	advised, err := newAdvisor(d, "i-plans-1-1", valid)
	if err != nil {
		return nil, err
	}
	d.fleet.ticket = advised.holds
	d.advice = advised.address
	r := route("plan", plans, "plans")
	r["advice"] = map[string]any{"decide_ms": 50, "each_ms": 5, "valid_ms": valid.Milliseconds()}
	d.configure(1, []string{"plans"}, r)
	if err := d.addMachines("plans", 8, workerSize); err != nil {
		return nil, err
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	id := jobID()
	step := map[string]any{"count": 1, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 6000}
	if !d.submit(plans, id, map[string]any{"spec": "one", "steps": []any{step}}) || !until(5*time.Second, func() bool { return d.fleet.begun(id+".0.0.0") > 0 }) {
		return nil, errNoSetup
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := d.cloud.crash("plans-1", 2*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(finish)
	d.call(d.entries[0], http.MethodGet, plans+id, nil)
	if d.fleet.hasEnded(id+".0.0.0", "done") {
		return nil, nil
	}
	if b := d.waitsInVain(id+".0.0.0", "plans", "", unit, standing); b != "" {
		return []string{fmt.Sprintf("%s; %d starts were rejected", b, d.fleet.rejected)}, nil
	}
	return nil, nil
}

// crash ends a machine's worker, and starts it again under its id and address after a while.
func (c *cloud) crash(name string, down time.Duration) error {
	c.mu.Lock()
	m := c.machines[name]
	w := m.runner
	m.runner, m.state = nil, "down"
	c.mu.Unlock()
	w.vanish("crash", false)
	time.Sleep(down)
	next, err := c.f.start(w.id, w.service, w.zone, w.labels, w.capacity, w.address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	m.runner, m.state = next, "up"
	c.mu.Unlock()
	return nil
}

// advisor is the service that knows which workers may run a step.
type advisor struct {
	d       *deployment
	mu      sync.Mutex
	good    string // id of the worker that may run all steps
	valid   time.Duration
	issued  map[string]issuedTicket
	address string
}

type issuedTicket struct {
	step string
	life *worker
	at   time.Time
}

func newAdvisor(d *deployment, good string, valid time.Duration) (*advisor, error) {
	a := &advisor{d: d, good: good, valid: valid, issued: make(map[string]issuedTicket)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /daisysaddle/advise", a.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return a, nil
}

func (a *advisor) serve(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	a.mu.Lock() // one call at a time
	defer a.mu.Unlock()
	time.Sleep(50*time.Millisecond + time.Duration(len(o.Workers))*5*time.Millisecond)
	rows := [][2]string{}
	a.d.fleet.mu.Lock()
	life := a.d.fleet.workers[a.good]
	a.d.fleet.mu.Unlock()
	if slices.Contains(o.Workers, a.good) && life != nil {
		ticket := jobID()
		a.issued[ticket] = issuedTicket{o.Step, life, time.Now()}
		rows = append(rows, [2]string{a.good, ticket})
	}
	a.d.rec.log("advice: %s is asked about with %v: %v", o.Step, o.Workers, rows)
	answer(w, http.StatusOK, map[string]any{"good": rows, "valid_ms": a.valid.Milliseconds()})
}

// holds reports whether a ticket is valid for a task on a life of a worker.
func (a *advisor) holds(w *worker, task, ticket string) bool {
	t, known := a.issued[ticket]
	return known && t.life == w && strings.HasPrefix(task, t.step+".") && time.Since(t.at) <= a.valid
}

// playCancel: the answers to the writes of one job are lost and the writes are done seconds later; the caller, who got no success, cancels.
func playCancel(d *deployment, trouble bool) ([]string, error) {
	const (
		late       = 6 * time.Second // the longest that the pages name
		cancelTime = 3 * time.Second
	)
	unit := size{CPU: 1000, Mem: 512}
	d.fleet.sizeOf = func(string) size { return unit }
	d.fleet.work = func(string, int64) (time.Duration, bool) { return 2 * time.Second, false }
	d.configure(1, []string{"plans"}, route("plan", plans, "plans"))
	if err := d.addMachines("plans", 4, workerSize); err != nil {
		return nil, err
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	step := map[string]any{"count": 1, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 2000}
	job := map[string]any{"spec": "one", "steps": []any{step}}
	for range 10 {
		if !d.submit(plans, jobID(), job) {
			return nil, errNoSetup
		}
	}
	id := jobID()
	lost := 0
	d.kv.mu.Lock()
	d.kv.holdBack = func(t transaction) time.Duration {
		for _, p := range t.SetKeys {
			if trouble && strings.HasSuffix(p.Key, "jobs/"+id) {
				lost++
				d.rec.log("store: a write of the job gets no answer and is done %s later", late)
				return late
			}
		}
		return 0
	}
	d.kv.mu.Unlock()
	d.call(d.entries[0], http.MethodPost, plans+id, job)
	r := d.call(d.entries[1], http.MethodDelete, plans+id, nil)
	acked := time.Now()
	if r.status != http.StatusGone && (r.status < 200 || r.status > 299) {
		return nil, errNoSetup
	}
	time.Sleep(15 * time.Second)
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.rec.log("%d of %d writes got no answer", lost, d.kv.writes)
	for _, s := range d.fleet.starts {
		if strings.HasPrefix(s.task, id) && s.at.Sub(acked) > cancelTime {
			return []string{fmt.Sprintf("UNASKED: run %d of %s is started %.3f s after the cancelling was acknowledged with %d", s.run, s.task, s.at.Sub(acked).Seconds(), r.status)}, nil
		}
	}
	return nil, nil
}
