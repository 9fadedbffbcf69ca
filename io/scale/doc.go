// Package scale measures how the cost of each role grows with the size of the
// deployment and extrapolates to the size designed for.
package scale
