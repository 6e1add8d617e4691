package routing

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/prompt"
)

const (
	// defaultRate is the prefill rate of an engine of which nothing is known, in
	// tokens per second.
	defaultRate = 8000.0
	// defaultStep is the decode step of an engine of which nothing is known, in seconds.
	defaultStep = 0.015
	// defaultHold is the time that an answer holds a slot of an upstream of which
	// nothing is known, in seconds.
	defaultHold = 1.0
	// defaultSlots is the batch of an engine that has not reported, or the calls that a
	// plain service runs at once.
	defaultSlots = 8
	// forgetAfter is the time constant after which a learned speed returns to the
	// fleet's mean, so that a recovered engine gets work again.
	forgetAfter = 20 * time.Second
	// staleAfter is the time constant after which a load report counts less than the
	// guess that the other nodes load the upstream as this one does.
	staleAfter = 3 * time.Second
)

// estimate is what is known of an upstream's speed and of the work that others have
// sent it, as of the fleet's publication.
type estimate struct {
	rate         float64
	step         float64
	hold         float64
	slots        float64
	otherRunning float64
	otherQueued  float64
	fleetStep    float64
	fleetRunning float64
	// mirror is the number of nodes that are taken to load the upstream as this one
	// does, because its report is old.
	mirror  float64
	ownMean float64
}

// NewFleet indexes upstreams by service and estimates their speed and the load that
// the other nodes put on them; nodes is the number of all, this one included. The upstreams must not be changed afterwards.
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
	estimateAll(all, nodes, now)
	return fleet
}

// AddSource adds an engine that gets no work and whose cache may be copied; before the fleet is
// published.
func (f *Fleet) AddSource(engine *Upstream) {
	if engine.Holder != 0 {
		engine.sourceOnly = true
		f.byHolder[engine.Holder] = engine
	}
}

// means are the averages of a fleet, which stand in for what is unknown.
type means struct {
	rate, step, hold geometric
}

// geometric is a geometric mean, in which one slow engine weighs little.
type geometric struct {
	sum, count float64
}

func (g *geometric) add(value float64) {
	if value > 0 {
		g.sum += math.Log(value)
		g.count++
	}
}

func (g *geometric) or(fallback float64) float64 {
	if g.count == 0 {
		return fallback
	}
	return math.Exp(g.sum / g.count)
}

func estimateAll(upstreams []*Upstream, nodes int, now time.Time) {
	var fleet means
	var running, own, reports float64
	for _, upstream := range upstreams {
		upstream.hash = hashID(upstream.ID)
		rate, step, hold := upstream.Tracker.speeds()
		fleet.hold.add(hold.value)
		fleet.rate.add(rate.value)
		fleet.step.add(step.value)
		upstream.state = othersOf(upstream)
		if upstream.Load != nil {
			running += upstream.state.otherRunning
			own += float64(upstream.Tracker.InFlight.Load())
			reports++
		}
	}
	meanRate, meanStep, meanHold := fleet.rate.or(defaultRate), fleet.step.or(defaultStep), fleet.hold.or(defaultHold)
	for _, upstream := range upstreams {
		rate, step, hold := upstream.Tracker.speeds()
		state := &upstream.state
		state.rate = aged(rate, meanRate, now)
		state.step = aged(step, meanStep, now)
		state.hold = aged(hold, meanHold, now)
		state.fleetStep = meanStep
		if upstream.Load == nil {
			continue
		}
		state.fleetRunning = min((running+own)/reports, state.slots-1)
		fresh := math.Exp(-now.Sub(time.UnixMilli(upstream.Load.AtMS)).Seconds() / staleAfter.Seconds())
		state.otherRunning *= fresh
		state.otherQueued *= fresh
		state.mirror = (1 - fresh) * float64(max(0, nodes-1))
		state.ownMean = own / reports
	}
}

// othersOf is the reported load less what this node had there at the report's time.
func othersOf(upstream *Upstream) estimate {
	state := estimate{slots: defaultSlots}
	load := upstream.Load
	if load == nil {
		return state
	}
	if load.BatchSlots > 0 {
		state.slots = float64(load.BatchSlots)
	}
	inFlight, pending := upstream.Tracker.at(time.UnixMilli(load.AtMS))
	state.otherRunning = max(0, float64(load.Running)-float64(inFlight))
	state.otherQueued = max(0, float64(load.QueuedTokens)-float64(pending))
	return state
}

// QueuedByOtherNodes returns the prefill tokens that other nodes are expected to have
// queued at the upstream.
func (u *Upstream) QueuedByOtherNodes() float64 { return u.state.otherQueued }

// aged returns a learned speed, which fades to the mean with its age.
func aged(known learned, mean float64, now time.Time) float64 {
	if known.value == 0 {
		return mean
	}
	keep := math.Exp(-now.Sub(known.at).Seconds() / forgetAfter.Seconds())
	return math.Exp(keep*math.Log(known.value) + (1-keep)*math.Log(mean))
}

// Slots returns the requests that an engine runs at once.
func (u *Upstream) Slots() int {
	if u.Load == nil || u.Load.BatchSlots == 0 {
		return defaultSlots
	}
	return u.Load.BatchSlots
}
