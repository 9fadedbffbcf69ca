package main

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	largePrefix = "/puxa400/"
	smallPrefix = "/tije37/"

	largeJobs     = 120
	largeClients  = 12
	smallJobs     = 20
	observedUntil = 45 * time.Second
	endsForFault  = 3 // ends of a process by itself that make a fault, on two machines or more
)

var errNoEntry = errors.New("no entry accepts jobs")

// settle starts all entries and waits until they have an owner and a job is done.
func (d *deployment) settle(prefix string) error {
	for _, e := range d.entries {
		if err := d.start(e); err != nil {
			return err
		}
	}
	end := time.Now().Add(entryWaitPeriod)
	for time.Now().Before(end) {
		j := newJob(prefix, step{Count: 1, CPU: 500, MemMB: 100, EstMS: 200})
		if accepted, _ := d.submit(j); accepted {
			for time.Now().Before(end) {
				if _, state := d.state(j); state == "completed" && d.owner() != nil {
					d.log.line("job %s is completed, %s owns the workers", j.id, d.owner().name)
					return nil
				}
				time.Sleep(retryPause)
			}
		}
		time.Sleep(retryPause)
	}
	return errNoEntry
}

// burst kills the owner and hands large jobs in at that moment.
func burst(log *record, trouble bool) (int, error) {
	routes := []route{
		{"r-large", host, largePrefix, "non_idempotent", 3000, 600, 1, "huvo11a", 3, 1.6},
		{"r-small", host, smallPrefix, "non_idempotent", 3000, 600, 0, "lovo22d", 3, 1.6},
	}
	d, err := newDeployment(log, 4, map[string]int{"huvo11a": 4, "lovo22d": 4}, routes)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	began := time.Now()
	if err := d.settle(smallPrefix); err != nil {
		return notRun, err
	}
	owner := d.owner()
	if trouble {
		log.line("SIGKILL to %s, the owner", owner.name)
		owner.kill()
		time.AfterFunc(restartDelay, func() { _ = d.start(owner) })
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var small []*job
	accepted := 0
	for c := range largeClients {
		group.Go(func() {
			for range largeJobs / largeClients {
				if ok, _ := d.submit(newJob(largePrefix, step{Count: 10000, CPU: 500, MemMB: 500, EstMS: 800})); ok {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
			for range smallJobs / largeClients {
				j := newJob(smallPrefix, step{Count: 2, CPU: 500, MemMB: 100, EstMS: 300})
				if ok, _ := d.submit(j); ok {
					mu.Lock()
					small = append(small, j)
					mu.Unlock()
				}
			}
			log.line("client %d has handed in its jobs", c)
		})
	}
	group.Wait()
	log.line("%d of %d large jobs and %d small ones accepted", accepted, largeJobs, len(small))
	time.Sleep(time.Until(began.Add(observedUntil)))
	lost := 0
	for _, j := range small {
		status, state := d.state(j)
		if starts := log.startsOf(j.id); state != "completed" {
			lost++
			log.line("small job %s: status %d, state %q, %d starts", j.id, status, state, starts)
		}
	}
	faulty := 0
	for _, e := range d.entries {
		ends := e.endCount()
		log.line("%s ended %d times by itself or over its memory", e.name, ends)
		if ends >= endsForFault {
			faulty++
		}
	}
	log.line("%d of %d accepted small jobs are not completed; %d runs started", lost, len(small), log.total("run started"))
	if lost > 0 || faulty > 1 {
		return broken, nil
	}
	return held, nil
}
