package quota

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/internal/metriclabel"
)

type metrics struct {
	granted     *prometheus.CounterVec
	admitted    *prometheus.CounterVec
	refused     *prometheus.CounterVec
	borrowed    *prometheus.CounterVec
	askDuration prometheus.Histogram

	organisations *metriclabel.Set
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		granted:  organisationCounter("granted_tokens_total", "Tokens granted by this node as owner, by organisation."),
		admitted: organisationCounter("admitted_requests_total", "Requests that spent a token on this node, by organisation."),
		refused:  organisationCounter("refused_requests_total", "Requests refused on this node for lack of a token, by organisation."),
		borrowed: organisationCounter("loans_total", "Loans that this node had from others while an owner did not answer, by organisation."),
		askDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "mangomast_quota_ask_duration_seconds",
			Help:    "Time from a holder's ask to the owner's answer.",
			Buckets: prometheus.ExponentialBuckets(0.0002, 2, 14),
		}),
		organisations: metriclabel.NewSet(metriclabel.MaxOrganisations),
	}
	registerer.MustRegister(m.granted, m.admitted, m.refused, m.borrowed, m.askDuration)
	return m
}

func organisationCounter(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "mangomast_quota_" + name, Help: help}, []string{"organisation"})
}

// label returns the label value of an organisation. The number of different values
// is bounded.
func (m *metrics) label(organisation string) string {
	return m.organisations.Label(organisation)
}
