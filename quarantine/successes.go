package quarantine

import (
	"sync"
	"time"
)

// maxSuccesses bounds the traits whose last success is kept in each of two generations.
const maxSuccesses = 8192

// Successes holds when requests with a trait last succeeded: the whole request when it completed, its
// parts also when the answer has gone on for longer than a crash that they cause takes. It is safe for
// concurrent use.
type Successes struct {
	mu sync.Mutex
	// newer is filled until it is full; it then replaces older.
	newer, older map[uint64]time.Time
	lastPart     time.Time
}

// NewSuccesses returns an empty record.
func NewSuccesses() *Successes { return &Successes{newer: map[uint64]time.Time{}} }

// Record records that requests with some traits succeeded.
func (s *Successes) Record(traits []Trait, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, trait := range traits {
		if _, known := s.newer[trait.Hash]; !known && len(s.newer) >= maxSuccesses {
			s.newer, s.older = map[uint64]time.Time{}, s.newer
		}
		s.newer[trait.Hash] = now
		if trait.Position > 0 {
			s.lastPart = now
		}
	}
}

// LastPart returns when a request with any part last succeeded; zero if none did.
func (s *Successes) LastPart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastPart
}

// Last returns when a request with the trait last succeeded; zero if that is not known.
func (s *Successes) Last(hash uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, known := s.newer[hash]; known {
		return at
	}
	return s.older[hash]
}
