package routing

import (
	"errors"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/pacing"
)

// ErrNoUpstream says that no upstream passed the filters.
var ErrNoUpstream = errors.New("no upstream can take the request")

// ErrThrottled says that upstreams passed the filters and none takes a request of this node now.
var ErrThrottled = errors.New("no upstream takes a request now")

const (
	// scoreAll is the number of candidates up to which all are scored.
	scoreAll = 24
	// sampleSize is the number of candidates that are scored when there are more.
	sampleSize = 12
	// longPrompt is the length from which a prompt delays the tokens of requests beside it, in
	// tokens: one chunk of prefill.
	longPrompt = 4096
	// maxHolders bounds the holders of the prompt's prefix that are scored beside the sample.
	maxHolders = 8
)

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
	// FetchRate is the tokens a second that the engine copies from another's cache; 0 if it can't.
	FetchRate float64
	// Leaving engines get no work; what they hold may be copied.
	Leaving bool
	// Holder names the upstream in the prefix index; 0 when it holds no prefixes.
	Holder Holder
	// Tracker of this node's attempts.
	Tracker *Tracker
	// Gate holds what the upstream says of itself.
	Gate *pacing.Gate

	hash  uint64
	state estimate
	// sourceOnly says that the upstream is not among those that may get work.
	sourceOnly bool
}

// Key names the incarnation.
func (u *Upstream) Key() string { return u.ID + "/" + u.Incarnation }

// Fleet is all upstreams by service. It is immutable; see NewFleet.
type Fleet struct {
	// ByService holds the upstreams of each service, sorted by id.
	ByService map[string][]*Upstream
	// Prefixes tells which engine holds which prompt prefix; nil when unknown.
	Prefixes *PrefixIndex
	// BlockTokens is the size of a block of Prefixes, in tokens.
	BlockTokens int

	byHolder map[Holder]*Upstream
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
	// Key spreads equal choices: requests with one prefix share it.
	Key uint64
	// Seed chooses the sample when candidates are many.
	Seed uint64
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
	// Upstream that was chosen.
	Upstream *Upstream
	// Queue is the predicted wait before the prefill starts, in seconds.
	Queue float64
	// Prefill is the predicted time of the prefill, in seconds.
	Prefill float64
	// CachedTokens of the prompt that the upstream is expected to hold.
	CachedTokens int
	// FetchTokens of the prompt that it lacks and can copy from Source, which is nil for none.
	FetchTokens int
	Source      *Upstream
	// Price of the attempt.
	Price float64
}

// Pick returns the upstream with the lowest price of the attempt, or ErrNoUpstream. With
// ErrThrottled it returns the upstream that takes a request first.
// Suspect upstreams are chosen only when no other passes the filters.
func Pick(fleet *Fleet, request *Request, weights Weights, now time.Time) (Choice, error) {
	return PickWith(DefaultScorers, fleet, request, weights, now)
}

// PickWith is Pick with a choice of scorers.
func PickWith(scorers []Scorer, fleet *Fleet, request *Request, weights Weights, now time.Time) (Choice, error) {
	round := round{scorers: scorers, request: request, weights: weights, now: now, blockTokens: fleet.BlockTokens}
	round.findHolders(fleet)
	candidates := fleet.ByService[request.Service]
	if len(candidates) <= scoreAll {
		round.scoreList(candidates)
		return round.result()
	}
	round.scoreSample(fleet, candidates)
	if round.best.Upstream == nil {
		round.scoreList(candidates)
	}
	return round.result()
}

// round is the state of one decision; it lives on the stack.
type round struct {
	scorers []Scorer
	request *Request
	weights Weights
	now     time.Time
	held    [maxHolders]PrefixMatch
	holders int
	// source is the live engine that holds most of the prefix; nil for none. It has
	// sourceBlocks of it.
	source       *Upstream
	sourceBlocks int
	// blockTokens is the size of a block of the prefix, in tokens.
	blockTokens int

	best    Choice
	suspect Choice
	// closed is the upstream that takes a request first of those that take none now; nil for none.
	closed *Upstream
	opens  time.Duration
}

func (r *round) findHolders(fleet *Fleet) {
	if fleet.Prefixes != nil && len(r.request.Blocks) > 0 {
		r.holders = fleet.Prefixes.Find(r.request.Blocks, &r.held)
	}
	for _, held := range r.held[:r.holders] {
		candidate := fleet.byHolder[held.Holder]
		if candidate == nil || !isSource(candidate) || held.Blocks < r.sourceBlocks {
			continue
		}
		// Of equals the least busy one, since copies pass over its link one after another.
		if held.Blocks == r.sourceBlocks && r.source.Tracker.InFlight.Load() <= candidate.Tracker.InFlight.Load() {
			continue
		}
		r.source, r.sourceBlocks = candidate, held.Blocks
	}
}

func (r *round) scoreList(candidates []*Upstream) {
	for _, candidate := range candidates {
		r.score(candidate)
	}
}

// scoreSample scores the holders of the prefix and a few candidates drawn by the
// request's seed, plus one that its key always draws.
func (r *round) scoreSample(fleet *Fleet, candidates []*Upstream) {
	for _, held := range r.held[:r.holders] {
		if candidate := fleet.byHolder[held.Holder]; candidate != nil && !candidate.sourceOnly {
			r.score(candidate)
		}
	}
	count := uint64(len(candidates))
	r.score(candidates[mix(r.request.Key, count)%count])
	for i := range uint64(sampleSize) {
		r.score(candidates[mix(r.request.Seed, i)%count])
	}
}

// score filters and prices one candidate and keeps it if it is the cheapest.
func (r *round) score(candidate *Upstream) {
	if !eligible(candidate, r.request) {
		return
	}
	gate := candidate.Gate.State(r.now)
	switch gate {
	case pacing.Departed:
		return
	case pacing.Throttled:
		r.noteClosed(candidate)
		return
	}
	forecast := r.forecast(candidate)
	price := 0.0
	for _, scorer := range r.scorers {
		price += scorer.Price(candidate, r.request, forecast, r.weights)
	}
	kept := &r.best
	if candidate.Health == membership.StateSuspect || gate == pacing.LastResort || r.sparesLimit(candidate) {
		kept = &r.suspect
	}
	if kept.Upstream != nil && price >= kept.Price {
		return
	}
	*kept = Choice{
		Upstream: candidate, Price: price, CachedTokens: forecast.CachedTokens, FetchTokens: forecast.FetchTokens,
		Queue: forecast.Queue, Prefill: forecast.Prefill,
	}
	if forecast.FetchTokens > 0 {
		kept.Source = r.source
	}
}

// sparesLimit says whether a request is too short to be counted against an upstream's limit while
// others can take it. A limit counts requests whatever their length, so that it carries most
// work if the long ones use it.
func (r *round) sparesLimit(candidate *Upstream) bool {
	return r.request.PromptTokens > 0 && r.request.PromptTokens < longPrompt && candidate.Gate.Limit().Limited
}

func (r *round) noteClosed(candidate *Upstream) {
	if opens := candidate.Gate.Wait(r.now); r.closed == nil || opens < r.opens {
		r.closed, r.opens = candidate, opens
	}
}

func (r *round) result() (Choice, error) {
	switch {
	case r.best.Upstream != nil:
		return r.best, nil
	case r.suspect.Upstream != nil:
		return r.suspect, nil
	case r.closed != nil:
		return Choice{Upstream: r.closed}, ErrThrottled
	default:
		return Choice{}, ErrNoUpstream
	}
}

// isSource says whether an engine's cache may be copied.
func isSource(engine *Upstream) bool { return engine.Leaving || engine.Health == membership.StateLive }

// eligible is the filter step. That the model and its version are loaded is known
// from the fleet's index by service.
func eligible(candidate *Upstream, request *Request) bool {
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
