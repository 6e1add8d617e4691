package edge

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

const (
	// placementRetention is how long a placement is retained for peers that have not acknowledged it;
	// it covers several exchanges through a hub.
	placementRetention = 3 * time.Second
	// maxRetainedPlacements bounds the retained placements, maxPlacementsPerMessage those in one
	// message.
	maxRetainedPlacements   = 4096
	maxPlacementsPerMessage = 512
	// largePromptTokens is the number of uncached prompt tokens whose prefill delays an engine's
	// other requests so much that peers are informed at once; it is one chunk of prefill.
	largePromptTokens = 4096
)

// placement is a prompt that was sent to an engine.
type placement struct {
	api.EdgePlacement
	// origin is the peer that reported it; empty for this node's own.
	origin string
	at     time.Time
}

// PromptPlaced implements serving.Events.
func (c *control) PromptPlaced(upstream *routing.Upstream, shared serving.SharedPrefix, uncached int) {
	placed := api.EdgePlacement{Upstream: upstreamHash(upstream.Key()), Chain: shared.Chain, Tokens: shared.Tokens}
	c.tryPost(func(now time.Time) {
		c.recordPlacement(placed, "", now)
		if uncached >= largePromptTokens {
			c.edge.peers.wake()
		}
	})
}

// recordPlacement retains a placement for messages to the peers.
func (c *control) recordPlacement(placed api.EdgePlacement, origin string, now time.Time) {
	if placed.Chain == 0 {
		return
	}
	c.placementSequence++
	placed.Sequence = c.placementSequence
	c.recentPlacements = append(c.recentPlacements, placement{EdgePlacement: placed, origin: origin, at: now})
	for now.Sub(c.recentPlacements[0].at) > placementRetention || len(c.recentPlacements) > maxRetainedPlacements {
		c.recentPlacements = c.recentPlacements[1:]
	}
}

// outgoingPlacements returns the placements that a peer has not acknowledged, except those that it
// reported.
func (c *control) outgoingPlacements(to *peerState, now time.Time) []api.EdgePlacement {
	unseen := []api.EdgePlacement{}
	for _, known := range c.recentPlacements {
		if known.Sequence <= to.ackedPlacement || known.origin == to.name || now.Sub(known.at) > placementRetention {
			continue
		}
		if unseen = append(unseen, known.EdgePlacement); len(unseen) == maxPlacementsPerMessage {
			break
		}
	}
	return unseen
}

// applyPlacements adds a peer's placements to the index of engines that cache shared prefixes.
func (c *control) applyPlacements(peer *peerState, placed []api.EdgePlacement, now time.Time) {
	for _, known := range placed {
		if known.Sequence <= peer.receivedPlacement {
			continue
		}
		peer.receivedPlacement = known.Sequence
		c.recordPlacement(known, peer.name, now)
		holder := c.holders[c.keyByHash[known.Upstream]]
		if holder == 0 {
			continue
		}
		shared := serving.SharedPrefix{Chain: known.Chain, Tokens: min(max(known.Tokens, 0), maxPrefixTokens)}
		c.prefixes.Add(holder, shared.Blocks()...)
	}
}

// maxPrefixTokens bounds a prefix that a peer reports.
const maxPrefixTokens = 1 << 18
