package node

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"daisysaddle/core/sched"
)

// metrics are the counters and latency histograms of one entry.
type metrics struct {
	registry  *prometheus.Registry
	accepts   *prometheus.CounterVec
	decisions *prometheus.CounterVec
	orders    *prometheus.HistogramVec
}

const (
	firstBucket  = 0.001
	bucketFactor = 3
	buckets      = 8
)

func newMetrics() *metrics {
	m := &metrics{
		registry:  prometheus.NewRegistry(),
		accepts:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisysaddle_submits_total", Help: "Submitted jobs by outcome."}, []string{"outcome", "reason"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "daisysaddle_decisions_total", Help: "Decisions of the owner by kind."}, []string{"what"}),
		orders: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisysaddle_order_seconds", Help: "Time until an order was answered.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, buckets),
		}, []string{"order", "answer"}),
	}
	m.registry.MustRegister(m.accepts, m.decisions, m.orders)
	return m
}

func (m *metrics) order(kind string, a sched.Answer, d time.Duration) {
	m.orders.WithLabelValues(kind, string(a)).Observe(d.Seconds())
}

// MetricsHandler serves the entry's metrics.
func (n *Node) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{})
}
