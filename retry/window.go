package retry

import "time"

// slicesPerWindow is the number of slices of the sliding window of a WindowBudget.
const slicesPerWindow = 20

// WindowBudget bounds this node's share of the retries of one service in a sliding window.
// It is not safe for concurrent use.
type WindowBudget struct {
	ratio  float64
	window time.Duration
	slices [slicesPerWindow]windowSlice
}

type windowSlice struct {
	index    int64
	requests float64
	retries  float64
}

// ratioSafetyFactor leaves room for the difference between this window and the platform's.
const ratioSafetyFactor = 0.8

// NewWindowBudget returns a budget of ratio retries per request over a window.
func NewWindowBudget(ratio float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio * ratioSafetyFactor, window: window}
}

// RecordRequest counts a request for the service.
func (b *WindowBudget) RecordRequest(now time.Time) { b.slice(now).requests++ }

// TakeRetry takes a retry if the budget allows it; burst is this node's share of the retries
// that are allowed regardless of the number of requests.
func (b *WindowBudget) TakeRetry(now time.Time, burst float64) bool {
	current := b.slice(now)
	requests, retries := 0.0, 0.0
	oldest := current.index - slicesPerWindow
	for i := range b.slices {
		if b.slices[i].index > oldest {
			requests += b.slices[i].requests
			retries += b.slices[i].retries
		}
	}
	if retries+1 > b.ratio*requests+burst {
		return false
	}
	current.retries++
	return true
}

func (b *WindowBudget) slice(now time.Time) *windowSlice {
	index := now.UnixNano() / int64(b.window/slicesPerWindow)
	current := &b.slices[((index%slicesPerWindow)+slicesPerWindow)%slicesPerWindow]
	if current.index != index {
		*current = windowSlice{index: index}
	}
	return current
}
