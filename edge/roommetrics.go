package edge

import "github.com/prometheus/client_golang/prometheus"

// roomMetrics holds the metrics of quotas over the fleet and of the engines that are ordered.
type roomMetrics struct {
	// quotaNodes is the number of nodes that quotas are divided by.
	quotaNodes prometheus.Gauge
	// needed is the number of engines that the load of a service needs, ordered the number ordered by
	// service, data centre and class.
	needed, ordered *prometheus.GaugeVec
}

func newRoomMetrics(registry *prometheus.Registry) roomMetrics {
	m := roomMetrics{
		quotaNodes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonline_edge_quota_nodes", Help: "Nodes that the quotas are divided by: those that may be admitting requests.",
		}),
		needed: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "persimmonline_edge_engines_needed", Help: "Engines that the load of a service needs, by what binds.",
		}, []string{"service", "by"}),
		ordered: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "persimmonline_edge_engines_ordered", Help: "Engines ordered by the holder of the duties.",
		}, []string{"service", "data_centre", "class"}),
	}
	registry.MustRegister(m.quotaNodes, m.needed, m.ordered)
	return m
}
