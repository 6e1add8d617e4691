package serving

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// latencyBuckets are in seconds and cover the latency targets of plain calls and streams.
var latencyBuckets = []float64{.01, .025, .05, .1, .2, .4, .7, 1, 1.5, 3, 6, 15}

// Metrics counts requests and attempts.
type Metrics struct {
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	limited    *prometheus.CounterVec
	throttled  *prometheus.CounterVec
	firstByte  *prometheus.HistogramVec
	suppressed prometheus.Counter
	viewAge    prometheus.Histogram
	// longestPause is the longest pause of each stream with more than one event.
	longestPause prometheus.Histogram
	rollouts     *prometheus.CounterVec
	hedges       hedgeMetrics
	moves        *prometheus.CounterVec

	waiting    *prometheus.GaugeVec
	wait       *prometheus.HistogramVec
	turnedAway *prometheus.CounterVec
}

// NewMetrics returns metrics registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_requests_total", Help: "Requests by route kind and result.",
		}, []string{"kind", "result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_refusals_total", Help: "Refusals by status and code.",
		}, []string{"status", "code"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_attempts_total", Help: "Attempts by service and result.",
		}, []string{"service", "result"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_retries_total", Help: "Retries that the budget granted or denied, by service.",
		}, []string{"service", "result"}),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_limited_attempts_total", Help: "Attempts at upstreams that were known to name a limit, by service.",
		}, []string{"service"}),
		throttled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_closed_total", Help: "Requests for which no upstream took an attempt by its own word, by service.",
		}, []string{"service"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonline_edge_first_byte_seconds", Help: "Time to the first byte of an answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		suppressed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonline_edge_log_lines_suppressed_total", Help: "Lines of successful requests that were left out.",
		}),
	}
	m.rollouts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "persimmonline_edge_rollout_requests_total", Help: "Requests of services in a rollout, by version and what became of them.",
	}, []string{"service", "version", "result"})
	m.viewAge = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "persimmonline_edge_view_age_seconds", Help: "Age of the view that a request was decided by.", Buckets: latencyBuckets,
	})
	m.longestPause = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "persimmonline_edge_longest_pause_seconds", Help: "Longest time between two events of a stream, as they arrived from the upstream.", Buckets: latencyBuckets,
	})
	m.moves = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "persimmonline_edge_moves_total", Help: "Moves of runs from engines that leave, by service and result.",
	}, []string{"service", "result"})
	m.hedges = newHedgeMetrics(registry)
	registry.MustRegister(m.requests, m.refusals, m.attempts, m.retries, m.limited, m.throttled, m.firstByte, m.suppressed, m.viewAge, m.rollouts, m.longestPause, m.moves)
	m.newWaitingMetrics(registry)
	return m
}

func (m *Metrics) observeFirstByte(kind string, took time.Duration) {
	m.firstByte.WithLabelValues(kind).Observe(took.Seconds())
}
