package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestShareMachines: what the pools need is met in full while there are machines for all. Otherwise each keeps its floor, and
// the rest is divided by need.
func TestShareMachines(t *testing.T) {
	for _, c := range []struct {
		name    string
		pools   []poolDemand
		spare   int
		want    []int
		mostAll int // upper bound of the sum, as shares are rounded up
	}{
		{"enough for all", []poolDemand{{machines: 10, floor: 2, need: 6}, {machines: 2, floor: 2, need: 8}}, 2, []int{6, 8}, 14},
		{"a burst follows another", []poolDemand{{machines: 20, floor: 4, need: 16}, {machines: 4, floor: 4, need: 28}}, 0, []int{10, 15}, 25},
		{"floors only", []poolDemand{{machines: 3, floor: 3, need: 3}, {machines: 1, floor: 3, need: 3}}, 0, []int{3, 3}, 6},
		{"no machine beyond the floors", []poolDemand{{machines: 3, floor: 3, need: 9}, {machines: 3, floor: 3, need: 3}}, 0, []int{3, 3}, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(time.Unix(1_700_000_000, 0), 1, simSettings)
			s.demands["spare"] = &poolDemand{machines: c.spare}
			for i := range c.pools {
				s.demands[fmt.Sprint("p", i)] = &c.pools[i]
			}
			s.shareMachines()
			total := 0
			for i, want := range c.want {
				must.Eq(t, want, c.pools[i].share)
				total += c.pools[i].share
			}
			must.LessEq(t, c.mostAll, total)
		})
	}
}

// TestOneLargeJobIsNoBurst: the arrival of one job with a thousand processor-seconds does not claim machines for a rise that
// many arrivals would announce.
func TestOneLargeJobIsNoBurst(t *testing.T) {
	const work = 1000.0
	expected := func(jobs int) float64 {
		l := &poolDemand{}
		for range jobs {
			l.recentJobs++
			l.shortRate[0] += work / float64(jobs) / shortRateWindow.Seconds()
			l.longRate[0] += work / float64(jobs) / longRateWindow.Seconds()
		}
		return l.expectedRate(0, 2*time.Second) - l.longRate[0]
	}
	must.Less(t, expected(10)/2, expected(1))
}

// TestWaveLeavesBusyPools: while a pool's batch tasks need all its machines, a wave takes machines of the idle pools. It takes
// the others once it would be late otherwise.
func TestWaveLeavesBusyPools(t *testing.T) {
	for _, c := range []struct {
		name    string
		elapsed time.Duration
		busy    bool // whether a machine of the busy pool is chosen
	}{{"early", time.Second, false}, {"late", 16 * time.Second, true}} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			s := New(now, 1, simSettings)
			s.SetConfig(Config{Version: 1, Pools: map[string]Pool{"busy": {Name: "busy"}, "idle": {Name: "idle"}}})
			w := Wave{Number: 1, TimeLimit: 27 * time.Second, MaxDown: 4}
			for pool, machines := range map[string]int{"busy": 4, "idle": 2} {
				for i := range machines {
					name := fmt.Sprint(pool, i)
					known := s.addWorker(Worker{ID: "w-" + name, Pool: pool})
					known.polled = true
					s.reserve(known, &run{id: TaskID{Job: name}, since: now})
					s.machines[name] = Machine{Name: name, Pool: pool, Up: true, Worker: known.ID}
					w.Machines = append(w.Machines, name)
				}
			}
			*s.demandOf("busy") = poolDemand{machines: 4, floor: 1, need: 6, share: 4}
			*s.demandOf("idle") = poolDemand{machines: 2, floor: 2, need: 2, share: 2}
			s.machinesAsOf = now.Add(time.Second)
			s.AddWave(now, w)
			s.planWave(now.Add(c.elapsed), s.waves[1], &Orders{})
			must.True(t, s.workers["w-idle0"].cordoned)
			must.Eq(t, c.busy, s.workers["w-busy0"].cordoned)
		})
	}
}

// TestExtraMachineOnlyForMaintenance: a pool keeps one machine more than its long-running tasks need while a wave has machines
// left, since a task whose machine is due moves there, and gives it up for other pools' bursts afterwards.
func TestExtraMachineOnlyForMaintenance(t *testing.T) {
	s := New(time.Unix(1_700_000_000, 0), 1, simSettings)
	s.SetConfig(Config{Version: 1, Pools: map[string]Pool{"p": {Name: "p"}}})
	l := &poolDemand{minWorkers: 5}
	floor, _ := s.machinesNeeded("p", l)
	must.Eq(t, 5, floor)
	s.waves[1] = &wave{}
	floor, _ = s.machinesNeeded("p", l)
	must.Eq(t, 6, floor)
	s.waves[1].allBegun = true
	floor, _ = s.machinesNeeded("p", l)
	must.Eq(t, 5, floor)
}
