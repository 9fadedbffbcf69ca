package sched

import "time"

// Advised is the placement advisor's answer: a ticket for each worker that may run the step, and the time for which
// the tickets are valid.
type Advised struct {
	Tickets map[string]string
	Valid   time.Duration
}

const (
	adviceRetryDelay = 500 * time.Millisecond // before an unanswered question is sent again
	maxAdviceWorkers = 30                     // workers in one question; each adds to the time of the answer
)

// planAsk asks the placement advisor about a step that has no valid ticket.
func (s *State) planAsk(now time.Time, st *stage, workers []*worker, o *Orders) {
	if st.asking || now.Sub(st.asked) < adviceRetryDelay {
		return
	}
	for _, t := range st.tickets {
		if now.Before(t.until) {
			return
		}
	}
	ask := Ask{Stage: TaskID{st.job.ID, st.occurrence.index, st.index, 0}}
	for _, w := range workers {
		if len(ask.Workers) < maxAdviceWorkers && st.step.reserved().Fits(w.free()) {
			ask.Workers = append(ask.Workers, w.ID)
		}
	}
	if len(ask.Workers) == 0 {
		return
	}
	st.asking, st.asked = true, now
	o.Asks = append(o.Asks, ask)
}

// Advised records the placement advisor's answer to a question.
func (s *State) Advised(a Ask, advised Advised) {
	t := s.find(a.Stage)
	if t == nil {
		return
	}
	st := t.stage
	st.asking = false
	st.tickets = make(map[string]ticket, len(advised.Tickets))
	for id, text := range advised.Tickets {
		st.tickets[id] = ticket{text, st.asked.Add(advised.Valid)}
	}
	s.changed = true
}
