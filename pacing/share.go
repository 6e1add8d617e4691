package pacing

const (
	// slackHolders is the number of nodes that share a limit beyond one for each request a
	// second of it. Each may send one request at once, which the platform's bound on what is
	// in excess of a limit allows.
	slackHolders = 3
	// mixStep and mixShift spread the bits of a hash (SplitMix64).
	mixStep  = 0xbf58476d1ce4e5b9
	mixShift = 31
)

// Share returns the part of an upstream's limit that a node may use. Few nodes share a small
// limit, since each must hold a whole request to send one; they are found by rendezvous hash,
// so that all nodes with the same list of others agree. Nodes and the upstream are named by
// hashes.
func Share(rate float64, upstream, self uint64, others []uint64) float64 {
	nodes := len(others) + 1
	holders := nodes
	if rate < float64(nodes) {
		holders = min(nodes, int(rate)+slackHolders)
	}
	if holders < nodes && rank(upstream, self, others) >= holders {
		return 0
	}
	return 1 / float64(holders)
}

// rank returns the number of nodes that precede a node in the order of the upstream.
func rank(upstream, self uint64, others []uint64) int {
	own, before := weight(upstream, self), 0
	for _, other := range others {
		if w := weight(upstream, other); w > own || (w == own && other > self) {
			before++
		}
	}
	return before
}

func weight(upstream, node uint64) uint64 {
	x := (upstream ^ node) * mixStep
	return (x ^ x>>mixShift) * mixStep
}
