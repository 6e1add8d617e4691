package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
)

func TestPeersThatTheListLacksArePartnersToo(t *testing.T) {
	now := time.Unix(1000, 0)
	listed := membership.Member{Host: api.Host{ID: "node-2", Role: api.HostRoleNode, Address: "10.0.0.2:1", DataCentre: "dc"}}
	seen := func(id, address string, ago time.Duration) control.Peer {
		return control.Peer{
			Heartbeat: api.Heartbeat{NodeID: id, PeerAddress: address, DataCentre: "dc"},
			LastSeen:  now.Add(-ago),
		}
	}
	snapshot := &control.Snapshot{
		Members: &membership.View{Nodes: []membership.Member{listed}},
		Peers: map[string]control.Peer{
			"node-2": seen("node-2", "10.0.0.2:1", time.Second),
			"node-3": seen("node-3", "10.0.0.3:1", time.Second),
			"node-4": seen("node-4", "10.0.0.4:1", time.Minute),
		},
	}
	n := &Node{settings: api.Settings{NodeID: "node-1", HostID: "node-1", DataCentre: "dc"}}
	var ids []string
	for _, peer := range n.heartbeatPeers(snapshot, now) {
		ids = append(ids, peer.ID)
	}
	require.ElementsMatch(t, []string{"node-2", "node-3"}, ids)
	require.Len(t, snapshot.Members.Nodes, 1, "the snapshot is shared and must not change")
}
