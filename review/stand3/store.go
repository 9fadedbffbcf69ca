package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store in the platform's JSON format.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	duration time.Duration
	ends     time.Time
}

// store is a stand-in for the platform's store. It keeps its keys in memory, and its leases run on the steady clock.
type store struct {
	mu        sync.Mutex
	revision  uint64
	lastLease uint64
	items     map[string]item
	leases    map[uint64]*lease
	events    []item
	changed   chan struct{}
	unlimited bool // takes values of any size
	tooLarge  int  // changes that were refused for the size of a value
	lostKey   string
	lost      int // writes of lostKey that were left unanswered and carried out late
	writes    int // changes since lostKey was set
}

// Limits of the platform's store.
const (
	pageItems       = 500
	pageBytes       = 1 << 20
	maxValueBytes   = 1 << 20
	maxTransaction  = 32
	leaseCheckPause = 20 * time.Millisecond
)

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{})}
}

// put writes a key for the operator or a worker.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are constants of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, encoded, 0)
	s.notify()
}

// set writes a key at the current revision. The caller holds mu.
func (s *store) set(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Rev: s.revision, CreateRev: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

// remove deletes a key at the current revision. The caller holds mu.
func (s *store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Rev: s.revision, Deleted: true})
}

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases whose time is over, until the program ends.
func (s *store) expireLeases() {
	for {
		time.Sleep(leaseCheckPause)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/daisysaddle/")
	id, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
	switch {
	case path == "kv-key":
		s.mu.Lock()
		i, found := s.items[query.Get("key")]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, i)
	case path == "kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case path == "kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "kv-txn":
		s.serveChange(w, r)
	case path == "kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.serveRenewal(w, id)
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page, size, truncated := []item{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if truncated = size > pageBytes || len(page) == pageItems; truncated {
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	answer(w, map[string]any{"items": page, "truncated": truncated, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for i := len(s.events) - 1; i >= 0 && s.events[i].Rev > after; i-- {
			if strings.HasPrefix(s.events[i].Key, prefix) {
				events = append(events, s.events[i])
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			slices.Reverse(events)
			answer(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a change.
type transaction struct {
	Precondition []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"precondition"`
	SetKeys    []change `json:"set_keys"`
	DeleteKeys []string `json:"delete_keys"`
}

// change is a key that a transaction writes.
type change struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}

// tooLarge reports whether the change has a value over the store's limit.
func (t transaction) tooLarge() bool {
	return slices.ContainsFunc(t.SetKeys, func(k change) bool { return len(k.Value) > maxValueBytes })
}

func (s *store) serveChange(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.SetKeys)+len(t.DeleteKeys) > maxTransaction {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unlimited && t.tooLarge() {
		s.tooLarge++
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.writes++
	if s.lostKey != "" && t.sets(s.lostKey) {
		s.lost++
		time.AfterFunc(lateWrite, func() { s.applyLate(t) })
		s.mu.Unlock()
		<-r.Context().Done() // nothing further comes on this channel
		s.mu.Lock()
		return
	}
	status, body := s.apply(t)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	answer(w, body)
}

// sets reports whether the change writes a key.
func (t transaction) sets(key string) bool {
	return slices.ContainsFunc(t.SetKeys, func(k change) bool { return k.Key == key })
}

// loseWritesOf leaves the writes of a key unanswered from now on, and carries them out late.
func (s *store) loseWritesOf(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostKey = key
	s.lost, s.writes = 0, 0
}

// answerAll ends that.
func (s *store) answerAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostKey = ""
}

// writeCounts returns the number of writes that were left unanswered, and that of all writes meanwhile.
func (s *store) writeCounts() (lost, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost, s.writes
}

// applyLate carries a change out whose caller has gone.
func (s *store) applyLate(t transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(t)
}

// apply applies a change if its conditions hold, and returns the status and the body of the answer. The caller holds mu.
func (s *store) apply(t transaction) (int, any) {
	holds, current := true, []item{}
	for _, p := range t.Precondition {
		i, found := s.items[p.Key]
		if found {
			current = append(current, i)
		}
		holds = holds && i.Rev == p.Rev
	}
	for _, k := range t.SetKeys {
		if k.Lease != 0 && s.leases[k.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	s.revision++
	for _, k := range t.SetKeys {
		s.set(k.Key, k.Value, k.Lease)
	}
	for _, k := range t.DeleteKeys {
		s.remove(k)
	}
	s.notify()
	return http.StatusOK, map[string]uint64{"rev": s.revision}
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	duration := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.lastLease] = &lease{duration, time.Now().Add(duration)}
	answer(w, map[string]any{"lease": s.lastLease, "ttl_ms": body.TTL})
}

func (s *store) serveRenewal(w http.ResponseWriter, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.duration)
	answer(w, map[string]int64{"ttl_ms": l.duration.Milliseconds()})
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // whoever asked discards an incomplete answer
}
