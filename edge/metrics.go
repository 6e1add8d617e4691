package edge

import (
	"github.com/prometheus/client_golang/prometheus"
)

var (
	// callBuckets are in seconds and cover both plain calls to the store and blocking reads.
	callBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 1.5, 2.5, 4, 5.5, 10}
	// eventWaitBuckets are in seconds, up to the time within which a version must be in force.
	eventWaitBuckets = []float64{.0001, .001, .005, .01, .025, .05, .1, .25, .5, 1, 2}
)

// metrics holds the metrics of a node's control plane.
type metrics struct {
	registry      *prometheus.Registry
	configVersion prometheus.Gauge
	// storeEra is the highest era that the store has named.
	storeEra      prometheus.Gauge
	storeFailures *prometheus.CounterVec
	storeCalls    *prometheus.HistogramVec
	eventWait     prometheus.Histogram
	peerFailures  prometheus.Counter
	eventsDropped prometheus.Counter
	// limitedUpstreams is the number of upstreams that announce a limit.
	limitedUpstreams prometheus.Gauge
	// upstreamCrashes counts the upstreams that died while they ran a request of this node.
	upstreamCrashes prometheus.Counter
	// retryBurst is this node's share of the retry budget's burst.
	retryBurst prometheus.Gauge
	logDropped prometheus.Counter
	room       roomMetrics
	// rolloutShare, rolloutPhase and rolloutAge describe the newest order of each service.
	rolloutShare, rolloutPhase, rolloutAge *prometheus.GaugeVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		registry: registry, room: newRoomMetrics(registry),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonline_edge_config_version", Help: "Version of the configuration in force.",
		}),
		storeEra: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonline_edge_store_era", Help: "Highest era that the store has named; it rises when the store comes back from an older copy.",
		}),
		storeFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonline_edge_store_failures_total", Help: "Failed reads of the store by topic.",
		}, []string{"topic"}),
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonline_edge_store_call_seconds", Help: "Time of the feeds' calls to the store.", Buckets: callBuckets,
		}, []string{"topic", "call", "result"}),
		eventWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "persimmonline_edge_event_wait_seconds", Help: "Time that an event waited for the control loop.", Buckets: eventWaitBuckets,
		}),
		peerFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonline_edge_peer_failures_total", Help: "Failed exchanges with peers.",
		}),
		eventsDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonline_edge_events_dropped_total", Help: "Events of the serving path that the control loop had no room for.",
		}),
		limitedUpstreams: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonline_edge_limited_upstreams", Help: "Upstreams that name a limit of requests a second.",
		}),
		upstreamCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonline_edge_upstream_crashes_total", Help: "Requests of this node under which an upstream died.",
		}),
		retryBurst: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonline_edge_retry_burst", Help: "This node's share of the retries that need no earlier requests to fund them.",
		}),
		logDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "persimmonline_edge_log_lines_dropped_total", Help: "Log lines that were left out, because the output was too slow or upstreams said too much.",
		}),
	}
	m.addRolloutGauges()
	registry.MustRegister(m.configVersion, m.storeEra, m.storeFailures, m.storeCalls, m.eventWait, m.peerFailures, m.eventsDropped, m.limitedUpstreams, m.upstreamCrashes, m.retryBurst, m.logDropped)
	return m
}

// registerFeed registers a gauge of the time since a feed's last response.
func (m *metrics) registerFeed(f *feed) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "persimmonline_edge_store_silence_seconds", Help: "Time since the store last answered a feed.",
		ConstLabels: prometheus.Labels{"topic": f.topic},
	}, func() float64 { return f.sinceLastAnswer().Seconds() }))
}

// observeStoreCall records the result and the duration of a feed's call.
func (m *metrics) observeStoreCall(topic string, call storeCall, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
		m.storeFailures.WithLabelValues(topic).Inc()
	}
	m.storeCalls.WithLabelValues(topic, call.call, result).Observe(call.took.Seconds())
}

// CountDroppedLogLines counts log lines that were dropped.
func (e *Edge) CountDroppedLogLines(lines int) { e.metrics.logDropped.Add(float64(lines)) }
