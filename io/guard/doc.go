// Package guard bounds the memory, the connections and the requests that the callers of a server take.
//
// A request inside the limits of the configuration is small, but many of them that stay unfinished are not: header lines take several times
// their size once parsed, a body is held until its last byte has come, and an answer that nobody reads holds its connection. A [Guard] charges
// header lines and bodies to one budget, counts connections and the requests that handlers work on, and bounds the system's buffers. When one of
// these is spent, it closes the connection whose caller has kept it waiting for the longest time, and refuses what still does not fit. A single
// request never meets these limits.
//
// Sizes are in bytes. The limits of a process follow from its memory and its descriptors.
package guard
