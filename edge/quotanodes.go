package edge

import "time"

// Decisions of this file answer a partition during a burst of one workspace: the nodes that are cut off
// and the others must stay within one quota, though neither hears of the other's use.

// aloneRetention is how long a node that hears of no other divides the quotas by the highest number of
// nodes that it knew; regions may lose each other for minutes.
const aloneRetention = 10 * time.Minute

// quotaPeak is the highest number of nodes and when it was last reached.
type quotaPeak struct {
	nodes int
	at    time.Time
}

// callFailed records that a call to the peer failed, and whether its host refused the connection.
func (p *peerState) callFailed(refused bool, now time.Time) {
	p.failedAt = now
	if refused {
		p.refusedAt = now
	}
}

// mayAdmit reports whether a peer may be admitting requests that are not told to this node. A peer
// that vanished without a trace may be cut off. One whose host refuses connections has ended.
func (c *control) mayAdmit(peer *peerState, now time.Time) bool {
	if c.mayBeServing(peer, now) {
		return true
	}
	everSeen := !peer.lastReceivedAt.IsZero() || !peer.lastReportedAt.IsZero()
	return everSeen && !peer.refusedAt.After(peer.lastSeen())
}

// setQuotaNodes sets the number of nodes that the ledger divides the quotas by.
func (c *control) setQuotaNodes(nodes int) {
	if nodes != c.configuredQuotaNodes {
		c.edge.logger.Info().Int("nodes", nodes).Int64("serving", c.fleetSize.Load()).Int("peak_nodes", c.quotaPeak.nodes).
			Int("known", len(c.peers)+1).Bool("holds_duties", c.duties.leaseHeld.Load()).Msg("quotas are divided by another number of nodes")
	}
	c.configuredQuotaNodes = nodes
	c.edge.metrics.room.quotaNodes.Set(float64(nodes))
}

// quotaNodes returns the number of nodes by which quotas are divided. A node that hears of no other
// and does not hold the duties either is likelier to be cut off than to be the last one.
func (c *control) quotaNodes(now time.Time) int {
	nodes, gone := 1, 0
	for _, peer := range c.peers {
		switch {
		case c.mayAdmit(peer, now):
			nodes++
		case peer.refusedAt.After(peer.lastSeen()):
			gone++
		}
	}
	peak := &c.quotaPeak
	if nodes >= peak.nodes || now.Sub(peak.at) > aloneRetention || gone > 0 {
		*peak = quotaPeak{nodes: nodes, at: now}
	}
	if nodes == 1 && !c.duties.leaseHeld.Load() {
		return peak.nodes
	}
	return nodes
}
