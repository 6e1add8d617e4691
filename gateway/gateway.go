// Package gateway implements the request path of a node: it authenticates the caller,
// decodes the request, finds its owner, applies admission control, routes it to an
// upstream and streams the response.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/peer"
	"github.com/persimmonline/persimmonline/refusal"
	"github.com/persimmonline/persimmonline/retry"
	"github.com/persimmonline/persimmonline/telemetry"
	"github.com/persimmonline/persimmonline/upstream"
)

const (
	// journalRetention is how long the journal of a finished exchange stays readable.
	journalRetention = 30 * time.Second
	// detachGrace is how long an exchange continues without a reader.
	detachGrace = 20 * time.Second
	// retryBurst is the burst of the retry budget.
	retryBurst = 20
)

// Options holds the dependencies of a gateway.
type Options struct {
	// Settings of the node.
	Settings api.Settings
	// Incarnation of the process.
	Incarnation string
	// Control is the control state of the node.
	Control *control.Loop
	// Pool of connections to upstreams.
	Pool *upstream.Pool
	// Peers is the client to other nodes.
	Peers *peer.Client
	// Claims of idempotency keys, for calls that must not be repeated.
	Claims *control.Claims
	// Logger of the node.
	Logger zerolog.Logger
	// Metrics of the node.
	Metrics *telemetry.Metrics
}

// Gateway serves the requests of callers.
type Gateway struct {
	Options

	store     *exchange.Store
	admission *admission

	once        *upstream.OnceSender
	operations  *operations
	calls       atomic.Int64
	lifetime    context.Context
	endLifetime context.CancelFunc

	// flights maps request ids to *flight.
	flights sync.Map
	// running maps each running *attempt to its context.
	running  sync.Map
	suspects *suspects
	// draining is set when new requests are routed to other nodes.
	draining atomic.Bool
	// rejectsNewWork is set when no new request may run on this node.
	rejectsNewWork atomic.Bool
	// notHandedOver counts requests that no successor accepted.
	notHandedOver atomic.Int64

	mu       sync.Mutex
	budget   *retry.Budget
	refusals map[refusalKey]int64
}

type refusalKey struct {
	code, ran string
}

// New returns a gateway.
func New(options Options) *Gateway {
	lifetime, endLifetime := context.WithCancel(context.Background())
	return &Gateway{
		Options:     options,
		once:        upstream.NewOnceSender(options.Settings.NodeID),
		operations:  newOperations(options.Settings.NodeID, options.Incarnation, options.Settings.PeerKey),
		lifetime:    lifetime,
		endLifetime: endLifetime,
		store:       exchange.NewStore(journalRetention),
		admission:   newAdmission(options.Settings.MaxStreams),
		budget:      retry.NewBudget(defaultRetryRatio, retryBurst),
		suspects:    newSuspects(),
		refusals:    map[refusalKey]int64{},
	}
}

// Routes returns the routes of the caller listener.
func (g *Gateway) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: g.authenticated(g.chat)},
		{Method: http.MethodGet, Path: "/v1/requests/{id}", Handler: g.authenticated(g.reattach)},
		{Method: http.MethodGet, Path: "/v1/models", Handler: g.authenticated(g.models)},
		{Method: http.MethodPost, Path: "/v1/operations", Handler: g.authenticated(g.createOperation)},
		{Path: "/services/{service}/{path...}", Handler: g.authenticated(g.service)},
	}
}

// PeerRoutes returns the routes of the peer listener.
func (g *Gateway) PeerRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: peer.PathChat, Handler: peer.Authenticate(g.Settings.PeerKey, g.peerChat)},
		{Method: http.MethodPost, Path: peer.PathExchange, Handler: peer.Authenticate(g.Settings.PeerKey, g.peerExchange)},
		{Method: http.MethodPost, Path: peer.PathPrompt, Handler: peer.Authenticate(g.Settings.PeerKey, g.peerPrompt)},
		{Method: http.MethodPost, Path: peer.PathRequests, Handler: peer.Authenticate(g.Settings.PeerKey, g.peerRequest)},
		{Method: http.MethodPost, Path: peer.PathService, Handler: peer.Authenticate(g.Settings.PeerKey, g.peerService)},
		{Method: http.MethodPost, Path: peer.PathHandover, Handler: peer.Authenticate(g.Settings.PeerKey, g.peerHandover)},
	}
}

// Store returns the exchanges of the node.
func (g *Gateway) Store() *exchange.Store { return g.store }

// Refusals returns the number of refused requests by cause.
func (g *Gateway) Refusals() []api.RefusalCount {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make([]api.RefusalCount, 0, len(g.refusals))
	for key, count := range g.refusals {
		counts = append(counts, api.RefusalCount{Code: key.code, Ran: key.ran, Count: count})
	}
	return counts
}

// newRequestID returns a unique request id that encodes its holder and incarnation.
func (g *Gateway) newRequestID(holder, incarnation string) string {
	return holder + "." + incarnation + "." + uuid.NewString()
}

// refuse writes a refusal as the response and counts it.
func (g *Gateway) refuse(w http.ResponseWriter, requestID string, r *refusal.Refusal) {
	g.count(r)
	r.Write(w, requestID)
}

func (g *Gateway) count(r *refusal.Refusal) {
	g.Metrics.Refusals.WithLabelValues(string(r.Code), string(r.Ran)).Inc()
	g.mu.Lock()
	g.refusals[refusalKey{string(r.Code), string(r.Ran)}]++
	g.mu.Unlock()
	event := g.Logger.Info()
	if r.Status >= http.StatusInternalServerError {
		event = g.Logger.Warn()
	}
	event.Str("code", string(r.Code)).Str("ran", string(r.Ran)).Str("step", r.Step).
		Str("peer", r.Peer).AnErr("cause", r.Err).Msg("request refused")
}

// jittered spreads a retry delay over [d/2, 3d/2), so that callers that were refused
// together do not retry together.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d) //nolint:gosec // Spreading load needs no secret randomness.
}
