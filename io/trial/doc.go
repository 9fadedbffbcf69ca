// Package trial runs a whole deployment on loopback in one process, with the platform stand-in,
// entries, targets and callers. It injects faults and checks the recorded history.
package trial
