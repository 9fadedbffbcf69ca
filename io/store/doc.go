// Package store is the client of the platform's key-value service.
//
// A backend plug-in makes single calls. Client adds timeouts, a call budget and retries, and determines whether a write
// took effect when its response was lost.
package store
