package control

import (
	"maps"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/routing"
)

// secondsPerHour turns prices by the hour into prices by the second.
const secondsPerHour = 3600

// snapshot copies the state into an immutable form.
func (s *state) snapshot() *Snapshot {
	view := s.members.View(s.now())
	return &Snapshot{
		Config:    s.config,
		Index:     s.index,
		LogReadAt: s.logReadAt,
		Members:   view,
		Fleet:     s.fleet(view),
		Peers:     maps.Clone(s.peers),
		Notices:   s.members.Notices(),
	}
}

// fleet sorts the upstreams by the services that they serve.
func (s *state) fleet(view *membership.View) *routing.Fleet {
	fleet := &routing.Fleet{ByService: map[string][]*routing.Upstream{}}
	for _, member := range view.Upstreams {
		upstream := s.upstream(member)
		if member.Role == api.HostRoleService {
			fleet.ByService[member.Service] = append(fleet.ByService[member.Service], upstream)
			continue
		}
		for _, service := range s.modelServices(upstream.Load) {
			fleet.ByService[service] = append(fleet.ByService[service], upstream)
		}
	}
	return fleet
}

func (s *state) upstream(member membership.Member) *routing.Upstream {
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
