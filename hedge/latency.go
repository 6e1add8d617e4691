// Package hedge decides whether a request that may be repeated is sent to a second upstream before
// the first has answered. It is pure: it holds no clock, socket or goroutine.
package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyWindow is how long an answer counts as recent, in latencySlices steps.
	latencyWindow = 30 * time.Second
	latencySlices = 5
	// minSamples is the number of recent answers from which their slowest share can be told.
	minSamples = 30
	// minLatency and maxLatency bound the times that are told apart, latencyDigits their resolution.
	minLatency    = 100 * time.Microsecond
	maxLatency    = time.Minute
	latencyDigits = 1
	// summaryLifetime is how long the figures of the window are used before they are merged again.
	summaryLifetime = 250 * time.Millisecond
)

// latencies holds the times to the first answer of the recent requests of one class.
type latencies struct {
	window    *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	merged    *hdrhistogram.Histogram
	mergedAt  time.Time
}

func newLatencies(now time.Time) *latencies {
	return &latencies{
		window:    hdrhistogram.NewWindowed(latencySlices, minLatency.Microseconds(), maxLatency.Microseconds(), latencyDigits),
		rotatedAt: now,
	}
}

func (l *latencies) record(took time.Duration, now time.Time) {
	l.rotate(now)
	// A time within the bounds can always be recorded.
	_ = l.window.Current.RecordValue(min(max(took, minLatency), maxLatency).Microseconds())
}

func (l *latencies) rotate(now time.Time) {
	const slice = latencyWindow / latencySlices
	for range latencySlices {
		if now.Sub(l.rotatedAt) < slice {
			return
		}
		l.window.Rotate()
		l.rotatedAt = l.rotatedAt.Add(slice)
		l.merged = nil
	}
	l.rotatedAt = now
}

// recent returns the histogram of the window; nil while it holds too few answers.
func (l *latencies) recent(now time.Time) *hdrhistogram.Histogram {
	l.rotate(now)
	if l.merged == nil || now.Sub(l.mergedAt) > summaryLifetime {
		l.merged, l.mergedAt = l.window.Merge(), now
	}
	if l.merged.TotalCount() < minSamples {
		return nil
	}
	return l.merged
}

// meanExcess returns how much longer than waited the answers took, in the mean of those that took
// longer.
func meanExcess(histogram *hdrhistogram.Histogram, waited time.Duration) time.Duration {
	sum, count := int64(0), int64(0)
	for _, bar := range histogram.Distribution() {
		if middle := (bar.From + bar.To) / 2; bar.Count > 0 && middle > waited.Microseconds() {
			sum += bar.Count * (middle - waited.Microseconds())
			count += bar.Count
		}
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum/count) * time.Microsecond
}

func quantile(histogram *hdrhistogram.Histogram, q float64) time.Duration {
	const percent = 100
	return time.Duration(histogram.ValueAtQuantile(percent*q)) * time.Microsecond
}
