package admit

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestLeavingWaitersLeaveNothing checks that waiters which leave while none is admitted are dropped, and that those left keep their order.
func TestLeavingWaitersLeaveNothing(t *testing.T) {
	var q fifoQueue
	stays := []*Waiter{{Value: 0}, {Value: 1}, {Value: 2}}
	for i, w := range stays {
		q.Push(w)
		for range 5000 {
			leaves := &Waiter{Value: i}
			q.Push(leaves)
			q.Remove(leaves)
		}
	}
	must.Eq(t, 3, q.Len())
	must.LessEq(t, 2*compactThreshold, len(q.waiters))
	for _, w := range stays {
		must.Eq(t, w, q.Pop())
	}
	must.Nil(t, q.Pop())
}

// TestManyTeamNames checks that callers that make up a team for each request neither take memory nor go before a team that waits.
func TestManyTeamNames(t *testing.T) {
	q := newFairQueue(Settings{Quota: map[string]int{"listed": 100}})
	for i := range 1000 {
		q.Push(&Waiter{Team: fmt.Sprint("made up ", i)})
	}
	q.Push(&Waiter{Team: "listed"})
	must.LessEq(t, maxUnlistedTeams+3, len(q.normal.byTeam))
	before := 0
	for q.Pop().Team != "listed" {
		before++
	}
	must.LessEq(t, maxUnlistedTeams+1, before)
	for q.Len() > 0 {
		q.Pop()
	}
	for i := range 1000 {
		w := &Waiter{Team: fmt.Sprint("another ", i)}
		q.Push(w)
		q.Remove(w)
	}
	must.LessEq(t, maxUnlistedTeams+3, len(q.normal.byTeam))
}
