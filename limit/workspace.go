package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// tokenBurst is how much of the token budget may be used at once, in seconds of it.
	tokenBurst = 10.0
	// concurrencyRetry is when to come back after the bound of requests in flight.
	concurrencyRetry = time.Second
)

// Limits of one workspace over all nodes; 0 means no bound.
type Limits struct {
	// RequestsPerSecond bounds the rate.
	RequestsPerSecond float64
	// Burst is the number of requests accepted at once; 0 means one second's worth.
	Burst int
	// Concurrency bounds the requests in flight.
	Concurrency int
	// TokensPerSecond bounds prompt and answer tokens.
	TokensPerSecond float64
}

// WorkspaceLimiter holds each workspace to this node's share of its limits: the limit
// divided by the number of live nodes. No node asks another.
type WorkspaceLimiter struct {
	nodes   int
	entries map[string]*workspace
}

// workspace is one workspace at this node.
type workspace struct {
	limits   Limits
	inFlight int
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// NewWorkspaceLimiter returns a table without limits.
func NewWorkspaceLimiter() *WorkspaceLimiter {
	return &WorkspaceLimiter{nodes: 1, entries: map[string]*workspace{}}
}

// Configure sets the limits and the number of live nodes, this one included. What
// was used before still counts.
func (w *WorkspaceLimiter) Configure(now time.Time, limits map[string]Limits, nodes int) {
	w.nodes = max(1, nodes)
	for name := range w.entries {
		if _, known := limits[name]; !known {
			delete(w.entries, name)
		}
	}
	for name, limit := range limits {
		entry := w.entries[name]
		if entry == nil {
			entry = &workspace{}
			w.entries[name] = entry
		}
		entry.limits = limit
		entry.requests = adjusted(entry.requests, now, w.share(limit.RequestsPerSecond), w.burst(limit))
		tokens := w.share(limit.TokensPerSecond)
		entry.tokens = adjusted(entry.tokens, now, tokens, max(1, int(math.Ceil(tokens*tokenBurst))))
	}
}

// Acquire decides about a request of a workspace, with the tokens that it is expected
// to need. A request that gets Run must Leave.
func (w *WorkspaceLimiter) Acquire(now time.Time, name string, tokens int) Decision {
	entry := w.entries[name]
	if entry == nil {
		return Decision{Verdict: Run}
	}
	if bound := entry.limits.Concurrency; bound > 0 && entry.inFlight >= ceilShare(bound, w.nodes) {
		return Decision{Verdict: RefuseWorkspace, RetryAfter: concurrencyRetry}
	}
	request, wait := take(entry.requests, now, 1)
	if wait > 0 {
		return Decision{Verdict: RefuseWorkspace, RetryAfter: wait}
	}
	if _, wait = take(entry.tokens, now, tokens); wait > 0 {
		if request != nil {
			request.CancelAt(now)
		}
		return Decision{Verdict: RefuseWorkspace, RetryAfter: wait}
	}
	entry.inFlight++
	return Decision{Verdict: Run}
}

// Release ends a request that entered.
func (w *WorkspaceLimiter) Release(name string) {
	if entry := w.entries[name]; entry != nil && entry.inFlight > 0 {
		entry.inFlight--
	}
}

// take takes n from a bucket, at most all that it can hold; it returns how long to
// wait when there is not enough, and then takes nothing.
func take(bucket *rate.Limiter, now time.Time, n int) (*rate.Reservation, time.Duration) {
	if bucket == nil {
		return nil, 0
	}
	reservation := bucket.ReserveN(now, min(n, bucket.Burst()))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return reservation, wait
}

// adjusted returns the bucket with a new rate and burst; nil when there is no bound.
func adjusted(bucket *rate.Limiter, now time.Time, perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	if bucket == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	bucket.SetLimitAt(now, rate.Limit(perSecond))
	bucket.SetBurstAt(now, burst)
	return bucket
}

func (w *WorkspaceLimiter) share(total float64) float64 { return total / float64(w.nodes) }

func (w *WorkspaceLimiter) burst(limit Limits) int {
	if limit.Burst > 0 {
		return ceilShare(limit.Burst, w.nodes)
	}
	return max(1, int(math.Ceil(w.share(limit.RequestsPerSecond))))
}

// ceilShare divides a whole bound between nodes; each gets 1 at least.
func ceilShare(total, nodes int) int { return (total + nodes - 1) / nodes }
