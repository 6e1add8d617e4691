package node

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
)

// partners returns the nodes that this node exchanges heartbeats with, chosen among
// those of the host list and those that were heard of and that the list, which lags,
// does not have yet.
func (n *Node) partners(snapshot *control.Snapshot, now time.Time) []membership.Member {
	nodes := snapshot.Members.Nodes
	nodes = append(nodes[:len(nodes):len(nodes)], unlisted(snapshot, now)...)
	return membership.HeartbeatPeers(nodes, n.settings.HostID, n.settings.DataCentre)
}

// unlisted returns the peers that were heard of lately and are not on the host list.
func unlisted(snapshot *control.Snapshot, now time.Time) []membership.Member {
	listed := map[string]bool{}
	for _, node := range snapshot.Members.Nodes {
		listed[node.Address] = true
	}
	var heard []membership.Member
	for _, known := range snapshot.Peers {
		if listed[known.PeerAddress] || !known.Alive(now) {
			continue
		}
		heard = append(heard, membership.Member{
			Host: api.Host{
				ID:          known.NodeID,
				Incarnation: known.Incarnation,
				Role:        api.HostRoleNode,
				Address:     known.PeerAddress,
				DataCentre:  known.DataCentre,
				State:       api.HostStateLive,
			},
			Health: membership.StateLive,
		})
	}
	return heard
}
