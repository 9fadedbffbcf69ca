// Package eject detects targets on which requests fail, ejects them from routing for a while, and
// readmits them after successful trial requests.
package eject
