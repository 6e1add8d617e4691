package policy

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Policy routes attempts; one with admission control also queues and refuses requests.
type Policy struct {
	// Name in the report.
	Name string

	admits bool
	pick   func(n *node, r *request) (chosen *engine, expected int, ok bool)
}

// NodePolicy is the policy of the node, with the packages routing and limit.
var NodePolicy = Policy{Name: "persimmonline", admits: true, pick: func(n *node, r *request) (*engine, int, bool) {
	choice, err := n.choose(r)
	if err != nil {
		return nil, 0, false
	}
	return n.byUpstream[choice.Upstream.ID], choice.CachedTokens, true
}}

// Baselines are policies that know only which upstreams serve a model and which of them
// are leaving.
var Baselines = []Policy{
	{Name: "round robin", pick: func(n *node, r *request) (*engine, int, bool) {
		candidates := n.candidates(r)
		if len(candidates) == 0 {
			return nil, 0, false
		}
		n.nextCandidate++
		return candidates[n.nextCandidate%len(candidates)], 0, true
	}},
	{Name: "least outstanding", pick: func(n *node, r *request) (*engine, int, bool) {
		return lowest(n.candidates(r), func(e *engine) float64 {
			return float64(n.trackers[e].InFlight.Load())
		})
	}},
	{Name: "prefix hash", pick: func(n *node, r *request) (*engine, int, bool) {
		return lowest(n.candidates(r), func(e *engine) float64 {
			return float64(xxhash.Sum64String(fmt.Sprintf("%s/%x", e.id, r.key)))
		})
	}},
}

// candidates returns the upstreams that may get a request.
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

// lowest returns the candidate with the lowest value.
func lowest(candidates []*engine, value func(*engine) float64) (*engine, int, bool) {
	var best *engine
	for _, e := range candidates {
		if best == nil || value(e) < value(best) {
			best = e
		}
	}
	return best, 0, best != nil
}
