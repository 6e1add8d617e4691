// Package limit decides which requests run, wait or are refused: priorities, fair
// shares between workspaces, deadlines, bounded queues, limits of workspaces. It is
// pure; the gateway locks it.
package limit

import (
	"container/heap"
	"time"
)

const (
	// priorities is the number of priorities.
	priorities = 10
	// reservedPriority is the last priority that may use the reserved slots.
	reservedPriority = 0
	// reserveShare is the share of the slots that only such requests may use.
	reserveShare = 0.1
	// holdShare is the weight of a new observation of how long a slot is held.
	holdShare = 0.1
	// firstHold is how long a slot is taken to be held before any was, in seconds.
	firstHold = 1.0
	// maxFlows bounds the flows that are remembered while they have no request waiting.
	maxFlows = 1024
	// openShare is the share of the free queue that any workspace may take beyond its
	// own part.
	openShare = 0.5
)

// Verdict on an arriving request.
type Verdict int

// Verdicts.
const (
	// Run means that the request may start now.
	Run Verdict = iota
	// Wait means that the request is queued.
	Wait
	// RefuseFull means that the queue, or the workspace's part of it, is full.
	RefuseFull
	// RefuseWorkspace means that the workspace is over its limit.
	RefuseWorkspace
	// RefuseDeadline means that the request could not start in time.
	RefuseDeadline
)

// Decision on an arriving request.
type Decision struct {
	// Verdict on the request.
	Verdict Verdict
	// RetryAfter is when a refused request should come back; 0 when it need not wait.
	RetryAfter time.Duration
}

// Ticket is a request that asks to run.
type Ticket struct {
	// ID is unique in the queue.
	ID uint64
	// Workspace of the caller.
	Workspace string
	// Priority, 0 (first) to 9.
	Priority int
	// Tokens is the cost of the request; see Cost.
	Tokens float64
	// Deadline after which the request need not start; zero means none.
	Deadline time.Time
}

// Started is what a freed slot leads to.
type Started struct {
	// Run are the tickets that start now, in order.
	Run []uint64
	// Expired are tickets whose deadline has passed; they left the queue.
	Expired []uint64
}

// Queue admits a bounded number of requests and queues a bounded number more.
// Priority 0 goes first and has slots of its own; between the others, workspaces
// share by weight and tokens (start-time fair queueing), a higher priority weighing more.
type Queue struct {
	slots   int
	length  int
	weights map[string]float64
	total   float64

	running int
	waiting waitHeap
	byID    map[uint64]*waiter
	queued  map[string]int
	flows   map[flowKey]float64
	virtual float64
	hold    float64
	serial  uint64
	tokens  float64
	away    [priorities]float64
	awayAt  time.Time
}

// flowKey names the requests that wait behind one another.
type flowKey struct {
	workspace string
	priority  int
}

// NewQueue returns a queue that runs slots requests and lets length more wait.
func NewQueue(slots, length int) *Queue {
	return &Queue{
		slots: slots, length: length, hold: firstHold,
		byID: map[uint64]*waiter{}, queued: map[string]int{}, flows: map[flowKey]float64{},
	}
}

// Resize changes the number of slots and of places to wait.
func (q *Queue) Resize(slots, length int) { q.slots, q.length = max(1, slots), max(1, length) }

// SetWeights sets the weights of the workspaces; the map must not be changed afterwards.
func (q *Queue) SetWeights(weights map[string]float64) {
	q.weights, q.total = weights, 0
	for _, weight := range weights {
		q.total += max(weight, 0)
	}
}

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Submit decides about a new request.
func (q *Queue) Submit(now time.Time, ticket Ticket) Decision {
	ticket.Priority = clampPriority(ticket.Priority)
	key := flowKey{ticket.Workspace, ticket.Priority}
	q.serial++
	entry := &waiter{ticket: ticket, start: max(q.virtual, q.flows[key]), serial: q.serial}
	ahead := q.ahead(entry)
	if ahead == 0 && q.running < q.slotsFor(ticket.Priority) {
		q.charge(key, entry)
		q.running++
		return Decision{Verdict: Run}
	}
	if refused := q.refuse(now, entry, ahead); refused.Verdict != Wait {
		return refused
	}
	q.charge(key, entry)
	heap.Push(&q.waiting, entry)
	q.byID[ticket.ID] = entry
	q.queued[ticket.Workspace]++
	return Decision{Verdict: Wait}
}

// refuse says whether an arriving request may wait; its verdict is Wait if so.
func (q *Queue) refuse(now time.Time, entry *waiter, ahead int) Decision {
	if len(q.waiting) >= q.length || q.queued[entry.ticket.Workspace] >= q.part(entry.ticket.Workspace) {
		return Decision{Verdict: RefuseFull, RetryAfter: q.RetryAfter(now, entry.ticket)}
	}
	deadline := entry.ticket.Deadline
	if !deadline.IsZero() && now.Add(q.drain(ahead+1)).After(deadline) {
		return Decision{Verdict: RefuseDeadline, RetryAfter: q.RetryAfter(now, entry.ticket)}
	}
	return Decision{Verdict: Wait}
}

// Done ends a request that held its slot for a time, and returns what starts now.
func (q *Queue) Done(now time.Time, held time.Duration) Started {
	q.running--
	q.hold += holdShare * (held.Seconds() - q.hold)
	return q.Start(now)
}

// Start fills free slots, for instance after a Resize.
func (q *Queue) Start(now time.Time) Started {
	var started Started
	for len(q.waiting) > 0 {
		next := q.waiting[0]
		expired := !next.ticket.Deadline.IsZero() && now.After(next.ticket.Deadline)
		if !expired && q.running >= q.slotsFor(next.ticket.Priority) {
			break
		}
		q.remove(next)
		if expired {
			started.Expired = append(started.Expired, next.ticket.ID)
			continue
		}
		q.virtual = max(q.virtual, next.start)
		q.running++
		started.Run = append(started.Run, next.ticket.ID)
	}
	return started
}

// Cancel removes a waiting request and returns whether it was still waiting.
func (q *Queue) Cancel(id uint64) bool {
	entry, ok := q.byID[id]
	if ok {
		q.remove(entry)
	}
	return ok
}

func (q *Queue) remove(entry *waiter) {
	heap.Remove(&q.waiting, entry.index)
	delete(q.byID, entry.ticket.ID)
	workspace := entry.ticket.Workspace
	if q.queued[workspace]--; q.queued[workspace] == 0 {
		delete(q.queued, workspace)
	}
}

// charge moves the flow's next start by the cost of the request.
func (q *Queue) charge(key flowKey, entry *waiter) {
	if len(q.flows) >= maxFlows {
		q.forgetFlows()
	}
	weight := q.weightOf(key.workspace) * float64(priorities-key.priority)
	q.flows[key] = entry.start + entry.ticket.Tokens/weight
	if q.tokens == 0 {
		q.tokens = entry.ticket.Tokens
	}
	q.tokens += holdShare * (entry.ticket.Tokens - q.tokens)
}

// forgetFlows drops the flows that have no credit or debt left; if all have, all go.
func (q *Queue) forgetFlows() {
	for key, start := range q.flows {
		if start <= q.virtual {
			delete(q.flows, key)
		}
	}
	if len(q.flows) >= maxFlows {
		clear(q.flows)
	}
}

// ahead returns the number of waiting requests that go before the entry.
func (q *Queue) ahead(entry *waiter) int {
	count := 0
	for _, other := range q.waiting {
		if other.before(entry) {
			count++
		}
	}
	return count
}

// clampPriority returns the nearest priority that exists.
func clampPriority(priority int) int { return min(max(priority, 0), priorities-1) }

// drain is the expected time until a number of slots come free.
func (q *Queue) drain(slots int) time.Duration {
	return time.Duration(float64(slots) * q.hold / float64(q.slots) * float64(time.Second))
}

// slotsFor returns the slots that a priority may use.
func (q *Queue) slotsFor(priority int) int {
	if priority <= reservedPriority {
		return q.slots
	}
	return max(1, q.slots-int(reserveShare*float64(q.slots)))
}

// part returns how many requests of a workspace may wait: its weighted part of the
// queue, or a share of what is free now if that is more.
func (q *Queue) part(workspace string) int {
	own := float64(q.length) / 2
	if q.total > 0 {
		own = float64(q.length) * q.weightOf(workspace) / q.total
	}
	open := openShare * float64(q.length-len(q.waiting)+q.queued[workspace])
	return max(1, int(max(own, open)))
}

func (q *Queue) weightOf(workspace string) float64 {
	if weight := q.weights[workspace]; weight > 0 {
		return weight
	}
	return 1
}
