// Package config parses, merges and validates the operators' configuration files.
//
// It performs no I/O: callers pass files as names and texts, and every problem
// found is returned with its file, section and key.
package config
