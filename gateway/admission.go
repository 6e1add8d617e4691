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
	// minRetryAfter is the shortest retry delay that a refused caller is given.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the longest one.
	maxRetryAfter = 30 * time.Second
)

// admission guards the limit queues, one per service, and the limits of the workspaces,
// and wakes queued requests.
type admission struct {
	maxStreams int

	mu          sync.Mutex
	queues      map[string]*limit.Queue
	workspaces  *limit.WorkspaceLimiter
	nextID      uint64
	waiters     map[uint64]chan limit.Verdict
	refreshedAt time.Time
	index       *config.Index
	nodes       int
}

func newAdmission(maxStreams int) *admission {
	return &admission{
		maxStreams: maxStreams,
		queues:     map[string]*limit.Queue{},
		workspaces: limit.NewWorkspaceLimiter(),
		waiters:    map[uint64]chan limit.Verdict{},
	}
}

// admitWorkspace applies the limits of a workspace to a request; release must be called at
// the end of an admitted request. Every entry node enforces its own share of the limits.
func (g *Gateway) admitWorkspace(workspace string, tokens int) (release func(), refused *refusal.Refusal) {
	a := g.admission
	now := time.Now()
	a.mu.Lock()
	a.refresh(g.Control.Snapshot(), now)
	decision := a.workspaces.Acquire(now, workspace, tokens)
	a.mu.Unlock()
	if decision.Verdict != limit.Run {
		return nil, refusal.New(http.StatusTooManyRequests, refusal.CodeWorkspaceLimit,
			"workspace %s is over its limit", workspace).WithRetryAfter(spreadRetryAfter(decision.RetryAfter))
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.workspaces.Release(workspace)
	}, nil
}

// admit waits for a slot and returns the function that releases it. A call whose first
// token can't arrive within the target is refused immediately.
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
			return nil, deadlineRefusal(g.admission.retryDelay(c.service, ticket))
		}
		ticket.Deadline = time.Now().Add(budget)
	}
	return g.admitTicket(ctx, c.service, ticket)
}

// admitService is admit for calls to plain services.
func (g *Gateway) admitService(ctx context.Context, c *serviceCall) (func(), *refusal.Refusal) {
	ticket := limit.Ticket{Workspace: c.workspace, Priority: c.operation.Priority, Tokens: 1}
	if target := g.firstTokenTarget(c.service); target > 0 {
		ticket.Deadline = time.Now().Add(target)
	}
	return g.admitTicket(ctx, c.service, ticket)
}

// firstTokenTarget returns the first-token target of a service; 0 when it has none.
func (g *Gateway) firstTokenTarget(service string) time.Duration {
	index := g.Control.Snapshot().Index
	if index == nil {
		return 0
	}
	definition, _ := index.Service(service)
	return time.Duration(definition.FirstTokenTargetMS) * time.Millisecond
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
	verdicts := make(chan limit.Verdict, 1)
	if decision.Verdict == limit.Wait {
		a.waiters[ticket.ID] = verdicts
	}
	a.mu.Unlock()
	switch decision.Verdict {
	case limit.Run:
		return a.slot(queue), nil
	case limit.Wait:
		return a.wait(ctx, service, ticket, verdicts)
	case limit.RefuseDeadline:
		return nil, deadlineRefusal(decision.RetryAfter)
	default:
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded,
			"the queue of service %s is full", service).WithRetryAfter(jitterRetryAfter(decision.RetryAfter))
	}
}

func deadlineRefusal(after time.Duration) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeDeadline,
		"the first token could not come within its target").WithRetryAfter(jitterRetryAfter(after))
}

// jitterRetryAfter clamps a retry delay and jitters it by a tenth. That is enough, since
// the queue gives each refused caller a later time than the one before.
func jitterRetryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d - d/10 + rand.N(d/5) //nolint:gosec // Spreading load needs no secret randomness.
}

// spreadRetryAfter clamps a retry delay and spreads it over [d, 2d), for delays that
// many callers get alike.
func spreadRetryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + rand.N(d) //nolint:gosec // Spreading load needs no secret randomness.
}

// retryDelay returns when a refused caller should retry.
func (a *admission) retryDelay(service string, ticket limit.Ticket) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue(service).RetryAfter(time.Now(), ticket)
}

// wait blocks until a queued ticket has a verdict, its deadline passes or ctx ends.
func (a *admission) wait(ctx context.Context, service string, ticket limit.Ticket, verdicts <-chan limit.Verdict) (func(), *refusal.Refusal) {
	queue := a.lookUpQueue(service)
	expired := make(<-chan time.Time)
	if !ticket.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(ticket.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case verdict := <-verdicts:
		if verdict == limit.Run {
			return a.slot(queue), nil
		}
		return nil, deadlineRefusal(a.retryDelay(service, ticket))
	case <-expired:
	case <-ctx.Done():
	}
	a.mu.Lock()
	wasQueued := queue.Cancel(ticket.ID)
	delete(a.waiters, ticket.ID)
	a.mu.Unlock()
	if !wasQueued && <-verdicts == limit.Run {
		release := a.slot(queue)
		if ctx.Err() == nil {
			return release, nil
		}
		release()
	}
	if ctx.Err() == nil {
		return nil, deadlineRefusal(a.retryDelay(service, ticket))
	}
	return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeCanceled,
		"the request was canceled while it waited").WithCause("wait for a slot", "", ctx.Err())
}

// slot returns the function that frees a slot acquired now.
func (a *admission) slot(queue *limit.Queue) func() {
	acquiredAt := time.Now()
	return func() {
		now := time.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.deliver(queue.Done(now, now.Sub(acquiredAt)))
	}
}

// deliver sends verdicts to the waiting requests. The caller holds the lock.
func (a *admission) deliver(started limit.Started) {
	for _, id := range started.Run {
		a.deliverTo(id, limit.Run)
	}
	for _, id := range started.Expired {
		a.deliverTo(id, limit.RefuseDeadline)
	}
}

func (a *admission) deliverTo(id uint64, verdict limit.Verdict) {
	if waiter, ok := a.waiters[id]; ok {
		waiter <- verdict
		delete(a.waiters, id)
	}
}

// lookUpQueue acquires the lock and returns the queue of a service.
func (a *admission) lookUpQueue(service string) *limit.Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue(service)
}

// queue returns the queue of a service, creating it on first use. The caller holds the lock.
func (a *admission) queue(service string) *limit.Queue {
	queue, ok := a.queues[service]
	if !ok {
		queue = limit.NewQueue(1, 1)
		a.queues[service] = queue
	}
	return queue
}
