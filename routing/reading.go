package routing

import (
	"math"
	"time"
)

const (
	// readingMemory is the factor by which the weight of a sample decreases with each later one.
	readingMemory = 0.95
	// minReadingSamples is the weight of samples from which a model is used.
	minReadingSamples = 4.0
	// minReadingSpread is the standard deviation of the samples' tokens, as a share of their mean,
	// from which the time for each token can be told from the fixed part.
	minReadingSpread = 0.3
	// ownReadingSamples is the weight of this node's samples from which those of other nodes are not used.
	ownReadingSamples = 10.0
	// minOverheadSeconds is the lower bound of the fixed part.
	minOverheadSeconds = 0.001
)

// ReadingSamples learn how the time to the first token grows with the tokens to be read before it, as
// a straight line through the newest samples. The fixed part must not count as reading time, or
// short prompts would make an engine look several times slower than it is. They are kept as sums, so that
// those of several nodes can be added: in a large fleet no node sends enough to one engine to learn
// its speed alone.
type ReadingSamples struct {
	// Weight of the samples.
	Weight float64
	// Tokens, Seconds, TokensSquared and TokenSeconds are weighted sums over the samples.
	Tokens, Seconds, TokensSquared, TokenSeconds float64
	// At is the time of the newest sample.
	At time.Time
}

func (s *ReadingSamples) observe(tokens, seconds float64, now time.Time) {
	*s = s.scaled(readingMemory).Plus(ReadingSamples{
		Weight: 1, Tokens: tokens, Seconds: seconds, TokensSquared: tokens * tokens, TokenSeconds: tokens * seconds, At: now,
	})
}

// Plus returns the samples of both.
func (s ReadingSamples) Plus(other ReadingSamples) ReadingSamples {
	s.Weight += other.Weight
	s.Tokens += other.Tokens
	s.Seconds += other.Seconds
	s.TokensSquared += other.TokensSquared
	s.TokenSeconds += other.TokenSeconds
	if other.At.After(s.At) {
		s.At = other.At
	}
	return s
}

func (s ReadingSamples) scaled(factor float64) ReadingSamples {
	s.Weight *= factor
	s.Tokens *= factor
	s.Seconds *= factor
	s.TokensSquared *= factor
	s.TokenSeconds *= factor
	return s
}

// aged returns the samples with the weight that they have at a later time.
func (s ReadingSamples) aged(now time.Time) ReadingSamples {
	return s.scaled(math.Exp(-now.Sub(s.At).Seconds() / speedDecayTime.Seconds()))
}

// withOthers returns the samples to go by: this node's, and those of other nodes while it has too few.
func (s ReadingSamples) withOthers(others ReadingSamples, now time.Time) ReadingSamples {
	if s.Weight >= ownReadingSamples || others.Weight == 0 {
		return s
	}
	return s.aged(now).Plus(others)
}

// estimate returns the tokens per second and the fixed part in seconds; 0 while they are unknown.
func (s ReadingSamples) estimate() (rate, overhead movingAverage) {
	if s.Weight < minReadingSamples {
		return rate, overhead
	}
	meanTokens, meanSeconds := s.Tokens/s.Weight, s.Seconds/s.Weight
	variance := s.TokensSquared/s.Weight - meanTokens*meanTokens
	covariance := s.TokenSeconds/s.Weight - meanTokens*meanSeconds
	if variance < minReadingSpread*minReadingSpread*meanTokens*meanTokens || covariance <= 0 {
		return movingAverage{value: meanTokens / meanSeconds, at: s.At}, overhead
	}
	slope := covariance / variance
	return movingAverage{value: 1 / slope, at: s.At}, movingAverage{value: max(minOverheadSeconds, meanSeconds-slope*meanTokens), at: s.At}
}
