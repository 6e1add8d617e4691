package routing

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
)

// ErrNoUpstream says that no upstream passed the filters.
var ErrNoUpstream = errors.New("no upstream can take the request")

// Tracker counts what this node has under way at one upstream. Traffic goroutines
// share it.
type Tracker struct {
	// InFlight attempts.
	InFlight atomic.Int64
	// Tokens of prompt and answer that those attempts still need.
	Tokens atomic.Int64
}

// Upstream is one upstream as the scheduler sees it. All but Tracker is immutable.
type Upstream struct {
	// ID of the host.
	ID string
	// Incarnation of the process.
	Incarnation string
	// Address is IP:port.
	Address string
	// DataCentre of the host.
	DataCentre string
	// Health of the member.
	Health membership.State
	// PricePerSecond of the host, in the deployment's currency.
	PricePerSecond float64
	// ReclaimsPerHour expected of the host.
	ReclaimsPerHour float64
	// Load is the last report of an engine; nil when there is none.
	Load *api.EngineLoad
	// Tracker of this node's attempts.
	Tracker *Tracker
}

// Fleet is all upstreams by service. It is immutable.
type Fleet struct {
	// ByService holds the upstreams of each service, sorted by id.
	ByService map[string][]*Upstream
}

// Request is what the scheduler knows of an attempt.
type Request struct {
	// Service that is asked for.
	Service string
	// Blocks of the prompt's prefix; empty for plain services.
	Blocks []uint64
	// PromptTokens of the request.
	PromptTokens int
	// AnswerTokens expected.
	AnswerTokens int
	// Priority, 0 (first) to 9.
	Priority int
	// DataCentre of this node.
	DataCentre string
	// AllowedDataCentres of the route; empty means any.
	AllowedDataCentres []string
	// Excluded upstreams, which were tried already, by id.
	Excluded map[string]bool
	// Key spreads equal choices.
	Key uint64
}

// Weights are the deployment's prices.
type Weights struct {
	// Latency is the price of one second of waiting.
	Latency float64
	// Cost multiplies the price of machine time.
	Cost float64
}

// Pick returns the upstream with the lowest price of the attempt, or ErrNoUpstream.
func Pick(fleet *Fleet, request Request, weights Weights, _ time.Time) (*Upstream, error) {
	var best *Upstream
	var bestPrice float64
	for _, candidate := range fleet.ByService[request.Service] {
		if !eligible(candidate, request) {
			continue
		}
		price := attemptPrice(candidate, request, weights)
		if best == nil || price < bestPrice {
			best, bestPrice = candidate, price
		}
	}
	if best == nil {
		return nil, ErrNoUpstream
	}
	return best, nil
}

func eligible(candidate *Upstream, request Request) bool {
	if candidate.Health == membership.StateLeaving || request.Excluded[candidate.ID] {
		return false
	}
	if len(request.AllowedDataCentres) == 0 {
		return true
	}
	for _, allowed := range request.AllowedDataCentres {
		if allowed == candidate.DataCentre {
			return true
		}
	}
	return false
}

const (
	// slotWaitSeconds is the wait that one attempt ahead adds.
	slotWaitSeconds = 0.05
	// suspectSeconds is the wait that a suspect upstream is expected to add.
	suspectSeconds = 10.0
	// remoteSeconds is the wait that another data centre adds.
	remoteSeconds = 0.001
	// affinitySeconds is the prefill that the preferred upstream of a prefix saves.
	affinitySeconds = 0.1
)

// attemptPrice is the price of running the request at the candidate.
func attemptPrice(candidate *Upstream, request Request, weights Weights) float64 {
	wait := slotWaitSeconds * float64(candidate.Tracker.InFlight.Load())
	if candidate.Health == membership.StateSuspect {
		wait += suspectSeconds
	}
	if candidate.DataCentre != request.DataCentre {
		wait += remoteSeconds
	}
	spread := float64(mix(request.Key, hashID(candidate.ID))>>32) / (1 << 32)
	wait += affinitySeconds * spread
	return weights.Latency*wait + weights.Cost*candidate.PricePerSecond
}
