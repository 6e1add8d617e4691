package edge

import (
	"maps"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

// publish builds a view of the current state and makes it visible to the serving path.
func (c *control) publish(now time.Time) {
	c.publishNow, c.publishPending = false, false
	view := &serving.View{
		Table: c.table, RegistryReadAt: time.Now().Add(-now.Sub(c.registryCurrentAt)), DataCentre: c.edge.settings.DataCentre,
		RetryBurst: c.retryBurst(now), Draining: c.draining, RefusingRequests: c.refusingRequests,
		RefusedTraits: c.refusedTraits, Trials: maps.Clone(c.trials), PublishedAt: time.Now(), ConfigUnconfirmed: c.configUnconfirmed(now),
	}
	byService := map[string][]*routing.Upstream{}
	var sources []*routing.Upstream
	peerLoads := c.peerLoad(now)
	c.refreshFleetReadings(now)
	c.noticed.reset()
	members := c.registry.Upstreams()
	c.rollouts.observeVersions(members, now)
	view.Rollouts, view.JudgesVersions = c.rollouts.view(now), c.rollouts.enabled()
	live := make(map[string]bool, len(members))
	for i := range members {
		member, key := &members[i], members[i].Key
		live[key] = true
		c.assignLimitShare(member, c.gate(key), now)
		if c.rollouts.stopped(member) {
			continue
		}
		if !member.UsableAt(now) {
			sources = append(sources, c.routingUpstream(member, key, api.EdgeLoad{}))
			continue
		}
		byService[member.Service] = append(byService[member.Service], c.routingUpstream(member, key, peerLoads[upstreamHash(key)]))
	}
	for key := range c.trackers {
		if !live[key] {
			c.prefixes.RemoveHolder(c.holders[key])
			delete(c.trackers, key)
			c.retireGate(key, now)
			delete(c.holders, key)
			delete(c.cacheListsWanted, key)
			delete(c.keyByHash, upstreamHash(key))
		}
	}
	view.Fleet = routing.NewFleet(byService, c.prefixes, 1, time.Now())
	view.Fleet.BlockTokens = serving.BlockTokens
	view.Rooms, view.Leaving = c.rooms(byService, now), c.leaving.view(now, time.Now())
	view.CacheLists = c.currentCacheLists(now)
	for _, source := range sources {
		view.Fleet.AddSource(source)
	}
	c.edge.metrics.limitedUpstreams.Set(float64(c.noticed.limitedCount))
	c.edge.view.Store(view)
	if c.edge.handler != nil {
		c.edge.handler.ViewChanged(view)
	}
}

// routingUpstream returns a member as the router sees it.
func (c *control) routingUpstream(member *fleet.Upstream, key string, load api.EdgeLoad) *routing.Upstream {
	tracker := c.trackers[key]
	if tracker == nil {
		tracker = &routing.Tracker{LinearPrefill: true}
		c.trackers[key] = tracker
		c.keyByHash[upstreamHash(key)] = key
		if blocks := c.cacheBlocks(member.Service); blocks > 0 {
			c.holders[key] = c.prefixes.AddHolder(member.ID, incarnationOf(member.BornMS), blocks)
			c.cacheListsWanted[key] = true
		}
	}
	if c.cacheListsWanted[key] && c.table != nil {
		delete(c.cacheListsWanted, key)
		c.requestCacheList(member, c.holders[key])
	}
	ownRunning := int(tracker.InFlight.Load())
	_, queued := tracker.AwaitingFirstToken()
	health := membership.StateLive
	if _, suspect := c.suspectUntil[key]; suspect || member.Leaving() || !member.LapsedAt.IsZero() {
		health = membership.StateSuspect
	}
	return &routing.Upstream{
		FetchRate: c.fetchRate(member.Service), Leaving: member.Leaving(), ID: member.ID, Incarnation: incarnationOf(member.BornMS), Address: member.Address,
		DataCentre: member.DataCentre, Health: health, Tracker: tracker, Gate: c.gates[key], Holder: c.holders[key], Reading: c.fleetReadings[upstreamHash(key)],
		Version: member.Version, Generation: c.rollouts.generation(member),
		Load: &api.EngineLoad{
			AtMS: time.Now().UnixMilli(), BatchSlots: member.Slots,
			Running: ownRunning + load.Running, QueuedTokens: load.QueuedTokens + queued,
		},
	}
}

// cacheBlocks returns the size of an engine's cache in blocks; 0 for a plain service.
func (c *control) cacheBlocks(service string) int {
	if c.table == nil {
		return maxHolderBlocks
	}
	engine := c.table.Engine(service)
	if engine == nil {
		return 0
	}
	return max(1, min(maxHolderBlocks, int(cacheShare*float64(engine.KVTokens))/serving.BlockTokens))
}

// fetchRate returns the rate in tokens per second at which engines of a service copy cache entries
// from each other.
func (c *control) fetchRate(service string) float64 {
	engine := c.table.Engine(service)
	if engine == nil {
		return 0
	}
	return engine.FetchRate
}
