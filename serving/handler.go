package serving

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/quota"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/relay"
	"github.com/persimmonline/persimmonline/retry"
)

const (
	// defaultWait is the time for a request when neither its caller nor its route name one.
	defaultWait = 60 * time.Second
	// comeBackSoon is told to callers of a node that has no configuration or no upstream.
	comeBackSoon = 300 * time.Millisecond
	// comeBackNow is told to callers whom other nodes can serve at once.
	comeBackNow = 20 * time.Millisecond
	// comeBackLate is told to callers whose request crashes upstreams.
	comeBackLate = 10 * time.Second
	// successLineRate bounds the log lines a second of requests that went well; those of
	// failures and refusals are bounded by the output's buffer alone.
	successLineRate = 200
	// faultLineRate bounds the log lines a second of upstreams' notices that can't be read.
	faultLineRate = 1
	// defaultMaxBody bounds bodies while the configuration names no limit.
	defaultMaxBody = 4 << 20
	// maxBufferedBytes bounds the bodies that a node holds at once; it is a share of the
	// smallest hosts' memory.
	maxBufferedBytes = 64 << 20
)

// Settings of a Handler.
type Settings struct {
	// Adapter of the callers' and upstreams' protocol.
	Adapter Adapter
	// CurrentView returns the current view.
	CurrentView func() *View
	// Pool of connections to upstreams.
	Pool *relay.Pool
	// Ledger of the workspaces' quotas; the handler locks Lock around it.
	Ledger *quota.Ledger
	// LedgerLock guards Ledger.
	LedgerLock *sync.Mutex
	// MonotonicNow is the clock of Ledger; it counts the time for which the host is suspended.
	MonotonicNow func() time.Time
	// Events take what the serving path has met.
	Events Events
	// RetryRatio and RetryWindow of the budget of further attempts.
	RetryRatio  float64
	RetryWindow time.Duration
	// Logger of decisions about requests.
	Logger zerolog.Logger
	// Metrics of requests.
	Metrics *Metrics
}

// Handler answers callers' requests.
type Handler struct {
	Settings

	buffered atomic.Int64
	inFlight atomic.Int64
	random   atomic.Uint64

	// successLines bounds the log lines of requests that went well.
	successLines *rate.Limiter
	// faultLines bounds the log lines of notices that can't be read.
	faultLines *rate.Limiter

	mu      sync.Mutex
	budgets map[string]*retry.WindowBudget
}

// New returns a handler.
func New(settings Settings) *Handler {
	h := &Handler{
		Settings: settings, budgets: map[string]*retry.WindowBudget{},
		successLines: rate.NewLimiter(successLineRate, successLineRate),
		faultLines:   rate.NewLimiter(faultLineRate, 1),
	}
	h.random.Store(uint64(time.Now().UnixNano()))
	return h
}

// drawStep makes the sequence of draws visit all numbers (Weyl sequence).
const drawStep = 0x9e3779b97f4a7c15

// draw returns the next number by which choices are spread.
func (h *Handler) draw() uint64 { return h.random.Add(drawStep) }

// InFlight returns the number of requests under way.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	arrived := time.Now()
	view := h.CurrentView()
	h.Metrics.viewAge.Observe(arrived.Sub(view.PublishedAt).Seconds())
	if view.Draining || len(r.TransferEncoding) > 0 {
		// After a chunked body nothing else is read from the connection, so that bytes
		// that another parser takes for a part of the body can't become a request.
		w.Header().Set("Connection", "close")
	}
	request, refused := h.admit(view, w, r, arrived)
	if refused != nil {
		h.refuse(w, view, request, refused)
		return
	}
	if len(view.Poisoned) > 0 && view.Poisoned[fingerprint(request)] {
		h.refuse(w, view, request, refusal.New(http.StatusServiceUnavailable, refusal.CodeCrashesUpstreams,
			"the request crashes the upstreams that run it").WithRetryAfter(comeBackLate))
		return
	}
	cost := quotaCost(view.Table, request)
	if refused := h.takeQuota(request, cost); refused != nil {
		h.refuse(w, view, request, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadlineOf(request))
	defer cancel()
	run := &run{
		handler: h, view: view, request: request, ctx: ctx, caller: w, shared: sharedPrefix(request.Parts),
		deadline: deadlineOf(request), excluded: map[string]bool{}, lastEventID: request.LastEventID,
	}
	run.blocks = run.shared.Blocks()
	run.serve()
	if run.sent == 0 {
		h.refund(request, cost)
	}
	run.log()
	if run.cut {
		panic(http.ErrAbortHandler)
	}
}

// fingerprint names a request whatever its id: a caller that sends it again is known by its
// key, the target and the body.
func fingerprint(request *Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Key, request.Method, request.Host, request.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\n")
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// deadlineOf returns when the final answer is due: when the caller stops waiting or the
// route's timeout ends, whichever is first.
func deadlineOf(request *Request) time.Time {
	wait := request.CallerTimeout
	if timeout := request.Route.Timeout; timeout > 0 && (wait == 0 || timeout < wait) {
		wait = timeout
	}
	if wait == 0 {
		wait = defaultWait
	}
	return request.ArrivedAt.Add(wait)
}

// admit decodes the request, finds its route and its workspace and reads its body.
func (h *Handler) admit(view *View, w http.ResponseWriter, r *http.Request, arrived time.Time) (*Request, *refusal.Refusal) {
	if view.Table == nil {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeNoConfiguration,
			"this node has no configuration yet").WithRetryAfter(comeBackSoon)
	}
	limits := view.Table.Config.Limits
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		return nil, refusal.New(http.StatusRequestHeaderFieldsTooLarge, refusal.CodeInvalidField, "the headers are too large")
	}
	request, err := h.Adapter.Decode(r)
	if err != nil {
		return nil, refusal.New(http.StatusBadRequest, refusal.CodeInvalidField, "%v", err)
	}
	request.ArrivedAt, request.ConfigVersion = arrived, view.Table.Config.Version
	if view.RefusingRequests {
		return request, refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining, "this node is stopping").WithRetryAfter(comeBackNow)
	}
	if refused := authorise(view.Table, request); refused != nil {
		if view.ConfigUnconfirmed {
			refused = unconfirmed(refused)
		}
		return request, refused
	}
	return request, h.readBody(view.Table, request, w, r)
}

// unconfirmed replaces a refusal that no caller asks again after: a configuration that this
// node has not read yet may hold the route or the key.
func unconfirmed(denial *refusal.Refusal) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeUnconfirmed,
		"%s in a configuration that may be outdated", denial.Message).WithRetryAfter(comeBackSoon)
}

// authorise finds the route of the request and the workspace of its key.
func authorise(table *catalog.Table, request *Request) *refusal.Refusal {
	request.Route = table.Route(request.Host, request.Path)
	if request.Route == nil {
		return refusal.New(http.StatusNotFound, refusal.CodeNotFound, "no route for %s%s", request.Host, request.Path)
	}
	request.Priority = request.Route.Priority
	if request.Route.Public || !table.RequiresKeys() {
		return nil
	}
	workspace := table.WorkspaceByKey(request.Key)
	if request.Key == "" || workspace == nil {
		return refusal.New(http.StatusUnauthorized, refusal.CodeInvalidKey, "the key is not known")
	}
	request.Workspace = workspace.Name
	return nil
}

// headerBytes estimates the size of a request's head as it was sent.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// readBody reads the body whole, so that it can be sent again.
func (h *Handler) readBody(table *catalog.Table, request *Request, w http.ResponseWriter, r *http.Request) *refusal.Refusal {
	limit := table.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.CodeBodyTooLarge, "the body is over %d bytes", limit)
	}
	reserve := max(r.ContentLength, 0)
	if h.buffered.Add(reserve) > maxBufferedBytes {
		h.buffered.Add(-reserve)
		w.Header().Set("Connection", "close")
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded,
			"bodies of other requests fill the memory").WithRetryAfter(comeBackSoon)
	}
	defer h.buffered.Add(-reserve)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		request.Body = body
		return nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(http.StatusRequestEntityTooLarge, refusal.CodeBodyTooLarge, "the body is over %d bytes", limit)
	}
	return refusal.New(http.StatusBadRequest, refusal.CodeInvalidField, "the body ended early").WithCause("read the body", "", err)
}

// quotaCost returns what a request takes out of its workspace's quota.
func quotaCost(table *catalog.Table, request *Request) float64 {
	workspace := table.WorkspaceByKey(request.Key)
	switch {
	case workspace == nil || !workspace.CountsTokens:
		return 1
	case request.DeclaresTokens:
		return float64(request.PromptTokens + request.AnswerTokens)
	default:
		return workspace.DefaultTokens
	}
}

func (h *Handler) takeQuota(request *Request, cost float64) *refusal.Refusal {
	if request.Workspace == "" {
		return nil
	}
	h.LedgerLock.Lock()
	decision := h.Ledger.Admit(request.Workspace, cost, h.MonotonicNow())
	h.LedgerLock.Unlock()
	if decision.Admitted {
		return nil
	}
	return refusal.New(http.StatusTooManyRequests, refusal.CodeWorkspaceLimit,
		"workspace %s is over its quota", request.Workspace).WithRetryAfter(decision.RetryAfter)
}

func (h *Handler) refund(request *Request, cost float64) {
	if request.Workspace == "" {
		return
	}
	h.LedgerLock.Lock()
	defer h.LedgerLock.Unlock()
	h.Ledger.Refund(request.Workspace, cost)
}

// countRequest pays a share of a further attempt at the service.
func (h *Handler) countRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget(service).RecordRequest(time.Now())
}

// mayRetry takes a further attempt at the service from the budget.
func (h *Handler) mayRetry(service string, burst float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget(service).TakeRetry(time.Now(), burst)
}

func (h *Handler) budget(service string) *retry.WindowBudget {
	known := h.budgets[service]
	if known == nil {
		known = retry.NewWindowBudget(h.RetryRatio, h.RetryWindow)
		h.budgets[service] = known
	}
	return known
}

// answerRefusal sends a refusal and counts it.
func (h *Handler) answerRefusal(w http.ResponseWriter, id string, refused *refusal.Refusal) {
	if refused.RetryAfter > 0 {
		h.Adapter.SetRetryAfter(w.Header(), refused.RetryAfter)
	}
	refused.WriteAnswer(w, id)
	h.Metrics.refusals.WithLabelValues(strconv.Itoa(refused.Status), string(refused.Code)).Inc()
}

// refuse answers a request that no upstream is asked for, and logs it.
func (h *Handler) refuse(w http.ResponseWriter, view *View, request *Request, refused *refusal.Refusal) {
	id := ""
	if request != nil {
		id = request.ID
	}
	h.answerRefusal(w, id, refused)
	if request != nil && request.Route != nil {
		h.Metrics.requests.WithLabelValues(request.Route.Kind.String(), "refused").Inc()
	}
	event := h.Logger.Info().Str("request", id).Int("status", refused.Status).Str("code", string(refused.Code)).
		Str("ran", string(refused.Ran)).Dur("retry_after", refused.RetryAfter)
	if request != nil {
		event = event.Str("workspace", request.Workspace).Int64("config_version", request.ConfigVersion).
			Dur("view_age_ms", request.ArrivedAt.Sub(view.PublishedAt))
		if request.Route != nil {
			event = event.Str("route", request.Route.Name)
		}
	}
	event.AnErr("error", refused.Err).Msg("request refused: " + refused.Message)
}
