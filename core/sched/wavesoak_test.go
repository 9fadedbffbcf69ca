package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// wavePools is the number of machines of each pool at the start of a history of TestWaveSoak.
var wavePools = map[string]int{"a": 7, "b": 7, "spare": 3}

const (
	fewestMachines = 5  // of a pool; its last ones do not go
	mostMachines   = 40 // that a history names
)

// disturbMachines lets a machine come, go or come back, begins a wave, or lets a trouble befall the machine API or the owner. gone are the machines
// that went and did not come back.
func (w *simulation) disturbMachines(r *rand.Rand, gone *[]string, names *int) {
	api := &w.machineAPI
	duration := time.Duration(300+r.IntN(4000)) * time.Millisecond
	pool := []string{"a", "b"}[r.IntN(2)]
	var members []string
	for _, name := range sortedKeys(w.pools) {
		if until := w.unavailableUntil[name]; w.pools[name] == pool && !w.now.Before(until) {
			members = append(members, name)
		}
	}
	switch r.IntN(11) {
	case 0:
		if *names < mostMachines {
			w.addMachine(fmt.Sprint("m", *names), pool)
			*names++
		}
	case 1, 2:
		if len(members) > fewestMachines {
			name := members[r.IntN(len(members))]
			w.removeMachine(name)
			*gone = append(*gone, name)
		}
	case 3:
		if len(*gone) > 0 {
			w.addMachine((*gone)[0], pool)
			*gone = (*gone)[1:]
		}
	case 4, 5:
		machines := append(sortedKeys(w.pools), *gone...)
		r.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
		number := int64(len(w.requested) + 1)
		w.requestWave(Wave{Number: number, Machines: slices.Clone(machines[:1+r.IntN(8)]), TimeLimit: 20 * time.Second, MaxDown: 1 + r.IntN(3)})
	case 6:
		api.busy = true
		w.schedule(duration, func() { api.busy = false })
	case 7:
		api.silent = true
		w.schedule(duration, func() { api.silent = false })
	case 8:
		api.old = true
		w.schedule(2*duration, func() { api.old = false })
	case 9:
		api.late = duration / 2
		w.schedule(2*duration, func() { api.late = 0 })
	case 10:
		w.changeOwner()
	}
}

// TestWaveSoak guards against waves that end without machines that exist, or never, under odd lists and changes of the owner.
func TestWaveSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, simStream))
			w := newSimulation(t, seed, wavePools)
			w.machineAPI.pageSize = []int{0, 3, 5}[seed%3]
			names, gone := 20, []string(nil)
			w.run(settleTime)
			for i, pool := range []string{"a", "b"} {
				w.submit(longRunningJob(fmt.Sprint("long", i), pool, 4))
			}
			w.run(2 * time.Second)
			for i := range 80 {
				w.submit(batch(fmt.Sprint("j", i), []string{"a", "b"}[r.IntN(2)], 1+r.IntN(4), 900, 1+r.IntN(2)))
				w.disturbMachines(r, &gone, &names)
				w.run(time.Duration(50+r.IntN(700)) * time.Millisecond)
			}
			w.run(45 * time.Second)
			for _, wave := range w.requested {
				must.True(t, w.waves[wave.Number].Completed, must.Sprintf("%+v\n%+v", wave, w.owner.state.describeWave(wave.Number)))
			}
			must.MapEmpty(t, w.unmaintained)
			for id := range w.jobs {
				if w.stored[id].State == Failed && w.mayGiveUp(id) {
					continue
				}
				if j := w.jobs[id]; j.longRunning() {
					must.Eq(t, 4, w.runningTasks(id), must.Sprint(id, "\n", w.owner.state.dump(id)))
					continue
				}
				must.Eq(t, Completed, w.stored[id].State, must.Sprint(id, "\n", w.owner.state.dump(id)))
			}
		})
	}
}

// describeWave returns a description of the machines of a wave that are left, for a failed test.
func (s *State) describeWave(number int64) []string {
	var left []string
	for _, p := range s.waves[number].members {
		if !p.begun {
			m, listed := s.machines[p.machine]
			left = append(left, fmt.Sprintf("%+v listed %v %+v", *p, listed, m))
		}
	}
	return left
}
