package edge

import (
	"time"

	"github.com/persimmonline/persimmonline/platform"
)

const (
	// minStoreTimeout covers a round trip between regions and a pause of the store's process.
	minStoreTimeout = 250 * time.Millisecond
	// maxStoreTimeout is the longest timeout of a call to the store.
	maxStoreTimeout = 1500 * time.Millisecond
	// raisedTimeoutLifetime is how long a call without a response keeps the timeout raised.
	raisedTimeoutLifetime = 10 * time.Second
	// minReadWait keeps short bounds from turning blocking reads into polling.
	minReadWait = 250 * time.Millisecond
	// readWaitShare and timeoutShare are the fractions of a bound for which the store may block a
	// read, and for which the response may then be late; the rest is for the next call.
	readWaitShare, timeoutShare = 0.5, 0.25
)

// adaptiveTimeout is how long a call may stay without a response, beyond the time for which it lets
// the store block. A connection may hang without a reset, which only this timeout detects. It doubles
// if the call on a new connection gets no response either, so that a slow store can still be read.
type adaptiveTimeout struct {
	raised   time.Duration
	failedAt time.Time
}

// current returns the timeout for calls that serve a bound.
func (t *adaptiveTimeout) current(bound time.Duration, now time.Time) time.Duration {
	lower := min(maxStoreTimeout, max(minStoreTimeout, fractionOf(bound, timeoutShare)))
	if t.failedAt.IsZero() || now.Sub(t.failedAt) > raisedTimeoutLifetime {
		return lower
	}
	return max(lower, t.raised)
}

// recordUnanswered raises the timeout after a call without a response if the call before it failed
// too.
func (t *adaptiveTimeout) recordUnanswered(consecutive int, bound time.Duration, now time.Time) {
	if consecutive > 1 {
		t.raised, t.failedAt = min(maxStoreTimeout, 2*t.current(bound, now)), now
	}
}

// configBound returns the time within which a node must learn of a version: the bound on versions,
// or, if shorter, the time after which a node that was cut off must be in contact again.
func configBound(bounds *platform.Bounds) time.Duration {
	return min(bounds.Contact, bounds.ConfigApply)
}

// registryBound is the same for upstreams that are leaving.
func registryBound(bounds *platform.Bounds) time.Duration { return min(bounds.Contact, bounds.Drain) }

// readWaitFor returns how long the store may block a read that serves a bound.
func readWaitFor(bound, limit time.Duration) time.Duration {
	return min(limit, max(minReadWait, fractionOf(bound, readWaitShare)))
}

func fractionOf(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}
