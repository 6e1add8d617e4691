package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/routing"
)

// readingMesh returns a mesh in which each node has seen the engine u/1 read one prompt. The clock of the
// trackers stands, so that samples keep their weight.
func readingMesh(t *testing.T, size int) *mesh {
	m, stopped := newMesh(t, size, 4), time.Now()
	m.run(20)
	for _, c := range m.nodes {
		c.gateClock = func() time.Time { return stopped }
		c.trackers["u/1"] = &routing.Tracker{LinearPrefill: true}
		c.trackers["u/1"].Begin(stopped.Add(-100*time.Millisecond), 0, 8_000, 0).RecordFirstToken(stopped)
	}
	m.run(40)
	return m
}

// requireReadings checks the weight of the samples that each node has from the others.
func (m *mesh) requireReadings(weight int) {
	for name, c := range m.nodes {
		c.fleetReadingsAt = time.Time{}
		c.refreshFleetReadings(m.now)
		require.InDelta(m.t, weight, c.fleetReadings[upstreamHash("u/1")].Weight, 0.02, name)
	}
}

// Each sample counts once at every node, through one hub and through two, until its node has gone.
func TestNodesOfALargeFleetShareTheirSamples(t *testing.T) {
	m := readingMesh(t, 70)
	m.requireReadings(69)
	m.kill(m.nodes["n003"])
	m.run(60)
	m.requireReadings(68)
}

// In a small fleet each node knows the engines itself, and routes as it would alone.
func TestNodesOfASmallFleetShareNoSamples(t *testing.T) {
	readingMesh(t, 5).requireReadings(0)
}
