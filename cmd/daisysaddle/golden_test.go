package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/shoenig/test/must"

	"daisysaddle/core/golden"
)

// commandLine lists each command with its arguments, flags and defaults.
func commandLine() (string, error) {
	parser, err := kong.New(&commands{})
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, command := range parser.Model.Leaves(false) {
		b.WriteString(command.Path() + "\n")
		for _, p := range command.Positional {
			b.WriteString("  " + p.Summary() + " default " + p.Default + "\n")
		}
		for _, f := range command.Flags {
			b.WriteString("  " + f.Summary() + " default " + f.Default + "\n")
		}
	}
	return b.String(), nil
}

// TestCommandLineKeepsItsNames guards against a change of flags, whose names derive from fields.
func TestCommandLineKeepsItsNames(t *testing.T) {
	text, err := commandLine()
	must.NoError(t, err)
	must.Eq(t, string(golden.Read(t, "flags.txt")), text)
}
