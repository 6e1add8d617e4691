package edge

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// clockTolerance is the difference from its peers above which a node corrects its time.
const clockTolerance = 150 * time.Millisecond

// clock tells the time by a counter that also runs while the host is suspended. The
// wall clock is read once, since it may jump; what it was off then is corrected by the
// median of the peers.
type clock struct {
	base time.Time
	boot time.Duration

	mu         sync.Mutex
	correction time.Duration
	peers      map[string]time.Duration
}

func newClock() *clock {
	return &clock{base: time.Now().Round(0), boot: sinceBoot(), peers: map[string]time.Duration{}}
}

// sinceBoot counts suspended time, which the runtime's clock does not.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// steady returns a time that never jumps; it serves for lifetimes and delays.
func (c *clock) steady() time.Time { return c.base.Add(sinceBoot() - c.boot) }

// now returns the estimate of the time.
func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steady().Add(c.correction)
}

// heard takes a peer's estimate of the time.
func (c *clock) heard(peer string, estimate time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = estimate.Sub(c.steady())
}

// correct brings this node's estimate to the median of all, its own included.
func (c *clock) correct() {
	c.mu.Lock()
	defer c.mu.Unlock()
	offsets := []time.Duration{c.correction}
	for _, offset := range c.peers {
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	// Of an even number the two in the middle bound the median, and this node's own stays
	// if it lies between them.
	median := min(max(c.correction, offsets[(len(offsets)-1)/2]), offsets[len(offsets)/2])
	if difference := (median - c.correction).Abs(); difference > clockTolerance {
		c.correction = median
	}
}

// forget drops a peer.
func (c *clock) forget(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, peer)
}

// some returns the estimates of a few peers as of now, in Unix milliseconds.
func (c *clock) some(most int) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.steady()
	estimates := make(map[string]int64, most)
	for peer, offset := range c.peers {
		if len(estimates) == most {
			break
		}
		estimates[peer] = now.Add(offset).UnixMilli()
	}
	return estimates
}
