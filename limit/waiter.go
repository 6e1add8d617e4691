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

// class orders waiting requests: the first priority before the others, and in each those that can be on
// time before the late ones.
func (w *waiter) class(now time.Time) int {
	class := 0
	if w.ticket.Priority > reservedPriority {
		class += 2
	}
	if w.late(now) {
		class++
	}
	return class
}

// before reports whether w precedes other: by class, then in the fair order.
func (w *waiter) before(other *waiter, now time.Time) bool {
	if class, otherClass := w.class(now), other.class(now); class != otherClass {
		return class < otherClass
	}
	if w.virtualStart != other.virtualStart {
		return w.virtualStart < other.virtualStart
	}
	return w.serial < other.serial
}

// next returns the waiting request that starts next, and whether it overtakes one of a lower class.
func (q *Queue) next(now time.Time) (next *waiter, overtakes bool) {
	first := q.firstOf(now, 0)
	overtaken := q.firstOf(now, first.class(now)+1)
	if overtaken != nil && q.floorInterval > 0 && q.overtaken >= q.floorInterval {
		return q.dealBySubject(overtaken, now), false
	}
	return q.dealBySubject(first, now), overtaken != nil
}

// firstOf returns the first waiting request of a class or a lower one; nil if there is none.
func (q *Queue) firstOf(now time.Time, class int) (first *waiter) {
	for _, w := range q.waiting {
		if w.class(now) >= class && (first == nil || w.before(first, now)) {
			first = w
		}
	}
	return first
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
