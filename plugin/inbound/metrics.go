package inbound

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
)

type metrics struct {
	wait *prometheus.HistogramVec
	shed *prometheus.CounterVec
}

// newMetrics registers the module's metrics; load returns the current load.
func newMetrics(registerer prometheus.Registerer, load func() call.Load) *metrics {
	m := &metrics{
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "mangomast_inbound_queue_wait_seconds",
			Help:    "Time that requests waited before they ran, by importance.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"importance"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_inbound_shed_total",
			Help: "Requests refused before they ran, by importance and reason.",
		}, []string{"importance", "reason"}),
	}
	gauge := func(name, help string, value func(call.Load) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			return float64(value(load()))
		})
	}
	registerer.MustRegister(m.wait, m.shed,
		gauge("mangomast_inbound_queue_length", "Requests that wait for the upstream.", func(l call.Load) int { return l.Queued }),
		gauge("mangomast_inbound_running", "Requests that run on the upstream.", func(l call.Load) int { return l.Running }),
		gauge("mangomast_inbound_concurrency_limit", "Requests that may run at once.", func(l call.Load) int { return l.Limit }),
	)
	return m
}

func (m *metrics) observeWait(head *call.Head, wait time.Duration) {
	m.wait.WithLabelValues(strconv.Itoa(int(head.Importance))).Observe(wait.Seconds())
}

func (m *metrics) countRefused(head *call.Head, code call.Code) {
	m.shed.WithLabelValues(strconv.Itoa(int(head.Importance)), code.String()).Inc()
}
