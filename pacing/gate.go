package pacing

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// trialRate is the rate, in requests a second of all nodes, at which an upstream is asked
	// whose limit is lower: only an answer can tell that the limit is over.
	trialRate = 0.25
	// saving is the time for which an unused share of a limit is kept.
	saving = time.Second
	// liftTold is how long other nodes are told that a limit is over.
	liftTold = 5 * time.Second
	// LeavingGracePeriod is how long an upstream that leaves still gets work that no other can take; it
	// lies well inside the platform's bound of 2 s.
	LeavingGracePeriod = 800 * time.Millisecond
	// longestWait bounds the time that is told until an upstream takes a request.
	longestWait = 10 * time.Second
)

// State says whether an upstream takes a request of this node.
type State int

const (
	// Available upstreams take one.
	Available State = iota
	// LastResort upstreams leave, and take one that no other can take.
	LastResort
	// Throttled upstreams take none now.
	Throttled
	// Departed upstreams take none any more.
	Departed
)

// Gate decides whether a request may be sent to one incarnation of an upstream, by what the
// upstream says of itself. Of a nil Gate nothing is known. Traffic goroutines share it.
type Gate struct {
	// restricted says that mu must be taken to decide, noticed that the upstream has ever said
	// something of itself.
	restricted, noticed atomic.Bool

	mu    sync.Mutex
	limit Limit
	// newsAt is when the limit last changed.
	newsAt time.Time
	// share is this node's part of the limit. level is the number of requests that it may
	// send at once, as of levelAt.
	share, level float64
	levelAt      time.Time
	// leavingAt is when an answer first said that the upstream leaves; zero if none did.
	leavingAt time.Time
	// pausedUntil is when this node may send again to an upstream that asked it not to.
	pausedUntil time.Time
	// promised is the time up to which requests to come are promised to refused callers.
	promised time.Time
}

// ApplyNotice takes what an answer says that came at a time, to a request that was sent at another.
// It returns whether that is news.
func (g *Gate) ApplyNotice(notice Notice, sentAt, now time.Time) bool {
	if g == nil || (!g.restricted.Load() && notice == Notice{}) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	news := false
	if notice.Leaving && g.leavingAt.IsZero() {
		g.leavingAt, news = now, true
	}
	if until := now.Add(notice.Pause); notice.Pause > 0 && until.After(g.pausedUntil) {
		news = news || !now.Before(g.pausedUntil)
		g.pausedUntil = until
	}
	news = g.hearLimit(notice, sentAt, now) || news
	g.noticed.Store(true)
	g.restrict(now)
	return news
}

// restrict notes whether anything restricts what may be sent.
func (g *Gate) restrict(now time.Time) {
	g.restricted.Store(g.limit.Limited || !g.leavingAt.IsZero() || now.Before(g.pausedUntil))
}

func (g *Gate) hearLimit(notice Notice, sentAt, now time.Time) bool {
	if notice.Unparsable {
		return false
	}
	// An answer without a limit may have been made before the upstream named it, unless it
	// answers a request that was sent later.
	if g.limit.Limited && !notice.Limited && !sentAt.After(g.limit.At) {
		return false
	}
	return g.set(Limit{Limited: notice.Limited, Rate: notice.Rate, At: now}, now)
}

// ApplyPeerLimit takes what another node has heard, and returns whether that is news. What is told again
// is not newer for that.
func (g *Gate) ApplyPeerLimit(limit Limit, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit.same(g.limit) || !limit.At.After(g.limit.At) {
		return false
	}
	g.noticed.Store(true)
	defer g.restrict(now)
	return g.set(limit, now)
}

// set takes a limit. A node that has just heard of one has saved nothing of it.
func (g *Gate) set(limit Limit, now time.Time) bool {
	news := !limit.same(g.limit)
	if news {
		g.refill(now)
		g.newsAt = now
	}
	if !g.limit.Limited {
		g.share, g.level, g.levelAt, g.promised = 0, 0, now, now
	}
	g.limit = limit
	g.level = min(g.level, g.most())
	return news
}

// HasReported says whether the upstream has ever said something of itself.
func (g *Gate) HasReported() bool { return g.noticed.Load() }

// SetShare sets this node's part of the limit, between 0 and 1, and returns whether that changes it.
func (g *Gate) SetShare(share float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refill(now)
	changed := g.share != share
	g.share = share
	g.level = min(g.level, g.most())
	return changed
}

// rate returns the requests a second that this node may send.
func (g *Gate) rate() float64 { return g.share * max(g.limit.Rate, trialRate) }

// most returns the most requests that this node may send at once.
func (g *Gate) most() float64 {
	if g.share == 0 {
		return 0
	}
	return max(1, g.rate()*saving.Seconds())
}

func (g *Gate) refill(now time.Time) {
	if passed := now.Sub(g.levelAt).Seconds(); passed > 0 {
		g.level = min(g.level+passed*g.rate(), g.most())
		g.levelAt = now
	}
}

// State says whether a request may be sent now.
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
		if g.refill(now); g.level < 1 {
			return Throttled
		}
	}
	if !g.leavingAt.IsZero() {
		return LastResort
	}
	return Available
}

// Leaving says whether an answer said that the upstream leaves.
func (g *Gate) Leaving() bool {
	if !g.restricted.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leavingAt.IsZero()
}

// Take counts a request that is sent now; it returns false if it may not be sent.
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
		g.level--
	}
	return true
}

// Reserve counts a request that is sent after a wait of at most so long, and returns the wait;
// ok is false if it would be longer. Those that reserve first are sent first.
func (g *Gate) Reserve(now time.Time, most time.Duration) (wait time.Duration, ok bool) {
	if g.Take(now) {
		return 0, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state(now) == Departed {
		return 0, false
	}
	if wait = g.wait(now); wait > most || g.rate() <= 0 {
		return 0, false
	}
	g.level--
	return wait, true
}

// ReservationValid says whether a request that was reserved may be sent now that its wait is over.
func (g *Gate) ReservationValid(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !now.Before(g.pausedUntil) && g.state(now) != Departed
}

// Refund takes back a request that was counted and not sent.
func (g *Gate) Refund() {
	if g == nil || !g.restricted.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.level = min(g.level+1, g.most())
}

// Wait returns how long it takes until the next request may be sent.
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
	if g.refill(now); !g.limit.Limited || g.level >= 1 {
		return min(longestWait, pause)
	}
	rate := g.rate()
	if rate <= 0 {
		return longestWait
	}
	return min(longestWait, max(pause, time.Duration((1-g.level)/rate*float64(time.Second))))
}

// RetryAfter returns when a refused caller should ask again. Each is promised a request of its
// own, so that they return at the pace at which the upstream takes them. ok is false if this
// node has no part of the limit, or is asked for a pause, so that another node may do better.
func (g *Gate) RetryAfter(now time.Time) (wait time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if (g.limit.Limited && g.share == 0) || now.Before(g.pausedUntil) {
		return 0, false
	}
	wait = max(g.wait(now), g.promised.Sub(now))
	if rate := g.rate(); rate > 0 {
		next := wait + time.Duration(min(longestWait.Seconds(), 1/rate)*float64(time.Second))
		g.promised = now.Add(min(longestWait, next))
	}
	return min(longestWait, wait), true
}

// Limit returns the limit that the upstream named last.
func (g *Gate) Limit() Limit {
	if g == nil || !g.restricted.Load() {
		return Limit{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// LimitUpdate returns the limit that other nodes are told of and when it changed last; ok is false if
// there is nothing to tell.
func (g *Gate) LimitUpdate(now time.Time) (limit Limit, changed time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit, g.newsAt, g.limit.Limited || (!g.newsAt.IsZero() && now.Sub(g.newsAt) < liftTold)
}
