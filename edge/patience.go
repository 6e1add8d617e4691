package edge

import (
	"time"

	"github.com/persimmonline/persimmonline/platform"
)

const (
	// leastPatience covers a round trip between regions and a pause of the store's process.
	leastPatience = 250 * time.Millisecond
	// mostPatience is the time for any call to the store.
	mostPatience = 1500 * time.Millisecond
	// patienceMemory is how long a call without an answer makes the next ones more patient.
	patienceMemory = 10 * time.Second
	// leastHeld keeps short bounds from turning reads that are held into polling.
	leastHeld = 250 * time.Millisecond
	// waitShare and patienceShare are the parts of a bound that a read may be held by the
	// store, and may then stay without an answer; the rest is for the call that follows.
	waitShare, patienceShare = 0.5, 0.25
)

// patience is how long a call may stay without an answer, beyond the time that it asks the
// store to wait. A connection may fall silent without a reset, which nothing but this time
// shows. It doubles when the call on a new connection got no answer either, so that a slow
// store is still read.
type patience struct {
	base, current time.Duration
	failedAt      time.Time
}

// newPatience returns the patience of calls on which a bound rests.
func newPatience(bound time.Duration) patience {
	return patience{base: min(mostPatience, max(leastPatience, part(bound, patienceShare)))}
}

// at returns the patience at a time.
func (p *patience) at(now time.Time) time.Duration {
	if p.failedAt.IsZero() || now.Sub(p.failedAt) > patienceMemory {
		return p.base
	}
	return p.current
}

// unanswered notes the calls in a row that got no answer.
func (p *patience) unanswered(inARow int, now time.Time) {
	if inARow > 1 {
		p.current, p.failedAt = min(mostPatience, 2*p.at(now)), now
	}
}

// freshness is the time within which a node must know of a change: the bound on the change,
// or sooner, the time after which the node counts as in touch again.
func freshness(bounds platform.Bounds, bound time.Duration) time.Duration {
	return min(bounds.Contact, bound)
}

// heldFor is how long the store may hold a read on which a bound rests.
func heldFor(bound, most time.Duration) time.Duration {
	return min(most, max(leastHeld, part(bound, waitShare)))
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
