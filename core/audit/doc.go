// Package audit checks recorded histories against the promises of the system.
package audit
