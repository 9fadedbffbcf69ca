// Package crowd opens many connections whose clients misbehave, and measures what a process takes meanwhile.
//
// Sizes are in bytes. It reads /proc and serves tests and experiments on Linux only.
package crowd
