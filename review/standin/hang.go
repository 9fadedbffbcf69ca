package main

import (
	"fmt"
	"net/http"
	"time"
)

// playSteps: a caller hands in a job of many steps, each of which names all earlier ones in `after`; other callers' jobs follow.
func playSteps(d *deployment, trouble bool) ([]string, error) {
	const steps = 32
	unit := size{CPU: 1000, Mem: 512}
	d.fleet.sizeOf = func(string) size { return unit }
	d.fleet.work = func(string, int64) (time.Duration, bool) { return 200 * time.Millisecond, false }
	d.configure(1, []string{"plans"}, route("plan", plans, "plans"))
	if err := d.addMachines("plans", 4, workerSize); err != nil {
		return nil, err
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	step := func(after []int) map[string]any {
		s := map[string]any{"count": 1, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 200}
		if len(after) > 0 {
			s["after"] = after
		}
		return s
	}
	small := map[string]any{"spec": "small", "steps": []any{step(nil)}}
	for range 5 {
		id := jobID()
		if !d.submit(plans, id, small) || !until(5*time.Second, func() bool { return d.fleet.hasEnded(id+".0.0.0", "done") }) {
			return nil, errNoSetup
		}
	}
	large, earlier := []any{}, []int{}
	for i := range steps {
		after := earlier
		if !trouble && i > 0 {
			after = []int{i - 1} // the same order of the steps
		}
		large = append(large, step(after))
		earlier = append(earlier[:i:i], i)
	}
	if !d.submit(plans, jobID(), map[string]any{"spec": "large", "steps": large}) {
		return nil, errNoSetup
	}
	time.Sleep(time.Second)
	var ids []string
	for range 5 {
		id := jobID()
		if d.submit(plans, id, small) {
			ids = append(ids, id)
		}
	}
	d.rec.log("%d of 5 small jobs were accepted after the large one; nothing is sent from now on but questions", len(ids))
	time.Sleep(finish)
	var broken []string
	for _, id := range ids {
		d.call(d.entries[0], http.MethodGet, plans+id, nil)
		if d.fleet.begun(id+".0.0.0") > 0 {
			continue
		}
		if b := d.waitsInVain(id+".0.0.0", "plans", "", unit, standing); b != "" {
			broken = append(broken, b)
			break
		}
	}
	if len(broken) > 0 {
		broken[0] += fmt.Sprintf("; %d jobs were accepted", len(ids))
	}
	return broken, nil
}
