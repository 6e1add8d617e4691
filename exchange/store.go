package exchange

import (
	"context"
	"sync"
	"time"
)

// Store holds the exchanges of one node.
type Store struct {
	mu        sync.Mutex
	byID      map[string]*Exchange
	retention time.Duration
	closed    bool
	inFlight  int
	// idle is closed when the last running exchange ends, and replaced when one starts
	// while none runs.
	idle chan struct{}
}

// NewStore returns a store that retains a finished exchange for the retention period.
func NewStore(retention time.Duration) *Store {
	return &Store{byID: map[string]*Exchange{}, retention: retention}
}

// Start creates an exchange and runs it in a goroutine of its own. An id that is already
// present is not run again; the second result reports whether the exchange is new.
func (s *Store) Start(ctx context.Context, id, workspace string, run func(context.Context, *Exchange)) (*Exchange, bool) {
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	created := New(id, workspace, cancel)
	s.mu.Lock()
	if known, ok := s.byID[id]; ok {
		s.mu.Unlock()
		cancel(nil)
		return known, false
	}
	s.byID[id] = created
	if s.inFlight == 0 {
		s.idle = make(chan struct{})
	}
	s.inFlight++
	s.mu.Unlock()
	go func() {
		defer cancel(nil)
		run(runCtx, created)
		s.onFinished(created)
	}()
	return created, true
}

func (s *Store) onFinished(e *Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 {
		close(s.idle)
	}
	if s.closed {
		delete(s.byID, e.ID)
		return
	}
	time.AfterFunc(s.retention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.byID, e.ID)
	})
}

// Get returns an exchange of the workspace, or ErrUnknown, also for an exchange of
// another workspace.
func (s *Store) Get(id, workspace string) (*Exchange, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byID[id]
	if !ok || found.Workspace != workspace {
		return nil, ErrUnknown
	}
	return found, nil
}

// InFlight returns the number of running exchanges.
func (s *Store) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Wait waits until no exchange is running or ctx is done.
func (s *Store) Wait(ctx context.Context) error {
	s.mu.Lock()
	idle, running := s.idle, s.inFlight > 0
	s.mu.Unlock()
	if !running {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Cancel cancels all running exchanges. Exchanges that finish later are removed at once.
func (s *Store) Cancel() {
	s.mu.Lock()
	s.closed = true
	for _, e := range s.byID {
		e.cancel(context.Canceled)
	}
	s.mu.Unlock()
}
