package cell

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func fleet(size, dataCentres int) []Node {
	nodes := make([]Node, size)
	for i := range nodes {
		nodes[i] = Node{Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres)}
	}
	return nodes
}

func TestSmallFleetIsOneCell(t *testing.T) {
	layout := Divide(fleet(5, 4))
	require.Len(t, layout.Cells(), 1)
	require.Len(t, layout.Members(layout.Cells()[0]), 5)
}

// The work of a hub is bounded at any fleet size.
func TestCellsAreBounded(t *testing.T) {
	for _, size := range []int{30, 118, 300, 1128} {
		layout := Divide(fleet(size, 6))
		for _, cell := range layout.Cells() {
			require.LessOrEqual(t, len(layout.Members(cell)), 2*maxMembers, "%d nodes", size)
		}
	}
}

// Every node is in one cell, and the division does not depend on the order of the node list.
func TestDivisionFollowsFromTheSetOfNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(rapid.IntRange(1, 200).Draw(t, "size"), rapid.IntRange(1, 8).Draw(t, "data centres"))
		shuffled := rapid.Permutation(nodes).Draw(t, "shuffled")
		first, second := Divide(nodes), Divide(shuffled)
		require.Equal(t, first.Cells(), second.Cells())
		total := 0
		for _, cell := range first.Cells() {
			require.Equal(t, first.Members(cell), second.Members(cell))
			total += len(first.Members(cell))
		}
		require.Equal(t, len(nodes), total)
	})
}

// When a node dies, the next one in order takes its place and the order of the others is
// unchanged.
func TestDeathOfAHubMovesNobodyElse(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	Rank("cell", names)
	for i := range names {
		rest := slices.Delete(slices.Clone(names), i, i+1)
		ranked := slices.Clone(rest)
		slices.Sort(ranked)
		Rank("cell", ranked)
		require.Equal(t, rest, ranked)
	}
}

// Nodes report only to nodes that precede them, so that no two nodes report to each other.
func TestPrecedenceIsAnOrderWithinACell(t *testing.T) {
	layout := Divide(fleet(40, 4))
	for _, a := range fleet(40, 4) {
		for _, b := range fleet(40, 4) {
			require.False(t, layout.Precedes(a.Name, b.Name) && layout.Precedes(b.Name, a.Name))
			same := a.DataCentre == b.DataCentre && a.Name != b.Name
			require.Equal(t, same, layout.Precedes(a.Name, b.Name) || layout.Precedes(b.Name, a.Name))
		}
	}
}
