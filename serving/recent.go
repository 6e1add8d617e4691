package serving

import (
	"net/http"
	"strings"
	"sync"
	"time"
	"unsafe"

	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/refusal"
)

// Load: hundreds of requests a second, of which an operator asks about one, minutes later, by its id.

const (
	// maxRecentBytes bounds what the decisions that are kept hold, recentDivisor their part of the memory
	// account.
	maxRecentBytes = 1 << 20
	recentDivisor  = 64
)

// recentDecision is the decision about a request that has ended.
type recentDecision struct {
	at          time.Time
	bytes       int64
	explanation RecentExplanation
}

// recentDecisions keeps the newest decisions, the oldest first.
type recentDecisions struct {
	mu    sync.Mutex
	ring  []*recentDecision
	first int
	// bytes are held by the decisions, of the budget that is reserved.
	bytes, budget int64
	reservation   *memory.Reservation
}

func newRecentDecisions(account *memory.Account) *recentDecisions {
	d := &recentDecisions{budget: min(maxRecentBytes, account.Stats().Budget/recentDivisor), reservation: account.OpenShared("recent decisions")}
	if _, err := d.reservation.TryGrow(d.budget, time.Now()); err != nil {
		d.budget = 0
	}
	return d
}

// add keeps a decision in place of the oldest ones.
func (d *recentDecisions) add(at time.Time, explanation RecentExplanation) {
	explanation.ID, explanation.Workspace = strings.Clone(logged(explanation.ID)), strings.Clone(explanation.Workspace)
	added := &recentDecision{at: at, explanation: explanation}
	added.bytes = int64(unsafe.Sizeof(*added)) + int64(len(explanation.ID)+len(explanation.Workspace)+len(explanation.Refused)) +
		int64(len(explanation.Attempts))*int64(unsafe.Sizeof(RecentAttempt{}))
	for i := range explanation.Attempts {
		added.bytes += int64(len(explanation.Attempts[i].Error))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if added.bytes > d.budget {
		return
	}
	d.bytes += added.bytes
	d.ring = append(d.ring, added)
	for d.bytes > d.budget {
		d.bytes -= d.ring[d.first].bytes
		d.ring[d.first] = nil
		d.first++
	}
	if 2*d.first > len(d.ring) {
		d.ring = append(d.ring[:0], d.ring[d.first:]...)
		clear(d.ring[len(d.ring):cap(d.ring)])
		d.first = 0
	}
}

// newest returns the newest decision about a request; nil if there is none. oldest is when the request of
// the oldest decision came.
func (d *recentDecisions) newest(id string) (found *recentDecision, oldest time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := d.ring[d.first:]
	for i := len(kept) - 1; i >= 0 && found == nil; i-- {
		if kept[i].explanation.ID == id {
			found = kept[i]
		}
	}
	if len(kept) > 0 {
		oldest = kept[0].at
	}
	return found, oldest
}

// Recent says what was decided about a request that has ended.
func (h *Handler) Recent(id string) (*RecentExplanation, *refusal.Refusal) {
	found, oldest := h.recent.newest(logged(id))
	switch {
	case found != nil:
		explanation := found.explanation
		explanation.AgeMS = ms(time.Since(found.at))
		return &explanation, nil
	case oldest.IsZero():
		return nil, refusal.New(http.StatusNotFound, refusal.CodeNotFound, "no request %q: this node has ended none yet", logged(id))
	}
	return nil, refusal.New(http.StatusNotFound, refusal.CodeNotFound, "no request %q among those that this node has ended in the last %.0f s",
		logged(id), time.Since(oldest).Seconds())
}

// keepDecision keeps what was decided about a request that has run its course.
func (r *requestRun) keepDecision() {
	request := r.request
	explanation := RecentExplanation{
		ID: request.ID, Route: request.Route.Name, Service: r.service, Workspace: request.Workspace, ConfigVersion: request.ConfigVersion,
		ViewAgeMS: ms(request.ArrivedAt.Sub(r.view.PublishedAt)), PromptTokens: request.PromptTokens, SharedTokens: r.shared.Tokens,
		Result: r.result, Status: r.status, WaitedMS: ms(r.waited), TookMS: ms(time.Since(request.ArrivedAt)),
		HedgeDenied: string(r.hedgeDenied), RetryDenied: r.retryDenied.Load(), Attempts: make([]RecentAttempt, len(r.attempts)),
	}
	if !r.firstByte.IsZero() {
		firstByte := ms(r.firstByte.Sub(request.ArrivedAt))
		explanation.FirstByteMS = &firstByte
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		kept := &explanation.Attempts[i]
		*kept = RecentAttempt{
			Upstream: a.upstream, Version: a.version, Outcome: outcomeNames[a.outcome], Hedge: a.hedge, Price: a.price,
			QueueMS: toMS(a.queue), CachedTokens: a.cached, FetchTokens: a.fetched, TookMS: ms(a.took),
		}
		if a.err != nil {
			kept.Error = strings.Clone(logged(a.err.Error()))
		}
	}
	r.handler.recent.add(request.ArrivedAt, explanation)
}

// keepRefusal keeps why a request was refused at once.
func (h *Handler) keepRefusal(request *Request, refused *refusal.Refusal) {
	explanation := RecentExplanation{
		ID: request.ID, Workspace: request.Workspace, ConfigVersion: request.ConfigVersion, PromptTokens: request.PromptTokens,
		Result: "refused:" + string(refused.Code), Refused: strings.Clone(logged(refused.Message)), Status: refused.Status,
		TookMS: ms(time.Since(request.ArrivedAt)),
	}
	if request.Route != nil {
		explanation.Route = request.Route.Name
	}
	h.recent.add(request.ArrivedAt, explanation)
}
