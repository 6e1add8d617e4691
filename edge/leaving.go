package edge

import (
	"time"

	"github.com/persimmonline/persimmonline/fleet"
)

// Load: engines that are taken away while they run requests; some say nothing, and only their entry goes.

const (
	// noticeDelay is the longest time that an upstream's notice takes to reach a node while the store is well.
	noticeDelay = time.Second
	// leavingKept is how long after its expected end an upstream counts as leaving.
	leavingKept = 2 * time.Second
)

// leavingUpstreams holds when the upstreams that leave are expected to end, by key, on the monotonic clock. The
// control loop owns it.
type leavingUpstreams map[string]time.Time

// observe applies a change of an upstream, whose time until its end is drain if it names none.
func (l leavingUpstreams) observe(change fleet.Change, now time.Time, drain time.Duration) {
	if change.Kind != fleet.Draining && change.Kind != fleet.Removed {
		return
	}
	upstream := change.Upstream
	if _, known := l[upstream.Key]; known {
		return
	}
	left := max(0, drain-noticeDelay)
	if upstream.TimeLeft > 0 {
		left = upstream.TimeLeft
	}
	l[upstream.Key] = now.Add(left)
}

// view returns a copy on the wall clock, and forgets the upstreams that have ended.
func (l leavingUpstreams) view(now, wall time.Time) map[string]time.Time {
	var ends map[string]time.Time
	for key, end := range l {
		if now.Sub(end) > leavingKept {
			delete(l, key)
			continue
		}
		if ends == nil {
			ends = make(map[string]time.Time, len(l))
		}
		ends[key] = wall.Add(end.Sub(now))
	}
	return ends
}
