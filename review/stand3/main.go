// Command stand3 plays the scripts of this review: it starts entries of the job service as processes, with stand-ins for the store, the
// machines and the workers, and checks what callers see.
package main

import (
	"fmt"
	"os"
)

// Results of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// Whether a script brings its disruption about.
const (
	withTrouble    = "trouble"
	withoutTrouble = "calm"
)

func main() {
	scenarios := map[string]func(*record, bool) (int, error){"burst": burst, "schedule": schedule, "route": removedRoute, "cancel": lateCancel}
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil || os.Args[3] != withTrouble && os.Args[3] != withoutTrouble {
		fmt.Fprintln(os.Stderr, "usage: stand3 SCENARIO RECORD "+withTrouble+"|"+withoutTrouble)
		os.Exit(notRun)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	result, err := scenarios[os.Args[1]](log, os.Args[3] == withTrouble)
	if err != nil {
		log.line("could not run: %v", err)
		result = notRun
	}
	log.line("result %d", result)
	os.Exit(result)
}
