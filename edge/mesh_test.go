package edge

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/quota"
)

// mesh is a simulated fleet of control states that exchange messages in steps, without sockets.
type mesh struct {
	t     require.TestingT
	now   time.Time
	nodes map[string]*control
	// isCut reports whether messages from one node to another are lost; nil for none.
	isCut func(from, to string) bool
}

func newMesh(t require.TestingT, size, dataCentres int) *mesh {
	m := &mesh{t: t, now: time.Now(), nodes: map[string]*control{}}
	for i := range size {
		m.start(fmt.Sprintf("n%03d", i), fmt.Sprintf("dc-%d", i%dataCentres))
	}
	return m
}

// start adds a node that has the addresses of all others, as if read from the topic of nodes.
func (m *mesh) start(name, dataCentre string) {
	m.startAlone(name, dataCentre)
	for other := range m.nodes {
		m.introduce(name, other)
	}
}

// startAlone adds a node that knows no other node, as while the store is down.
func (m *mesh) startAlone(name, dataCentre string) {
	e := New(platform.Settings{
		Name: name, DataCentre: dataCentre, PeerPort: 1,
		Bounds: platform.Bounds{
			UsageWindow: 5 * time.Second, Contact: contactBound, ConfigApply: applyBound, Drain: drainBound, Lease: 3 * time.Second,
			RetryRatio: retryRatio, RetryWindow: retryWindow, RetryBurst: retryBurst,
		},
	}, zerolog.New(io.Discard))
	e.startedMonotonic = m.now
	m.nodes[name] = e.control
}

// introduce gives two nodes each other's address.
func (m *mesh) introduce(a, b string) {
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		if c := m.nodes[pair[1]]; c != nil && pair[0] != pair[1] && m.nodes[pair[0]] != nil {
			m.nodes[pair[0]].addPeer(pair[1], pair[1], c.edge.settings.DataCentre, m.now)
		}
	}
}

func (m *mesh) kill(c *control) { delete(m.nodes, c.edge.settings.Name) }

func (m *mesh) restart(c *control) {
	m.kill(c)
	m.start(c.edge.settings.Name, c.edge.settings.DataCentre)
}

// run makes every node perform a number of exchanges.
func (m *mesh) run(exchanges int) {
	for range exchanges {
		m.now = m.now.Add(exchangeInterval)
		for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
			c := m.nodes[name]
			for _, peer := range c.exchangeTargets(m.now) {
				peer.calledAt = m.now
				m.exchange(c, peer)
			}
			c.evictPeers(m.now)
		}
	}
}

func (m *mesh) exchange(from *control, peer *peerState) {
	to := m.nodes[peer.name]
	if to == nil || (m.isCut != nil && m.isCut(from.edge.settings.Name, peer.name)) {
		peer.callFailed(to == nil, m.now)
		return
	}
	message := from.buildMessage(peer, m.now)
	sender := to.receive(m.transmit(message), m.now)
	if sender == nil {
		return
	}
	from.receiveReply(m.transmit(to.buildMessage(sender, m.now)), m.now, m.now)
}

// transmit encodes and decodes a message, and returns it as the receiver gets it.
func (m *mesh) transmit(message *api.EdgeExchange) *api.EdgeExchange {
	raw, err := encodeMessage(message)
	require.NoError(m.t, err)
	var arrived api.EdgeExchange
	require.NoError(m.t, decodeMessage(raw, &arrived))
	arrived.Address = arrived.Node
	return &arrived
}

// limit sets the quota of the workspace w at all nodes.
func (m *mesh) limit(limit quota.Limit) {
	limit.RestartBurst = limit.Burst / 4
	for _, c := range m.nodes {
		c.edge.ledger.Configure(map[string]quota.Limit{"w": limit}, len(m.nodes), maxMissedExchanges*exchangeInterval, m.now)
	}
}

// hubAndReporter returns a hub and one of the nodes that report to it.
func (m *mesh) hubAndReporter() (hub, reporter *control) {
	for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
		members := m.nodes[name].cells.Members(m.nodes[name].ownCell())
		if len(members) < 2 || m.nodes[members[0]] == nil || m.nodes[members[1]] == nil {
			continue
		}
		return m.nodes[members[0]], m.nodes[members[1]]
	}
	return nil, nil
}

// requireLoad checks every node's view of the others' load at the upstream u/1, where all nodes
// together run so many requests.
func (m *mesh) requireLoad(running int) {
	for name, c := range m.nodes {
		own := 0
		if tracker := c.trackers["u/1"]; tracker != nil {
			own = int(tracker.InFlight.Load())
		}
		require.Equal(m.t, running-own, c.peerLoad(m.now)[upstreamHash("u/1")].Running, name)
	}
}
