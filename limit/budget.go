package limit

import (
	"math"
	"time"
)

const (
	// leastWaitShare is the part of the first-token target for which any request may
	// wait, also one whose prefill alone takes longer than the target.
	leastWaitShare = 0.25
	// overcommit is how far above its part of the upstreams' slots a node may go,
	// since owners are not loaded alike.
	overcommit = 1.5
	// answerCost is the cost of an answer token in prompt tokens: a decode step serves
	// one token of each request in the batch, a prefill computes many at once.
	answerCost = 8
	// queueFactor is the number of waiting requests for each running one.
	queueFactor = 2
)

// WaitBudget returns how long a request may wait at this node so that its first token
// comes within the target: queue is the predicted wait at the upstream and prefill
// the predicted time of its own prefill. False means that it can't come in time.
func WaitBudget(target, prefill, queue time.Duration) (time.Duration, bool) {
	allowed := max(target-prefill, time.Duration(leastWaitShare*float64(target)))
	return allowed - queue, queue <= allowed
}

// NodeCapacity returns this node's part of the upstreams' slots and the places to
// wait for them; most bounds the slots.
func NodeCapacity(slots, nodes, most int) (share, length int) {
	share = int(math.Ceil(overcommit * float64(slots) / float64(max(1, nodes))))
	share = min(max(1, share), most)
	return share, share * queueFactor
}

// RequestCost is the cost of a request by which workspaces share, in prompt tokens.
func RequestCost(promptTokens, answerTokens int) float64 {
	return float64(promptTokens + answerCost*answerTokens)
}
