package limit_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/limit"
)

// node is a node of a replayed exchange.
type node struct {
	gate             limit.Gate
	running, waiting int
}

// exchange replays one exchange: every node learns of the others' loads and starts what its gate
// lets it. It returns the number of requests that run afterwards.
func exchange(nodes []node, room limit.Room) int {
	running, waiting := 0, 0
	for _, n := range nodes {
		running += n.running
		waiting += n.waiting
	}
	room.Running, room.Free, room.Nodes = running, max(0, room.Places-running), len(nodes)
	total := 0
	for i := range nodes {
		n := &nodes[i]
		room.WaitingElsewhere = waiting - n.waiting
		starts := min(n.waiting, max(0, n.gate.Slots(room, n.running, n.waiting)-n.running))
		n.running, n.waiting = n.running+starts, n.waiting-starts
		total += n.running
	}
	return total
}

func TestNothingWaitsWhileEnginesHaveRoom(t *testing.T) {
	var gate limit.Gate
	require.Equal(t, 505, gate.Slots(limit.Room{Places: 1000, Running: 500, Free: 500, Nodes: 30}, 5, 0))
}

func TestFreePlacesAreDealtByNeedWithinTwoExchanges(t *testing.T) {
	nodes := make([]node, 30)
	for i := range nodes {
		nodes[i].running = 10
	}
	nodes[0].waiting, nodes[1].waiting = 200, 100
	running := exchange(nodes, limit.Room{Places: 400})
	require.LessOrEqual(t, running, 400+2)
	require.Greater(t, nodes[0].running-10, nodes[1].running-10, "more for the node with more waiting requests")
	require.GreaterOrEqual(t, exchange(nodes, limit.Room{Places: 400}), 390, "what the others did not use is dealt again")
}

func TestNodeBeyondItsPartReturnsPlacesToOthersThatWait(t *testing.T) {
	nodes := []node{{running: 100, waiting: 10}, {running: 0, waiting: 100}}
	for range 20 {
		exchange(nodes, limit.Room{Places: 100})
		nodes[0].running -= min(nodes[0].running, 5)
		nodes[0].waiting += 5
	}
	require.InDelta(t, 50, nodes[1].running, 25)
}

func TestAllNodesStartIntoAFullFleet(t *testing.T) {
	total := 0
	for range 30 {
		var gate limit.Gate
		total += gate.Slots(limit.Room{Places: 3600, Free: 3600, Nodes: 30, Alone: true}, 0, 500)
	}
	require.Equal(t, 3600, total, "together they take what the engines have, though none knows of another")
}

func TestNodeThatIsCutOffKeepsAnEqualPart(t *testing.T) {
	var gate limit.Gate
	require.Equal(t, 12, gate.Slots(limit.Room{Places: 840, Running: 3, Free: 837, Nodes: 70, Alone: true}, 3, 40))
}

func TestOneOfManyFullNodesMayAlwaysSendOne(t *testing.T) {
	var gate limit.Gate
	require.Equal(t, 1, gate.Slots(limit.Room{Places: 100, Running: 120, Nodes: 70, WaitingElsewhere: 500}, 0, 3))
}

func TestNothingWaitsForEnginesThatVanished(t *testing.T) {
	var gate limit.Gate
	require.EqualValues(t, math.MaxInt32, gate.Slots(limit.Room{Nodes: 30, WaitingElsewhere: 10}, 3, 40))
}

func TestOverfullEngineDoesNotHideFreePlaces(t *testing.T) {
	var room limit.Room
	for _, running := range []int{40, 40, 3} {
		room.AddEngine(12, running)
	}
	require.Equal(t, limit.Room{Places: 45, Running: 83, Free: 12}, room)
}
