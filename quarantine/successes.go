package quarantine

import (
	"sync"
	"time"
)

// maxSuccesses bounds the traits whose last success is kept in each of two generations.
const maxSuccesses = 8192

// Successes holds when requests with a trait last completed. It is safe for concurrent use.
type Successes struct {
	mu sync.Mutex
	// newer is filled until it is full; it then replaces older.
	newer, older map[uint64]time.Time
}

// NewSuccesses returns an empty record.
func NewSuccesses() *Successes { return &Successes{newer: map[uint64]time.Time{}} }

// Record records that a request with some traits completed.
func (s *Successes) Record(traits []Trait, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, trait := range traits {
		if _, known := s.newer[trait.Hash]; !known && len(s.newer) >= maxSuccesses {
			s.newer, s.older = map[uint64]time.Time{}, s.newer
		}
		s.newer[trait.Hash] = now
	}
}

// Last returns when a request with the trait last completed; zero if that is not known.
func (s *Successes) Last(hash uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, known := s.newer[hash]; known {
		return at
	}
	return s.older[hash]
}
