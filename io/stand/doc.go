// Package stand provides in-process stand-ins for the platform, the targets and the callers,
// for tests and demonstrations.
package stand
