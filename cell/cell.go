// Package cell divides the nodes of a fleet into cells, each with a hub that aggregates the
// state of its members and distributes the result. Every node derives the same division from
// the same list of nodes; lists that differ temporarily only cause duplicate messages. It has
// no side effects.
package cell

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxMembers bounds the mean size of the cells of a data centre, and thereby the messages that
// a hub receives. A fleet of up to this size is one cell regardless of its data centres, since
// each hub costs calls to the store.
const maxMembers = 32

// Node is a member of the fleet.
type Node struct {
	// Name of the node; it is the same after a restart of the process.
	Name string
	// DataCentre of its host.
	DataCentre string
}

// Layout is a division of nodes into cells.
type Layout struct {
	membersByCell map[string][]string
	cellByNode    map[string]string
}

// Divide returns the cells of all nodes: one cell for a small fleet, else one or more per data
// centre.
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

// Rank sorts names by their rendezvous hash with a key. The relative order of two names does
// not depend on the other names.
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

// Members returns the nodes of a cell in order of preference as its hub.
func (l Layout) Members(cell string) []string { return l.membersByCell[cell] }

// Cells returns the sorted names of all cells.
func (l Layout) Cells() []string {
	names := make([]string, 0, len(l.membersByCell))
	for name := range l.membersByCell {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Count returns the number of cells.
func (l Layout) Count() int { return len(l.membersByCell) }

// Precedes reports whether two nodes are in the same cell and the first is preferred to the
// second as its hub.
func (l Layout) Precedes(first, second string) bool {
	cell, known := l.cellByNode[first]
	other, otherKnown := l.cellByNode[second]
	if !known || !otherKnown || cell != other {
		return false
	}
	members := l.membersByCell[cell]
	return slices.Index(members, first) < slices.Index(members, second)
}
