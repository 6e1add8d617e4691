package edge

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// clockTolerance is the deviation from the median of the peers above which a node corrects its
// time.
const clockTolerance = 150 * time.Millisecond

// clock measures time with a counter that also advances while the host is suspended. The
// wall clock is read only once, since it may jump; its offset at that moment is corrected by
// the median of the peers.
type clock struct {
	wallBase time.Time
	bootBase time.Duration

	mu         sync.Mutex
	correction time.Duration
	peers      map[string]time.Duration
}

func newClock() *clock {
	return &clock{wallBase: time.Now().Round(0), bootBase: sinceBoot(), peers: map[string]time.Duration{}}
}

// sinceBoot includes suspended time, which the runtime's monotonic clock does not.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// monotonic returns a time that never jumps; it is used for lifetimes and delays.
func (c *clock) monotonic() time.Time { return c.wallBase.Add(sinceBoot() - c.bootBase) }

// now returns the estimated wall-clock time.
func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.monotonic().Add(c.correction)
}

// addEstimate records a peer's estimate of the time.
func (c *clock) addEstimate(peer string, estimate time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = estimate.Sub(c.monotonic())
}

// correct sets this node's estimate to the median of all estimates, its own included.
func (c *clock) correct() {
	c.mu.Lock()
	defer c.mu.Unlock()
	offsets := []time.Duration{c.correction}
	for _, offset := range c.peers {
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	// With an even number of estimates this node keeps its own if it lies between the two
	// middle ones.
	median := min(max(c.correction, offsets[(len(offsets)-1)/2]), offsets[len(offsets)/2])
	if difference := (median - c.correction).Abs(); difference > clockTolerance {
		c.correction = median
	}
}

// removeEstimate removes a peer's estimate.
func (c *clock) removeEstimate(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, peer)
}

// sampleEstimates returns the current estimates of at most limit peers, in Unix milliseconds.
func (c *clock) sampleEstimates(limit int) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.monotonic()
	estimates := make(map[string]int64, limit)
	for peer, offset := range c.peers {
		if len(estimates) == limit {
			break
		}
		estimates[peer] = now.Add(offset).UnixMilli()
	}
	return estimates
}
