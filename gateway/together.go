package gateway

import (
	"sync"

	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/routing"
)

// maxAnswered bounds the prompts that are remembered as harmless.
const maxAnswered = 8192

// together is one prompt that several requests run at one upstream, so that a prompt
// that crashes upstreams and comes many times at once takes down one of them.
type together struct {
	host     string
	attempts int
}

// joinSame returns the upstream that runs the same prompt already, or else opens one
// at the picked upstream for later requests to join. A prompt that had a whole answer
// before runs anywhere.
func (g *Gateway) joinSame(s *runState, picked *routing.Upstream) *choice {
	key := fingerprint(s.call)
	g.suspects.mu.Lock()
	defer g.suspects.mu.Unlock()
	known, open := g.suspects.together[key]
	if !open && g.suspects.answered[key] {
		return &choice{Upstream: picked, release: func() {}}
	}
	if !open {
		known = &together{host: picked.ID}
		g.suspects.together[key] = known
	}
	if known.host != picked.ID {
		current := g.current(s.call.service, known.host)
		if s.excluded[known.host] || current == nil || current.Health != membership.StateLive {
			return &choice{Upstream: picked, release: func() {}}
		}
		picked = current
	}
	known.attempts++
	return &choice{Upstream: picked, release: g.suspects.leave(key, known)}
}

// leave returns the function that ends one attempt of a prompt.
func (s *suspects) leave(key uint64, known *together) func() {
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		known.attempts--
		if known.attempts == 0 && s.together[key] == known {
			delete(s.together, key)
		}
	})
}

// remember notes a prompt that had a whole answer. The caller holds the lock.
func (s *suspects) remember(key uint64) {
	if s.answered[key] {
		return
	}
	if len(s.answeredOrder) >= maxAnswered {
		delete(s.answered, s.answeredOrder[0])
		s.answeredOrder = s.answeredOrder[1:]
	}
	s.answered[key] = true
	s.answeredOrder = append(s.answeredOrder, key)
}
