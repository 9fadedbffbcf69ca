package main

import "time"

const (
	routeChange = time.Second // from the ack of the job to the configuration
	shortTask   = 400         // ms
)

// removedRoute removes the route of an accepted job from the configuration while the first of its two steps runs.
func removedRoute(log *record, trouble bool) (int, error) {
	routes := []route{
		{"r-plan", host, smallPrefix, "non_idempotent", 3000, 600, 0, "lovo22d", 3, 1.6},
		{"r-other", host, largePrefix, "non_idempotent", 3000, 600, 0, "lovo22d", 3, 1.6},
	}
	d, err := newDeployment(log, 3, map[string]int{"lovo22d": 6}, routes)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	if err := d.settle(largePrefix); err != nil {
		return notRun, err
	}
	j := newJob(smallPrefix, step{Count: 4, CPU: 500, MemMB: 100, EstMS: 2000}, step{Count: 4, CPU: 500, MemMB: 100, EstMS: 2000, After: []int{0}})
	if accepted, status := d.submit(j); !accepted {
		log.line("job answered %d", status)
		return notRun, nil
	}
	log.line("job %s accepted", j.id)
	time.Sleep(routeChange)
	next := routes
	if trouble {
		next = routes[1:]
	}
	d.store.put("op/config", configuration(2, next, []service{{Name: "lovo22d"}}))
	log.line("configuration 2 has %d of 2 routes", len(next))
	idle := d.longestIdle(j, finishTime)
	status, state := d.state(j)
	firstDone, secondDone := log.total("done "+j.id+".0.0"), log.total("done "+j.id+".0.1")
	log.line("GET answers %d %q; of its steps %d and %d of 4 tasks have ended done, %d of 8 have started, nothing of it ran for %s", status, state, firstDone, secondDone, log.startsOf(j.id), idle.Round(time.Millisecond))
	log.line("%d tasks run on 6 workers", d.runCount())
	other := newJob(largePrefix, step{Count: 1, CPU: 500, MemMB: 100, EstMS: shortTask})
	accepted, _ := d.submit(other)
	time.Sleep(emptyWait)
	_, otherState := d.state(other)
	log.line("a job on the route that stays: accepted %t, %q", accepted, otherState)
	if firstDone == 4 && secondDone < 4 && idle >= idleLimit {
		return broken, nil
	}
	return held, nil
}
