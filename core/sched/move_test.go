package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestCancelsOnlyMovesTheSourceNeeds guards against cancelling too many moves. When a pool that gave machines needed
// some of them again, all of its moves were cancelled at once and chosen again by the next plan, so for 0.8 s no
// machine became empty.
func TestCancelsOnlyMovesTheSourceNeeds(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New(now, 1, simSettings)
	s.SetConfig(Config{Version: 1, Pools: map[string]Pool{"p": {Name: "p"}, "q": {Name: "q"}}})
	for i := range 6 {
		name := fmt.Sprint("m", i)
		s.machines[name] = Machine{Name: name, Pool: "q", Up: true}
		s.moves[name] = &move{from: "q", to: "p", startedAt: now}
	}
	l := s.demandOf("q")
	l.machines, l.share = 3, 5
	for _, name := range sortedKeys(s.moves) {
		s.advanceMove(now, name, s.moves[name])
	}
	must.MapLen(t, 4, s.moves)
	must.Eq(t, 5, l.machines)
}

// TestNewOwnerReportsNoSurplus guards against a new owner that gives up machines which its predecessor needed, because
// it has no record of the need yet.
func TestNewOwnerReportsNoSurplus(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := &poolDemand{share: 1}
	l.recordShare(now)
	must.Greater(t, 1000, l.maxShare(now.Add(time.Second), spareSurplusTime))
	l.share = 7
	l.recordShare(now.Add(time.Second))
	l.share = 2
	later := now.Add(2500 * time.Millisecond)
	l.recordShare(later)
	must.Eq(t, 7, l.maxShare(later, spareSurplusTime))
	must.Eq(t, 2, l.maxShare(later, poolSurplusTime))
}

// TestMoveOfAnUnlistedMachine guards against a worker that takes no more tasks since its chosen move was dropped.
func TestMoveOfAnUnlistedMachine(t *testing.T) {
	for _, sent := range []bool{false, true} {
		s, list := ownerWithRun(t)
		list(machineOfW, otherMachine)
		s.startMove(s.machinesAsOf, "m", "q")
		s.moves["m"].inFlight = sent
		list(otherMachine)
		list(otherMachine)
		s.advanceMove(s.machinesAsOf, "m", s.moves["m"])
		must.Eq(t, sent, s.moves["m"] != nil)
		must.Eq(t, sent, s.workers["w"].cordoned)
	}
}

// TestRefusedMoveOfAMachineThatComesBack guards against a machine that never moves again, since a move was rejected while it was away.
func TestRefusedMoveOfAMachineThatComesBack(t *testing.T) {
	s, list := ownerWithRun(t)
	list(machineOfW, otherMachine)
	s.startMove(s.machinesAsOf, "n", "q")
	s.MachineAnswered(s.machinesAsOf, MachineOrder{Machine: "n", Pool: "q"}, Malformed)
	spare := moveCandidate{Machine: otherMachine, spare: true}
	must.False(t, s.mayMoveTo(spare, "q"))
	list(machineOfW)
	list(machineOfW)
	list(machineOfW, otherMachine)
	must.True(t, s.mayMoveTo(spare, "q"))
}
