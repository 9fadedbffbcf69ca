package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	metricsPort  = 9464 // of deploy/system.toml
	callDeadline = 3 * time.Second
	restartDelay = 300 * time.Millisecond
)

// entry is one machine that runs the program of the deploy file.
type entry struct {
	name     string
	front    string
	ready    string
	settings string
	log      string

	mu      sync.Mutex
	process *os.Process
	ending  bool
	done    chan struct{}
}

// deployment is the program on its machines, with what it needs.
type deployment struct {
	rec     *recorder
	kv      *kv
	fleet   *fleet
	cloud   *cloud
	folder  string
	entries []*entry
	advice  string
	zones   []string
}

// freePort returns a free port of an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// free reports whether an address can be listened on.
func free(ip string, port int) bool {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// newDeployment makes the stand-ins and a temporary folder.
func newDeployment(rec *recorder) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, zones: []string{"z1", "z2", "z3"}}
	if d.kv, err = newKV(); err != nil {
		return nil, err
	}
	d.fleet = newFleet(d.kv, rec)
	d.cloud, err = newCloud(d.fleet, rec)
	return d, err
}

// startEntries starts n entries, one in each zone in turn.
func (d *deployment) startEntries(n int) error {
	a, b := 2+rand.IntN(250), rand.IntN(250)
	for i := 0; len(d.entries) < n; i++ {
		if i > 200 {
			return fmt.Errorf("no free loopback addresses")
		}
		ip := fmt.Sprintf("127.%d.%d.%d", a, b, 2+i)
		if !free(ip, metricsPort) {
			continue
		}
		e, err := d.prepare(ip, len(d.entries)+1)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	for _, e := range d.entries {
		if err := d.run(e); err != nil {
			return err
		}
	}
	return nil
}

// prepare writes the settings of an entry.
func (d *deployment) prepare(ip string, number int) (*entry, error) {
	ports := make([]int, 3)
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	inner := 7060
	for !free(ip, inner) {
		inner += 16
	}
	zone := d.zones[(number-1)%len(d.zones)]
	e := &entry{name: fmt.Sprintf("edge-%s-%d", zone, number), front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	e.settings, e.log = filepath.Join(d.folder, e.name+".yaml"), filepath.Join(d.folder, e.name+".log")
	var zones strings.Builder
	for _, z := range d.zones {
		fmt.Fprintf(&zones, "  %s: \"r\"\n", z)
	}
	text := fmt.Sprintf(`node: %q
role: "entry"
class: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "r"
zones:
%slisten:
  front: %q
  ready: %q
  control: "%s:%d"
internal_ports: [%d, %d]
seeds: []
bootstrap: true
counts_as_loss: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: %d
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200,
  config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recover_s: 12, hold_max_ms: %d, stop_ms: 200, gang_ms: 3000, cancel_ms: 3000,
  visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, far_x: 2, checkpoint_interval_s: 2, restore_ms: 100, notice_ms: 4500, move_s: 1.5,
  upkeep_s: %g, require_fencing: true, lease_ms: 3000, thaw_slack_ms: 300, pace_ms: 100, harm_ms: 4000}
orders: "rpc"
advice: %q
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
cloud: {address: %q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`, e.name, ip, zone, zones.String(), e.front, e.ready, ip, ports[2], inner, inner+15, heartbeat.Milliseconds(), holdMax.Milliseconds(), upkeepTime.Seconds(),
		d.advice, d.kv.address, d.cloud.address)
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// run starts the program of an entry, and starts it again when it ends.
func (d *deployment) run(e *entry) error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command("target/daisynode", "entry")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYSADDLE_SETTINGS=" + e.settings}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.mu.Lock()
	e.process, e.done = command.Process, done
	e.mu.Unlock()
	d.rec.log("entry %s starts", e.name)
	go func() {
		err := command.Wait()
		d.rec.log("entry %s has ended: %v", e.name, err)
		close(done)
		time.Sleep(restartDelay)
		e.mu.Lock()
		ending := e.ending
		e.mu.Unlock()
		if !ending {
			_ = d.run(e)
		}
	}()
	return nil
}

// signal sends a signal to the program of an entry.
func (d *deployment) signal(e *entry, s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d.rec.log("entry %s gets %s", e.name, s)
	_ = e.process.Signal(s)
}

// close ends all programs and removes the temporary folder.
func (d *deployment) close() {
	for _, e := range d.entries {
		e.mu.Lock()
		e.ending = true
		process, done := e.process, e.done
		e.mu.Unlock()
		if process != nil {
			_ = process.Kill()
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
		return
	}
	fmt.Println("kept", d.folder)
}

// waitReady waits until all entries report that they are ready and one of them owns the workers.
func (d *deployment) waitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range d.entries {
		for {
			response, err := http.Get("http://" + e.ready + "/daisysaddle/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK && d.owner() != nil {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s does not get ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// owner returns the entry that holds the ownership record, or nil.
func (d *deployment) owner() *entry {
	var record struct{ Name string }
	if json.Unmarshal(d.kv.read("daisysaddle/owner"), &record) != nil {
		return nil
	}
	for _, e := range d.entries {
		if e.name == record.Name {
			return e
		}
	}
	return nil
}

// others returns the entries that do not own the workers.
func (d *deployment) others() []*entry {
	var list []*entry
	owner := d.owner()
	for _, e := range d.entries {
		if e != owner {
			list = append(list, e)
		}
	}
	return list
}

// reply is an entry's answer to a caller; its status is 0 if there was none.
type reply struct {
	status     int
	body       string
	retryAfter time.Duration
}

// call sends one request of a caller to an entry.
func (d *deployment) call(e *entry, method, path string, body any) reply {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	request.Host = "jobs.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	request.Close = true
	d.rec.log("caller: %s %s to %s", method, path, e.name)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		d.rec.log("caller: %s %s gets no answer: %s", method, path, err)
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	r := reply{response.StatusCode, strings.TrimSpace(string(data)), time.Duration(seconds) * time.Second}
	d.rec.log("caller: %s %s gets %d %s", method, path, r.status, r.body)
	return r
}

// submit hands a job in, with up to four more tries at other entries, and reports whether it was accepted.
func (d *deployment) submit(prefix, id string, job map[string]any) bool {
	for try := range 5 {
		r := d.call(d.entries[try%len(d.entries)], http.MethodPost, prefix+id, job)
		switch {
		case r.status >= 200 && r.status < 300:
			return true
		case r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable:
			time.Sleep(max(r.retryAfter, 100*time.Millisecond))
		}
	}
	return false
}

// jobID returns a new id of a job.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
