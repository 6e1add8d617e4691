package edge

import "github.com/prometheus/client_golang/prometheus"

// roomMetrics holds the metrics of quotas over the fleet.
type roomMetrics struct {
	// quotaNodes is the number of nodes that quotas are divided by.
	quotaNodes prometheus.Gauge
}

func newRoomMetrics(registry *prometheus.Registry) roomMetrics {
	m := roomMetrics{
		quotaNodes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonline_edge_quota_nodes", Help: "Nodes that the quotas are divided by: those that may be admitting requests.",
		}),
	}
	registry.MustRegister(m.quotaNodes)
	return m
}
