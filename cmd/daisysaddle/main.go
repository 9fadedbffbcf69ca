// Command daisysaddle manages fleet capacity and maintenance and forwards callers' requests.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands describes the command line.
type commands struct {
	Entry     entryCommand     `cmd:"" help:"Run an entry instance."`
	Check     checkCommand     `cmd:"" help:"Merge and validate a folder of INI files."`
	Diff      diffCommand      `cmd:"" help:"Show what applying a folder would change."`
	Apply     applyCommand     `cmd:"" help:"Publish a folder as the accepted configuration."`
	Fetch     fetchCommand     `cmd:"" help:"Write the accepted configuration to a folder."`
	Status    statusCommand    `cmd:"" help:"Show the entries and what is in force on them."`
	Pools     poolsCommand     `cmd:"" help:"Show the pools with their budgets."`
	Instances instancesCommand `cmd:"" help:"Show the instances and why each one waits."`
	Explain   explainCommand   `cmd:"" help:"Show the decisions on one instance or request."`
	Accounts  accountsCommand  `cmd:"" help:"Show the client accounts of the job service with what each has running."`
	Why       whyCommand       `cmd:"" help:"Show why a job of the job service waits."`
	Timeline  timelineCommand  `cmd:"" help:"Show the events of all entries in causal order."`
	Try       tryCommand       `cmd:"" help:"Run a whole deployment on loopback with faults and check it."`
	Measure   measureCommand   `cmd:"" help:"Measure policies and print a line of key=value pairs for each run."`
	Standin   standinCommand   `cmd:"" help:"Run a stand-in of an outside system."`
}

// environment holds what a command needs from its process.
type environment struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// The first signal asks for a graceful stop; a second one ends the process at once.
	context.AfterFunc(ctx, stop)
	os.Exit(run(environment{ctx, os.Stdout, os.Stderr}, os.Args[1:]))
}

// run executes one command line and returns the exit status.
func run(env environment, arguments []string) int {
	var cli commands
	status := -1
	parser, err := kong.New(&cli,
		kong.Name("daisysaddle"),
		kong.Description("Fleet capacity and maintenance manager."),
		kong.Writers(env.out, env.err),
		kong.Exit(func(code int) { status = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(env.err, err)
		return 2
	}
	command, err := parser.Parse(arguments)
	if status >= 0 {
		return status
	}
	if err != nil {
		fmt.Fprintf(env.err, "daisysaddle: %s\n", err)
		return 2
	}
	if err := command.Run(env); err != nil {
		fmt.Fprintf(env.err, "daisysaddle: %s\n", err)
		return 1
	}
	return 0
}
