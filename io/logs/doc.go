// Package logs writes one line of key=value pairs for each event.
package logs
