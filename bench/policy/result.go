package policy

import (
	"slices"
	"time"
)

const (
	// thousand is the number of answers to which the cost refers.
	thousand = 1000
)

// Result is what one run measured. Times are in seconds, from the caller's first try.
type Result struct {
	// Policy that ran.
	Policy string
	// Offered model requests.
	Offered int
	// Answered model requests.
	Answered int
	// FirstToken token of model requests: median, 95th and 99th of 100.
	FirstToken [3]float64
	// InterToken is the mean time between tokens of an answer, 95th of 100.
	InterToken float64
	// StatusLatency is the time of plain calls, 95th of 100.
	StatusLatency float64
	// SmallestInTime is the share of the smallest workspace's requests that were in time.
	SmallestInTime float64
	// Cost of 1,000 answers, in the deployment's currency.
	Cost float64
	// CacheMissed prompt tokens that some cache had and that were computed again.
	CacheMissed int
	// Recomputed tokens: missed ones, and those of answers that broke off.
	Recomputed int
	// Goodput is the number of answers within the targets.
	Goodput int
	// Refusals of tries; none of them ran.
	Refusals int
	// WeightedCost is the deployment's weighted measure of one request: latency and cost.
	WeightedCost float64
}

// measure sums up a run.
func (w *world) measure() Result {
	result := Result{Policy: w.policy.Name}
	var first, between, status []float64
	small, smallInTime := w.smallest(), 0
	smallOffered := 0
	waited := 0.0
	for _, r := range w.requests {
		took := patience
		if r.firstAt > 0 {
			took = r.firstAt - r.arrived
		}
		if r.plain {
			status = append(status, took)
			continue
		}
		result.Offered++
		result.Refusals += r.refusals
		result.CacheMissed += r.missed
		result.Recomputed += r.missed + r.recomputed
		first = append(first, took)
		waited += took
		gap := r.gap()
		if r.doneAt > 0 {
			result.Answered++
			between = append(between, gap)
		}
		good := r.doneAt > 0 && took <= w.target(r).Seconds() && gap <= w.gapTarget(r)
		if good {
			result.Goodput++
		}
		if r.workspace == small {
			smallOffered++
			if good {
				smallInTime++
			}
		}
	}
	result.FirstToken = [3]float64{quantile(first, .5), quantile(first, .95), quantile(first, .99)}
	result.InterToken, result.StatusLatency = quantile(between, .95), quantile(status, .95)
	result.SmallestInTime = float64(smallInTime) / float64(max(1, smallOffered))
	policy := w.scenario.Mix.configuration.Policy
	perAnswer := w.spent() / float64(max(1, result.Answered))
	result.Cost = perAnswer * thousand
	result.WeightedCost = policy.LatencyWeight*waited/float64(result.Offered) + policy.CostWeight*perAnswer
	return result
}

// spent is the price of the busy time of all engines.
func (w *world) spent() float64 {
	total := 0.0
	for _, e := range w.engines {
		total += e.busy * e.class.PricePerHour / secondsPerHour
	}
	return total
}

// gap is the mean time between the tokens of an answer, in seconds.
func (r *request) gap() float64 {
	if r.emitted < 2 {
		return 0
	}
	return (r.doneAt - r.firstAt) / float64(r.emitted-1)
}

func (w *world) gapTarget(r *request) float64 {
	target := w.scenario.Mix.configuration.Services[r.service].BetweenTokensTargetMS
	return (time.Duration(target) * time.Millisecond).Seconds()
}

// smallest returns the workspace with the lowest rate of model requests.
func (w *world) smallest() string {
	var least *stream
	for i, s := range w.scenario.Mix.streams {
		if s.prefixes > 0 && (least == nil || s.perSecond < least.perSecond) {
			least = &w.scenario.Mix.streams[i]
		}
	}
	return least.workspace
}

// quantile returns a quantile of values; 0 when there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
