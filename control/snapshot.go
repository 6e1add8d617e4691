package control

import (
	"maps"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// secondsPerHour turns prices by the hour into prices by the second.
	secondsPerHour = 3600
	// waveReclaimsPerHour is the rate at which the hosts of a data centre and machine
	// class go while a reclaim wave runs through all of it.
	waveReclaimsPerHour = 120
	// peerSilentAfter is the age of a heartbeat after which a peer owns nothing new.
	peerSilentAfter = 10 * time.Second
	// defaultCacheTokens is the size of an engine's cache that it does not report.
	defaultCacheTokens = 65536
)

// snapshot copies the state into an immutable form.
func (s *state) snapshot() *Snapshot {
	now := s.now()
	view := s.members.View(now)
	return &Snapshot{
		Config:          s.config,
		Index:           s.index,
		LogReadAt:       s.logReadAt,
		ConfigCondition: s.condition,
		Members:         view,
		Fleet:           s.fleet(view, now),
		Peers:           maps.Clone(s.peers),
		Loads:           maps.Clone(s.loads),
		Notices:         s.members.Notices(),
	}
}

// fleet sorts the upstreams by the services that they serve.
func (s *state) fleet(view *membership.View, now time.Time) *routing.Fleet {
	byService := map[string][]*routing.Upstream{}
	waves := leavingShares(view)
	for _, member := range view.Upstreams {
		upstream := s.upstream(member, waves)
		if member.Role == api.HostRoleService {
			byService[member.Service] = append(byService[member.Service], upstream)
			continue
		}
		upstream.Holder = s.holder(member, upstream.Load)
		for _, service := range s.modelServices(upstream.Load) {
			byService[service] = append(byService[service], upstream)
		}
	}
	s.forgetHolders(view)
	return routing.NewFleet(byService, s.prefixes, liveNodes(s.peers, now), now)
}

// Alive says whether a peer was heard of lately.
func (p Peer) Alive(now time.Time) bool { return now.Sub(p.LastSeen) < peerSilentAfter }

// OwnsRequests says whether a peer may own new requests: it is ready and was heard
// of lately.
func (p Peer) OwnsRequests(now time.Time) bool {
	return p.State == api.HeartbeatStateReady && p.Alive(now)
}

// ServicesWithoutUpstream returns the services of the configuration for which this node sees no upstream
// that may get work, sorted.
func (s *Snapshot) ServicesWithoutUpstream() []string {
	if s.Index == nil {
		return nil
	}
	var lacking []string
	for name := range s.Index.Config.Services {
		if !s.Serves(name) {
			lacking = append(lacking, name)
		}
	}
	slices.Sort(lacking)
	return lacking
}

// Serves says whether this node sees an upstream of a service that may get work.
func (s *Snapshot) Serves(service string) bool {
	return slices.ContainsFunc(s.Fleet.ByService[service], func(u *routing.Upstream) bool {
		return u.Health != membership.StateLeaving
	})
}

// LiveNodes returns the number of nodes that take requests, this one included.
func (s *Snapshot) LiveNodes(now time.Time) int { return liveNodes(s.Peers, now) }

func liveNodes(peers map[string]Peer, now time.Time) int {
	nodes := 1
	for _, known := range peers {
		if known.OwnsRequests(now) {
			nodes++
		}
	}
	return nodes
}

// pool is a set of hosts that are reclaimed together.
type pool struct {
	dataCentre, machineClass string
}

// leavingShares returns which share of each pool is leaving.
func leavingShares(view *membership.View) map[pool]float64 {
	total, leaving := map[pool]float64{}, map[pool]float64{}
	for _, member := range view.Upstreams {
		key := pool{member.DataCentre, member.MachineClass}
		total[key]++
		if member.Health == membership.StateLeaving {
			leaving[key]++
		}
	}
	for key, count := range leaving {
		leaving[key] = count / total[key]
	}
	return leaving
}

func (s *state) upstream(member membership.Member, waves map[pool]float64) *routing.Upstream {
	upstream := &routing.Upstream{
		ID:          member.ID,
		Incarnation: member.Incarnation,
		Address:     member.Address,
		DataCentre:  member.DataCentre,
		Health:      member.Health,
		Tracker:     s.tracker(member.ID),
	}
	if load, ok := s.loads[member.ID]; ok {
		upstream.Load = &load
	}
	if s.index != nil {
		class := s.index.Config.MachineClasses[member.MachineClass]
		upstream.PricePerSecond = class.PricePerHour / secondsPerHour
		upstream.ReclaimsPerHour = class.ReclaimsPerHour
		if class.Reclaimable {
			upstream.ReclaimsPerHour += waveReclaimsPerHour * waves[pool{member.DataCentre, member.MachineClass}]
		}
	}
	return upstream
}

// modelServices returns the model services that an engine has loaded, with the
// version that the configuration asks for.
func (s *state) modelServices(load *api.EngineLoad) []string {
	if load == nil || s.index == nil {
		return nil
	}
	var names []string
	for _, model := range load.Models {
		service, ok := s.index.Service(model.Name)
		if ok && (service.ModelVersion == "" || service.ModelVersion == model.Version) {
			names = append(names, model.Name)
		}
	}
	return names
}

func (s *state) tracker(id string) *routing.Tracker {
	tracker, ok := s.trackers[id]
	if !ok {
		tracker = &routing.Tracker{}
		s.trackers[id] = tracker
	}
	return tracker
}

// holder returns the name of an engine's cache in the prefix index; a new
// incarnation starts with an empty cache.
func (s *state) holder(member membership.Member, load *api.EngineLoad) routing.Holder {
	known, ok := s.holders[member.ID]
	if ok && known.incarnation == member.Incarnation {
		return known.holder
	}
	if load == nil {
		return 0
	}
	if ok {
		s.prefixes.RemoveHolder(known.holder)
	}
	tokens := load.KVLimitTokens
	if tokens == 0 {
		tokens = defaultCacheTokens
	}
	opened := s.prefixes.AddHolder(member.ID, member.Incarnation, tokens/prompt.BlockTokens)
	s.holders[member.ID] = engineCache{member.Incarnation, opened}
	return opened
}

// engineCache is the cache of one incarnation of an engine.
type engineCache struct {
	incarnation string
	holder      routing.Holder
}

// forgetHolders drops what belongs to engines that are gone.
func (s *state) forgetHolders(view *membership.View) {
	known := make(map[string]bool, len(view.Upstreams))
	for _, member := range view.Upstreams {
		known[member.ID] = true
	}
	for id, cache := range s.holders {
		if !known[id] {
			s.prefixes.RemoveHolder(cache.holder)
			delete(s.holders, id)
		}
	}
	for id := range s.trackers {
		if !known[id] {
			delete(s.trackers, id)
			delete(s.loads, id)
		}
	}
}
