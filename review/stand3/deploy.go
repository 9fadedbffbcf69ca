package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment.
const (
	memoryMB        = 284
	restartDelay    = time.Second // until the platform starts a process again
	memoryPause     = 50 * time.Millisecond
	heartbeat       = 1500 * time.Millisecond
	kilobyte        = 1 << 10
	metricsPort     = 9464
	entryWaitPeriod = 15 * time.Second
	scriptTime      = 112 * time.Second
)

// deployment is a small deployment on loopback: entries as processes, and stand-ins for the store, the machines and the workers.
type deployment struct {
	log      *record
	folder   string
	store    *store
	address  string // of the store
	cloud    string
	entries  []*entry
	workers  []*worker
	stopping bool
	mu       sync.Mutex
}

// entry is an entry of the job service.
type entry struct {
	name     string
	ip       string
	front    string
	settings string

	mu      sync.Mutex
	process *os.Process
	down    bool // the test took it down; it is not started again until the test says so
	ends    int  // ends over the memory limit or by itself
}

// serve serves a handler on a free port and returns its address.
func serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // until the program ends
	return l.Addr().String(), nil
}

// freePorts returns ports of an address that are free now.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// freeIPs returns loopback addresses on which the metrics port is free.
func freeIPs(n int) []string {
	var ips []string
	for i := 1; i < 250 && len(ips) < n; i++ {
		ip := fmt.Sprintf("127.83.%d.%d", os.Getpid()%250, i)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(metricsPort)))
		if err != nil {
			continue
		}
		_ = l.Close()
		ips = append(ips, ip)
	}
	return ips
}

// route is a queue of the configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Kind     string  `json:"kind"`
	Timeout  int     `json:"timeout_ms"`
	Target   int     `json:"target_runtime_ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
}

// service is a pool of workers of the configuration.
type service struct {
	Name  string `json:"name"`
	Spare bool   `json:"spare"`
}

// configuration returns the operator's configuration with a version.
func configuration(version int, routes []route, services []service) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// host is the Host header of all requests.
const host = "pule25.example"

// newDeployment starts the stand-ins and writes the settings of the entries. Each pool has some workers.
func newDeployment(log *record, entries int, pools map[string]int, routes []route) (*deployment, error) {
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{log: log, folder: folder, store: newStore()}
	go d.store.expireLeases()
	if d.address, err = serve("127.0.0.1", d.store); err != nil {
		return nil, err
	}
	if d.cloud, err = serve("127.0.0.1", http.HandlerFunc(d.serveMachines)); err != nil {
		return nil, err
	}
	var services []service
	for pool, n := range pools {
		services = append(services, service{Name: pool})
		for i := range n {
			if err := d.addWorker(fmt.Sprintf("i-%s-%d", pool, i), pool, i); err != nil {
				return nil, err
			}
		}
	}
	d.endOnSignal()
	d.store.put("op/config", configuration(1, routes, services))
	go d.beat()
	for i, ip := range freeIPs(entries) {
		ports, err := freePorts(ip, 4)
		if err != nil {
			return nil, err
		}
		e := &entry{name: fmt.Sprintf("edge-%d", i+1), ip: ip, front: net.JoinHostPort(ip, strconv.Itoa(ports[0])), down: true}
		e.settings = filepath.Join(folder, e.name+".yaml")
		if err := os.WriteFile(e.settings, []byte(d.settingsOf(e, ports)), 0o600); err != nil {
			return nil, err
		}
		d.entries = append(d.entries, e)
	}
	return d, nil
}

func (d *deployment) addWorker(id, pool string, n int) error {
	w := newWorker(id, pool, "", "z1", fmt.Sprintf("r%d", n/4), d.log)
	address, err := serve("127.0.0.1", w)
	w.address = address
	d.workers = append(d.workers, w)
	return err
}

// beat writes the records of the workers at each heartbeat, until the program ends.
func (d *deployment) beat() {
	for seq := 1; ; seq++ {
		for _, w := range d.workers {
			d.store.put("servers/"+w.id, w.describe(seq))
		}
		time.Sleep(heartbeat)
	}
}

// serveMachines lists a machine for each worker. Orders are refused as busy, since no machine is to move.
func (d *deployment) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		answer(w, map[string]string{"reason": "busy"})
		return
	}
	machines := []map[string]any{}
	for _, one := range d.workers {
		machines = append(machines, map[string]any{"machine": "m-" + one.id, "pool": one.pool, "state": "up", "zone": one.zone, "labels": []string{"a", one.rack}, "capacity": one.capacity, "id": one.id})
	}
	answer(w, map[string]any{"machines": machines, "next_token": nil})
}

// settingsOf returns the settings file of an entry, with the figures of a small site.
func (d *deployment) settingsOf(e *entry, ports []int) string {
	return fmt.Sprintf(`node: %q
role: "entry"
class: "edge"
serves: ["edge"]
ip: %q
zone: "z1"
region: "r"
zones: {z1: "r"}
listen: {front: %q, ready: "%s:%d"}
internal_ports: [%d, %d]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {grace_s: 6, hold_max_ms: 6000, stop_ms: 200, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, status_s: 120, checkpoint_interval_s: 2, notice_ms: 4500, move_s: 1.5, upkeep_s: 2, pace_ms: 100}
orders: "rpc"
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
cloud: {address: %q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`, e.name, e.ip, e.front, e.ip, ports[1], ports[2], ports[3], memoryMB, d.address, d.cloud)
}

// start starts the process of an entry, and starts it again when it ends, as the platform does.
func (d *deployment) start(e *entry) error {
	program, err := filepath.Abs("target/daisynode")
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(d.folder, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, "entry")
	command.Env = append(os.Environ(), "DAISYSADDLE_SETTINGS="+e.settings)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.process, e.down = command.Process, false
	e.mu.Unlock()
	d.log.line("%s started", e.name)
	ctx, cancel := context.WithCancel(context.Background())
	go d.watchMemory(ctx, e, command.Process)
	go func() {
		err := command.Wait()
		cancel()
		_ = logFile.Close()
		e.mu.Lock()
		again := !e.down
		if again {
			e.ends++
		}
		e.mu.Unlock()
		d.log.line("%s ended: %v", e.name, err)
		if again && !d.isStopping() {
			time.Sleep(restartDelay)
			if !d.isStopping() {
				_ = d.start(e) // a failure shows as an entry that does not answer
			}
		}
	}()
	return nil
}

// watchMemory kills a process that exceeds its memory, as the platform does.
func (d *deployment) watchMemory(ctx context.Context, e *entry, p *os.Process) {
	for ctx.Err() == nil {
		time.Sleep(memoryPause)
		if used := residentMB(p.Pid); used > memoryMB {
			d.log.line("%s uses %d MB of %d: killed", e.name, used, memoryMB)
			_ = p.Signal(syscall.SIGKILL) // it may have ended
			return
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(fields[0])
	return n / kilobyte
}

// signal sends a signal to the process of an entry.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		_ = e.process.Signal(s) // it may have ended
	}
}

// kill ends the process of an entry; it is not started again until start is called.
func (e *entry) kill() {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	e.signal(syscall.SIGKILL)
}

// endCount returns how often the process ended over its memory or by itself.
func (e *entry) endCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ends
}

func (d *deployment) isStopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// close ends all processes.
func (d *deployment) close() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	for _, e := range d.entries {
		e.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// endOnSignal ends all processes and the program after a signal, or after the longest time that a script may take.
func (d *deployment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(scriptTime):
		}
		d.log.line("ended early")
		d.close()
		os.Exit(notRun)
	}()
}

// owner returns the entry that the ownership record names, or nil.
func (d *deployment) owner() *entry {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var o struct{ Name string }
	if json.Unmarshal(d.store.items["daisysaddle/owner"].Value, &o) != nil {
		return nil
	}
	for _, e := range d.entries {
		if e.name == o.Name {
			return e
		}
	}
	return nil
}
