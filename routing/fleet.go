package routing

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/prompt"
)

const (
	// defaultPrefillTokensPerSecond is the prefill rate assumed for an engine without
	// observations.
	defaultPrefillTokensPerSecond = 8000.0
	// defaultDecodeStepSeconds is the decode step assumed for an engine without observations.
	defaultDecodeStepSeconds = 0.015
	// defaultSlotSeconds is the time that an answer is assumed to occupy a slot of an
	// upstream without observations.
	defaultSlotSeconds = 1.0
	// defaultSlots is the batch size of an engine that has not reported its load, and the
	// concurrency of a plain service.
	defaultSlots = 8
	// speedDecayTime is the time constant with which a learned speed decays to the
	// fleet's mean, so that a recovered engine gets work again.
	speedDecayTime = 20 * time.Second
	// reportDecayTime is the time constant with which the weight of a load report decays
	// in favour of the assumption that other nodes load the upstream as this one does.
	reportDecayTime = 3 * time.Second
)

// estimate holds the expected speed of an upstream and the load that other nodes put
// on it, as of the construction of the fleet. rate is in tokens per second; step,
// overhead, slotTime, pause and fleetStep are in seconds.
type estimate struct {
	rate         float64
	step         float64
	slotTime     float64
	pause        float64
	overhead     float64
	slots        float64
	otherRunning float64
	otherQueued  float64
	fleetStep    float64
	fleetRunning float64
	// mirroringNodes is the number of nodes assumed to load the upstream as this one
	// does, because its report is old.
	mirroringNodes  float64
	meanOwnInFlight float64
}

// NewFleet indexes upstreams by service and estimates their speed and the load that
// the other nodes put on them; nodes is the number of all nodes, including this one.
// The upstreams must not be changed afterwards.
func NewFleet(byService map[string][]*Upstream, prefixes *PrefixIndex, nodes int, now time.Time) *Fleet {
	count := 0
	for _, upstreams := range byService {
		count += len(upstreams)
	}
	fleet := &Fleet{
		ByService: byService, Prefixes: prefixes, BlockTokens: prompt.BlockTokens, byHolder: make(map[Holder]*Upstream, count),
	}
	all := make([]*Upstream, 0, count)
	seen := make(map[*Upstream]bool, count)
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		for _, upstream := range byService[service] {
			if seen[upstream] {
				continue
			}
			seen[upstream] = true
			all = append(all, upstream)
			if upstream.Holder != 0 {
				fleet.byHolder[upstream.Holder] = upstream
			}
		}
	}
	fleet.indexGenerations()
	estimateAll(all, nodes, now)
	return fleet
}

// AddSource adds an engine that gets no work but whose cache may be copied. It must be
// called before the fleet is shared.
func (f *Fleet) AddSource(engine *Upstream) {
	if engine.Holder != 0 {
		engine.sourceOnly = true
		f.byHolder[engine.Holder] = engine
	}
}

// fleetMeans are the averages over a fleet, used for upstreams without observations.
type fleetMeans struct {
	rate, overhead, step, slotTime, pause geometricMean
}

// geometricMean accumulates a geometric mean, on which one slow engine has little effect.
type geometricMean struct {
	sum, count float64
}

func (g *geometricMean) add(value float64) {
	if value > 0 {
		g.sum += math.Log(value)
		g.count++
	}
}

func (g *geometricMean) valueOr(fallback float64) float64 {
	if g.count == 0 {
		return fallback
	}
	return math.Exp(g.sum / g.count)
}

func estimateAll(upstreams []*Upstream, nodes int, now time.Time) {
	var means fleetMeans
	var running, ownInFlight, reportCount float64
	for _, upstream := range upstreams {
		upstream.hash = hashID(upstream.ID)
		learned := upstream.Tracker.speeds(upstream.Reading, now)
		means.slotTime.add(learned.slotTime.value)
		means.rate.add(learned.rate.value)
		means.overhead.add(learned.overhead.value)
		means.step.add(learned.step.value)
		means.pause.add(learned.pause.value)
		upstream.estimate = estimateOtherLoad(upstream)
		if upstream.Load != nil {
			running += upstream.estimate.otherRunning
			ownInFlight += float64(upstream.Tracker.InFlight.Load())
			reportCount++
		}
	}
	meanRate, meanOverhead := means.rate.valueOr(defaultPrefillTokensPerSecond), means.overhead.valueOr(defaultDecodeStepSeconds)
	meanStep, meanSlotTime := means.step.valueOr(defaultDecodeStepSeconds), means.slotTime.valueOr(defaultSlotSeconds)
	meanPause := means.pause.valueOr(defaultDecodeStepSeconds)
	for _, upstream := range upstreams {
		learned := upstream.Tracker.speeds(upstream.Reading, now)
		est := &upstream.estimate
		est.rate = decayedSpeed(learned.rate, meanRate, now)
		est.overhead = decayedSpeed(learned.overhead, meanOverhead, now)
		est.step = decayedSpeed(learned.step, meanStep, now)
		est.slotTime = decayedSpeed(learned.slotTime, meanSlotTime, now)
		est.pause = decayedSpeed(learned.pause, meanPause, now)
		est.fleetStep = meanStep
		if upstream.Load == nil {
			continue
		}
		est.fleetRunning = min((running+ownInFlight)/reportCount, est.slots-1)
		freshness := math.Exp(-now.Sub(time.UnixMilli(upstream.Load.AtMS)).Seconds() / reportDecayTime.Seconds())
		est.otherRunning *= freshness
		est.otherQueued *= freshness
		est.mirroringNodes = (1 - freshness) * float64(max(0, nodes-1))
		est.meanOwnInFlight = ownInFlight / reportCount
	}
}

// estimateOtherLoad subtracts the load that this node had at the upstream at the time of
// the report from the reported load.
func estimateOtherLoad(upstream *Upstream) estimate {
	est := estimate{slots: defaultSlots}
	load := upstream.Load
	if load == nil {
		return est
	}
	if load.BatchSlots > 0 {
		est.slots = float64(load.BatchSlots)
	}
	inFlight, pending := upstream.Tracker.countsAt(time.UnixMilli(load.AtMS))
	est.otherRunning = max(0, float64(load.Running)-float64(inFlight))
	est.otherQueued = max(0, float64(load.QueuedTokens)-float64(pending))
	return est
}

// QueuedByOtherNodes returns the prefill tokens that other nodes are expected to have
// queued at the upstream.
func (u *Upstream) QueuedByOtherNodes() float64 { return u.estimate.otherQueued }

// PrefillRate returns the expected rate at which the upstream reads prompts, in tokens per second.
func (u *Upstream) PrefillRate() float64 { return u.estimate.rate }

// decayedSpeed returns a learned speed that decays exponentially to the mean with its age.
func decayedSpeed(observed movingAverage, mean float64, now time.Time) float64 {
	if observed.value == 0 {
		return mean
	}
	freshness := math.Exp(-now.Sub(observed.at).Seconds() / speedDecayTime.Seconds())
	return math.Exp(freshness*math.Log(observed.value) + (1-freshness)*math.Log(mean))
}

// Slots returns the number of requests that an engine runs at once.
func (u *Upstream) Slots() int {
	if u.Load == nil || u.Load.BatchSlots == 0 {
		return defaultSlots
	}
	return u.Load.BatchSlots
}
