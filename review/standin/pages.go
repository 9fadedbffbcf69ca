package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playPages: more jobs with times are accepted than 64 pages of the store's list hold; then the owner gets SIGTERM. A job whose id comes late in the order
// of the keys is due afterwards.
func playPages(d *deployment, trouble bool) ([]string, error) {
	const (
		jobs    = 32_600
		callers = 48
		dueIn   = 85 * time.Second
	)
	unit := size{CPU: 1000, Mem: 512}
	d.fleet.sizeOf = func(string) size { return unit }
	d.fleet.work = func(string, int64) (time.Duration, bool) { return 200 * time.Millisecond, false }
	d.configure(1, []string{"plans"}, route("plan", plans, "plans"))
	if err := d.addMachines("plans", 4, workerSize); err != nil {
		return nil, err
	}
	if err := d.begin(); err != nil {
		return nil, err
	}
	due := time.Now().Add(dueIn)
	timed := func(first time.Time) []byte {
		step := map[string]any{"count": 1, "cpu": unit.CPU, "mem_mb": unit.Mem, "est_ms": 200}
		text, _ := json.Marshal(map[string]any{"spec": "timed", "steps": []any{step}, "repeats": 1, "first_ms": first.UnixMilli(), "interval_ms": 1000})
		return text
	}
	late, last := timed(due.Add(time.Hour)), "ffffffffffffff01"
	var accepted atomic.Int64
	var next atomic.Int64
	var group sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	post := func(e *entry, id string, body []byte) bool {
		request, _ := http.NewRequest(http.MethodPost, "http://"+e.front+plans+id, bytes.NewReader(body))
		request.Host = "jobs.example"
		request.Header.Set("Deadline-Ms", "3000")
		response, err := transport.RoundTrip(request)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	for range callers {
		group.Go(func() {
			for {
				n := next.Add(1)
				if n > jobs || time.Until(due) < 20*time.Second {
					return
				}
				if post(d.entries[n%3], fmt.Sprintf("%016x", n), late) {
					accepted.Add(1)
				}
			}
		})
	}
	group.Wait()
	if !post(d.entries[0], last, timed(due)) {
		return nil, errNoSetup
	}
	d.rec.log("%d jobs were accepted, the last one, %s, is due at %.3f s", accepted.Load()+1, last, d.rec.at().Seconds()+time.Until(due).Seconds())
	if accepted.Load() < 32_100 {
		return nil, errNoSetup
	}
	d.kv.mu.Lock()
	d.rec.log("the store had %d write calls so far", d.kv.writes)
	d.kv.mu.Unlock()
	if trouble {
		d.signal(d.owner(), syscall.SIGTERM)
	}
	time.Sleep(time.Until(due) + 3*time.Second)
	d.call(d.entries[0], http.MethodGet, plans+last, nil)
	if d.fleet.begun(last+".0.0.0") > 0 {
		return nil, nil
	}
	if b := d.waitsInVain(last+".0.0.0", "plans", "", unit, standing); b != "" {
		return []string{b}, nil
	}
	return nil, nil
}
