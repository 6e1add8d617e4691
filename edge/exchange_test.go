package edge

import (
	"fmt"
	"io"
	"maps"
	"slices"
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

// A reporter gets the complete state of its hub once, and then only changes.
func TestReporterIsToldOnlyWhatItMisses(t *testing.T) {
	m := newMesh(t, 3, 1)
	hub, reporter := m.hubAndReporter()
	hub.registry.Put(fleet.Entry{ID: "known", BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 1}, m.now)
	hub.registryCurrentAt = m.now
	m.limit(quota.Limit{Rate: 1, Burst: 1})
	m.run(15)
	message := hub.buildMessage(hub.peers[reporter.edge.settings.Name], m.now)
	require.True(t, message.All)
	require.False(t, message.Registry.Whole)
	require.Empty(t, message.Registry.Upstreams)
	require.Empty(t, message.Members)
	require.Nil(t, message.QuotaLevels)
	hub.registry.Put(fleet.Entry{ID: "new", BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 1}, m.now)
	message = hub.buildMessage(hub.peers[reporter.edge.settings.Name], m.now)
	require.Len(t, message.Registry.Upstreams, 1)

	m.restart(reporter)
	restarted := m.nodes[reporter.edge.settings.Name]
	hub.receive(restarted.buildMessage(restarted.addPeer(hub.edge.settings.Name, "a", "dc-0", m.now), m.now), m.now)
	message = hub.buildMessage(hub.peers[reporter.edge.settings.Name], m.now)
	require.True(t, message.Registry.Whole, "it has started again")
	require.Len(t, message.Registry.Upstreams, 2)
	require.Len(t, message.Members, 3)
	require.NotNil(t, message.QuotaLevels)
}

// Every node learns of all others through its hub, for any size of the fleet.
func TestEveryNodeIsToldOfAllOthers(t *testing.T) {
	for _, size := range []int{2, 5, 40, 118} {
		m := newMesh(t, size, 6)
		m.run(20)
		for name, c := range m.nodes {
			require.Equal(t, size, c.nodeCount(m.now), "%d nodes, %s", size, name)
		}
	}
}

// In a large fleet each node has the exact load of all others, not an estimate.
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

// When a hub dies the others have the load of all live nodes within a second, and none counted
// twice.
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
		m.run(int(time.Second/exchangeInterval) + int(maxLoadAge/exchangeInterval))
		m.requireLoad(size - 1)
		m.start(hub.edge.settings.Name, hub.edge.settings.DataCentre)
		m.run(20)
		m.requireLoad(size - 1)
	}
}

// The load of a node that can't reach its hub is reported through the next hub.
func TestNodeCutFromItsHubIsStillCounted(t *testing.T) {
	m := newMesh(t, 5, 1)
	for _, c := range m.nodes {
		c.trackers["u/1"] = &routing.Tracker{}
		c.trackers["u/1"].Begin(m.now, 0, 500, 0)
	}
	m.run(20)
	hub, reporter := m.hubAndReporter()
	m.isCut = func(a, b string) bool {
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
		limits := map[string]quota.Limit{"w": {Rate: rate, Burst: rate, RestartBurst: rate / 4}}
		for _, c := range m.nodes {
			c.edge.ledger.Configure(limits, len(m.nodes), maxMissedExchanges*exchangeInterval, m.now)
		}
		m.run(5)
		started, admitted := m.now, 0.0
		for m.now.Sub(started) < seconds*time.Second {
			for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
				c := m.nodes[name]
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
				restarted.edge.ledger.Configure(limits, len(m.nodes), maxMissedExchanges*exchangeInterval, m.now)
			}
			m.run(1)
		}
		// The users' bound: 10 % above rate and burst, plus a slack for requests that other nodes
		// have not learned of, here two seconds' worth of the rate.
		require.LessOrEqual(t, admitted, 1.1*(rate*seconds+rate)+2*rate)
	})
}

// Usage that a hub had received and not passed on when it died is still charged.
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
		// The hub may have received one exchange's worth that it did not pass on, and sent
		// another that did not arrive.
		require.InDelta(t, level-used, c.edge.ledger.Levels(m.now)["w"], 2*5*cost, name)
	}
}

// The first hub freezes and resumes, and the second hub reports through a former reporter before it
// reaches the first. Usage that was already sent or received before must not be charged again.
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
	m.isCut = func(a, b string) bool {
		return (a == name && b == second.edge.settings.Name) || (b == name && a == second.edge.settings.Name)
	}
	for range 15 {
		step(nil)
	}
	m.isCut = nil
	for range 15 {
		step(nil)
	}
	m.run(20)
	for name, c := range m.nodes {
		if c != hub {
			// Two exchanges for each change of hub.
			require.Less(t, level-used-c.edge.ledger.Levels(m.now)["w"], 3*2*5*cost, name)
		}
	}
}

// A hub is killed together with another node: the counts of both are still reported.
func TestCountsOfAKilledHubAreNotLost(t *testing.T) {
	m := newMesh(t, 5, 1)
	m.run(20)
	for _, c := range m.nodes {
		for range 10 {
			c.edge.countRequest("w")
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

// The holder of the duties has the counts of all cells within a few exchanges.
func TestHolderOfTheDutiesKnowsAllCounts(t *testing.T) {
	m := newMesh(t, 40, 4)
	m.run(20)
	_, holder := m.hubAndReporter()
	holder.duties.leaseHeld.Store(true)
	for _, c := range m.nodes {
		c.edge.countRequest("w")
	}
	m.run(10)
	window := holder.edge.usage.Window(holder.edge.clock.now())
	require.EqualValues(t, 40, holder.edge.usage.Total(window)["w"]+holder.edge.usage.Total(window - 1)["w"])
}

// A node that was suspended finds old messages in its sockets, with clock readings that are as old.
// Treated as current they moved the clocks of all nodes by the duration of the suspension.
func TestOldMessagesDoNotMoveTheClock(t *testing.T) {
	c, message := newNodeWithPeers(t, 5)
	now := c.edge.clock.monotonic()
	c.tick(now)
	old := make([]*api.EdgeExchange, 5)
	for i := range old {
		old[i] = message(i)
		old[i].SentMS, old[i].ClockMS = old[i].SentMS+1, c.edge.clock.now().Add(-8*time.Second).UnixMilli()
	}
	resumed := now.Add(8 * time.Second)
	for _, m := range old {
		c.receive(m, resumed)
	}
	c.edge.clock.correct()
	require.WithinDuration(t, c.edge.clock.monotonic(), c.edge.clock.now(), clockTolerance)
}

// Messages are decoded as they were encoded, and truncated ones are rejected.
func TestMessagesAreDecodedAsTheyWereSent(t *testing.T) {
	_, message := newNodeWithPeers(t, 3)
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

// A node whose read of the registry is delayed learns of a removal from its peers.
func TestPeersTellOfRemovedUpstreams(t *testing.T) {
	receiver, _ := newNodeWithPeers(t, 1)
	sender, _ := newNodeWithPeers(t, 1)
	sender.edge.settings.Name = "other"
	now := sender.edge.clock.monotonic()
	sender.handleChanges(sender.registry.Remove("i-0000000002", 0, now))
	require.Len(t, receiver.registry.Upstreams(), 4)
	peer := sender.addPeer("self", "10.0.0.1:1", "a", now)
	receiver.receive(sender.buildMessage(peer, now), receiver.edge.clock.monotonic())
	require.Len(t, receiver.registry.Upstreams(), 3)
	require.Len(t, receiver.outgoingLeaving(receiver.edge.clock.monotonic()), 1, "the receiver forwards it")
	require.Empty(t, sender.outgoingLeaving(now.Add(time.Minute)))
}

// newNodeWithPeers returns the control state of a node that has received a message from each of its
// peers and has four engines for each of them.
func newNodeWithPeers(tb testing.TB, peers int) (*control, func(i int) *api.EdgeExchange) {
	e := New(platform.Settings{
		Name: "self", Bounds: platform.Bounds{UsageWindow: 5 * time.Second, Contact: 3 * time.Second, Lease: 3 * time.Second},
	}, zerolog.New(io.Discard))
	e.ctx = tb.Context()
	now := e.clock.monotonic()
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
			Address: "10.2.0.26:7060", DataCentre: fmt.Sprintf("dc-%d", i%6), ClockMS: time.Now().UnixMilli(), SentMS: time.Now().UnixMilli(),
			Usage: map[string]map[int64]map[string]int64{}, QuotaLevels: map[string]float64{},
			QuotaReport: &api.EdgeQuotaReport{Parent: e.incarnation, Session: 1, Used: map[string]float64{}, Nodes: 1},
			Leaving:     []api.EdgeLeaving{}, Suspicions: []api.EdgeSuspicion{},
		}
		for w := range 16 {
			name := fmt.Sprintf("hule%03d", w)
			m.QuotaReport.Used[name], m.QuotaLevels[name] = 12345.5, 98765.25
			for window := range usageWindowsSent {
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
		e.control.receive(message(i), now)
	}
	return e.control, message
}

func BenchmarkControl(b *testing.B) {
	for _, peers := range []int{5, 30, 118, 300, 1100} {
		c, message := newNodeWithPeers(b, peers)
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
				c.receive(m, c.edge.clock.monotonic())
			}
		})
		b.Run(fmt.Sprintf("publish/%d", peers), func(b *testing.B) {
			for b.Loop() {
				c.publish(c.edge.clock.monotonic())
			}
		})
		b.Run(fmt.Sprintf("message/%d", peers), func(b *testing.B) {
			peer := c.peers["edge-wadi-a-0"]
			size := 0
			for b.Loop() {
				raw, _ := encodeMessage(c.buildMessage(peer, c.edge.clock.monotonic()))
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
		b.Run(fmt.Sprintf("tick/%d", peers), func(b *testing.B) {
			for b.Loop() {
				c.tick(c.edge.clock.monotonic())
			}
		})
	}
}

// A hub that was the only node without access to the registry for a while treats the removal of an
// entry as genuine, and so do the nodes that rely on it.
func TestHubThatWasTurnedAwayAloneTakesARemoval(t *testing.T) {
	m := newMesh(t, 5, 1)
	for _, c := range m.nodes {
		c.registry.Put(fleet.Entry{ID: "u", BornMS: 1, Service: "pool", Address: "10.0.0.1:1", Slots: 1}, m.now)
		c.markRegistryCurrent(m.now)
	}
	m.run(20)
	hub, _ := m.hubAndReporter()
	hub.registry.SetOutage(true, m.now)
	for range 80 {
		for _, c := range m.nodes {
			if c != hub {
				c.markRegistryCurrent(m.now)
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

// A hub restarts at once while all nodes use a workspace. What they used before they knew of the new
// hub is charged, and once only.
func TestUseIsNeitherLostNorChargedTwiceWhenAHubRestarts(t *testing.T) {
	for _, size := range []int{3, 12, 40} {
		const burst, cost = 1e9, 50.0
		m := newMesh(t, size, 3)
		m.limit(quota.Limit{Rate: 1e-6, Burst: burst})
		m.run(20)
		level, used, restarts := m.nodes["n000"].edge.ledger.Levels(m.now)["w"], 0.0, 0.0
		for step := range 100 {
			for _, c := range m.nodes {
				require.True(t, c.edge.ledger.Admit("w", cost, m.now).Admitted)
				used += cost
			}
			if step%20 == 10 {
				hub, _ := m.hubAndReporter()
				m.restart(hub)
				m.limit(quota.Limit{Rate: 1e-6, Burst: burst})
				restarts++
			}
			m.run(1)
		}
		m.run(10)
		for name, c := range m.nodes {
			// The hub takes along what it used after its last message, and what it was told and did not grant on.
			require.InDelta(t, level-used, c.edge.ledger.Levels(m.now)["w"], 3*restarts*cost+1, "%d nodes, %s", size, name)
		}
	}
}
