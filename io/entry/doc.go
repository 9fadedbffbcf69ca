// Package entry assembles the one long-running role: it serves callers, keeps
// links to its peers and takes its share of control.
//
// One goroutine owns all control state. It receives typed messages and publishes
// immutable tables to the goroutines that carry traffic.
package entry
