package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// tokenBurstSeconds is the burst of the token limit, in seconds of its rate.
	tokenBurstSeconds = 10.0
	// concurrencyRetryAfter is the retry delay of a request above the concurrency limit.
	concurrencyRetryAfter = time.Second
)

// Limits are the limits of one workspace over all nodes; 0 means no limit.
type Limits struct {
	// RequestsPerSecond bounds the rate.
	RequestsPerSecond float64
	// Burst is the number of requests accepted at once; 0 means one second's worth.
	Burst int
	// Concurrency bounds the number of requests in flight.
	Concurrency int
	// TokensPerSecond bounds the rate of prompt and answer tokens.
	TokensPerSecond float64
}

// WorkspaceLimiter enforces this node's share of the limits of each workspace, which is the
// limit divided by the number of live nodes. Nodes do not coordinate.
type WorkspaceLimiter struct {
	nodes   int
	entries map[string]*workspaceState
}

// workspaceState holds the limits of one workspace and their use at this node.
type workspaceState struct {
	limits   Limits
	inFlight int
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// NewWorkspaceLimiter returns a limiter without limits.
func NewWorkspaceLimiter() *WorkspaceLimiter {
	return &WorkspaceLimiter{nodes: 1, entries: map[string]*workspaceState{}}
}

// Configure sets the limits and the number of live nodes, including this one. Previous
// use still counts.
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
			entry = &workspaceState{}
			w.entries[name] = entry
		}
		entry.limits = limit
		entry.requests = adjustLimiter(entry.requests, now, w.nodeShare(limit.RequestsPerSecond), w.nodeBurst(limit))
		tokens := w.nodeShare(limit.TokensPerSecond)
		entry.tokens = adjustLimiter(entry.tokens, now, tokens, max(1, int(math.Ceil(tokens*tokenBurstSeconds))))
	}
}

// Acquire admits or refuses a request of a workspace that is expected to need the given
// number of tokens. Each request with the verdict Run must call Release at its end.
func (w *WorkspaceLimiter) Acquire(now time.Time, name string, tokens int) Decision {
	entry := w.entries[name]
	if entry == nil {
		return Decision{Verdict: Run}
	}
	if bound := entry.limits.Concurrency; bound > 0 && entry.inFlight >= ceilShare(bound, w.nodes) {
		return Decision{Verdict: RefuseWorkspace, RetryAfter: concurrencyRetryAfter}
	}
	requestReservation, wait := tryTake(entry.requests, now, 1)
	if wait > 0 {
		return Decision{Verdict: RefuseWorkspace, RetryAfter: wait}
	}
	if _, wait = tryTake(entry.tokens, now, tokens); wait > 0 {
		if requestReservation != nil {
			requestReservation.CancelAt(now)
		}
		return Decision{Verdict: RefuseWorkspace, RetryAfter: wait}
	}
	entry.inFlight++
	return Decision{Verdict: Run}
}

// Release ends a request that Acquire admitted.
func (w *WorkspaceLimiter) Release(name string) {
	if entry := w.entries[name]; entry != nil && entry.inFlight > 0 {
		entry.inFlight--
	}
}

// tryTake takes n tokens, at most the burst, from a bucket. When there are not enough it
// takes nothing and returns how long to wait.
func tryTake(bucket *rate.Limiter, now time.Time, n int) (*rate.Reservation, time.Duration) {
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

// adjustLimiter returns the bucket with a new rate and burst; nil when there is no limit.
func adjustLimiter(bucket *rate.Limiter, now time.Time, perSecond float64, burst int) *rate.Limiter {
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

func (w *WorkspaceLimiter) nodeShare(total float64) float64 { return total / float64(w.nodes) }

func (w *WorkspaceLimiter) nodeBurst(limit Limits) int {
	if limit.Burst > 0 {
		return ceilShare(limit.Burst, w.nodes)
	}
	return max(1, int(math.Ceil(w.nodeShare(limit.RequestsPerSecond))))
}

// ceilShare divides an integer limit between nodes; each gets at least 1.
func ceilShare(total, nodes int) int { return (total + nodes - 1) / nodes }
