package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["deadly"] = playDeadly
	scenarios["waiting"] = playWaiting
	scenarios["route"] = playRoute
	scenarios["cancel"] = playCancel
	scenarios["advice"] = playAdvice
	scenarios["slow-advice"] = playSlowAdvice
	scenarios["pace"] = playPace
	scenarios["after-twice"] = playAfterTwice
	scenarios["kind"] = playKind
	scenarios["channels"] = playChannels
}

const service = "huvo11a"

var workerSize = size{CPU: 16000, Mem: 32768}

// crashesUnder returns the crashes of runners that ran the work unit.
func (h *history) crashesUnder(task string) []crash {
	var under []crash
	for _, c := range h.crashes {
		for _, t := range c.tasks {
			if t == task {
				under = append(under, c)
			}
		}
	}
	return under
}

const (
	crashAfter  = 6 * time.Second // of the deadly work unit
	backAfter   = 3 * time.Second // "the runner is back after some seconds"
	deadlyLimit = 3               // BUDGET: runners that crash, and starts after them
)

// playDeadly submits a lasting work unit that crashes each runner some seconds after its start.
func playDeadly(e *environment) string {
	e.addMachines(service, 6, workerSize)
	e.configure(1, []string{service}, route("r-1", prefix, service, 2))
	e.startEntries(2)
	e.call(e.entries[0], "POST", prefix+jobID(1), job{Spec: "lasts", Steps: []step{{Count: 3, CPU: 1000, Mem: 512, LongRunning: true, MayMiss: 1}}})
	sleep(e.ctx, time.Second)
	spec := "lasts"
	if e.trouble {
		spec = fmt.Sprintf("crash=%d", crashAfter.Milliseconds())
	}
	deadly := jobID(2)
	e.call(e.entries[1], "POST", prefix+deadly, job{Spec: spec, Steps: []step{{Count: 1, CPU: 1000, Mem: 512, LongRunning: true, MayMiss: 1}}})
	seen := 0
	for until := time.Now().Add(90 * time.Second); time.Now().Before(until) && e.ctx.Err() == nil; sleep(e.ctx, 100*time.Millisecond) {
		h := e.snapshot()
		for ; seen < len(h.crashes); seen++ {
			e.bringBack(h.crashes[seen].runner, backAfter)
		}
		task := deadly + ".0.0.0"
		under := h.crashesUnder(task)
		if len(under) < deadlyLimit {
			continue
		}
		after := 0
		for _, s := range h.startsOf(deadly) {
			if s.at.After(under[deadlyLimit-1].at) {
				after++
			}
		}
		if after >= deadlyLimit {
			return fmt.Sprintf("BUDGET: %d runners have crashed under work unit %s, and it was started %d times after the third of them", len(under), task, after)
		}
	}
	e.call(e.entries[0], "GET", prefix+deadly, nil)
	return ""
}

// bringBack starts a new runner, after a while, on the machine of one that crashed.
func (e *environment) bringBack(runner string, after time.Duration) {
	for _, m := range e.machines {
		if strings.HasPrefix(runner, "i-"+m.name+"-") {
			time.AfterFunc(after, func() { e.boot(m) })
		}
	}
}

// playWaiting makes the only runner with room refuse its starts as unhealthy, so that a job waits.
func playWaiting(e *environment) string {
	const (
		runners   = 12
		long      = 30 * time.Second        // that the jobs on the other runners take
		unhealthy = 6500 * time.Millisecond // for which the runner refuses starts
	)
	whole := func(work time.Duration) job {
		ms := int(work.Milliseconds())
		return job{Spec: fmt.Sprintf("work=%d", ms), Steps: []step{{Count: 1, CPU: workerSize.CPU, Mem: 512, EstMS: ms}}}
	}
	e.addMachines(service, runners, workerSize)
	e.configure(1, []string{service}, route("r-1", prefix, service, 2))
	e.startEntries(2)
	for i := range runners - 1 {
		e.call(e.entries[i%2], "POST", prefix+jobID(i+1), whole(long))
	}
	sleep(e.ctx, 3*time.Second)
	var idle *runner
	for _, m := range e.machines {
		if r := m.current(); r.runCount() == 0 {
			idle = r
		}
	}
	if idle == nil {
		e.fail("no runner is idle")
		return ""
	}
	if e.trouble {
		idle.setUnhealthy(true)
	}
	end := time.Now().Add(unhealthy)
	last := jobID(100)
	if e.call(e.entries[0], "POST", prefix+last, whole(10*time.Second)).status != 200 {
		e.fail("the job was not accepted")
		return ""
	}
	accepted := time.Now()
	const late = visible + 2*time.Second
	sleep(e.ctx, late+100*time.Millisecond)
	broken := ""
	for time.Now().Before(end.Add(-200*time.Millisecond)) && e.ctx.Err() == nil {
		for _, n := range e.entries {
			w := e.call(n, "GET", prefix, nil).waiting()
			h := e.snapshot()
			if len(h.startsOf(last)) == 0 && w == 0 {
				broken = fmt.Sprintf("MIXED: %s gives 0 as waiting, %.1f s after job %s was accepted, the only one that hasn't begun", n.name, time.Since(accepted).Seconds(), last)
			}
		}
		sleep(e.ctx, 200*time.Millisecond)
	}
	idle.setUnhealthy(false)
	sleep(e.ctx, 4*time.Second)
	e.call(e.entries[0], "GET", prefix+last, nil)
	return broken
}

// playRoute removes a route while the last attempt of a work unit runs, and adds it again.
func playRoute(e *environment) string {
	e.addMachines(service, 4, workerSize)
	const attempts = 2
	other, own := route("r-2", "/tije37/", service, attempts), route("r-1", prefix, service, attempts)
	e.configure(1, []string{service}, other, own)
	e.startEntries(2)
	id := jobID(1)
	e.call(e.entries[0], "POST", prefix+id, job{Spec: "work=4000 fail", Steps: []step{{Count: 1, CPU: 1000, Mem: 512, EstMS: 4000}}})
	e.awaitStarts(id, attempts, 15*time.Second)
	sleep(e.ctx, time.Second)
	if e.trouble {
		e.configure(3, []string{service}, other)
	}
	sleep(e.ctx, 5*time.Second) // the last attempt fails meanwhile
	if e.trouble {
		e.configure(4, []string{service}, other, own)
	}
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until) && e.ctx.Err() == nil; sleep(e.ctx, 100*time.Millisecond) {
		h := e.snapshot()
		failed, noted := 0, time.Time{}
		for _, x := range h.ends {
			if strings.HasPrefix(x.task, id+".") && x.how == endFailed && !x.noted.IsZero() {
				if failed++; failed == attempts {
					noted = x.at
				}
			}
		}
		if failed < attempts {
			continue
		}
		for _, s := range h.startsOf(id) {
			if s.at.After(noted) {
				e.call(e.entries[0], "GET", prefix+id, nil)
				return fmt.Sprintf("BUDGET: run %d of %s starts after %d runs ended failed and were taken note of; the queue has %d attempts", s.run, s.task, failed, attempts)
			}
		}
	}
	e.call(e.entries[0], "GET", prefix+id, nil)
	return ""
}

// awaitStarts waits until a job's work units were started a number of times.
func (e *environment) awaitStarts(id string, count int, longest time.Duration) {
	for until := time.Now().Add(longest); time.Now().Before(until); sleep(e.ctx, 20*time.Millisecond) {
		h := e.snapshot()
		if len(h.startsOf(id)) >= count {
			return
		}
	}
	e.fail("job %s was not started %d times", id, count)
}

// playCancel loses the responses to the writes that accept a job, which are executed late, and cancels the job meanwhile. Jobs of other
// clients are accepted all the while.
func playCancel(e *environment) string {
	e.addMachines(service, 4, workerSize)
	e.configure(1, []string{service}, route("r-1", prefix, service, 2))
	e.startEntries(2)
	const (
		lateBy     = 5500 * time.Millisecond // of the writes whose responses are lost
		mostLost   = 0.35                    // share of the writes
		otherEvery = 150 * time.Millisecond
	)
	id, owner := jobID(500), e.owner()
	before := e.store.countWrites()
	var lost atomic.Int64
	if e.trouble {
		e.store.setLateBy(func(t transaction) (time.Duration, bool) {
			if !t.sets("daisysaddle/jobs/" + id) {
				return 0, false
			}
			lost.Add(1)
			return lateBy, true
		})
	}
	until := time.Now().Add(4500 * time.Millisecond)
	e.group.Go(func() error {
		for n := 1; time.Now().Before(until) && e.ctx.Err() == nil; n++ {
			e.call(owner, "POST", prefix+jobID(n), job{Spec: "work=300", Steps: []step{{Count: 1, CPU: 1000, Mem: 512, EstMS: 300}}})
			sleep(e.ctx, otherEvery)
		}
		return nil
	})
	sleep(e.ctx, otherEvery/2)
	e.call(owner, "POST", prefix+id, job{Spec: "work=2000", Steps: []step{{Count: 1, CPU: 1000, Mem: 512, EstMS: 2000}}})
	a := e.call(owner, "DELETE", prefix+id, nil)
	acknowledged := time.Now()
	if a.status != 200 && a.status != 410 {
		return "" // the cancelling is not acknowledged
	}
	sleep(e.ctx, time.Until(until))
	e.store.setLateBy(nil)
	writes := e.store.countWrites() - before
	e.log("store: %d of %d writes lost their responses", lost.Load(), writes)
	if float64(lost.Load()) > mostLost*float64(writes) {
		e.fail("too many responses were lost")
	}
	sleep(e.ctx, 8*time.Second)
	h := e.snapshot()
	for _, s := range h.startsOf(id) {
		if late := s.at.Sub(acknowledged); late > cancelTime {
			e.call(owner, "GET", prefix+id, nil)
			return fmt.Sprintf("UNASKED: %s starts %.1f s after the job's cancelling was acknowledged with %d", s.task, late.Seconds(), a.status)
		}
	}
	return ""
}

// playAdvice submits a job whose policy allows it on runners that come late in the order of the runners' ids.
func playAdvice(e *environment) string {
	const runners, allowed = 36, 4
	e.addMachines(service, runners, workerSize)
	from := 0
	if e.trouble {
		from = runners - allowed
	}
	return e.playAdvised(e.machines[from:from+allowed], 50*time.Millisecond, 5*time.Millisecond)
}

// playSlowAdvice submits a job whose placement advisor takes a little longer than a second, as the configuration says.
func playSlowAdvice(e *environment) string {
	const runners = 12
	e.addMachines(service, runners, workerSize)
	each := 40 * time.Millisecond
	if e.trouble {
		each = 80 * time.Millisecond
	}
	return e.playAdvised(e.machines, 100*time.Millisecond, each)
}

// playAdvised submits a job that may run on some machines only, and waits for its end.
func (e *environment) playAdvised(allowed []*machine, decide, each time.Duration) string {
	e.good = make(map[string]bool)
	for _, m := range allowed {
		e.good[m.current().id] = true
	}
	e.advisor = e.serve(e.advise(decide, each))
	queue := route("r-1", prefix, service, 2)
	queue["advice"] = map[string]any{"decide_ms": decide.Milliseconds(), "each_ms": each.Milliseconds(), "valid_ms": ticketTime.Milliseconds()}
	e.configure(1, []string{service}, queue)
	e.startEntries(2)
	id := jobID(1)
	if e.call(e.entries[0], "POST", prefix+id, job{Spec: "work=1000", Steps: []step{{Count: 1, CPU: 1000, Mem: 512, EstMS: 1000}}}).status != 200 {
		e.fail("the job was not accepted")
		return ""
	}
	accepted := time.Now()
	const asked = 40 * time.Second // far beyond finish_s (14 s) and the 3 s of the rule
	for time.Since(accepted) < asked && e.ctx.Err() == nil {
		sleep(e.ctx, time.Second)
		h := e.snapshot()
		if len(h.ends) > 0 {
			e.call(e.entries[1], "GET", prefix+id, nil)
			return ""
		}
	}
	state := e.call(e.entries[1], "GET", prefix+id, nil).state()
	return fmt.Sprintf("LOST: %.0f s after its ack job %s is %s and nothing of it has run; %d runners that may run it are idle", time.Since(accepted).Seconds(), id, state, len(allowed))
}

const tailTarget = 100 // milliseconds

// playPace lets one order on pace get no answer and be carried out late, after a newer one.
func playPace(e *environment) string {
	e.addMachines(service, 1, workerSize)
	e.configure(1, []string{service}, route("r-1", prefix, service, 2))
	e.startEntries(2)
	const lateBy = 10 * time.Second
	e.setDisturbance(60, 90)
	e.call(e.entries[0], "POST", prefix+jobID(1), job{Spec: "serve", Steps: []step{{Count: 1, CPU: 8000, Mem: 512, LongRunning: true, MayMiss: 1, TargetMS: tailTarget}}})
	e.call(e.entries[0], "POST", prefix+jobID(2), job{Spec: "fill", Steps: []step{{Count: 1, CPU: 8000, Mem: 512, LongRunning: true, Fills: true, MayMiss: 1}}})
	sleep(e.ctx, 4*time.Second)
	if e.trouble {
		lost := false
		e.setOrderLateBy(func(path string, o order) (time.Duration, bool) {
			if lost || !strings.HasSuffix(path, "/pace") || o.Percent < 100 {
				return 0, false
			}
			lost = true
			return lateBy, true
		})
	}
	e.setDisturbance(20, 10)
	sleep(e.ctx, 7*time.Second)
	e.setDisturbance(60, 90)
	const harm = 4 * time.Second // harm_ms
	sleep(e.ctx, lateBy)         // the late order is carried out meanwhile
	sleep(e.ctx, 5*time.Second)  // stable_window_ms and more
	over := time.Time{}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until) && e.ctx.Err() == nil; sleep(e.ctx, 100*time.Millisecond) {
		with, without := e.machines[0].current().tails()
		if len(with) == 0 || with[0] <= tailTarget || without[0] > tailTarget {
			over = time.Time{}
			continue
		}
		if over.IsZero() {
			over = time.Now()
		}
		if time.Since(over) > 2*harm {
			return fmt.Sprintf("HARM: the serving work unit has a tail of %d ms for %.0f s on end, with a target of %d ms and %d ms without the one that fills", with[0], time.Since(over).Seconds(), tailTarget, without[0])
		}
	}
	return ""
}

// playAfterTwice submits a job of two steps; the second one names the first twice in "after".
func playAfterTwice(e *environment) string {
	e.addMachines(service, 3, workerSize)
	e.configure(1, []string{service}, route("r-1", prefix, service, 2))
	e.startEntries(2)
	first := step{Count: 1, CPU: 1000, Mem: 512, EstMS: 500}
	second := first
	second.After = []int{0}
	if e.trouble {
		second.After = []int{0, 0}
	}
	id := jobID(1)
	if e.call(e.entries[0], "POST", prefix+id, job{Spec: "work=500", Steps: []step{first, second}}).status != 200 {
		e.fail("the job was not accepted")
		return ""
	}
	const asked = 20 * time.Second // far beyond finish_s (14 s) and the 3 s of the rule
	sleep(e.ctx, asked)
	h := e.snapshot()
	state := e.call(e.entries[1], "GET", prefix+id, nil).state()
	if len(h.startsOf(id)) < 2 {
		return fmt.Sprintf("LOST: %s after its ack job %s is %s, and its second step was never started on three idle runners", asked, id, state)
	}
	return ""
}

// playKind restarts a runner under its id as one of another kind, while the store is down.
func playKind(e *environment) string {
	const label = "gold"
	e.addMachines(service, 9, workerSize)
	e.addMachines(service, 1, workerSize, label)
	e.configure(1, []string{service}, route("r-1", prefix, service, 2))
	e.startEntries(2)
	id, special := jobID(1), e.machines[9]
	first := step{Count: 1, CPU: 1000, Mem: 512, EstMS: 2500}
	second := first
	second.After, second.Label = []int{0}, label
	e.call(e.entries[0], "POST", prefix+id, job{Spec: "work=2500", Steps: []step{first, second}})
	e.awaitStarts(id, 1, 2*time.Second)
	if e.trouble {
		sleep(e.ctx, 200*time.Millisecond)
		e.store.setDown(true)
		special.current().crash("back as another kind")
		special.mu.Lock()
		special.lives-- // it is back under its id
		special.labels = special.labels[:2]
		special.mu.Unlock()
		sleep(e.ctx, 200*time.Millisecond)
		e.boot(special)
		sleep(e.ctx, 3800*time.Millisecond)
		e.store.setDown(false)
	}
	sleep(e.ctx, 8*time.Second)
	h := e.snapshot()
	for _, s := range h.startsOf(id) {
		if strings.HasSuffix(stepOf(s.task), ".1") && e.trouble {
			return fmt.Sprintf("ROUTE: %s, which requires the label %s, starts on %s, whose labels are %v", s.task, label, s.runner, special.labels)
		}
	}
	return ""
}

// playChannels lets clients open more channels to the owner than it may have descriptors, and starts another entry meanwhile.
func playChannels(e *environment) string {
	e.limited = true
	e.addMachines(service, 3, workerSize)
	e.configure(1, []string{service}, route("r-1", prefix, service, 2))
	e.startEntries(2)
	owner, other := e.owner(), e.entries[0]
	if owner == other {
		other = e.entries[1]
	}
	var channels []net.Conn
	if e.trouble {
		for range maxDescriptors {
			conn, err := net.DialTimeout("tcp", owner.front, time.Second)
			if err != nil {
				break
			}
			channels = append(channels, conn)
		}
		e.log("clients: %d channels to %s are open", len(channels), owner.name)
	}
	sleep(e.ctx, 2*time.Second)
	e.log("entry %s is killed and starts again", other.name)
	_ = other.process.Process.Kill()
	_ = other.process.Wait()
	e.launch(other)
	sleep(e.ctx, 5*time.Second)
	for _, c := range channels {
		_ = c.Close()
	}
	e.log("clients: their channels are closed")
	sleep(e.ctx, 5*time.Second)
	added := "/added/"
	e.configure(2, []string{service}, route("r-1", prefix, service, 2), route("r-2", added, service, 2))
	sleep(e.ctx, 10*time.Second)
	broken := ""
	for range 3 {
		if a := e.call(owner, "GET", added, nil); a.status == 404 {
			broken = fmt.Sprintf("CONFIG: %s answers 404 for a route of a version that was acknowledged more than 10 s before", owner.name)
		}
		sleep(e.ctx, time.Second)
	}
	return broken
}
