package main

import (
	"syscall"
	"time"
)

// playMoved: a configuration sends a queue to another service while a work unit of it runs on the old one; then a worker is cut off, and the
// owner gets SIGTERM.
func playMoved(d *deployment, trouble bool) ([]string, error) {
	const cutFor = 4 * time.Second
	unit := size{CPU: 1000, Mem: 1024}
	d.fleet.sizeOf = func(string) size { return unit }
	d.fleet.work = func(string, int64) (time.Duration, bool) { return 40 * time.Second, false }
	services := []string{"alfa", "beta"}
	d.configure(1, services, route("plan", plans, "alfa"))
	for _, s := range services {
		if err := d.addMachines(s, 6, workerSize); err != nil {
			return nil, err
		}
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	id := jobID()
	task := id + ".0.0.0"
	step := map[string]any{"count": 1, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 40000}
	if !d.submit(plans, id, map[string]any{"spec": "one", "steps": []any{step}}) || !until(5*time.Second, func() bool { return d.fleet.begun(task) > 0 }) {
		return nil, errNoSetup
	}
	time.Sleep(2 * time.Second)
	d.configure(2, services, route("plan", plans, "beta"))
	time.Sleep(4 * time.Second)
	d.fleet.mu.Lock()
	r, w := d.fleet.running(task)
	if r != nil && trouble {
		w.cut = true
		d.rec.log("worker %s is cut off from all entries", w.id)
	}
	d.fleet.mu.Unlock()
	owner := d.owner()
	if r == nil || owner == nil {
		return nil, errNoSetup
	}
	time.Sleep(100 * time.Millisecond)
	d.signal(owner, syscall.SIGTERM)
	var broken []string
	began, overlap := time.Now(), time.Duration(0)
	for last := began; time.Since(began) < 12*time.Second; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > cutFor {
			d.fleet.mu.Lock()
			if w.cut {
				w.cut = false
				d.rec.log("worker %s is back", w.id)
			}
			d.fleet.mu.Unlock()
		}
		now := time.Now()
		if b := d.fleet.twice(task); b != "" {
			if broken == nil {
				broken = []string{b}
			}
			overlap += now.Sub(last)
		}
		last = now
	}
	d.rec.log("two runs at the same time for %s in all", overlap.Round(time.Millisecond))
	return broken, nil
}
