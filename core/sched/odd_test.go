package sched

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// addStored adds a job from its stored records to a new owner, which then plans and ends one of its runs.
func addStored(t *testing.T, job, progress []byte) {
	t.Helper()
	now := time.Unix(1_700_000_000, 0)
	s, poll := successor(t, now)
	j, err := DecodeJob(job)
	tasks := 0
	for _, step := range j.Steps {
		tasks += step.Count
	}
	if err != nil || tasks > 100 {
		return
	}
	p, err := DecodeProgress(progress)
	if err != nil {
		return
	}
	j.ID, j.Queue, j.Repeats = "j", "q-p", min(j.Repeats, 4)
	s.AddJob(now, j, p, true)
	poll(now, []RunStatus{{Task: TaskID{Job: "j", Index: 1}, Run: 1}}, []EndedRun{{Number: 1, RunStatus: RunStatus{Task: TaskID{Job: "j"}, Run: 1}, Reason: Done}})
	for _, o := range s.Plan(now.Add(time.Second)).Saves {
		_, err := o.Progress.Encode()
		must.NoError(t, err)
	}
}

// TestOddProgressEndsNoOwner guards against stored progress that ends each owner that reads it.
func TestOddProgressEndsNoOwner(t *testing.T) {
	job, err := json.Marshal(batch("j", "p", 2, 900, 2))
	must.NoError(t, err)
	for _, progress := range []string{
		`{"Occurrences":[{"Tasks":[{"Step":-1,"Done":[0]}]}]}`,
		`{"Occurrences":[{"Tasks":[{"Step":0,"Done":[-1,0,0,9]}]}]}`,
		`{"Occurrences":[{"Failed":[{"Step":-1,"Index":0,"Run":1},{"Step":0,"Index":-1,"Run":1}]}]}`,
		`{"Occurrences":[{"Crashes":[{"Step":0,"Index":-1,"Run":1}],"Trials":[{"Step":-7,"Index":0,"Run":1}]}]}`,
		`{"Occurrences":[{"Index":-5},{"Index":1000000000},{"Index":1000000000,"Whole":true}]}`,
	} {
		addStored(t, job, []byte(progress))
	}
}

// FuzzStoredRecords checks that no stored job or progress ends the owner that reads it.
func FuzzStoredRecords(f *testing.F) {
	job, err := json.Marshal(batch("j", "p", 2, 900, 2))
	must.NoError(f, err)
	f.Add(job, []byte(`{"Occurrences":[{"Tasks":[{"Step":0,"Done":[1]}],"Failed":[{"Step":0,"Index":0,"Run":3}],"Crashes":[{"Step":1,"Index":0,"Run":1,"Worker":"w","Address":"10.0.0.1:80","Chance":0.1}],"Trials":[{"Step":1,"Index":0,"Run":2,"Worker":"w"}]}]}`))
	f.Add([]byte(`{"ID":"j","Queue":"q","Steps":[{"Count":1,"Gang":true,"Lasting":true}],"Repeats":3,"Interval":1}`), []byte(`{"State":"Running","Occurrences":[{"Index":2,"Whole":true}]}`))
	f.Fuzz(func(t *testing.T, job, progress []byte) { addStored(t, job, progress) })
}

// TestOddMachineIsNotTakenForGone guards against losing a worker, or leaving a machine out of its wave, over an entry that can't be read.
func TestOddMachineIsNotTakenForGone(t *testing.T) {
	for _, odd := range []Machine{{Name: "m", Fault: "negative"}, {Fault: "nesting"}} {
		now := time.Unix(1_700_000_000, 0)
		s, poll := successor(t, now)
		s.AddJob(now, batch("j", "p", 1, 900, 1), Progress{}, false)
		s.StartAnswered(now, s.Plan(now).Starts[0], Executed)
		poll(now, []RunStatus{{Task: TaskID{Job: "j"}, Run: s.workers["w"].sortedRuns()[0].number}}, nil)
		other := Machine{Name: "n", Pool: "p"}
		s.SetMachines(now, now, MachineList{Machines: []Machine{{Name: "m", Pool: "p", Up: true, Worker: "w"}, other}})
		s.AddWave(now, Wave{Number: 1, Machines: []string{"m"}, TimeLimit: time.Minute, MaxDown: 1})
		now = now.Add(time.Second)
		s.SetWorkers(now, nil) // its record is odd too
		s.SetMachines(now.Add(time.Second), now.Add(time.Second), MachineList{Machines: []Machine{odd, other}})
		s.Plan(now.Add(time.Second))
		must.False(t, s.workers["w"].ended, must.Sprint(odd))
		must.MapLen(t, 1, s.workers["w"].runs)
		must.False(t, s.waves[1].members[0].excluded, must.Sprint(odd))
		s.SetMachines(now.Add(2*time.Second), now.Add(2*time.Second), MachineList{Machines: []Machine{other}})
		must.True(t, s.workers["w"].ended, must.Sprint(odd))
	}
}
