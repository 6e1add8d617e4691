package edge

import (
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/quota"
)

const (
	// peerLive is how long a peer counts as live after it was heard, or another told of it.
	peerLive = 2 * time.Second
	// peerMemory is how long a silent peer is still known; a killed process is back within
	// seconds, a cut heals within tens of seconds.
	peerMemory = 45 * time.Second
	// loadFresh is how long the load that a peer tells of counts.
	loadFresh = 700 * time.Millisecond
	// nodesMemory is how long the highest number of nodes counts for the shares of the
	// retry budget; it is several of the budget's windows.
	nodesMemory = 30 * time.Second
	// joinTime is how long a node that has heard no peer takes no share of the budget.
	joinTime = 2 * time.Second
	// unheardNodes is the number of nodes a node assumes that has heard of none.
	unheardNodes = 5
	// retryShare is the part of the budget's burst that is dealt out; the rest covers
	// nodes that start again with a whole share.
	retryShare = 0.5
)

// peerState is what is known of another node.
type peerState struct {
	name, address, dataCentre string
	incarnation               string
	// heardAt is when its last message came, toldAt when another node last told that it
	// lives, knownAt when its address was learned.
	heardAt, toldAt, knownAt time.Time
	// askedAt is when this node last called it, failedAt when a call last got no answer.
	askedAt, failedAt time.Time
	// calling says that a call is under way.
	calling bool
	message *api.EdgeExchange
	// reporter says that it reports to this node.
	reporter bool
	// fresh says that it has just started, and was not told of quotas yet.
	fresh bool
	// placed is the sequence of the newest placement that was taken from it, placedTold
	// the newest of this node's that it has.
	placed, placedTold int64
	// limitsTurn is where the next message to it goes on to tell of older limits.
	limitsTurn int
	// members are the nodes that it hears of, by their version; knowsMembers is the version
	// of this node's members that it has.
	members                      []string
	membersVersion, knowsMembers uint64
	// registrySeen is the version of its registry that this node has, registryTold that of
	// this node's that it has.
	registrySeen, registryTold int64
}

// heard says whether a peer was heard lately.
func (p *peerState) heard(now time.Time) bool { return now.Sub(p.heardAt) < peerLive }

// live says whether a peer was heard, or told of, lately.
func (p *peerState) live(now time.Time) bool { return p.heard(now) || now.Sub(p.toldAt) < peerLive }

// lastSign returns when the peer was heard or told of, or else learned of.
func (p *peerState) lastSign() time.Time {
	last := p.heardAt
	if p.toldAt.After(last) {
		last = p.toldAt
	}
	if last.IsZero() {
		return p.knownAt
	}
	return last
}

// started forgets what went with an earlier incarnation of the peer.
func (p *peerState) started(incarnation string) {
	p.incarnation, p.message, p.reporter, p.fresh = incarnation, nil, false, true
	p.placed, p.placedTold, p.registrySeen, p.registryTold = 0, 0, 0, 0
	p.members, p.membersVersion, p.knowsMembers = nil, 0, 0
}

// heard takes a peer's message, and returns the peer; nil if it is this node itself or the
// message is older than what is known.
func (c *control) heard(message *api.EdgeExchange, now time.Time) *peerState {
	e := c.edge
	if message.Node == e.settings.Name && message.Incarnation == e.incarnation {
		return nil
	}
	e.mergeUsage(message.Usage)
	if message.Node == e.settings.Name {
		return nil
	}
	peer := c.addPeer(message.Node, message.Address, message.DataCentre, now)
	if known := peer.message; known != nil && known.Incarnation == message.Incarnation && message.SentMS < known.SentMS {
		return nil
	}
	if !peer.live(now) {
		e.logger.Info().Str("peer", message.Node).Str("address", message.Address).Str("incarnation", message.Incarnation).
			Msg("peer heard")
	}
	if peer.incarnation != message.Incarnation {
		peer.started(message.Incarnation)
	}
	peer.address, peer.heardAt, peer.message = message.Address, now, message
	peer.reporter = message.Hub == e.settings.Name
	if message.MembersKnown != 0 {
		peer.fresh = false
	}
	peer.placedTold, peer.knowsMembers, peer.registryTold = message.PlacedSeen, message.MembersKnown, message.RegistrySeen
	c.takePlacements(peer, message.Placed, now)
	if !c.wasHeldUp(now) {
		c.takeClocks(message)
	}
	c.takeQuota(peer, message, now)
	c.takeLeaving(message.Leaving, now)
	if message.RegistryAgeMS < neverMS {
		c.registry.ApplyPeerRead(asOf(message.RegistryAgeMS, now))
	}
	c.takeLimits(peer, message.Limits)
	c.takeSuspicions(message.Suspicions, now)
	c.takeMembers(peer, message, now)
	c.stale = true
	if message.ConfigVersion > c.configVersion() {
		c.aheadVersion, c.aheadAt = message.ConfigVersion, now
		c.fetchConfig(message.Address, now)
	}
	return peer
}

// takeClocks takes a peer's estimate of the time, and those that it tells of.
func (c *control) takeClocks(message *api.EdgeExchange) {
	c.edge.clock.heard(message.Node, time.UnixMilli(message.ClockMS))
	for name, estimate := range message.Clocks {
		if name != c.edge.settings.Name {
			c.edge.clock.heard(name, time.UnixMilli(estimate))
		}
	}
}

// takeQuota takes a peer's news of quotas. Of the peers that speak for all only the one to
// which this node reports counts, since each tells of the same use.
func (c *control) takeQuota(peer *peerState, message *api.EdgeExchange, now time.Time) {
	if message.All && peer != c.reportsTo && c.reportsTo != nil {
		return
	}
	c.edge.ledgerLock.Lock()
	defer c.edge.ledgerLock.Unlock()
	c.edge.ledger.ApplyUpdate(quota.Update{
		Node: message.Node, Incarnation: message.Incarnation, Reporter: peer.reporter, Nodes: message.Nodes,
		Used: message.QuotaUsed, Baseline: message.QuotaBase, Levels: message.QuotaLevels, SentAt: time.UnixMilli(message.SentMS),
	}, now)
}

// answered takes a peer's answer to a message that was sent at a time. What it knows is at
// most as old as it says and the call took.
func (c *control) answered(message *api.EdgeExchange, sentAt, now time.Time) {
	peer := c.heard(message, now)
	if peer == nil {
		return
	}
	if peer == c.reportsTo {
		c.edge.ledgerLock.Lock()
		c.edge.ledger.RecordAck(now)
		c.edge.ledgerLock.Unlock()
	}
	if at := asOf(message.ConfigAgeMS, sentAt); message.ConfigVersion == c.configVersion() && at.After(c.confirmedAt) {
		c.confirm(at)
	}
	if message.Registry == nil || message.Registry.AgeMS >= neverMS || peer != c.reportsTo {
		return
	}
	c.takeRegistry(peer, message.Registry, asOf(message.Registry.AgeMS, sentAt), now)
	c.edge.vouched.config.Store(asOf(message.ConfigAgeMS, sentAt).UnixNano())
	c.edge.vouched.registry.Store(asOf(message.Registry.AgeMS, sentAt).UnixNano())
	c.edge.vouched.nodes.Store(now.UnixNano())
}

// fetchConfig asks a peer for its configuration, unless it or another was asked just now. A
// peer that hangs holds up no other.
func (c *control) fetchConfig(address string, now time.Time) {
	for asked, at := range c.fetches {
		if asked == address || now.Sub(at) < fetchPatience {
			return
		}
	}
	c.fetches[address] = now
	c.edge.peers.fetchConfig(address, func() { delete(c.fetches, address) })
}

// addPeer notes the address of a node that was heard of, and returns what is known of it; nil
// for this node.
func (c *control) addPeer(name, address, dataCentre string, now time.Time) *peerState {
	if name == c.edge.settings.Name || address == "" {
		return nil
	}
	known := c.peers[name]
	if known == nil {
		known = &peerState{name: name, address: address, dataCentre: dataCentre, knownAt: now}
		c.peers[name] = known
		c.nodesChanged = true
		return known
	}
	if !known.live(now) {
		known.address = address
	}
	if known.dataCentre != dataCentre && dataCentre != "" {
		known.dataCentre, c.nodesChanged = dataCentre, true
	}
	return known
}

// forgetPeers drops peers that were silent for long.
func (c *control) forgetPeers(now time.Time) {
	for name, peer := range c.peers {
		if now.Sub(peer.lastSign()) > peerMemory {
			delete(c.peers, name)
			c.nodesChanged = true
			c.edge.clock.forget(name)
			c.edge.ledgerLock.Lock()
			c.edge.ledger.RemovePeer(name)
			c.edge.ledgerLock.Unlock()
			c.edge.logger.Info().Str("peer", name).Str("address", peer.address).Msg("peer forgotten")
		}
	}
}

// nodes returns the number of nodes that may be admitting requests, this one included.
func (c *control) nodes(now time.Time) int {
	count := 1
	for _, peer := range c.peers {
		if c.mayServe(peer, now) {
			count++
		}
	}
	return count
}

// mayServe says whether a peer may be admitting requests.
func (c *control) mayServe(peer *peerState, now time.Time) bool {
	return now.Sub(peer.lastSign()) < c.edge.bounds.Load().Contact+peerLive
}

// retryBurst returns this node's part of the retries that need no requests to pay for them.
func (c *control) retryBurst(now time.Time) float64 {
	nodes := c.nodes(now)
	if nodes == 1 {
		if now.Sub(c.edge.startedSteady) < joinTime {
			return 0
		}
		nodes = max(unheardNodes, c.mostNodes)
	}
	if nodes >= c.mostNodes || now.Sub(c.mostAt) > nodesMemory {
		c.mostNodes, c.mostAt = nodes, now
	}
	return retryShare * c.edge.bounds.Load().RetryBurst / float64(max(1, c.mostNodes))
}

// othersLoad sums what the other nodes have under way at each upstream.
func (c *control) othersLoad(now time.Time) map[uint32]api.EdgeLoad {
	sum := map[uint32]api.EdgeLoad{}
	for _, peer := range c.loadPeers(now) {
		addLoads(sum, peer.message.Load)
	}
	return sum
}

func incarnationOf(bornMS int64) string { return strconv.FormatInt(bornMS, 10) }
