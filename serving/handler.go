package serving

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/memory"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/quota"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/relay"
	"github.com/persimmonline/persimmonline/retry"
)

const (
	// defaultTimeout applies to a request if neither its caller nor its route sets a timeout.
	defaultTimeout = 60 * time.Second
	// retryAfterSoon is sent to callers of a node without a configuration or an upstream.
	retryAfterSoon = 300 * time.Millisecond
	// retryAfterOtherNode is sent to callers whom other nodes can serve at once.
	retryAfterOtherNode = 20 * time.Millisecond
	// retryAfterCrashes is sent to callers whose request crashes upstreams.
	retryAfterCrashes = 10 * time.Second
	// successLogRate limits the log lines per second of successful requests; those of failures
	// and refusals are limited only by the output's buffer.
	successLogRate = 200
	// noticeErrorLogRate limits the log lines per second of notices that can't be parsed.
	noticeErrorLogRate = 1
)

// Settings configures a Handler.
type Settings struct {
	// Adapter of the protocol of callers and upstreams.
	Adapter Adapter
	// CurrentView returns the current view.
	CurrentView func() *View
	// Pool of connections to upstreams.
	Pool *relay.Pool
	// Ledger of the workspaces' quotas; the handler holds LedgerLock while it uses it.
	Ledger *quota.Ledger
	// LedgerLock guards Ledger.
	LedgerLock *sync.Mutex
	// MonotonicNow is the clock of Ledger and of the retry budget; it includes the time for which the host is suspended.
	MonotonicNow func() time.Time
	// Successes records when requests with a trait last completed.
	Successes *quarantine.Successes
	// Events receives the observations of the serving path.
	Events Events
	// RetryRatio and RetryWindow configure the retry budget.
	RetryRatio  float64
	RetryWindow time.Duration
	// HedgeShare bounds the extra work of second attempts, as a share of all work; 0 means none.
	HedgeShare float64
	// Mover moves runs from engines that leave; nil if runs end with their engine.
	Mover RunMover
	// Logger for decisions about requests.
	Logger zerolog.Logger
	// Metrics of requests and attempts.
	Metrics *Metrics
	// Memory is the account of what callers and upstreams make the process hold; nil for one of its own.
	Memory *memory.Account
}

// Handler serves callers' requests.
type Handler struct {
	Settings

	hedges  *hedges
	carrier *carrier
	// lifetime is done once requests under way are to end.
	lifetime context.Context
	endAll   context.CancelFunc
	inFlight atomic.Int64
	random   atomic.Uint64

	// successLogLimiter limits the log lines of successful requests.
	successLogLimiter *rate.Limiter
	// noticeErrorLogLimiter limits the log lines of notices that can't be parsed.
	noticeErrorLogLimiter *rate.Limiter

	// rollouts counts the answers of old and new versions.
	rollouts *rolloutCounts

	mu      sync.Mutex
	budgets map[string]*retry.WindowBudget

	waiting waitingPlaces
	recent  *recentDecisions
}

// New returns a handler.
func New(settings Settings) *Handler {
	if settings.Memory == nil {
		settings.Memory = memory.New(defaultMemory)
	}
	h := &Handler{
		Settings: settings, budgets: map[string]*retry.WindowBudget{}, rollouts: newRolloutCounts(settings.Metrics), hedges: newHedges(settings),
		waiting:               waitingPlaces{byService: map[string]*waitingPlace{}},
		successLogLimiter:     rate.NewLimiter(successLogRate, successLogRate),
		noticeErrorLogLimiter: rate.NewLimiter(noticeErrorLogRate, 1),
	}
	h.lifetime, h.endAll = context.WithCancel(context.Background())
	h.recent = newRecentDecisions(settings.Memory)
	h.carrier = newCarrier(h)
	h.random.Store(uint64(time.Now().UnixNano()))
	return h
}

// weylStep is the increment of a Weyl sequence, which visits all numbers.
const weylStep = 0x9e3779b97f4a7c15

// nextRandom returns the next pseudo-random number for routing choices.
func (h *Handler) nextRandom() uint64 { return h.random.Add(weylStep) }

// InFlight returns the number of requests under way.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// EndRequests ends the requests under way, each with a refusal that says whether it may have run; a stream of which
// the caller has a part breaks off.
func (h *Handler) EndRequests() { h.endAll() }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	arrived := time.Now()
	view := h.CurrentView()
	h.Metrics.viewAge.Observe(arrived.Sub(view.PublishedAt).Seconds())
	if view.Draining || len(r.TransferEncoding) > 0 {
		// The connection is closed after a chunked body, so that bytes which another parser
		// treats as part of the body can't become a request (request smuggling).
		w.Header().Set("Connection", "close")
	}
	request, refused := h.admit(view, w, r, arrived)
	if request != nil && request.memory != nil {
		defer request.memory.Release()
	}
	if refused != nil {
		closeUnread(w, r, request)
		h.refuse(w, view, request, refused)
		return
	}
	traits := traitsOf(request)
	trial, allowed := h.checkTraits(view, traits)
	if !allowed {
		h.refuse(w, view, request, crashRefusal())
		return
	}
	cost := quotaCost(view.Table, request)
	if refused := h.chargeQuota(request, cost); refused != nil {
		h.refuse(w, view, request, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadlineOf(request))
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(h.lifetime, func() { end(errNodeStops) })()
	run := &requestRun{
		handler: h, view: view, request: request, ctx: ctx, caller: w, shared: sharedPrefix(request.Parts),
		traits: traits, trial: trial, deadline: deadlineOf(request), excluded: map[string]bool{}, lastEventID: request.LastEventID,
	}
	run.blocks = run.shared.Blocks()
	for _, list := range view.CacheLists {
		list.learn(view.Fleet.Prefixes, run.shared, request.Parts)
	}
	run.serve()
	if run.possibleRuns == 0 {
		h.refund(request, cost)
	}
	run.keepDecision()
	run.logResult()
	if run.abortConnection {
		panic(http.ErrAbortHandler)
	}
}

// deadlineOf returns when the final response is due: at the caller's or the route's timeout,
// whichever is earlier.
func deadlineOf(request *Request) time.Time {
	wait := request.CallerTimeout
	if timeout := request.Route.Timeout; timeout > 0 && (wait == 0 || timeout < wait) {
		wait = timeout
	}
	if wait == 0 {
		wait = defaultTimeout
	}
	return request.ArrivedAt.Add(wait)
}

// admit decodes the request, looks up its route and workspace, and reads its body.
func (h *Handler) admit(view *View, w http.ResponseWriter, r *http.Request, arrived time.Time) (*Request, *refusal.Refusal) {
	if view.Table == nil {
		return nil, noConfiguration()
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
		return request, stoppingRefusal()
	}
	if refused := authorise(view.Table, request); refused != nil {
		if view.ConfigUnconfirmed {
			refused = unconfirmedRefusal(refused)
		}
		return request, refused
	}
	if refused := h.reserveRequest(request, r); refused != nil {
		return request, refused
	}
	if refused := h.readBody(view.Table, request, w, r); refused != nil {
		return request, refused
	}
	if h.CurrentView().RefusingRequests {
		// The body came so slowly that the node has begun to refuse requests.
		return request, stoppingRefusal()
	}
	return request, nil
}

func stoppingRefusal() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining, "this node is stopping").WithRetryAfter(retryAfterOtherNode)
}

func noConfiguration() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeNoConfiguration,
		"this node has no configuration yet").WithRetryAfter(retryAfterSoon)
}

// unconfirmedRefusal replaces a permanent refusal by one that may be retried, since a configuration
// that this node has not read yet may contain the route or the key.
func unconfirmedRefusal(denial *refusal.Refusal) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeUnconfirmed,
		"%s in a configuration that may be outdated", denial.Message).WithRetryAfter(retryAfterSoon)
}

// authorise looks up the route of the request and the workspace of its key.
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

// headerBytes estimates the size of a request's headers as sent.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// quotaCost returns the amount that a request consumes of its workspace's quota.
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

func (h *Handler) chargeQuota(request *Request, cost float64) *refusal.Refusal {
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

// countRequest adds a request to the retry budget of the service.
func (h *Handler) countRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget(service).RecordRequest(h.MonotonicNow())
}

// takeRetry takes a retry from the budget of the service, and reports whether there was one.
func (h *Handler) takeRetry(service string, burst float64) bool {
	h.mu.Lock()
	granted := h.budget(service).TakeRetry(h.MonotonicNow(), burst)
	h.mu.Unlock()
	result := "granted"
	if !granted {
		result = "denied"
	}
	h.Metrics.retries.WithLabelValues(service, result).Inc()
	return granted
}

func (h *Handler) budget(service string) *retry.WindowBudget {
	known := h.budgets[service]
	if known == nil {
		known = retry.NewWindowBudget(h.RetryRatio, h.RetryWindow)
		h.budgets[service] = known
	}
	return known
}

// writeRefusal sends a refusal and counts it.
func (h *Handler) writeRefusal(w http.ResponseWriter, id string, refused *refusal.Refusal) {
	if refused.RetryAfter > 0 {
		h.Adapter.SetRetryAfter(w.Header(), refused.RetryAfter)
	}
	refused.WriteAnswer(w, id)
	h.Metrics.refusals.WithLabelValues(strconv.Itoa(refused.Status), string(refused.Code)).Inc()
}

// maxLogged bounds the bytes of a caller's text in a log line.
const maxLogged = 128

// logged returns the part of a caller's text that goes into a log line.
func logged(text string) string { return text[:min(len(text), maxLogged)] }

// refuse sends and logs the refusal of a request that is sent to no upstream.
func (h *Handler) refuse(w http.ResponseWriter, view *View, request *Request, refused *refusal.Refusal) {
	id := ""
	if request != nil {
		id = request.ID
		h.keepRefusal(request, refused)
	}
	h.writeRefusal(w, id, refused)
	if request != nil && request.Route != nil {
		h.Metrics.requests.WithLabelValues(request.Route.Kind.String(), "refused").Inc()
	}
	event := h.Logger.Info().Str("request", logged(id)).Int("status", refused.Status).Str("code", string(refused.Code)).
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
