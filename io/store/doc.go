// Package store is the client of the platform's key-value service.
//
// A backend plug-in carries single calls; Client adds deadlines, a call budget,
// retries and the settlement of writes whose answer was lost.
package store
