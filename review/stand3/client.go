package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// step is a step of a job.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"mem_mb"`
	EstMS       int   `json:"est_ms"`
	After       []int `json:"after,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
}

// job is a job of a client.
type job struct {
	id     string
	prefix string
	Spec   string `json:"spec"`
	Steps  []step `json:"steps"`

	Repeats    int   `json:"repeats,omitempty"`
	FirstMS    int64 `json:"first_ms,omitempty"`
	IntervalMS int64 `json:"interval_ms,omitempty"`
}

func newJob(prefix string, steps ...step) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, Spec: fmt.Sprintf("ms=%d", steps[0].EstMS), Steps: steps}
}

// Behavior of a client, as the sites state it.
const (
	timeBudget    = 3 * time.Second
	clientRetries = 4
	retryPause    = 200 * time.Millisecond
)

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends a request to an entry and returns the status, or zero without an answer.
func call(front, method, path string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	c := *httpClient
	c.Timeout = timeBudget
	response, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// submit hands a job in, at other entries after a failure, and returns whether it was accepted, and the last status.
func (d *deployment) submit(j *job) (bool, int) {
	body, err := json.Marshal(j)
	if err != nil {
		panic(err) // the fields are numbers and strings
	}
	first, status := rand.IntN(len(d.entries)), 0
	for try := range clientRetries + 1 {
		status, _ = call(d.entries[(first+try)%len(d.entries)].front, http.MethodPost, j.prefix+j.id, body)
		d.log.count(fmt.Sprintf("POST %s answered %d", j.prefix, status))
		if status/100 == 2 {
			return true, status
		}
		time.Sleep(retryPause)
	}
	return false, status
}

// state asks for the state of a job, at each entry in turn.
func (d *deployment) state(j *job) (int, string) {
	status := 0
	for _, e := range d.entries {
		var text []byte
		status, text = call(e.front, http.MethodGet, j.prefix+j.id, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(text, &body) == nil {
			return status, body.State
		}
	}
	return status, ""
}
