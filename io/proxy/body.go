package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	maxBufferedBodyBytes = 64 << 10
	maxBodyBytes         = 64 << 20
)

// requestBody holds a caller's request body and buffers its beginning, so that a small body can be sent again.
type requestBody struct {
	buffered []byte
	rest     io.ReadCloser // rest of the body after buffered, or nil if the whole body is buffered
	length   int64
	restRead atomic.Bool
	trailer  http.Header
}

// readBody buffers up to maxBufferedBodyBytes of the request body. It returns an *http.MaxBytesError for a body larger than
// maxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) (*requestBody, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, &http.MaxBytesError{Limit: maxBodyBytes}
	}
	limited := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	b := &requestBody{length: r.ContentLength, trailer: r.Trailer}
	if r.ContentLength == 0 {
		return b, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(limited, maxBufferedBodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	b.buffered = buffered
	if len(buffered) == maxBufferedBodyBytes {
		b.rest = limited
	}
	return b, nil
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool {
	return b.rest == nil || !b.restRead.Load()
}

// attach sets the body of request. It leaves GetBody nil and hides the id headers of a request without a body, so that
// net/http never retries a request by itself.
func (b *requestBody) attach(request *http.Request) {
	request.GetBody = nil
	request.ContentLength = b.length
	request.Trailer = b.trailer
	if b.length == 0 {
		request.Body = http.NoBody
		lowercaseIDHeaders(request)
		return
	}
	reader := io.Reader(bytes.NewReader(b.buffered))
	if b.rest != nil {
		reader = io.MultiReader(reader, &restReader{body: b})
	}
	request.Body = io.NopCloser(reader)
}

// lowercaseIDHeaders writes the names of the id headers in lower case. net/http takes a request with an Idempotency-Key or
// X-Idempotency-Key header for idempotent and may retry it, but looks for the canonical names only.
func lowercaseIDHeaders(request *http.Request) {
	if values, found := request.Header[HeaderID]; found {
		delete(request.Header, HeaderID)
		request.Header["idempotency-key"] = values
	}
	if values, found := request.Header["X-Idempotency-Key"]; found {
		delete(request.Header, "X-Idempotency-Key")
		request.Header["x-idempotency-key"] = values
	}
}

// restReader reads the rest of a body and records that it has been read from.
type restReader struct {
	body *requestBody
}

// Read reads the next bytes of the rest of the body from the caller.
func (r *restReader) Read(p []byte) (int, error) {
	r.body.restRead.Store(true)
	return r.body.rest.Read(p)
}
