package scale

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/config"
	"daisysaddle/io/admin"
	"daisysaddle/io/entry"
	"daisysaddle/io/proxy"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

var loopback = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0)

const (
	peerSecret   = "loopback scale secret"
	settlePeriod = 2 * time.Second // wait before an idle deployment is measured
	idlePeriod   = 4 * time.Second // length of that measurement
	readyTimeout = 20 * time.Second
)

// deployment is a platform stand-in and entries, without targets or callers.
type deployment struct {
	platform *stand.Platform
	address  netip.AddrPort
	server   *http.Server
	entries  []*entry.Entry
	group    errgroup.Group
	cancel   context.CancelFunc
}

// start starts a platform stand-in and the given number of entries, spread over the zones, and waits until all are ready;
// after readyTimeout it returns an error.
func start(ctx context.Context, files []config.File, entries int) (*deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &deployment{platform: &stand.Platform{}, cancel: cancel}
	listener, err := net.Listen("tcp", loopback.String())
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "listen")
	}
	d.address = listener.Addr().(*net.TCPAddr).AddrPort()
	d.server = &http.Server{Handler: d.platform.Handler(), ReadHeaderTimeout: time.Minute}
	d.group.Go(func() error {
		if err := d.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	accepted, err := admin.Publish(ctx, store.NewClient(store.NewHTTP(d.address)), 0, files)
	if err != nil {
		return nil, errors.CombineErrors(err, d.stop())
	}
	c, _ := config.Parse(accepted.Files, accepted.Revision)
	for i := range entries {
		s := entry.Settings{
			Name: fmt.Sprintf("entry%d", i), Deployment: c.Deployment.Name, Zone: c.Zones[i%len(c.Zones)].Name, Listen: loopback, PeerListen: loopback, Admin: loopback,
			Platform: d.address, Backend: "Http", Secret: peerSecret,
		}
		e, err := entry.New(s, zerolog.Nop())
		if err != nil {
			return nil, errors.CombineErrors(err, d.stop())
		}
		d.entries = append(d.entries, e)
		d.group.Go(func() error { return e.Run(ctx) })
	}
	return d, d.awaitReady(ctx)
}

func (d *deployment) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		ready := 0
		statuses, _ := admin.Statuses(ctx, d.adminAddresses())
		for _, s := range statuses {
			if s.Ready {
				ready++
			}
		}
		if ready == len(d.entries) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.CombineErrors(errors.New("entries did not become ready"), d.stop())
}

func (d *deployment) adminAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, len(d.entries))
	for i, e := range d.entries {
		addresses[i] = e.AdminAddress()
	}
	return addresses
}

func (d *deployment) stop() error {
	d.cancel()
	return errors.CombineErrors(d.server.Close(), d.group.Wait())
}

// processorTime returns the user and system time of this process, or 0 when the system call fails.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// idleCost is the cost of a deployment that serves no requests.
type idleCost struct {
	platformCalls    float64 // per second, by all entries
	processorPercent float64 // percent of one core per entry, including its share of the platform stand-in
}

func measureIdleCost(ctx context.Context, instances, entries int) (idleCost, error) {
	d, err := start(ctx, configFiles(instances), entries)
	if err != nil {
		return idleCost{}, err
	}
	time.Sleep(settlePeriod)
	callsBefore, processorBefore, began := totalCalls(d.platform.Calls()), processorTime(), time.Now()
	time.Sleep(idlePeriod)
	seconds := time.Since(began).Seconds()
	r := idleCost{
		platformCalls:    float64(totalCalls(d.platform.Calls())-callsBefore) / seconds,
		processorPercent: (processorTime() - processorBefore).Seconds() / seconds * 100 / float64(entries),
	}
	return r, d.stop()
}

func totalCalls(calls map[string]int) int {
	sum := 0
	for _, n := range calls {
		sum += n
	}
	return sum
}

// MeasureEntries measures the costs that need running entries, including HopCost, and calls report with each result.
func MeasureEntries(ctx context.Context, report func(fmt.Stringer)) error {
	idleCosts := make(map[int]idleCost)
	measureIdle := func(pick func(idleCost) float64) func(int) (float64, error) {
		return func(entries int) (float64, error) {
			if r, measured := idleCosts[entries]; measured {
				return pick(r), nil
			}
			r, err := measureIdleCost(ctx, designInstances, entries)
			idleCosts[entries] = r
			return pick(r), err
		}
	}
	sizes := []int{5, 7, 10, 15}
	calls, err := measureFit("PlatformCalls", "calls/s", "Entries", designEntries, sizes, measureIdle(func(r idleCost) float64 { return r.platformCalls }))
	if err != nil {
		return err
	}
	report(calls)
	processor, err := measureFit("IdleProcessor", "percent", "Entries", designEntries, sizes, measureIdle(func(r idleCost) float64 { return r.processorPercent }))
	if err != nil {
		return err
	}
	report(processor)
	hop, err := MeasureHop(ctx)
	report(hop)
	return err
}

// HopCost compares calls through an entry with direct calls to the target.
type HopCost struct {
	DirectP50, ThroughP50   time.Duration // median latency
	DirectP99, ThroughP99   time.Duration
	DirectRate, ThroughRate float64 // requests per second with hopCallers concurrent callers
	Allocations             float64 // heap allocations per request that the entry adds
	AllocationsAtDesign     float64 // the same with a configuration of the design size
}

// String returns the costs as key=value pairs.
func (h HopCost) String() string {
	return fmt.Sprintf("Quantity=HopCost DirectP50=%s ThroughP50=%s AddedP50=%s DirectP99=%s ThroughP99=%s AddedP99=%s DirectRate=%.0f ThroughRate=%.0f Ratio=%.2f Allocations=%.0f AllocationsAtDesign=%.0f",
		h.DirectP50, h.ThroughP50, h.ThroughP50-h.DirectP50, h.DirectP99, h.ThroughP99, h.ThroughP99-h.DirectP99, h.DirectRate, h.ThroughRate, h.ThroughRate/h.DirectRate, h.Allocations, h.AllocationsAtDesign)
}

const (
	hopCalls   = 4000 // per caller
	hopCallers = 8
)

// MeasureHop measures what the network hop through an entry adds to a request, on loopback.
func MeasureHop(ctx context.Context) (HopCost, error) {
	var cost HopCost
	target, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return cost, errors.Wrap(err, "listen")
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	var group errgroup.Group
	group.Go(func() error { _ = server.Serve(target); return nil })
	hopFile := config.File{Name: "20-hop.ini", Text: "[Service s]\n[Pool p]\nService = s\n[Instance i]\nAddress = " + target.Addr().String() + "\nZone = zone0\nRack = r\nPool = p\nSlots = 64\n"}
	deploymentFile := config.File{Name: "10.ini", Text: "[Deployment]\nName = scale\n[Zone zone0]\nRegion = r\n"}
	direct := "http://" + target.Addr().String()
	cost.DirectP50, cost.DirectP99, cost.DirectRate = measureCalls(direct)
	base := allocationsPerCall(direct)
	err = withEntry(ctx, []config.File{deploymentFile, hopFile}, func(address string) {
		cost.ThroughP50, cost.ThroughP99, cost.ThroughRate = measureCalls(address)
		cost.Allocations = allocationsPerCall(address) - base
	})
	if err == nil {
		err = withEntry(ctx, append(configFiles(designInstances), hopFile), func(address string) {
			cost.AllocationsAtDesign = allocationsPerCall(address) - base
		})
	}
	err = errors.CombineErrors(err, server.Close())
	return cost, errors.CombineErrors(err, group.Wait())
}

// withEntry starts one entry with the given configuration and calls measure with its URL.
func withEntry(ctx context.Context, files []config.File, measure func(address string)) error {
	d, err := start(ctx, files, 1)
	if err != nil {
		return err
	}
	measure("http://" + d.entries[0].Address().String())
	return d.stop()
}

// allocationsPerCall returns the mean number of heap allocations per request in the whole process,
// including those of the caller and the target.
func allocationsPerCall(address string) float64 {
	call := newCaller(address)
	for range hopCalls / 4 {
		call()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range hopCalls {
		call()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / hopCalls
}

// measureCalls returns latency quantiles with one caller, and the rate in requests per second with hopCallers concurrent callers.
func measureCalls(address string) (p50, p99 time.Duration, rate float64) {
	call := newCaller(address)
	for range hopCalls / 4 {
		call()
	}
	latencies := make([]time.Duration, hopCalls)
	for i := range latencies {
		latencies[i] = call()
	}
	slices.Sort(latencies)
	var wait sync.WaitGroup
	began := time.Now()
	for range hopCallers {
		wait.Go(func() {
			for range hopCalls {
				call()
			}
		})
	}
	wait.Wait()
	rate = hopCalls * hopCallers / time.Since(began).Seconds()
	return latencies[len(latencies)/2], latencies[len(latencies)*99/100], rate
}

// newCaller returns a function that makes one call and returns its latency, or math.MaxInt64 when the call fails.
func newCaller(address string) func() time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: hopCallers}}
	return func() time.Duration {
		request, err := http.NewRequest(http.MethodGet, address+"/x", strings.NewReader(""))
		if err != nil {
			return math.MaxInt64
		}
		request.Header.Set(proxy.HeaderService, "s")
		before := time.Now()
		response, err := client.Do(request)
		if err != nil {
			return math.MaxInt64
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return time.Since(before)
	}
}
