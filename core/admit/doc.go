// Package admit orders the queued requests of a service and estimates their waits, so that a
// request that cannot finish before its deadline is refused when it arrives.
package admit
