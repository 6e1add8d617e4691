package routing

import (
	"errors"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/pacing"
)

// ErrNoUpstream is returned when no upstream passed the filters.
var ErrNoUpstream = errors.New("no upstream can take the request")

// ErrThrottled is returned when upstreams passed the filters but none accepts a request of
// this node now.
var ErrThrottled = errors.New("no upstream takes a request now")

const (
	// exhaustiveLimit is the number of candidates up to which all are scored.
	exhaustiveLimit = 24
	// sampleSize is the number of candidates that are scored when there are more.
	sampleSize = 12
	// longPromptTokens is the length from which a prompt delays the tokens of other requests
	// in the batch: one chunk of prefill.
	longPromptTokens = 4096
	// maxHolders bounds the holders of the prompt's prefix that are scored in addition to
	// the sample.
	maxHolders = 8
)

// Upstream is one upstream as the scheduler sees it. All fields but Tracker are immutable.
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
	// ReclaimsPerHour is the expected reclaim rate of the host.
	ReclaimsPerHour float64
	// Load is the last load report of an engine; nil when there is none.
	Load *api.EngineLoad
	// FetchRate is the number of tokens per second that the engine copies from another
	// engine's cache; 0 if it can't.
	FetchRate float64
	// Leaving engines get no work; their cache may be copied.
	Leaving bool
	// Holder identifies the upstream in the prefix index; 0 when it has no prefix cache.
	Holder Holder
	// Tracker of this node's attempts.
	Tracker *Tracker
	// Reading are the samples that other nodes have of the engine.
	Reading ReadingSamples
	// Gate applies the limits, pauses and departure that the upstream announces.
	Gate *pacing.Gate
	// Version of its software, Generation its side in a rollout of its service.
	Version    string
	Generation Generation

	hash     uint64
	estimate estimate
	// sourceOnly is set when the upstream may not get work.
	sourceOnly bool
}

// Key returns the identifier of the incarnation.
func (u *Upstream) Key() string { return u.ID + "/" + u.Incarnation }

// Fleet holds all upstreams by service. It is immutable; see NewFleet.
type Fleet struct {
	// ByService holds the upstreams of each service, sorted by id.
	ByService map[string][]*Upstream
	// Prefixes is the index of cached prompt prefixes; nil when there is none.
	Prefixes *PrefixIndex
	// BlockTokens is the size of a block of the index, in tokens.
	BlockTokens int

	byHolder map[Holder]*Upstream
	// byGeneration holds the upstreams of the services that are in a rollout.
	byGeneration map[generationKey][]*Upstream
}

// Request describes an attempt to the scheduler.
type Request struct {
	// Service that is requested.
	Service string
	// Blocks of the prompt's prefix; empty for plain services.
	Blocks []uint64
	// PromptTokens of the request.
	PromptTokens int
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int
	// Priority, 0 (first) to 9.
	Priority int
	// FirstTokenTarget is the time left in which the first token is on time, GapTarget the longest
	// pause between two tokens of an answer that is on time; 0 if there is no such target.
	FirstTokenTarget, GapTarget time.Duration
	// DataCentre of this node.
	DataCentre string
	// AllowedDataCentres of the route; empty means any.
	AllowedDataCentres []string
	// Excluded holds the ids of the upstreams of earlier attempts.
	Excluded map[string]bool
	// Key breaks ties between equal candidates; requests with a common prefix share it.
	Key uint64
	// Seed selects the sample when there are many candidates.
	Seed uint64
	// Generation that may run the request; AnyGeneration for no restriction.
	Generation Generation
	// Trace records the decision; nil for none.
	Trace *Trace
}

// Weights are the deployment's prices.
type Weights struct {
	// Latency is the price of one second of waiting.
	Latency float64
	// Cost multiplies the price of machine time.
	Cost float64
}

// Choice is the outcome of a routing decision.
type Choice struct {
	// Upstream is the chosen upstream.
	Upstream *Upstream
	// Queue is the predicted wait before the prefill starts, in seconds.
	Queue float64
	// Prefill is the predicted time of the prefill, in seconds.
	Prefill float64
	// CachedTokens is the part of the prompt that the upstream is expected to have cached.
	CachedTokens int
	// FetchTokens is the part of the prompt that it lacks and can copy from the cache of
	// Source, which is nil for none.
	FetchTokens int
	Source      *Upstream
	// Price of the attempt.
	Price float64
	// Load is the expected share of the upstream's slots that are taken.
	Load float64
}

// UncachedTokens returns the part of a prompt that the upstream has to compute.
func (c Choice) UncachedTokens(promptTokens int) int {
	return max(0, promptTokens-c.CachedTokens-c.FetchTokens)
}

// Pick returns the upstream with the lowest price for the attempt, or ErrNoUpstream. With
// ErrThrottled it returns the upstream that will accept a request soonest. Suspect upstreams
// are chosen only when no other passes the filters.
func Pick(fleet *Fleet, request *Request, weights Weights, now time.Time) (Choice, error) {
	return PickWith(DefaultScorers, fleet, request, weights, now)
}

// PickWith is like Pick with the given scorers.
func PickWith(scorers []Scorer, fleet *Fleet, request *Request, weights Weights, now time.Time) (Choice, error) {
	d := decision{scorers: scorers, request: request, weights: weights, now: now, blockTokens: fleet.BlockTokens}
	d.matchPrefix(fleet)
	candidates := fleet.candidates(request)
	if len(candidates) <= exhaustiveLimit {
		d.scoreList(candidates)
		return d.result()
	}
	d.scoreSample(fleet, candidates)
	if d.best.Upstream == nil {
		d.scoreList(candidates)
	}
	return d.result()
}

// decision is the state of one routing decision. It stays on the stack, since a decision must
// not allocate.
type decision struct {
	scorers    []Scorer
	request    *Request
	weights    Weights
	now        time.Time
	matches    [maxHolders]PrefixMatch
	matchCount int
	// source is the engine with the longest cached prefix that can be copied; nil for none.
	// It has cached sourceBlocks blocks.
	source       *Upstream
	sourceBlocks int
	// blockTokens is the size of a block of the prefix, in tokens.
	blockTokens int

	// best is the cheapest preferred candidate. fallback is the cheapest of the others, which
	// are suspect or leaving upstreams and, for short prompts, those with a rate limit; it is
	// used when there is no preferred one.
	best     Choice
	fallback Choice
	// throttled is the upstream that accepts a request soonest among those that accept none
	// now; nil for none. throttledWait is the time until then.
	throttled     *Upstream
	throttledWait time.Duration
}

func (d *decision) matchPrefix(fleet *Fleet) {
	if fleet.Prefixes != nil && len(d.request.Blocks) > 0 {
		d.matchCount = fleet.Prefixes.Find(d.request.Blocks, &d.matches)
	}
	for _, match := range d.matches[:d.matchCount] {
		candidate := fleet.byHolder[match.Holder]
		if candidate == nil || !canCopyFrom(candidate) || !d.request.Generation.mayCopyFrom(candidate) || match.Blocks < d.sourceBlocks {
			continue
		}
		// Prefer the least busy of equal sources, since copies from one source are sequential.
		if match.Blocks == d.sourceBlocks && d.source.Tracker.InFlight.Load() <= candidate.Tracker.InFlight.Load() {
			continue
		}
		d.source, d.sourceBlocks = candidate, match.Blocks
	}
}

func (d *decision) scoreList(candidates []*Upstream) {
	for _, candidate := range candidates {
		d.score(candidate)
	}
}

// scoreSample scores the holders of the prefix, a random sample of the candidates drawn
// by the request's seed, and the candidate that is determined by its key.
func (d *decision) scoreSample(fleet *Fleet, candidates []*Upstream) {
	for _, match := range d.matches[:d.matchCount] {
		if candidate := fleet.byHolder[match.Holder]; candidate != nil && !candidate.sourceOnly {
			d.score(candidate)
		}
	}
	count := uint64(len(candidates))
	d.score(candidates[mixHashes(d.request.Key, count)%count])
	for i := range uint64(sampleSize) {
		d.score(candidates[mixHashes(d.request.Seed, i)%count])
	}
}

// score filters and prices one candidate and records it if it is the cheapest.
func (d *decision) score(candidate *Upstream) {
	if why := removal(candidate, d.request); why != "" {
		d.request.Trace.remove(candidate, why)
		return
	}
	gate := candidate.Gate.State(d.now)
	switch gate {
	case pacing.Departed:
		d.request.Trace.remove(candidate, RemovedDeparted)
		return
	case pacing.Throttled:
		d.request.Trace.remove(candidate, RemovedThrottled)
		d.recordThrottled(candidate)
		return
	}
	forecast := d.forecast(candidate)
	price := 0.0
	for _, scorer := range d.scorers {
		price += scorer.Price(candidate, d.request, forecast, d.weights)
	}
	lowest, lastResort := &d.best, candidate.Health == membership.StateSuspect || gate == pacing.LastResort || d.savesLimitForLongPrompts(candidate)
	if lastResort {
		lowest = &d.fallback
	}
	d.request.Trace.price(d.scorers, candidate, d.request, d.weights, Verdict{LastResort: lastResort, Forecast: forecast, Price: price})
	if lowest.Upstream != nil && price >= lowest.Price {
		return
	}
	*lowest = Choice{
		Upstream: candidate, Price: price, CachedTokens: forecast.CachedTokens, FetchTokens: forecast.FetchTokens,
		Queue: forecast.Queue, Prefill: forecast.Prefill, Load: forecast.Running / candidate.estimate.slots,
	}
	if forecast.FetchTokens > 0 {
		lowest.Source = d.source
	}
}

// savesLimitForLongPrompts reports whether the request is too short to use up the rate
// limit of an upstream while others can take it. A limit counts requests regardless of
// their length, so it admits most work when long prompts use it.
func (d *decision) savesLimitForLongPrompts(candidate *Upstream) bool {
	return d.request.PromptTokens > 0 && d.request.PromptTokens < longPromptTokens && candidate.Gate.Limit().Limited
}

func (d *decision) recordThrottled(candidate *Upstream) {
	if wait := candidate.Gate.Wait(d.now); d.throttled == nil || wait < d.throttledWait {
		d.throttled, d.throttledWait = candidate, wait
	}
}

func (d *decision) result() (Choice, error) {
	switch {
	case d.best.Upstream != nil:
		return d.best, nil
	case d.fallback.Upstream != nil:
		return d.fallback, nil
	case d.throttled != nil:
		return Choice{Upstream: d.throttled}, ErrThrottled
	default:
		return Choice{}, ErrNoUpstream
	}
}

// canCopyFrom reports whether the cache of an engine may be copied.
func canCopyFrom(engine *Upstream) bool {
	return engine.Leaving || engine.Health == membership.StateLive
}

// removal implements the filter step. The fleet's index by service already guarantees
// that the model and its version are loaded.
func removal(candidate *Upstream, request *Request) Removal {
	switch {
	case candidate.Health == membership.StateLeaving:
		return RemovedLeaving
	case request.Excluded[candidate.ID]:
		return RemovedAttempted
	case !request.Generation.includes(candidate):
		return RemovedGeneration
	case len(request.AllowedDataCentres) > 0 && !slices.Contains(request.AllowedDataCentres, candidate.DataCentre):
		return RemovedDataCentre
	}
	return ""
}
