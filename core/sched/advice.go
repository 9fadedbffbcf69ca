package sched

import "time"

// Advised is the outside policy's answer: a ticket for each worker that may run the step.
type Advised struct {
	Tickets map[string]string
	Valid   time.Duration
}

const (
	askEvery   = 500 * time.Millisecond // an unanswered question is asked again after this long
	askWorkers = 30                     // workers named in one question, since each adds to the answer's time
)

// planAsk asks the outside policy about a step that has no ticket that holds.
func (s *State) planAsk(now time.Time, st *stage, workers []*worker, o *Orders) {
	if st.asking || now.Sub(st.asked) < askEvery {
		return
	}
	for _, t := range st.tickets {
		if now.Before(t.until) {
			return
		}
	}
	ask := Ask{Stage: TaskID{st.job.ID, st.occurrence.index, st.index, 0}}
	for _, w := range workers {
		if len(ask.Workers) < askWorkers && st.step.reserved().Fits(w.free()) {
			ask.Workers = append(ask.Workers, w.ID)
		}
	}
	if len(ask.Workers) == 0 {
		return
	}
	st.asking, st.asked = true, now
	o.Asks = append(o.Asks, ask)
}

// Advised takes in the outside policy's answer.
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
