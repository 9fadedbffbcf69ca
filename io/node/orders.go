package node

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"daisysaddle/core/carry"
	"daisysaddle/core/sched"
	"daisysaddle/io/store"
)

// dispatch carries out orders; each answer comes back as an event.
func (c *control) dispatch(o sched.Orders) {
	n := c.node
	for _, note := range o.Notes {
		n.logNote(c.fence, note)
	}
	for _, start := range o.Starts {
		c.toWorker(start.Worker, start, orderTimeout, func(now time.Time, s sched.Sight) { c.state.StartAnswered(now, start, s.Answer) })
	}
	for _, stop := range o.Stops {
		c.toWorker(stop.Worker, stop, orderTimeout, func(now time.Time, s sched.Sight) { c.state.StopAnswered(now, stop, s.Answer) })
	}
	for _, pace := range o.Paces {
		c.toWorker(pace.Worker, pace, orderTimeout, func(now time.Time, s sched.Sight) { c.state.PaceAnswered(now, pace, s.Answer) })
	}
	for _, look := range o.Looks {
		c.toWorker(look.Worker, look, look.Wait+lookExtraWait, func(now time.Time, s sched.Sight) { c.state.Looked(now, look.Worker, s) })
	}
	c.carriers.flush(n.Now())
	for _, save := range o.Saves {
		c.save(save)
	}
	for _, change := range o.Roster {
		c.saveRoster(change)
	}
	for _, wave := range o.Waves {
		c.saveWave(wave)
	}
	for _, order := range o.Machines {
		c.toMachine(order)
	}
	for _, ask := range o.Asks {
		c.ask(ask)
	}
	if o.ListMachines {
		c.listMachines()
	}
}

// toWorker sends an order to a worker, itself or over a carrier, and hands what became of it to the state.
func (c *control) toWorker(id string, order any, timeout time.Duration, take func(time.Time, sched.Sight)) {
	w, known := c.state.Worker(id)
	if !known {
		return
	}
	now := c.node.Now()
	if !c.carriers.send(now, w, order, timeout, take) {
		c.direct(now, w, order, timeout, take)
	}
}

// direct sends an order that was planned at a time, unless the process stood still since.
func (c *control) direct(planned time.Time, w sched.Worker, order any, timeout time.Duration, take func(time.Time, sched.Sight)) {
	c.group.Go(func() error {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		sight := sched.Sight{Answer: sched.NotSent}
		order, err := c.node.porter.complete(ctx, order)
		if err == nil && carry.Permitted(c.node.Now(), planned) {
			sight = c.node.carryOut(ctx, w, c.fence, order)
		}
		c.node.metrics.order(orderName(order), sight.Answer, c.node.Now().Sub(planned))
		sight.Sent = planned
		c.post(func(now time.Time) {
			c.carriers.note(w.ID, sight.Answer)
			take(now, sight)
		})
		return nil
	})
}

// carryOut makes the call of an order to a worker.
func (n *Node) carryOut(ctx context.Context, w sched.Worker, fence uint64, order any) (s sched.Sight) {
	defer n.caught("Order", func() { s = sched.Sight{Answer: sched.Unanswered} }) // it may have left
	switch o := order.(type) {
	case sched.Start:
		return sched.Sight{Answer: n.Workers.Start(ctx, w, fence, o)}
	case sched.Stop:
		return sched.Sight{Answer: n.Workers.Stop(ctx, w, fence, o)}
	case sched.Pace:
		return sched.Sight{Answer: n.Workers.Pace(ctx, w, fence, o)}
	case sched.Look:
		return n.Workers.Look(ctx, w, fence, o)
	}
	return sched.Sight{Answer: sched.NotSent}
}

// orderName returns the name of an order in metrics.
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

// save stores a job's progress under the condition that this entry still owns the workers.
func (c *control) save(s sched.Save) {
	value, err := s.Progress.Encode()
	if err != nil {
		c.node.log("SaveFailed").Str("Job", s.Job).Err(err).Send()
		c.state.SaveFailed(s.Job)
		return
	}
	c.put(keyState+s.Job, value, func(applied bool) {
		if applied {
			c.state.Saved(s.Job, s.Version)
			return
		}
		c.state.SaveFailed(s.Job)
	})
}

// put writes a record of the owner under the condition that nobody else did.
func (c *control) put(key string, value []byte, done func(applied bool)) {
	c.change(key, store.Change{Puts: []store.Record{{Key: key, Value: value}}}, done)
}

// remove deletes a record of the owner.
func (c *control) remove(key string, done func(applied bool)) {
	c.change(key, store.Change{Deletes: []string{key}}, done)
}

// change commits a change of one record, whose known revision is the condition.
func (c *control) change(key string, change store.Change, done func(applied bool)) {
	change.Conditions = []store.Condition{{Key: key, Revision: c.revisions[key]}}
	c.saves.Submit(c.saving, change, func(s store.Settlement, err error) {
		c.post(func(time.Time) {
			if s.Outcome == store.Applied {
				c.revisions[key] = s.Revision
				if len(change.Deletes) > 0 {
					delete(c.revisions, key)
				}
				done(true)
				return
			}
			if s.Outcome == store.Conflicted && len(s.Current) > 0 {
				delete(c.revisions, key) // unless the platform still holds it
			}
			for _, r := range s.Current {
				switch {
				case r.Key == key && r.Revision > 0:
					c.revisions[key] = r.Revision // an earlier write took effect without an answer
				case r.Key == keyOwner && r.Revision != c.fence:
					c.quit(errReplaced)
				}
			}
			c.node.log("SaveRepeated").Str("Key", key).Str("Outcome", string(s.Outcome)).Err(err).Send()
			done(false)
		})
	})
}

func (c *control) saveRoster(r sched.RosterChange) {
	key := keyRoster + r.Worker.ID
	done := func(applied bool) {
		if applied {
			c.state.RosterSaved(r)
			return
		}
		c.state.RosterFailed(r)
	}
	if !r.Named {
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
	c.put(key, own, func(applied bool) {
		if !applied {
			c.state.WaveSaveFailed(s.Wave)
			return
		}
		c.put(status.Key, status.Value, func(applied bool) {
			if !applied {
				c.state.WaveSaveFailed(s.Wave)
				return
			}
			c.state.WaveSaved(s)
		})
	})
}

func (c *control) toMachine(o sched.MachineOrder) {
	c.group.Go(func() error {
		ctx, cancel := context.WithTimeout(c.ctx, machineTimeout)
		defer cancel()
		sent := time.Now()
		answer := c.node.Machines.Order(ctx, c.node.Name, c.fence, o)
		c.node.metrics.order("Machine", answer, time.Since(sent))
		c.node.log("MachineOrdered").Str("Machine", o.Machine).Str("Pool", o.Pool).Int64("Wave", o.Wave).Str("Answer", string(answer)).Uint64("Fence", c.fence).Send()
		c.post(func(now time.Time) { c.state.MachineAnswered(now, o, answer) })
		return nil
	})
}

func (c *control) ask(a sched.Ask) {
	c.group.Go(func() error {
		ctx, cancel := context.WithTimeout(c.ctx, adviceExtraWait)
		defer cancel()
		advised, err := c.node.Advisor.Ask(ctx, a)
		if err != nil {
			c.node.log("AdviceFailed").Str("Task", a.Stage.String()).Err(err).Send()
		}
		c.post(func(time.Time) { c.state.Advised(a, advised) })
		return nil
	})
}

func (c *control) listMachines() {
	if c.node.Machines == nil {
		return
	}
	if c.listing {
		c.relist = true
		return
	}
	c.listing = true
	c.group.Go(func() error {
		if c.node.thin() {
			pause(c.ctx, thinListGap)
		}
		ctx, cancel := context.WithTimeout(c.ctx, machineTimeout)
		defer cancel()
		asked := c.node.Now()
		list, err := c.node.Machines.List(ctx)
		c.post(func(now time.Time) {
			c.listing = false
			if c.relist {
				c.relist = false
				c.listMachines()
			}
			if err != nil {
				c.node.log("MachinesUnknown").Err(err).Send()
				return
			}
			c.state.SetMachines(now, asked, list)
		})
		return nil
	})
}
