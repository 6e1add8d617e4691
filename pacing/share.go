package pacing

const (
	// extraHolders is the number of nodes that share a limit in addition to one per request
	// per second. Each may send a burst of one request, which the platform's tolerance for
	// requests above a limit allows.
	extraHolders = 3
	// mixStep and mixShift mix the bits of a hash (SplitMix64).
	mixStep  = 0xbf58476d1ce4e5b9
	mixShift = 31
)

// Share returns the part of an upstream's limit that a node may use, from 0 to 1. Few nodes
// share a small limit, since a node needs a token for a whole request to send one. They are
// selected by rendezvous hashing, so that all nodes with the same list of nodes agree. Nodes
// and the upstream are identified by hashes.
func Share(rate float64, upstream, self uint64, others []uint64) float64 {
	nodes := len(others) + 1
	holders := nodes
	if rate < float64(nodes) {
		holders = min(nodes, int(rate)+extraHolders)
	}
	if holders < nodes && Rank(upstream, self, others) >= holders {
		return 0
	}
	return 1 / float64(holders)
}

// Rank returns the number of nodes that precede a node in the rendezvous order of a subject. The
// subject and the nodes are identified by hashes.
func Rank(subject, self uint64, others []uint64) int {
	ownWeight, preceding := weight(subject, self), 0
	for _, other := range others {
		if w := weight(subject, other); w > ownWeight || (w == ownWeight && other > self) {
			preceding++
		}
	}
	return preceding
}

func weight(subject, node uint64) uint64 {
	x := (subject ^ node) * mixStep
	return (x ^ x>>mixShift) * mixStep
}
