package node

import (
	"time"

	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
)

// catchUpPatience bounds the wait of a new node for upstreams and peers that may not
// be there at all.
const catchUpPatience = 5 * time.Second

// Ready says whether the balancer may send callers here.
func (n *Node) Ready() bool {
	snapshot := n.control.Snapshot()
	return !n.draining.Load() && n.caughtUp(snapshot) && !n.isolated(snapshot)
}

// caughtUp says whether the node knows enough to serve. Once it does it stays so,
// since a node that loses sight of upstreams later still gives honest refusals, and
// all nodes would lose sight together.
func (n *Node) caughtUp(snapshot *control.Snapshot) bool {
	if n.served.Load() {
		return true
	}
	if snapshot.Index == nil {
		return false
	}
	complete := n.seesUpstreams(snapshot) && n.seesPeers(snapshot)
	if !complete && time.Since(n.startedAt) < catchUpPatience {
		return false
	}
	n.served.Store(true)
	return true
}

// seesUpstreams says whether every service of the configuration has an upstream. A
// node that watches only a part of the upstreams is content with some services; its
// heartbeats tell which it lacks.
func (n *Node) seesUpstreams(snapshot *control.Snapshot) bool {
	lacks := snapshot.ServicesWithoutUpstream()
	watched := membership.Watched(snapshot.Members, n.settings.HostID)
	if len(watched) == len(snapshot.Members.Upstreams) {
		return len(lacks) == 0
	}
	return len(lacks) < len(snapshot.Index.Config.Services)
}

// seesPeers says whether every partner that the host list has was heard of. A new node
// that is not on the list yet waits for the others to be.
func (n *Node) seesPeers(snapshot *control.Snapshot) bool {
	partners := membership.HeartbeatPeers(snapshot.Members.Nodes, n.settings.HostID, n.settings.DataCentre)
	for _, partner := range partners {
		if _, heard := snapshot.Peers[partner.ID]; !heard {
			return false
		}
	}
	return len(snapshot.Members.Nodes) > 0
}
