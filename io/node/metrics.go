package node

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"daisysaddle/core/sched"
)

// metrics holds the counters and latency histograms of one entry.
type metrics struct {
	registry     *prometheus.Registry
	submits      *prometheus.CounterVec
	decisions    *prometheus.CounterVec
	orders       *prometheus.HistogramVec
	store        *prometheus.HistogramVec
	requests     *prometheus.HistogramVec
	intake       *prometheus.HistogramVec
	advice       *prometheus.HistogramVec
	advised      prometheus.Counter
	copies       *prometheus.CounterVec
	guarded      *prometheus.CounterVec
	taskCopies   *prometheus.CounterVec
	droppedLines prometheus.Counter
	panics       prometheus.Counter
}

const (
	firstBucketSeconds = 0.001
	bucketFactor       = 3
	bucketCount        = 8
)

func newMetrics() *metrics {
	m := &metrics{
		registry:  prometheus.NewRegistry(),
		submits:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisysaddle_submits_total", Help: "Submitted jobs by outcome and client account."}, []string{"outcome", "reason", "account"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisysaddle_decisions_total", Help: "Decisions of the owner by kind."}, []string{"what"}),
		orders: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisysaddle_order_seconds", Help: "Time until an order was answered.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
		}, []string{"order", "answer"}),
		store: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisysaddle_store_seconds", Help: "Time of calls to the platform's store.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
		}, []string{"call", "ok"}),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisysaddle_request_seconds", Help: "Time of callers' requests.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
		}, []string{"method", "status"}),
		intake: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisysaddle_intake_seconds", Help: "Time from the arrival of a stored job's name, or of a stored cancellation, until the owner applied it.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
		}, []string{"kind"}),
		advice: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisysaddle_advice_seconds", Help: "Time of requests to the placement advisor.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
		}, []string{"ok"}),
		advised:      prometheus.NewCounter(prometheus.CounterOpts{Name: "daisysaddle_advice_workers_total", Help: "Workers named in requests to the placement advisor."}),
		copies:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisysaddle_order_copies_total", Help: "Orders that were sent again because their answer was overdue."}, []string{"order"}),
		taskCopies:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisysaddle_task_copies_total", Help: "Second runs of tasks of speculative steps: started, ended first (won) or second (lost)."}, []string{"what", "queue", "reason"}),
		guarded:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisysaddle_guard_total", Help: "Connections, requests and reads that were closed or refused for lack of memory or descriptors, by port and kind."}, []string{"port", "kind"}),
		droppedLines: prometheus.NewCounter(prometheus.CounterOpts{Name: "daisysaddle_log_lines_dropped_total", Help: "Log lines that were dropped to keep their volume bounded."}),
	}
	m.panics = prometheus.NewCounter(prometheus.CounterOpts{Name: "daisysaddle_panics_total", Help: "Panics that were caught; it must be zero."})
	m.registry.MustRegister(m.submits, m.decisions, m.orders, m.store, m.requests, m.intake, m.advice, m.advised, m.copies, m.taskCopies, m.guarded, m.droppedLines, m.panics)
	return m
}

// countSubmit counts the verdict on a submitted job.
func (m *metrics) countSubmit(j sched.Job, v Verdict) {
	m.submits.WithLabelValues(string(v.Outcome), v.Reason, j.Account).Inc()
}

// observeOrder records the time until an order was answered or given up.
func (m *metrics) observeOrder(kind string, a sched.Answer, d time.Duration) {
	m.orders.WithLabelValues(kind, string(a)).Observe(d.Seconds())
}

// observeAdvice records a request to the placement advisor.
func (m *metrics) observeAdvice(workers int, d time.Duration, err error) {
	m.advice.WithLabelValues(strconv.FormatBool(err == nil)).Observe(d.Seconds())
	m.advised.Add(float64(workers))
}

// MetricsHandler returns the handler that serves the entry's metrics to Prometheus, and the owner's reports to operators.
func (n *Node) MetricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+accountsPath, n.serveReport)
	mux.HandleFunc("GET "+whyPath, n.serveReport)
	return mux
}

// observeStoreCall records a call to the key-value store.
func (m *metrics) observeStoreCall(kind string, d time.Duration, err error) {
	m.store.WithLabelValues(kind, strconv.FormatBool(err == nil)).Observe(d.Seconds())
}

// countStoreCalls returns the number of calls to the store since the start, by kind.
func (m *metrics) countStoreCalls() map[string]uint64 {
	counts := make(map[string]uint64)
	families, err := m.registry.Gather()
	if err != nil {
		return counts // log no incomplete counts
	}
	for _, f := range families {
		if f.GetName() != "daisysaddle_store_seconds" {
			continue
		}
		for _, metric := range f.GetMetric() {
			counts[metric.GetLabel()[0].GetValue()] += metric.GetHistogram().GetSampleCount()
		}
	}
	return counts
}
