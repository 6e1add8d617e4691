package limit

import (
	"time"
)

const (
	// retryShare is the fraction of the slots that is planned for retries of refused
	// requests.
	retryShare = 0.5
	// maxRetryAfter bounds the delay after which a refused caller is asked to retry.
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns the delay after which a refused request should be retried. Refused
// work is summed by priority and drained at the rate of a fraction of the slots; a caller
// retries when the work ahead of it has been drained, so that the retries of a burst are
// spread out.
func (q *Queue) RetryAfter(now time.Time, ticket Ticket) time.Duration {
	drainRate := retryShare * float64(q.slots)
	q.drainRefused(now, drainRate)
	priority := clampPriority(ticket.Priority)
	q.refusedWork[priority] += q.expectedSlotSeconds(ticket)
	ahead := float64(len(q.waiting)) * q.meanSlotSeconds
	for p := range priority + 1 {
		ahead += q.refusedWork[p]
	}
	return min(time.Duration(ahead/drainRate*float64(time.Second)), maxRetryAfter)
}

// drainRefused subtracts the refused work that could have been retried since the last call.
func (q *Queue) drainRefused(now time.Time, drainRate float64) {
	drained := max(0, now.Sub(q.refusedWorkAt).Seconds()) * drainRate
	q.refusedWorkAt = now
	for p := range q.refusedWork {
		amount := min(drained, q.refusedWork[p])
		q.refusedWork[p] -= amount
		drained -= amount
	}
}

// expectedSlotSeconds returns how long a request is expected to occupy a slot.
func (q *Queue) expectedSlotSeconds(ticket Ticket) float64 {
	if q.meanTokens == 0 {
		return q.meanSlotSeconds
	}
	return q.meanSlotSeconds * ticket.Tokens / q.meanTokens
}
