package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/persimmonline/persimmonline/rollout"
)

// addRolloutGauges registers the gauges of rollouts.
func (m *metrics) addRolloutGauges() {
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		vec := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "persimmonline_edge_rollout_" + name, Help: help}, labels)
		m.registry.MustRegister(vec)
		return vec
	}
	m.rolloutShare = gauge("share", "Share of a service's requests that the new version gets on trial.", "service")
	m.rolloutPhase = gauge("phase", "1 for the phase of the newest order of a service.", "service", "phase")
	m.rolloutAge = gauge("decision_age_seconds", "Time since the decision that this node follows.", "service")
}

// recordMetrics exposes an order.
func (r *rollouts) recordMetrics(state *rolloutState, now time.Time) {
	m, service := r.edge.metrics, state.order.Service
	m.rolloutShare.WithLabelValues(service).Set(state.decision.Share)
	for _, phase := range []rollout.Phase{rollout.Serving, rollout.Complete, rollout.Reverted} {
		value := 0.0
		if phase == state.phase {
			value = 1
		}
		m.rolloutPhase.WithLabelValues(service, string(phase)).Set(value)
	}
	if !state.phase.Final() && !state.decidedAt.IsZero() {
		m.rolloutAge.WithLabelValues(service).Set(now.Sub(state.decidedAt).Seconds())
	}
}
