package limit

import "time"

// waiter is a ticket in the queue.
type waiter struct {
	ticket       Ticket
	virtualStart float64
	serial       uint64
	// round is the number of requests of the same subject that waited in the flow before this one.
	round int
}

func (w *waiter) flow() flowKey { return flowKey{w.ticket.Workspace, w.ticket.Priority} }

// expired reports whether the ticket need not start any more.
func (w *waiter) expired(now time.Time) bool {
	return !w.ticket.Deadline.IsZero() && now.After(w.ticket.Deadline)
}

// late reports whether the answer would miss its target even if the ticket started now.
func (w *waiter) late(now time.Time) bool {
	return !w.ticket.OnTimeBefore.IsZero() && now.After(w.ticket.OnTimeBefore)
}

// before reports whether w precedes other: the first priority, then who can still be on time, then
// the fair order.
func (w *waiter) before(other *waiter, now time.Time) bool {
	first, otherFirst := w.ticket.Priority <= reservedPriority, other.ticket.Priority <= reservedPriority
	if first != otherFirst {
		return first
	}
	if late := w.late(now); late != other.late(now) {
		return !late
	}
	return w.beforeFairly(other)
}

// beforeFairly reports whether w precedes other by the shares of their flows alone.
func (w *waiter) beforeFairly(other *waiter) bool {
	if w.virtualStart != other.virtualStart {
		return w.virtualStart < other.virtualStart
	}
	return w.serial < other.serial
}

// next returns the waiting request that starts next, and whether the fair order would have started
// another one.
func (q *Queue) next(now time.Time) (next *waiter, overtakes bool) {
	var preferred, fair *waiter
	for _, w := range q.waiting {
		if preferred == nil || w.before(preferred, now) {
			preferred = w
		}
		if fair == nil || w.beforeFairly(fair) {
			fair = w
		}
	}
	if preferred != fair && q.floorInterval > 0 && q.overtaken >= q.floorInterval {
		preferred = fair
	}
	if preferred == nil {
		return nil, false
	}
	return q.dealBySubject(preferred, now), preferred != fair
}

// dealBySubject returns the request of a waiter's flow whose subject has had the fewest turns, in
// exchange for the waiter's place in the order.
func (q *Queue) dealBySubject(turn *waiter, now time.Time) *waiter {
	dealt := turn
	for _, w := range q.waiting {
		if w.round < dealt.round && w.flow() == turn.flow() && w.late(now) == turn.late(now) {
			dealt = w
		}
	}
	dealt.virtualStart, turn.virtualStart = turn.virtualStart, dealt.virtualStart
	return dealt
}

// roundOf returns how many requests of a ticket's subject wait in its flow.
func (q *Queue) roundOf(ticket Ticket) int {
	if ticket.Subject == 0 {
		return 0
	}
	round, flow := 0, flowKey{ticket.Workspace, ticket.Priority}
	for _, w := range q.waiting {
		if w.ticket.Subject == ticket.Subject && w.flow() == flow {
			round++
		}
	}
	return round
}
