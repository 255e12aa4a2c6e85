package quota

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxOrganisations bounds the organisations with series of their own;
	// otherLabel stands for all further ones.
	maxOrganisations = 200
	otherLabel       = "other"
)

type metrics struct {
	granted     *prometheus.CounterVec
	admitted    *prometheus.CounterVec
	refused     *prometheus.CounterVec
	askDuration prometheus.Histogram

	mu            sync.Mutex
	organisations map[string]bool
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		granted:  organisationCounter("granted_tokens_total", "Tokens granted by this node as owner, by organisation."),
		admitted: organisationCounter("admitted_requests_total", "Requests that spent a token on this node, by organisation."),
		refused:  organisationCounter("refused_requests_total", "Requests refused on this node for lack of a token, by organisation."),
		askDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "mangomast_quota_ask_duration_seconds",
			Help:    "Time from a holder's ask to the owner's answer.",
			Buckets: prometheus.ExponentialBuckets(0.0002, 2, 14),
		}),
		organisations: map[string]bool{},
	}
	registerer.MustRegister(m.granted, m.admitted, m.refused, m.askDuration)
	return m
}

func organisationCounter(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "mangomast_quota_" + name, Help: help}, []string{"organisation"})
}

// label bounds the number of organisations with series of their own.
func (m *metrics) label(organisation string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.organisations[organisation] && len(m.organisations) >= maxOrganisations {
		return otherLabel
	}
	m.organisations[organisation] = true
	return organisation
}
