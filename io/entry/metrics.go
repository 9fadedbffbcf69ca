package entry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"daisysaddle/core/fleet"
	"daisysaddle/core/plan"
	"daisysaddle/io/proxy"
)

// metrics is a Prometheus collector that reads an entry's counters and state on each scrape.
type metrics struct {
	entry    *Entry
	registry *prometheus.Registry
}

var (
	requestsDesc       = prometheus.NewDesc("daisysaddle_requests_total", "Requests by service and outcome.", []string{"service", "outcome"}, nil)
	retriesDesc        = prometheus.NewDesc("daisysaddle_retries_total", "Attempts after the first by service.", []string{"service"}, nil)
	refusalsDesc       = prometheus.NewDesc("daisysaddle_target_refusals_total", "Attempts that a target refused for want of a slot.", []string{"service"}, nil)
	ejectionsDesc      = prometheus.NewDesc("daisysaddle_ejections_total", "Targets ejected by service.", []string{"service"}, nil)
	silentDesc         = prometheus.NewDesc("daisysaddle_silent_connections_total", "Connections given up as silent.", []string{"service"}, nil)
	spillsDesc         = prometheus.NewDesc("daisysaddle_spills_total", "Requests forwarded to another zone.", []string{"service"}, nil)
	duplicatesDesc     = prometheus.NewDesc("daisysaddle_duplicate_ids_total", "Attempts not run because their request id was known.", []string{"service"}, nil)
	configRevisionDesc = prometheus.NewDesc("daisysaddle_config_revision", "Configuration revision in force.", nil, nil)
	zoneRevisionDesc   = prometheus.NewDesc("daisysaddle_zone_revision", "Revision of the own zone's record in force.", nil, nil)
	instancesDesc      = prometheus.NewDesc("daisysaddle_instances", "Instances of the zone by pool and state.", []string{"pool", "state"}, nil)
	overAllowanceDesc  = prometheus.NewDesc("daisysaddle_pool_missing_over_allowance", "Instances missing beyond the zone's allowance; must be zero but for unplanned failures.", []string{"pool"}, nil)
	sparesDesc         = prometheus.NewDesc("daisysaddle_spare_instances", "Instances of the zone held in spare pools (buffer cost).", nil, nil)
	movesDesc          = prometheus.NewDesc("daisysaddle_moves_total", "Instances of the zone that changed pool.", nil, nil)
	oldestLeaveDesc    = prometheus.NewDesc("daisysaddle_oldest_leave_seconds", "Age of the oldest retirement or move that is not complete (roll-out time).", nil, nil)
	readyDesc          = prometheus.NewDesc("daisysaddle_ready", "1 when callers may send requests.", nil, nil)
	platformUpDesc     = prometheus.NewDesc("daisysaddle_platform_up", "1 when the platform answers.", nil, nil)
	droppedDesc        = prometheus.NewDesc("daisysaddle_dropped_messages_total", "Messages dropped because a queue was full.", []string{"queue"}, nil)
	requestIDsDesc     = prometheus.NewDesc("daisysaddle_remembered_ids", "Request ids remembered by this entry.", nil, nil)
)

func newMetrics(e *Entry) *metrics {
	m := &metrics{entry: e, registry: prometheus.NewRegistry()}
	m.registry.MustRegister(m, e.guarded, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Describe sends no descriptors, so that the registry accepts metrics whose label values depend on the configuration.
func (m *metrics) Describe(chan<- *prometheus.Desc) {}

// Collect sends the traffic counters and the control state as metrics.
func (m *metrics) Collect(out chan<- prometheus.Metric) {
	for service, c := range m.entry.proxy.Counters() {
		counter := func(d *prometheus.Desc, value uint64, labels ...string) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), append([]string{service}, labels...)...)
		}
		counter(requestsDesc, c.Done, string(proxy.Done))
		counter(requestsDesc, c.NotRun, string(proxy.NotRun))
		counter(requestsDesc, c.Unknown, string(proxy.Unknown))
		counter(retriesDesc, c.Retries)
		counter(refusalsDesc, c.Refusals)
		counter(ejectionsDesc, c.Ejections)
		counter(silentDesc, c.Silent)
		counter(spillsDesc, c.Spills)
		counter(duplicatesDesc, c.Duplicates)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	m.entry.control.do(ctx, func() { m.collectControlState(out, time.Now()) })
	gauge(out, requestIDsDesc, float64(m.entry.proxy.RememberedIDs()))
	out <- prometheus.MustNewConstMetric(droppedDesc, prometheus.CounterValue, float64(m.entry.mesh.DroppedFrames()), "Peer")
	out <- prometheus.MustNewConstMetric(droppedDesc, prometheus.CounterValue, float64(m.entry.control.droppedEvents.Load()), "Event")
}

func gauge(out chan<- prometheus.Metric, d *prometheus.Desc, value float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// collectControlState sends the metrics of the control state; it runs on the control goroutine.
func (m *metrics) collectControlState(out chan<- prometheus.Metric, now time.Time) {
	c := m.entry.control
	own := c.zones[m.entry.settings.Zone].zone
	gauge(out, readyDesc, boolValue(c.ready()))
	gauge(out, platformUpDesc, boolValue(c.platformUp))
	gauge(out, zoneRevisionDesc, float64(own.Revision))
	out <- prometheus.MustNewConstMetric(movesDesc, prometheus.CounterValue, float64(own.Moves))
	if c.config == nil {
		return
	}
	gauge(out, configRevisionDesc, float64(c.config.Revision))
	m.collectInstances(out, own, now)
	targets, available := fleet.Targets(c.config, own.Name), own.Available()
	for _, a := range own.Allowances {
		over := targets[a.Pool] - available[a.Pool] - a.Granted
		gauge(out, overAllowanceDesc, float64(max(0, over)), a.Pool)
	}
}

func (m *metrics) collectInstances(out chan<- prometheus.Metric, own fleet.Zone, now time.Time) {
	type group struct{ pool, state string }
	counts := make(map[group]int)
	spares := 0
	var oldestDrain time.Duration
	for _, i := range own.Instances {
		counts[group{i.Pool, string(i.State)}]++
		if p, found := m.entry.control.config.FindPool(i.Pool); found && p.Spare && i.State.AcceptsWork() {
			spares++
		}
		if i.State.Draining() {
			oldestDrain = max(oldestDrain, now.Sub(i.Since))
		}
	}
	for g, n := range counts {
		gauge(out, instancesDesc, float64(n), g.pool, g.state)
	}
	gauge(out, sparesDesc, float64(spares))
	gauge(out, oldestLeaveDesc, oldestDrain.Seconds())
}

// Status is an entry's status, as the admin interface serves it.
type Status struct {
	Entry          string
	Incarnation    string
	Zone           string
	Ready          bool
	PlatformUp     bool
	Planner        bool
	ConfigRevision uint64
	ZoneRecord     fleet.Zone
	Held           []plan.Held // actions that a rule of the planner holds back
	Peers          []PeerStatus
	Services       map[string]proxy.Counters
	InFlight       map[string]int // requests in flight by instance, for instances that accept no new work
}

// PeerStatus is the status of another entry, as last reported to this one.
type PeerStatus struct {
	Entry          string
	Zone           string
	Linked         bool
	Age            time.Duration // time since the last status message or the start of the link
	ConfigRevision uint64
}
