// Package logs writes each log event as one line of key=value pairs.
package logs
