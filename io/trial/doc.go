// Package trial runs a whole deployment on loopback in one process: the platform
// stand-in, entries, targets and callers, with faults, and checks its history.
package trial
