// Package flow dispatches the requests of one service from one entry to the service's targets.
//
// It combines the policies for admission, routing, sharing, ejection and retry.
// It reads no clock and is not safe for concurrent use: callers pass the current time and serialize calls.
package flow
