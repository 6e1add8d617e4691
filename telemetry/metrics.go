package telemetry

import (
	"net/http"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of every metric's name.
const namespace = "persimmonline"

// Metrics are the metrics of one node, with their own registry.
type Metrics struct {
	registry *prometheus.Registry
	names    []string

	// Requests counts requests by workspace, service and result (answered, refused, cut).
	Requests *prometheus.CounterVec
	// Refusals counts refusals by code and ran.
	Refusals *prometheus.CounterVec
	// FirstToken is the time to the first token or plain answer, in seconds, by service.
	FirstToken *prometheus.HistogramVec
	// BetweenTokens is the time between two chunks, in seconds, by service.
	BetweenTokens *prometheus.HistogramVec
	// Attempts counts attempts by service and result.
	Attempts *prometheus.CounterVec
	// Retries counts further attempts by service and cause.
	Retries *prometheus.CounterVec
	// RecomputedTokens counts the tokens that were computed again, by cause.
	RecomputedTokens *prometheus.CounterVec
	// CacheMissedTokens counts the prompt tokens that were in no cache, by service.
	CacheMissedTokens *prometheus.CounterVec
	// Cost is the machine cost of attempts, in the deployment's currency, by workspace.
	Cost *prometheus.CounterVec
	// ConfigVersion is the configuration version in force.
	ConfigVersion prometheus.Gauge
	// ConfigAge is the time since the last successful read of the log, in seconds.
	ConfigAge prometheus.Gauge
	// InFlight is the number of requests in flight.
	InFlight prometheus.Gauge
	// ControlBytes counts bytes of control traffic by direction and kind.
	ControlBytes *prometheus.CounterVec
	// ControlSeconds counts the time spent in the control loop, in seconds.
	ControlSeconds prometheus.Counter
}

// latencyBuckets are in seconds, with bounds on both sides of the latency targets.
var latencyBuckets = []float64{.002, .005, .01, .02, .042, .1, .2, .4, .7, .95, 1.5, 3, 6, 15, 60}

// NewMetrics returns the metrics of one node.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	m := &Metrics{registry: registry}
	m.Requests = m.counter("requests_total", "Requests by result.", "workspace", "service", "result")
	m.Refusals = m.counter("refusals_total", "Refusals by cause.", "code", "ran")
	m.FirstToken = m.histogram("first_token_seconds", "Time to the first token or plain answer.", "service")
	m.BetweenTokens = m.histogram("between_tokens_seconds", "Time between two chunks.", "service")
	m.Attempts = m.counter("attempts_total", "Attempts at upstreams by result.", "service", "result")
	m.Retries = m.counter("retries_total", "Further attempts by cause.", "service", "cause")
	m.RecomputedTokens = m.counter("recomputed_tokens_total", "Tokens computed again, by cause.", "cause")
	m.CacheMissedTokens = m.counter("cache_missed_tokens_total", "Prompt tokens that no cache had.", "service")
	m.Cost = m.counter("cost_total", "Machine cost of attempts, in the deployment's currency.", "workspace")
	m.ConfigVersion = m.gauge("config_version", "Configuration version in force.")
	m.ConfigAge = m.gauge("config_age_seconds", "Time since the log was last read with success.")
	m.InFlight = m.gauge("in_flight_requests", "Requests in flight.")
	m.ControlBytes = m.counter("control_bytes_total", "Bytes of control traffic.", "direction", "kind")
	m.ControlSeconds = m.counter("control_seconds_total", "Time spent in the control loop.").WithLabelValues()
	return m
}

// Names returns the full names of the node's own metrics, in the order of their
// registration.
func (m *Metrics) Names() []string { return slices.Clone(m.names) }

// Registry returns the node's registry.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) counter(name, help string, labels ...string) *prometheus.CounterVec {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.register(name, vec)
	return vec
}

// register adds a metric to the registry and its full name to the list.
func (m *Metrics) register(name string, collector prometheus.Collector) {
	m.registry.MustRegister(collector)
	m.names = append(m.names, namespace+"_"+name)
}

func (m *Metrics) gauge(name, help string) prometheus.Gauge {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	m.register(name, gauge)
	return gauge
}

func (m *Metrics) histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	vec := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
	m.register(name, vec)
	return vec
}
