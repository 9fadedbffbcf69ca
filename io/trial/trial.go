package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/audit"
	"daisysaddle/core/config"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/io/admin"
	"daisysaddle/io/entry"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// Options select the deployment, the random seed and the outputs of a trial.
type Options struct {
	Deployment string // name of an embedded example
	Seed       uint64
	Progress   io.Writer // receives a line for each step; may be nil
	Log        zerolog.Logger
	Override   string    // INI text that is merged over the example
	History    io.Writer // receives the recorded history as JSON; may be nil
}

const (
	entriesPerZone      = 2
	meanServiceTime     = 60 * time.Millisecond
	meanUtilization     = 0.16 // share of a pool's capacity; a burst uses 0.8 of it
	burstPeriod         = 3 * time.Second
	readyTimeout        = 10 * time.Second
	historyPollInterval = 5 * time.Millisecond
	trialSecret         = "loopback trial secret"
	maxIdleCallerConns  = 256
)

// Trial is a running deployment and its recorded history.
type Trial struct {
	options   Options
	files     []config.File
	config    *config.Config
	platform  *stand.Platform
	address   netip.AddrPort
	client    *store.Client
	recorder  stand.Recorder
	group     errgroup.Group
	lastNonce atomic.Uint64

	mu               sync.Mutex
	targets          map[string]*stand.Target
	entries          map[string]*runningEntry
	acceptedRevision uint64
	moves            uint64
	events           []event.Event
}

type runningEntry struct {
	entry    *entry.Entry
	zone     string
	lifetime audit.Lifetime
	ready    bool
	ended    chan struct{}
}

var loopback = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0)

// Start starts the platform, the targets and the entries, and waits until all entries are ready; after readyTimeout it returns an error.
func Start(ctx context.Context, o Options) (*Trial, error) {
	t := &Trial{options: o, platform: &stand.Platform{Seed: o.Seed}, targets: make(map[string]*stand.Target), entries: make(map[string]*runningEntry)}
	files, err := Example(o.Deployment)
	if err != nil {
		return nil, err
	}
	if err := t.startPlatform(ctx); err != nil {
		return nil, err
	}
	c, problems := config.Parse(files, 1)
	if len(problems) > 0 {
		return nil, config.JoinProblems(problems)
	}
	addresses, err := t.startTargets(c)
	if err != nil {
		return nil, err
	}
	t.files = append(files, addressOverrides(addresses))
	if o.Override != "" {
		t.files = append(t.files, config.File{Name: "45-override.ini", Text: o.Override})
	}
	if err := t.publish(ctx, t.files); err != nil {
		return nil, err
	}
	t.group.Go(func() error { t.recordZoneVersions(ctx); return nil })
	for _, z := range t.config.Zones {
		for i := range entriesPerZone {
			if err := t.startEntry(ctx, fmt.Sprintf("entry-%s-%d", z.Name, i), z.Name); err != nil {
				return nil, err
			}
		}
	}
	return t, t.awaitReady(ctx)
}

func (t *Trial) startPlatform(ctx context.Context) error {
	listener, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return errors.Wrap(err, "listen for platform calls")
	}
	t.address = listener.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{Handler: t.platform.Handler(), ReadHeaderTimeout: time.Minute}
	t.group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	t.group.Go(func() error { <-ctx.Done(); return server.Close() })
	t.client = store.NewClient(store.NewHTTP(t.address))
	return nil
}

func (t *Trial) startTargets(c *config.Config) (map[string]string, error) {
	addresses := make(map[string]string)
	for n, i := range c.Instances {
		target := &stand.Target{Name: i.Name, Slots: i.Slots, Mean: meanServiceTime, Record: t.recorder.AddExecution, Seed: t.options.Seed + uint64(n)}
		address, err := target.Start(&t.group, loopback)
		if err != nil {
			return nil, errors.Wrapf(err, "start target %s", i.Name)
		}
		t.targets[i.Name] = target
		addresses[i.Name] = address.String()
		t.platform.SetInstance(time.Now(), store.ListedInstance{Name: i.Name, Address: address, Zone: i.Zone, Rack: i.Rack, Live: true})
	}
	return addresses, nil
}

// startEntry starts an entry and the polling of its readiness.
func (t *Trial) startEntry(ctx context.Context, name, zone string) error {
	s := entry.Settings{
		Name: name, Deployment: t.config.Deployment.Name, Zone: zone,
		Listen: loopback, PeerListen: loopback, Admin: loopback,
		Platform: t.address, Backend: "Http", Secret: trialSecret,
	}
	t.mu.Lock()
	for _, r := range t.entries {
		s.Peers = append(s.Peers, r.entry.PeerAddress())
	}
	t.mu.Unlock()
	e, err := entry.New(s, t.options.Log)
	if err != nil {
		return err
	}
	r := &runningEntry{entry: e, zone: zone, lifetime: audit.Lifetime{Entry: name, Start: time.Now()}, ended: make(chan struct{})}
	t.mu.Lock()
	t.entries[name] = r
	t.mu.Unlock()
	t.platform.SetInstance(time.Now(), store.ListedInstance{Name: name, Address: e.PeerAddress(), Zone: zone, Live: true})
	t.group.Go(func() error {
		defer close(r.ended)
		return e.Run(ctx)
	})
	t.group.Go(func() error { t.pollReadiness(ctx, r); return nil })
	return nil
}

const readinessPollInterval = 100 * time.Millisecond

// pollReadiness polls an entry's readiness, as the platform's load balancer does, until the entry or ctx ends.
func (t *Trial) pollReadiness(ctx context.Context, r *runningEntry) {
	client := http.Client{Timeout: readinessPollInterval * 3}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + r.entry.AdminAddress().String() + "/ready")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		t.mu.Lock()
		r.ready = ready
		t.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-r.ended:
			return
		case <-time.After(readinessPollInterval):
		}
	}
}

// readyEntries returns the entries that were ready at the last poll, in the order of their zones.
func (t *Trial) readyEntries() []stand.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var endpoints []stand.Endpoint
	for _, z := range t.config.Zones {
		for name, r := range t.entries {
			if r.ready && r.zone == z.Name {
				endpoints = append(endpoints, stand.Endpoint{Name: name, Zone: r.zone, Address: r.entry.Address()})
			}
		}
	}
	return endpoints
}

func (t *Trial) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for len(t.readyEntries()) < len(t.config.Zones)*entriesPerZone {
		if time.Now().After(deadline) {
			return errors.New("entries did not become ready")
		}
		if !sleep(ctx, historyPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// publish publishes the files as the configuration and records the time at which it was accepted.
func (t *Trial) publish(ctx context.Context, files []config.File) error {
	accepted, err := admin.Publish(ctx, t.client, t.acceptedRevision, files)
	if err != nil {
		return err
	}
	at := time.Now()
	c, problems := config.Parse(accepted.Files, accepted.Revision)
	if len(problems) > 0 {
		return config.JoinProblems(problems)
	}
	t.mu.Lock()
	t.acceptedRevision, t.files, t.config = accepted.Revision, files, c
	t.mu.Unlock()
	t.recorder.Update(func(h *audit.History) { h.Configs = append(h.Configs, audit.AcceptedConfig{At: at, Config: c}) })
	return nil
}

// publishFile publishes the current files with one added or replaced.
func (t *Trial) publishFile(ctx context.Context, name, text string) error {
	files := []config.File{{Name: name, Text: text}}
	for _, f := range t.files {
		if f.Name != name {
			files = append(files, f)
		}
	}
	return t.publish(ctx, files)
}

// recordZoneVersions adds each new revision of a zone record that a poll finds to the history, with the time of the poll.
// It reads the platform's memory directly, so that faults do not affect it.
func (t *Trial) recordZoneVersions(ctx context.Context) {
	revisions := make(map[string]uint64)
	for sleep(ctx, historyPollInterval) {
		for _, r := range t.platform.Records("zone/") {
			if r.Revision <= revisions[r.Key] {
				continue
			}
			revisions[r.Key] = r.Revision
			var z fleet.Zone
			if json.Unmarshal(r.Payload(), &z) != nil {
				continue
			}
			t.recorder.Update(func(h *audit.History) { h.Versions = append(h.Versions, audit.ZoneVersion{At: time.Now(), Zone: z}) })
		}
	}
}

// collectEvents appends the timelines of all running entries to the trial's events.
func (t *Trial) collectEvents(ctx context.Context) {
	t.mu.Lock()
	var addresses []netip.AddrPort
	for _, r := range t.entries {
		select {
		case <-r.ended:
		default:
			addresses = append(addresses, r.entry.AdminAddress())
		}
	}
	t.mu.Unlock()
	events, _ := admin.Timeline(ctx, addresses, event.Filter{})
	t.events = append(t.events, events...)
}

func (t *Trial) printProgress(format string, arguments ...any) {
	if t.options.Progress != nil {
		fmt.Fprintf(t.options.Progress, format+"\n", arguments...)
	}
}

// firstRack returns the rack of the zone's first instance, as zone/rack, and the names of its instances.
func (t *Trial) firstRack(zone string) (string, []string) {
	rack := ""
	var names []string
	for _, i := range t.config.Instances {
		if i.Zone != zone {
			continue
		}
		if rack == "" {
			rack = i.Rack
		}
		if i.Rack == rack {
			names = append(names, i.Name)
		}
	}
	return zone + "/" + rack, names
}

func joinNames(names []string) string { return strings.Join(names, ", ") }
