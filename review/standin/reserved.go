package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playReserved: one of the two workers that may run a step that lasts crashes, is back, and is lost for good. The owner keeps the other one free for
// the task that ran there, which can't start beside its sibling, and starts no other job on it.
func playReserved(d *deployment, trouble bool) ([]string, error) {
	unit := size{CPU: 1000, Mem: 1024}
	d.fleet.sizeOf = func(string) size { return unit }
	lasting := jobID()
	d.fleet.work = func(task string, _ int64) (time.Duration, bool) {
		if strings.HasPrefix(task, lasting) {
			return 0, false
		}
		return 500 * time.Millisecond, false
	}
	d.configure(1, []string{"plans"}, route("plan", plans, "plans"), route("digest", digests, "plans"))
	for i := range 8 {
		kind := "a"
		if i < 2 {
			kind = "b"
		}
		if _, err := d.cloud.add(fmt.Sprintf("plans-%d", i+1), "plans", d.zones[i%len(d.zones)], []string{kind, fmt.Sprintf("r%d", i/4+1)}, workerSize); err != nil {
			return nil, err
		}
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	step := map[string]any{"count": 2, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 1000, "long_running": true, "may_miss": 1, "max_per_server": 1, "required_label": "b"}
	if !d.submit(digests, lasting, map[string]any{"spec": "lasts", "steps": []any{step}}) {
		return nil, errNoSetup
	}
	tasks := []string{lasting + ".0.0.0", lasting + ".0.0.1"}
	if !until(5*time.Second, func() bool { return d.allRun(tasks) }) {
		return nil, errNoSetup
	}
	time.Sleep(time.Second)
	if trouble {
		if err := d.cloud.crash("plans-2", time.Second); err != nil {
			return nil, err
		}
		if !until(8*time.Second, func() bool { return d.allRun(tasks) }) {
			return nil, errNoSetup
		}
		time.Sleep(time.Second)
		d.cloud.mu.Lock()
		w := d.cloud.machines["plans-2"].runner
		d.cloud.mu.Unlock()
		d.cloud.lose(w)
	}
	time.Sleep(silentBeats*heartbeat + 3*time.Second)
	id := jobID()
	short := map[string]any{"count": 1, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 500, "required_label": "b"}
	if !d.submit(plans, id, map[string]any{"spec": "short", "steps": []any{short}}) {
		return nil, errNoSetup
	}
	time.Sleep(finish)
	d.call(d.entries[0], http.MethodGet, plans+id, nil)
	if d.fleet.begun(id+".0.0.0") > 0 {
		return nil, nil
	}
	if b := d.waitsInVain(id+".0.0.0", "plans", "b", unit, standing); b != "" {
		return []string{b}, nil
	}
	return nil, nil
}
