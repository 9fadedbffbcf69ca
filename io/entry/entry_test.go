package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/config"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/io/admin"
	"daisysaddle/io/entry"
	"daisysaddle/io/proxy"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// site is a platform stand-in with one target and entries of one zone.
type site struct {
	t        *testing.T
	platform *stand.Platform
	address  netip.AddrPort
	target   *httptest.Server
	files    []config.File
	revision uint64
}

func newSite(t *testing.T) *site {
	s := &site{t: t, platform: &stand.Platform{}}
	server := httptest.NewServer(s.platform.Handler())
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	s.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	t.Cleanup(s.target.Close)
	s.files = []config.File{{Name: "10.ini", Text: "[Deployment]\nName = d\n[Zone z]\nRegion = r\n[Service s]\n[Pool p]\nService = s\n[Pool spare]\nSpare = yes\n" +
		instance("i0", s.target.Listener.Addr().String(), "p") + instance("i1", "127.0.0.1:9", "spare")}}
	s.publish(s.files...)
	return s
}

func instance(name, address, pool string) string {
	return fmt.Sprintf("[Instance %s]\nAddress = %s\nZone = z\nRack = r\nPool = %s\n", name, address, pool)
}

func (s *site) publish(files ...config.File) {
	s.t.Helper()
	accepted, err := admin.Publish(s.t.Context(), store.NewClient(s.platform), s.revision, files)
	must.NoError(s.t, err)
	s.files, s.revision = files, accepted.Revision
}

// start runs an entry and returns it with a function that kills it.
func (s *site) start(name string, peers ...netip.AddrPort) (*entry.Entry, func()) {
	s.t.Helper()
	e, err := entry.New(entry.Settings{
		Name: name, Deployment: "d", Zone: "z", Listen: loopback, PeerListen: loopback, Admin: loopback,
		Platform: s.address, Backend: "Http", Secret: "a secret of sixteen", Peers: peers,
	}, zerolog.Nop())
	must.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	kill := func() {
		cancel()
		_ = group.Wait()
	}
	s.t.Cleanup(kill)
	return e, kill
}

// eventually waits until the entry's status satisfies the condition.
func eventually(t *testing.T, e *entry.Entry, condition func(entry.Status) bool) {
	t.Helper()
	for t.Context().Err() == nil {
		statuses, _ := admin.Statuses(t.Context(), []netip.AddrPort{e.AdminAddress()})
		if len(statuses) == 1 && condition(statuses[0]) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func ready(s entry.Status) bool { return s.Ready }

func call(t *testing.T, e *entry.Entry) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.Address().String()+"/", nil)
	must.NoError(t, err)
	r.Header.Set(proxy.HeaderService, "s")
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response
}

func TestEntryServesFromConfigurationToAnswer(t *testing.T) {
	s := newSite(t)
	e, _ := s.start("e1")
	eventually(t, e, ready)
	must.Eq(t, string(proxy.Done), call(t, e).Header.Get(proxy.HeaderOutcome))
}

// TestFreshEntryStartsWhileThePlatformIsDown gets configuration and zone record from a peer.
func TestFreshEntryStartsWhileThePlatformIsDown(t *testing.T) {
	s := newSite(t)
	old, _ := s.start("e1")
	eventually(t, old, ready)
	s.platform.SetFaults(stand.Faults{Down: true})
	fresh, _ := s.start("e2", old.PeerAddress())
	eventually(t, fresh, ready)
	must.Eq(t, string(proxy.Done), call(t, fresh).Header.Get(proxy.HeaderOutcome))
	must.Eq(t, string(proxy.Done), call(t, old).Header.Get(proxy.HeaderOutcome))
}

// TestAllEntriesReplacedDuringAnOutage plans and serves again after the platform's return.
func TestAllEntriesReplacedDuringAnOutage(t *testing.T) {
	s := newSite(t)
	old, kill := s.start("e1")
	eventually(t, old, ready)
	s.platform.SetFaults(stand.Faults{Down: true})
	kill()
	fresh, _ := s.start("e2")
	s.platform.SetFaults(stand.Faults{})
	eventually(t, fresh, func(st entry.Status) bool { return st.Ready && st.Planner })
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Leave l]\nInstances = i1\n"})...)
	eventually(t, fresh, func(st entry.Status) bool {
		return st.ZoneRecord.Find("i1").State == fleet.Returned || len(st.Held) > 0
	})
}

// TestSilentWatchIsNoticed lets the platform's watches deliver nothing.
func TestSilentWatchIsNoticed(t *testing.T) {
	s := newSite(t)
	e, _ := s.start("e1")
	eventually(t, e, ready)
	s.platform.SetFaults(stand.Faults{SilentWatch: true})
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Leave l]\nInstances = i0\n"})...)
	eventually(t, e, func(st entry.Status) bool {
		return st.ConfigRevision == 2 && st.ZoneRecord.Find("i0").State == fleet.Returned
	})
}

// TestRetirementUnderLostAnswers loses every second answer of the platform.
func TestRetirementUnderLostAnswers(t *testing.T) {
	s := newSite(t)
	e, _ := s.start("e1")
	eventually(t, e, ready)
	s.platform.SetFaults(stand.Faults{LoseAnswers: 0.5})
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Leave l]\nInstances = i0\n"})...)
	eventually(t, e, func(st entry.Status) bool { return st.ZoneRecord.Find("i0").State == fleet.Returned })
	statuses, _ := admin.Statuses(t.Context(), []netip.AddrPort{e.AdminAddress()})
	must.Eq(t, "p", statuses[0].ZoneRecord.Find("i1").Pool)
	must.Eq(t, 1, statuses[0].ZoneRecord.Moves)
}

// TestKilledSenderHoldsTheMark leaves the instance marked while a killed entry may still send.
func TestKilledSenderHoldsTheMark(t *testing.T) {
	s := newSite(t)
	e, _ := s.start("e1")
	eventually(t, e, ready)
	other, kill := s.start("e2")
	eventually(t, other, ready)
	eventually(t, e, func(st entry.Status) bool { return len(st.ZoneRecord.Senders) == 2 })
	planner := e
	statuses, _ := admin.Statuses(t.Context(), []netip.AddrPort{e.AdminAddress()})
	must.True(t, statuses[0].Planner)
	kill()
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Leave l]\nInstances = i0\n"})...)
	eventually(t, planner, func(st entry.Status) bool {
		return len(st.Held) == 1 && st.Held[0].Instance == "i0" && st.ZoneRecord.Find("i0").State == fleet.Leaving
	})
	events, _ := admin.Timeline(t.Context(), []netip.AddrPort{planner.AdminAddress()}, event.Filter{Instance: "i0"})
	must.Eq(t, event.InstanceHeld, events[len(events)-1].Kind)
	text := "[Leave l]\nInstances = i0\n[Deployment]\nGoneEntries = " + other.Sender().Incarnation + "\n"
	s.publish(s.files[0], config.File{Name: "20.ini", Text: text})
	eventually(t, planner, func(st entry.Status) bool { return st.ZoneRecord.Find("i0").State == fleet.Returned })
}

// TestGracefulStopCutsNothing stops an entry while its target still works.
func TestGracefulStopCutsNothing(t *testing.T) {
	s := newSite(t)
	hold, began := make(chan struct{}), make(chan struct{})
	s.target.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-hold
		_, _ = w.Write([]byte("whole"))
	})
	e, _ := s.start("e1")
	eventually(t, e, ready)
	var group errgroup.Group
	var outcome string
	group.Go(func() error {
		outcome = call(t, e).Header.Get(proxy.HeaderOutcome)
		return nil
	})
	<-began
	e.Stop()
	eventually(t, e, func(st entry.Status) bool { return !st.Ready })
	close(hold)
	must.NoError(t, group.Wait())
	must.Eq(t, string(proxy.Done), outcome)
}

// TestConfigurationNeverGoesBack shows an entry an older record than it holds.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := newSite(t)
	e, _ := s.start("e1")
	eventually(t, e, ready)
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Team t]\nQuota = 10%\n"})...)
	eventually(t, e, func(st entry.Status) bool { return st.ConfigRevision == 2 })
	events, _ := admin.Timeline(t.Context(), []netip.AddrPort{e.AdminAddress()}, event.Filter{})
	last := uint64(0)
	for _, x := range events {
		if x.Kind == event.ConfigInForce {
			must.Greater(t, last, x.Revision)
			last = x.Revision
		}
	}
}
