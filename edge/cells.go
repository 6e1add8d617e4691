package edge

import (
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/cell"
)

const (
	// peerRetryDelay is how long a peer is not called after a call to it failed.
	peerRetryDelay = time.Second
	// joinFanout is the number of peers that a node calls at once while it receives no messages.
	joinFanout = 3
	// hubExchangeInterval is the interval at which hubs of different cells exchange messages.
	hubExchangeInterval = 2 * exchangeInterval
	// probeInterval is the interval at which a hub calls a member of its cell that does not
	// report to it and may not know the hub, and at which a reporter calls an unresponsive hub.
	probeInterval = 500 * time.Millisecond
	// dutyCandidates is the number of live nodes that read the topic of duties.
	dutyCandidates = 3
	// keyDuties is the key by which the nodes are ranked as candidates for the duties.
	keyDuties = "duties"
)

// refreshCells recomputes the division into cells if the set of known nodes has changed.
func (c *control) refreshCells() {
	if !c.nodesChanged {
		return
	}
	c.nodesChanged = false
	nodes := []cell.Node{{Name: c.edge.settings.Name, DataCentre: c.edge.settings.DataCentre}}
	for name, peer := range c.peers {
		nodes = append(nodes, cell.Node{Name: name, DataCentre: peer.dataCentre})
	}
	c.cells = cell.Divide(nodes)
}

// ownCell returns the name of this node's cell.
func (c *control) ownCell() string {
	c.refreshCells()
	name, _ := c.cells.CellOf(c.edge.settings.Name)
	return name
}

// sameCell reports whether a peer is in this node's cell.
func (c *control) sameCell(name string) bool {
	own := c.ownCell()
	other, known := c.cells.CellOf(name)
	return known && other == own
}

// responsive reports whether a message of the peer has arrived since a call to it last failed.
func (p *peerState) responsive() bool {
	return p.failedAt.IsZero() || p.lastReceivedAt.After(p.failedAt)
}

// callable reports whether a peer may be called: it is responsive, or its retry delay is over.
func (p *peerState) callable(now time.Time) bool {
	return p.responsive() || now.Sub(p.failedAt) > peerRetryDelay
}

// findHub returns the peer to which this node should report; nil if it is itself the hub of its
// cell. unreachable is a live node that would be the hub if it were responsive.
func (c *control) findHub(now time.Time) (hub, unreachable *peerState) {
	members := c.cells.Members(c.ownCell())
	for i, name := range members {
		if name == c.edge.settings.Name {
			return c.relayTo(unreachable, members[i+1:], now), unreachable
		}
		peer := c.peers[name]
		switch {
		case peer == nil || !peer.live(now):
		case peer.responsive():
			return peer, unreachable
		case unreachable == nil:
			unreachable = peer
		}
	}
	return nil, unreachable
}

// nextHub returns the node that would be the hub after this one; nil if there is none.
func (c *control) nextHub(now time.Time) *peerState {
	for _, name := range c.cells.Members(c.ownCell()) {
		if peer := c.peers[name]; peer != nil && peer.reporter && peer.live(now) {
			return peer
		}
	}
	return nil
}

// hasAllReports reports whether this node is the hub of its cell or would be the next one; the two get what
// the other nodes report.
func (c *control) hasAllReports(now time.Time) bool {
	preferred := 0
	for _, name := range c.cells.Members(c.ownCell()) {
		if name == c.edge.settings.Name {
			break
		}
		if peer := c.peers[name]; peer != nil && peer.live(now) {
			preferred++
		}
	}
	return preferred <= 1
}

// relayTo returns a member ranked after this node that still reports to the hub which this node
// can't reach; nil if none is known.
func (c *control) relayTo(unreachable *peerState, members []string, now time.Time) *peerState {
	if unreachable == nil {
		return nil
	}
	for _, name := range members {
		peer := c.peers[name]
		if peer != nil && peer.responsive() && peer.lastMessage != nil && now.Sub(peer.lastReceivedAt) < 2*probeInterval && peer.lastMessage.Hub == unreachable.name {
			return peer
		}
	}
	return nil
}

// exchangeTargets returns the peers to which this node sends a message now.
func (c *control) exchangeTargets(now time.Time) []*peerState {
	previousHub := c.reportsTo
	hub, unreachable := c.findHub(now)
	c.setHub(hub)
	c.setQuotaParent(now)
	var targets []*peerState
	if previousHub != nil && previousHub != hub && previousHub.responsive() {
		// It must not continue to represent this node in parallel with the new hub.
		targets = append(targets, previousHub)
	}
	switch {
	case hub != nil:
		targets = append(targets, hub)
	case !c.receivesFromCell(now):
		targets = append(append(targets, c.joinTargets(now)...), c.otherHubsIfDue(now)...)
	default:
		targets = append(targets, c.otherHubsIfDue(now)...)
	}
	if now.Sub(c.probedAt) < probeInterval {
		return targets
	}
	c.probedAt = now
	if unreachable != nil && unreachable.callable(now) {
		targets = append(targets, unreachable)
	}
	if hub == nil {
		if member := c.nonReportingMember(now); member != nil && !slices.Contains(targets, member) {
			targets = append(targets, member)
		}
	}
	return targets
}

// setHub sets the hub to which this node reports from now on.
func (c *control) setHub(hub *peerState) {
	if hub == c.reportsTo {
		return
	}
	name := c.edge.settings.Name
	if hub != nil {
		name = hub.name
	} else {
		c.edge.hubFreshness.reset()
	}
	c.edge.logger.Info().Str("hub", name).Str("cell", c.ownCell()).Int("members", len(c.cells.Members(c.ownCell()))).
		Msg("hub changed")
	c.reportsTo = hub
}

// receivesFromCell reports whether a message from this node's cell arrived recently, or the cell
// has no other node.
func (c *control) receivesFromCell(now time.Time) bool {
	members := c.cells.Members(c.ownCell())
	for _, name := range members {
		if peer := c.peers[name]; peer != nil && peer.recentlyReceived(now) {
			return true
		}
	}
	return len(members) <= 1
}

// joinTargets returns the members of the cell that were called least recently, so that each call
// returns others.
func (c *control) joinTargets(now time.Time) []*peerState {
	var targets []*peerState
	for _, name := range c.cells.Members(c.ownCell()) {
		if peer := c.peers[name]; peer != nil && peer.callable(now) {
			targets = append(targets, peer)
		}
	}
	slices.SortStableFunc(targets, func(a, b *peerState) int { return a.calledAt.Compare(b.calledAt) })
	return targets[:min(joinFanout, len(targets))]
}

// nonReportingMember returns the least recently called member of the cell that does not report to
// this node; nil if all do.
func (c *control) nonReportingMember(now time.Time) *peerState {
	var chosen *peerState
	for _, name := range c.cells.Members(c.ownCell()) {
		peer := c.peers[name]
		if peer == nil || now.Sub(peer.lastReceivedAt) < probeInterval || !peer.callable(now) {
			continue
		}
		if chosen == nil || peer.calledAt.Before(chosen.calledAt) {
			chosen = peer
		}
	}
	return chosen
}

// otherHubsIfDue returns the hubs of the other cells if the next exchange with them is due.
func (c *control) otherHubsIfDue(now time.Time) []*peerState {
	if now.Sub(c.otherHubsContactedAt) < hubExchangeInterval {
		return nil
	}
	c.otherHubsContactedAt = now
	return c.otherCellHubs(now)
}

// otherCellHubs returns the presumed hub of each other cell.
func (c *control) otherCellHubs(now time.Time) []*peerState {
	own := c.ownCell()
	var hubs []*peerState
	for _, name := range c.cells.Cells() {
		if name == own {
			continue
		}
		if hub := c.likelyHub(name, now); hub != nil {
			hubs = append(hubs, hub)
		}
	}
	return hubs
}

// likelyHub returns the first live and responsive node of a cell, or else the least recently
// called one.
func (c *control) likelyHub(name string, now time.Time) *peerState {
	var chosen *peerState
	for _, member := range c.cells.Members(name) {
		peer := c.peers[member]
		if peer == nil || !peer.callable(now) {
			continue
		}
		if peer.live(now) && peer.responsive() {
			return peer
		}
		if chosen == nil || peer.calledAt.Before(chosen.calledAt) {
			chosen = peer
		}
	}
	return chosen
}

// isDutyCandidate reports whether this node is among the highest ranked live nodes, which may take
// the duties.
func (c *control) isDutyCandidate(now time.Time) bool {
	names := []string{c.edge.settings.Name}
	for name, peer := range c.peers {
		if peer.live(now) {
			names = append(names, name)
		}
	}
	cell.Rank(keyDuties, names)
	return slices.Index(names, c.edge.settings.Name) < dutyCandidates
}
