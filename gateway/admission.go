package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/prompt"
	"github.com/persimmonline/persimmonline/refusal"
)

const (
	// leastRetry is the shortest time after which a refused caller is asked back.
	leastRetry = 500 * time.Millisecond
	// mostRetry is the longest.
	mostRetry = 30 * time.Second
)

// admission locks the limit queues, one for each service, and the workspaces' limits,
// and wakes the requests that wait.
type admission struct {
	maxStreams int

	mu         sync.Mutex
	queues     map[string]*limit.Queue
	workspaces *limit.WorkspaceLimiter
	nextID     uint64
	waiters    map[uint64]chan limit.Verdict
	refreshed  time.Time
	index      *config.Index
	nodes      int
}

func newAdmission(maxStreams int) *admission {
	return &admission{
		maxStreams: maxStreams,
		queues:     map[string]*limit.Queue{},
		workspaces: limit.NewWorkspaceLimiter(),
		waiters:    map[uint64]chan limit.Verdict{},
	}
}

// enter holds a request to the limits of its workspace; leave must be called at the
// end of a request that was let in. Every entry node holds its own share.
func (g *Gateway) enter(workspace string, tokens int) (leave func(), refused *refusal.Refusal) {
	a := g.admission
	now := time.Now()
	a.mu.Lock()
	a.refresh(g.Control.Snapshot(), now)
	decision := a.workspaces.Acquire(now, workspace, tokens)
	a.mu.Unlock()
	if decision.Verdict != limit.Run {
		return nil, refusal.New(http.StatusTooManyRequests, refusal.CodeWorkspaceLimit,
			"workspace %s is over its limit", workspace).WithRetryAfter(spreadAfter(decision.RetryAfter))
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.workspaces.Release(workspace)
	}, nil
}

// admit waits until the call may run and returns the function that ends it. A call
// that can't have its first token in time is refused at once.
func (g *Gateway) admit(ctx context.Context, c *call) (func(), *refusal.Refusal) {
	ticket := limit.Ticket{Workspace: c.workspace, Priority: c.priority, Tokens: limit.RequestCost(prompt.Tokens(c.text), c.answerTokens())}
	target := g.firstTokenTarget(c.service)
	if target > 0 {
		choice, err := g.choose(c, nil)
		if err != nil {
			return g.admitTicket(ctx, c.service, ticket)
		}
		prefill := time.Duration(choice.Prefill * float64(time.Second))
		queue := time.Duration(choice.Queue * float64(time.Second))
		budget, inTime := limit.WaitBudget(target, prefill, queue)
		if !inTime {
			return nil, lateRefusal(g.admission.comeBack(c.service, ticket))
		}
		ticket.Deadline = time.Now().Add(budget)
	}
	return g.admitTicket(ctx, c.service, ticket)
}

// admitService is admit for a call of a plain service.
func (g *Gateway) admitService(ctx context.Context, c *serviceCall) (func(), *refusal.Refusal) {
	ticket := limit.Ticket{Workspace: c.workspace, Priority: c.operation.Priority, Tokens: 1}
	if target := g.firstTokenTarget(c.service); target > 0 {
		ticket.Deadline = time.Now().Add(target)
	}
	return g.admitTicket(ctx, c.service, ticket)
}

// firstTokenTarget returns the target of a service; 0 when it has none.
func (g *Gateway) firstTokenTarget(service string) time.Duration {
	index := g.Control.Snapshot().Index
	if index == nil {
		return 0
	}
	known, _ := index.Service(service)
	return time.Duration(known.FirstTokenTargetMS) * time.Millisecond
}

func (g *Gateway) admitTicket(ctx context.Context, service string, ticket limit.Ticket) (func(), *refusal.Refusal) {
	a := g.admission
	now := time.Now()
	a.mu.Lock()
	a.refresh(g.Control.Snapshot(), now)
	queue := a.queue(service)
	a.nextID++
	ticket.ID = a.nextID
	decision := queue.Submit(now, ticket)
	answer := make(chan limit.Verdict, 1)
	if decision.Verdict == limit.Wait {
		a.waiters[ticket.ID] = answer
	}
	a.mu.Unlock()
	switch decision.Verdict {
	case limit.Run:
		return a.slot(queue), nil
	case limit.Wait:
		return a.wait(ctx, service, ticket, answer)
	case limit.RefuseDeadline:
		return nil, lateRefusal(decision.RetryAfter)
	default:
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded,
			"the queue of service %s is full", service).WithRetryAfter(retryAfter(decision.RetryAfter))
	}
}

func lateRefusal(after time.Duration) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeDeadline,
		"the first token could not come within its target").WithRetryAfter(retryAfter(after))
}

// retryAfter jitters a time to come back by a tenth: the times differ already, since
// each caller that is refused is told a later one.
func retryAfter(d time.Duration) time.Duration {
	d = min(max(d, leastRetry), mostRetry)
	return d - d/10 + rand.N(d/5) //nolint:gosec // Spreading load needs no secret randomness.
}

// spreadAfter spreads a time to come back that many callers are told alike over as
// much again.
func spreadAfter(d time.Duration) time.Duration {
	d = min(max(d, leastRetry), mostRetry)
	return d + rand.N(d) //nolint:gosec // Spreading load needs no secret randomness.
}

// comeBack returns when a caller that is refused should ask again.
func (a *admission) comeBack(service string, ticket limit.Ticket) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue(service).RetryAfter(time.Now(), ticket)
}

// wait waits for the verdict on a queued ticket.
func (a *admission) wait(ctx context.Context, service string, ticket limit.Ticket, answer <-chan limit.Verdict) (func(), *refusal.Refusal) {
	queue := a.queueOf(service)
	late := make(<-chan time.Time)
	if !ticket.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(ticket.Deadline))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case verdict := <-answer:
		if verdict == limit.Run {
			return a.slot(queue), nil
		}
		return nil, lateRefusal(a.comeBack(service, ticket))
	case <-late:
	case <-ctx.Done():
	}
	a.mu.Lock()
	waiting := queue.Cancel(ticket.ID)
	delete(a.waiters, ticket.ID)
	a.mu.Unlock()
	if !waiting && <-answer == limit.Run {
		release := a.slot(queue)
		if ctx.Err() == nil {
			return release, nil
		}
		release()
	}
	if ctx.Err() == nil {
		return nil, lateRefusal(a.comeBack(service, ticket))
	}
	return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeCanceled,
		"the request was canceled while it waited").WithCause("wait for a slot", "", ctx.Err())
}

// slot returns the function that frees a slot that was taken now.
func (a *admission) slot(queue *limit.Queue) func() {
	taken := time.Now()
	return func() {
		now := time.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.wake(queue.Done(now, now.Sub(taken)))
	}
}

// wake tells waiting requests their verdict; the lock must be held.
func (a *admission) wake(started limit.Started) {
	for _, id := range started.Run {
		a.answer(id, limit.Run)
	}
	for _, id := range started.Expired {
		a.answer(id, limit.RefuseDeadline)
	}
}

func (a *admission) answer(id uint64, verdict limit.Verdict) {
	if waiter, ok := a.waiters[id]; ok {
		waiter <- verdict
		delete(a.waiters, id)
	}
}

// queueOf is queue under the lock.
func (a *admission) queueOf(service string) *limit.Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue(service)
}

func (a *admission) queue(service string) *limit.Queue {
	queue, ok := a.queues[service]
	if !ok {
		queue = limit.NewQueue(1, 1)
		a.queues[service] = queue
	}
	return queue
}
