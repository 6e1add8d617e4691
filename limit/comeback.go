package limit

import (
	"time"
)

const (
	// comeBackShare is the share of the slots that is left to callers that come back.
	comeBackShare = 0.5
	// mostComeBack is the longest time after which a refused caller is asked back.
	mostComeBack = 10 * time.Second
)

// RetryAfter returns when a refused request should come back. The work that was sent
// away is kept by priority and drained at the pace of a share of the slots; a caller
// comes back when what goes before it has been drained, so that the callers of a burst
// return one after another.
func (q *Queue) RetryAfter(now time.Time, ticket Ticket) time.Duration {
	pace := comeBackShare * float64(q.slots)
	q.drainAway(now, pace)
	priority := clampPriority(ticket.Priority)
	q.away[priority] += q.cost(ticket)
	ahead := float64(len(q.waiting)) * q.hold
	for p := range priority + 1 {
		ahead += q.away[p]
	}
	return min(time.Duration(ahead/pace*float64(time.Second)), mostComeBack)
}

// drainAway takes the work that had time to come back out of what was sent away.
func (q *Queue) drainAway(now time.Time, pace float64) {
	drained := max(0, now.Sub(q.awayAt).Seconds()) * pace
	q.awayAt = now
	for p := range q.away {
		took := min(drained, q.away[p])
		q.away[p] -= took
		drained -= took
	}
}

// cost is how long a request is expected to hold a slot, in seconds.
func (q *Queue) cost(ticket Ticket) float64 {
	if q.tokens == 0 {
		return q.hold
	}
	return q.hold * ticket.Tokens / q.tokens
}
