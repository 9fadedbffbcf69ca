package trial

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"daisysaddle/core/audit"
	"daisysaddle/core/config"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/io/stand"
)

// Times of the script's steps and of the ends of the load and the trial, from the start of the load.
const (
	retireInstanceAt = 2 * time.Second
	retireRackAt     = 5 * time.Second
	moveInstanceAt   = 9 * time.Second
	replaceEntryAt   = 12 * time.Second
	outageAt         = 16 * time.Second
	outageDuration   = 4 * time.Second // length of the outage that starts at outageAt
	silenceAt        = 22 * time.Second
	loadEnd          = 27 * time.Second
	trialEnd         = 32 * time.Second
)

// step is one change or fault that the script applies at a given time.
type step struct {
	at   time.Duration
	name string
	run  func(context.Context) error
}

func (t *Trial) script() []step {
	zones := t.config.Zones
	return []step{
		{retireInstanceAt, "retire one instance", func(ctx context.Context) error {
			return t.publishFile(ctx, "50-retire.ini", "[Leave first]\nInstances = "+t.firstServingInstance(zones[0].Name)+"\n")
		}},
		{retireRackAt, "retire one rack", func(ctx context.Context) error {
			rack, names := t.firstRack(zones[1].Name)
			t.printProgress("Rack=%s Instances=%q", rack, joinNames(names))
			return t.publishFile(ctx, "51-rack.ini", "[Leave rack]\nRacks = "+rack+"\n")
		}},
		{moveInstanceAt, "move one instance between pools", func(ctx context.Context) error {
			name, pool := t.moveCandidate(zones[len(zones)-1].Name)
			return t.publishFile(ctx, "52-move.ini", "[Instance "+name+"]\nPool = "+pool+"\n")
		}},
		{replaceEntryAt, "replace one entry", func(ctx context.Context) error {
			return t.replaceEntry(ctx, "entry-"+zones[0].Name+"-0", zones[0].Name)
		}},
		{outageAt, "make the platform unavailable", func(context.Context) error {
			t.platform.SetFaults(stand.Faults{Down: true})
			t.recorder.Update(func(h *audit.History) { h.Outages = append(h.Outages, audit.Outage{Start: time.Now()}) })
			return nil
		}},
		{outageAt + outageDuration, "make the platform available again", func(context.Context) error {
			t.platform.SetFaults(stand.Faults{})
			t.recorder.Update(func(h *audit.History) { h.Outages[len(h.Outages)-1].End = time.Now() })
			return nil
		}},
		{silenceAt, "silence the open connections of one zone", func(context.Context) error {
			for _, i := range t.config.Instances {
				if i.Zone == zones[1].Name {
					t.targets[i.Name].SilenceConnections()
				}
			}
			return nil
		}},
	}
}

// firstServingInstance returns the first instance of the zone whose pool is not a spare pool.
func (t *Trial) firstServingInstance(zone string) string {
	for _, i := range t.config.Instances {
		if p, _ := t.config.FindPool(i.Pool); i.Zone == zone && !p.Spare {
			return i.Name
		}
	}
	return ""
}

// moveCandidate returns the last instance of the zone outside spare pools, and another pool to move it to.
func (t *Trial) moveCandidate(zone string) (string, string) {
	for _, i := range slices.Backward(t.config.Instances) {
		if p, _ := t.config.FindPool(i.Pool); i.Zone != zone || p.Spare {
			continue
		}
		for _, p := range t.config.Pools {
			if !p.Spare && p.Name != i.Pool {
				return i.Name, p.Name
			}
		}
	}
	return "", ""
}

// replaceEntry starts a new entry and then stops the old one gracefully. It collects the old entry's events first,
// because they can no longer be read once it has stopped.
func (t *Trial) replaceEntry(ctx context.Context, name, zone string) error {
	if err := t.startEntry(ctx, name+"-new", zone); err != nil {
		return err
	}
	t.collectEvents(ctx)
	t.mu.Lock()
	old := t.entries[name]
	t.mu.Unlock()
	old.entry.Stop()
	t.group.Go(func() error {
		select {
		case <-old.ended:
		case <-ctx.Done():
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		old.ready = false
		old.lifetime.End = time.Now()
		old.lifetime.Graceful = true
		return nil
	})
	return nil
}

// Run starts a trial, runs the script under load, checks the history and returns the summary.
func Run(ctx context.Context, o Options) (Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t, err := Start(ctx, o)
	if err != nil {
		return Summary{}, err
	}
	begin := time.Now()
	loadContext, stopLoad := context.WithDeadline(ctx, begin.Add(loadEnd))
	defer stopLoad()
	waitForLoads := t.startLoads(loadContext, begin)
	for _, s := range t.script() {
		if !sleep(ctx, time.Until(begin.Add(s.at))) {
			return Summary{}, ctx.Err()
		}
		t.printProgress("Time=%s Step=%q", time.Since(begin).Round(time.Millisecond), s.name)
		if err := s.run(ctx); err != nil {
			return Summary{}, err
		}
	}
	if err := waitForLoads(); err != nil {
		return Summary{}, err
	}
	sleep(ctx, time.Until(begin.Add(trialEnd)))
	t.collectEvents(ctx)
	return t.summarize(begin, time.Now()), nil
}

// startLoads starts a load generator for each service and returns a function that waits until all have ended.
func (t *Trial) startLoads(ctx context.Context, begin time.Time) func() error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleCallerConns}}
	services := t.config.Services
	done := make(chan error, len(services))
	for n, s := range services {
		load := &stand.LoadGenerator{
			Service:    s.Name,
			Rate:       stand.Bursts(begin, n, len(services), t.meanRate(s), burstPeriod),
			Deadline:   s.Deadline,
			Entries:    t.readyEntries,
			RecordCall: t.recorder.AddCall,
			NextNonce:  func() string { return fmt.Sprintf("n%d", t.lastNonce.Add(1)) },
			Client:     client,
			Seed:       t.options.Seed + uint64(n),
		}
		t.group.Go(func() error { done <- load.Run(ctx); return nil })
	}
	return func() error {
		for range services {
			if err := <-done; err != nil {
				return err
			}
		}
		return nil
	}
}

// meanRate returns the request rate that uses meanUtilization of the service's slots, in requests per second.
func (t *Trial) meanRate(s config.Service) float64 {
	slots := 0
	for _, i := range t.config.Instances {
		if p, _ := t.config.FindPool(i.Pool); p.Service == s.Name {
			slots += i.Slots
		}
	}
	return meanUtilization * float64(slots) / meanServiceTime.Seconds()
}

// configsInForce returns the times at which entries put configurations in force, taken from their events.
func configsInForce(events []event.Event) []audit.ConfigActivation {
	var inForce []audit.ConfigActivation
	for _, e := range events {
		if e.Kind == event.ConfigInForce {
			inForce = append(inForce, audit.ConfigActivation{At: e.Stamp.Wall, Entry: e.Entry, Revision: e.Revision})
		}
	}
	return inForce
}

// longestRollOut returns the longest time from the version in which an instance begins to drain until it is returned or serves again,
// and the number of retirements and moves that did not end.
func longestRollOut(versions []audit.ZoneVersion) (time.Duration, int) {
	started := make(map[string]time.Time)
	var longest time.Duration
	for _, v := range versions {
		for _, i := range v.Zone.Instances {
			begin, inProgress := started[i.Name]
			switch {
			case i.State.Draining() && !inProgress:
				started[i.Name] = v.At
			case inProgress && (i.State == fleet.Returned || i.State == fleet.Serving):
				longest = max(longest, v.At.Sub(begin))
				delete(started, i.Name)
			}
		}
	}
	return longest, len(started)
}
