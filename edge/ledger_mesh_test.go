package edge

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/quota"
)

// No node charges a workspace more than all nodes used, whatever network partitions occurred.
func TestUseIsChargedOnceWhileHubsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst, cost = 1e9, 50.0
		m := newMesh(t, rapid.SampledFrom([]int{3, 3, 3, 5, 5, 5, 12, 12, 12, 40}).Draw(t, "nodes"), 3)
		m.limit(quota.Limit{Rate: 1e-6, Burst: burst})
		m.run(20)
		names := slices.Sorted(maps.Keys(m.nodes))
		before, used := map[string]float64{}, 0.0
		for name, c := range m.nodes {
			before[name] = c.edge.ledger.Levels(m.now)["w"]
		}
		cut := map[[2]string]bool{}
		m.isCut = func(a, b string) bool { return cut[[2]string{min(a, b), max(a, b)}] }
		for range 150 {
			for _, c := range m.nodes {
				require.True(t, c.edge.ledger.Admit("w", cost, m.now).Admitted)
				used += cost
			}
			if rapid.IntRange(0, 8).Draw(t, "change") == 0 {
				a, b := rapid.SampledFrom(names).Draw(t, "a"), rapid.SampledFrom(names).Draw(t, "b")
				pair := [2]string{min(a, b), max(a, b)}
				cut[pair] = !cut[pair]
			}
			m.run(1)
		}
		clear(cut)
		m.run(int(5 * time.Second / exchangeInterval))
		for name, c := range m.nodes {
			charged := before[name] - c.edge.ledger.Levels(m.now)["w"]
			require.LessOrEqual(t, charged, used*(1+1e-9), "%s charges what nobody used", name)
		}
	})
}

// Each node charges what the nodes of all cells used.
func TestUseIsChargedInAllCells(t *testing.T) {
	const burst, cost = 1e9, 50.0
	m := newMesh(t, 40, 4)
	m.limit(quota.Limit{Rate: 1e-6, Burst: burst})
	m.run(20)
	level := m.nodes["n000"].edge.ledger.Levels(m.now)["w"]
	used := 0.0
	for range 20 {
		for _, c := range m.nodes {
			require.True(t, c.edge.ledger.Admit("w", cost, m.now).Admitted)
			used += cost
		}
		m.run(1)
	}
	m.run(10)
	for name, c := range m.nodes {
		require.InDelta(t, level-used, c.edge.ledger.Levels(m.now)["w"], 1e-3, name)
	}
}
