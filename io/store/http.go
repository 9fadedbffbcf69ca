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

// HTTP is the backend that speaks JSON over HTTP.
type HTTP struct {
	base   string
	client *http.Client

	mu      sync.Mutex
	records map[string]Record // the last value read of each key, with its revision as validator
	listing Listing           // the last list, with its validator
	etag    string
}

// SwapRequest is the body of a compare-and-swap call.
type SwapRequest struct {
	Value  []byte
	Expect uint64
	Lease  string
	Delete bool
}

// LeaseAnswer is the body of the answer to a lease call.
type LeaseAnswer struct {
	Lease string
}

const (
	maxIdlePlatformConns  = 8
	platformIdleTimeout   = 30 * time.Second
	maxPlatformAnswerSize = 64 << 20
)

// NewHTTP returns a backend for the platform at address.
func NewHTTP(address netip.AddrPort) *HTTP {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePlatformConns, IdleConnTimeout: platformIdleTimeout}
	return &HTTP{base: "http://" + address.String() + "/v1", client: &http.Client{Transport: transport}}
}

// Get reads one key, or only its revision when it has not changed since it was last read.
func (h *HTTP) Get(ctx context.Context, key string) (Record, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/key/"+url.PathEscape(key), nil)
	if err != nil {
		return Record{}, errors.Wrap(err, "make platform call")
	}
	known := h.known(key)
	if known.Revision > 0 {
		request.Header.Set("If-None-Match", ETag(known.Revision))
	}
	response, err := h.client.Do(request)
	if err != nil {
		return Record{}, errors.Mark(errors.Wrapf(err, "get %s", key), ErrUnavailable)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return known, nil
	}
	if err := statusError(response.StatusCode); err != nil {
		return Record{}, errors.Wrapf(err, "get %s: status %d", key, response.StatusCode)
	}
	record := Record{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPlatformAnswerSize)).Decode(&record); err != nil {
		return Record{}, errors.Mark(errors.Wrapf(err, "get %s: decode answer", key), ErrUnavailable)
	}
	record.Key = key
	h.remember(record)
	return record, nil
}

// ETag returns the validator of a record's revision.
func ETag(revision uint64) string {
	return strconv.Quote(strconv.FormatUint(revision, 10))
}

func (h *HTTP) known(key string) Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records[key]
}

func (h *HTTP) remember(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.records == nil {
		h.records = make(map[string]Record)
	}
	h.records[r.Key] = r
}

// Swap writes a key if its revision is still expect.
func (h *HTTP) Swap(ctx context.Context, next Record, expect uint64) (Record, error) {
	var r Record
	body := SwapRequest{Value: next.Value, Expect: expect, Lease: next.Lease}
	err := h.call(ctx, http.MethodPut, "/key/"+url.PathEscape(next.Key), body, &r)
	return r, err
}

// Delete removes a key if its revision is still expect.
func (h *HTTP) Delete(ctx context.Context, key string, expect uint64) error {
	return h.call(ctx, http.MethodPut, "/key/"+url.PathEscape(key), SwapRequest{Expect: expect, Delete: true}, nil)
}

// Grant makes a lease.
func (h *HTTP) Grant(ctx context.Context, duration time.Duration) (string, error) {
	var a LeaseAnswer
	err := h.call(ctx, http.MethodPost, "/lease?duration="+duration.String(), nil, &a)
	return a.Lease, err
}

// Renew extends a lease by its duration.
func (h *HTTP) Renew(ctx context.Context, lease string) error {
	return h.call(ctx, http.MethodPost, "/lease/"+lease, nil, nil)
}

// Revoke ends a lease and deletes its keys.
func (h *HTTP) Revoke(ctx context.Context, lease string) error {
	return h.call(ctx, http.MethodDelete, "/lease/"+lease, nil, nil)
}

// Watch waits until a key changes after the given revision.
func (h *HTTP) Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
	var b Batch
	err := h.call(ctx, http.MethodGet, fmt.Sprintf("/watch?after=%d&wait=%s", after, wait), nil, &b)
	return b, err
}

// ChangeAnswer is the body of the answer to a change; Current holds the conditions' keys when it was refused.
type ChangeAnswer struct {
	Revision uint64
	Conflict bool
	Current  []Record
}

// WatchPrefix waits until a key that begins with prefix changes after the given revision.
func (h *HTTP) WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (Batch, error) {
	var b Batch
	err := h.call(ctx, http.MethodGet, fmt.Sprintf("/watch?after=%d&wait=%s&prefix=%s", after, wait, url.QueryEscape(prefix)), nil, &b)
	return b, err
}

// Range reads all keys that begin with prefix.
func (h *HTTP) Range(ctx context.Context, prefix string) (Batch, error) {
	var b Batch
	err := h.call(ctx, http.MethodGet, "/range?prefix="+url.QueryEscape(prefix), nil, &b)
	return b, err
}

// Commit applies a change if all its conditions hold, and returns the records that stand against it if not.
func (h *HTTP) Commit(ctx context.Context, c Change) (uint64, []Record, error) {
	var a ChangeAnswer
	if err := h.call(ctx, http.MethodPost, "/change", c, &a); err != nil {
		return 0, nil, err
	}
	if a.Conflict {
		return 0, a.Current, ErrConflict
	}
	return a.Revision, nil, nil
}

// HeaderListAt carries the time at which an unchanged list was still true.
const HeaderListAt = "Daisysaddle-List-At"

// List reads the list of instances, or only its validator when it has not changed.
func (h *HTTP) List(ctx context.Context) (Listing, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/instances", nil)
	if err != nil {
		return Listing{}, errors.Wrap(err, "make platform call")
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
		return h.listing, errors.Wrap(err, "read the time of the list")
	}
	if err := statusError(response.StatusCode); err != nil {
		return Listing{}, errors.Wrapf(err, "list instances: status %d", response.StatusCode)
	}
	var listing Listing
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPlatformAnswerSize)).Decode(&listing); err != nil {
		return Listing{}, errors.Mark(errors.Wrap(err, "decode the list of instances"), ErrUnavailable)
	}
	h.listing, h.etag = listing, response.Header.Get("ETag")
	return listing, nil
}

func (h *HTTP) call(ctx context.Context, method, path string, body, answer any) error {
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode platform call")
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, payload)
	if err != nil {
		return errors.Wrap(err, "make platform call")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrUnavailable)
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		return errors.Wrapf(err, "%s %s: status %d", method, path, response.StatusCode)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPlatformAnswerSize)).Decode(answer); err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s: decode answer", method, path), ErrUnavailable)
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
