// Package admit decides which waiting request of a service is served next and
// which is refused at once because it can no longer finish in time.
package admit
