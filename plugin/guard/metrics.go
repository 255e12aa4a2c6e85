package guard

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
)

type metrics struct {
	queueWait prometheus.Histogram
	upstream  prometheus.Histogram
	refused   *prometheus.CounterVec
	// health counts questions about the upstream's health.
	health *prometheus.CounterVec
	cold   prometheus.Gauge
	// crashes counts the crashes of the upstream that the node noticed.
	crashes prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, load func() call.Load) *metrics {
	m := &metrics{
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mangomast_guard_wait_seconds", Help: "Time in the queue of requests that ran.", Buckets: prometheus.ExponentialBuckets(0.001, 4, 7),
		}),
		upstream: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mangomast_guard_upstream_seconds", Help: "Time from a request to the head of the upstream's answer.", Buckets: prometheus.ExponentialBuckets(0.004, 3, 8),
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_guard_refused_total", Help: "Requests that were not run, by reason.",
		}, []string{"reason"}),
		health: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_guard_health_questions_total", Help: "Questions about the upstream's health, by what the answer tells.",
		}, []string{"answer"}),
		cold: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mangomast_guard_cold_seconds", Help: "How much longer the local upstream stays cold, as last learned.",
		}),
	}
	m.crashes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "mangomast_guard_upstream_crashes_total", Help: "Crashes of the local upstream while requests ran.",
	})
	registerer.MustRegister(m.queueWait, m.upstream, m.refused, m.health, m.cold, m.crashes,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "mangomast_guard_running", Help: "Requests that run on the local upstream."},
			func() float64 { return float64(load().Running) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "mangomast_guard_queued", Help: "Requests that wait for the local upstream."},
			func() float64 { return float64(load().Queued) }),
	)
	return m
}
