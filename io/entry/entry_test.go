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

// testDeployment is a platform stand-in, a target and the entries of one zone.
type testDeployment struct {
	t        *testing.T
	platform *stand.Platform
	address  netip.AddrPort
	target   *httptest.Server
	files    []config.File
	revision uint64
}

func newTestDeployment(t *testing.T) *testDeployment {
	s := &testDeployment{t: t, platform: &stand.Platform{}}
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

func (s *testDeployment) publish(files ...config.File) {
	s.t.Helper()
	accepted, err := admin.Publish(s.t.Context(), store.NewClient(s.platform), s.revision, files)
	must.NoError(s.t, err)
	s.files, s.revision = files, accepted.Revision
}

// start runs an entry and returns it with a function that kills it.
func (s *testDeployment) start(name string, peers ...netip.AddrPort) (*entry.Entry, func()) {
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

// waitForStatus waits until the entry's status satisfies the condition.
func waitForStatus(t *testing.T, e *entry.Entry, condition func(entry.Status) bool) {
	t.Helper()
	for t.Context().Err() == nil {
		statuses, _ := admin.Statuses(t.Context(), []netip.AddrPort{e.AdminAddress()})
		if len(statuses) == 1 && condition(statuses[0]) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func isReady(s entry.Status) bool { return s.Ready }

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

func TestEntryAnswersRequestOnceConfigured(t *testing.T) {
	s := newTestDeployment(t)
	e, _ := s.start("e1")
	waitForStatus(t, e, isReady)
	must.Eq(t, string(proxy.Done), call(t, e).Header.Get(proxy.HeaderOutcome))
}

// TestNewEntryStartsFromPeerDuringPlatformOutage guards against an entry that cannot start while the platform is
// unavailable, although a peer could send it the configuration and the zone record.
func TestNewEntryStartsFromPeerDuringPlatformOutage(t *testing.T) {
	s := newTestDeployment(t)
	old, _ := s.start("e1")
	waitForStatus(t, old, isReady)
	s.platform.SetFaults(stand.Faults{Down: true})
	started, _ := s.start("e2", old.PeerAddress())
	waitForStatus(t, started, isReady)
	must.Eq(t, string(proxy.Done), call(t, started).Header.Get(proxy.HeaderOutcome))
	must.Eq(t, string(proxy.Done), call(t, old).Header.Get(proxy.HeaderOutcome))
}

// TestPlanningResumesAfterAllEntriesReplacedDuringOutage guards against a zone that stays without a planner when all its
// entries were replaced while the platform was unavailable.
func TestPlanningResumesAfterAllEntriesReplacedDuringOutage(t *testing.T) {
	s := newTestDeployment(t)
	old, kill := s.start("e1")
	waitForStatus(t, old, isReady)
	s.platform.SetFaults(stand.Faults{Down: true})
	kill()
	started, _ := s.start("e2")
	s.platform.SetFaults(stand.Faults{})
	waitForStatus(t, started, func(st entry.Status) bool { return st.Ready && st.Planner })
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Leave l]\nInstances = i1\n"})...)
	waitForStatus(t, started, func(st entry.Status) bool {
		return st.ZoneRecord.Find("i1").State == fleet.Returned || len(st.Held) > 0
	})
}

// TestRecordsAreReadWhenWatchDeliversNothing guards against missed changes when the platform answers watches but
// delivers no records.
func TestRecordsAreReadWhenWatchDeliversNothing(t *testing.T) {
	s := newTestDeployment(t)
	e, _ := s.start("e1")
	waitForStatus(t, e, isReady)
	s.platform.SetFaults(stand.Faults{SilentWatch: true})
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Leave l]\nInstances = i0\n"})...)
	waitForStatus(t, e, func(st entry.Status) bool {
		return st.ConfigRevision == 2 && st.ZoneRecord.Find("i0").State == fleet.Returned
	})
}

// TestRetirementCompletesDespiteLostAnswers guards against a retirement that stalls or moves the spare instance twice
// when about half of the answers to writes are lost.
func TestRetirementCompletesDespiteLostAnswers(t *testing.T) {
	s := newTestDeployment(t)
	e, _ := s.start("e1")
	waitForStatus(t, e, isReady)
	s.platform.SetFaults(stand.Faults{LoseAnswers: 0.5})
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Leave l]\nInstances = i0\n"})...)
	waitForStatus(t, e, func(st entry.Status) bool { return st.ZoneRecord.Find("i0").State == fleet.Returned })
	statuses, _ := admin.Statuses(t.Context(), []netip.AddrPort{e.AdminAddress()})
	must.Eq(t, "p", statuses[0].ZoneRecord.Find("i1").Pool)
	must.Eq(t, 1, statuses[0].ZoneRecord.Moves)
}

// TestKilledSenderDelaysRetirement guards against the return of an instance to which a killed entry may still send: the
// instance stays in state Leaving until an operator lists the entry in GoneEntries.
func TestKilledSenderDelaysRetirement(t *testing.T) {
	s := newTestDeployment(t)
	e, _ := s.start("e1")
	waitForStatus(t, e, isReady)
	other, kill := s.start("e2")
	waitForStatus(t, other, isReady)
	waitForStatus(t, e, func(st entry.Status) bool { return len(st.ZoneRecord.Senders) == 2 })
	planner := e
	statuses, _ := admin.Statuses(t.Context(), []netip.AddrPort{e.AdminAddress()})
	must.True(t, statuses[0].Planner)
	kill()
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Leave l]\nInstances = i0\n"})...)
	waitForStatus(t, planner, func(st entry.Status) bool {
		return len(st.Held) == 1 && st.Held[0].Instance == "i0" && st.ZoneRecord.Find("i0").State == fleet.Leaving
	})
	events, _ := admin.Timeline(t.Context(), []netip.AddrPort{planner.AdminAddress()}, event.Filter{Instance: "i0"})
	must.Eq(t, event.InstanceHeld, events[len(events)-1].Kind)
	text := "[Leave l]\nInstances = i0\n[Deployment]\nGoneEntries = " + other.Sender().Incarnation + "\n"
	s.publish(s.files[0], config.File{Name: "20.ini", Text: text})
	waitForStatus(t, planner, func(st entry.Status) bool { return st.ZoneRecord.Find("i0").State == fleet.Returned })
}

// TestGracefulStopFinishesRequestsInFlight guards against a graceful stop that ends a request while its target is still
// processing it.
func TestGracefulStopFinishesRequestsInFlight(t *testing.T) {
	s := newTestDeployment(t)
	release, began := make(chan struct{}), make(chan struct{})
	s.target.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-release
		_, _ = w.Write([]byte("whole"))
	})
	e, _ := s.start("e1")
	waitForStatus(t, e, isReady)
	var group errgroup.Group
	var outcome string
	group.Go(func() error {
		outcome = call(t, e).Header.Get(proxy.HeaderOutcome)
		return nil
	})
	<-began
	e.Stop()
	waitForStatus(t, e, func(st entry.Status) bool { return !st.Ready })
	close(release)
	must.NoError(t, group.Wait())
	must.Eq(t, string(proxy.Done), outcome)
}

// TestConfigurationRevisionNeverDecreases checks that each configuration revision in force is higher than the one before.
func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	s := newTestDeployment(t)
	e, _ := s.start("e1")
	waitForStatus(t, e, isReady)
	s.publish(append(s.files, config.File{Name: "20.ini", Text: "[Team t]\nQuota = 10%\n"})...)
	waitForStatus(t, e, func(st entry.Status) bool { return st.ConfigRevision == 2 })
	events, _ := admin.Timeline(t.Context(), []netip.AddrPort{e.AdminAddress()}, event.Filter{})
	last := uint64(0)
	for _, x := range events {
		if x.Kind == event.ConfigInForce {
			must.Greater(t, last, x.Revision)
			last = x.Revision
		}
	}
}
