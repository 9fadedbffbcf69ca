package node

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
)

var (
	waveSeeds = flag.Uint64("wave.seeds", 3, "number of histories of TestWavesOverEntries")
	waveFirst = flag.Uint64("wave.first", 1, "seed of the first of them")
)

const (
	fakeUpkeepTime = 200 * time.Millisecond
	waveMachines   = 8               // number of machines at the start
	listTime       = 2 * time.Second // in which an owner has stored what a list shows
)

// fakeMachines is a machine API. Machines without a worker come and go; lists are torn, late or missing, and orders are lost.
type fakeMachines struct {
	mu         sync.Mutex
	random     *rand.Rand
	came       map[string]time.Time      // by machine, since when it exists
	downUntil  map[string]time.Time      // by machine
	maintained map[string]map[int64]bool // by machine, the waves for which its maintenance has begun
	busyUntil  time.Time                 // it refuses all calls until then
	calm       bool                      // no calls fail any more
}

func (f *fakeMachines) List(ctx context.Context) (sched.MachineList, error) {
	f.mu.Lock()
	list := sched.MachineList{Pages: 2}
	for name := range f.came {
		if f.calm || f.random.IntN(10) > 0 {
			up := time.Now().After(f.downUntil[name])
			list.Machines = append(list.Machines, sched.Machine{Name: name, Pool: "p", Up: up, Unavailable: !up})
		}
	}
	for _, id := range []string{"w1", "w2", "w3"} {
		list.Machines = append(list.Machines, sched.Machine{Name: "of-" + id, Pool: "p", Up: true, Worker: id})
	}
	late, fails := time.Duration(f.random.IntN(300))*time.Millisecond, f.random.IntN(8) == 0 || time.Now().Before(f.busyUntil)
	fails = fails && !f.calm
	f.mu.Unlock()
	sleep(ctx, late)
	if fails {
		return list, errors.New("the machine API is busy")
	}
	return list, nil
}

func (f *fakeMachines) Order(_ context.Context, _ string, _ uint64, o sched.MachineOrder) sched.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := !f.calm && f.random.IntN(8) == 0
	switch {
	case !f.calm && time.Now().Before(f.busyUntil):
		return sched.Unhealthy
	case lost && f.random.IntN(2) == 0:
		return sched.Unanswered
	case f.came[o.Machine].IsZero():
		return []sched.Answer{sched.Malformed, sched.MachineBusy}[f.random.IntN(2)]
	case time.Now().Before(f.downUntil[o.Machine]):
		return sched.MachineBusy
	case !f.maintained[o.Machine][o.Wave]:
		f.maintained[o.Machine][o.Wave] = true
		f.downUntil[o.Machine] = time.Now().Add(fakeUpkeepTime)
	}
	if lost {
		return sched.Unanswered
	}
	return sched.Executed
}

// add lets a machine come, or come back.
func (f *fakeMachines) add(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.came[name] = time.Now()
	if f.maintained[name] == nil {
		f.maintained[name] = make(map[int64]bool)
	}
}

func (f *fakeMachines) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.came, name)
}

// due returns the machines of a wave that have existed for at least a time and whose maintenance has not begun.
func (f *fakeMachines) due(w sched.Wave, age time.Duration) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.Machines), func(name string) bool {
		came := f.came[name]
		return came.IsZero() || time.Since(came) < age || f.maintained[name][w.Number]
	})
}

// checkCompleted checks the waves whose status says first that they are completed, and returns their number.
func (c *cluster) checkCompleted(f *fakeMachines, waves []sched.Wave, completed map[int64]bool) int {
	for _, r := range c.platform.Records(fakeStatus) {
		var s sched.WaveStatus
		must.NoError(c.t, json.Unmarshal(r.Value, &s))
		must.False(c.t, completed[s.Wave] && !s.Completed, must.Sprint("withdrawn: ", s.Wave))
		if s.Completed && !completed[s.Wave] {
			completed[s.Wave] = true
			must.SliceEmpty(c.t, f.due(waves[s.Wave-1], listTime), must.Sprint("wave ", s.Wave))
		}
	}
	return len(completed)
}

// TestWavesOverEntries guards against waves that end without machines that exist, or never, while calls fail and owners end.
func TestWavesOverEntries(t *testing.T) {
	for seed := *waveFirst; seed < *waveFirst+*waveSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 0))
			f := &fakeMachines{random: rand.New(rand.NewPCG(seed, 1)), came: make(map[string]time.Time), downUntil: make(map[string]time.Time), maintained: make(map[string]map[int64]bool)}
			for i := range waveMachines {
				f.add("m" + strconv.Itoa(i))
			}
			c, backends := newClusterWithMachines(t, 3, 0, f)
			var waves []sched.Wave
			completed := make(map[int64]bool)
			for step := range 50 {
				name := "m" + strconv.Itoa(r.IntN(waveMachines+step/5))
				switch i := r.IntN(len(backends)); r.IntN(8) {
				case 0, 1:
					f.add(name)
				case 2, 3:
					f.remove(name)
				case 4, 5:
					w := sched.Wave{Number: int64(len(waves) + 1), TimeLimit: 10 * time.Second, MaxDown: 1 + r.IntN(3)}
					for range 1 + r.IntN(5) {
						w.Machines = append(w.Machines, "m"+strconv.Itoa(r.IntN(waveMachines+step/5)))
					}
					if r.IntN(2) == 0 {
						w.Machines = append(w.Machines, name)
						f.add(name) // it is newer than the owners' lists
					}
					slices.Sort(w.Machines)
					w.Machines = slices.Compact(w.Machines)
					waves = append(waves, w)
					c.put(fakeWaves+strconv.FormatInt(w.Number, 10), w)
				case 6:
					f.mu.Lock()
					f.busyUntil = time.Now().Add(time.Duration(r.IntN(1500)) * time.Millisecond)
					f.mu.Unlock()
				case 7:
					backends[i].setDown(true)
					time.AfterFunc(time.Duration(500+r.IntN(2500))*time.Millisecond, func() { backends[i].setDown(false) })
				}
				for range 10 {
					time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
					c.checkCompleted(f, waves, completed)
				}
			}
			f.mu.Lock()
			f.calm = true
			f.mu.Unlock()
			c.await("all waves are completed", func() bool { return c.checkCompleted(f, waves, completed) == len(waves) })
			for _, w := range waves {
				c.await(fmt.Sprint("all machines of wave ", w.Number, " are maintained"), func() bool { return len(f.due(w, 0)) == 0 })
			}
			t.Logf("%d waves", len(waves))
		})
	}
}
