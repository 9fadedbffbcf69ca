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

// Times of the script's steps after the start.
const (
	retireInstanceAt = 2 * time.Second
	retireRackAt     = 5 * time.Second
	moveInstanceAt   = 9 * time.Second
	replaceEntryAt   = 12 * time.Second
	outageAt         = 16 * time.Second
	outagePeriod     = 4 * time.Second
	silenceAt        = 22 * time.Second
	loadEnd          = 27 * time.Second
	trialEnd         = 32 * time.Second
)

// step is one action of the script.
type step struct {
	at   time.Duration
	name string
	run  func(context.Context) error
}

func (t *Trial) script() []step {
	zones := t.config.Zones
	return []step{
		{retireInstanceAt, "retire one instance", func(ctx context.Context) error {
			return t.edit(ctx, "50-retire.ini", "[Leave first]\nInstances = "+t.firstServing(zones[0].Name)+"\n")
		}},
		{retireRackAt, "retire one rack", func(ctx context.Context) error {
			rack, names := t.rackOf(zones[1].Name)
			t.say("Rack=%s Instances=%q", rack, joined(names))
			return t.edit(ctx, "51-rack.ini", "[Leave rack]\nRacks = "+rack+"\n")
		}},
		{moveInstanceAt, "move one instance between pools", func(ctx context.Context) error {
			name, pool := t.moveCandidate(zones[len(zones)-1].Name)
			return t.edit(ctx, "52-move.ini", "[Instance "+name+"]\nPool = "+pool+"\n")
		}},
		{replaceEntryAt, "replace one entry", func(ctx context.Context) error {
			return t.replaceEntry(ctx, "entry-"+zones[0].Name+"-0", zones[0].Name)
		}},
		{outageAt, "take the platform away", func(context.Context) error {
			t.platform.SetFaults(stand.Faults{Down: true})
			t.recorder.Change(func(h *audit.History) { h.Outages = append(h.Outages, audit.Outage{Start: time.Now()}) })
			return nil
		}},
		{outageAt + outagePeriod, "bring the platform back", func(context.Context) error {
			t.platform.SetFaults(stand.Faults{})
			t.recorder.Change(func(h *audit.History) { h.Outages[len(h.Outages)-1].End = time.Now() })
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

func (t *Trial) firstServing(zone string) string {
	for _, i := range t.config.Instances {
		if p, _ := t.config.FindPool(i.Pool); i.Zone == zone && !p.Spare {
			return i.Name
		}
	}
	return ""
}

// moveCandidate returns an instance of the zone and another pool to move it to.
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

// replaceEntry starts a new entry and stops the old one gracefully.
func (t *Trial) replaceEntry(ctx context.Context, name, zone string) error {
	if err := t.startEntry(ctx, name+"-new", zone); err != nil {
		return err
	}
	t.collect(ctx)
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
		old.balanced = false
		old.lifetime.End = time.Now()
		old.lifetime.Graceful = true
		return nil
	})
	return nil
}

// Run plays the script with load and returns the summary of the checked history.
func Run(ctx context.Context, o Options) (Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t, err := Start(ctx, o)
	if err != nil {
		return Summary{}, err
	}
	begin := time.Now()
	loadCtx, stopLoad := context.WithDeadline(ctx, begin.Add(loadEnd))
	defer stopLoad()
	loads := t.startLoads(loadCtx, begin)
	for _, s := range t.script() {
		if !sleep(ctx, time.Until(begin.Add(s.at))) {
			return Summary{}, ctx.Err()
		}
		t.say("Time=%s Step=%q", time.Since(begin).Round(time.Millisecond), s.name)
		if err := s.run(ctx); err != nil {
			return Summary{}, err
		}
	}
	if err := loads(); err != nil {
		return Summary{}, err
	}
	sleep(ctx, time.Until(begin.Add(trialEnd)))
	t.collect(ctx)
	return t.summarize(begin, time.Now()), nil
}

// startLoads starts the callers of every service and returns a function that waits for their end.
func (t *Trial) startLoads(ctx context.Context, begin time.Time) func() error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerTransport}}
	services := t.config.Services
	done := make(chan error, len(services))
	for n, s := range services {
		load := &stand.Load{
			Service:  s.Name,
			Rate:     stand.Bursts(begin, n, len(services), t.meanRate(s), burstPeriod),
			Deadline: s.Deadline,
			Entries:  t.balanced,
			Record:   t.recorder.AddCall,
			Sequence: func() string { return fmt.Sprintf("n%d", t.sequence.Add(1)) },
			Client:   client,
			Seed:     t.options.Seed + uint64(n),
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

// meanRate returns the mean load of a service in requests per second.
func (t *Trial) meanRate(s config.Service) float64 {
	slots := 0
	for _, i := range t.config.Instances {
		if p, _ := t.config.FindPool(i.Pool); p.Service == s.Name {
			slots += i.Slots
		}
	}
	return meanLoad * float64(slots) / meanService.Seconds()
}

// forceEvents turns the time line into the history's record of configurations in force.
func forceEvents(events []event.Event) []audit.InForce {
	var inForce []audit.InForce
	for _, e := range events {
		if e.Kind == event.ConfigInForce {
			inForce = append(inForce, audit.InForce{At: e.Stamp.Wall, Entry: e.Entry, Revision: e.Revision})
		}
	}
	return inForce
}

// rollOut returns the longest time from the first mark of an instance to its being handed back or moved,
// and the number of retirements that did not end.
func rollOut(versions []audit.Version) (time.Duration, int) {
	started := make(map[string]time.Time)
	var longest time.Duration
	for _, v := range versions {
		for _, i := range v.Zone.Instances {
			begin, open := started[i.Name]
			switch {
			case i.State.Draining() && !open:
				started[i.Name] = v.At
			case open && (i.State == fleet.Returned || i.State == fleet.Serving):
				longest = max(longest, v.At.Sub(begin))
				delete(started, i.Name)
			}
		}
	}
	return longest, len(started)
}
