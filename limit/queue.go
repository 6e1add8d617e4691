// Package limit decides which requests run, wait or are refused: priorities, fair
// shares between workspaces, bounded queues. It is pure; the gateway locks it.
package limit

import (
	"time"
)

// Verdict on an arriving request.
type Verdict int

// Verdicts.
const (
	// Run means that the request may start now.
	Run Verdict = iota
	// Wait means that the request is queued.
	Wait
	// RefuseFull means that the queue is full.
	RefuseFull
	// RefuseWorkspace means that the workspace is over its limit.
	RefuseWorkspace
)

// Ticket is a request that asks to run.
type Ticket struct {
	// ID is unique in the queue.
	ID uint64
	// Workspace of the caller.
	Workspace string
	// Priority, 0 (first) to 9.
	Priority int
	// Tokens that the request is expected to need.
	Tokens float64
	// Deadline after which the request need not start.
	Deadline time.Time
}

// Queue admits a bounded number of requests and queues a bounded number more.
type Queue struct {
	slots   int
	length  int
	running int
	waiting []Ticket
}

// NewQueue returns a queue that runs slots requests and lets length more wait.
func NewQueue(slots, length int) *Queue {
	return &Queue{slots: slots, length: length}
}

// Arrive decides about a new request.
func (q *Queue) Arrive(_ time.Time, ticket Ticket) Verdict {
	if q.running < q.slots {
		q.running++
		return Run
	}
	if len(q.waiting) >= q.length {
		return RefuseFull
	}
	q.waiting = append(q.waiting, ticket)
	return Wait
}

// Done ends a running request and returns the tickets that start now.
func (q *Queue) Done(_ time.Time) []uint64 {
	q.running--
	var started []uint64
	for q.running < q.slots && len(q.waiting) > 0 {
		next := q.first()
		started = append(started, q.waiting[next].ID)
		q.waiting = append(q.waiting[:next], q.waiting[next+1:]...)
		q.running++
	}
	return started
}

// Cancel removes a waiting request and returns whether it was still waiting.
func (q *Queue) Cancel(id uint64) bool {
	for i, ticket := range q.waiting {
		if ticket.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// first returns the index of the ticket with the lowest priority number that came first.
func (q *Queue) first() int {
	best := 0
	for i, ticket := range q.waiting {
		if ticket.Priority < q.waiting[best].Priority {
			best = i
		}
	}
	return best
}
