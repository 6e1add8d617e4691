// Package exchange holds the journal of each accepted model request: every chunk of
// its answer by token offset. The caller's connection only reads the journal, so a
// caller that lost its connection can re-attach, and a late chunk of an abandoned
// attempt can't reach anyone.
package exchange

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/refusal"
)

// ErrUnknown says that no exchange has the id.
var ErrUnknown = errors.New("unknown request id")

// Exchange is the journal of one accepted request.
type Exchange struct {
	// ID of the request; it names its holder.
	ID string
	// Workspace of the caller; nobody else may attach.
	Workspace string

	mu      sync.Mutex
	chunks  []api.ChatChunk
	tokens  int
	done    bool
	refused *refusal.Refusal
	changed chan struct{}
	cancel  context.CancelFunc
	readers int
	idle    *time.Timer
}

// Append adds a chunk whose first token has the given offset. A chunk that does not
// start where the journal ends is a duplicate or a late one and is dropped; the
// return value says whether it was taken.
func (e *Exchange) Append(chunk api.ChatChunk) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done || chunk.TokenOffset != e.tokens {
		return false
	}
	e.chunks = append(e.chunks, chunk)
	e.tokens += chunk.TokenCount
	e.signal()
	return true
}

// Finish ends the exchange; refused is nil for a whole answer. Only the first call counts.
func (e *Exchange) Finish(refused *refusal.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done {
		return
	}
	e.done = true
	e.refused = refused
	e.signal()
}

// Tokens returns the number of answer tokens in the journal, and their text.
func (e *Exchange) Tokens() (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var text []byte
	for _, chunk := range e.chunks {
		for _, choice := range chunk.Choices {
			text = append(text, choice.Delta.Content...)
		}
	}
	return e.tokens, string(text)
}

// Page is a part of a journal.
type Page struct {
	// Chunks from the asked index on.
	Chunks []api.ChatChunk
	// Done says that no more chunks follow.
	Done bool
	// Refused is why the exchange ended without a whole answer; nil when it did not.
	Refused *refusal.Refusal
}

// Next waits until the journal has more than from chunks or is done.
func (e *Exchange) Next(ctx context.Context, from int) (Page, error) {
	for {
		e.mu.Lock()
		page := Page{Done: e.done, Refused: e.refused}
		if from < len(e.chunks) {
			page.Chunks = e.chunks[from:len(e.chunks):len(e.chunks)]
		}
		changed := e.changed
		e.mu.Unlock()
		if page.Done || len(page.Chunks) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

func (e *Exchange) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Attach registers a reader, which keeps the exchange running.
func (e *Exchange) Attach() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readers++
	if e.idle != nil {
		e.idle.Stop()
		e.idle = nil
	}
}

// Detach removes a reader. An exchange that nobody reads for the grace is canceled.
func (e *Exchange) Detach(grace time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readers--
	if e.readers == 0 && !e.done {
		e.idle = time.AfterFunc(grace, e.cancel)
	}
}

// Store holds the exchanges of one node.
type Store struct {
	mu        sync.Mutex
	byID      map[string]*Exchange
	retention time.Duration
	closed    bool
	running   sync.WaitGroup
	inFlight  int
}

// NewStore returns a store that keeps a finished exchange for the retention.
func NewStore(retention time.Duration) *Store {
	return &Store{byID: map[string]*Exchange{}, retention: retention}
}

// Start opens an exchange and runs it in a goroutine of its own.
func (s *Store) Start(ctx context.Context, id, workspace string, run func(context.Context, *Exchange)) *Exchange {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	opened := &Exchange{ID: id, Workspace: workspace, changed: make(chan struct{}), cancel: cancel}
	s.mu.Lock()
	s.byID[id] = opened
	s.inFlight++
	s.mu.Unlock()
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer cancel()
		run(runCtx, opened)
		s.finished(opened)
	}()
	return opened
}

func (s *Store) finished(e *Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
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

// Get returns an exchange of the workspace, or ErrUnknown. An exchange of another
// workspace is unknown too.
func (s *Store) Get(id, workspace string) (*Exchange, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byID[id]
	if !ok || found.Workspace != workspace {
		return nil, ErrUnknown
	}
	return found, nil
}

// InFlight returns the number of exchanges that run.
func (s *Store) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Wait returns when all exchanges have ended or ctx ends.
func (s *Store) Wait(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Cancel cancels all exchanges that run and keeps no finished one any longer.
func (s *Store) Cancel() {
	s.mu.Lock()
	s.closed = true
	for _, e := range s.byID {
		e.cancel()
	}
	s.mu.Unlock()
}
