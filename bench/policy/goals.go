package policy

import (
	"fmt"
	"strings"
)

const (
	// goodputGoal is how far our goodput must be above the best baseline's.
	goodputGoal = 1.3
	// recomputedGoal is the most that we may compute again, as a share of round robin's.
	recomputedGoal = 1.0 / 3
	// statusGoal is the target for plain calls, in seconds.
	statusGoal = 0.2
	// firstGoal is the target for the first token of 95 in 100, in seconds.
	firstGoal = 0.95
	// betweenGoal is the target between tokens of 95 in 100, in seconds.
	betweenGoal = 0.042
)

// Check is one goal with what was measured.
type Check struct {
	// Goal is its name: mix/scenario/what.
	Goal string
	// Target is the bound.
	Target float64
	// Measured was measured.
	Measured float64
	// AtLeast says that the figure must reach the target, else it must not pass it.
	AtLeast bool
}

// Met says whether the goal was reached.
func (c Check) Met() bool {
	if c.AtLeast {
		return c.Measured >= c.Target
	}
	return c.Measured <= c.Target
}

// String returns the check as a line of a table.
func (c Check) String() string {
	sign, verdict := "<=", "met"
	if c.AtLeast {
		sign = ">="
	}
	if !c.Met() {
		verdict = "MISSED"
	}
	return fmt.Sprintf("%-44s target %s %10.4g  figure %10.4g  %s", c.Goal, sign, c.Target, c.Measured, verdict)
}

// Checks returns the goals of a scenario; the baselines are in the order of Baselines.
func Checks(scenario Scenario, ours Result, baselines []Result) []Check {
	name := scenario.Mix.Name + "/" + scenario.Name + "/"
	bestPrice, bestGoodput := baselines[0].WeightedCost, 0
	for _, baseline := range baselines {
		bestPrice = min(bestPrice, baseline.WeightedCost)
		bestGoodput = max(bestGoodput, baseline.Goodput)
	}
	checks := []Check{
		{Goal: name + "weighted measure", Target: bestPrice, Measured: ours.WeightedCost},
		{Goal: name + "recomputed tokens", Target: recomputedGoal * float64(baselines[0].Recomputed), Measured: float64(ours.Recomputed)},
		{Goal: name + "status p95 s", Target: statusGoal, Measured: ours.StatusLatency},
		{Goal: name + "between tokens p95 s", Target: betweenGoal, Measured: ours.InterToken},
	}
	overload := scenario.BurstAt > 0 || scenario.ReclaimAt > 0
	if !overload {
		return append(checks, Check{Goal: name + "first token p95 s", Target: firstGoal, Measured: ours.FirstToken[1]})
	}
	all := float64(ours.Goodput) / float64(ours.Offered)
	return append(checks,
		Check{Goal: name + "goodput", Target: goodputGoal * float64(bestGoodput), Measured: float64(ours.Goodput), AtLeast: true},
		Check{Goal: name + "small workspace in time", Target: all, Measured: ours.SmallestInTime, AtLeast: true},
	)
}

// Table returns the results of a scenario as text.
func Table(scenario Scenario, results []Result) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, %s\n", scenario.Mix.Name, scenario.Name)
	fmt.Fprintf(&text, "  %-18s %8s %8s %8s %8s %8s %9s %9s %9s %8s %8s %8s\n", "policy",
		"first50", "first95", "first99", "between", "status95", "cost/1000", "missed", "recomp", "goodput", "refused", "measure")
	for _, r := range results {
		fmt.Fprintf(&text, "  %-18s %8.3f %8.3f %8.3f %8.4f %8.4f %9.4f %9d %9d %8d %8d %8.4f\n", r.Policy,
			r.FirstToken[0], r.FirstToken[1], r.FirstToken[2], r.InterToken, r.StatusLatency, r.Cost, r.CacheMissed, r.Recomputed, r.Goodput, r.Refusals, r.WeightedCost)
	}
	return text.String()
}
