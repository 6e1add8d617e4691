package node

import (
	"time"

	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
)

// catchUpTimeout bounds the wait of a new node for upstreams and peers, which may not
// exist at all.
const catchUpTimeout = 5 * time.Second

// Ready reports whether the balancer may send callers to this node.
func (n *Node) Ready() bool {
	snapshot := n.control.Snapshot()
	return !n.draining.Load() && n.caughtUp(snapshot) && !n.isolated(snapshot)
}

// caughtUp reports whether the node knows enough to serve, and stays true from then on: a
// node that loses its upstreams later still refuses correctly, and all nodes would
// become unready together.
func (n *Node) caughtUp(snapshot *control.Snapshot) bool {
	if n.hasCaughtUp.Load() {
		return true
	}
	if snapshot.Index == nil {
		return false
	}
	complete := n.hasUpstreams(snapshot) && n.hasPeers(snapshot)
	if !complete && time.Since(n.startedAt) < catchUpTimeout {
		return false
	}
	n.hasCaughtUp.Store(true)
	return true
}

// hasUpstreams reports whether every service of the configuration has an upstream. For a
// node that watches only a part of the upstreams some services are enough; its
// heartbeats list those without an upstream.
func (n *Node) hasUpstreams(snapshot *control.Snapshot) bool {
	withoutUpstream := snapshot.ServicesWithoutUpstream()
	watched := membership.WatchedUpstreams(snapshot.Members, n.settings.HostID)
	if len(watched) == len(snapshot.Members.Upstreams) {
		return len(withoutUpstream) == 0
	}
	return len(withoutUpstream) < len(snapshot.Index.Config.Services)
}

// hasPeers reports whether a heartbeat of every heartbeat peer on the host list was
// received. A new node waits until the list contains nodes, even if it is not on it yet.
func (n *Node) hasPeers(snapshot *control.Snapshot) bool {
	peers := membership.HeartbeatPeers(snapshot.Members.Nodes, n.settings.HostID, n.settings.DataCentre)
	for _, peer := range peers {
		if _, seen := snapshot.Peers[peer.ID]; !seen {
			return false
		}
	}
	return len(snapshot.Members.Nodes) > 0
}
