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
	secret       = "loopback scale secret"
	settlePeriod = 2 * time.Second
	idlePeriod   = 4 * time.Second
	readyTimeout = 20 * time.Second
)

// deployment is a platform stand-in with entries and nothing else.
type deployment struct {
	platform *stand.Platform
	address  netip.AddrPort
	server   *http.Server
	entries  []*entry.Entry
	group    errgroup.Group
	cancel   context.CancelFunc
}

// start brings up entries spread over the zones of the configuration.
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
			Platform: d.address, Backend: "Http", Secret: secret,
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

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// idle is what a resting deployment uses.
type idle struct {
	calls     float64 // platform calls a second
	processor float64 // percent of a core for each entry, with its share of the stand-in
}

func restingCost(ctx context.Context, instances, entries int) (idle, error) {
	d, err := start(ctx, files(instances), entries)
	if err != nil {
		return idle{}, err
	}
	time.Sleep(settlePeriod)
	callsBefore, usedBefore, began := total(d.platform.Calls()), processor(), time.Now()
	time.Sleep(idlePeriod)
	seconds := time.Since(began).Seconds()
	r := idle{
		calls:     float64(total(d.platform.Calls())-callsBefore) / seconds,
		processor: (processor() - usedBefore).Seconds() / seconds * 100 / float64(entries),
	}
	return r, d.stop()
}

func total(calls map[string]int) int {
	sum := 0
	for _, n := range calls {
		sum += n
	}
	return sum
}

// Processes measures the costs that need running entries, and the cost of the hop.
func Processes(ctx context.Context, report func(fmt.Stringer)) error {
	byEntries := make(map[int]idle)
	resting := func(pick func(idle) float64) func(int) (float64, error) {
		return func(entries int) (float64, error) {
			if r, known := byEntries[entries]; known {
				return pick(r), nil
			}
			r, err := restingCost(ctx, designInstances, entries)
			byEntries[entries] = r
			return pick(r), err
		}
	}
	sizes := []int{5, 7, 10, 15}
	calls, err := fit("PlatformCalls", "calls/s", "Entries", designEntries, sizes, resting(func(r idle) float64 { return r.calls }))
	if err != nil {
		return err
	}
	report(calls)
	used, err := fit("IdleProcessor", "percent", "Entries", designEntries, sizes, resting(func(r idle) float64 { return r.processor }))
	if err != nil {
		return err
	}
	report(used)
	hop, err := Hop(ctx)
	report(hop)
	return err
}

// HopCost compares calls through an entry with calls to the target itself.
type HopCost struct {
	Direct, Through         time.Duration // median
	Direct99, Through99     time.Duration
	DirectRate, ThroughRate float64 // requests per second with parallel callers
	Allocations             float64 // added to a request by the entry
	AllocationsLarge        float64 // the same with the configuration of the size designed for
}

// String formats the cost as key=value pairs.
func (h HopCost) String() string {
	return fmt.Sprintf("Quantity=HopCost DirectP50=%s ThroughP50=%s AddedP50=%s DirectP99=%s ThroughP99=%s AddedP99=%s DirectRate=%.0f ThroughRate=%.0f Ratio=%.2f Allocations=%.0f AllocationsAtDesign=%.0f",
		h.Direct, h.Through, h.Through-h.Direct, h.Direct99, h.Through99, h.Through99-h.Direct99, h.DirectRate, h.ThroughRate, h.ThroughRate/h.DirectRate, h.Allocations, h.AllocationsLarge)
}

const (
	hopCalls    = 4000
	hopParallel = 8
)

// Hop measures the cost of the hop through an entry on loopback.
func Hop(ctx context.Context) (HopCost, error) {
	var cost HopCost
	target, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return cost, errors.Wrap(err, "listen")
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	var group errgroup.Group
	group.Go(func() error { _ = server.Serve(target); return nil })
	alone := config.File{Name: "20-hop.ini", Text: "[Service s]\n[Pool p]\nService = s\n[Instance i]\nAddress = " + target.Addr().String() + "\nZone = zone0\nRack = r\nPool = p\nSlots = 64\n"}
	small := config.File{Name: "10.ini", Text: "[Deployment]\nName = scale\n[Zone zone0]\nRegion = r\n"}
	direct := "http://" + target.Addr().String()
	cost.Direct, cost.Direct99, cost.DirectRate = drive(direct)
	base := allocations(direct)
	err = throughEntry(ctx, []config.File{small, alone}, func(address string) {
		cost.Through, cost.Through99, cost.ThroughRate = drive(address)
		cost.Allocations = allocations(address) - base
	})
	if err == nil {
		err = throughEntry(ctx, append(files(designInstances), alone), func(address string) {
			cost.AllocationsLarge = allocations(address) - base
		})
	}
	err = errors.CombineErrors(err, server.Close())
	return cost, errors.CombineErrors(err, group.Wait())
}

// throughEntry runs measure against one entry with the given configuration.
func throughEntry(ctx context.Context, files []config.File, measure func(address string)) error {
	d, err := start(ctx, files, 1)
	if err != nil {
		return err
	}
	measure("http://" + d.entries[0].Address().String())
	return d.stop()
}

// allocations returns the heap allocations of the whole process for one request, callers and target included.
func allocations(address string) float64 {
	call := caller(address)
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

// drive measures latency with one caller and rate with several.
func drive(address string) (p50, p99 time.Duration, rate float64) {
	call := caller(address)
	for range hopCalls / 4 {
		call()
	}
	took := make([]time.Duration, hopCalls)
	for i := range took {
		took[i] = call()
	}
	slices.Sort(took)
	var wait sync.WaitGroup
	began := time.Now()
	for range hopParallel {
		wait.Go(func() {
			for range hopCalls {
				call()
			}
		})
	}
	wait.Wait()
	rate = hopCalls * hopParallel / time.Since(began).Seconds()
	return took[len(took)/2], took[len(took)*99/100], rate
}

// caller returns a function that makes one call and returns how long it took.
func caller(address string) func() time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: hopParallel}}
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
