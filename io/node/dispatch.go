package node

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/carry"
	"daisysaddle/core/sched"
	"daisysaddle/io/store"
)

// refusedSaveDelay is the time after which a save is tried again that the store accepts in no form.
const refusedSaveDelay = 5 * time.Second

// dispatch executes a plan: it logs its decisions, sends its orders and writes its records. Each result comes back as an
// event.
func (c *control) dispatch(o sched.Orders) {
	n := c.node
	for _, decision := range o.Decisions {
		n.logDecision(c.token, decision)
	}
	for _, start := range o.Starts {
		c.sendToWorker(start.Worker, start, orderTimeout, func(now time.Time, s sched.PollResult) { c.state.StartAnswered(now, start, s.Answer) })
	}
	for _, stop := range o.Stops {
		c.sendToWorker(stop.Worker, stop, orderTimeout, func(now time.Time, s sched.PollResult) { c.state.StopAnswered(now, stop, s.Answer) })
	}
	for _, pace := range o.Paces {
		c.sendToWorker(pace.Worker, pace, orderTimeout, func(now time.Time, s sched.PollResult) { c.state.PaceAnswered(now, pace, s.Answer) })
	}
	for _, poll := range o.Polls {
		c.sendToWorker(poll.Worker, poll, poll.Wait+pollTimeoutMargin, func(now time.Time, s sched.PollResult) { c.state.PollAnswered(now, poll.Worker, s) })
	}
	c.carriers.flush(n.Now())
	c.readJobs(o.JobReads)
	for _, save := range o.Saves {
		c.save(save)
	}
	for _, change := range o.Roster {
		c.saveRoster(change)
	}
	if o.QueuePools != nil {
		c.saveQueuePools(*o.QueuePools)
	}
	if o.Durations != nil {
		c.saveDurations(*o.Durations)
	}
	for _, wave := range o.Waves {
		c.saveWave(wave)
	}
	for _, order := range o.Machines {
		c.sendToMachine(order)
	}
	for _, ask := range o.AdviceRequests {
		c.askAdvisor(ask)
	}
	if o.ListMachines {
		c.listMachines()
	}
}

// sendToWorker sends an order to a worker, either itself or through a carrier, and passes the result to handle on the
// control goroutine.
func (c *control) sendToWorker(id string, order any, timeout time.Duration, handle func(time.Time, sched.PollResult)) {
	w, known := c.state.Worker(id)
	if !known {
		return
	}
	now := c.node.Now()
	if !c.carriers.send(now, w, order, timeout, handle) {
		c.sendDirectly(now, w, order, timeout, handle)
	}
}

// sendDirectly sends an order without a carrier. It does not send an order that has become too old since it was planned,
// because the process was paused in between.
func (c *control) sendDirectly(planned time.Time, w sched.Worker, order any, timeout time.Duration, handle func(time.Time, sched.PollResult)) {
	c.group.Go(func() error {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		result := sched.PollResult{Answer: sched.NotSent}
		order, err := c.node.carrier.addSpec(ctx, order)
		if err == nil {
			result = c.node.transmit(ctx, w, c.token, order, func() bool { return carry.Permitted(c.node.Now(), planned) })
		}
		c.node.metrics.observeOrder(orderName(order), result.Answer, c.node.Now().Sub(planned))
		result.Sent = planned
		c.enqueue(func(now time.Time) {
			c.carriers.countFailure(w.ID, result.Answer)
			handle(now, result)
		})
		return nil
	})
}

// execute calls a worker with an order.
func (n *Node) execute(ctx context.Context, w sched.Worker, token uint64, order any) (s sched.PollResult) {
	defer n.recoverPanic("Order", func() { s = sched.PollResult{Answer: sched.Unanswered} }) // the call may have been sent
	switch o := order.(type) {
	case sched.Start:
		return sched.PollResult{Answer: n.Workers.Start(ctx, w, token, o)}
	case sched.Stop:
		return sched.PollResult{Answer: n.Workers.Stop(ctx, w, token, o)}
	case sched.Pace:
		return sched.PollResult{Answer: n.Workers.Pace(ctx, w, token, o)}
	case sched.Poll:
		return n.Workers.Poll(ctx, w, token, o)
	}
	return sched.PollResult{Answer: sched.NotSent}
}

// orderName returns the label of an order in metrics.
func orderName(order any) string {
	switch order.(type) {
	case sched.Start:
		return "Start"
	case sched.Stop:
		return "Stop"
	case sched.Pace:
		return "Pace"
	}
	return "Look"
}

// save stores a job's progress on the condition that this entry still owns the workers.
func (c *control) save(s sched.Save) {
	value, err := s.Progress.Encode()
	if err != nil {
		c.node.log("SaveFailed").Str("Job", s.Job).Err(err).Send()
		c.state.SaveFailed(s.Job)
		return
	}
	c.put(keyProgress+s.Job, value, func(applied bool) {
		if applied {
			c.state.Saved(s.Job, s.Version)
			return
		}
		c.state.SaveFailed(s.Job)
	})
}

// put writes a record of the owner on the condition that it still has the revision known here.
func (c *control) put(key string, value []byte, done func(applied bool)) {
	c.change(store.Change{Puts: []store.Record{{Key: key, Value: value}}}, done)
}

// remove deletes a record of the owner on the same condition as put.
func (c *control) remove(key string, done func(applied bool)) {
	c.change(store.Change{Deletes: []string{key}}, done)
}

// change commits a change of records on the condition that they still have the revisions known here. After a conflict it
// learns the current revisions, so that the caller can try again, or ends an ownership that another entry has taken over.
func (c *control) change(change store.Change, done func(applied bool)) {
	keys := slices.Clone(change.Deletes)
	for _, r := range change.Puts {
		keys = append(keys, r.Key)
	}
	for _, key := range keys {
		change.Conditions = append(change.Conditions, store.Condition{Key: key, Revision: c.revisions[key]})
	}
	c.saveBatcher.Submit(c.saveContext, change, func(s store.CommitResult, err error) {
		c.enqueue(func(time.Time) {
			if s.Outcome == store.Applied {
				for _, r := range change.Puts {
					c.revisions[r.Key] = s.Revision
				}
				for _, key := range change.Deletes {
					delete(c.revisions, key)
				}
				done(true)
				return
			}
			if s.Outcome == store.Conflicted && len(s.Current) > 0 {
				for _, key := range keys {
					delete(c.revisions, key) // it is set again below if the record still exists
				}
			}
			for _, r := range s.Current {
				switch {
				case slices.Contains(keys, r.Key) && r.Revision > 0:
					c.revisions[r.Key] = r.Revision // an earlier write took effect, but its answer was lost
				case r.Key == keyOwner && r.Revision != c.token:
					c.quit(errReplaced)
				}
			}
			c.node.log("SaveRepeated").Str("Key", strings.Join(keys, " ")).Str("Outcome", string(s.Outcome)).Err(err).Send()
			if !errors.Is(err, store.ErrInvalid) {
				done(false)
				return
			}
			c.group.Go(func() error {
				sleep(c.ctx, refusedSaveDelay)
				c.enqueue(func(time.Time) { done(false) })
				return nil
			})
		})
	})
}

// saveRoster writes or deletes a worker's record in the roster.
func (c *control) saveRoster(r sched.RosterChange) {
	key := keyRoster + r.Worker.ID
	done := func(applied bool) {
		if applied {
			c.state.RosterSaved(r)
			return
		}
		c.state.RosterFailed(r)
	}
	if !r.Listed {
		c.remove(key, done)
		return
	}
	value, err := json.Marshal(r.Worker)
	if err != nil {
		c.node.log("SaveFailed").Str("Key", key).Err(err).Send()
		c.state.RosterFailed(r)
		return
	}
	c.put(key, value, done)
}

// saveQueuePools writes the record of the pools in which queues may have runs.
func (c *control) saveQueuePools(p sched.QueuePools) {
	value, err := json.Marshal(p)
	if err != nil {
		c.node.log("SaveFailed").Str("Key", keyPools).Err(err).Send()
		c.state.QueuePoolsFailed()
		return
	}
	c.put(keyPools, value, func(applied bool) {
		if applied {
			c.state.QueuePoolsSaved(p)
			return
		}
		c.state.QueuePoolsFailed()
	})
}

// saveDurations writes the record of how long runs take.
func (c *control) saveDurations(d sched.Durations) {
	value, err := json.Marshal(d)
	if err != nil {
		c.node.log("SaveFailed").Str("Key", keyDurations).Err(err).Send()
		c.state.DurationsFailed()
		return
	}
	c.put(keyDurations, value, func(applied bool) {
		if applied {
			c.state.DurationsSaved(d)
			return
		}
		c.state.DurationsFailed()
	})
}

// saveWave stores the progress of a maintenance wave, as a record of its own and as the status that the operator reads. Both are written
// at once, since a later owner takes a wave for reported that its record says is completed.
func (c *control) saveWave(s sched.WaveStatus) {
	own, err := json.Marshal(s)
	if err != nil {
		c.node.log("SaveFailed").Int64("Wave", s.Wave).Err(err).Send()
		return
	}
	status, err := c.node.Dialect.WaveStatus(s)
	if err != nil {
		c.node.log("SaveFailed").Int64("Wave", s.Wave).Err(err).Send()
		return
	}
	key := keyWaves + strconv.FormatInt(s.Wave, 10)
	c.change(store.Change{Puts: []store.Record{{Key: key, Value: own}, status}}, func(applied bool) {
		if !applied {
			c.state.WaveSaveFailed(s.Wave)
			return
		}
		c.state.WaveSaved(s)
	})
}

func (c *control) sendToMachine(o sched.MachineOrder) {
	c.machineCalls++
	c.group.Go(func() error {
		ctx, cancel := context.WithTimeout(c.ctx, machineTimeout)
		defer cancel()
		sent := time.Now()
		answer := c.node.Machines.Order(ctx, c.node.Name, c.token, o)
		c.node.metrics.observeOrder("Machine", answer, time.Since(sent))
		c.node.log("MachineOrdered").Str("Machine", o.Machine).Str("Pool", o.Pool).Int64("Wave", o.Wave).Str("Answer", string(answer)).Uint64("Fence", c.token).Send()
		c.enqueue(func(now time.Time) { c.state.MachineAnswered(now, o, answer) })
		return nil
	})
}

func (c *control) askAdvisor(a sched.AdviceRequest) {
	if c.node.Advisor == nil {
		c.node.logLimited("AdviceFailed").Str("Task", a.Stage.String()).Str("Reason", "the settings name no placement advisor").Send()
		c.state.AdviceFailed(c.node.Now(), a)
		return
	}
	c.group.Go(func() error {
		ctx, cancel := context.WithTimeout(c.ctx, a.Timeout)
		defer cancel()
		sent := c.node.Now()
		advised, err := c.node.Advisor.Ask(ctx, a)
		c.node.metrics.observeAdvice(len(a.Workers), c.node.Now().Sub(sent), err)
		if err != nil {
			c.node.log("AdviceFailed").Str("Task", a.Stage.String()).Err(err).Send()
			c.enqueue(func(now time.Time) { c.state.AdviceFailed(now, a) })
			return nil
		}
		if advised.Skipped > 0 {
			c.node.logLimited("AdviceRowsSkipped").Str("Task", a.Stage.String()).Int("Rows", advised.Skipped).Send()
		}
		c.enqueue(func(now time.Time) { c.state.AdviceAnswered(now, a, advised) })
		return nil
	})
}

func (c *control) listMachines() {
	if c.node.Machines == nil {
		return
	}
	if c.listing {
		c.listAgain = true
		return
	}
	c.listing = true
	c.group.Go(func() error {
		if c.node.slowLink() {
			sleep(c.ctx, slowLinkListDelay)
		}
		ctx, cancel := context.WithTimeout(c.ctx, machineTimeout)
		defer cancel()
		asked := c.node.Now()
		list, err := c.node.Machines.List(ctx)
		c.enqueue(func(now time.Time) {
			c.listing = false
			c.machineCalls += list.Pages
			if c.listAgain {
				c.listAgain = false
				c.listMachines()
			}
			if err != nil {
				c.node.log("MachinesUnknown").Err(err).Send()
				return
			}
			c.logMachineFaults(list.Machines)
			c.state.SetMachines(now, asked, list)
		})
		return nil
	})
}

// logMachineFaults logs the entries of the list of machines that can't be used, once for each fault.
func (c *control) logMachineFaults(list []sched.Machine) {
	faults := make(map[string]string)
	for _, m := range list {
		if m.Fault == "" {
			continue
		}
		faults[m.Name] = m.Fault
		if c.machineFaults[m.Name] != m.Fault {
			c.node.log("RecordSkipped").Str("Key", "machine "+m.Name).Str("Fault", m.Fault).Send()
		}
	}
	c.machineFaults = faults
}
