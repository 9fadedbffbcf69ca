package resend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// path is a path to a destination that loses a share of the requests.
type path struct {
	random    *rand.Rand
	lossShare float64
	roundTrip func() time.Duration
}

// send sends one request by the timer's decisions. It returns the time until the answer, the copies sent, and whether an
// answer came at all.
func (p path) send(t *Timer) (took time.Duration, copies int, answered bool) {
	first, roundTrip := time.Duration(-1), time.Duration(0) // arrival of the first answer, and the time since its copy was sent
	at := time.Duration(0)
	for {
		copies++
		if p.random.Float64() >= p.lossShare {
			took := p.roundTrip()
			if first < 0 || at+took < first {
				first, roundTrip = at+took, took
			}
		}
		delay, more := t.Delay(copies)
		if first >= 0 && first <= at+delay {
			t.Answered(roundTrip)
			return first, copies, true
		}
		at += delay
		t.Overdue()
		if !more {
			return at, copies, first >= 0
		}
	}
}

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// TestLostRequests: with half of all requests lost, an order arrives in a small part of a task's time; a single copy would
// arrive half the time.
func TestLostRequests(t *testing.T) {
	p := path{random: rand.New(rand.NewPCG(1, 0)), lossShare: 0.5, roundTrip: constant(2 * time.Millisecond)}
	var timer Timer
	const requests = 1000
	arrived, total := 0, time.Duration(0)
	for range requests {
		took, _, answered := p.send(&timer)
		if answered {
			arrived++
			total += took
		}
	}
	must.GreaterEq(t, requests*96/100, arrived)
	must.Less(t, 100*time.Millisecond, total/time.Duration(arrived))
}

// TestSlowPathGetsNoCopies: a path whose answers take long is not sent copies, once its response time is known.
func TestSlowPathGetsNoCopies(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 0))
	jitter := func() time.Duration {
		return 80*time.Millisecond + time.Duration(random.Int64N(int64(40*time.Millisecond)))
	}
	p := path{random: random, roundTrip: jitter}
	var timer Timer
	extra := 0
	for range 1000 {
		_, copies, answered := p.send(&timer)
		must.True(t, answered)
		extra += copies - 1
	}
	must.Less(t, 50, extra) // one request in 20
}

// TestSilentDestinationGetsOneCopy: a destination that answers nothing gets single copies, and copies again once it answers.
func TestSilentDestinationGetsOneCopy(t *testing.T) {
	p := path{random: rand.New(rand.NewPCG(3, 0)), lossShare: 1, roundTrip: constant(time.Millisecond)}
	var timer Timer
	sent := 0
	for range 100 {
		_, copies, _ := p.send(&timer)
		sent += copies
	}
	must.Less(t, 100+maxSilent+MaxCopies, sent)
	timer.Answered(time.Millisecond)
	_, more := timer.Delay(1)
	must.True(t, more)
}

func TestAnswerWait(t *testing.T) {
	const longest = 800 * time.Millisecond
	for _, c := range []struct {
		name           string
		answered, lost int // of each ten copies
		least, most    time.Duration
	}{
		{"nothing lost", 10, 0, longest, longest},
		{"one in ten lost", 9, 1, 180 * time.Millisecond, 500 * time.Millisecond},
		{"half lost", 5, 5, minAnswerWait, 200 * time.Millisecond},
		{"all lost", 0, 10, minAnswerWait, minAnswerWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			var timer Timer
			for range 20 {
				for range c.lost {
					timer.Overdue()
				}
				for range c.answered {
					timer.Answered(time.Millisecond)
				}
			}
			wait := timer.AnswerWait(longest)
			must.GreaterEq(t, c.least, wait)
			must.LessEq(t, c.most, wait)
		})
	}
}
