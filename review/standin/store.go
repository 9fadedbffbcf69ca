package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswerDelay = 4 * time.Millisecond
	historyLength    = 20 * time.Second
	rangePage        = 500
)

// item is one key of the store, or its deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"create_rev"`
	Lease     int64  `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
	at        time.Time
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// condition, put and transaction are the parts of a kv-txn.
type condition struct {
	Key string `json:"key"`
	Rev int64  `json:"rev"`
}

type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

type transaction struct {
	Precondition []condition `json:"precondition"`
	SetKeys      []put       `json:"set_keys"`
	DeleteKeys   []string    `json:"delete_keys"`
}

// kv is the platform's store.
type kv struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []item
	forgotten int64 // events up to this revision are gone
	changed   chan struct{}
	leases    map[int64]*lease
	lastLease int64
	address   string

	// holdBack, if it is set, returns how long after its arrival a transaction is done; it then gets no answer. Zero means that it is done and
	// answered as usual.
	holdBack func(transaction) time.Duration
	writes   int

	second                    int64 // for which the next two count
	secondWrites, secondReads int
}

const (
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// admits counts a call against its rate, and reports whether it is within it.
func (s *kv) admits(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.secondWrites, s.secondReads = now, 0, 0
	}
	count, limit := &s.secondReads, readsPerSecond
	if write {
		count, limit = &s.secondWrites, writesPerSecond
	}
	*count++
	return *count <= limit
}

// limited serves calls within their rate and answers the others with 429.
func (s *kv) limited(write bool, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admits(write) {
			answer(w, http.StatusTooManyRequests, nil)
			return
		}
		serve(w, r)
	}
}

func newKV() (*kv, error) {
	s := &kv{rev: 1, items: make(map[string]item), changed: make(chan struct{}), leases: make(map[int64]*lease)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /daisysaddle/kv-key", s.limited(false, s.serveKey))
	mux.HandleFunc("GET /daisysaddle/kv-range", s.limited(false, s.serveRange))
	mux.HandleFunc("GET /daisysaddle/kv-watch", s.limited(false, s.serveWatch))
	mux.HandleFunc("POST /daisysaddle/kv-txn", s.limited(true, s.serveTransaction))
	mux.HandleFunc("POST /daisysaddle/kv-lease", s.limited(true, s.serveLease))
	mux.HandleFunc("POST /daisysaddle/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /daisysaddle/kv-lease-end/{id}", s.serveLeaseEnd)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// change writes or deletes a key. The caller holds mu.
func (s *kv) change(key string, value []byte, leaseID int64, deleted bool) {
	i := item{Key: key, Value: value, Rev: s.rev, CreateRev: s.rev, Lease: leaseID, Deleted: deleted, at: time.Now()}
	if old, known := s.items[key]; known {
		i.CreateRev = old.CreateRev
	}
	if deleted {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyLength {
		s.forgotten = s.history[0].Rev
		s.history = s.history[1:]
	}
}

// wake wakes the watches. The caller holds mu.
func (s *kv) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets a key, for the operator and the workers.
func (s *kv) write(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.change(key, text, 0, false)
	s.wake()
}

// remove deletes a key, if it is there.
func (s *kv) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	s.rev++
	s.change(key, nil, 0, true)
	s.wake()
}

// read returns the value of a key, or nil.
func (s *kv) read(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *kv) serveKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerDelay)
	s.mu.Lock()
	i, known := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !known {
		answer(w, http.StatusNotFound, map[string]int64{"store_revision": rev})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{i, rev})
}

func (s *kv) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerDelay)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > rangePage
	if truncated {
		items = items[:rangePage]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store_revision": rev})
}

func (s *kv) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		gone := after < s.forgotten
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if gone {
			answer(w, http.StatusGone, nil)
			return
		}
		select {
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		default:
		}
		if len(events) > 0 {
			time.Sleep(storeAnswerDelay)
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kv) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.SetKeys)+len(t.DeleteKeys) > 32 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	for _, p := range t.SetKeys {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
	}
	s.mu.Lock()
	s.writes++
	hold := time.Duration(0)
	if s.holdBack != nil {
		hold = s.holdBack(t)
	}
	s.mu.Unlock()
	if hold > 0 {
		time.AfterFunc(hold, func() { s.apply(t) })
		<-r.Context().Done() // a channel on which an answer is lost returns nothing further
		return
	}
	time.Sleep(storeAnswerDelay)
	o := s.apply(t)
	answer(w, o.status, o.body)
}

// outcome is the answer to a transaction.
type outcome struct {
	status int
	body   any
}

// apply does a transaction if its conditions hold.
func (s *kv) apply(t transaction) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []item{}
	for _, c := range t.Precondition {
		i, known := s.items[c.Key]
		failed = failed || i.Rev != c.Rev
		if known {
			current = append(current, i)
		}
	}
	if failed {
		return outcome{http.StatusPreconditionFailed, map[string]any{"items": current}}
	}
	for _, p := range t.SetKeys {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return outcome{http.StatusNotFound, nil}
		}
	}
	s.rev++
	for _, p := range t.SetKeys {
		s.change(p.Key, p.Value, p.Lease, false)
	}
	for _, key := range t.DeleteKeys {
		if _, known := s.items[key]; known {
			s.change(key, nil, 0, true)
		}
	}
	s.wake()
	return outcome{http.StatusOK, map[string]int64{"rev": s.rev}}
}

func (s *kv) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(body.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { s.endLease(id) })}
	s.mu.Unlock()
	time.Sleep(storeAnswerDelay)
	answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": body.TTL})
}

func (s *kv) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	time.Sleep(storeAnswerDelay)
	if l == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	answer(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *kv) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.endLease(id)
	time.Sleep(storeAnswerDelay)
	answer(w, http.StatusOK, nil)
}

// endLease removes a lease and its keys.
func (s *kv) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.change(key, nil, 0, true)
		}
	}
	s.wake()
}
