package edge

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

const (
	// placementFresh is how long a placement is told to peers, and toldCycles the same in
	// cycles of a large fleet: each peer is told of it at least once.
	placementFresh = 300 * time.Millisecond
	toldCycles     = 2
	// maxPlacements bounds the placements of one message.
	maxPlacements = 256
	// heavyTokens is the prompt whose reading delays an engine's other requests so much
	// that peers are told at once; it is one chunk of prefill.
	heavyTokens = 4096
)

// placement is a prompt that was sent to an engine.
type placement struct {
	api.EdgePlacement
	at time.Time
}

// Placed implements serving.Events.
func (c *control) Placed(upstream *routing.Upstream, shared serving.SharedPrefix, uncached int) {
	placed := api.EdgePlacement{
		Upstream: upstream.Key(), Chain: shared.Chain, Tokens: shared.Tokens,
	}
	c.tryPost(func(now time.Time) {
		c.sequence++
		placed.Sequence = c.sequence
		c.placed = append(c.placed, placement{EdgePlacement: placed, at: now})
		if uncached >= heavyTokens {
			c.edge.peers.wake()
		}
	})
}

// placements returns the fresh placements of this node.
func (c *control) placements(now time.Time) []api.EdgePlacement {
	told := max(placementFresh, toldCycles*cycle(len(c.peers)))
	for len(c.placed) > 0 && (now.Sub(c.placed[0].at) > told || len(c.placed) > maxPlacements) {
		c.placed = c.placed[1:]
	}
	fresh := make([]api.EdgePlacement, 0, len(c.placed))
	for _, known := range c.placed {
		fresh = append(fresh, known.EdgePlacement)
	}
	return fresh
}

// takePlacements learns from a peer which engines hold which shared parts.
func (c *control) takePlacements(peer *peerState, placed []api.EdgePlacement) {
	for _, known := range placed {
		if known.Sequence <= peer.placed {
			continue
		}
		peer.placed = known.Sequence
		holder := c.holders[known.Upstream]
		if holder == 0 {
			continue
		}
		shared := serving.SharedPrefix{Chain: known.Chain, Tokens: min(max(known.Tokens, 0), maxPrefixTokens)}
		c.prefixes.Add(holder, shared.Blocks()...)
	}
}

// maxPrefixTokens bounds a prefix that a peer tells of.
const maxPrefixTokens = 1 << 18
