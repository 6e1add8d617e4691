package policy

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Policy routes attempts; one that admits also queues and refuses.
type Policy struct {
	// Name in the report.
	Name string

	admits bool
	pick   func(n *node, r *request) (chosen *engine, expected int, ok bool)
}

// NodePolicy is routing and limit as the node runs them.
var NodePolicy = Policy{Name: "persimmonline", admits: true, pick: func(n *node, r *request) (*engine, int, bool) {
	choice, err := n.choose(r)
	if err != nil {
		return nil, 0, false
	}
	return n.byUpstream[choice.Upstream.ID], choice.CachedTokens, true
}}

// Baselines know which upstreams serve a model and which are leaving, and no more.
var Baselines = []Policy{
	{Name: "round robin", pick: func(n *node, r *request) (*engine, int, bool) {
		candidates := n.candidates(r)
		if len(candidates) == 0 {
			return nil, 0, false
		}
		n.turn++
		return candidates[n.turn%len(candidates)], 0, true
	}},
	{Name: "least outstanding", pick: func(n *node, r *request) (*engine, int, bool) {
		return least(n.candidates(r), func(e *engine) float64 {
			return float64(n.trackers[e].InFlight.Load())
		})
	}},
	{Name: "prefix hash", pick: func(n *node, r *request) (*engine, int, bool) {
		return least(n.candidates(r), func(e *engine) float64 {
			return float64(xxhash.Sum64String(fmt.Sprintf("%s/%x", e.id, r.key)))
		})
	}},
}

// candidates are the upstreams that may get a request.
func (n *node) candidates(r *request) []*engine {
	var candidates []*engine
	for _, e := range n.world.engines {
		if e.dead || e.leaving || r.excluded[e.id] {
			continue
		}
		for _, model := range e.models {
			if model == r.service {
				candidates = append(candidates, e)
			}
		}
	}
	return candidates
}

// least returns the candidate with the lowest value.
func least(candidates []*engine, value func(*engine) float64) (*engine, int, bool) {
	var best *engine
	for _, e := range candidates {
		if best == nil || value(e) < value(best) {
			best = e
		}
	}
	return best, 0, best != nil
}
