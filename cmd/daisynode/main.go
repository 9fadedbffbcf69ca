// Command daisynode runs one entry of the job service on the platform that a settings file describes.
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

// commands describes the command line.
type commands struct {
	Settings string `help:"Settings file of the platform." env:"${settings_variable}" required:"" type:"path"`

	Entry entryCommand `cmd:"" help:"Run an entry until SIGTERM."`
	Check checkCommand `cmd:"" help:"Check the settings file and print what is used of it."`
}

type entryCommand struct{}

// Run runs an entry until the process receives an interrupt or SIGTERM.
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
	var cli commands
	command := kong.Parse(&cli, kong.Name("daisynode"), kong.Description("One entry of daisysaddle's job service."),
		kong.Vars{"settings_variable": platform.SettingsVariable})
	if err := command.Run(&cli); err != nil {
		fmt.Fprintf(os.Stderr, "daisynode: %s\n", err)
		os.Exit(1)
	}
}
