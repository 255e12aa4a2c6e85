package config

import "github.com/prometheus/client_golang/prometheus"

// noProofAge is the metric's value before the first proof of freshness.
const noProofAge = -1

func (m *Module) registerMetrics(registerer prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	registerer.MustRegister(
		gauge("mangomast_config_revision", "Revision of the configuration stream that this node holds.", func() float64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return float64(m.held())
		}),
		gauge("mangomast_config_accepted_revision", "Highest revision known to be in force everywhere.", func() float64 {
			return float64(m.Accepted())
		}),
		gauge("mangomast_config_proof_age_seconds", "Age of the proof that the held revision is the latest; -1 before the first.", func() float64 {
			age, ok := m.ProofAge()
			if !ok {
				return noProofAge
			}
			return age.Seconds()
		}),
	)
}
