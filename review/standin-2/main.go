// Command standin-2 plays the scripted cases of the second review. It starts entries as separate processes, plays the platform, the
// runners and the clients itself, and writes what it saw into a record.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestCase is the time after which a case ends in any event.
const longestCase = 110 * time.Second

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenarios are the cases by name; each returns how the rule was broken, or "".
var scenarios = map[string]func(*environment) string{}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "", "file for the record")
	keep := flag.String("logs", "", "folder for the entries' logs; a temporary one by default")
	flag.Parse()
	os.Exit(play(*name, *out, *keep))
}

func play(name, out, folder string) int {
	scenario := scenarios[name]
	if scenario == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	if folder == "" {
		if folder, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer os.RemoveAll(folder)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longestCase)
	defer cancel()
	e := &environment{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", folder: folder, begun: time.Now(), record: io.MultiWriter(file, os.Stdout)}
	e.store = newMetadataStore(e.log)
	defer e.stopEntries()
	broken := scenario(e)
	code, text := exitHeld, "the rule held"
	switch {
	case len(e.failures) > 0 || ctx.Err() != nil:
		code, text = exitNotRun, "the case could not run"
	case broken != "":
		code, text = exitBroken, "the rule is broken: "+broken
	}
	e.endRecord("result: " + text)
	return code
}
