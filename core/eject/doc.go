// Package eject decides which targets get no work because requests fail on them,
// and when they are tried again.
package eject
