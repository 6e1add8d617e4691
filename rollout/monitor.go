package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Load: a version that fails or is slow for a part of its requests, at once or late, on one route or
// on all, beside old engines that crash or are slow themselves.

const (
	// falseAlarm is the probability that the test for failures, or the timeTests together, reject a good
	// version within falseAlarmAnswers.
	falseAlarm        = 0.01
	timeTests         = 2
	falseAlarmAnswers = 1000
	// missedBad is the probability that a version which fails as often as is looked for is proven.
	missedBad = 0.01
	// minFailureRate and minSlowRate are the least rates assumed of the old version, maxRate the highest.
	minFailureRate = 0.01
	minSlowRate    = 0.05
	maxRate        = 0.6
	// recentTime is the time constant of the old version's recent rates, which answers at its usual rate
	// count towards as recentPrior.
	recentTime  = 500 * time.Millisecond
	recentPrior = 5
	// loadedFactor multiplies the bound on slowness while the new version takes over all traffic with
	// cold caches.
	loadedFactor = 3
)

// failureEffects and slowEffects are the shares of additional bad answers that are looked for. A
// version is proven against the least, and likely good against the greatest.
var (
	failureEffects = [...]float64{0.1, 0.3}
	slowEffects    = [len(failureEffects)]float64{0.2, 0.4}
)

// Verdict on a version.
type Verdict int

// Verdicts. A likely good version is completed if its requests are too few to prove more.
const (
	Unproven Verdict = iota
	Likely
	Proven
	Bad
)

// allRoutes is the name of the test over all routes.
const allRoutes = ""

// test is what is compared: a kind of bad answer on a route.
type test struct {
	route string
	kind  Counter
}

// testState is the state of one test.
type testState struct {
	// sums are the cumulative sums of log likelihood ratios for each effect, restarted at 0; totals the
	// same without restarts.
	sums, totals [len(failureEffects)]float64
	// recentBad and recentAnswers are the old version's counts, decayed.
	recentBad, recentAnswers float64
}

func (s *testState) highest() float64 { return slices.Max(s.sums[:]) }

// Monitor compares the answers of a new version with those of the old one at the same time.
type Monitor struct {
	seen       Routes
	states     map[test]*testState
	observedAt time.Time
}

// NewMonitor returns a monitor without observations.
func NewMonitor() *Monitor { return &Monitor{seen: Routes{}, states: map[test]*testState{}} }

// Observe applies the sums over all nodes as of now.
func (m *Monitor) Observe(total Routes, now time.Time) {
	decay := 1.0
	if !m.observedAt.IsZero() {
		decay = math.Exp(-now.Sub(m.observedAt).Seconds() / recentTime.Seconds())
	}
	m.observedAt = now
	whole, wholeSeen := sumRoutes(total), sumRoutes(m.seen)
	for _, kind := range []Counter{Failed, Slow, Stalled} {
		m.advance(test{allRoutes, kind}, whole, wholeSeen, decay)
		for route, tally := range total {
			m.advance(test{route, kind}, tally, m.seen[route], decay)
		}
	}
	m.seen = CopyRoutes(total)
}

func sumRoutes(routes Routes) Tally {
	sum := NewTally()
	for _, tally := range routes {
		addTally(sum, tally)
	}
	return sum
}

// advance applies the answers of one test since the last observation.
func (m *Monitor) advance(t test, tally, seen Tally, decay float64) {
	state := m.states[t]
	if state == nil {
		state = &testState{}
		m.states[t] = state
	}
	answers, least, effects := answersOf(t.kind), minFailureRate, failureEffects
	if t.kind != Failed {
		least, effects = minSlowRate, slowEffects
	}
	since := func(side Side, counter Counter) float64 {
		return float64(max(0, Get(tally, side, counter)-Get(seen, side, counter)))
	}
	state.recentBad = state.recentBad*decay + since(Old, t.kind)
	state.recentAnswers = state.recentAnswers*decay + since(Old, answers)
	count, bad := since(New, answers), since(New, t.kind)
	if count == 0 && bad == 0 {
		return
	}
	ever := max(least, upperRate(float64(Get(tally, Old, t.kind)), float64(Get(tally, Old, answers))))
	recent := (state.recentBad + recentPrior*ever) / (state.recentAnswers + recentPrior)
	usual := min(maxRate, max(ever, recent))
	for i, effect := range effects {
		worse := usual + effect*(1-usual)
		ratio := bad*math.Log(worse/usual) + max(0, count-bad)*math.Log((1-worse)/(1-usual))
		state.sums[i] = max(0, state.sums[i]+ratio)
		state.totals[i] += ratio
	}
}

// answersOf returns the counter of the answers among which bad ones of a kind are counted.
func answersOf(kind Counter) Counter {
	switch kind {
	case Slow:
		return Timed
	case Stalled:
		return Paced
	}
	return Answered
}

// limit returns the sum from which a test of a kind rejects a version.
func limit(kind Counter, loaded bool) float64 {
	if kind == Failed {
		return math.Log(falseAlarmAnswers / falseAlarm)
	}
	bound := math.Log(falseAlarmAnswers * timeTests / falseAlarm)
	if loaded {
		bound *= loadedFactor
	}
	return bound
}

// upperRate estimates a rate of bad answers, one standard error above the mean.
func upperRate(bad, answers float64) float64 {
	mean := (bad + 1) / (answers + 2)
	return mean + math.Sqrt(mean*(1-mean)/(answers+2))
}

// Verdict returns the verdict and what it rests on. loaded is set while the new version takes over
// all traffic.
func (m *Monitor) Verdict(loaded bool) (Verdict, string) {
	tests := slices.SortedFunc(maps.Keys(m.states), func(a, b test) int {
		return cmp.Compare(m.states[b].highest(), m.states[a].highest())
	})
	for _, t := range tests {
		if m.states[t].highest() >= limit(t.kind, loaded) {
			return Bad, m.describe(t)
		}
	}
	for i, verdict := range [len(failureEffects)]Verdict{Proven, Likely} {
		total := 0.0
		for t, state := range m.states {
			if t.kind == Failed && t.route != allRoutes {
				total += state.totals[i]
			}
		}
		if total <= math.Log(missedBad) {
			return verdict, m.describe(test{allRoutes, Failed})
		}
	}
	return Unproven, "not enough answers"
}

var kindNames = map[Counter]string{Failed: "failed", Slow: "slow", Stalled: "stalled"}

// describe returns the counts behind a test for a log line.
func (m *Monitor) describe(t test) string {
	tally, name, answers := m.seen[t.route], "route "+t.route, answersOf(t.kind)
	if t.route == allRoutes {
		tally, name = sumRoutes(m.seen), "all routes"
	}
	return fmt.Sprintf("%s: %d of %d %s at the new version, %d of %d at the old", name,
		Get(tally, New, t.kind), Get(tally, New, answers), kindNames[t.kind], Get(tally, Old, t.kind), Get(tally, Old, answers))
}
