package sched

import "time"

// Refusal says why a job is refused and when to come again.
type Refusal struct {
	Refused    bool
	Reason     string
	RetryAfter time.Duration
}

// Admit decides whether a job is taken in.
func (s *State) Admit(_ time.Time, j Job) Refusal {
	if _, known := s.config.Queues[j.Queue]; !known {
		return Refusal{Refused: true, Reason: "NoSuchQueue", RetryAfter: time.Second}
	}
	return Refusal{}
}

// WhenShown calls f once the final state of a job is durable.
func (s *State) WhenShown(id string, f func(JobState)) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.shown.Final() {
		f(j.shown)
		return
	}
	j.watchers = append(j.watchers, f)
}
