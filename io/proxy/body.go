package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	replayBytes  = 64 << 10
	maxBodyBytes = 64 << 20
)

// body holds a caller's request body so that it can be sent again when it is small.
type body struct {
	buffered []byte
	rest     io.ReadCloser // nil when the whole body is buffered
	length   int64
	started  atomic.Bool
	trailer  http.Header
}

// readBody buffers up to replayBytes of the request's body.
func readBody(w http.ResponseWriter, r *http.Request) (*body, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, &http.MaxBytesError{Limit: maxBodyBytes}
	}
	limited := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	b := &body{length: r.ContentLength, trailer: r.Trailer}
	if r.ContentLength == 0 {
		return b, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(limited, replayBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	b.buffered = buffered
	if len(buffered) == replayBytes {
		b.rest = limited
	}
	return b, nil
}

// replayable reports whether the body can be sent once more.
func (b *body) replayable() bool {
	return b.rest == nil || !b.started.Load()
}

// attach gives request a body that net/http cannot rewind, so that it never repeats a request by itself.
func (b *body) attach(request *http.Request) {
	request.GetBody = nil
	request.ContentLength = b.length
	request.Trailer = b.trailer
	if b.length == 0 {
		request.Body = http.NoBody
		hideKey(request)
		return
	}
	reader := io.Reader(bytes.NewReader(b.buffered))
	if b.rest != nil {
		reader = io.MultiReader(reader, &startReader{body: b})
	}
	request.Body = io.NopCloser(reader)
}

// hideKey spells the request id's header so that net/http does not take it as leave to repeat the request.
func hideKey(request *http.Request) {
	if values, found := request.Header[HeaderID]; found {
		delete(request.Header, HeaderID)
		request.Header["idempotency-key"] = values
	}
	if values, found := request.Header["X-Idempotency-Key"]; found {
		delete(request.Header, "X-Idempotency-Key")
		request.Header["x-idempotency-key"] = values
	}
}

// startReader notes that the part of the body that is not buffered was read.
type startReader struct {
	body *body
}

// Read reads from the caller.
func (s *startReader) Read(p []byte) (int, error) {
	s.body.started.Store(true)
	return s.body.rest.Read(p)
}
