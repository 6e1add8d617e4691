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
	// secondsPerHour converts hourly prices into prices per second.
	secondsPerHour = 3600
	// waveReclaimsPerHour is what a reclaim wave adds to a reclaimable host's reclaim rate when all
	// hosts of its data centre and machine class are leaving; it scales with their fraction.
	waveReclaimsPerHour = 120
	// peerTimeout is the age of the last heartbeat from which a peer gets no new requests.
	peerTimeout = 10 * time.Second
	// defaultCacheTokens is the cache size of an engine that does not report one.
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

// fleet groups the upstreams by the services that they serve.
func (s *state) fleet(view *membership.View, now time.Time) *routing.Fleet {
	byService := map[string][]*routing.Upstream{}
	leaving := leavingFractions(view)
	for _, member := range view.Upstreams {
		upstream := s.upstream(member, leaving)
		if member.Role == api.HostRoleService {
			byService[member.Service] = append(byService[member.Service], upstream)
			continue
		}
		upstream.Holder = s.holder(member, upstream.Load)
		for _, service := range s.modelServices(upstream.Load) {
			byService[service] = append(byService[service], upstream)
		}
	}
	s.dropRemovedHolders(view)
	return routing.NewFleet(byService, s.prefixes, liveNodes(s.peers, now), now)
}

// Alive reports whether the peer's last heartbeat is younger than peerTimeout.
func (p Peer) Alive(now time.Time) bool { return now.Sub(p.LastSeen) < peerTimeout }

// OwnsRequests reports whether a peer may own new requests: it is ready and its last
// heartbeat is recent.
func (p Peer) OwnsRequests(now time.Time) bool {
	return p.State == api.HeartbeatStateReady && p.Alive(now)
}

// ServicesWithoutUpstream returns the services of the configuration for which this node
// sees no upstream that may get requests, sorted.
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

// Serves reports whether this node sees an upstream of a service that may get requests.
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

// reclaimPool identifies hosts that are reclaimed in the same waves.
type reclaimPool struct {
	dataCentre, machineClass string
}

// leavingFractions returns the fraction of each pool's hosts that is leaving.
func leavingFractions(view *membership.View) map[reclaimPool]float64 {
	total, leaving := map[reclaimPool]float64{}, map[reclaimPool]float64{}
	for _, member := range view.Upstreams {
		key := reclaimPool{member.DataCentre, member.MachineClass}
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

func (s *state) upstream(member membership.Member, leaving map[reclaimPool]float64) *routing.Upstream {
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
			upstream.ReclaimsPerHour += waveReclaimsPerHour * leaving[reclaimPool{member.DataCentre, member.MachineClass}]
		}
	}
	return upstream
}

// modelServices returns the model services that an engine has loaded in the version
// that the configuration requires.
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

// holder returns the id of an engine's cache in the prefix index; a new incarnation
// starts with an empty cache.
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
	added := s.prefixes.AddHolder(member.ID, member.Incarnation, tokens/prompt.BlockTokens)
	s.holders[member.ID] = engineCache{member.Incarnation, added}
	return added
}

// engineCache is the cache of one incarnation of an engine.
type engineCache struct {
	incarnation string
	holder      routing.Holder
}

// dropRemovedHolders drops the state of engines that have left.
func (s *state) dropRemovedHolders(view *membership.View) {
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
