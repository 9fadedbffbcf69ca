package node

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/sched"
	"daisysaddle/io/wire"
)

// encodeOrder encodes an order for a carrier without the spec of its job, which the frame holds separately.
func encodeOrder(call uint64, w sched.Worker, order any) *wire.Order {
	address, _ := w.Address.MarshalBinary() // never fails
	m := &wire.Order{Call: call, Worker: w.ID, Address: address}
	switch o := order.(type) {
	case sched.Start:
		m.Kind, m.Task, m.Run, m.Saved, m.Ticket = wire.Order_START, encodeTask(o.Task), o.Run, o.Saved, o.Ticket
		m.UntilNanoseconds = int64(o.Until)
	case sched.Stop:
		m.Kind, m.Task, m.Run = wire.Order_STOP, encodeTask(o.Task), o.Run
	case sched.Pace:
		m.Kind, m.Task, m.Run, m.Percent = wire.Order_PACE, encodeTask(o.Task), o.Run, int32(o.Percent)
	case sched.Poll:
		m.Kind, m.Acknowledged = wire.Order_LOOK, o.Acknowledged
		m.UntilNanoseconds, m.WaitNanoseconds = int64(o.Until), int64(o.Wait)
		if !o.StartedAt.IsZero() {
			m.BornNanoseconds = o.StartedAt.UnixNano()
		}
	}
	return m
}

// decodeOrder decodes an order with its worker, and returns the timeout of the call to the worker. It fails when the address
// is malformed, both worker and address are missing, or the kind is unknown.
func decodeOrder(m *wire.Order) (sched.Worker, any, time.Duration, error) {
	w := sched.Worker{ID: m.GetWorker()}
	if err := w.Address.UnmarshalBinary(m.GetAddress()); err != nil {
		return w, nil, 0, errors.Wrapf(err, "decode address of worker %q", m.GetWorker())
	}
	if w.Address == (netip.AddrPort{}) && m.GetWorker() == "" {
		return w, nil, 0, errors.New("order names no worker")
	}
	until := time.Duration(m.GetUntilNanoseconds())
	switch m.GetKind() {
	case wire.Order_START:
		return w, sched.Start{Worker: w.ID, Task: decodeTask(m.GetTask()), Run: m.GetRun(), Saved: m.GetSaved(), Ticket: m.GetTicket(), Until: until}, orderTimeout, nil
	case wire.Order_STOP:
		return w, sched.Stop{Worker: w.ID, Task: decodeTask(m.GetTask()), Run: m.GetRun()}, orderTimeout, nil
	case wire.Order_PACE:
		return w, sched.Pace{Worker: w.ID, Task: decodeTask(m.GetTask()), Run: m.GetRun(), Percent: int(m.GetPercent())}, orderTimeout, nil
	case wire.Order_LOOK:
		wait := time.Duration(m.GetWaitNanoseconds())
		poll := sched.Poll{Worker: w.ID, Until: until, Acknowledged: m.GetAcknowledged(), Wait: wait}
		if m.GetBornNanoseconds() != 0 {
			poll.StartedAt = time.Unix(0, m.GetBornNanoseconds())
		}
		return w, poll, wait + pollTimeoutMargin, nil
	}
	return w, nil, 0, errors.Newf("unknown order kind %d", m.GetKind())
}

func encodeTask(t sched.TaskID) *wire.Task {
	return &wire.Task{Job: t.Job, Occurrence: int32(t.Occurrence), Step: int32(t.Step), Index: int32(t.Index)}
}

func decodeTask(m *wire.Task) sched.TaskID {
	return sched.TaskID{Job: m.GetJob(), Occurrence: int(m.GetOccurrence()), Step: int(m.GetStep()), Index: int(m.GetIndex())}
}

// encodeAnswer encodes the result of a carrier's call to a worker.
func encodeAnswer(call uint64, s sched.PollResult) *wire.Answer {
	m := &wire.Answer{Call: call, Answer: string(s.Answer), ClockNanoseconds: int64(s.Clock), Acknowledged: s.Acknowledged, MoreEnded: s.MoreEnded}
	if !s.StartedAt.IsZero() {
		m.BornNanoseconds = s.StartedAt.UnixNano()
	}
	for _, r := range s.Running {
		m.Running = append(m.Running, encodeRunStatus(r))
	}
	for _, e := range s.Ended {
		status := encodeRunStatus(e.RunStatus)
		status.Number, status.How = e.Number, string(e.Reason)
		m.Ended = append(m.Ended, status)
	}
	return m
}

// decodeAnswer decodes the result of a carrier's call to a worker.
func decodeAnswer(m *wire.Answer) sched.PollResult {
	s := sched.PollResult{Answer: sched.Answer(m.GetAnswer()), Clock: time.Duration(m.GetClockNanoseconds()), Acknowledged: m.GetAcknowledged(), MoreEnded: m.GetMoreEnded()}
	if m.GetBornNanoseconds() != 0 {
		s.StartedAt = time.Unix(0, m.GetBornNanoseconds())
	}
	for _, r := range m.GetRunning() {
		s.Running = append(s.Running, decodeRunStatus(r))
	}
	for _, r := range m.GetEnded() {
		s.Ended = append(s.Ended, sched.EndedRun{Number: r.GetNumber(), RunStatus: decodeRunStatus(r), Reason: sched.EndReason(r.GetHow())})
	}
	return s
}

func encodeRunStatus(r sched.RunStatus) *wire.Row {
	return &wire.Row{Task: encodeTask(r.Task), Run: r.Run, Saved: r.Saved, Percent: int32(r.Percent), Figure: int32(r.Metric)}
}

func decodeRunStatus(m *wire.Row) sched.RunStatus {
	return sched.RunStatus{Task: decodeTask(m.GetTask()), Run: m.GetRun(), Saved: m.GetSaved(), Percent: int(m.GetPercent()), Metric: int(m.GetFigure())}
}
