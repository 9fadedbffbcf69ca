// Package admin is the operators' client: it publishes configuration to the
// platform's store and reads status, events and zone records from entries.
package admin
