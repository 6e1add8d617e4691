package routing

import (
	"time"
)

const (
	// crowding prices each running request beside, as a share of an answer's usual decode:
	// both go slower, and the next request finds less room.
	crowding = 0.06
	// remoteSeconds is the wait that another data centre adds.
	remoteSeconds = 0.001
	// resumeSeconds is the pause of an answer that moves to another engine.
	resumeSeconds = 1.0
	// secondsPerHour turns reclaims per hour into reclaims per second.
	secondsPerHour = 3600.0
	// prefillExternality counts a second of prefill more than once, since it also delays
	// those that come behind and drives other prefixes out of the cache.
	prefillExternality = 4
	// fetchExternality counts a second of copying more than once: what moves is paid for.
	fetchExternality = 48
	// leastFetchTokens is the shortest part of a prompt that is worth a copy.
	leastFetchTokens = 1024
	// spreadSeconds is the preference of a prefix for one engine among equals.
	spreadSeconds = 0.01
	// overdueFactor is how many times its forecast an attempt may take before its
	// upstream is taken for slow.
	overdueFactor = 3
)

// Forecast is what an attempt at a candidate is expected to meet, in seconds.
type Forecast struct {
	// CachedTokens of the prompt.
	CachedTokens int
	// FetchTokens of the prompt that are copied from another engine's cache.
	FetchTokens int
	// Fetch of these tokens.
	Fetch float64
	// Queue is the wait before the prefill starts.
	Queue float64
	// Prefill of the tokens that are not cached.
	Prefill float64
	// Decode of the whole answer.
	Decode float64
	// Running requests beside this one.
	Running float64
}

// Scorer prices one aspect of an attempt, in the deployment's unit.
type Scorer struct {
	// Name is one word.
	Name string
	// Price of the aspect; lower is better.
	Price func(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64
}

// DefaultScorers are the aspects that Pick adds up.
var DefaultScorers = []Scorer{
	{Name: "queue", Price: priceQueue},
	{Name: "prefix", Price: pricePrefix},
	{Name: "decode", Price: priceDecode},
	{Name: "reclaim", Price: priceReclaim},
	{Name: "price", Price: priceHost},
	{Name: "distance", Price: priceDistance},
}

const (
	// slowFactor is how many times the fleet's usual decode an engine may take before the
	// rest counts; below it the difference is noise of the prompts beside.
	slowFactor = 1.5
	// fullSeconds is the price of an upstream whose slots are all taken but one, in seconds;
	// it spreads requests over upstreams that are alike otherwise.
	fullSeconds = 6
	// toleratedStall is the uninterrupted prefill, in seconds, that the answers beside it
	// bear without a pause that makes them late.
	toleratedStall = 0.2
	// stallWeight is the part of an answer's worth that a second of stall beyond costs.
	stallWeight = 0.5
)

// ContinuousScorers are the aspects for engines whose step hardly grows with the batch, so
// that what delays a request is the prefill ahead of it, and for plain services.
var ContinuousScorers = []Scorer{
	{Name: "queue", Price: priceQueue},
	{Name: "prefix", Price: pricePrefix},
	{Name: "fetch", Price: priceFetch},
	{Name: "interference", Price: priceInterference},
	{Name: "slow", Price: priceSlow},
	{Name: "full", Price: priceFull},
	{Name: "distance", Price: priceDistance},
}

// priceFetch prices a copy of another engine's cache, which takes up the links of both and is
// paid for by the byte.
func priceFetch(_ *Upstream, _ *Request, forecast Forecast, weights Weights) float64 {
	return weights.Latency * fetchExternality * forecast.Fetch
}

// priceSlow prices the time by which an engine is far slower than the fleet.
func priceSlow(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	usual := float64(request.AnswerTokens) * candidate.state.fleetStep
	return weights.Latency * max(0, forecast.Decode-slowFactor*usual)
}

// priceInterference prices the pauses that a long prefill makes in the answers beside it:
// while an engine reads one prompt after another, each of its steps takes a whole chunk.
func priceInterference(_ *Upstream, _ *Request, forecast Forecast, weights Weights) float64 {
	stall := forecast.Queue + forecast.Prefill - toleratedStall
	if forecast.Prefill == 0 || stall <= 0 {
		return 0
	}
	return weights.Latency * stallWeight * forecast.Running * min(stall, forecast.Prefill)
}

// priceFull prices the share of the slots that are taken.
func priceFull(candidate *Upstream, _ *Request, forecast Forecast, weights Weights) float64 {
	return weights.Latency * fullSeconds * forecast.Running / candidate.state.slots
}

func priceQueue(_ *Upstream, _ *Request, forecast Forecast, weights Weights) float64 {
	return weights.Latency * forecast.Queue
}

func pricePrefix(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	preference := float64(mix(request.Key, candidate.hash)>>32) / (1 << 32)
	return weights.Latency * (prefillExternality*forecast.Prefill + spreadSeconds*preference)
}

// priceDecode prices the time by which the answer takes longer than the fleet's
// usual, and by which it slows those that run beside it.
func priceDecode(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	usual := float64(request.AnswerTokens) * candidate.state.fleetStep
	return weights.Latency * (max(0, forecast.Decode-usual) + crowding*forecast.Running*usual)
}

// priceReclaim prices the chance that the host goes before the answer is whole: the
// prompt is computed again and the answer pauses.
func priceReclaim(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	length := forecast.Queue + forecast.Prefill + forecast.Decode
	chance := min(1, candidate.ReclaimsPerHour*length/secondsPerHour)
	again := float64(request.PromptTokens) / candidate.state.rate
	return chance * (weights.Latency*(again+resumeSeconds) + weights.Cost*candidate.PricePerSecond*again)
}

// priceHost prices the machine time: the prefill whole, the decode shared with the
// requests in the same batch, of which there will be at least the fleet's usual.
func priceHost(candidate *Upstream, _ *Request, forecast Forecast, weights Weights) float64 {
	share := forecast.Decode / (max(forecast.Running, candidate.state.fleetRunning) + 1)
	return weights.Cost * candidate.PricePerSecond * (forecast.Prefill + share)
}

func priceDistance(candidate *Upstream, request *Request, _ Forecast, weights Weights) float64 {
	if candidate.DataCentre == request.DataCentre {
		return 0
	}
	return weights.Latency * remoteSeconds
}

// forecast predicts an attempt at a candidate from its last report, corrected by
// what this node has there now.
func (r *round) forecast(candidate *Upstream) Forecast {
	state := &candidate.state
	request := r.request
	own := float64(candidate.Tracker.InFlight.Load())
	running := own + state.otherRunning + state.mirror*(own+state.ownMean)/2
	forecast := Forecast{CachedTokens: r.cached(candidate), Running: min(running, state.slots-1)}
	if r.source != nil && r.source != candidate && candidate.FetchRate > 0 {
		lacks := min(r.sourceBlocks*r.blockTokens, request.PromptTokens) - forecast.CachedTokens
		if lacks >= leastFetchTokens {
			forecast.FetchTokens, forecast.Fetch = lacks, float64(lacks)/candidate.FetchRate
		}
	}
	if uncached := request.PromptTokens - forecast.CachedTokens - forecast.FetchTokens; uncached > 0 {
		forecast.Prefill = float64(uncached) / state.rate
	}
	forecast.Decode = float64(request.AnswerTokens) * state.step
	forecast.Queue = r.queue(candidate, running)
	forecast.Queue = max(forecast.Queue, r.overdue(candidate, forecast.Queue))
	return forecast
}

// queue predicts the wait behind what engines serve first: the same or a higher
// priority. What others have queued is taken to have the priorities of this node's.
func (r *round) queue(candidate *Upstream, running float64) float64 {
	state, tracker := &candidate.state, candidate.Tracker
	priority := clampPriority(r.request.Priority)
	due, dueAhead := tracker.dueCount[priorities-1].Load(), tracker.dueCount[priority].Load()
	share := 1.0
	if due > 0 {
		share = float64(dueAhead) / float64(due)
	}
	own := float64(tracker.dueTokens[priority].Load())
	queue := (share*state.otherQueued + own + state.mirror*own/2) / state.rate
	if excess := running + 1 - state.slots; excess > 0 {
		ahead := 1 + share*(excess-1)
		queue += max(0, ahead) * state.hold / state.slots
	}
	return queue
}

// overdue returns the age of the oldest attempt whose first token should have come
// long ago, in seconds; 0 when none is late.
func (r *round) overdue(candidate *Upstream, queue float64) float64 {
	oldest := candidate.Tracker.oldest.Load()
	if oldest == 0 {
		return 0
	}
	age := time.Duration(r.now.UnixNano() - oldest).Seconds()
	if age < overdueFactor*(queue+candidate.state.step) {
		return 0
	}
	return age
}

// cached returns the prompt tokens that the candidate is expected to hold.
func (r *round) cached(candidate *Upstream) int {
	if candidate.Holder == 0 {
		return 0
	}
	for _, held := range r.held[:r.holders] {
		if held.Holder == candidate.Holder {
			return min(held.Blocks*r.blockTokens, r.request.PromptTokens)
		}
	}
	return 0
}
