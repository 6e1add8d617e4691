package edge

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/platform"
)

// A node answers a peer that has just started with all it knows, and with nothing once that
// peer is up to date.
func TestOnlyPeersThatAreBehindAreAnswered(t *testing.T) {
	c, message := benchNode(t, 3)
	newcomer := message(0)
	newcomer.Node, newcomer.Incarnation = "newcomer", "first"
	require.True(t, c.behind(newcomer))
	c.heard(newcomer, c.edge.clock.steady())
	require.False(t, c.behind(newcomer))
	newcomer.Incarnation = "second"
	require.True(t, c.behind(newcomer), "it has started again")
	c.table = catalog.NewTable(&catalog.Config{Version: 7})
	c.heard(newcomer, c.edge.clock.steady())
	require.True(t, c.behind(newcomer), "its configuration is older")
	newcomer.ConfigVersion = 7
	require.False(t, c.behind(newcomer))
}

func TestFullExchangeTellsEveryAddressAndOthersAFew(t *testing.T) {
	c, _ := benchNode(t, 30)
	now := c.edge.clock.steady()
	require.Len(t, c.exchange(now).Peers, peersTold)
	require.Nil(t, c.exchange(now).QuotaLevels)
	require.Len(t, c.fullExchange(now).Peers, 30)
	require.NotNil(t, c.fullExchange(now).QuotaLevels)
}

// Of a large fleet only a part is heard within the time for which a load counts.
func TestLoadOfALargeFleetIsEstimatedFromThePartThatWasHeard(t *testing.T) {
	c, message := benchNode(t, 100)
	now := c.edge.clock.steady().Add(loadFresh + time.Second)
	for i := range 25 {
		m := message(i)
		m.ClockMS += 2000
		m.SentMS += 2000
		m.Load = []api.EdgeLoad{{Upstream: "u", Running: 2, Due: 1, QueuedTokens: 1000}}
		c.heard(m, now)
	}
	require.Equal(t, api.EdgeLoad{Upstream: "u", Running: 200, Due: 100, QueuedTokens: 100_000}, c.othersLoad(now)["u"])
}

// A node whose read of the registry is held up learns of a removal from its peers.
func TestPeersTellOfRemovedUpstreams(t *testing.T) {
	told, _ := benchNode(t, 1)
	other, _ := benchNode(t, 1)
	other.edge.settings.Name = "other"
	now := other.edge.clock.steady()
	other.changed(other.registry.Remove("i-0000000002", 0, now))
	require.Len(t, told.registry.Upstreams(), 4)
	told.heard(other.exchange(now), told.edge.clock.steady())
	require.Len(t, told.registry.Upstreams(), 3)
	require.Len(t, told.exchange(told.edge.clock.steady()).Leaving, 1, "and passes it on")
	require.Empty(t, other.exchange(now.Add(time.Minute)).Leaving)
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
			Address: "10.2.0.26:7060", ClockMS: time.Now().UnixMilli(), SentMS: time.Now().UnixMilli(), Peers: map[string]string{},
			Usage: map[int64]map[string]int64{}, QuotaUsed: map[string]float64{}, QuotaLevels: map[string]float64{},
			Leaving: []api.EdgeLeaving{}, Suspicions: []api.EdgeSuspicion{},
		}
		for w := range 16 {
			name := fmt.Sprintf("hule%03d", w)
			m.QuotaUsed[name], m.QuotaLevels[name] = 12345.5, 98765.25
			for window := range 6 {
				if m.Usage[int64(353445120+window)] == nil {
					m.Usage[int64(353445120+window)] = map[string]int64{}
				}
				m.Usage[int64(353445120+window)][name] = 100
			}
		}
		for j := range min(40, 4*peers) {
			m.Load = append(m.Load, api.EdgeLoad{Upstream: fmt.Sprintf("i-%010x/1774196826088", (i+j*7)%(4*peers)), Running: 2, Due: 1, QueuedTokens: 4000})
			m.Placed = append(m.Placed, api.EdgePlacement{Sequence: int64(j), Upstream: fmt.Sprintf("i-%010x/1774196826088", (i+j*7)%(4*peers)), Chain: 0x1234567890abcdef, Tokens: 5000})
		}
		for j := range peers {
			m.Peers[fmt.Sprintf("edge-wadi-a-%d", j)] = "10.2.0.26:7060"
		}
		return m
	}
	for i := range peers {
		e.control.heard(message(i), now)
	}
	return e.control, message
}

func BenchmarkControl(b *testing.B) {
	for _, peers := range []int{5, 30, 300, 1100} {
		c, message := benchNode(b, peers)
		raw, _ := json.Marshal(message(0))
		b.Run(fmt.Sprintf("decode/%d", peers), func(b *testing.B) {
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				var m api.EdgeExchange
				_ = json.Unmarshal(raw, &m)
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
		b.Run(fmt.Sprintf("exchange/%d", peers), func(b *testing.B) {
			for b.Loop() {
				_, _ = json.Marshal(c.exchange(c.edge.clock.steady()))
			}
		})
		b.Run(fmt.Sprintf("tick/%d", peers), func(b *testing.B) {
			for b.Loop() {
				c.tick(c.edge.clock.steady())
			}
		})
	}
}
