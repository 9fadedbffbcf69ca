// Command daisynode runs one entry of the job service on its users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"daisysaddle/platform"
)

// commands is the command line.
type commands struct {
	Settings string `help:"Settings file of the platform." env:"${settings_variable}" required:"" type:"path"`

	Entry entryCommand `cmd:"" help:"Run an entry until SIGTERM."`
	Check checkCommand `cmd:"" help:"Check the settings file and print what is used of it."`
}

type entryCommand struct{}

// Run runs an entry.
func (entryCommand) Run(c *commands) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return platform.Run(ctx, c.Settings, os.Stdout)
}

type checkCommand struct{}

// Run prints the settings in use.
func (checkCommand) Run(c *commands) error {
	s, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	fmt.Printf("%+v\n", s)
	return nil
}

func main() {
	var line commands
	context := kong.Parse(&line, kong.Name("daisynode"), kong.Description("One entry of daisysaddle's job service."),
		kong.Vars{"settings_variable": platform.SettingsVariable})
	if err := context.Run(&line); err != nil {
		fmt.Fprintf(os.Stderr, "daisynode: %s\n", err)
		os.Exit(1)
	}
}
