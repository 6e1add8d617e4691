package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Load: a version that fails or is slow for a part of its requests, at once or late, on one route or
// on all, beside old engines that crash or are slow themselves.

const (
	// falseAlarm is the probability that a test rejects a good version within falseAlarmAnswers.
	falseAlarm        = 0.01
	falseAlarmAnswers = 1000
	// missedBad is the probability that a version which fails as often as is looked for is proven.
	missedBad = 0.01
	// failureEffect and slowEffect are the shares of additional bad answers that are looked for.
	failureEffect = 0.1
	slowEffect    = 0.2
	// minFailureRate and minSlowRate are the least rates assumed of the old version, maxRate the highest.
	minFailureRate = 0.01
	minSlowRate    = 0.05
	maxRate        = 0.6
	// priorAnswers is the number of answers at the least rate that count in addition to those seen.
	priorAnswers = 20
	// recentTime is the time constant of the old version's recent rates.
	recentTime = 3 * time.Second
	// loadedFactor multiplies the bound on slowness while the new version takes over all traffic with
	// cold caches.
	loadedFactor = 3
)

// Verdict on a version.
type Verdict int

// Verdicts.
const (
	Unproven Verdict = iota
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
	// sum is the cumulative sum of log likelihood ratios, restarted at 0; total the same without restarts.
	sum, total float64
	// recentBad and recentAnswers are the old version's counts, decayed.
	recentBad, recentAnswers float64
}

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
	for _, kind := range []Counter{Failed, Slow} {
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
		for i := range sum {
			sum[i] += tally[i]
		}
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
	answers, least, effect := Answered, minFailureRate, failureEffect
	if t.kind == Slow {
		answers, least, effect = Timed, minSlowRate, slowEffect
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
	ever := rate(float64(Get(tally, Old, t.kind)), float64(Get(tally, Old, answers)), least)
	usual := min(maxRate, max(ever, rate(state.recentBad, state.recentAnswers, least)))
	worse := usual + effect*(1-usual)
	ratio := bad*math.Log(worse/usual) + max(0, count-bad)*math.Log((1-worse)/(1-usual))
	state.sum = max(0, state.sum+ratio)
	state.total += ratio
}

// rate estimates a rate of bad answers.
func rate(bad, answers, least float64) float64 {
	return max(least, (bad+priorAnswers*least)/(answers+priorAnswers))
}

// Verdict returns the verdict and what it rests on. loaded is set while the new version takes over
// all traffic.
func (m *Monitor) Verdict(loaded bool) (Verdict, string) {
	bound := math.Log(falseAlarmAnswers / falseAlarm)
	tests := slices.SortedFunc(maps.Keys(m.states), func(a, b test) int {
		if m.states[a].sum != m.states[b].sum {
			return int(math.Copysign(1, m.states[b].sum-m.states[a].sum))
		}
		return 0
	})
	for _, t := range tests {
		limit := bound
		if t.kind == Slow && loaded {
			limit *= loadedFactor
		}
		if m.states[t].sum >= limit {
			return Bad, m.describe(t)
		}
	}
	whole := m.states[test{allRoutes, Failed}]
	if whole != nil && whole.total <= math.Log(missedBad) {
		return Proven, m.describe(test{allRoutes, Failed})
	}
	return Unproven, "not enough answers"
}

// describe returns the counts behind a test for a log line.
func (m *Monitor) describe(t test) string {
	tally, name, kind, answers := m.seen[t.route], "route "+t.route, "failed", Answered
	if t.route == allRoutes {
		tally, name = sumRoutes(m.seen), "all routes"
	}
	if t.kind == Slow {
		kind, answers = "slow", Timed
	}
	return fmt.Sprintf("%s: %d of %d %s at the new version, %d of %d at the old", name,
		Get(tally, New, t.kind), Get(tally, New, answers), kind, Get(tally, Old, t.kind), Get(tally, Old, answers))
}
