package edge

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/pacing"
)

// limitedMesh is a mesh whose nodes all send to one upstream that announces a limit.
type limitedMesh struct {
	*mesh
	limit          float64
	announcesLimit bool
	// healthySends are the send times of nodes without a recent fault, allSends those of all nodes.
	healthySends, allSends []time.Time
	// faultyUntil is the time until which a node that was restarted, frozen or partitioned is not checked.
	faultyUntil map[string]time.Time
	frozen      map[string]bool
}

func newLimitedMesh(t require.TestingT, nodes int, limit float64) *limitedMesh {
	m := &limitedMesh{mesh: newMesh(t, nodes, 3), limit: limit, announcesLimit: true, faultyUntil: map[string]time.Time{}, frozen: map[string]bool{}}
	for _, c := range m.nodes {
		m.registerUpstream(c)
	}
	return m
}

// registerUpstream adds the upstream to a node, as if read from the registry.
func (m *limitedMesh) registerUpstream(c *control) {
	c.gateClock = func() time.Time { return m.now }
	c.registry.Put(fleet.Entry{ID: "u", BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 8}, m.now)
	c.publish(m.now)
}

// step makes every node attempt a few sends, and then one exchange.
func (m *limitedMesh) step(attempts int) {
	for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
		if m.frozen[name] {
			continue
		}
		c := m.nodes[name]
		for range attempts {
			gate := c.gates["u/1"]
			if !gate.Take(m.now) {
				continue
			}
			m.allSends = append(m.allSends, m.now)
			if m.now.After(m.faultyUntil[name]) {
				m.healthySends = append(m.healthySends, m.now)
			}
			gate.ApplyNotice(pacing.Notice{Limited: m.announcesLimit, Rate: m.limit}, m.now, m.now)
		}
		c.publish(m.now)
	}
	m.run(1)
}

// peak returns the highest number of sends within a window that begins after a time.
func (m *limitedMesh) peak(from time.Time) int {
	peak, first := 0, 0
	for last, at := range m.healthySends {
		for at.Sub(m.healthySends[first]) >= limitWindow {
			first++
		}
		if !m.healthySends[first].Before(from) {
			peak = max(peak, last-first+1)
		}
	}
	return peak
}

// used returns the fraction of the limit that was used since a time.
func (m *limitedMesh) used(since time.Time) float64 {
	count := 0.0
	for _, at := range m.allSends {
		if !at.Before(since) {
			count++
		}
	}
	return count / (m.limit * m.now.Sub(since).Seconds())
}

// A limit holds across all healthy nodes, and is used, whatever happens to the other nodes.
func TestLimitOfAnUpstreamHoldsWhileNodesComeAndGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0, 0.5, 1, 4, 40}).Draw(t, "limit")
		m := newLimitedMesh(t, rapid.SampledFrom([]int{2, 5, 12}).Draw(t, "nodes"), limit)
		m.run(20)
		announcedAt := m.now
		for m.now.Sub(announcedAt) < 15*time.Second {
			m.step(rapid.IntRange(0, 2+int(limit)/4).Draw(t, "asks"))
			if rapid.IntRange(0, 30).Draw(t, "fault") != 0 {
				continue
			}
			m.injectFault(t)
		}
		require.LessOrEqual(t, m.peak(announcedAt.Add(contactBound)), allowedArrivals(limit))
		m.isCut, m.frozen = nil, map[string]bool{}
		for range 70 {
			m.step(1)
		}
		if recoveredAt := m.now; limit > 0 {
			for range 150 {
				m.step(1 + int(limit)/4)
			}
			require.GreaterOrEqual(t, m.used(recoveredAt), 0.8, "of the limit is used under demand")
		}
	})
}

// injectFault restarts, freezes or partitions a node, or repairs all.
func (m *limitedMesh) injectFault(t *rapid.T) {
	names := slices.Sorted(maps.Keys(m.nodes))
	name := rapid.SampledFrom(names).Draw(t, "node")
	c := m.nodes[name]
	switch rapid.SampledFrom([]string{"restart", "freeze", "cut", "mend"}).Draw(t, "kind") {
	case "restart":
		m.restart(c)
		m.registerUpstream(m.nodes[name])
		m.faultyUntil[name] = m.now.Add(contactBound)
	case "freeze":
		m.frozen[name] = true
		m.faultyUntil[name] = m.now.Add(time.Hour)
		m.partitionFaulty()
	case "cut":
		m.faultyUntil[name] = m.now.Add(time.Hour)
		m.partitionFaulty()
	case "mend":
		m.frozen = map[string]bool{}
		for name, until := range m.faultyUntil {
			m.faultyUntil[name] = earlier(until, m.now.Add(contactBound))
		}
		m.partitionFaulty()
	}
}

// partitionFaulty drops the messages from and to the nodes with a lasting fault.
func (m *limitedMesh) partitionFaulty() {
	m.isCut = func(from, to string) bool {
		lasting := m.now.Add(2 * contactBound)
		return m.faultyUntil[from].After(lasting) || m.faultyUntil[to].After(lasting)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// The end of a limit reaches the nodes that have no share of it, and those that start later.
func TestEndOfALimitReachesAllNodes(t *testing.T) {
	for _, size := range []int{2, 5, 40} {
		m := newLimitedMesh(t, size, 1)
		m.run(20)
		for range 50 {
			m.step(1)
		}
		for name, c := range m.nodes {
			require.True(t, c.gates["u/1"].Limit().Limited, "%d nodes, %s", size, name)
		}
		m.announcesLimit = false
		for range 100 {
			m.step(1)
		}
		for name, c := range m.nodes {
			require.False(t, c.gates["u/1"].Limit().Limited, "%d nodes, %s", size, name)
		}
	}
}

// The limit of an upstream whose entry is removed and comes back, as after the loss of the registry's
// history, still holds at nodes that have no share of it.
func TestLimitOutlivesTheEntryOfItsUpstream(t *testing.T) {
	m := newLimitedMesh(t, 5, 1)
	m.run(20)
	for range 50 {
		m.step(1)
	}
	c := m.nodes["n000"]
	c.registry.Remove("u", 1, m.now)
	c.publish(m.now)
	c.registry.Put(fleet.Entry{ID: "u", BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 8, Sequence: 2, Offset: 2}, m.now)
	c.publish(m.now)
	require.Len(t, c.edge.view.Load().Fleet.ByService["pool"], 1)
	require.True(t, c.gates["u/1"].Limit().Limited)
	c.registry.Remove("u", 3, m.now)
	c.publish(m.now)
	m.now = m.now.Add(noticeRetention + controlTick)
	c.tick(m.now)
	require.Empty(t, c.removedGates)
}

// A node that starts after limits were announced learns of all of them, whatever their number.
func TestLateNodeIsToldOfEveryLimit(t *testing.T) {
	for _, limits := range []int{3, 4, 8, 16} {
		m := newLimitedMesh(t, 5, 1)
		entries := func(c *control) {
			for i := range limits {
				c.registry.Put(fleet.Entry{ID: fmt.Sprintf("v%d", i), BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 8}, m.now)
			}
			c.publish(m.now)
		}
		for _, c := range m.nodes {
			entries(c)
		}
		m.run(20)
		for i := range limits {
			m.nodes["n000"].gates[fmt.Sprintf("v%d/1", i)].ApplyNotice(pacing.Notice{Limited: true, Rate: 2}, m.now, m.now)
		}
		for range 30 {
			m.step(0)
		}
		late := m.nodes["n003"]
		m.restart(late)
		late = m.nodes["n003"]
		m.registerUpstream(late)
		entries(late)
		for range 30 {
			m.step(0)
		}
		for key, gate := range late.gates {
			require.True(t, key == "u/1" || gate.Limit().Limited, "%d limits, %s", limits, key)
		}
	}
}
