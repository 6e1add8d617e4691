package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/refusal"
)

// overloadRetry is when to ask a full node again.
const overloadRetry = 2 * time.Second

// admission locks the limit queue and wakes the requests that wait in it.
type admission struct {
	mu      sync.Mutex
	queue   *limit.Queue
	nextID  uint64
	waiters map[uint64]chan struct{}
}

func newAdmission(slots, length int) *admission {
	return &admission{queue: limit.NewQueue(slots, length), waiters: map[uint64]chan struct{}{}}
}

// admit waits until the ticket may run and returns the function that ends it.
func (a *admission) admit(ctx context.Context, ticket limit.Ticket) (func(), *refusal.Refusal) {
	a.mu.Lock()
	a.nextID++
	ticket.ID = a.nextID
	verdict := a.queue.Arrive(time.Now(), ticket)
	started := make(chan struct{})
	if verdict == limit.Wait {
		a.waiters[ticket.ID] = started
	}
	a.mu.Unlock()
	switch verdict {
	case limit.Run:
		return a.done, nil
	case limit.Wait:
		return a.wait(ctx, ticket.ID, started)
	case limit.RefuseWorkspace:
		return nil, refusal.New(http.StatusTooManyRequests, refusal.CodeWorkspaceLimit,
			"workspace %s is over its limit", ticket.Workspace).After(jittered(overloadRetry))
	default:
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded,
			"this node is full").After(jittered(overloadRetry))
	}
}

func (a *admission) wait(ctx context.Context, id uint64, started <-chan struct{}) (func(), *refusal.Refusal) {
	select {
	case <-started:
		return a.done, nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	waiting := a.queue.Cancel(id)
	delete(a.waiters, id)
	a.mu.Unlock()
	if !waiting {
		a.done()
	}
	return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeCanceled,
		"the request was canceled while it waited").At("wait for a slot", "", ctx.Err())
}

// done ends a running request and wakes those that start now.
func (a *admission) done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range a.queue.Done(time.Now()) {
		close(a.waiters[id])
		delete(a.waiters, id)
	}
}
