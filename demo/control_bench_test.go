package demo_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/demo"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/node"
)

// controlWindow is how long the benchmark observes an idle fleet.
const controlWindow = 20 * time.Second

// maxControlBytesPerSecond is the target for the control traffic of one node.
const maxControlBytesPerSecond = 3000

// BenchmarkControlBytes measures the control traffic of an idle node with the
// default intervals, sent and received, headers included.
func BenchmarkControlBytes(b *testing.B) {
	deployment, err := examples.Load(examples.Falaj)
	require.NoError(b, err)
	cluster, err := demo.Start(b.Context(), demo.Options{
		Deployment: deployment,
		Logger:     zerolog.Nop(),
		Adjust: func(s *api.Settings) {
			s.ReadinessGrace = 10 * time.Millisecond
			s.ConfigPoll = 5 * time.Second
			s.HostsPoll = time.Second
			s.Heartbeat = time.Second
		},
	})
	require.NoError(b, err)
	defer func() { require.NoError(b, cluster.Stop(context.Background())) }()
	before := controlBytes(b, cluster.Nodes[0])
	for range b.N {
		time.Sleep(controlWindow)
	}
	seconds := controlWindow.Seconds() * float64(b.N)
	total := 0.0
	for kind, bytes := range controlBytes(b, cluster.Nodes[0]) {
		rate := (bytes - before[kind]) / seconds
		total += rate
		b.ReportMetric(rate, kind+"-B/s")
		b.Logf("%s: %.0f B/s", kind, rate)
	}
	b.ReportMetric(total, "total-B/s")
	b.ReportMetric(maxControlBytesPerSecond, "bound-B/s")
	if total > maxControlBytesPerSecond {
		b.Errorf("control traffic is %.0f B/s, the target is at most %d", total, maxControlBytesPerSecond)
	}
}

// controlBytes returns the control bytes of a node by kind.
func controlBytes(b *testing.B, n *node.Node) map[string]float64 {
	b.Helper()
	families, err := n.Metrics().Registry().Gather()
	require.NoError(b, err)
	bytes := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "persimmonline_control_bytes_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "kind" {
					bytes[label.GetValue()] += metric.GetCounter().GetValue()
				}
			}
		}
	}
	return bytes
}
