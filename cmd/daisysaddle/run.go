package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"gopkg.in/ini.v1"

	"daisysaddle/io/admin"
	"daisysaddle/io/entry"
	"daisysaddle/io/guard"
	"daisysaddle/io/logs"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
	"daisysaddle/io/trial"

	"daisysaddle/core/config"
)

type entryCommand struct {
	Settings   string           `help:"INI file with a section [Entry] whose keys are the flags in Pascal case." type:"existingfile"`
	Name       string           `help:"Name of the entry."`
	Deployment string           `help:"Name of the deployment, as in the section [Deployment]."`
	Zone       string           `help:"Availability zone of the entry."`
	Listen     netip.AddrPort   `help:"Address for callers."`
	PeerListen netip.AddrPort   `help:"Address for other entries."`
	Admin      netip.AddrPort   `help:"Address for health, metrics and status."`
	Platform   netip.AddrPort   `help:"Address of the platform's key-value service."`
	Backend    string           `help:"Platform adapter." default:"Http"`
	Peers      []netip.AddrPort `help:"Peer addresses to link with at the start."`
	SecretFile string           `help:"File that holds the deployment's peer secret." type:"existingfile"`

	MemoryMB    int `help:"Memory that the process may take, in MB; 0 is GOMEMLIMIT, or what its control group or the machine has." name:"memory-mb"`
	Descriptors int `help:"File descriptors that the process may open; 0 is its own limit."`
}

// BeforeResolve loads the settings file so that its values apply to flags that are not given.
func (c *entryCommand) BeforeResolve(k *kong.Context) error {
	for _, path := range k.Path {
		if path.Flag == nil || path.Flag.Name != "settings" {
			continue
		}
		name, _ := k.FlagValue(path.Flag).(string)
		resolver, err := settingsResolver(name)
		if err != nil {
			return err
		}
		k.AddResolver(resolver)
	}
	return nil
}

// settingsResolver returns a resolver that takes flags from the section [Entry] of a file; unknown keys are an error.
func settingsResolver(path string) (kong.Resolver, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", path)
	}
	knownKeys := []string{"Name", "Deployment", "Zone", "Listen", "PeerListen", "Admin", "Platform", "Backend", "Peers", "SecretFile", "MemoryMB", "Descriptors"}
	section := file.Section("Entry")
	for _, key := range section.Keys() {
		found := false
		for _, k := range knownKeys {
			found = found || k == key.Name()
		}
		if !found {
			return nil, errors.Newf("%s [Entry] %s: unknown key: want one of %s", path, key.Name(), strings.Join(knownKeys, ", "))
		}
	}
	return kong.ResolverFunc(func(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
		key := strings.ReplaceAll(strings.ToLower(flag.Name), "-", "")
		for _, k := range section.Keys() {
			if strings.ToLower(k.Name()) == key {
				return k.Value(), nil
			}
		}
		return nil, nil
	}), nil
}

const bytesPerMB = 1 << 20

// Run runs the entry until the process is signalled to stop.
func (c *entryCommand) Run(env environment) error {
	if c.SecretFile == "" {
		return errors.New("entry settings: SecretFile is missing")
	}
	secret, err := os.ReadFile(c.SecretFile)
	if err != nil {
		return errors.Wrap(err, "read the peer secret")
	}
	s := entry.Settings{
		Name: c.Name, Deployment: c.Deployment, Zone: c.Zone, Listen: c.Listen, PeerListen: c.PeerListen, Admin: c.Admin,
		Platform: c.Platform, Backend: c.Backend, Peers: c.Peers, Secret: strings.TrimSpace(string(secret)),
		MemoryMB: c.MemoryMB, Descriptors: c.Descriptors,
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = int(guard.OwnMemory() / bytesPerMB)
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(guard.HeapLimit(int64(s.MemoryMB) * bytesPerMB))
	}
	e, err := entry.New(s, logs.New(env.err, c.Name))
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.Go(func() error { return e.Run(context.WithoutCancel(env.ctx)) })
	<-env.ctx.Done()
	e.Stop()
	return group.Wait()
}

type tryCommand struct {
	Seed       uint64 `help:"Fixes the random choices." default:"1"`
	Deployment string `help:"Shipped example to run." enum:"sicily,nortechico" default:"sicily"`
	JSON       bool   `help:"Print the summary as one JSON object."`
	Logs       bool   `help:"Print the entries' logs."`
	History    string `help:"File to write the recorded history to, as JSON." type:"path"`
	Override   string `help:"INI file that is merged over the example." type:"existingfile"`
}

// Run runs the trial, prints its summary and returns an error when the history violates an invariant.
func (c *tryCommand) Run(env environment) error {
	log := zerolog.Nop()
	if c.Logs {
		log = logs.New(env.err, "try")
	}
	options := trial.Options{Deployment: c.Deployment, Seed: c.Seed, Progress: env.err, Log: log}
	if c.Override != "" {
		text, err := os.ReadFile(c.Override)
		if err != nil {
			return errors.Wrap(err, "read the override file")
		}
		options.Override = string(text)
	}
	if c.History != "" {
		file, err := os.Create(c.History)
		if err != nil {
			return errors.Wrap(err, "create the history file")
		}
		defer file.Close()
		options.History = file
	}
	summary, err := trial.Run(env.ctx, options)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(env.out).Encode(summary); err != nil {
			return err
		}
	} else {
		summary.Write(env.out)
	}
	if summary.Broken() {
		return errors.New("a promise was broken")
	}
	return nil
}

type standinCommand struct {
	Platform platformStandin `cmd:"" help:"Run the platform's stand-in."`
	Target   targetStandin   `cmd:"" help:"Run a target's stand-in."`
	Faults   faultsCommand   `cmd:"" help:"Switch faults of a running platform stand-in."`
}

type platformStandin struct {
	Listen    netip.AddrPort `required:"" help:"Address to serve on."`
	Instances string         `help:"JSON file with the list of instances (Name, Address, Zone, Rack, Live)." type:"existingfile"`
	Folder    string         `help:"Configuration folder whose instances are listed as live." type:"existingdir"`
}

// Run serves the stand-in until the process is signalled to stop.
func (c *platformStandin) Run(env environment) error {
	p := &stand.Platform{}
	instances, err := c.instances()
	if err != nil {
		return err
	}
	if len(instances) > 0 {
		p.SetInstances(time.Now(), instances)
	}
	return serveUntilDone(env, c.Listen, p.Handler())
}

func (c *platformStandin) instances() ([]store.ListedInstance, error) {
	var instances []store.ListedInstance
	if c.Instances != "" {
		text, err := os.ReadFile(c.Instances)
		if err != nil {
			return nil, errors.Wrap(err, "read the list of instances")
		}
		if err := json.Unmarshal(text, &instances); err != nil {
			return nil, errors.Wrapf(err, "decode %s", c.Instances)
		}
	}
	if c.Folder == "" {
		return instances, nil
	}
	files, err := admin.ReadFolder(c.Folder)
	if err != nil {
		return nil, err
	}
	parsed, problems := config.Parse(files, 0)
	if len(problems) > 0 {
		return nil, config.JoinProblems(problems)
	}
	for _, i := range parsed.Instances {
		instances = append(instances, store.ListedInstance{Name: i.Name, Address: i.Address, Zone: i.Zone, Rack: i.Rack, Live: true})
	}
	return instances, nil
}

func serveUntilDone(env environment, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	fmt.Fprintf(env.err, "Event=Listening Address=%s\n", listener.Addr())
	var group errgroup.Group
	group.Go(func() error {
		<-env.ctx.Done()
		return server.Close()
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return group.Wait()
}

type targetStandin struct {
	Listen netip.AddrPort `required:"" help:"Address to serve on."`
	Name   string         `default:"target" help:"Name of the instance."`
	Slots  int            `default:"8" help:"Requests run at once."`
	Mean   time.Duration  `default:"50ms" help:"Mean service time."`
}

// Run serves the stand-in until the process is signalled to stop.
func (c *targetStandin) Run(env environment) error {
	t := &stand.Target{Name: c.Name, Slots: c.Slots, Mean: c.Mean}
	var group errgroup.Group
	address, err := t.Start(&group, c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Fprintf(env.err, "Event=Listening Address=%s\n", address)
	<-env.ctx.Done()
	t.Kill()
	return group.Wait()
}

type faultsCommand struct {
	platform
	Down        bool          `help:"Refuse every call."`
	Delay       time.Duration `help:"Delay every call."`
	LoseAnswers float64       `help:"Probability that a write's answer is lost after it took effect."`
	SilentWatch bool          `help:"Let watches deliver nothing."`
	ListLag     time.Duration `help:"Age of the list of instances."`
}

// Run replaces the faults of the platform stand-in; without flags it clears them.
func (c *faultsCommand) Run(env environment) error {
	faults := stand.Faults{Down: c.Down, Delay: c.Delay, LoseAnswers: c.LoseAnswers, SilentWatch: c.SilentWatch, ListLag: c.ListLag}
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	request, err := http.NewRequestWithContext(env.ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/faults", c.Platform), strings.NewReader(string(body)))
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "call the platform stand-in")
	}
	defer response.Body.Close()
	_, err = io.Copy(env.out, response.Body)
	fmt.Fprintf(env.out, "Status=%d\n", response.StatusCode)
	return errors.Wrap(err, "read the answer")
}
