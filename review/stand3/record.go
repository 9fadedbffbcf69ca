package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	counts map[string]int
	starts map[string]int // by job, the number of starts of its tasks
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now(), counts: make(map[string]int), starts: make(map[string]int)}, err
}

// line writes a line with the time since the start.
func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%7.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Println(text)
	_, _ = fmt.Fprintln(r.file, text) // the text is also printed
}

// count counts an event.
func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

// started counts the start of a task of a job.
func (r *record) started(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[job]++
}

// startsOf returns the number of starts of a job's tasks.
func (r *record) startsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[job]
}

// total returns the number of events of a kind.
func (r *record) total(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[what]
}
