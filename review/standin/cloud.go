package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the cloud.
type machine struct {
	name     string
	pool     string
	state    string // up, upkeep or down
	zone     string
	labels   []string
	capacity size
	runner   *worker
	lives    int
	fence    int64
	upkept   map[int64]bool // waves for which its upkeep has begun
}

// waveRequest is a wave that the operator asked for.
type waveRequest struct {
	Wave     int64    `json:"wave"`
	Machines []string `json:"machines"`
	WithinS  float64  `json:"within_s"`
	Cap      int      `json:"cap"`
}

// cloud is the machine API.
type cloud struct {
	f        *fleet
	rec      *recorder
	address  string
	mu       sync.Mutex
	machines map[string]*machine
	waves    map[int64]waveRequest
	broken   []string // rules that were seen broken
	orders   int

	// holdBack, if it is set, returns how long after its arrival an upkeep is done; the call then gets no answer. Zero means that it is done and
	// answered as usual.
	holdBack func() time.Duration
}

func newCloud(f *fleet, rec *recorder) (*cloud, error) {
	c := &cloud{f: f, rec: rec, machines: make(map[string]*machine), waves: make(map[int64]waveRequest)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /daisysaddle/machines", c.serveList)
	mux.HandleFunc("POST /daisysaddle/machine-upkeep", c.serveUpkeep)
	mux.HandleFunc("POST /daisysaddle/machine-move", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusBadRequest, nil) })
	go func() { _ = http.Serve(listener, mux) }()
	return c, nil
}

// add adds a machine with its runner.
func (c *cloud) add(name, pool, zone string, labels []string, capacity size) (*machine, error) {
	m := &machine{name: name, pool: pool, state: "up", zone: zone, labels: labels, capacity: capacity, upkept: make(map[int64]bool)}
	c.mu.Lock()
	c.machines[name] = m
	c.mu.Unlock()
	return m, c.boot(m)
}

// boot starts the next life of a machine's runner.
func (c *cloud) boot(m *machine) error {
	c.mu.Lock()
	m.lives++
	id := fmt.Sprintf("i-%s-%d", m.name, m.lives)
	c.mu.Unlock()
	w, err := c.f.start(id, m.pool, m.zone, m.labels, m.capacity, "")
	if err != nil {
		return err
	}
	c.mu.Lock()
	m.runner, m.state = w, "up"
	c.mu.Unlock()
	return nil
}

func (c *cloud) serveList(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(storeAnswerDelay)
	c.mu.Lock()
	rows := []map[string]any{}
	for _, m := range c.machines {
		row := map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels, "capacity": m.capacity, "id": ""}
		if m.state == "up" && m.runner != nil {
			row["id"] = m.runner.id
		}
		rows = append(rows, row)
	}
	c.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a]["machine"].(string) < rows[b]["machine"].(string) })
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
}

func (c *cloud) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	holder := r.Header.Get("Lease-Holder")
	c.rec.log("cloud: upkeep of %s for wave %d is ordered by %s, fence %d", o.Machine, o.Wave, holder, fence)
	c.mu.Lock()
	c.orders++
	hold := time.Duration(0)
	if c.holdBack != nil {
		hold = c.holdBack()
	}
	c.mu.Unlock()
	if hold > 0 {
		c.rec.log("cloud: that call gets no answer and is carried out %s later", hold)
		time.AfterFunc(hold, func() {
			o := c.upkeep(o.Machine, o.Wave, fence)
			c.rec.log("cloud: carried out late: status %d %v", o.status, o.body)
		})
		<-r.Context().Done()
		return
	}
	time.Sleep(storeAnswerDelay)
	result := c.upkeep(o.Machine, o.Wave, fence)
	answer(w, result.status, result.body)
}

// upkeep begins the upkeep of a machine.
func (c *cloud) upkeep(name string, wave, fence int64) outcome {
	c.mu.Lock()
	m := c.machines[name]
	refuse := func(reason string) outcome {
		c.mu.Unlock()
		return outcome{http.StatusConflict, map[string]string{"reason": reason}}
	}
	if m == nil {
		c.mu.Unlock()
		return outcome{http.StatusBadRequest, nil}
	}
	if fence < m.fence {
		return refuse("fence")
	}
	m.fence = fence
	request, known := c.waves[wave]
	member := false
	for _, n := range request.Machines {
		member = member || n == name
	}
	switch {
	case !known || !member:
		return refuse("wave")
	case m.upkept[wave]:
		c.mu.Unlock()
		return outcome{http.StatusOK, nil}
	case m.state != "up":
		return refuse("busy")
	}
	down := 0
	for _, n := range request.Machines {
		if other := c.machines[n]; other.state == "upkeep" {
			down++
		}
	}
	if down >= request.Cap {
		c.broken = append(c.broken, fmt.Sprintf("LIMIT: at %.3f s the upkeep of %s begins while %d machines of wave %d, whose cap is %d, are down for theirs", c.rec.at().Seconds(), name, down, wave, request.Cap))
	}
	m.state, m.upkept[wave] = "upkeep", true
	runner := m.runner
	m.runner = nil
	c.mu.Unlock()
	c.rec.log("cloud: upkeep of %s begins, %d others are down", name, down)
	runner.vanish("upkeep", true)
	time.AfterFunc(upkeepTime, func() {
		c.rec.log("cloud: upkeep of %s has ended", name)
		if err := c.boot(m); err != nil {
			c.rec.log("cloud: %s", err)
		}
	})
	return outcome{http.StatusOK, nil}
}
