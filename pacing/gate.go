package pacing

import (
	"sync"
	"time"
)

// Gate keeps what one incarnation of an upstream says of itself. Of a nil Gate nothing is known.
type Gate struct {
	mu    sync.Mutex
	limit Limit
	// leavingAt is when an answer first said that the upstream leaves.
	leavingAt time.Time
	// pausedUntil is when this node may ask again.
	pausedUntil time.Time
}

// Hear takes what an answer says that came at a time, to a request that was sent at another.
// It returns whether that is news.
func (g *Gate) Hear(notice Notice, sentAt, now time.Time) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	news := false
	if !notice.Unclear {
		news = g.hearLimit(Limit{Limited: notice.Limited, Rate: notice.Rate, At: now}, sentAt)
	}
	if notice.Leaving && g.leavingAt.IsZero() {
		g.leavingAt, news = now, true
	}
	if until := now.Add(notice.Pause); notice.Pause > 0 && until.After(g.pausedUntil) {
		news = news || !now.Before(g.pausedUntil)
		g.pausedUntil = until
	}
	return news
}

// hearLimit takes the limit of an answer. One without a limit may have been made before the
// upstream named it, unless it answers a request that was sent later.
func (g *Gate) hearLimit(limit Limit, sentAt time.Time) bool {
	if g.limit.Limited && !limit.Limited && !sentAt.After(g.limit.At) {
		return false
	}
	news := !limit.same(g.limit)
	g.limit = limit
	return news
}

// Limit returns the limit that the upstream named last.
func (g *Gate) Limit() Limit {
	if g == nil {
		return Limit{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}
