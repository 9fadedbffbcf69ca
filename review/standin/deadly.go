package main

import (
	"fmt"
	"time"
)

// playDeadly: after a quiet time comes a job whose work unit crashes each runner that starts it.
func playDeadly(d *deployment, trouble bool) ([]string, error) {
	const quiet = 75 * time.Second
	unit := size{CPU: 1000, Mem: 1024}
	d.fleet.sizeOf = func(string) size { return unit }
	d.fleet.work = func(string, int64) (time.Duration, bool) { return 500 * time.Millisecond, false }
	d.configure(1, []string{"plans"}, route("plan", plans, "plans"))
	if err := d.addMachines("plans", 6, workerSize); err != nil {
		return nil, err
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	step := map[string]any{"count": 1, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 500}
	if !d.submit(plans, jobID(), map[string]any{"spec": "sound", "steps": []any{step}}) {
		return nil, errNoSetup
	}
	time.Sleep(quiet)
	id := jobID()
	crashes := 0
	d.fleet.deadly = func(w *worker, task string) bool {
		if !trouble || task != id+".0.0.0" {
			return false
		}
		crashes++
		go func() {
			d.cloud.mu.Lock()
			name := ""
			for _, m := range d.cloud.machines {
				if m.runner == w {
					name = m.name
				}
			}
			d.cloud.mu.Unlock()
			_ = d.cloud.crash(name, 1500*time.Millisecond)
		}()
		return true
	}
	if !d.submit(plans, id, map[string]any{"spec": "deadly", "steps": []any{step}}) {
		return nil, errNoSetup
	}
	time.Sleep(15 * time.Second)
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.rec.log("%d runners crashed under the work unit", crashes)
	if crashes >= 6 {
		return []string{fmt.Sprintf("BUDGET: the work unit was started %d times more after three runners had crashed under it", crashes-3)}, nil
	}
	return nil, nil
}
