package policy

import (
	"fmt"
	"strings"
)

const (
	// goodputGoal is the minimum ratio of the node's goodput to the best baseline's.
	goodputGoal = 1.3
	// recomputedGoal is the maximum ratio of the node's recomputed tokens to round robin's.
	recomputedGoal = 1.0 / 3
	// statusGoal is the target for the 95th percentile of plain calls, in seconds.
	statusGoal = 0.2
	// firstTokenGoal is the target for the 95th percentile of the first token, in seconds.
	firstTokenGoal = 0.95
	// interTokenGoal is the target for the 95th percentile between tokens, in seconds.
	interTokenGoal = 0.042
)

// Check is one goal with its measured value.
type Check struct {
	// Goal is the name of the goal: mix/scenario/quantity.
	Goal string
	// Target is the bound of the value.
	Target float64
	// Measured is the value.
	Measured float64
	// AtLeast makes Target a lower bound instead of an upper one.
	AtLeast bool
}

// Met reports whether the goal was reached.
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

// Checks returns the goals of a scenario; baselines has the results in the order of
// Baselines.
func Checks(scenario Scenario, result Result, baselines []Result) []Check {
	name := scenario.Mix.Name + "/" + scenario.Name + "/"
	lowestCost, bestGoodput := baselines[0].WeightedCost, 0
	for _, baseline := range baselines {
		lowestCost = min(lowestCost, baseline.WeightedCost)
		bestGoodput = max(bestGoodput, baseline.Goodput)
	}
	checks := []Check{
		{Goal: name + "weighted measure", Target: lowestCost, Measured: result.WeightedCost},
		{Goal: name + "recomputed tokens", Target: recomputedGoal * float64(baselines[0].Recomputed), Measured: float64(result.Recomputed)},
		{Goal: name + "status p95 s", Target: statusGoal, Measured: result.StatusLatency},
		{Goal: name + "between tokens p95 s", Target: interTokenGoal, Measured: result.InterToken},
	}
	overload := scenario.BurstAt > 0 || scenario.ReclaimAt > 0
	if !overload {
		return append(checks, Check{Goal: name + "first token p95 s", Target: firstTokenGoal, Measured: result.FirstToken[1]})
	}
	overallShare := float64(result.Goodput) / float64(result.Offered)
	return append(checks,
		Check{Goal: name + "goodput", Target: goodputGoal * float64(bestGoodput), Measured: float64(result.Goodput), AtLeast: true},
		Check{Goal: name + "small workspace in time", Target: overallShare, Measured: result.SmallestInTime, AtLeast: true},
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
