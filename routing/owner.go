// Package routing decides which node owns a request and which upstream runs it:
// filter, score, pick over one snapshot. It is pure.
package routing

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// ownerBound is how far above the mean an owner's load may be, as a factor.
	ownerBound = 1.25
	// ownerSlack is the number of requests by which any owner may be above the bound.
	ownerSlack = 2
)

// Member is a node that may own requests.
type Member struct {
	// ID of the node.
	ID string
	// InFlight requests that it last told of.
	InFlight int
}

// OwnerKey returns the key by which a request finds its owner: its workspace and
// the start of its prompt, so that requests that share a prefix meet.
func OwnerKey(workspace, service string, prefix uint64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(service)
	_, _ = digest.WriteString("\x00")
	return mix(digest.Sum64(), prefix)
}

// Owner returns the member with the highest rendezvous weight for the key among
// those whose load is within the bound, or "" when there are none. A hot prefix so
// spreads to the next in order. Two nodes with different views may disagree; that
// costs efficiency, never safety.
func Owner(key uint64, members []Member) string {
	total := 1
	for _, member := range members {
		total += member.InFlight
	}
	bound := ownerBound*float64(total)/float64(max(1, len(members))) + ownerSlack
	var best string
	var bestWeight uint64
	for _, member := range members {
		if float64(member.InFlight) >= bound {
			continue
		}
		weight := mix(hashID(member.ID), key)
		if best == "" || weight > bestWeight || (weight == bestWeight && member.ID < best) {
			best, bestWeight = member.ID, weight
		}
	}
	return best
}

// mix combines two hashes by the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2))
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// hashID returns the hash of an id.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }
