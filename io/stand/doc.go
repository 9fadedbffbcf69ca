// Package stand provides small stand-ins for the platform, targets and callers,
// for demonstrations and tests.
package stand
