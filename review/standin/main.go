// Command standin plays the cases of the review: it starts the entries of the deploy file as separate processes, with stand-ins for the
// platform, the workers and the callers, and checks one rule. It exits with status 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(d *deployment, trouble bool) ([]string, error){
	"upkeep":   playUpkeep,
	"route":    playRoute,
	"lasting":  playLasting,
	"ticket":   playTicket,
	"cancel":   playCancel,
	"moved":    playMoved,
	"steps":    playSteps,
	"deadly":   playDeadly,
	"pages":    playPages,
	"reserved": playReserved,
}

func main() { os.Exit(play()) }

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	longest = 110 * time.Second // of a case
)

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer d.close()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(longest):
		}
		rec.log("not run: the time is over")
		d.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](d, trouble)
	switch {
	case err != nil:
		rec.log("not run: %s", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.log("broken: %s", b)
			fmt.Println("broken:", b)
		}
		return exitBroken
	}
	rec.log("held")
	fmt.Println("held")
	return exitHeld
}
