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

// item is one key of the metadata store, in its wire format.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// transaction is the body of a conditional write.
type transaction struct {
	Precondition []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"precondition"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"set_keys"`
	DeleteKeys []string `json:"delete_keys"`
}

// sets reports whether the transaction sets a key with the prefix.
func (t transaction) sets(prefix string) bool {
	for _, k := range t.SetKeys {
		if strings.HasPrefix(k.Key, prefix) {
			return true
		}
	}
	return false
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// metadataStore is a stand-in for the platform's metadata store.
type metadataStore struct {
	// lateBy returns the delay after which a write is executed whose response is lost, and false for a write that is answered.
	lateBy func(t transaction) (time.Duration, bool)
	log    func(format string, args ...any)

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]lease
	changed  chan struct{}
	writes   int  // conditional writes that arrived
	down     bool // no call is answered
}

// setDown makes the store leave all calls unanswered, or ends that.
func (s *metadataStore) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.log("store: down %t", down)
}

// isDown reports whether the store leaves all calls unanswered.
func (s *metadataStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func newMetadataStore(log func(string, ...any)) *metadataStore {
	return &metadataStore{log: log, revision: 1, items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{})}
}

func (s *metadataStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key of the operator or of a runner.
func (s *metadataStore) set(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, encoded, 0)
	s.notify()
}

func (s *metadataStore) put(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Rev: s.revision, CreateRev: s.revision, Lease: lease}
	if old, exists := s.items[key]; exists {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

// remove deletes a key, if it exists.
func (s *metadataStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.notify()
}

func (s *metadataStore) drop(key string) {
	if _, exists := s.items[key]; exists {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Rev: s.revision, Deleted: true})
	}
}

// value returns the value of a key.
func (s *metadataStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *metadataStore) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *metadataStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.drop(key)
			s.notify()
		}
	}
}

// commit executes a transaction; the items are those of its preconditions if one does not hold.
func (s *metadataStore) commit(t transaction) (int, uint64, []item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	holds := true
	var current []item
	for _, p := range t.Precondition {
		i, exists := s.items[p.Key]
		if exists {
			current = append(current, i)
		}
		holds = holds && i.Rev == p.Rev
	}
	if !holds {
		return http.StatusPreconditionFailed, 0, current
	}
	for _, k := range t.SetKeys {
		if _, exists := s.leases[k.Lease]; k.Lease != 0 && !exists {
			return http.StatusNotFound, 0, nil
		}
	}
	s.revision++
	for _, k := range t.SetKeys {
		s.put(k.Key, k.Value, k.Lease)
	}
	for _, k := range t.DeleteKeys {
		s.drop(k)
	}
	s.notify()
	return http.StatusOK, s.revision, nil
}

func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	switch path := strings.TrimPrefix(r.URL.Path, "/daisysaddle/"); {
	case path == "kv-key":
		s.serveKey(w, query.Get("key"))
	case path == "kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case path == "kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "kv-txn":
		s.serveTransaction(w, r)
	case path == "kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ttl := max(time.Second, time.Duration(body.TTL)*time.Millisecond)
		s.mu.Lock()
		s.revision++
		id := s.revision
		s.leases[id] = lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		l, exists := s.leases[id]
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
		reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failed write ends the connection
}

func (s *metadataStore) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.expireLeases()
	i, exists := s.items[key]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *metadataStore) serveRange(w http.ResponseWriter, prefix, after string) {
	const pageItems = 500
	s.mu.Lock()
	s.expireLeases()
	page := make([]item, 0)
	truncated := false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if truncated = len(page) == pageItems; truncated {
			break
		}
		page = append(page, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": page, "truncated": truncated, "store_revision": revision})
}

func (s *metadataStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.expireLeases()
		events := make([]item, 0)
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		poll := time.NewTimer(50 * time.Millisecond) // leases end without an event
		select {
		case <-changed:
		case <-poll.C:
		case <-r.Context().Done():
			poll.Stop()
			return
		case <-deadline.C:
			poll.Stop()
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		poll.Stop()
	}
}

func (s *metadataStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writes++
	lateBy := s.lateBy
	s.mu.Unlock()
	if lateBy != nil {
		if delay, lost := lateBy(t); lost {
			time.AfterFunc(delay, func() {
				status, _, _ := s.commit(t)
				s.log("store: the write whose response was lost is executed %s late: status %d", delay, status)
			})
			<-r.Context().Done() // nothing more comes on this connection
			panic(http.ErrAbortHandler)
		}
	}
	status, revision, current := s.commit(t)
	switch status {
	case http.StatusOK:
		reply(w, status, map[string]any{"rev": revision})
	case http.StatusPreconditionFailed:
		reply(w, status, map[string]any{"items": current})
	default:
		w.WriteHeader(status)
	}
}

// setLateBy sets which writes lose their responses.
func (s *metadataStore) setLateBy(f func(transaction) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateBy = f
}

// countWrites returns the number of conditional writes that have arrived.
func (s *metadataStore) countWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}
