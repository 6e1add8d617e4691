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

// limitedMesh is a mesh whose nodes all want to send to one upstream that names a limit.
type limitedMesh struct {
	*mesh
	limit float64
	names bool
	// sent are the sends of nodes that were not harmed lately, all those of all nodes.
	sent, all []time.Time
	// harmedUntil is when a node that was restarted, frozen or cut counts again.
	harmedUntil map[string]time.Time
	frozen      map[string]bool
}

func newLimitedMesh(t require.TestingT, nodes int, limit float64) *limitedMesh {
	m := &limitedMesh{mesh: newMesh(t, nodes, 3), limit: limit, names: true, harmedUntil: map[string]time.Time{}, frozen: map[string]bool{}}
	for _, c := range m.nodes {
		m.know(c)
	}
	return m
}

// know lets a node know the upstream, as from the registry.
func (m *limitedMesh) know(c *control) {
	c.gateClock = func() time.Time { return m.now }
	c.registry.Put(fleet.Entry{ID: "u", BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 8}, m.now)
	c.publish(m.now)
}

// step lets every node ask a few times and makes one exchange.
func (m *limitedMesh) step(asks int) {
	for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
		if m.frozen[name] {
			continue
		}
		c := m.nodes[name]
		for range asks {
			gate := c.gates["u/1"]
			if !gate.Take(m.now) {
				continue
			}
			m.all = append(m.all, m.now)
			if m.now.After(m.harmedUntil[name]) {
				m.sent = append(m.sent, m.now)
			}
			gate.ApplyNotice(pacing.Notice{Limited: m.names, Rate: m.limit}, m.now, m.now)
		}
		c.publish(m.now)
	}
	m.run(1)
}

// most returns the most sends within a window that begins after a time.
func (m *limitedMesh) most(from time.Time) int {
	most, first := 0, 0
	for last, at := range m.sent {
		for at.Sub(m.sent[first]) >= limitWindow {
			first++
		}
		if !m.sent[first].Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// used returns the part of the limit that was used since a time.
func (m *limitedMesh) used(since time.Time) float64 {
	count := 0.0
	for _, at := range m.all {
		if !at.Before(since) {
			count++
		}
	}
	return count / (m.limit * m.now.Sub(since).Seconds())
}

// A limit holds over all nodes that are well, and is used, whatever becomes of the others.
func TestLimitOfAnUpstreamHoldsWhileNodesComeAndGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0, 0.5, 1, 4, 40}).Draw(t, "limit")
		m := newLimitedMesh(t, rapid.SampledFrom([]int{2, 5, 12}).Draw(t, "nodes"), limit)
		m.run(20)
		named := m.now
		for m.now.Sub(named) < 15*time.Second {
			m.step(rapid.IntRange(0, 2+int(limit)/4).Draw(t, "asks"))
			if rapid.IntRange(0, 30).Draw(t, "fault") != 0 {
				continue
			}
			m.harm(t)
		}
		require.LessOrEqual(t, m.most(named.Add(contactBound)), allowed(limit))
		m.cut, m.frozen = nil, map[string]bool{}
		for range 70 {
			m.step(1)
		}
		if quiet := m.now; limit > 0 {
			for range 150 {
				m.step(1 + int(limit)/4)
			}
			require.GreaterOrEqual(t, m.used(quiet), 0.8, "of the limit is used where it is asked for")
		}
	})
}

// harm restarts, kills, freezes or cuts a node, or mends all.
func (m *limitedMesh) harm(t *rapid.T) {
	names := slices.Sorted(maps.Keys(m.nodes))
	name := rapid.SampledFrom(names).Draw(t, "node")
	c := m.nodes[name]
	switch rapid.SampledFrom([]string{"restart", "freeze", "cut", "mend"}).Draw(t, "kind") {
	case "restart":
		m.restart(c)
		m.know(m.nodes[name])
		m.harmedUntil[name] = m.now.Add(contactBound)
	case "freeze":
		m.frozen[name] = true
		m.harmedUntil[name] = m.now.Add(time.Hour)
		m.cutOff()
	case "cut":
		m.harmedUntil[name] = m.now.Add(time.Hour)
		m.cutOff()
	case "mend":
		m.frozen = map[string]bool{}
		for name, until := range m.harmedUntil {
			m.harmedUntil[name] = earlier(until, m.now.Add(contactBound))
		}
		m.cutOff()
	}
}

// cutOff loses the messages from and to the nodes that are harmed for long.
func (m *limitedMesh) cutOff() {
	m.cut = func(from, to string) bool {
		long := m.now.Add(2 * contactBound)
		return m.harmedUntil[from].After(long) || m.harmedUntil[to].After(long)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Word that a limit is over reaches the nodes that may not ask, and those that come later.
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
		m.names = false
		for range 100 {
			m.step(1)
		}
		for name, c := range m.nodes {
			require.False(t, c.gates["u/1"].Limit().Limited, "%d nodes, %s", size, name)
		}
	}
}

// An upstream whose entry is removed and comes back, as at the loss of the registry's history, is
// still under its limit at nodes that may not ask it.
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
	m.now = m.now.Add(noticeMemory + controlTick)
	c.tick(m.now)
	require.Empty(t, c.formerGates)
}

// A node that was not there when limits were named is told of all of them, whatever their number.
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
		m.know(late)
		entries(late)
		for range 30 {
			m.step(0)
		}
		for key, gate := range late.gates {
			require.True(t, key == "u/1" || gate.Limit().Limited, "%d limits, %s", limits, key)
		}
	}
}
