package edge

import (
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/cell"
)

const (
	// suspectPeerFor is how long a peer that gave no answer is not called.
	suspectPeerFor = time.Second
	// joinFanout is the number of peers that a node asks at once while it hears none.
	joinFanout = 3
	// cellsEvery is the pace at which hubs of different cells tell each other.
	cellsEvery = 2 * exchangeEvery
	// probeEvery is the pace at which a hub tells a member of its cell that does not report
	// to it, which may not know of the hub, and a reporter asks a hub that did not answer.
	probeEvery = 500 * time.Millisecond
	// dutyCandidates is the number of live nodes that follow the topic of duties.
	dutyCandidates = 3
	// keyDuties ranks the nodes as candidates for the duties.
	keyDuties = "duties"
)

// divide brings the division into cells up to date with the known nodes.
func (c *control) divide() {
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
	c.divide()
	name, _ := c.cells.CellOf(c.edge.settings.Name)
	return name
}

// sameCell says whether a peer is in this node's cell.
func (c *control) sameCell(name string) bool {
	own := c.ownCell()
	other, known := c.cells.CellOf(name)
	return known && other == own
}

// answers says whether a peer has answered, or was heard, since a call to it last failed.
func (p *peerState) answers() bool { return p.failedAt.IsZero() || p.heardAt.After(p.failedAt) }

// worthAsking says whether a peer may be called: it answers, or was given a rest.
func (p *peerState) worthAsking(now time.Time) bool {
	return p.answers() || now.Sub(p.failedAt) > suspectPeerFor
}

// hub returns the peer to which this node reports; nil if it is the hub of its cell itself.
// missed is a live node that would be the hub if it answered.
func (c *control) hub(now time.Time) (hub, missed *peerState) {
	members := c.cells.Members(c.ownCell())
	for i, name := range members {
		if name == c.edge.settings.Name {
			return c.relayTo(missed, members[i+1:], now), missed
		}
		peer := c.peers[name]
		switch {
		case peer == nil || !peer.live(now):
		case peer.answers():
			return peer, missed
		case missed == nil:
			missed = peer
		}
	}
	return nil, missed
}

// deputy returns the node that would be the hub after this one; nil if there is none.
func (c *control) deputy(now time.Time) *peerState {
	for _, name := range c.cells.Members(c.ownCell()) {
		if peer := c.peers[name]; peer != nil && peer.reporter && peer.live(now) {
			return peer
		}
	}
	return nil
}

// relayTo returns a member behind this node that reaches the hub which this node does not; nil if
// none is known.
func (c *control) relayTo(missed *peerState, members []string, now time.Time) *peerState {
	if missed == nil {
		return nil
	}
	for _, name := range members {
		peer := c.peers[name]
		if peer != nil && peer.answers() && peer.message != nil && now.Sub(peer.heardAt) < 2*probeEvery && peer.message.Hub == missed.name {
			return peer
		}
	}
	return nil
}

// partners returns the peers that this node tells now.
func (c *control) partners(now time.Time) []*peerState {
	former := c.reportsTo
	hub, missed := c.hub(now)
	c.follow(hub, now)
	var partners []*peerState
	if former != nil && former != hub && former.answers() {
		// It must not go on to speak for this node beside the new hub.
		partners = append(partners, former)
	}
	switch {
	case hub != nil:
		partners = append(partners, hub)
	case !c.hearsCell(now):
		partners = append(append(partners, c.strangers(now)...), c.otherHubs(now)...)
	default:
		partners = append(partners, c.otherHubs(now)...)
	}
	if now.Sub(c.probedAt) < probeEvery {
		return partners
	}
	c.probedAt = now
	if missed != nil && missed.worthAsking(now) {
		partners = append(partners, missed)
	}
	if hub == nil {
		if member := c.unheardMember(now); member != nil && !slices.Contains(partners, member) {
			partners = append(partners, member)
		}
	}
	return partners
}

// follow notes the hub to which this node reports from now on.
func (c *control) follow(hub *peerState, now time.Time) {
	if hub == c.reportsTo {
		return
	}
	c.followedAt = now
	c.edge.ledgerLock.Lock()
	if c.reportsTo != nil {
		// What the former hub will have told meanwhile comes by the new one.
		c.edge.ledger.RemovePeer(c.reportsTo.name)
	}
	if hub == nil {
		c.edge.ledger.BecomeHub(now)
	}
	c.edge.ledgerLock.Unlock()
	name := c.edge.settings.Name
	if hub != nil {
		name = hub.name
	} else {
		c.edge.vouched.forget()
	}
	c.edge.logger.Info().Str("hub", name).Str("cell", c.ownCell()).Int("members", len(c.cells.Members(c.ownCell()))).
		Msg("hub changed")
	c.reportsTo = hub
}

// hearsCell says whether another node of this node's cell was heard lately, or there is none.
func (c *control) hearsCell(now time.Time) bool {
	members := c.cells.Members(c.ownCell())
	for _, name := range members {
		if peer := c.peers[name]; peer != nil && peer.heard(now) {
			return true
		}
	}
	return len(members) <= 1
}

// strangers returns some members of the cell of which nothing is heard, others each time.
func (c *control) strangers(now time.Time) []*peerState {
	var strangers []*peerState
	for _, name := range c.cells.Members(c.ownCell()) {
		if peer := c.peers[name]; peer != nil && peer.worthAsking(now) {
			strangers = append(strangers, peer)
		}
	}
	slices.SortStableFunc(strangers, func(a, b *peerState) int { return a.askedAt.Compare(b.askedAt) })
	return strangers[:min(joinFanout, len(strangers))]
}

// unheardMember returns a member of the cell that does not report to this node; nil if all do.
func (c *control) unheardMember(now time.Time) *peerState {
	var chosen *peerState
	for _, name := range c.cells.Members(c.ownCell()) {
		peer := c.peers[name]
		if peer == nil || now.Sub(peer.heardAt) < probeEvery || !peer.worthAsking(now) {
			continue
		}
		if chosen == nil || peer.askedAt.Before(chosen.askedAt) {
			chosen = peer
		}
	}
	return chosen
}

// otherHubs returns the hubs of the other cells if it is time to tell them.
func (c *control) otherHubs(now time.Time) []*peerState {
	if now.Sub(c.cellsToldAt) < cellsEvery {
		return nil
	}
	c.cellsToldAt = now
	return c.hubsOfOthers(now)
}

// hubsOfOthers returns the hub of each other cell, as far as this node can tell.
func (c *control) hubsOfOthers(now time.Time) []*peerState {
	own := c.ownCell()
	var hubs []*peerState
	for _, name := range c.cells.Cells() {
		if name == own {
			continue
		}
		if hub := c.hubOf(name, now); hub != nil {
			hubs = append(hubs, hub)
		}
	}
	return hubs
}

// hubOf returns the first live node of a cell, or else the one that was not asked for longest.
func (c *control) hubOf(name string, now time.Time) *peerState {
	var chosen *peerState
	for _, member := range c.cells.Members(name) {
		peer := c.peers[member]
		if peer == nil || !peer.worthAsking(now) {
			continue
		}
		if peer.live(now) && peer.answers() {
			return peer
		}
		if chosen == nil || peer.askedAt.Before(chosen.askedAt) {
			chosen = peer
		}
	}
	return chosen
}

// dutyCandidate says whether this node is among the first live ones that may take the duties.
func (c *control) dutyCandidate(now time.Time) bool {
	names := []string{c.edge.settings.Name}
	for name, peer := range c.peers {
		if peer.live(now) {
			names = append(names, name)
		}
	}
	cell.Rank(keyDuties, names)
	return slices.Index(names, c.edge.settings.Name) < dutyCandidates
}
