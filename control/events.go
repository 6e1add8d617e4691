package control

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
)

// ConfigRead is a successful read of the config stream.
type ConfigRead struct {
	// Records in order.
	Records []api.StoredRecord
	// At is when the read ended.
	At time.Time
}

func (e ConfigRead) apply(s *state) {
	s.logReadAt = e.At
	for _, record := range e.Records {
		next, err := config.Fold(s.config, record)
		if err != nil {
			s.logger.Error().Err(err).Int64("version", s.config.Version).Msg("configuration is held at its version")
			return
		}
		s.adopt(next)
	}
}

// ConfigSnapshot is a state that was read from a snapshot or from a peer.
type ConfigSnapshot struct {
	// State that was checked.
	State *config.State
}

func (e ConfigSnapshot) apply(s *state) { s.adopt(config.Newer(s.config, e.State)) }

// adopt takes a newer state and indexes it if its version changed.
func (s *state) adopt(next *config.State) {
	changed := next.Version != s.config.Version
	s.config = next
	if !changed {
		return
	}
	s.index = config.NewIndex(next)
	s.logger.Info().Int64("version", next.Version).Msg("configuration in force")
}

// HostsListed is a host list of the platform.
type HostsListed struct {
	// List as the platform knows it.
	List api.HostList
}

func (e HostsListed) apply(s *state) { s.members.ApplyList(e.List) }

// HostsLeaving is news of reclaims, from the cloud API or a peer.
type HostsLeaving struct {
	// Hosts that are leaving.
	Hosts []api.LeavingHost
	// Source of the news.
	Source string
}

func (e HostsLeaving) apply(s *state) {
	for _, host := range e.Hosts {
		if s.members.ApplyLeaving(host) {
			s.logger.Info().Str("host", host.HostID).Str("source", e.Source).Msg("host is leaving")
		}
	}
}

// LoadRead is a load report of an engine.
type LoadRead struct {
	// HostID of the engine.
	HostID string
	// Load that it reported.
	Load api.EngineLoad
}

func (e LoadRead) apply(s *state) {
	s.loads[e.HostID] = e.Load
	s.members.ApplySuccess(e.HostID)
}

// lazy says that load reports need no snapshot of their own.
func (LoadRead) lazy() bool { return true }

// ContactFailed is an upstream that could not be reached or broke off.
type ContactFailed struct {
	// HostID of the upstream.
	HostID string
	// Until is when it is tried like others again.
	Until time.Time
}

func (e ContactFailed) apply(s *state) { s.members.ApplyFailure(e.HostID, e.Until) }

// ContactWorked is an upstream that answered.
type ContactWorked struct {
	// HostID of the upstream.
	HostID string
}

func (e ContactWorked) apply(s *state) { s.members.ApplySuccess(e.HostID) }

// PeerHeard is a heartbeat of another node.
type PeerHeard struct {
	// Heartbeat of the peer.
	Heartbeat api.Heartbeat
	// At is when it came.
	At time.Time
}

func (e PeerHeard) apply(s *state) {
	s.peers[e.Heartbeat.NodeID] = Peer{Heartbeat: e.Heartbeat, HeardAt: e.At}
	HostsLeaving{Hosts: e.Heartbeat.Leaving, Source: e.Heartbeat.NodeID}.apply(s)
}
