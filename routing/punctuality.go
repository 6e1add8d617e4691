package routing

import "time"

// The scorers of this file answer a load of long prompts at engines that read slowly: the first
// token of a request waits for the prompts ahead of it, and while an engine reads a prompt every
// answer in its batch pauses. Both only matter if they make an answer late, so that they are
// priced by the chance of that instead of by the length of the wait.

const (
	// lateAnswerSeconds is the price of a late answer, stalledAnswerSeconds that of another answer
	// that becomes late; most running answers are to shorter prompts than those that stall them.
	lateAnswerSeconds    = 3
	stalledAnswerSeconds = 0.75
	// onTimeShare and lateShare are the forecasts, as shares of the target, up to which an answer is
	// expected to be on time and from which on to be late. Forecasts are too low rather than too
	// high, since other nodes send prompts in the meantime.
	onTimeShare = 0.6
	lateShare   = 1.1
)

// lateness returns the probability that something which is forecast to take a time misses its target.
func lateness(forecast, target float64) float64 {
	if target <= 0 {
		return 0
	}
	return min(1, max(0, (forecast/target-onTimeShare)/(lateShare-onTimeShare)))
}

// priceLate prices the risk that the answer's first token is late.
func priceLate(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	first := forecast.Queue + forecast.Fetch + forecast.Prefill + candidate.estimate.overhead
	return weights.Latency * lateAnswerSeconds * lateness(first, request.FirstTokenTarget.Seconds())
}

// priceStall prices the running answers that the prefill makes late. An engine whose answers are
// late already, because of the prompts that it still has to read, costs nothing more.
func priceStall(candidate *Upstream, request *Request, forecast Forecast, weights Weights) float64 {
	target := request.GapTarget.Seconds()
	if forecast.Prefill == 0 || target <= 0 {
		return 0
	}
	harm := lateness(forecast.Queue+forecast.Prefill, target) - lateness(forecast.Queue, target)
	return weights.Latency * stalledAnswerSeconds * forecast.Running * harm * lateness(candidate.estimate.pause, target)
}

// minPauseTokens is the length of the prompts from which the pauses of an engine that reads them are
// learned: two chunks of prefill.
const minPauseTokens = 4096

// RecordToken records a token or a group of tokens after the first one, and learns the pause between
// two of them while the engine reads prompts.
func (a *Attempt) RecordToken(now time.Time) {
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.readingAtLast && !a.lastTokenAt.IsZero() {
		t.pause.observe(now.Sub(a.lastTokenAt).Seconds(), now)
	}
	a.lastTokenAt = now
	a.readingAtLast = t.pendingTokens[priorities-1].Load() >= minPauseTokens
}
