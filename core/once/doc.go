// Package once deduplicates requests that are not idempotent: it remembers request ids, so that a request runs at most
// once under its id.
package once
