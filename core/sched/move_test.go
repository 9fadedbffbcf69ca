package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestOnlyWhatThePoolLacksComesBack: when a pool that was to give machines needed one again, all of its moves
// were given up at once and chosen again in the next plan, so none got empty (agua-fichas trouble-1, 32.4 to 33.2 s).
func TestOnlyWhatThePoolLacksComesBack(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New(now, 1, simSettings)
	s.SetConfig(Config{Version: 1, Pools: map[string]Pool{"p": {Name: "p"}, "q": {Name: "q"}}})
	for i := range 6 {
		name := fmt.Sprint("m", i)
		s.machines[name] = Machine{Name: name, Pool: "q", Up: true}
		s.moves[name] = &move{from: "q", to: "p", began: now}
	}
	l := s.lendingOf("q")
	l.machines, l.need = 3, 5
	for _, name := range sortedKeys(s.moves) {
		s.carryMove(now, name, s.moves[name])
	}
	must.MapLen(t, 4, s.moves)
	must.Eq(t, 5, l.machines)
}

// TestNewOwnerKnowsOfNoSurplus: a successor that has just begun would send away machines that its predecessor needed.
func TestNewOwnerKnowsOfNoSurplus(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := &lending{need: 1}
	l.noteNeed(now)
	must.Greater(t, 1000, l.mostNeeded(now.Add(time.Second), surplusTime))
	l.need = 7
	l.noteNeed(now.Add(time.Second))
	l.need = 2
	later := now.Add(2500 * time.Millisecond)
	l.noteNeed(later)
	must.Eq(t, 7, l.mostNeeded(later, surplusTime))
	must.Eq(t, 2, l.mostNeeded(later, surplusLeast))
}
