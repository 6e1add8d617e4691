package routing

import (
	"time"
)

const (
	// crowdingFraction is the price of each other running request, as a fraction of the
	// typical decode time of an answer: both become slower, and the next request finds
	// fewer free slots.
	crowdingFraction = 0.06
	// remotePenaltySeconds is the extra latency of another data centre.
	remotePenaltySeconds = 0.001
	// resumePauseSeconds is the pause in an answer that is moved to another engine.
	resumePauseSeconds = 1.0
	// secondsPerHour converts reclaims per hour to reclaims per second.
	secondsPerHour = 3600.0
	// prefillExternality is the weight of a second of prefill, which also delays later
	// requests and evicts other prefixes from the cache.
	prefillExternality = 4
	// fetchExternality is the weight of a second of copying, since transferred bytes are
	// paid for.
	fetchExternality = 48
	// minFetchTokens is the shortest part of a prompt that is worth a copy.
	minFetchTokens = 1024
	// affinitySeconds bounds the preference of a prefix for one engine among equals.
	affinitySeconds = 0.01
	// overdueFactor is the multiple of its forecast after which an attempt marks its
	// upstream as slow.
	overdueFactor = 3
)

// Forecast holds the expected times of an attempt at a candidate, in seconds, and the
// conditions there.
type Forecast struct {
	// CachedTokens is the part of the prompt that the candidate has cached.
	CachedTokens int
	// FetchTokens is the part of the prompt that is copied from another engine's cache.
	FetchTokens int
	// Fetch is the time to copy FetchTokens.
	Fetch float64
	// Queue is the wait before the prefill starts.
	Queue float64
	// Prefill is the time to compute the tokens that are not cached.
	Prefill float64
	// Decode is the time of the complete answer.
	Decode float64
	// Running is the number of other requests that run there.
	Running float64
}

// Scorer prices one aspect of an attempt, in the deployment's currency.
type Scorer struct {
	// Name is one word.
	Name string
	// Price of the aspect; lower is better.
	Price func(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64
}

// DefaultScorers are the scorers whose prices Pick adds up.
var DefaultScorers = []Scorer{
	{Name: "queue", Price: priceQueue},
	{Name: "prefix", Price: pricePrefix},
	{Name: "decode", Price: priceDecode},
	{Name: "reclaim", Price: priceReclaim},
	{Name: "price", Price: priceHost},
	{Name: "distance", Price: priceDistance},
}

const (
	// slowFactor is the multiple of the fleet's typical decode time beyond which the excess
	// is priced; smaller differences are noise from the other prompts in the batch.
	slowFactor = 1.5
	// fullPenaltySeconds is the price of an upstream with one free slot; it spreads requests
	// over otherwise equal upstreams.
	fullPenaltySeconds = 6
)

// ContinuousScorers are the scorers for plain services and for engines whose step time
// hardly grows with the batch, so that requests are mainly delayed by the prefill ahead of
// them.
var ContinuousScorers = []Scorer{
	{Name: "queue", Price: priceQueue},
	{Name: "prefix", Price: pricePrefix},
	{Name: "fetch", Price: priceFetch},
	{Name: "late", Price: priceLate},
	{Name: "stall", Price: priceStall},
	{Name: "slow", Price: priceSlow},
	{Name: "full", Price: priceFull},
	{Name: "distance", Price: priceDistance},
}

// priceFetch prices a copy of another engine's cache, which uses the network links of
// both and is paid for by the byte.
func priceFetch(_ *Upstream, _ *Request, forecast Forecast, weights Weights) float64 {
	return weights.Latency * fetchExternality * forecast.Fetch
}

// priceSlow prices the decode time beyond slowFactor times that of the fleet.
func priceSlow(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	typical := float64(request.AnswerTokens) * candidate.estimate.fleetStep
	return weights.Latency * max(0, forecast.Decode-slowFactor*typical)
}

// priceFull prices the fraction of the slots that are occupied.
func priceFull(candidate *Upstream, _ *Request, forecast Forecast, weights Weights) float64 {
	return weights.Latency * fullPenaltySeconds * forecast.Running / candidate.estimate.slots
}

func priceQueue(_ *Upstream, _ *Request, forecast Forecast, weights Weights) float64 {
	return weights.Latency * forecast.Queue
}

func pricePrefix(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	preference := float64(mixHashes(request.Key, candidate.hash)>>32) / (1 << 32)
	return weights.Latency * (prefillExternality*forecast.Prefill + affinitySeconds*preference)
}

// priceDecode prices the decode time beyond the fleet's typical one, and the slowdown of
// the other running requests.
func priceDecode(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	typical := float64(request.AnswerTokens) * candidate.estimate.fleetStep
	return weights.Latency * (max(0, forecast.Decode-typical) + crowdingFraction*forecast.Running*typical)
}

// priceReclaim prices the risk that the host is reclaimed before the answer is complete:
// the prompt is recomputed and the answer pauses.
func priceReclaim(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	duration := forecast.Queue + forecast.Prefill + forecast.Decode
	probability := min(1, candidate.ReclaimsPerHour*duration/secondsPerHour)
	recompute := float64(request.PromptTokens) / candidate.estimate.rate
	return probability * (weights.Latency*(recompute+resumePauseSeconds) + weights.Cost*candidate.PricePerSecond*recompute)
}

// priceHost prices the machine time: all of the prefill, and the decode divided between
// the requests of the batch, which is expected to reach at least the fleet's mean size.
func priceHost(candidate *Upstream, _ *Request, forecast Forecast, weights Weights) float64 {
	share := forecast.Decode / (max(forecast.Running, candidate.estimate.fleetRunning) + 1)
	return weights.Cost * candidate.PricePerSecond * (forecast.Prefill + share)
}

func priceDistance(candidate *Upstream, request *Request, _ Forecast, weights Weights) float64 {
	if candidate.DataCentre == request.DataCentre {
		return 0
	}
	return weights.Latency * remotePenaltySeconds
}

// forecast predicts an attempt at a candidate from its last report, corrected by the
// attempts that this node has there now.
func (d *decision) forecast(candidate *Upstream) Forecast {
	est := &candidate.estimate
	request := d.request
	ownInFlight := float64(candidate.Tracker.InFlight.Load())
	running := ownInFlight + est.otherRunning + est.mirroringNodes*(ownInFlight+est.meanOwnInFlight)/2
	forecast := Forecast{CachedTokens: d.cachedTokens(candidate), Running: min(running, est.slots-1)}
	if d.source != nil && d.source != candidate && candidate.FetchRate > 0 {
		missing := min(d.sourceBlocks*d.blockTokens, request.PromptTokens) - forecast.CachedTokens
		if missing >= minFetchTokens {
			forecast.FetchTokens, forecast.Fetch = missing, float64(missing)/candidate.FetchRate
		}
	}
	if uncached := request.PromptTokens - forecast.CachedTokens - forecast.FetchTokens; uncached > 0 {
		forecast.Prefill = float64(uncached) / est.rate
	}
	forecast.Decode = float64(request.AnswerTokens) * est.step
	forecast.Queue = d.queueWait(candidate, running)
	forecast.Queue = max(forecast.Queue, d.overdueAge(candidate, forecast.Queue))
	return forecast
}

// queueWait predicts the wait behind the requests that engines serve first, which are
// those of the same or a higher priority. The requests of other nodes are assumed to have
// the same mix of priorities as those of this node.
func (d *decision) queueWait(candidate *Upstream, running float64) float64 {
	est, tracker := &candidate.estimate, candidate.Tracker
	priority := clampPriority(d.request.Priority)
	pending, pendingAhead := tracker.pendingCount[priorities-1].Load(), tracker.pendingCount[priority].Load()
	share := 1.0
	if pending > 0 {
		share = float64(pendingAhead) / float64(pending)
	}
	ownTokens := float64(tracker.pendingTokens[priority].Load())
	wait := (share*est.otherQueued + ownTokens + est.mirroringNodes*ownTokens/2) / est.rate
	if excess := running + 1 - est.slots; excess > 0 {
		ahead := 1 + share*(excess-1)
		wait += max(0, ahead) * est.slotTime / est.slots
	}
	return wait
}

// overdueAge returns the age of the oldest attempt whose first token is overdue, in
// seconds; 0 when none is.
func (d *decision) overdueAge(candidate *Upstream, queueWait float64) float64 {
	oldest := candidate.Tracker.oldest.Load()
	if oldest == 0 {
		return 0
	}
	age := time.Duration(d.now.UnixNano() - oldest).Seconds()
	if age < overdueFactor*(queueWait+candidate.estimate.step) {
		return 0
	}
	return age
}

// cachedTokens returns the number of prompt tokens that the candidate is expected to have
// cached.
func (d *decision) cachedTokens(candidate *Upstream) int {
	if candidate.Holder == 0 {
		return 0
	}
	for _, match := range d.matches[:d.matchCount] {
		if match.Holder == candidate.Holder {
			return min(match.Blocks*d.blockTokens, d.request.PromptTokens)
		}
	}
	return 0
}
