package edge

import (
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// peerLiveTime is how long a peer counts as live after its last message, or after another peer
	// last reported it as live.
	peerLiveTime = 2 * time.Second
	// peerRetention is how long a silent peer is retained; a killed process is back within
	// seconds, a network partition heals within tens of seconds.
	peerRetention = 45 * time.Second
	// maxLoadAge is how long the load that a peer reports is used.
	maxLoadAge = 700 * time.Millisecond
	// peakNodesRetention is how long the highest number of nodes determines the shares of the
	// retry budget; regions may lose each other for minutes.
	peakNodesRetention = 10 * time.Minute
	// joinDelay is how long after its start a node that knows no peer takes no share of the
	// upstreams' limits.
	joinDelay = 2 * time.Second
	// assumedNodes is the minimum number of nodes that share the retry budget.
	assumedNodes = 5
	// retryBurstShare is the fraction of the budget's burst that is distributed to the nodes; the
	// rest covers nodes that do not know all others yet.
	retryBurstShare = 0.5
)

// peerState is this node's view of another node.
type peerState struct {
	name, address, dataCentre string
	incarnation               string
	// lastReceivedAt is when its last message arrived, lastReportedAt when another node last reported
	// it as live, addedAt when its address became known.
	lastReceivedAt, lastReportedAt, addedAt time.Time
	// calledAt is when this node last called it, failedAt when a call last failed.
	calledAt, failedAt time.Time
	// refusedAt is when its host last refused a connection: no process was running there.
	refusedAt time.Time
	// callInFlight is set while a call to it is under way.
	callInFlight bool
	lastMessage  *api.EdgeExchange
	// readings are the newest samples of engines received from it, at readingsAt; readingsSentAt is when
	// it was last sent this node's.
	readings                   map[uint32]routing.ReadingSamples
	readingsAt, readingsSentAt time.Time
	// reporter is set if it reports to this node.
	reporter bool
	// needsQuotaLevels is set if it has just started and does not have the quota levels yet.
	needsQuotaLevels bool
	// receivedPlacement is the sequence of the newest placement received from it, ackedPlacement that
	// of the newest of this node's placements that it acknowledged.
	receivedPlacement, ackedPlacement int64
	// limitsOffset is the round-robin position in the older limits for the next message to it.
	limitsOffset int
	// members are the nodes that it reports as live, as of membersVersion; ackedMembersVersion is
	// the version of this node's members that it acknowledged.
	members                             []string
	membersVersion, ackedMembersVersion uint64
	// registryVersion is the version of its registry that this node has, ackedRegistryVersion the
	// version of this node's registry that it acknowledged.
	registryVersion, ackedRegistryVersion int64
}

// recentlyReceived reports whether a message of the peer arrived recently.
func (p *peerState) recentlyReceived(now time.Time) bool {
	return now.Sub(p.lastReceivedAt) < peerLiveTime
}

// live reports whether a message of the peer arrived recently, or another peer recently reported it
// as live.
func (p *peerState) live(now time.Time) bool {
	return p.recentlyReceived(now) || now.Sub(p.lastReportedAt) < peerLiveTime
}

// lastSeen returns when the peer was last known to be live, or else when it was added.
func (p *peerState) lastSeen() time.Time {
	last := p.lastReceivedAt
	if p.lastReportedAt.After(last) {
		last = p.lastReportedAt
	}
	if last.IsZero() {
		return p.addedAt
	}
	return last
}

// resetForIncarnation clears the state of an earlier incarnation of the peer.
func (p *peerState) resetForIncarnation(incarnation string) {
	p.incarnation, p.lastMessage, p.reporter, p.needsQuotaLevels = incarnation, nil, false, true
	p.receivedPlacement, p.ackedPlacement, p.registryVersion, p.ackedRegistryVersion = 0, 0, 0, 0
	p.members, p.membersVersion, p.ackedMembersVersion = nil, 0, 0
	p.readings, p.readingsSentAt = nil, time.Time{}
}

// receive applies a peer's message and returns the peer; nil if the sender is this node itself or
// the message is older than the last one.
func (c *control) receive(message *api.EdgeExchange, now time.Time) *peerState {
	e := c.edge
	if message.Node == e.settings.Name && message.Incarnation == e.incarnation {
		return nil
	}
	e.mergeUsage(message.Usage)
	if message.Node == e.settings.Name {
		return nil
	}
	peer := c.addPeer(message.Node, message.Address, message.DataCentre, now)
	if known := peer.lastMessage; known != nil && known.Incarnation == message.Incarnation && message.SentMS < known.SentMS {
		return nil
	}
	if !peer.live(now) {
		e.logger.Info().Str("peer", message.Node).Str("address", message.Address).Str("incarnation", message.Incarnation).
			Msg("peer is live")
	}
	if peer.incarnation != message.Incarnation {
		e.ledgerLock.Lock()
		e.ledger.RemoveChild(peer.incarnation)
		e.ledgerLock.Unlock()
		peer.resetForIncarnation(message.Incarnation)
	}
	peer.address, peer.lastReceivedAt, peer.lastMessage = message.Address, now, message
	peer.reporter = message.Hub == e.settings.Name
	if message.MembersKnown != 0 {
		peer.needsQuotaLevels = false
	}
	peer.ackedPlacement, peer.ackedMembersVersion, peer.ackedRegistryVersion = message.PlacedSeen, message.MembersKnown, message.RegistrySeen
	c.applyPlacements(peer, message.Placed, now)
	if !c.recentlyStalled(now) {
		c.applyClocks(message)
	}
	c.applyQuota(peer, message, now)
	c.applyLeaving(message.Leaving, now)
	if message.RegistryAgeMS < unknownAgeMS {
		c.registry.ApplyPeerRead(timeOfAge(message.RegistryAgeMS, now))
	}
	c.applyLimits(peer, message.Limits)
	peer.applyReadings(message.Readings, c.gateClock(), now)
	c.applySuspicions(message.Suspicions, now)
	c.applyMembers(peer, message, now)
	c.rollouts.apply(message.Rollouts, now)
	c.rollouts.applyCounts(message.RolloutCounts)
	c.publishPending = true
	if message.ConfigVersion > c.configVersion() {
		c.newerVersion, c.newerVersionAt = message.ConfigVersion, now
		c.fetchConfig(message.Address, now)
	}
	return peer
}

// applyClocks applies a peer's estimate of the time and those that it forwards.
func (c *control) applyClocks(message *api.EdgeExchange) {
	c.edge.clock.addEstimate(message.Node, time.UnixMilli(message.ClockMS))
	for name, estimate := range message.Clocks {
		if name != c.edge.settings.Name {
			c.edge.clock.addEstimate(name, time.UnixMilli(estimate))
		}
	}
}

// receiveReply applies a peer's reply to a message sent at sentAt. Its data is at most as old as the
// age that it states plus the duration of the call.
func (c *control) receiveReply(message *api.EdgeExchange, sentAt, now time.Time) {
	c.noticeIgnoredReport(message)
	peer := c.receive(message, now)
	if peer == nil {
		return
	}
	if at := timeOfAge(message.ConfigAgeMS, sentAt); message.ConfigVersion == c.configVersion() && at.After(c.configConfirmedAt) {
		c.confirmConfig(at)
	}
	if message.Registry == nil || message.Registry.AgeMS >= unknownAgeMS || peer != c.reportsTo {
		return
	}
	c.applyRegistry(peer, message.Registry, timeOfAge(message.Registry.AgeMS, sentAt), now)
	c.edge.hubFreshness.config.Store(timeOfAge(message.ConfigAgeMS, sentAt).UnixNano())
	c.edge.hubFreshness.registry.Store(timeOfAge(message.Registry.AgeMS, sentAt).UnixNano())
	c.edge.hubFreshness.nodes.Store(now.UnixNano())
}

// fetchConfig requests the configuration of a peer, unless a fetch from it is under way or one from
// another peer has just started. A peer that hangs does not block fetches from others.
func (c *control) fetchConfig(address string, now time.Time) {
	for fetching, at := range c.configFetches {
		if fetching == address || now.Sub(at) < fetchHedgeDelay {
			return
		}
	}
	c.configFetches[address] = now
	c.edge.peers.fetchConfig(address, func() { delete(c.configFetches, address) })
}

// addPeer adds a node or updates its address, and returns its state; nil for this node.
func (c *control) addPeer(name, address, dataCentre string, now time.Time) *peerState {
	if name == c.edge.settings.Name || address == "" {
		return nil
	}
	known := c.peers[name]
	if known == nil {
		known = &peerState{name: name, address: address, dataCentre: dataCentre, addedAt: now}
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

// evictPeers removes peers that have been silent for the retention time.
func (c *control) evictPeers(now time.Time) {
	for name, peer := range c.peers {
		if now.Sub(peer.lastSeen()) > peerRetention {
			delete(c.peers, name)
			c.nodesChanged = true
			c.edge.clock.removeEstimate(name)
			c.edge.ledgerLock.Lock()
			c.edge.ledger.RemoveChild(peer.incarnation)
			c.edge.ledgerLock.Unlock()
			c.edge.logger.Info().Str("peer", name).Str("address", peer.address).Msg("peer evicted")
		}
	}
}

// nodeCount returns the number of nodes that may be admitting requests, this one included.
func (c *control) nodeCount(now time.Time) int {
	count := 1
	for _, peer := range c.peers {
		if c.mayBeServing(peer, now) {
			count++
		}
	}
	return count
}

// mayBeServing reports whether a peer may be admitting requests.
func (c *control) mayBeServing(peer *peerState, now time.Time) bool {
	return now.Sub(peer.lastSeen()) < c.edge.bounds.Load().Contact+peerLiveTime
}

// retryBurst returns this node's share of the retry budget's burst: the retries that are allowed
// without earlier requests to fund them.
func (c *control) retryBurst(now time.Time) float64 {
	nodes := max(assumedNodes, c.nodeCount(now))
	if nodes >= c.peakNodes || now.Sub(c.peakNodesAt) > peakNodesRetention {
		c.peakNodes, c.peakNodesAt = nodes, now
	}
	bounds := c.edge.bounds.Load()
	share := retryBurstShare * bounds.RetryBurst / float64(c.peakNodes)
	if now.Sub(c.edge.startedMonotonic) < retry.Retention(bounds.RetryWindow) {
		// The previous process of this node may have used the share, and peers may still be unknown.
		share = 0
	}
	c.recordRetryBurst(share, nodes, now)
	return share
}

// recordRetryBurst exposes this node's share of the retry budget's burst, and logs it if it changed.
func (c *control) recordRetryBurst(share float64, nodes int, now time.Time) {
	c.edge.metrics.retryBurst.Set(share)
	if share == c.loggedRetryBurst {
		return
	}
	c.loggedRetryBurst = share
	c.edge.logger.Info().Float64("retry_burst", share).Int("nodes", nodes).Int("peak_nodes", c.peakNodes).
		Dur("since_start_ms", now.Sub(c.edge.startedMonotonic)).Msg("share of the retry budget changed")
}

// peerLoad sums the load of the other nodes at each upstream.
func (c *control) peerLoad(now time.Time) map[uint32]api.EdgeLoad {
	sum := map[uint32]api.EdgeLoad{}
	for _, peer := range c.peersWithLoad(now) {
		addLoads(sum, peer.lastMessage.Load)
	}
	return sum
}

func incarnationOf(bornMS int64) string { return strconv.FormatInt(bornMS, 10) }
