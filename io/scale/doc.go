// Package scale measures how the costs of a deployment grow with its size
// and extrapolates them to the design size.
package scale
