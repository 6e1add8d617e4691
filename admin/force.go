package admin

import (
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/membership"
)

// coverage says which nodes do not have a record of the config stream yet.
type coverage struct {
	// waiting nodes are heard of and are behind.
	waiting []string
	// silent nodes are on the host list and were not heard of lately.
	silent []string
}

// everywhere says that every live node has the record.
func (c coverage) everywhere() bool { return len(c.waiting) == 0 && len(c.silent) == 0 }

// coverageOf checks every live node: those of the host list, and those that a
// heartbeat came from lately, since the host list lags. A silent node counts as live
// until the host list drops it or its reclaim is past.
func coverageOf(snapshot *control.Snapshot, own api.Heartbeat, offset int64, now time.Time) coverage {
	var covered coverage
	heard := map[string]bool{own.PeerAddress: true}
	if own.ConfigOffset <= offset {
		covered.waiting = append(covered.waiting, own.NodeID)
	}
	for _, known := range snapshot.Peers {
		if now.Sub(known.HeardAt) > peerSilentAfter {
			continue
		}
		heard[known.PeerAddress] = true
		if known.ConfigOffset <= offset {
			covered.waiting = append(covered.waiting, known.NodeID)
		}
	}
	for _, member := range snapshot.Members.Nodes {
		if !heard[member.Address] && !ended(member, now) {
			covered.silent = append(covered.silent, member.ID)
		}
	}
	slices.Sort(covered.waiting)
	slices.Sort(covered.silent)
	return covered
}

// ended says that the host's reclaim is past, so that its node can serve no one.
func ended(member membership.Member, now time.Time) bool {
	return member.Health == membership.StateLeaving && !member.ReclaimAt.IsZero() && now.After(member.ReclaimAt)
}
