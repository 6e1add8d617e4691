// Package limit implements admission control: priorities, fair queueing between
// workspaces, deadlines, bounded queues and limits of workspaces. It has no side effects
// and no locks; the gateway serializes access to it.
package limit

import (
	"slices"
	"time"
)

const (
	// priorities is the number of priorities.
	priorities = 10
	// reservedPriority is the last priority that may use the reserved slots.
	reservedPriority = 0
	// reservedShare is the fraction of the slots that is reserved for such requests.
	reservedShare = 0.1
	// averageSmoothing is the weight of a new observation in a moving average.
	averageSmoothing = 0.1
	// initialSlotSeconds is the assumed mean slot occupancy before the first observation.
	initialSlotSeconds = 1.0
	// maxFlows bounds the flows whose next start is recorded.
	maxFlows = 1024
	// sharedQueueFraction is the fraction of the free queue places that any workspace may
	// use, even if that is more than its weighted part.
	sharedQueueFraction = 0.5
	// sharedFloorInterval is the floorInterval of a shared queue.
	sharedFloorInterval = 7
	// sharedMaxCost is the maxCost of a shared queue: the largest prompts are served half as often as
	// all or more.
	sharedMaxCost = 2
)

// Verdict is the outcome for a new request.
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
	// RefuseDeadline means that the request is not expected to start before its deadline.
	RefuseDeadline
)

// Decision is the verdict on a new request with its retry delay.
type Decision struct {
	// Verdict on the request.
	Verdict Verdict
	// RetryAfter is the delay after which a refused request should be retried; 0 when it
	// need not wait.
	RetryAfter time.Duration
}

// Ticket describes a request to be admitted.
type Ticket struct {
	// ID is unique in the queue.
	ID uint64
	// Workspace of the caller.
	Workspace string
	// Priority is 0 (first) to 9.
	Priority int
	// Tokens is the cost of the request; see RequestCost.
	Tokens float64
	// Deadline after which the request need not start; zero means none.
	Deadline time.Time
	// OnTimeBefore is the last start with which the answer is expected within its target; zero means
	// any.
	OnTimeBefore time.Time
	// Subject is the session or subject of the request, whose requests take turns with those of the
	// workspace's other subjects; 0 means none.
	Subject uint64
}

// Started lists the tickets that leave the queue when slots become free.
type Started struct {
	// Run are the tickets that start now, in order.
	Run []uint64
	// Expired are the tickets whose deadline has passed.
	Expired []uint64
}

// Queue runs a bounded number of requests and queues a bounded number more. Priority 0
// goes first and has reserved slots; the other priorities share the slots by start-time
// fair queueing over the weights of workspaces and the tokens of requests, in which a
// higher priority has a higher weight.
type Queue struct {
	slots       int
	capacity    int
	weights     map[string]float64
	totalWeight float64

	running            int
	waiting            []*waiter
	byID               map[uint64]*waiter
	waitingByWorkspace map[string]int
	nextStartByFlow    map[flowKey]float64
	virtualTime        float64
	meanSlotSeconds    float64
	serial             uint64
	meanTokens         float64
	reservedShare      float64
	// floorInterval is the number of successive starts before requests of a lower class after which one
	// of those starts; 0 means that they may wait for good. overtaken counts the starts.
	floorInterval, overtaken int
	// maxCost bounds what a request counts for in the fair order, in mean requests; 0 means no bound.
	maxCost float64
	// refusedWork is the refused work that may still be retried, as of refusedWorkAt, in
	// seconds of a slot by priority.
	refusedWork   [priorities]float64
	refusedWorkAt time.Time
}

// flowKey identifies a flow of the fair queue, whose requests are served in order.
type flowKey struct {
	workspace string
	priority  int
}

// NewQueue returns a queue that runs up to slots requests and holds up to capacity waiting ones.
func NewQueue(slots, capacity int) *Queue {
	return &Queue{
		slots: slots, capacity: capacity, meanSlotSeconds: initialSlotSeconds, reservedShare: reservedShare,
		byID: map[uint64]*waiter{}, waitingByWorkspace: map[string]int{}, nextStartByFlow: map[flowKey]float64{},
	}
}

// NewSharedQueue returns a queue for slots that other nodes use as well: none is kept free for the
// first priority, and the first priority keeps nobody waiting for good.
func NewSharedQueue(slots, capacity int) *Queue {
	q := NewQueue(slots, capacity)
	q.reservedShare, q.floorInterval, q.maxCost = 0, sharedFloorInterval, sharedMaxCost
	return q
}

// Resize changes the number of slots and the capacity for waiting requests.
func (q *Queue) Resize(slots, capacity int) { q.slots, q.capacity = max(1, slots), max(1, capacity) }

// SetWeights sets the weights of the workspaces; the map must not be changed afterwards.
func (q *Queue) SetWeights(weights map[string]float64) {
	q.weights, q.totalWeight = weights, 0
	for _, weight := range weights {
		q.totalWeight += max(weight, 0)
	}
}

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// TryStart starts a new request if it need not wait.
func (q *Queue) TryStart(now time.Time, ticket Ticket) bool {
	entry := q.newWaiter(ticket)
	return q.start(entry, q.ahead(entry, now))
}

// Submit starts, queues or refuses a new request.
func (q *Queue) Submit(now time.Time, ticket Ticket) Decision {
	entry := q.newWaiter(ticket)
	ahead := q.ahead(entry, now)
	if q.start(entry, ahead) {
		return Decision{Verdict: Run}
	}
	if refused := q.decideWait(now, entry, ahead); refused.Verdict != Wait {
		return refused
	}
	q.charge(entry)
	q.waiting = append(q.waiting, entry)
	q.byID[ticket.ID] = entry
	q.waitingByWorkspace[ticket.Workspace]++
	return Decision{Verdict: Wait}
}

// Preview is the decision on a request as it would be now.
type Preview struct {
	Verdict Verdict
	// Ahead is the number of waiting requests that precede it, Wait its expected time in the queue.
	Ahead int
	Wait  time.Duration
}

// Preview returns the decision on a request that is not submitted.
func (q *Queue) Preview(now time.Time, ticket Ticket) Preview {
	entry := q.waiterOf(ticket)
	ahead := q.ahead(entry, now)
	if ahead == 0 && q.running < q.slotsFor(entry.ticket.Priority) {
		return Preview{Verdict: Run}
	}
	return Preview{Verdict: q.waitVerdict(now, entry, ahead), Ahead: ahead, Wait: q.expectedWait(ahead + 1)}
}

func (q *Queue) newWaiter(ticket Ticket) *waiter {
	entry := q.waiterOf(ticket)
	q.serial = entry.serial
	return entry
}

// waiterOf returns the waiter that a request would be.
func (q *Queue) waiterOf(ticket Ticket) *waiter {
	ticket.Priority = clampPriority(ticket.Priority)
	entry := &waiter{ticket: ticket, serial: q.serial + 1, round: q.roundOf(ticket)}
	entry.virtualStart = max(q.virtualTime, q.nextStartByFlow[entry.flow()])
	return entry
}

// start starts a new request if no other precedes it and a slot is free.
func (q *Queue) start(entry *waiter, ahead int) bool {
	if ahead > 0 || q.running >= q.slotsFor(entry.ticket.Priority) {
		return false
	}
	q.charge(entry)
	q.running++
	return true
}

// decideWait returns the verdict Wait if a new request may be queued, else its refusal.
func (q *Queue) decideWait(now time.Time, entry *waiter, ahead int) Decision {
	verdict := q.waitVerdict(now, entry, ahead)
	if verdict == Wait {
		return Decision{Verdict: Wait}
	}
	return Decision{Verdict: verdict, RetryAfter: q.RetryAfter(now, entry.ticket)}
}

// waitVerdict returns Wait if a new request may be queued, else why not.
func (q *Queue) waitVerdict(now time.Time, entry *waiter, ahead int) Verdict {
	if len(q.waiting) >= q.capacity || q.waitingByWorkspace[entry.ticket.Workspace] >= q.maxWaiting(entry.ticket.Workspace) {
		return RefuseFull
	}
	deadline := entry.ticket.Deadline
	if !deadline.IsZero() && now.Add(q.expectedWait(ahead+1)).After(deadline) {
		return RefuseDeadline
	}
	return Wait
}

// Done frees the slot that a request occupied for the given time, and fills free slots.
func (q *Queue) Done(now time.Time, occupied time.Duration) Started {
	q.running--
	q.meanSlotSeconds += averageSmoothing * (occupied.Seconds() - q.meanSlotSeconds)
	return q.StartWaiting(now)
}

// StartWaiting fills free slots, for instance after a Resize.
func (q *Queue) StartWaiting(now time.Time) Started {
	started := Started{Expired: q.removeExpired(now)}
	for len(q.waiting) > 0 {
		next, overtakes := q.next(now)
		if q.running >= q.slotsFor(next.ticket.Priority) {
			break
		}
		if q.overtaken++; !overtakes {
			q.overtaken = 0
		}
		q.remove(next)
		q.virtualTime = max(q.virtualTime, next.virtualStart)
		q.running++
		started.Run = append(started.Run, next.ticket.ID)
	}
	return started
}

// removeExpired removes the requests whose deadline has passed, and returns their ids.
func (q *Queue) removeExpired(now time.Time) (ids []uint64) {
	for _, w := range slices.Clone(q.waiting) {
		if w.expired(now) {
			q.remove(w)
			ids = append(ids, w.ticket.ID)
		}
	}
	return ids
}

// Cancel removes a waiting request. It reports whether the request was still waiting.
func (q *Queue) Cancel(id uint64) bool {
	entry, ok := q.byID[id]
	if ok {
		q.remove(entry)
	}
	return ok
}

func (q *Queue) remove(entry *waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return w == entry })
	delete(q.byID, entry.ticket.ID)
	workspace := entry.ticket.Workspace
	if q.waitingByWorkspace[workspace]--; q.waitingByWorkspace[workspace] == 0 {
		delete(q.waitingByWorkspace, workspace)
	}
}

// charge advances the virtual start time of the flow's next request by the weighted cost
// of this one.
func (q *Queue) charge(entry *waiter) {
	key := entry.flow()
	if len(q.nextStartByFlow) >= maxFlows {
		q.evictFlows()
	}
	if q.meanTokens == 0 {
		q.meanTokens = entry.ticket.Tokens
	}
	q.meanTokens += averageSmoothing * (entry.ticket.Tokens - q.meanTokens)
	cost := entry.ticket.Tokens
	if q.maxCost > 0 {
		cost = min(cost, q.maxCost*q.meanTokens)
	}
	weight := q.weightOf(key.workspace) * float64(priorities-key.priority)
	q.nextStartByFlow[key] = entry.virtualStart + cost/weight
}

// evictFlows removes the flows whose next start is not ahead of the virtual time, and all
// flows if too many remain.
func (q *Queue) evictFlows() {
	for key, start := range q.nextStartByFlow {
		if start <= q.virtualTime {
			delete(q.nextStartByFlow, key)
		}
	}
	if len(q.nextStartByFlow) >= maxFlows {
		clear(q.nextStartByFlow)
	}
}

// ahead returns the number of waiting requests that precede the entry.
func (q *Queue) ahead(entry *waiter, now time.Time) int {
	count := 0
	for _, other := range q.waiting {
		if other.before(entry, now) {
			count++
		}
	}
	return count
}

// clampPriority returns the nearest valid priority.
func clampPriority(priority int) int { return min(max(priority, 0), priorities-1) }

// expectedWait returns the expected time until a number of slots become free.
func (q *Queue) expectedWait(slots int) time.Duration {
	return time.Duration(float64(slots) * q.meanSlotSeconds / float64(q.slots) * float64(time.Second))
}

// slotsFor returns the number of slots that a priority may use.
func (q *Queue) slotsFor(priority int) int {
	if priority <= reservedPriority {
		return q.slots
	}
	return max(1, q.slots-int(q.reservedShare*float64(q.slots)))
}

// maxWaiting returns how many requests of a workspace may wait: its weighted part of the
// queue, or a fraction of the places that are free now if that is more.
func (q *Queue) maxWaiting(workspace string) int {
	guaranteed := float64(q.capacity) / 2
	if q.totalWeight > 0 {
		guaranteed = float64(q.capacity) * q.weightOf(workspace) / q.totalWeight
	}
	shared := sharedQueueFraction * float64(q.capacity-len(q.waiting)+q.waitingByWorkspace[workspace])
	return max(1, int(max(guaranteed, shared)))
}

func (q *Queue) weightOf(workspace string) float64 {
	if weight := q.weights[workspace]; weight > 0 {
		return weight
	}
	return 1
}
