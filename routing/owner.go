// Package routing decides which node owns a request and which upstream runs it. It
// filters and scores the upstreams of one snapshot and picks the cheapest. It has no side
// effects.
package routing

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// ownerLoadFactor bounds the load of an owner, as a multiple of the mean.
	ownerLoadFactor = 1.25
	// ownerSlack is the number of requests by which any owner may exceed that bound.
	ownerSlack = 2
)

// Member is a node that may own requests.
type Member struct {
	// ID of the node.
	ID string
	// InFlight is the number of requests in its last report.
	InFlight int
}

// OwnerKey returns the rendezvous hashing key of a request. It covers the workspace, the
// service and the start of the prompt, so that requests with a common prefix have the
// same owner.
func OwnerKey(workspace, service string, prefix uint64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(service)
	_, _ = digest.WriteString("\x00")
	return mixHashes(digest.Sum64(), prefix)
}

// Owner returns the member with the highest rendezvous weight for the key among
// those whose load is within the bound, or "" when there are none. A hot prefix thus
// overflows to the next members in order. Nodes with different views may disagree, which
// costs efficiency, never safety.
func Owner(key uint64, members []Member) string {
	total := 1
	for _, member := range members {
		total += member.InFlight
	}
	bound := ownerLoadFactor*float64(total)/float64(max(1, len(members))) + ownerSlack
	var best string
	var bestWeight uint64
	for _, member := range members {
		if float64(member.InFlight) >= bound {
			continue
		}
		weight := mixHashes(hashID(member.ID), key)
		if best == "" || weight > bestWeight || (weight == bestWeight && member.ID < best) {
			best, bestWeight = member.ID, weight
		}
	}
	return best
}

// mixHashes combines two hashes with the finalizer of SplitMix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2))
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }
