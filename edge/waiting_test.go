package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/routing"
)

// rankedMesh returns a mesh whose first node knows a service with two ranks.
func rankedMesh(t *testing.T) (*mesh, *control) {
	m := newMesh(t, 3, 1)
	m.run(10)
	c := m.nodes["n000"]
	backends := []catalog.Backend{{Service: "s", Weight: 1}}
	c.table = catalog.NewTable(&catalog.Config{
		Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}},
		Routes:   []catalog.Route{{Public: true, Backends: backends}, {Public: true, Priority: 1, Backends: backends}},
	})
	return m, c
}

func engineOf(running int, health membership.State) *routing.Upstream {
	return &routing.Upstream{Health: health, Load: &api.EngineLoad{BatchSlots: 12, Running: running}}
}

func TestRoomCountsUsableEnginesAndWhatWaitsElsewhere(t *testing.T) {
	m, c := rankedMesh(t)
	c.peers["n001"].lastMessage.Waiting = map[string]int{"s": 4}
	engines := map[string][]*routing.Upstream{"s": {engineOf(20, membership.StateLive), engineOf(5, membership.StateLive), engineOf(0, membership.StateSuspect)}}
	room := c.rooms(engines, m.now)["s"]
	require.Equal(t, limit.Room{Places: 30, Running: 25, Free: 10, WaitingElsewhere: 4, Nodes: 3}, room)
}

func TestNodeWithoutReportsOfItsPeersKnowsThatItIsAlone(t *testing.T) {
	m, c := rankedMesh(t)
	room := c.rooms(map[string][]*routing.Upstream{"s": nil}, m.now.Add(maxLoadAge+time.Millisecond))["s"]
	require.True(t, room.Alone)
	require.Equal(t, 3, room.Nodes)
}

func TestHubReportsWhatWaitsAtTheNodesThatItRepresents(t *testing.T) {
	m, c := rankedMesh(t)
	for _, peer := range c.peers {
		peer.lastMessage.Waiting = map[string]int{"s": 3}
	}
	sum := 0
	for _, peer := range c.peers {
		sum = max(sum, c.outgoingWaiting(c.representedPeers(peer, true, m.now))["s"])
	}
	require.Equal(t, 3, sum, "what a node reported is not reported back to it")
}

func TestNoRoomIsKeptForAServiceWithOneRank(t *testing.T) {
	m, c := rankedMesh(t)
	require.Empty(t, c.rooms(map[string][]*routing.Upstream{"other": {engineOf(20, membership.StateLive)}}, m.now))
}
