package idempotency

import (
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// Seal ends all sends of this incarnation and returns its journal, one part per holder.
// Operations that are still running have an unknown outcome for the successor.
func (j *Journal) Seal() []api.OperationHandover {
	j.sealed = true
	parts := map[Holder]*api.OperationHandover{}
	for holder, held := range j.holdings {
		parts[holder] = &api.OperationHandover{
			NodeID: holder.Node, Incarnation: holder.Incarnation,
			MayRun:  held.mayRun && j.evictedThrough.IsZero(),
			Entries: []api.OperationEntry{},
		}
	}
	for _, id := range j.insertionOrder {
		known, ok := j.records[id]
		if !ok {
			continue
		}
		entry := known.entry
		if entry.State == api.OperationEntryStateRunning {
			entry.State = api.OperationEntryStateUnknown
		}
		part := parts[known.holder]
		part.Entries = append(part.Entries, entry)
	}
	handovers := make([]api.OperationHandover, 0, len(parts))
	for _, part := range parts {
		handovers = append(handovers, *part)
	}
	slices.SortFunc(handovers, func(a, b api.OperationHandover) int {
		if a.NodeID != b.NodeID {
			return compare(a.NodeID, b.NodeID)
		}
		return compare(a.Incarnation, b.Incarnation)
	})
	return handovers
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Adopt applies a handover. It returns false when this node can't be the successor and
// will send none of the operations.
func (j *Journal) Adopt(handover api.OperationHandover) bool {
	from := Holder{Node: handover.NodeID, Incarnation: handover.Incarnation}
	successor := Holder{Node: handover.Successor, Incarnation: handover.SuccessorIncarnation}
	if successor != j.self {
		j.successors[from] = successor
		return true
	}
	if j.sealed || from == j.self {
		return false
	}
	if _, repeated := j.holdings[from]; repeated {
		return true
	}
	j.holdings[from] = holding{mayRun: handover.MayRun}
	for _, entry := range handover.Entries {
		j.add(from, time.UnixMilli(entry.AtMS), entry)
		if entry.Answer != nil {
			j.retainAnswer(entry.Operation, entry.Answer)
		}
	}
	return true
}
