// Package cell divides the nodes of a fleet into cells, each with a hub that gathers what its
// members know and hands the sum back. Every node derives the same division from the same list
// of nodes; lists that differ for a moment cost duplicate messages and nothing else. It is pure.
package cell

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxMembers bounds a cell, and with it the messages that a hub takes. A fleet that is not
// larger is one cell whatever its data centres, since each hub costs calls to the store.
const maxMembers = 32

// Node is a node as the division sees it.
type Node struct {
	// Name of the node; it stays the same when the process starts again.
	Name string
	// DataCentre of its host.
	DataCentre string
}

// Layout is a division of nodes into cells.
type Layout struct {
	membersByCell map[string][]string
	cellByNode    map[string]string
}

// Divide returns the cells of all nodes: one for a small fleet, else one or more for each
// data centre.
func Divide(nodes []Node) Layout {
	layout := Layout{membersByCell: map[string][]string{}, cellByNode: make(map[string]string, len(nodes))}
	sizes := map[string]int{}
	for _, node := range nodes {
		sizes[node.DataCentre]++
	}
	for _, node := range nodes {
		cell := ""
		if len(nodes) > maxMembers {
			cell = node.DataCentre
			if parts := (sizes[cell] + maxMembers - 1) / maxMembers; parts > 1 {
				cell += "/" + strconv.FormatUint(xxhash.Sum64String(node.Name)%uint64(parts), 10)
			}
		}
		layout.membersByCell[cell] = append(layout.membersByCell[cell], node.Name)
		layout.cellByNode[node.Name] = cell
	}
	for cell, names := range layout.membersByCell {
		Rank(cell, names)
	}
	return layout
}

// Rank sorts names by rendezvous hash under a key: each name keeps its place among the rest
// when others come and go.
func Rank(key string, names []string) {
	weight := func(name string) uint64 { return xxhash.Sum64String(key + "\n" + name) }
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
}

// CellOf returns the cell of a node; ok is false if the node is not known.
func (l Layout) CellOf(name string) (cell string, ok bool) {
	cell, ok = l.cellByNode[name]
	return cell, ok
}

// Members returns the nodes of a cell, the first choice as its hub first.
func (l Layout) Members(cell string) []string { return l.membersByCell[cell] }

// Cells returns the names of all cells, in order.
func (l Layout) Cells() []string {
	names := make([]string, 0, len(l.membersByCell))
	for name := range l.membersByCell {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Precedes says whether a node comes before another as the hub of the cell that both are in.
func (l Layout) Precedes(first, second string) bool {
	cell, known := l.cellByNode[first]
	other, otherKnown := l.cellByNode[second]
	if !known || !otherKnown || cell != other {
		return false
	}
	members := l.membersByCell[cell]
	return slices.Index(members, first) < slices.Index(members, second)
}
