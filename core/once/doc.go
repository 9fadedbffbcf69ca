// Package once keeps the memory by which a request that is not idempotent runs
// at most once under its request id.
package once
