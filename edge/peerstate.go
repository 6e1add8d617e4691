package edge

import (
	"math"
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/fleet"
)

const (
	// peerLive is how long a peer counts as live after it was heard, and liveCycles the
	// same in cycles of a large fleet.
	peerLive   = 2 * time.Second
	liveCycles = 4
	// peerMemory is how long a silent peer is still asked; a killed process is back within
	// seconds, a cut heals within tens of seconds.
	peerMemory = 45 * time.Second
	// loadFresh is how long a peer's load counts. It does not grow with the fleet: what
	// was not heard lately is estimated from what was.
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
	address     string
	incarnation string
	heardAt     time.Time
	knownAt     time.Time
	message     *api.EdgeExchange
	// placed is the sequence of the newest placement that was taken from it.
	placed int64
}

// live says whether a peer was heard lately.
func (c *control) live(p *peerState, now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) < c.liveFor()
}

// liveFor is how long a peer counts as live after it was heard.
func (c *control) liveFor() time.Duration { return max(peerLive, liveCycles*cycle(len(c.peers))) }

// behind says whether the sender of a message lacks what this node knows: it has just
// started, or its configuration is older.
func (c *control) behind(message *api.EdgeExchange) bool {
	known := c.peers[message.Node]
	return known == nil || known.incarnation != message.Incarnation || message.ConfigVersion < c.configVersion()
}

// lastSign returns when the peer was heard, or else heard of.
func (p *peerState) lastSign() time.Time {
	if p.heardAt.IsZero() {
		return p.knownAt
	}
	return p.heardAt
}

// heard takes a peer's message.
func (c *control) heard(message *api.EdgeExchange, now time.Time) {
	e := c.edge
	if message.Node == e.settings.Name && message.Incarnation == e.incarnation {
		return
	}
	e.meter(func() { e.usage.Merge(message.Incarnation, message.Usage) })
	if message.Node == e.settings.Name {
		return
	}
	peer := c.peers[message.Node]
	if peer == nil {
		peer = &peerState{knownAt: now}
		c.peers[message.Node] = peer
	}
	if known := peer.message; known != nil && known.Incarnation == message.Incarnation && message.SentMS < known.SentMS {
		return
	}
	if !c.live(peer, now) {
		e.logger.Info().Str("peer", message.Node).Str("address", message.Address).Str("incarnation", message.Incarnation).
			Msg("peer heard")
	}
	if peer.incarnation != message.Incarnation {
		peer.placed = 0
	}
	c.takePlacements(peer, message.Placed)
	peer.address, peer.incarnation, peer.heardAt, peer.message = message.Address, message.Incarnation, now, message
	e.clock.heard(message.Node, time.UnixMilli(message.ClockMS))
	e.ledgerLock.Lock()
	e.ledger.Heard(message.Node, message.Incarnation, message.QuotaUsed, message.QuotaLevels,
		time.UnixMilli(message.SentMS), now)
	e.ledgerLock.Unlock()
	for _, leaving := range message.Leaving {
		if leaving.Removed {
			c.changed(c.registry.RemovedElsewhere(fleet.Removal{
				ID: leaving.ID, BornMS: leaving.BornMS, Sequence: leaving.Sequence,
			}, now))
			continue
		}
		c.changed(c.registry.Leave(leaving.ID, leaving.BornMS, now))
	}
	c.takeSuspicions(message.Suspicions, now)
	for name, address := range message.Peers {
		c.addPeer(name, address, now)
	}
	c.stale = true
	if message.ConfigVersion > c.configVersion() {
		c.aheadVersion, c.aheadAt = message.ConfigVersion, now
		c.fetchConfig(message.Address, now)
	}
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

// addPeer notes the address of a node that was heard of.
func (c *control) addPeer(name, address string, now time.Time) {
	if name == c.edge.settings.Name || address == "" {
		return
	}
	if known := c.peers[name]; known != nil {
		if !c.live(known, now) {
			known.address = address
		}
		return
	}
	c.peers[name] = &peerState{address: address, knownAt: now}
}

// forgetPeers drops peers that were silent for long.
func (c *control) forgetPeers(now time.Time) {
	for name, peer := range c.peers {
		if now.Sub(peer.lastSign()) > peerMemory {
			delete(c.peers, name)
			c.edge.clock.forget(name)
			c.edge.ledgerLock.Lock()
			c.edge.ledger.Forget(name)
			c.edge.ledgerLock.Unlock()
			c.edge.logger.Info().Str("peer", name).Str("address", peer.address).Msg("peer forgotten")
		}
	}
}

// nodes returns the number of nodes that may be admitting requests, this one included.
func (c *control) nodes(now time.Time) int {
	count := 1
	for _, peer := range c.peers {
		if now.Sub(peer.lastSign()) < c.edge.bounds.Load().Contact+c.liveFor() {
			count++
		}
	}
	return count
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

// othersLoad sums what the peers have under way at each upstream. In a large fleet only
// a part of the peers is heard within the time for which a load counts; that part stands
// for all.
func (c *control) othersLoad(now time.Time) map[string]api.EdgeLoad {
	sum := map[string]api.EdgeLoad{}
	live, fresh := 0, 0
	for _, peer := range c.peers {
		if c.live(peer, now) {
			live++
		}
		if peer.message == nil || now.Sub(peer.heardAt) > loadFresh {
			continue
		}
		fresh++
		for _, load := range peer.message.Load {
			known := sum[load.Upstream]
			known.Running += load.Running
			known.Due += load.Due
			known.QueuedTokens += load.QueuedTokens
			sum[load.Upstream] = known
		}
	}
	if live > fresh && fresh > 0 && cycle(len(c.peers)) > loadFresh {
		scale(sum, float64(live)/float64(fresh))
	}
	return sum
}

// scale multiplies loads by a factor.
func scale(loads map[string]api.EdgeLoad, factor float64) {
	for upstream, load := range loads {
		loads[upstream] = api.EdgeLoad{
			Upstream: upstream,
			Running:  int(math.Round(factor * float64(load.Running))), Due: int(math.Round(factor * float64(load.Due))),
			QueuedTokens: int(factor * float64(load.QueuedTokens)),
		}
	}
}

func upstreamKey(id string, bornMS int64) string { return id + "/" + incarnationOf(bornMS) }

func incarnationOf(bornMS int64) string { return strconv.FormatInt(bornMS, 10) }
