package membership

import "github.com/prometheus/client_golang/prometheus"

func (m *Module) registerMetrics(registerer prometheus.Registerer) {
	registerer.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mangomast_membership_members",
			Help: "Live VMs that this node knows; relays know the whole fleet.",
		}, func() float64 { return float64(len(m.View().All())) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mangomast_membership_relay",
			Help: "1 if this node is a relay of its failure domain.",
		}, func() float64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.rank() >= 0 {
				return 1
			}
			return 0
		}),
	)
}
