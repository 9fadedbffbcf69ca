// Package audit checks the recorded history of a test run against the invariants of the system.
package audit
