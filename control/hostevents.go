package control

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// peerRetention is how long a peer that is missing from the host list is retained.
const peerRetention = time.Minute

// HostsListed is a host list of the platform.
type HostsListed struct {
	// List as the platform returned it.
	List api.HostList
}

func (e HostsListed) apply(s *state) {
	s.members.ApplyList(e.List, s.now())
	s.dropRemovedHosts()
}

// dropRemovedHosts drops the state of hosts that are no longer members, so that the state
// stays as small as the fleet.
func (s *state) dropRemovedHosts() {
	for id := range s.loads {
		if !s.members.Has(id) {
			delete(s.loads, id)
		}
	}
	for id, tracker := range s.trackers {
		if !s.members.Has(id) && tracker.InFlight.Load() == 0 {
			delete(s.trackers, id)
		}
	}
	for id, known := range s.peers {
		if !s.members.Has(id) && s.now().Sub(known.LastSeen) > peerRetention {
			delete(s.peers, id)
		}
	}
}

// HostsLeaving announces hosts that are leaving: reclaims that the cloud API or a peer has
// reported, and drains of this node's planner.
type HostsLeaving struct {
	// Hosts that are leaving.
	Hosts []api.LeavingHost
	// Source of the report: "cloud", "planner" or the node id of a peer.
	Source string
}

func (e HostsLeaving) apply(s *state) {
	for _, host := range e.Hosts {
		if s.members.ApplyLeaving(host, s.now()) {
			s.logger.Info().Str("host", host.HostID).Str("source", e.Source).Msg("host is leaving")
		}
	}
}

// LoadReported is a load report of an engine.
type LoadReported struct {
	// HostID of the engine.
	HostID string
	// Load that it reported.
	Load api.EngineLoad
}

func (e LoadReported) apply(s *state) {
	if !s.members.Has(e.HostID) {
		return
	}
	s.loads[e.HostID] = e.Load
	s.members.ApplySuccess(e.HostID, e.Load.Incarnation, s.now())
}

// deferrable implements deferrableEvent: load reports need no snapshot of their own.
func (LoadReported) deferrable() bool { return true }

// ContactFailed is posted when an upstream could not be reached or broke a connection.
type ContactFailed struct {
	// HostID of the upstream.
	HostID string
	// Until is the end of the time for which the upstream is suspect.
	Until time.Time
}

func (e ContactFailed) apply(s *state) { s.members.ApplyFailure(e.HostID, s.now(), e.Until) }

// ContactSucceeded is posted when an upstream answered.
type ContactSucceeded struct {
	// HostID of the upstream.
	HostID string
}

func (e ContactSucceeded) apply(s *state) { s.members.ApplySuccess(e.HostID, "", s.now()) }

// PeerHeartbeat is a heartbeat of another node.
type PeerHeartbeat struct {
	// Heartbeat of the peer.
	Heartbeat api.Heartbeat
	// At is when it was received.
	At time.Time
}

func (e PeerHeartbeat) apply(s *state) {
	s.peers[e.Heartbeat.NodeID] = Peer{Heartbeat: e.Heartbeat, LastSeen: e.At}
	s.members.ApplySuccess(e.Heartbeat.NodeID, e.Heartbeat.Incarnation, e.At)
	HostsLeaving{Hosts: e.Heartbeat.Leaving, Source: e.Heartbeat.NodeID}.apply(s)
}

// PeerFailed is posted when a peer could not be reached: it owns no requests until its
// next heartbeat.
type PeerFailed struct {
	// NodeID of the peer.
	NodeID string
}

func (e PeerFailed) apply(s *state) {
	if known, ok := s.peers[e.NodeID]; ok {
		known.LastSeen = time.Time{}
		s.peers[e.NodeID] = known
	}
}
