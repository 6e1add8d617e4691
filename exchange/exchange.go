// Package exchange holds the journal of each accepted model request: every chunk of
// its answer by token offset. The caller's connection only reads the journal, so a
// caller that lost its connection can re-attach, and a late chunk of a superseded
// attempt can't reach any caller.
package exchange

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/refusal"
)

// ErrUnknown means that no exchange has the id.
var ErrUnknown = errors.New("unknown request id")

// ErrNoReaders is the cause with which an exchange without readers is canceled.
var ErrNoReaders = errors.New("no reader is attached to the exchange")

// Exchange is the journal of one accepted request.
type Exchange struct {
	// ID of the request; it names the holder.
	ID string
	// Workspace of the caller; callers of other workspaces may not attach.
	Workspace string

	mu      sync.Mutex
	opened  *api.PeerOpened
	chunks  []api.ChatChunk
	tokens  int
	attempt int
	// finished and usage are set once the journal has the finish reason and the usage.
	finished bool
	usage    bool
	// done is set by Finish; no chunk is accepted afterwards.
	done        bool
	refused     *refusal.Refusal
	moved       *api.PeerMoved
	changed     chan struct{}
	cancel      context.CancelCauseFunc
	readers     int
	cancelTimer *time.Timer
}

// New returns an empty journal; cancel ends the work on it.
func New(id, workspace string, cancel context.CancelCauseFunc) *Exchange {
	return &Exchange{ID: id, Workspace: workspace, changed: make(chan struct{}), cancel: cancel}
}

// BeginAttempt starts an attempt and returns its number. Chunks of earlier attempts are
// dropped from now on.
func (e *Exchange) BeginAttempt() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempt++
	return e.attempt
}

// Append adds a chunk of an attempt and reports whether it was accepted. It is dropped
// when the attempt is superseded, when its token offset is not the journal's end, or
// when it repeats the end of the answer.
func (e *Exchange) Append(attempt int, chunk api.ChatChunk) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done || attempt != e.attempt || chunk.TokenOffset != e.tokens {
		return false
	}
	if len(chunk.Choices) > 0 && e.finished {
		return false
	}
	if len(chunk.Choices) == 0 && e.usage {
		return false
	}
	e.store(chunk)
	e.signal()
	return true
}

// Seed adds the chunks of another holder's journal that this one lacks, and
// supersedes the current attempt.
func (e *Exchange) Seed(chunks []api.ChatChunk) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempt++
	if e.done || len(chunks) <= len(e.chunks) {
		return
	}
	for _, chunk := range chunks[len(e.chunks):] {
		e.store(chunk)
	}
	e.signal()
}

func (e *Exchange) store(chunk api.ChatChunk) {
	e.chunks = append(e.chunks, chunk)
	e.tokens += chunk.TokenCount
	e.usage = e.usage || chunk.Usage != nil
	for _, choice := range chunk.Choices {
		e.finished = e.finished || choice.FinishReason != nil
	}
}

// Finish ends the exchange; refused is nil for a complete answer. Only the first call has
// an effect.
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

// RecordOpened records how the caller requested the answer. Only the first call has an
// effect.
func (e *Exchange) RecordOpened(opened api.PeerOpened) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opened == nil {
		e.opened = &opened
		e.signal()
	}
}

// MarkMoved redirects readers that are nodes to the successor.
func (e *Exchange) MarkMoved(to api.PeerMoved) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moved = &to
	e.signal()
}

// Progress is how far an answer got.
type Progress struct {
	// Chunks in the journal.
	Chunks int
	// Tokens of the answer in the journal.
	Tokens int
	// Text of those tokens.
	Text string
	// Finished is set once the answer has its finish reason.
	Finished bool
	// HasUsage is set once the usage is in the journal.
	HasUsage bool
}

// Progress returns how far the answer got.
func (e *Exchange) Progress() Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	var text []byte
	for _, chunk := range e.chunks {
		for _, choice := range chunk.Choices {
			text = append(text, choice.Delta.Content...)
		}
	}
	return Progress{Chunks: len(e.chunks), Tokens: e.tokens, Text: string(text), Finished: e.finished, HasUsage: e.usage}
}

// Tokens returns the number of answer tokens in the journal.
func (e *Exchange) Tokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// Chunks returns the chunks so far.
func (e *Exchange) Chunks() []api.ChatChunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chunks[:len(e.chunks):len(e.chunks)]
}

// Page is a part of a journal.
type Page struct {
	// Chunks from the requested index on.
	Chunks []api.ChatChunk
	// Done is set when no more chunks follow.
	Done bool
	// Refused is why the exchange ended without a complete answer; nil otherwise.
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

// WaitOpened waits until RecordOpened was called or the exchange is done. It returns nil
// when the exchange ended first.
func (e *Exchange) WaitOpened(ctx context.Context) (*api.PeerOpened, error) {
	for {
		e.mu.Lock()
		opened, done, changed := e.opened, e.done, e.changed
		e.mu.Unlock()
		if opened != nil || done {
			return opened, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// PeekOpened returns what RecordOpened recorded, without waiting; nil before that.
func (e *Exchange) PeekOpened() *api.PeerOpened {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened
}

// Moved returns where the exchange was handed over to, or nil.
func (e *Exchange) Moved() *api.PeerMoved {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.moved
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
	if e.cancelTimer != nil {
		e.cancelTimer.Stop()
		e.cancelTimer = nil
	}
}

// Detach removes a reader. An exchange without readers for the grace period is canceled.
func (e *Exchange) Detach(grace time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readers--
	if e.readers == 0 && !e.done {
		e.cancelTimer = time.AfterFunc(grace, func() { e.cancel(ErrNoReaders) })
	}
}

// Readers returns the number of readers.
func (e *Exchange) Readers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readers
}
