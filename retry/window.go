package retry

import (
	"time"

	"github.com/persimmonline/persimmonline/internal/netopt"
)

const (
	// slicesPerWindow is the number of slices of the sliding window of a WindowBudget.
	slicesPerWindow = 20
	// maxTransit is how long a sent request may be held on its way and still arrive.
	maxTransit = netopt.UnackedTimeout
	// ratioSafetyFactor leaves room for the difference between this window and the platform's.
	ratioSafetyFactor = 0.8
)

// WindowBudget bounds this node's share of the retries of one service in a sliding window.
// It is not safe for concurrent use.
type WindowBudget struct {
	ratio  float64
	slice  time.Duration
	slices []windowSlice
}

type windowSlice struct {
	index    int64
	requests float64
	retries  float64
}

// Retention returns how long a retry is counted: for the window, and for the time that it may
// take to arrive.
func Retention(window time.Duration) time.Duration { return window + maxTransit }

// NewWindowBudget returns a budget of ratio retries per request over a window.
func NewWindowBudget(ratio float64, window time.Duration) *WindowBudget {
	slice := window / slicesPerWindow
	retained := (Retention(window) + slice - 1) / slice
	return &WindowBudget{ratio: ratio * ratioSafetyFactor, slice: slice, slices: make([]windowSlice, retained+1)}
}

// RecordRequest counts a request for the service.
func (b *WindowBudget) RecordRequest(now time.Time) { b.current(now).requests++ }

// TakeRetry takes a retry if the budget allows it; burst is this node's share of the retries
// that are allowed regardless of the number of requests.
func (b *WindowBudget) TakeRetry(now time.Time, burst float64) bool {
	if b.Left(now, burst) < 1 {
		return false
	}
	b.current(now).retries++
	return true
}

// Left returns the number of retries that the budget allows now.
func (b *WindowBudget) Left(now time.Time, burst float64) float64 {
	current := b.current(now)
	requests, retries := 0.0, 0.0
	for i := range b.slices {
		age := current.index - b.slices[i].index
		if age < slicesPerWindow {
			requests += b.slices[i].requests
		}
		if age < int64(len(b.slices)) {
			retries += b.slices[i].retries
		}
	}
	return b.ratio*requests + burst - retries
}

// current returns the slice of the current time; it is reused after the retention time.
func (b *WindowBudget) current(now time.Time) *windowSlice {
	index, count := now.UnixNano()/int64(b.slice), int64(len(b.slices))
	slice := &b.slices[((index%count)+count)%count]
	if slice.index != index {
		*slice = windowSlice{index: index}
	}
	return slice
}
