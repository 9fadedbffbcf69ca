package main

import (
	"time"
)

const (
	occurrences    = 60_000
	intervalMS     = 1
	recordCheck    = time.Second
	recordDeadline = 80 * time.Second // until which the record of the schedule must have reached the limit
	settleTime     = 8 * time.Second  // from then until the other job is handed in
	finishTime     = 14 * time.Second
	idleLimit      = 3 * time.Second // for which a job may have nothing running
	idleCheck      = 50 * time.Millisecond
)

// progressBytes returns the size of a job's record of its progress.
func (s *store) progressBytes(j *job) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items["daisysaddle/progress/"+j.id].Value)
}

// refusals returns the number of changes that were refused for the size of a value.
func (s *store) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge
}

// schedule runs a scheduled job with many occurrences, until the store refuses the record of its progress, and then another job.
func schedule(log *record, trouble bool) (int, error) {
	routes := []route{{"r-plan", host, smallPrefix, "non_idempotent", 3000, 600, 0, "lovo22d", 3, 1.6}}
	d, err := newDeployment(log, 3, map[string]int{"lovo22d": 6}, routes)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	d.store.unlimited = !trouble
	if err := d.settle(smallPrefix); err != nil {
		return notRun, err
	}
	began := time.Now()
	scheduled := newJob(smallPrefix, step{Count: 1, CPU: 1, MemMB: 1, EstMS: 5})
	scheduled.Repeats, scheduled.FirstMS, scheduled.IntervalMS = occurrences, time.Now().UnixMilli(), intervalMS
	if accepted, status := d.submit(scheduled); !accepted {
		log.line("scheduled job answered %d", status)
		return notRun, nil
	}
	for time.Since(began) < recordDeadline && d.store.refusals() == 0 && d.store.progressBytes(scheduled) < maxValueBytes {
		time.Sleep(recordCheck)
		log.line("%d runs started, %d done, record of %d bytes", log.total("run started"), log.total("run done"), d.store.progressBytes(scheduled))
	}
	log.line("record of %d bytes, %d changes refused", d.store.progressBytes(scheduled), d.store.refusals())
	if d.store.refusals() == 0 && d.store.progressBytes(scheduled) < maxValueBytes {
		return notRun, nil
	}
	time.Sleep(settleTime)
	other := newJob(smallPrefix, step{Count: 4, CPU: 500, MemMB: 100, EstMS: 300}, step{Count: 4, CPU: 500, MemMB: 100, EstMS: 300, After: []int{0}})
	accepted, status := d.submit(other)
	log.line("other job %s answered %d", other.id, status)
	idle := d.longestIdle(other, finishTime)
	_, state := d.state(other)
	firstDone := log.total("done " + other.id + ".0.0")
	log.line("other job is %q after %s: %d of 4 tasks of its first step have ended done, %d of 8 have started, nothing of it ran for %s", state, finishTime, firstDone, log.startsOf(other.id), idle.Round(time.Millisecond))
	log.line("%d tasks run on the workers; %d changes refused, %d runs started", d.runCount(), d.store.refusals(), log.total("run started"))
	if accepted && state != "completed" && idle >= idleLimit {
		return broken, nil
	}
	return held, nil
}

// longestIdle watches a job for some time and returns the longest span in which none of its tasks ran.
func (d *deployment) longestIdle(j *job, watched time.Duration) time.Duration {
	var longest time.Duration
	ran, end := time.Now(), time.Now().Add(watched)
	for time.Now().Before(end) {
		time.Sleep(idleCheck)
		for _, w := range d.workers {
			if w.runsOf(j) > 0 {
				ran = time.Now()
			}
		}
		longest = max(longest, time.Since(ran))
	}
	return longest
}

// runCount returns the number of tasks that run on all workers.
func (d *deployment) runCount() int {
	n := 0
	for _, w := range d.workers {
		n += w.runCount()
	}
	return n
}
