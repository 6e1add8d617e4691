package edge

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/quota"
	"github.com/persimmonline/persimmonline/routing"
)

// A reporter is told all that its hub knows once, and then only what has changed.
func TestReporterIsToldOnlyWhatItMisses(t *testing.T) {
	m := newMesh(t, 3, 1)
	hub, reporter := m.hubAndReporter()
	hub.registry.Put(fleet.Entry{ID: "known", BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 1}, m.now)
	hub.registryAt = m.now
	m.run(5)
	told := hub.messageTo(hub.peers[reporter.edge.settings.Name], m.now)
	require.True(t, told.All)
	require.False(t, told.Registry.Whole)
	require.Empty(t, told.Registry.Upstreams)
	require.Empty(t, told.Members)
	require.Nil(t, told.QuotaLevels)
	hub.registry.Put(fleet.Entry{ID: "new", BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 1}, m.now)
	told = hub.messageTo(hub.peers[reporter.edge.settings.Name], m.now)
	require.Len(t, told.Registry.Upstreams, 1)

	m.restart(reporter)
	restarted := m.nodes[reporter.edge.settings.Name]
	hub.heard(restarted.messageTo(restarted.addPeer(hub.edge.settings.Name, "a", "dc-0", m.now), m.now), m.now)
	told = hub.messageTo(hub.peers[reporter.edge.settings.Name], m.now)
	require.True(t, told.Registry.Whole, "it has started again")
	require.Len(t, told.Registry.Upstreams, 2)
	require.Len(t, told.Members, 3)
	require.NotNil(t, told.QuotaLevels)
}

// Every node knows of all others by its hub alone, whatever the size of the fleet.
func TestEveryNodeIsToldOfAllOthers(t *testing.T) {
	for _, size := range []int{2, 5, 40, 118} {
		m := newMesh(t, size, 6)
		m.run(20)
		for name, c := range m.nodes {
			require.Equal(t, size, c.nodes(m.now), "%d nodes, %s", size, name)
		}
	}
}

// Of a large fleet each node knows the load that all others have, and not a guess.
func TestLoadOfALargeFleetIsToldWhole(t *testing.T) {
	for _, size := range []int{5, 40, 118} {
		m := newMesh(t, size, 6)
		for _, c := range m.nodes {
			c.trackers["u/1"] = &routing.Tracker{}
			for range 2 {
				c.trackers["u/1"].Begin(m.now, 0, 500, 0)
			}
		}
		m.run(20)
		m.requireLoad(2 * size)
	}
}

// When a hub dies the others know the load of the living within a second, and of nobody twice.
func TestDeathOfAHubHidesNoLoad(t *testing.T) {
	for _, size := range []int{5, 40} {
		m := newMesh(t, size, 4)
		for _, c := range m.nodes {
			c.trackers["u/1"] = &routing.Tracker{}
			c.trackers["u/1"].Begin(m.now, 0, 500, 0)
		}
		m.run(20)
		hub, _ := m.hubAndReporter()
		m.kill(hub)
		m.run(int(time.Second/exchangeEvery) + int(loadFresh/exchangeEvery))
		m.requireLoad(size - 1)
		m.start(hub.edge.settings.Name, hub.edge.settings.DataCentre)
		m.run(20)
		m.requireLoad(size - 1)
	}
}

// A node that can't reach its hub is heard by way of the next one.
func TestNodeCutFromItsHubIsStillCounted(t *testing.T) {
	m := newMesh(t, 5, 1)
	for _, c := range m.nodes {
		c.trackers["u/1"] = &routing.Tracker{}
		c.trackers["u/1"].Begin(m.now, 0, 500, 0)
	}
	m.run(20)
	hub, reporter := m.hubAndReporter()
	m.cut = func(a, b string) bool {
		return (a == hub.edge.settings.Name && b == reporter.edge.settings.Name) || (b == hub.edge.settings.Name && a == reporter.edge.settings.Name)
	}
	m.run(30)
	m.requireLoad(5)
}

// What all nodes admit together stays within the quota while hubs die and return.
func TestQuotaHoldsWhileHubsDie(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seconds, rate = 8, 1000.0
		m := newMesh(t, rapid.SampledFrom([]int{3, 5, 12}).Draw(t, "nodes"), 3)
		limits := map[string]quota.Limit{"w": {Rate: rate, Burst: rate}}
		for _, c := range m.nodes {
			c.edge.ledger.Configure(limits, len(m.nodes), silentExchanges*exchangeEvery, m.now)
		}
		m.run(5)
		started, admitted := m.now, 0.0
		for m.now.Sub(started) < seconds*time.Second {
			for _, c := range m.nodes {
				for range rapid.IntRange(0, 3).Draw(t, "asked") {
					if c.edge.ledger.Admit("w", 50, m.now).Admitted {
						admitted += 50
					}
				}
			}
			if rapid.IntRange(0, 40).Draw(t, "fault") == 0 {
				hub, _ := m.hubAndReporter()
				m.kill(hub)
				m.start(hub.edge.settings.Name, hub.edge.settings.DataCentre)
				restarted := m.nodes[hub.edge.settings.Name]
				restarted.edge.ledger.Configure(limits, len(m.nodes), silentExchanges*exchangeEvery, m.now)
			}
			m.run(1)
		}
		// The users' bound: a tenth beyond the rate, the burst, and the slack for what is
		// admitted unheard, here two seconds' worth of the rate.
		require.LessOrEqual(t, admitted, 1.1*(rate*seconds+rate)+2*rate)
	})
}

// Use that a hub had taken and not passed on when it died is charged all the same.
func TestUseIsNotLostWithAHub(t *testing.T) {
	const burst, cost = 100_000.0, 50.0
	m := newMesh(t, 5, 1)
	m.limit(quota.Limit{Rate: 1e-6, Burst: burst})
	m.run(20)
	level := m.nodes["n000"].edge.ledger.Levels(m.now)["w"]
	used := 0.0
	step := func() {
		for _, c := range m.nodes {
			require.True(t, c.edge.ledger.Admit("w", cost, m.now).Admitted)
			used += cost
		}
		m.run(1)
	}
	for range 10 {
		step()
	}
	hub, _ := m.hubAndReporter()
	m.kill(hub)
	for range 10 {
		step()
	}
	m.run(10)
	for name, c := range m.nodes {
		// The hub may have taken one exchange's worth that it did not pass on, and passed on
		// another that did not arrive.
		require.InDelta(t, level-used, c.edge.ledger.Levels(m.now)["w"], 2*5*cost, name)
	}
}

// The first hub freezes and wakes, and the second reports by way of a former reporter before it
// reaches it. Nobody is charged for what it had told, or was told, before.
func TestUseIsNotChargedTwiceWhenAHubWakes(t *testing.T) {
	const burst, cost = 1_000_000.0, 50.0
	m := newMesh(t, 5, 1)
	m.limit(quota.Limit{Rate: 1e-6, Burst: burst})
	m.run(20)
	level, used := m.nodes["n000"].edge.ledger.Levels(m.now)["w"], 0.0
	step := func(except *control) {
		for _, c := range m.nodes {
			if c != except {
				require.True(t, c.edge.ledger.Admit("w", cost, m.now).Admitted)
				used += cost
			}
		}
		m.run(1)
	}
	hub, second := m.hubAndReporter()
	name := hub.edge.settings.Name
	m.kill(hub)
	for range 50 {
		step(nil)
	}
	m.nodes[name] = hub
	m.cut = func(a, b string) bool {
		return (a == name && b == second.edge.settings.Name) || (b == name && a == second.edge.settings.Name)
	}
	for range 15 {
		step(nil)
	}
	m.cut = nil
	for range 15 {
		step(nil)
	}
	m.run(20)
	for name, c := range m.nodes {
		if c != hub {
			// Two exchanges for each of the changes of hub.
			require.Less(t, level-used-c.edge.ledger.Levels(m.now)["w"], 3*2*5*cost, name)
		}
	}
}

// A hub is killed together with another node: what both had counted is reported all the same.
func TestCountsOfAKilledHubAreNotLost(t *testing.T) {
	m := newMesh(t, 5, 1)
	m.run(20)
	for _, c := range m.nodes {
		for range 10 {
			c.edge.count("w")
		}
	}
	m.run(3)
	hub, _ := m.hubAndReporter()
	window := hub.edge.usage.Window(hub.edge.clock.now())
	members := hub.cells.Members(hub.ownCell())
	m.kill(hub)
	m.kill(m.nodes[members[4]])
	m.run(20)
	next := m.nodes[members[1]]
	total := next.edge.usage.Total(window)["w"] + next.edge.usage.Total(window - 1)["w"]
	require.EqualValues(t, 50, total)
}

// The holder of the duties knows the counts of all cells within some exchanges.
func TestHolderOfTheDutiesKnowsAllCounts(t *testing.T) {
	m := newMesh(t, 40, 4)
	m.run(20)
	_, holder := m.hubAndReporter()
	holder.duties.holds.Store(true)
	for _, c := range m.nodes {
		c.edge.count("w")
	}
	m.run(10)
	window := holder.edge.usage.Window(holder.edge.clock.now())
	require.EqualValues(t, 40, holder.edge.usage.Total(window)["w"]+holder.edge.usage.Total(window - 1)["w"])
}

// A node that stood still finds old messages in its sockets; what they say of the time is as old.
// Taken for news it moved the clocks of all nodes by the time of the standstill.
func TestOldMessagesDoNotMoveTheClock(t *testing.T) {
	c, message := benchNode(t, 5)
	now := c.edge.clock.steady()
	c.tick(now)
	old := make([]*api.EdgeExchange, 5)
	for i := range old {
		old[i] = message(i)
		old[i].SentMS, old[i].ClockMS = old[i].SentMS+1, c.edge.clock.now().Add(-8*time.Second).UnixMilli()
	}
	woken := now.Add(8 * time.Second)
	for _, m := range old {
		c.heard(m, woken)
	}
	c.edge.clock.correct()
	require.WithinDuration(t, c.edge.clock.steady(), c.edge.clock.now(), clockTolerance)
}

// Messages survive their encoding, and bytes that are none are refused.
func TestMessagesAreDecodedAsTheyWereSent(t *testing.T) {
	_, message := benchNode(t, 3)
	sent := message(0)
	sent.Registry = &api.EdgeRegistry{
		Version: 7, Whole: true, Hash: 1 << 63, Removed: []api.EdgeLeaving{{ID: "i", BornMS: 5, Removed: true}},
		Upstreams: []api.EdgeUpstream{{ID: "i", Address: "10.0.0.1:1", Slots: 3, Reclaimable: true}},
	}
	raw, err := encodeMessage(sent)
	require.NoError(t, err)
	var decoded api.EdgeExchange
	require.NoError(t, decodeMessage(raw, &decoded))
	require.Equal(t, sent, &decoded)
	for cut := range raw {
		var part api.EdgeExchange
		require.Error(t, decodeMessage(raw[:cut], &part))
	}
}

// A node whose read of the registry is held up learns of a removal from its peers.
func TestPeersTellOfRemovedUpstreams(t *testing.T) {
	told, _ := benchNode(t, 1)
	other, _ := benchNode(t, 1)
	other.edge.settings.Name = "other"
	now := other.edge.clock.steady()
	other.changed(other.registry.Remove("i-0000000002", 0, now))
	require.Len(t, told.registry.Upstreams(), 4)
	peer := other.addPeer("self", "10.0.0.1:1", "a", now)
	told.heard(other.messageTo(peer, now), told.edge.clock.steady())
	require.Len(t, told.registry.Upstreams(), 3)
	require.Len(t, told.leavingTold(told.edge.clock.steady()), 1, "and passes it on")
	require.Empty(t, other.leavingTold(now.Add(time.Minute)))
}

// benchNode returns the control state of a node that has heard all its peers and knows
// four engines for each of them.
func benchNode(tb testing.TB, peers int) (*control, func(i int) *api.EdgeExchange) {
	e := New(platform.Settings{
		Name: "self", Bounds: platform.Bounds{UsageWindow: 5 * time.Second, Contact: 3 * time.Second, Lease: 3 * time.Second},
	}, zerolog.New(io.Discard))
	e.ctx = tb.Context()
	now := e.clock.steady()
	for i := range 4 * peers {
		e.control.registry.Put(fleet.Entry{
			ID: fmt.Sprintf("i-%010x", i), BornMS: 1774196826088, Service: "pool", Address: fmt.Sprintf("10.1.%d.%d:8202", i/200, i%200),
			DataCentre: "a", Slots: 32, Sequence: 1,
		}, now)
	}
	e.control.publish(now)
	message := func(i int) *api.EdgeExchange {
		m := &api.EdgeExchange{
			Node: fmt.Sprintf("edge-wadi-a-%d", i), Incarnation: fmt.Sprintf("c31f774c-9fc8-420c-8626-%012d", i),
			Address: "10.2.0.26:7060", DataCentre: fmt.Sprintf("dc-%d", i%6), Nodes: 1, ClockMS: time.Now().UnixMilli(), SentMS: time.Now().UnixMilli(),
			Usage: map[string]map[int64]map[string]int64{}, QuotaUsed: map[string]float64{}, QuotaLevels: map[string]float64{},
			Leaving: []api.EdgeLeaving{}, Suspicions: []api.EdgeSuspicion{},
		}
		for w := range 16 {
			name := fmt.Sprintf("hule%03d", w)
			m.QuotaUsed[name], m.QuotaLevels[name] = 12345.5, 98765.25
			for window := range usageWindowsTold {
				if m.Usage[m.Incarnation] == nil {
					m.Usage[m.Incarnation] = map[int64]map[string]int64{}
				}
				if m.Usage[m.Incarnation][int64(353445120+window)] == nil {
					m.Usage[m.Incarnation][int64(353445120+window)] = map[string]int64{}
				}
				m.Usage[m.Incarnation][int64(353445120+window)][name] = 100
			}
		}
		for j := range min(40, 4*peers) {
			m.Load = append(m.Load, api.EdgeLoad{Upstream: upstreamHash(fmt.Sprintf("i-%010x/1774196826088", (i+j*7)%(4*peers))), Running: 2, Due: 1, QueuedTokens: 4000})
			m.Placed = append(m.Placed, api.EdgePlacement{Sequence: int64(j), Upstream: upstreamHash(fmt.Sprintf("i-%010x/1774196826088", (i+j*7)%(4*peers))), Chain: 0x1234567890abcdef, Tokens: 5000})
		}
		return m
	}
	for i := range peers {
		e.control.heard(message(i), now)
	}
	return e.control, message
}

func BenchmarkControl(b *testing.B) {
	for _, peers := range []int{5, 30, 118, 300, 1100} {
		c, message := benchNode(b, peers)
		raw, _ := encodeMessage(message(0))
		b.Run(fmt.Sprintf("decode/%d", peers), func(b *testing.B) {
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				var m api.EdgeExchange
				_ = decodeMessage(raw, &m)
			}
		})
		b.Run(fmt.Sprintf("heard/%d", peers), func(b *testing.B) {
			m := message(0)
			for b.Loop() {
				c.heard(m, c.edge.clock.steady())
			}
		})
		b.Run(fmt.Sprintf("publish/%d", peers), func(b *testing.B) {
			for b.Loop() {
				c.publish(c.edge.clock.steady())
			}
		})
		b.Run(fmt.Sprintf("message/%d", peers), func(b *testing.B) {
			peer := c.peers["edge-wadi-a-0"]
			size := 0
			for b.Loop() {
				raw, _ := encodeMessage(c.messageTo(peer, c.edge.clock.steady()))
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
		b.Run(fmt.Sprintf("tick/%d", peers), func(b *testing.B) {
			for b.Loop() {
				c.tick(c.edge.clock.steady())
			}
		})
	}
}

// A hub that alone could not read the registry for a while takes the removal of an entry for what it
// is, and so do the nodes that go by it.
func TestHubThatWasTurnedAwayAloneTakesARemoval(t *testing.T) {
	m := newMesh(t, 5, 1)
	for _, c := range m.nodes {
		c.registry.Put(fleet.Entry{ID: "u", BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 1}, m.now)
		c.registryRead(m.now)
	}
	m.run(20)
	hub, _ := m.hubAndReporter()
	hub.registry.SetOutage(true, m.now)
	for range 80 {
		for _, c := range m.nodes {
			if c != hub {
				c.registryRead(m.now)
			}
		}
		m.run(1)
	}
	changes := hub.registry.Remove("u", 5, m.now)
	require.Len(t, changes, 1)
	require.Equal(t, fleet.Removed, changes[0].Kind)
	hub.registry.SetOutage(false, m.now)
	m.run(3)
	for name, c := range m.nodes {
		require.Empty(t, c.registry.Upstreams(), name)
	}
}
