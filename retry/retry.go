// Package retry decides what follows a failed attempt: another attempt, a resumed answer or
// failure of the request. It has no side effects.
package retry

// SendState is how far a failed attempt got.
type SendState int

// Send states.
const (
	// NotSent means that no byte of the request can have reached the upstream.
	NotSent SendState = iota
	// MaybeSent means that the request may have run.
	MaybeSent
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 4

// Failure describes a failed attempt.
type Failure struct {
	// Sent is how far the attempt got.
	Sent SendState
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Attempts is the number of attempts so far, including the failed one.
	Attempts int
	// UpstreamUnreachable is set when the upstream died or can't be reached.
	UpstreamUnreachable bool
	// AnswerStarted is set when the caller has received a part of the answer.
	AnswerStarted bool
}

// Allowed reports whether another attempt may be made.
func Allowed(failure Failure) bool {
	if failure.Attempts >= MaxAttempts {
		return false
	}
	return failure.Repeatable || failure.Sent == NotSent
}

// ConsumesBudget reports whether another attempt is charged to the budget. The budget keeps
// retries from adding to an overload. An attempt after the loss of its upstream replaces work
// that has ended, and an answer that has started is not abandoned to save budget.
func ConsumesBudget(failure Failure) bool {
	return !failure.UpstreamUnreachable && !failure.AnswerStarted
}

// Budget is a token bucket that bounds retries to a fraction of the requests.
type Budget struct {
	ratio     float64
	burst     float64
	available float64
}

// NewBudget returns a full budget that allows ratio retries per request and a burst of retries.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, available: burst}
}

// RecordRequest counts a request, which adds ratio to the budget.
func (b *Budget) RecordRequest() {
	b.available = min(b.available+b.ratio, b.burst)
}

// TakeRetry takes one retry from the budget. It returns false when there is none.
func (b *Budget) TakeRetry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// SetRatio changes the number of retries per request.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }
