// Package retry decides what follows a failed attempt: another upstream, a resume,
// or the end. It is pure.
package retry

// SendState says how far a failed attempt got.
type SendState int

// How far an attempt got.
const (
	// NotSent means that no byte of the request can have reached the upstream.
	NotSent SendState = iota
	// MaybeSent means that the request may have run.
	MaybeSent
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 4

// Failure is what is known of a failed attempt.
type Failure struct {
	// Sent says how far the attempt got.
	Sent SendState
	// Repeatable says that the request may run twice.
	Repeatable bool
	// Attempts made so far, with the failed one.
	Attempts int
	// UpstreamUnreachable says that the upstream died or can't be reached.
	UpstreamUnreachable bool
	// AnswerStarted says that the caller has a part of the answer.
	AnswerStarted bool
}

// Allowed returns whether another attempt may be made.
func Allowed(failure Failure) bool {
	if failure.Attempts >= MaxAttempts {
		return false
	}
	return failure.Repeatable || failure.Sent == NotSent
}

// ConsumesBudget returns whether another attempt takes from the budget. The budget keeps
// retries from adding to an overload; what goes on after its upstream is gone takes the
// place of work that has ended, and an answer that has begun is not dropped to save it.
func ConsumesBudget(failure Failure) bool {
	return !failure.UpstreamUnreachable && !failure.AnswerStarted
}

// Budget bounds retries as a share of requests.
type Budget struct {
	ratio        float64
	maxAvailable float64
	available    float64
}

// NewBudget returns a budget that allows ratio retries a request, and reserve
// retries at once.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, maxAvailable: reserve, available: reserve}
}

// RecordRequest counts a request, which pays for a share of a retry.
func (b *Budget) RecordRequest() {
	b.available = min(b.available+b.ratio, b.maxAvailable)
}

// TakeRetry takes one retry from the budget and returns whether there was one.
func (b *Budget) TakeRetry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// SetRatio changes the share of retries.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }
