// Package flow admits the requests of one service at one entry to its targets.
//
// It combines the policies for admission, routing, sharing, ejection and retry.
// It has no clock and no lock: the caller passes the present time and serialises calls.
package flow
