package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/catalog"
)

const cutRate = 1000.0

// newQuotaMesh returns nodes with a workspace that may use cutRate, after they have met.
func newQuotaMesh(t *testing.T, size int) *mesh {
	m := newMesh(t, size, 2)
	config := &catalog.Config{Version: 1, Workspaces: []catalog.Workspace{{Name: "w", Rate: cutRate, Burst: cutRate}}}
	for _, c := range m.nodes {
		c.table = catalog.NewTable(config)
	}
	m.admitGreedily(5 * time.Second)
	return m
}

// admitGreedily lets every node admit all that its ledger grants, and returns the sum.
func (m *mesh) admitGreedily(duration time.Duration) (admitted float64) {
	const cost = 5
	for range int(duration / exchangeInterval) {
		m.run(1)
		for _, c := range m.nodes {
			c.updateNodeCount(m.now)
			for c.edge.ledger.Admit("w", cost, m.now).Admitted {
				admitted += cost
			}
		}
	}
	return admitted
}

// A node is cut off from all others for longer than the bound on contact. It and the others together
// admit the rate, before and after that bound.
func TestNodeThatIsCutOffAndTheOthersShareTheQuota(t *testing.T) {
	for _, lost := range []string{"n000", "n003", "n007"} {
		m := newQuotaMesh(t, 10)
		m.isCut = func(from, to string) bool { return from == lost || to == lost }
		m.admitGreedily(3 * time.Second)
		for range 4 {
			require.LessOrEqual(t, m.admitGreedily(8*time.Second), 1.1*8*cutRate, lost)
		}
	}
}

// All nodes but one end for good. Their hosts refuse connections, so that the last one soon admits
// the whole rate.
func TestLastNodeOfAFleetIsNotStarved(t *testing.T) {
	m := newQuotaMesh(t, 10)
	for name, c := range m.nodes {
		if name != "n004" {
			m.kill(c)
		}
	}
	m.admitGreedily(10 * time.Second)
	require.Greater(t, m.admitGreedily(8*time.Second), 0.95*8*cutRate)
}
