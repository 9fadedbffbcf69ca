package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/config"
	"daisysaddle/io/admin"
	"daisysaddle/io/store"
)

const commandTimeout = 20 * time.Second

// folder is the argument of the commands that read or write configuration files.
type folder struct {
	Dir string `arg:"" help:"Folder of INI files." type:"path"`
}

// platform is the flag of the commands that call the platform.
type platform struct {
	Platform netip.AddrPort `required:"" help:"IP address and port of the platform's key-value service."`
}

func (p platform) client() *store.Client {
	return store.NewClient(store.NewHTTP(p.Platform))
}

type checkCommand struct {
	folder
	Origins bool `help:"Print for each key the file it came from."`
	Keys    bool `help:"Print every section and key with unit, default and bounds."`
}

// Run validates the folder and prints the merged settings, or with --keys the table of all keys.
func (c *checkCommand) Run(env environment) error {
	if c.Keys {
		printKeys(env)
		return nil
	}
	files, err := admin.ReadFolder(c.Dir)
	if err != nil {
		return err
	}
	parsed, problems := config.Parse(files, 0)
	if len(problems) > 0 {
		return config.JoinProblems(problems)
	}
	settings, _ := config.Merge(files)
	section := ""
	for _, s := range settings {
		if s.Section != section {
			section = s.Section
			fmt.Fprintf(env.out, "[%s]\n", section)
		}
		if s.Key == "" {
			continue
		}
		if c.Origins {
			fmt.Fprintf(env.out, "%s = %s ; %s\n", s.Key, s.Value, s.File)
		} else {
			fmt.Fprintf(env.out, "%s = %s\n", s.Key, s.Value)
		}
	}
	fmt.Fprintf(env.out, "; Files=%d Zones=%d Services=%d Pools=%d Instances=%d Leaves=%d\n", len(files), len(parsed.Zones), len(parsed.Services), len(parsed.Pools), len(parsed.Instances), len(parsed.Leaves))
	return nil
}

func printKeys(env environment) {
	fmt.Fprintln(env.out, "| Section | Key | Unit | Default | Bounds | Meaning |")
	fmt.Fprintln(env.out, "|---|---|---|---|---|---|")
	for _, k := range config.Keys() {
		fmt.Fprintf(env.out, "| %s | %s | %s | %s | %s | %s |\n", k.Section, k.Key, k.Unit, k.Default, k.Bounds, k.Meaning)
	}
}

type diffCommand struct {
	folder
	platform
}

// Run prints the settings that applying the folder would change.
func (c *diffCommand) Run(env environment) error {
	files, err := admin.ReadFolder(c.Dir)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(env.ctx, commandTimeout)
	defer cancel()
	accepted, _, err := admin.Fetch(ctx, c.client())
	if err != nil {
		return err
	}
	changes, err := config.Diff(accepted.Files, files)
	if err != nil {
		return err
	}
	for _, d := range changes {
		fmt.Fprintf(env.out, "File=%s Section=%q Key=%s Old=%q New=%q\n", d.File, d.Section, d.Key, valueOrAbsent(d.Old), valueOrAbsent(d.New))
	}
	fmt.Fprintf(env.out, "Revision=%d Changes=%d\n", accepted.Revision, len(changes))
	return nil
}

func valueOrAbsent(value *string) string {
	if value == nil {
		return "(absent)"
	}
	return *value
}

type applyCommand struct {
	folder
	platform
	Base string `help:"Revision the folder is based on, or 'latest' to replace whatever is accepted; by default the revision noted in the folder."`
}

// Run publishes the folder and records the accepted revision in it.
func (c *applyCommand) Run(env environment) error {
	files, err := admin.ReadFolder(c.Dir)
	if err != nil {
		return err
	}
	if _, problems := config.Parse(files, 0); len(problems) > 0 {
		return config.JoinProblems(problems)
	}
	ctx, cancel := context.WithTimeout(env.ctx, commandTimeout)
	defer cancel()
	client := c.client()
	base, err := c.base(ctx, client)
	if err != nil {
		return err
	}
	accepted, err := admin.Publish(ctx, client, base, files)
	if err != nil {
		return err
	}
	if err := admin.WriteBase(c.Dir, accepted.Revision); err != nil {
		return err
	}
	fmt.Fprintf(env.out, "Accepted=yes Revision=%d Base=%d\n", accepted.Revision, base)
	return nil
}

// base returns the revision that the folder's files are based on.
func (c *applyCommand) base(ctx context.Context, client *store.Client) (uint64, error) {
	switch c.Base {
	case "":
		return admin.ReadBase(c.Dir)
	case "latest":
		accepted, _, err := admin.Fetch(ctx, client)
		return accepted.Revision, err
	default:
		var base uint64
		_, err := fmt.Sscanf(c.Base, "%d", &base)
		return base, errors.Wrapf(err, "--base is %q: want a revision or latest", c.Base)
	}
}

type fetchCommand struct {
	folder
	platform
}

// Run writes the accepted files to the folder.
func (c *fetchCommand) Run(env environment) error {
	ctx, cancel := context.WithTimeout(env.ctx, commandTimeout)
	defer cancel()
	accepted, _, err := admin.Fetch(ctx, c.client())
	if err != nil {
		return err
	}
	if accepted.Revision == 0 {
		return errors.New("no configuration is accepted yet")
	}
	if err := admin.WriteFolder(c.Dir, accepted.Files, accepted.Revision); err != nil {
		return err
	}
	fmt.Fprintf(env.out, "Revision=%d Files=%d\n", accepted.Revision, len(accepted.Files))
	return nil
}
