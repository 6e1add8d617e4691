package gateway

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/routing"
)

// peerSilentAfter is the age of a heartbeat after which a peer owns nothing new.
const peerSilentAfter = 3 * time.Second

// owner returns the peer that owns the call; false means this node.
func (g *Gateway) owner(c *call) (api.Heartbeat, bool) {
	snapshot := g.Control.Snapshot()
	members := []string{g.Settings.NodeID}
	now := time.Now()
	for id, known := range snapshot.Peers {
		if known.State == api.HeartbeatStateReady && now.Sub(known.HeardAt) < peerSilentAfter {
			members = append(members, id)
		}
	}
	key := routing.OwnerKey(c.workspace, c.service, prompt.PrefixKey(c.text))
	owner := routing.Owner(key, members)
	if owner == g.Settings.NodeID {
		return api.Heartbeat{}, false
	}
	return snapshot.Peers[owner].Heartbeat, true
}

// pick routes one attempt.
func (g *Gateway) pick(c *call, excluded map[string]bool) (*routing.Upstream, error) {
	snapshot := g.Control.Snapshot()
	weights := routing.Weights{Latency: 1}
	if snapshot.Index != nil {
		weights.Latency = snapshot.Index.Config.Policy.LatencyWeight
		weights.Cost = snapshot.Index.Config.Policy.CostWeight
	}
	return routing.Pick(snapshot.Fleet, routing.Request{
		Service:            c.service,
		Blocks:             c.blocks,
		PromptTokens:       prompt.Tokens(c.text),
		AnswerTokens:       c.answerTokens(),
		Priority:           c.priority,
		DataCentre:         g.Settings.DataCentre,
		AllowedDataCentres: c.route.DataCentres,
		Excluded:           excluded,
		Key:                prompt.PrefixKey(c.text),
	}, weights, time.Now())
}

// pickService routes one attempt at a plain service.
func (g *Gateway) pickService(c *serviceCall, excluded map[string]bool) (*routing.Upstream, error) {
	snapshot := g.Control.Snapshot()
	return routing.Pick(snapshot.Fleet, routing.Request{
		Service:            c.service,
		Priority:           c.operation.Priority,
		DataCentre:         g.Settings.DataCentre,
		AllowedDataCentres: c.route.DataCentres,
		Excluded:           excluded,
	}, routing.Weights{Latency: 1}, time.Now())
}
