package edge

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

const (
	// placementKept is how long a placement is kept for peers that have not heard of it; it is
	// several exchanges by way of a hub.
	placementKept = 3 * time.Second
	// placementsKept bounds them, maxPlacements those of one message.
	placementsKept = 4096
	maxPlacements  = 512
	// heavyTokens is the prompt whose reading delays an engine's other requests so much
	// that peers are told at once; it is one chunk of prefill.
	heavyTokens = 4096
)

// placement is a prompt that was sent to an engine.
type placement struct {
	api.EdgePlacement
	// origin is the peer that told of it; empty for this node's own.
	origin string
	at     time.Time
}

// PromptPlaced implements serving.Events.
func (c *control) PromptPlaced(upstream *routing.Upstream, shared serving.SharedPrefix, uncached int) {
	placed := api.EdgePlacement{Upstream: upstreamHash(upstream.Key()), Chain: shared.Chain, Tokens: shared.Tokens}
	c.tryPost(func(now time.Time) {
		c.notePlacement(placed, "", now)
		if uncached >= heavyTokens {
			c.edge.peers.wake()
		}
	})
}

// notePlacement keeps a placement for the peers.
func (c *control) notePlacement(placed api.EdgePlacement, origin string, now time.Time) {
	if placed.Chain == 0 {
		return
	}
	c.sequence++
	placed.Sequence = c.sequence
	c.placed = append(c.placed, placement{EdgePlacement: placed, origin: origin, at: now})
	for now.Sub(c.placed[0].at) > placementKept || len(c.placed) > placementsKept {
		c.placed = c.placed[1:]
	}
}

// placements returns the placements that a peer has not heard of, but for those it told of.
func (c *control) placements(to *peerState, now time.Time) []api.EdgePlacement {
	told := []api.EdgePlacement{}
	for _, known := range c.placed {
		if known.Sequence <= to.placedTold || known.origin == to.name || now.Sub(known.at) > placementKept {
			continue
		}
		if told = append(told, known.EdgePlacement); len(told) == maxPlacements {
			break
		}
	}
	return told
}

// takePlacements learns from a peer which engines hold which shared parts.
func (c *control) takePlacements(peer *peerState, placed []api.EdgePlacement, now time.Time) {
	for _, known := range placed {
		if known.Sequence <= peer.placed {
			continue
		}
		peer.placed = known.Sequence
		c.notePlacement(known, peer.name, now)
		holder := c.holders[c.keys[known.Upstream]]
		if holder == 0 {
			continue
		}
		shared := serving.SharedPrefix{Chain: known.Chain, Tokens: min(max(known.Tokens, 0), maxPrefixTokens)}
		c.prefixes.Add(holder, shared.Blocks()...)
	}
}

// maxPrefixTokens bounds a prefix that a peer tells of.
const maxPrefixTokens = 1 << 18
