package stand

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"daisysaddle/io/store"
)

// Handler returns a handler that serves p over the platform's HTTP interface. Further paths set the list of instances and the
// faults, and return the call counts.
func (p *Platform) Handler() http.Handler {
	p.init()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/key/{key}", p.serveGet)
	mux.HandleFunc("PUT /v1/key/{key}", p.serveSwap)
	mux.HandleFunc("POST /v1/lease", p.serveGrant)
	mux.HandleFunc("POST /v1/lease/{lease}", p.serveRenew)
	mux.HandleFunc("DELETE /v1/lease/{lease}", p.serveRevoke)
	mux.HandleFunc("GET /v1/watch", p.serveWatch)
	mux.HandleFunc("GET /v1/range", p.serveRange)
	mux.HandleFunc("POST /v1/change", p.serveChange)
	mux.HandleFunc("GET /v1/instances", p.serveList)
	mux.HandleFunc("PUT /v1/instances", p.serveSetInstances)
	mux.HandleFunc("PUT /v1/faults", p.serveFaults)
	mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, p.Calls(), nil) })
	return mux
}

func writeAnswer(w http.ResponseWriter, value any, err error) {
	status := http.StatusOK
	switch {
	case errors.Is(err, store.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, store.ErrRateLimited):
		status = http.StatusTooManyRequests
	case errors.Is(err, store.ErrNoLease):
		status = http.StatusGone
	case errors.Is(err, store.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case err != nil:
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err == nil && value != nil {
		_ = json.NewEncoder(w).Encode(value) // a caller treats a truncated answer as lost
	}
}

const maxCallBytes = 4 << 20

func decode(r *http.Request, value any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxCallBytes)).Decode(value)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	record, err := p.Get(r.Context(), r.PathValue("key"))
	etag := store.ETag(record.Revision)
	w.Header().Set("ETag", etag)
	if err == nil && record.Revision > 0 && r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeAnswer(w, record, err)
}

func (p *Platform) serveSwap(w http.ResponseWriter, r *http.Request) {
	var swap store.SwapRequest
	if err := decode(r, &swap); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	if swap.Delete {
		writeAnswer(w, nil, p.Delete(r.Context(), key, swap.Expect))
		return
	}
	record, err := p.Swap(r.Context(), store.Record{Key: key, Value: swap.Value, Lease: swap.Lease}, swap.Expect)
	record.Value = nil
	writeAnswer(w, record, err)
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request) {
	duration, err := time.ParseDuration(r.URL.Query().Get("duration"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := p.Grant(r.Context(), duration)
	writeAnswer(w, store.LeaseAnswer{Lease: id}, err)
}

func (p *Platform) serveRenew(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, nil, p.Renew(r.Context(), r.PathValue("lease")))
}

func (p *Platform) serveRevoke(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, nil, p.Revoke(r.Context(), r.PathValue("lease")))
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prefix := r.URL.Query().Get("prefix")
	if prefix == "" {
		batch, err := p.Watch(r.Context(), after, wait)
		writeAnswer(w, batch, err)
		return
	}
	batch, err := p.WatchPrefix(r.Context(), prefix, after, wait)
	writeAnswer(w, batch, err)
}

func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request) {
	batch, err := p.Range(r.Context(), r.URL.Query().Get("prefix"))
	writeAnswer(w, batch, err)
}

func (p *Platform) serveChange(w http.ResponseWriter, r *http.Request) {
	var c store.Change
	if err := decode(r, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, current, err := p.Commit(r.Context(), c)
	if errors.Is(err, store.ErrConflict) {
		writeAnswer(w, store.ChangeAnswer{Conflict: true, Current: current}, nil)
		return
	}
	writeAnswer(w, store.ChangeAnswer{Revision: revision}, err)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	listing, err := p.List(r.Context())
	if err != nil {
		writeAnswer(w, nil, err)
		return
	}
	encoded, _ := json.Marshal(listing.Instances) // values of these types always encode
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(encoded), 16))
	w.Header().Set("ETag", etag)
	w.Header().Set(store.HeaderListAt, listing.At.Format(time.RFC3339Nano))
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeAnswer(w, listing, nil)
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var instances []store.ListedInstance
	if err := decode(r, &instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(time.Now(), instances)
	writeAnswer(w, nil, nil)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := decode(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeAnswer(w, nil, nil)
}
