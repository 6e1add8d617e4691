package pacing

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// probeRequestsPerSecond is the rate, over all nodes, at which an upstream with a lower
	// limit is probed: only an answer can show that the limit has been lifted.
	probeRequestsPerSecond = 0.25
	// burstWindow is the time over which an unused share of a limit accumulates.
	burstWindow = time.Second
	// liftAnnounceTime is how long the end of a limit is announced to other nodes.
	liftAnnounceTime = 5 * time.Second
	// LeavingGracePeriod is how long a leaving upstream still gets work that no other can
	// take. It is well below the platform's limit of 2 s.
	LeavingGracePeriod = 800 * time.Millisecond
	// maxWaitTime bounds the reported time until an upstream accepts a request.
	maxWaitTime = 10 * time.Second
)

// State describes whether an upstream accepts requests of this node.
type State int

const (
	// Available upstreams accept requests.
	Available State = iota
	// LastResort upstreams are leaving and accept requests that no other can take.
	LastResort
	// Throttled upstreams accept no requests now.
	Throttled
	// Departed upstreams accept no more requests.
	Departed
)

// Gate decides whether a request may be sent to one incarnation of an upstream, based on the
// notices in the upstream's answers. A nil Gate has no restrictions. It is safe for
// concurrent use.
type Gate struct {
	// restricted is set while a decision needs mu, reported once the upstream has sent any
	// notice.
	restricted, reported atomic.Bool

	mu    sync.Mutex
	limit Limit
	// limitChangedAt is when the limit last changed.
	limitChangedAt time.Time
	// share is this node's part of the limit. tokens is the number of requests that it may
	// send at once, as of refilledAt.
	share, tokens float64
	refilledAt    time.Time
	// leavingAt is when an answer first announced that the upstream leaves; zero if none did.
	leavingAt time.Time
	// pausedUntil is the end of the pause that the upstream asked this node for.
	pausedUntil time.Time
	// reservedUntil is the time up to which the limit is reserved for retries of refused
	// callers.
	reservedUntil time.Time
}

// ApplyNotice applies the notice of an answer that was received now, to a request that was
// sent at sentAt. It reports whether the notice changes the restrictions; the extension
// of a current pause does not count.
func (g *Gate) ApplyNotice(notice Notice, sentAt, now time.Time) bool {
	if g == nil || (!g.restricted.Load() && notice == Notice{}) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	if notice.Leaving && g.leavingAt.IsZero() {
		g.leavingAt, changed = now, true
	}
	if until := now.Add(notice.Pause); notice.Pause > 0 && until.After(g.pausedUntil) {
		changed = changed || !now.Before(g.pausedUntil)
		g.pausedUntil = until
	}
	changed = g.applyLimit(notice, sentAt, now) || changed
	g.reported.Store(true)
	g.updateRestricted(now)
	return changed
}

// Restricted reports whether a limit, a pause or a departure of the upstream is known.
func (g *Gate) Restricted() bool { return g != nil && g.restricted.Load() }

// updateRestricted updates the flag that lets unrestricted gates skip the lock.
func (g *Gate) updateRestricted(now time.Time) {
	g.restricted.Store(g.limit.Limited || !g.leavingAt.IsZero() || now.Before(g.pausedUntil))
}

func (g *Gate) applyLimit(notice Notice, sentAt, now time.Time) bool {
	if notice.Unparsable {
		return false
	}
	// An answer without a limit may predate the limit, unless its request was sent after the
	// limit was received.
	if g.limit.Limited && !notice.Limited && !sentAt.After(g.limit.At) {
		return false
	}
	return g.setLimit(Limit{Limited: notice.Limited, Rate: notice.Rate, At: now}, now)
}

// ApplyPeerLimit applies a limit that another node has received. It reports whether the limit
// changes. A limit that is repeated keeps its time.
func (g *Gate) ApplyPeerLimit(limit Limit, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit.same(g.limit) || !limit.At.After(g.limit.At) {
		return false
	}
	g.reported.Store(true)
	defer g.updateRestricted(now)
	return g.setLimit(limit, now)
}

// setLimit applies a limit. The bucket starts empty when the upstream had no limit before.
func (g *Gate) setLimit(limit Limit, now time.Time) bool {
	changed := !limit.same(g.limit)
	if changed {
		g.refill(now)
		g.limitChangedAt = now
	}
	if !g.limit.Limited {
		g.share, g.tokens, g.refilledAt, g.reservedUntil = 0, 0, now, now
	}
	g.limit = limit
	g.tokens = min(g.tokens, g.burst())
	return changed
}

// HasReported reports whether the upstream has ever sent a notice.
func (g *Gate) HasReported() bool { return g.reported.Load() }

// SetShare sets this node's part of the limit, between 0 and 1. It reports whether the part
// changes.
func (g *Gate) SetShare(share float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refill(now)
	changed := g.share != share
	g.share = share
	g.tokens = min(g.tokens, g.burst())
	return changed
}

// rate returns the requests per second that this node may send.
func (g *Gate) rate() float64 { return g.share * max(g.limit.Rate, probeRequestsPerSecond) }

// burst returns the maximum number of requests that this node may send at once.
func (g *Gate) burst() float64 {
	if g.share == 0 {
		return 0
	}
	return max(1, g.rate()*burstWindow.Seconds())
}

func (g *Gate) refill(now time.Time) {
	if passed := now.Sub(g.refilledAt).Seconds(); passed > 0 {
		g.tokens = min(g.tokens+passed*g.rate(), g.burst())
		g.refilledAt = now
	}
}

// State returns whether a request may be sent now.
func (g *Gate) State(now time.Time) State {
	if g == nil || !g.restricted.Load() {
		return Available
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state(now)
}

func (g *Gate) state(now time.Time) State {
	if !g.leavingAt.IsZero() && now.Sub(g.leavingAt) >= LeavingGracePeriod {
		return Departed
	}
	if now.Before(g.pausedUntil) {
		return Throttled
	}
	if g.limit.Limited {
		if g.refill(now); g.tokens < 1 {
			return Throttled
		}
	}
	if !g.leavingAt.IsZero() {
		return LastResort
	}
	return Available
}

// Leaving reports whether an answer announced that the upstream leaves.
func (g *Gate) Leaving() bool {
	if !g.restricted.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leavingAt.IsZero()
}

// Take takes a token for a request that is sent now. It returns false if the request may not
// be sent.
func (g *Gate) Take(now time.Time) bool {
	if g == nil || !g.restricted.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if state := g.state(now); state == Throttled || state == Departed {
		return false
	}
	if g.limit.Limited {
		g.tokens--
	}
	return true
}

// Reserve takes a token for a request that is sent after a wait of at most maxDelay, and
// returns the wait; ok is false if the wait would be longer. Reservations are served in order.
func (g *Gate) Reserve(now time.Time, maxDelay time.Duration) (wait time.Duration, ok bool) {
	if g.Take(now) {
		return 0, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state(now) == Departed {
		return 0, false
	}
	if wait = g.wait(now); wait > maxDelay || g.rate() <= 0 {
		return 0, false
	}
	g.tokens--
	return wait, true
}

// ReservationValid reports whether a reserved request may still be sent after its wait.
func (g *Gate) ReservationValid(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !now.Before(g.pausedUntil) && g.state(now) != Departed
}

// Refund returns the token of a request that was not sent.
func (g *Gate) Refund() {
	if g == nil || !g.restricted.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = min(g.tokens+1, g.burst())
}

// Wait returns the time until the next request may be sent.
func (g *Gate) Wait(now time.Time) time.Duration {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.wait(now)
}

func (g *Gate) wait(now time.Time) time.Duration {
	pause := max(0, g.pausedUntil.Sub(now))
	if g.refill(now); !g.limit.Limited || g.tokens >= 1 {
		return min(maxWaitTime, pause)
	}
	rate := g.rate()
	if rate <= 0 {
		return maxWaitTime
	}
	return min(maxWaitTime, max(pause, time.Duration((1-g.tokens)/rate*float64(time.Second))))
}

// RetryAfter returns the delay after which a refused caller should retry. Each caller gets a
// different time, so that callers retry at the rate that the upstream accepts. ok is false if
// this node has no part of the limit or is asked for a pause, since another node may then
// accept the request earlier.
func (g *Gate) RetryAfter(now time.Time) (wait time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if (g.limit.Limited && g.share == 0) || now.Before(g.pausedUntil) {
		return 0, false
	}
	wait = max(g.wait(now), g.reservedUntil.Sub(now))
	if rate := g.rate(); rate > 0 {
		next := wait + time.Duration(min(maxWaitTime.Seconds(), 1/rate)*float64(time.Second))
		g.reservedUntil = now.Add(min(maxWaitTime, next))
	}
	return min(maxWaitTime, wait), true
}

// Limit returns the last limit that the upstream announced.
func (g *Gate) Limit() Limit {
	if g == nil || !g.restricted.Load() {
		return Limit{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// LimitUpdate returns the limit to announce to other nodes and when it last changed; ok is
// false if there is nothing to announce.
func (g *Gate) LimitUpdate(now time.Time) (limit Limit, changed time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit, g.limitChangedAt,
		g.limit.Limited || (!g.limitChangedAt.IsZero() && now.Sub(g.limitChangedAt) < liftAnnounceTime)
}
