package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/idempotency"
	"github.com/persimmonline/persimmonline/refusal"
)

const (
	// journalEntries bounds the operations in the journal of a node.
	journalEntries = 200_000
	// journalAnswerBytes bounds the answers in the journal of a node.
	journalAnswerBytes = 16 << 20
)

// operations guards the journal of bound operations and wakes waiting calls.
type operations struct {
	holder idempotency.Holder
	key    []byte

	mu      sync.Mutex
	journal *idempotency.Journal
	issued  bool
	changed chan struct{}
}

func newOperations(node, incarnation, peerKey string) *operations {
	holder := idempotency.Holder{Node: node, Incarnation: incarnation}
	bounds := idempotency.JournalBounds{Entries: journalEntries, AnswerBytes: journalAnswerBytes}
	return &operations{
		holder:  holder,
		key:     []byte("operation ids of " + peerKey),
		journal: idempotency.NewJournal(holder, bounds),
		changed: make(chan struct{}),
	}
}

func isOperation(key string) bool { return strings.HasPrefix(key, idempotency.OperationPrefix) }

// createOperation serves POST /v1/operations.
func (g *Gateway) createOperation(w http.ResponseWriter, _ *http.Request, who caller) {
	unique, err := uuid.NewV7()
	if err != nil {
		g.refuse(w, "", refusal.New(http.StatusInternalServerError, refusal.CodeInternal,
			"no id could be made").WithCause("issue operation id", "", err))
		return
	}
	o := g.operations
	o.mu.Lock()
	o.issued = true
	o.mu.Unlock()
	operation := idempotency.NewOperation(o.holder, who.workspace, unique, o.key)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(api.OperationCreated{
		ID:          operation.ID,
		ExpiresAtMS: operation.IssuedAt.Add(idempotency.OperationLifetime).UnixMilli(),
	})
}

// callBound runs a call under an operation id, here or at the id's holder.
func (g *Gateway) callBound(ctx context.Context, c *serviceCall, key string) serviceResult {
	operation, err := idempotency.ParseOperation(key, c.workspace, g.operations.key)
	if err != nil {
		r := refusal.InvalidField(headerKey, "%s: the operation id is not one of this workspace's", headerKey)
		return serviceResult{refused: r.WithCause("check operation id", "", err)}
	}
	g.operations.mu.Lock()
	holder := g.operations.journal.HolderOf(operation)
	g.operations.mu.Unlock()
	if holder == g.operations.holder {
		return g.runDetached(ctx, func(ctx context.Context) serviceResult { return g.runBound(ctx, c, operation) })
	}
	return g.forwardBound(ctx, c, operation, holder)
}

// runBound runs a call whose operation is held by this node.
func (g *Gateway) runBound(ctx context.Context, c *serviceCall, operation idempotency.Operation) serviceResult {
	o := g.operations
	timer := time.NewTimer(outcomeWait)
	defer timer.Stop()
	fingerprint := c.fingerprint()
	for {
		o.mu.Lock()
		verdict, answer := o.journal.Begin(operation, fingerprint, time.Now())
		changed := o.changed
		o.mu.Unlock()
		switch verdict {
		case idempotency.JournalRun:
			return g.sendBound(ctx, c, operation)
		case idempotency.JournalRunning:
		default:
			return journalResult(verdict, answer)
		}
		select {
		case <-changed:
		case <-timer.C:
			return serviceResult{refused: inProgress()}
		case <-ctx.Done():
			return serviceResult{refused: inProgress()}
		}
	}
}

// sendBound sends the call and records its result in the journal.
func (g *Gateway) sendBound(ctx context.Context, c *serviceCall, operation idempotency.Operation) serviceResult {
	result := g.sendOnce(ctx, c)
	o := g.operations
	o.mu.Lock()
	defer o.mu.Unlock()
	if result.refused != nil && result.refused.Ran == refusal.RanNo {
		o.journal.RevertUnsent(operation.ID)
	} else {
		o.journal.Finish(operation.ID, result.answer)
	}
	close(o.changed)
	o.changed = make(chan struct{})
	return result
}

// journalResult returns the result of a call that must not be sent.
func journalResult(verdict idempotency.JournalVerdict, answer *api.ServiceAnswer) serviceResult {
	switch verdict {
	case idempotency.JournalReplay:
		return serviceResult{answer: answer, replayed: true}
	case idempotency.JournalKeyReused:
		return serviceResult{refused: keyReused()}
	case idempotency.JournalExpired:
		return serviceResult{refused: outcomeUnknown("the operation id is too old for a first call")}
	case idempotency.JournalSealed:
		return serviceResult{refused: refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining,
			"the node that holds the operation stops; its successor takes it").WithRetryAfter(jittered(inProgressRetryAfter))}
	case idempotency.JournalNotHeld:
		return serviceResult{refused: outcomeUnknown("the node that held the operation is gone")}
	default:
		return serviceResult{refused: outcomeUnknown("the call may have run and its answer is not known")}
	}
}
