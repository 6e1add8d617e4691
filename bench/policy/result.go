package policy

import (
	"slices"
	"time"
)

const (
	// answersPerCost is the number of answers to which Result.Cost refers.
	answersPerCost = 1000
)

// Result holds the measurements of one run. Times are in seconds since the caller's first
// attempt.
type Result struct {
	// Policy is the name of the policy.
	Policy string
	// Offered model requests.
	Offered int
	// Answered model requests.
	Answered int
	// FirstToken is the time to the first token of model requests: the median, the 95th and
	// the 99th percentile.
	FirstToken [3]float64
	// InterToken is the 95th percentile of the mean time between tokens of an answer.
	InterToken float64
	// StatusLatency is the 95th percentile of the time of plain calls.
	StatusLatency float64
	// SmallestInTime is the fraction of the smallest workspace's requests that met the targets.
	SmallestInTime float64
	// Cost of 1,000 answers, in the deployment's currency.
	Cost float64
	// CacheMissed counts prompt tokens that were recomputed although some engine had computed
	// them before.
	CacheMissed int
	// Recomputed counts recomputed tokens: cache misses, and those of interrupted answers.
	Recomputed int
	// Goodput is the number of answers within the targets.
	Goodput int
	// Refusals of attempts; none of them ran.
	Refusals int
	// WeightedCost is the weighted sum of latency and cost per request, by the deployment's
	// policy.
	WeightedCost float64
}

// measure computes the result of a run.
func (w *world) measure() Result {
	result := Result{Policy: w.policy.Name}
	var firstToken, interToken, status []float64
	smallest, smallInTime := w.smallestWorkspace(), 0
	smallOffered := 0
	totalLatency := 0.0
	for _, r := range w.requests {
		latency := callerTimeout
		if r.firstAt > 0 {
			latency = r.firstAt - r.arrived
		}
		if r.plain {
			status = append(status, latency)
			continue
		}
		result.Offered++
		result.Refusals += r.refusals
		result.CacheMissed += r.cacheMissed
		result.Recomputed += r.cacheMissed + r.recomputed
		firstToken = append(firstToken, latency)
		totalLatency += latency
		interTokenTime := r.meanInterToken()
		if r.doneAt > 0 {
			result.Answered++
			interToken = append(interToken, interTokenTime)
		}
		inTime := r.doneAt > 0 && latency <= w.target(r).Seconds() && interTokenTime <= w.interTokenTarget(r)
		if inTime {
			result.Goodput++
		}
		if r.workspace == smallest {
			smallOffered++
			if inTime {
				smallInTime++
			}
		}
	}
	result.FirstToken = [3]float64{quantile(firstToken, .5), quantile(firstToken, .95), quantile(firstToken, .99)}
	result.InterToken, result.StatusLatency = quantile(interToken, .95), quantile(status, .95)
	result.SmallestInTime = float64(smallInTime) / float64(max(1, smallOffered))
	policy := w.scenario.Mix.configuration.Policy
	perAnswer := w.totalCost() / float64(max(1, result.Answered))
	result.Cost = perAnswer * answersPerCost
	result.WeightedCost = policy.LatencyWeight*totalLatency/float64(result.Offered) + policy.CostWeight*perAnswer
	return result
}

// totalCost returns the price of the busy time of all engines.
func (w *world) totalCost() float64 {
	total := 0.0
	for _, e := range w.engines {
		total += e.busySeconds * e.class.PricePerHour / secondsPerHour
	}
	return total
}

// meanInterToken returns the mean time between the tokens of an answer, in seconds.
func (r *request) meanInterToken() float64 {
	if r.emitted < 2 {
		return 0
	}
	return (r.doneAt - r.firstAt) / float64(r.emitted-1)
}

func (w *world) interTokenTarget(r *request) float64 {
	target := w.scenario.Mix.configuration.Services[r.service].BetweenTokensTargetMS
	return (time.Duration(target) * time.Millisecond).Seconds()
}

// smallestWorkspace returns the workspace with the lowest rate of model requests.
func (w *world) smallestWorkspace() string {
	var smallest *stream
	for i, s := range w.scenario.Mix.streams {
		if s.prefixes > 0 && (smallest == nil || s.perSecond < smallest.perSecond) {
			smallest = &w.scenario.Mix.streams[i]
		}
	}
	return smallest.workspace
}

// quantile returns a quantile of values; 0 when there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
