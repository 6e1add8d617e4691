package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/routing"
)

// owner returns the peer that owns the call; false means this node. A node that sees no
// upstream of the service owns none of its calls, as long as another node sees one.
func (g *Gateway) owner(c *call) (api.Heartbeat, bool) {
	snapshot := g.Control.Snapshot()
	var members []routing.Member
	if snapshot.Serves(c.service) {
		members = append(members, routing.Member{ID: g.Settings.NodeID, InFlight: g.store.InFlight()})
	}
	now := time.Now()
	for id, candidate := range snapshot.Peers {
		if candidate.OwnsRequests(now) && !slices.Contains(candidate.Lacks, c.service) {
			members = append(members, routing.Member{ID: id, InFlight: candidate.InFlight})
		}
	}
	key := routing.OwnerKey(c.workspace, c.service, prompt.PrefixKey(c.text))
	owner := routing.Owner(key, members)
	if owner == "" || owner == g.Settings.NodeID {
		return api.Heartbeat{}, false
	}
	return snapshot.Peers[owner].Heartbeat, true
}

// pick routes one attempt.
func (g *Gateway) pick(c *call, excluded map[string]bool) (*routing.Upstream, error) {
	choice, err := g.choose(c, excluded)
	if err != nil {
		return nil, err
	}
	c.cached = choice.CachedTokens
	return choice.Upstream, nil
}

// choose returns the routing decision for one attempt of a call.
func (g *Gateway) choose(c *call, excluded map[string]bool) (routing.Choice, error) {
	snapshot := g.Control.Snapshot()
	return routing.Pick(snapshot.Fleet, &routing.Request{
		Service:            c.service,
		Blocks:             c.blocks,
		PromptTokens:       prompt.Tokens(c.text),
		AnswerTokens:       c.answerTokens(),
		Priority:           c.priority,
		DataCentre:         g.Settings.DataCentre,
		AllowedDataCentres: c.route.DataCentres,
		Excluded:           excluded,
		Key:                prompt.PrefixKey(c.text),
		Seed:               rand.Uint64(), //nolint:gosec // Sampling needs no secret randomness.
	}, weightsOf(snapshot), time.Now())
}

// weightsOf returns the routing weights of the deployment's policy.
func weightsOf(snapshot *control.Snapshot) routing.Weights {
	if snapshot.Index == nil {
		return routing.Weights{Latency: 1}
	}
	policy := snapshot.Index.Config.Policy
	return routing.Weights{Latency: policy.LatencyWeight, Cost: policy.CostWeight}
}

// pickService routes one attempt at a plain service. Its calls are short, so only latency
// is weighted.
func (g *Gateway) pickService(c *serviceCall, excluded map[string]bool) (*routing.Upstream, error) {
	choice, err := routing.Pick(g.Control.Snapshot().Fleet, &routing.Request{
		Service:            c.service,
		AnswerTokens:       1,
		Priority:           c.operation.Priority,
		DataCentre:         g.Settings.DataCentre,
		AllowedDataCentres: c.route.DataCentres,
		Excluded:           excluded,
		Key:                rand.Uint64(), //nolint:gosec // Spreading load needs no secret randomness.
		Seed:               rand.Uint64(), //nolint:gosec // Sampling needs no secret randomness.
	}, routing.Weights{Latency: 1}, time.Now())
	return choice.Upstream, err
}
