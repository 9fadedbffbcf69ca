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

// Handler serves the platform stand-in over HTTP.
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
	mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) { answer(w, p.Calls(), nil) })
	return mux
}

func answer(w http.ResponseWriter, value any, err error) {
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
		_ = json.NewEncoder(w).Encode(value) // the caller sees a short answer as lost
	}
}

const maxCallBytes = 4 << 20

func decode(r *http.Request, into any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxCallBytes)).Decode(into)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	record, err := p.Get(r.Context(), r.PathValue("key"))
	etag := store.ETag(record.Revision)
	w.Header().Set("ETag", etag)
	if err == nil && record.Revision > 0 && r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	answer(w, record, err)
}

func (p *Platform) serveSwap(w http.ResponseWriter, r *http.Request) {
	var call store.SwapRequest
	if err := decode(r, &call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	if call.Delete {
		answer(w, nil, p.Delete(r.Context(), key, call.Expect))
		return
	}
	record, err := p.Swap(r.Context(), store.Record{Key: key, Value: call.Value, Lease: call.Lease}, call.Expect)
	record.Value = nil
	answer(w, record, err)
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request) {
	duration, err := time.ParseDuration(r.URL.Query().Get("duration"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := p.Grant(r.Context(), duration)
	answer(w, store.LeaseAnswer{Lease: id}, err)
}

func (p *Platform) serveRenew(w http.ResponseWriter, r *http.Request) {
	answer(w, nil, p.Renew(r.Context(), r.PathValue("lease")))
}

func (p *Platform) serveRevoke(w http.ResponseWriter, r *http.Request) {
	answer(w, nil, p.Revoke(r.Context(), r.PathValue("lease")))
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	hold, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prefix := r.URL.Query().Get("prefix")
	if prefix == "" {
		batch, err := p.Watch(r.Context(), after, hold)
		answer(w, batch, err)
		return
	}
	batch, err := p.WatchPrefix(r.Context(), prefix, after, hold)
	answer(w, batch, err)
}

func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request) {
	batch, err := p.Range(r.Context(), r.URL.Query().Get("prefix"))
	answer(w, batch, err)
}

func (p *Platform) serveChange(w http.ResponseWriter, r *http.Request) {
	var c store.Change
	if err := decode(r, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, current, err := p.Commit(r.Context(), c)
	if errors.Is(err, store.ErrConflict) {
		answer(w, store.ChangeAnswer{Conflict: true, Current: current}, nil)
		return
	}
	answer(w, store.ChangeAnswer{Revision: revision}, err)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	listing, err := p.List(r.Context())
	if err != nil {
		answer(w, nil, err)
		return
	}
	encoded, _ := json.Marshal(listing.Instances) // plain values always encode
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(encoded), 16))
	w.Header().Set("ETag", etag)
	w.Header().Set(store.HeaderListAt, listing.At.Format(time.RFC3339Nano))
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	answer(w, listing, nil)
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var instances []store.Listed
	if err := decode(r, &instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(time.Now(), instances)
	answer(w, nil, nil)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := decode(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	answer(w, nil, nil)
}
