package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	lateWrite    = 5900 * time.Millisecond // from the arrival of a write to its effect; the bench has 1 to 6 s
	cancelLimit  = 3 * time.Second         // cancel_ms
	cancelSlack  = 200 * time.Millisecond
	watchedAfter = 9 * time.Second
	emptyWait    = 2 * time.Second
	otherJobs    = 60 // jobs of other clients meanwhile, whose writes are answered
	otherPause   = 30 * time.Millisecond
)

// lateCancel leaves the write of a job unanswered and carries it out late, after the job was cancelled.
func lateCancel(log *record, trouble bool) (int, error) {
	routes := []route{{"r-plan", host, smallPrefix, "non_idempotent", 3000, 600, 0, "lovo22d", 3, 1.6}}
	d, err := newDeployment(log, 3, map[string]int{"lovo22d": 6}, routes)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	if err := d.settle(smallPrefix); err != nil {
		return notRun, err
	}
	j := newJob(smallPrefix, step{Count: 2, CPU: 500, MemMB: 100, EstMS: shortTask})
	if trouble {
		d.store.loseWritesOf("daisysaddle/jobs/" + j.id)
	}
	var others sync.WaitGroup
	others.Go(func() { d.submitOthers(otherJobs) })
	defer others.Wait()
	body, err := json.Marshal(j)
	if err != nil {
		return notRun, err
	}
	status, _ := call(d.entries[0].front, http.MethodPost, j.prefix+j.id, body)
	log.line("POST %s answered %d", j.id, status)
	status, _ = call(d.entries[0].front, http.MethodDelete, j.prefix+j.id, nil)
	acked := time.Now()
	log.line("DELETE answered %d", status)
	if status/100 != 2 && status != http.StatusGone {
		return notRun, nil
	}
	d.store.answerAll()
	lost, writes := d.store.writeCounts()
	before := log.startsOf(j.id)
	late := false
	for time.Since(acked) < watchedAfter {
		time.Sleep(idleCheck)
		if n := log.startsOf(j.id); n > before {
			before = n
			log.line("%d tasks have started, %s after the answer to DELETE", n, time.Since(acked).Round(time.Millisecond))
			late = late || time.Since(acked) > cancelLimit+cancelSlack
		}
	}
	status, state := d.state(j)
	log.line("GET answers %d %q; %d starts, %d of %d writes lost", status, state, log.startsOf(j.id), lost, writes)
	if late {
		return broken, nil
	}
	return held, nil
}

// submitOthers hands in jobs of other clients.
func (d *deployment) submitOthers(n int) {
	for range n {
		_, _ = d.submit(newJob(smallPrefix, step{Count: 1, CPU: 500, MemMB: 100, EstMS: shortTask})) // only their writes matter
		time.Sleep(otherPause)
	}
}
