// Package store is the client of the platform's key-value service.
//
// A backend plug-in makes single calls. Client adds timeouts, a limit on the rate of calls (the call budget) and retries, and
// determines whether a write was applied when its response was lost.
package store
