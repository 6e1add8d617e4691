package routing

// Removal says why a candidate gets no attempt; empty if it may.
type Removal string

// Reasons.
const (
	RemovedLeaving    Removal = "leaving"
	RemovedAttempted  Removal = "attempted_before"
	RemovedGeneration Removal = "version_not_allowed"
	RemovedDataCentre Removal = "data_centre_not_allowed"
	RemovedDeparted   Removal = "departed"
	RemovedThrottled  Removal = "throttled"
)

// Trace records what a decision found of each candidate. A nil Trace records nothing.
type Trace struct {
	// Verdicts by candidate, in the order of the decision.
	Verdicts []Verdict
}

// Verdict is what a decision found of one candidate.
type Verdict struct {
	// Upstream is the candidate.
	Upstream *Upstream
	// Removed is why it gets no attempt; if empty, the other fields are set.
	Removed Removal
	// LastResort candidates are chosen only if there is no other.
	LastResort bool
	// Forecast of the attempt.
	Forecast Forecast
	// Prices by scorer, and their sum.
	Prices []ScorerPrice
	Price  float64
}

// ScorerPrice is one part of a price.
type ScorerPrice struct {
	// Scorer by name.
	Scorer string
	// Price of its aspect.
	Price float64
}

func (t *Trace) remove(candidate *Upstream, why Removal) {
	if t != nil {
		t.add(Verdict{Upstream: candidate, Removed: why})
	}
}

// price records a candidate that may get the attempt.
func (t *Trace) price(scorers []Scorer, candidate *Upstream, request *Request, weights Weights, verdict Verdict) {
	if t == nil {
		return
	}
	verdict.Upstream = candidate
	for _, scorer := range scorers {
		verdict.Prices = append(verdict.Prices, ScorerPrice{
			Scorer: scorer.Name, Price: scorer.Price(candidate, request, verdict.Forecast, weights),
		})
	}
	t.add(verdict)
}

// add records a verdict once: a candidate may be scored as a holder and in the sample.
func (t *Trace) add(verdict Verdict) {
	for i := range t.Verdicts {
		if t.Verdicts[i].Upstream == verdict.Upstream {
			t.Verdicts[i] = verdict
			return
		}
	}
	t.Verdicts = append(t.Verdicts, verdict)
}
