package limit

import (
	"math"
	"time"
)

const (
	// minWaitShare is the fraction of the first-token target for which any request may
	// wait, even if its prefill alone takes longer than the target.
	minWaitShare = 0.25
	// overcommitFactor is the multiple of its part of the upstreams' slots that a node may
	// use, since the load of owners is uneven.
	overcommitFactor = 1.5
	// answerTokenCost is the cost of an answer token in prompt tokens: a decode step
	// computes one token of each request in the batch, a prefill many at once.
	answerTokenCost = 8
	// queueFactor is the number of places in the queue per slot.
	queueFactor = 2
)

// WaitBudget returns how long a request may wait at this node so that its first token
// arrives within the target: queue is the predicted wait at the upstream and prefill
// the predicted time of its own prefill. It returns false when the target can't be met.
func WaitBudget(target, prefill, queue time.Duration) (time.Duration, bool) {
	allowed := max(target-prefill, time.Duration(minWaitShare*float64(target)))
	return allowed - queue, queue <= allowed
}

// NodeCapacity returns this node's part of the upstreams' slots and the capacity of the
// queue for them; maxSlots bounds that part.
func NodeCapacity(slots, nodes, maxSlots int) (share, capacity int) {
	share = int(math.Ceil(overcommitFactor * float64(slots) / float64(max(1, nodes))))
	share = min(max(1, share), maxSlots)
	return share, share * queueFactor
}

// RequestCost returns the cost of a request for fair queueing between workspaces, in prompt tokens.
func RequestCost(promptTokens, answerTokens int) float64 {
	return float64(promptTokens + answerTokenCost*answerTokens)
}
