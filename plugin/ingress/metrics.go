package ingress

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/metriclabel"
)

// noneLabel is the label value for requests without a known organisation.
const noneLabel = "none"

type metrics struct {
	duration *prometheus.HistogramVec
	requests *prometheus.CounterVec
	shed     *prometheus.CounterVec
	queried  *prometheus.CounterVec

	organisations *metriclabel.Set
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "mangomast_ingress_request_duration_seconds",
			Help:    "Time from a caller's request to its whole answer, by organisation and importance.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"organisation", "importance"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_ingress_requests_total",
			Help: "Callers' requests, by organisation, outcome and reason.",
		}, []string{"organisation", "outcome", "reason"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_ingress_shed_total",
			Help: "Requests refused because a service in the route's call graph would refuse them, by that service and importance.",
		}, []string{"service", "importance"}),
		queried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_ingress_level_questions_total",
			Help: "Questions to other VMs for what a route's services accept, by result (answered, nothing).",
		}, []string{"result"}),
		organisations: metriclabel.NewSet(metriclabel.MaxOrganisations),
	}
	registerer.MustRegister(m.duration, m.requests, m.shed, m.queried)
	return m
}

// label returns the organisation's label value and limits the number of
// organisations with series of their own.
func (m *metrics) label(organisation string) string {
	if organisation == "" {
		return noneLabel
	}
	return m.organisations.Label(organisation)
}

func (m *metrics) observe(req *request, reply *call.Reply, elapsed time.Duration) {
	organisation := m.label(req.head.Organisation)
	m.requests.WithLabelValues(organisation, reply.Outcome.String(), reply.Code.String()).Inc()
	if reply.Outcome == call.Answered {
		importance := strconv.Itoa(int(req.head.Importance))
		m.duration.WithLabelValues(organisation, importance).Observe(elapsed.Seconds())
	}
}
