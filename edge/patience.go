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
	grown    time.Duration
	failedAt time.Time
}

// at returns the patience at a time with calls on which a bound rests.
func (p *patience) at(bound time.Duration, now time.Time) time.Duration {
	least := min(mostPatience, max(leastPatience, part(bound, patienceShare)))
	if p.failedAt.IsZero() || now.Sub(p.failedAt) > patienceMemory {
		return least
	}
	return max(least, p.grown)
}

// unanswered notes the calls in a row that got no answer.
func (p *patience) unanswered(inARow int, bound time.Duration, now time.Time) {
	if inARow > 1 {
		p.grown, p.failedAt = min(mostPatience, 2*p.at(bound, now)), now
	}
}

// configBound is the time within which a node must know of a version: the bound on versions, or
// sooner, the time after which a node that was harmed counts as in touch again.
func configBound(bounds *platform.Bounds) time.Duration {
	return min(bounds.Contact, bounds.ConfigApply)
}

// registryBound is the same for upstreams that leave.
func registryBound(bounds *platform.Bounds) time.Duration { return min(bounds.Contact, bounds.Drain) }

// heldFor is how long the store may hold a read on which a bound rests.
func heldFor(bound, most time.Duration) time.Duration {
	return min(most, max(leastHeld, part(bound, waitShare)))
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
