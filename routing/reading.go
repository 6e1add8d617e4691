package routing

import "time"

const (
	// readingMemory is the factor by which the weight of a sample decreases with each later one.
	readingMemory = 0.95
	// minReadingSamples is the weight of samples from which a model is used.
	minReadingSamples = 4.0
	// minReadingSpread is the standard deviation of the samples' tokens, as a share of their mean,
	// from which the time for each token can be told from the fixed part.
	minReadingSpread = 0.3
	// minOverheadSeconds is the lower bound of the fixed part.
	minOverheadSeconds = 0.001
)

// readingModel learns how the time to the first token grows with the tokens to be read before it, as
// a straight line through the newest samples. The fixed part must not count as reading time, or
// short prompts would make an engine look several times slower than it is.
type readingModel struct {
	weight, x, y, xx, xy float64
	at                   time.Time
}

func (m *readingModel) observe(tokens, seconds float64, now time.Time) {
	m.weight = m.weight*readingMemory + 1
	m.x = m.x*readingMemory + tokens
	m.y = m.y*readingMemory + seconds
	m.xx = m.xx*readingMemory + tokens*tokens
	m.xy = m.xy*readingMemory + tokens*seconds
	m.at = now
}

// estimate returns the tokens per second and the fixed part in seconds; 0 while they are unknown.
func (m *readingModel) estimate() (rate, overhead movingAverage) {
	if m.weight < minReadingSamples {
		return rate, overhead
	}
	meanX, meanY := m.x/m.weight, m.y/m.weight
	variance := m.xx/m.weight - meanX*meanX
	covariance := m.xy/m.weight - meanX*meanY
	if variance < minReadingSpread*minReadingSpread*meanX*meanX || covariance <= 0 {
		return movingAverage{value: meanX / meanY, at: m.at}, overhead
	}
	slope := covariance / variance
	return movingAverage{value: 1 / slope, at: m.at}, movingAverage{value: max(minOverheadSeconds, meanY-slope*meanX), at: m.at}
}
