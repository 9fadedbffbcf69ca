package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// HTTP is a Backend that calls a key-value service by JSON over HTTP.
type HTTP struct {
	baseURL string
	client  *http.Client

	mu      sync.Mutex
	cache   map[string]Record // latest record read of each key; its revision is the ETag
	listing Listing           // latest list read
	etag    string            // entity tag of listing
}

// SwapRequest is the body of a compare-and-swap or compare-and-delete call.
type SwapRequest struct {
	Value  []byte
	Expect uint64
	Lease  string
	Delete bool
}

// LeaseAnswer is the body of the response to the creation of a lease.
type LeaseAnswer struct {
	Lease string
}

const (
	maxIdlePlatformConns = 8
	platformIdleTimeout  = 30 * time.Second
	maxResponseBytes     = 64 << 20
)

// NewHTTP returns a backend for the platform at address.
func NewHTTP(address netip.AddrPort) *HTTP {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePlatformConns, IdleConnTimeout: platformIdleTimeout}
	return &HTTP{baseURL: "http://" + address.String() + "/v1", client: &http.Client{Transport: transport}}
}

// Get reads a key with a conditional request: an unchanged value is not transferred again.
func (h *HTTP) Get(ctx context.Context, key string) (Record, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.baseURL+"/key/"+url.PathEscape(key), nil)
	if err != nil {
		return Record{}, errors.Wrap(err, "create platform request")
	}
	cached := h.cached(key)
	if cached.Revision > 0 {
		request.Header.Set("If-None-Match", ETag(cached.Revision))
	}
	response, err := h.client.Do(request)
	if err != nil {
		return Record{}, errors.Mark(errors.Wrapf(err, "get %s", key), ErrUnavailable)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return cached, nil
	}
	if err := statusError(response.StatusCode); err != nil {
		return Record{}, errors.Wrapf(err, "get %s: status %d", key, response.StatusCode)
	}
	record := Record{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&record); err != nil {
		return Record{}, errors.Mark(errors.Wrapf(err, "get %s: decode response", key), ErrUnavailable)
	}
	record.Key = key
	h.addToCache(record)
	return record, nil
}

// ETag returns the entity tag of a record at a revision.
func ETag(revision uint64) string {
	return strconv.Quote(strconv.FormatUint(revision, 10))
}

func (h *HTTP) cached(key string) Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cache[key]
}

func (h *HTTP) addToCache(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cache == nil {
		h.cache = make(map[string]Record)
	}
	h.cache[r.Key] = r
}

// Swap writes a key if its revision is still expect, else fails with ErrConflict.
func (h *HTTP) Swap(ctx context.Context, next Record, expect uint64) (Record, error) {
	var r Record
	body := SwapRequest{Value: next.Value, Expect: expect, Lease: next.Lease}
	err := h.call(ctx, http.MethodPut, "/key/"+url.PathEscape(next.Key), body, &r)
	return r, err
}

// Delete deletes a key if its revision is still expect, else fails with ErrConflict.
func (h *HTTP) Delete(ctx context.Context, key string, expect uint64) error {
	return h.call(ctx, http.MethodPut, "/key/"+url.PathEscape(key), SwapRequest{Expect: expect, Delete: true}, nil)
}

// Grant creates a lease and returns its id.
func (h *HTTP) Grant(ctx context.Context, duration time.Duration) (string, error) {
	var response LeaseAnswer
	err := h.call(ctx, http.MethodPost, "/lease?duration="+duration.String(), nil, &response)
	return response.Lease, err
}

// Renew extends a lease by its duration, and fails with ErrNoLease if it has expired.
func (h *HTTP) Renew(ctx context.Context, lease string) error {
	return h.call(ctx, http.MethodPost, "/lease/"+lease, nil, nil)
}

// Revoke ends a lease and deletes its keys.
func (h *HTTP) Revoke(ctx context.Context, lease string) error {
	return h.call(ctx, http.MethodDelete, "/lease/"+lease, nil, nil)
}

// Watch waits up to the given time for a key to change after a revision.
func (h *HTTP) Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
	var batch Batch
	err := h.call(ctx, http.MethodGet, fmt.Sprintf("/watch?after=%d&wait=%s", after, wait), nil, &batch)
	return batch, err
}

// ChangeAnswer is the body of the response to a change; Current holds the records of the conditions' keys after a conflict.
type ChangeAnswer struct {
	Revision uint64
	Conflict bool
	Current  []Record
}

// WatchPrefix waits up to the given time for a key that begins with prefix to change after a revision.
func (h *HTTP) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (Batch, error) {
	var batch Batch
	err := h.call(ctx, http.MethodGet, fmt.Sprintf("/watch?after=%d&wait=%s&prefix=%s", after, wait, url.QueryEscape(prefix)), nil, &batch)
	return batch, err
}

// Range reads all keys that begin with prefix.
func (h *HTTP) Range(ctx context.Context, prefix string) (Batch, error) {
	var batch Batch
	err := h.call(ctx, http.MethodGet, "/range?prefix="+url.QueryEscape(prefix), nil, &batch)
	return batch, err
}

// Commit applies a change if all its conditions hold and returns its revision, else ErrConflict and the conditions' records.
func (h *HTTP) Commit(ctx context.Context, c Change) (uint64, []Record, error) {
	var response ChangeAnswer
	if err := h.call(ctx, http.MethodPost, "/change", c, &response); err != nil {
		return 0, nil, err
	}
	if response.Conflict {
		return 0, response.Current, ErrConflict
	}
	return response.Revision, nil, nil
}

// HeaderListAt is the header with the time at which an unchanged list was last known to be current.
const HeaderListAt = "Daisysaddle-List-At"

// List reads the list of instances with a conditional request: an unchanged list is not transferred again.
func (h *HTTP) List(ctx context.Context) (Listing, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.baseURL+"/instances", nil)
	if err != nil {
		return Listing{}, errors.Wrap(err, "create platform request")
	}
	if h.etag != "" {
		request.Header.Set("If-None-Match", h.etag)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return Listing{}, errors.Mark(errors.Wrap(err, "list instances"), ErrUnavailable)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		at, err := time.Parse(time.RFC3339Nano, response.Header.Get(HeaderListAt))
		h.listing.At = at
		return h.listing, errors.Wrap(err, "parse the time of the list")
	}
	if err := statusError(response.StatusCode); err != nil {
		return Listing{}, errors.Wrapf(err, "list instances: status %d", response.StatusCode)
	}
	var listing Listing
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&listing); err != nil {
		return Listing{}, errors.Mark(errors.Wrap(err, "decode the list of instances"), ErrUnavailable)
	}
	h.listing, h.etag = listing, response.Header.Get("ETag")
	return listing, nil
}

func (h *HTTP) call(ctx context.Context, method, path string, body, out any) error {
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode platform request")
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, h.baseURL+path, payload)
	if err != nil {
		return errors.Wrap(err, "create platform request")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrUnavailable)
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		return errors.Wrapf(err, "%s %s: status %d", method, path, response.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(out); err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s: decode response", method, path), ErrUnavailable)
	}
	return nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusGone:
		return ErrNoLease
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return ErrUnavailable
	}
}
