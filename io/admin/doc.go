// Package admin is the operators' client: it publishes configuration and reads
// status and time lines from entries.
package admin
