package gateway

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// capacityInterval is the minimum time between two updates from the snapshot.
	capacityInterval = 250 * time.Millisecond
	// plainSlots is the number of concurrent calls of a plain upstream.
	plainSlots = 32
)

// refresh updates capacity, weights and limits from the snapshot. The caller holds the lock.
func (a *admission) refresh(snapshot *control.Snapshot, now time.Time) {
	if snapshot.Index == nil || now.Sub(a.refreshedAt) < capacityInterval {
		return
	}
	a.refreshedAt = now
	nodes := snapshot.LiveNodes(now)
	if snapshot.Index != a.index || nodes != a.nodes {
		a.index, a.nodes = snapshot.Index, nodes
		a.workspaces.Configure(now, limitsOf(snapshot.Index.Config), nodes)
	}
	weights := weightsByWorkspace(snapshot.Index.Config)
	for name, service := range snapshot.Index.Config.Services {
		slots := totalSlots(snapshot.Fleet.ByService[name], service.Kind)
		queue := a.queue(name)
		queue.Resize(limit.NodeCapacity(slots, nodes, a.maxStreams))
		queue.SetWeights(weights)
		a.deliver(queue.StartWaiting(now))
	}
}

// limitsOf returns the limits of each workspace.
func limitsOf(configuration *api.Configuration) map[string]limit.Limits {
	limits := make(map[string]limit.Limits, len(configuration.Workspaces))
	for name, workspace := range configuration.Workspaces {
		limits[name] = limit.Limits{
			RequestsPerSecond: workspace.RequestsPerSecond,
			Burst:             workspace.Burst,
			Concurrency:       workspace.Concurrency,
			TokensPerSecond:   workspace.TokensPerSecond,
		}
	}
	return limits
}

func weightsByWorkspace(configuration *api.Configuration) map[string]float64 {
	weights := make(map[string]float64, len(configuration.Workspaces))
	for name, workspace := range configuration.Workspaces {
		weights[name] = workspace.Weight
	}
	return weights
}

// totalSlots returns the number of slots of all upstreams that are not leaving.
func totalSlots(upstreams []*routing.Upstream, kind api.ServiceKind) int {
	total := 0
	for _, upstream := range upstreams {
		if upstream.Health == membership.StateLeaving {
			continue
		}
		if kind == api.ServiceKindPlain {
			total += plainSlots
			continue
		}
		total += upstream.Slots()
	}
	return total
}
