package entry

import (
	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/httpcall"
	"github.com/mangomast/mangomast/internal/metriclabel"
)

type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	labels   *metriclabel.Set
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_entry_requests_total", Help: "Requests that entered here, by route, outcome and reason.",
		}, []string{"route", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mangomast_entry_seconds", Help: "Time to the end of the answer, by organisation.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2.5, 7),
		}, []string{"organisation"}),
		labels: metriclabel.NewSet(metriclabel.MaxOrganisations),
	}
	registerer.MustRegister(m.requests, m.latency)
	return m
}

// record counts the request in the metrics and logs its outcome and reason.
func (m *Module) record(req *request, reply *call.Reply) {
	took := m.clock.Since(req.started)
	m.metrics.requests.WithLabelValues(m.metrics.labels.Label(req.head.Route), reply.Outcome.String(), reply.Code.String()).Inc()
	m.metrics.latency.WithLabelValues(m.metrics.labels.Label(req.head.Organisation)).Observe(took.Seconds())
	version := int64(0)
	if req.snapshot != nil {
		version = req.snapshot.Revision
	}
	fields := log.Fields{
		"request_id": req.caller.ID, "organisation": req.head.Organisation, "route": req.head.Route,
		"service": req.head.Service, "attempts": req.attempts, "config_version": version,
		"outcome": reply.Outcome.String(), "reason": reply.Code.String(), "status": httpcall.Status(reply),
		"timeout_ms": req.caller.Timeout.Milliseconds(), "took_ms": took.Milliseconds(),
	}
	if reply.Outcome != call.Answered {
		fields["retry_after_ms"] = reply.RetryAfter.Milliseconds()
		fields["running"], fields["queued"], fields["limit"] = reply.Load.Running, reply.Load.Queued, reply.Load.Limit
		fields["message"], fields["detail"] = reply.Message, reply.Detail
	}
	m.log.WithFields(fields).Info("request")
}
