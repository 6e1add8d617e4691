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

// mesh is a fleet of control states that exchange messages in steps, without sockets.
type mesh struct {
	t     require.TestingT
	now   time.Time
	nodes map[string]*control
	// cut says whether a message between two nodes is lost; nil for none.
	cut func(from, to string) bool
}

func newMesh(t require.TestingT, size, dataCentres int) *mesh {
	m := &mesh{t: t, now: time.Now(), nodes: map[string]*control{}}
	for i := range size {
		m.start(fmt.Sprintf("n%03d", i), fmt.Sprintf("dc-%d", i%dataCentres))
	}
	return m
}

// start starts a node that knows the addresses of all others, as from the topic of nodes.
func (m *mesh) start(name, dataCentre string) {
	e := New(platform.Settings{
		Name: name, DataCentre: dataCentre, PeerPort: 1,
		Bounds: platform.Bounds{UsageWindow: 5 * time.Second, Contact: contactBound, ConfigApply: applyBound, Drain: drainBound, Lease: 3 * time.Second},
	}, zerolog.New(io.Discard))
	for other, c := range m.nodes {
		e.control.addPeer(other, other, c.edge.settings.DataCentre, m.now)
		c.addPeer(name, name, dataCentre, m.now)
	}
	m.nodes[name] = e.control
}

func (m *mesh) kill(c *control) { delete(m.nodes, c.edge.settings.Name) }

func (m *mesh) restart(c *control) {
	m.kill(c)
	m.start(c.edge.settings.Name, c.edge.settings.DataCentre)
}

// run makes a number of exchanges of every node.
func (m *mesh) run(exchanges int) {
	for range exchanges {
		m.now = m.now.Add(exchangeEvery)
		for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
			c := m.nodes[name]
			for _, peer := range c.partners(m.now) {
				peer.askedAt = m.now
				m.exchange(c, peer)
			}
			c.forgetPeers(m.now)
		}
	}
}

func (m *mesh) exchange(from *control, peer *peerState) {
	to := m.nodes[peer.name]
	if to == nil || (m.cut != nil && m.cut(from.edge.settings.Name, peer.name)) {
		peer.failedAt = m.now
		return
	}
	message := from.messageTo(peer, m.now)
	sender := to.heard(m.sent(message), m.now)
	if sender == nil {
		return
	}
	from.answered(m.sent(to.messageTo(sender, m.now)), m.now, m.now)
}

// sent returns a message as it arrives.
func (m *mesh) sent(message *api.EdgeExchange) *api.EdgeExchange {
	raw, err := encodeMessage(message)
	require.NoError(m.t, err)
	var arrived api.EdgeExchange
	require.NoError(m.t, decodeMessage(raw, &arrived))
	arrived.Address = arrived.Node
	return &arrived
}

// limit sets the quota of the workspace w at all nodes.
func (m *mesh) limit(limit quota.Limit) {
	for _, c := range m.nodes {
		c.edge.ledger.Configure(map[string]quota.Limit{"w": limit}, len(m.nodes), silentExchanges*exchangeEvery, m.now)
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

// requireLoad checks what every node knows of the others at the upstream u/1, where all
// together have so many requests.
func (m *mesh) requireLoad(running int) {
	for name, c := range m.nodes {
		own := 0
		if tracker := c.trackers["u/1"]; tracker != nil {
			own = int(tracker.InFlight.Load())
		}
		require.Equal(m.t, running-own, c.othersLoad(m.now)[upstreamHash("u/1")].Running, name)
	}
}
