package node

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
)

// heartbeatPeers returns the nodes with which this node exchanges heartbeats. They are
// chosen among the nodes of the host list and the live peers that the list, which lags,
// does not contain yet.
func (n *Node) heartbeatPeers(snapshot *control.Snapshot, now time.Time) []membership.Member {
	nodes := snapshot.Members.Nodes
	nodes = append(nodes[:len(nodes):len(nodes)], unlisted(snapshot, now)...)
	return membership.HeartbeatPeers(nodes, n.settings.HostID, n.settings.DataCentre)
}

// unlisted returns the live peers that are not on the host list.
func unlisted(snapshot *control.Snapshot, now time.Time) []membership.Member {
	listed := map[string]bool{}
	for _, node := range snapshot.Members.Nodes {
		listed[node.Address] = true
	}
	var members []membership.Member
	for _, peer := range snapshot.Peers {
		if listed[peer.PeerAddress] || !peer.Alive(now) {
			continue
		}
		members = append(members, membership.Member{
			Host: api.Host{
				ID:          peer.NodeID,
				Incarnation: peer.Incarnation,
				Role:        api.HostRoleNode,
				Address:     peer.PeerAddress,
				DataCentre:  peer.DataCentre,
				State:       api.HostStateLive,
			},
			Health: membership.StateLive,
		})
	}
	return members
}
