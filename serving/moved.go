package serving

import (
	"errors"
	"io"
	"time"

	"github.com/persimmonline/persimmonline/routing"
)

// Load: streams whose runs were moved from an engine that leaves; they go on where their memory is.

var (
	// errRunMoved means that the run was stopped, and goes on at another upstream.
	errRunMoved = errors.New("run was moved")
	// errMoveUnknown means that an answer without a length ended while its run may have been moved.
	errMoveUnknown = errors.New("stream ended while its run may have been moved")
)

// runMemory is memory with which a run goes on; address is that of the source of the move.
type runMemory struct{ address, handle string }

func (m runMemory) held() bool { return m.handle != "" }

// moveOf returns the move of a stream that has ended. Without one, none begins any more.
func (c *carrier) moveOf(run *carriedRun) *runMove {
	if c == nil || run == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	run.stays = true
	return run.move
}

// endedByMove returns outcomeMoved if a stream has ended because its run was moved, and outcomeAnswered if the
// end says itself what it is.
func (x *exchange) endedByMove(err error) (outcome, error) {
	r := x.run
	move := r.handler.carrier.moveOf(x.carried)
	if move == nil || x.upstreamSilent() {
		return outcomeAnswered, nil
	}
	select {
	case <-move.done:
	case <-r.ctx.Done():
		return outcomeAnswered, nil
	}
	unframedEnd := errors.Is(err, io.EOF) && !x.answer.Framed()
	switch live := r.ctx.Err() == nil; {
	case live && move.result.Handle != "":
		r.moved = move
		return outcomeMoved, errRunMoved
	case live && move.result.State == RunUnknown && unframedEnd:
		return outcomeBroken, errMoveUnknown
	}
	return outcomeAnswered, nil
}

// continueMoved sends the request to where the memory of its run is: to the destination of the move or, if that
// refuses it, to the source.
func (r *requestRun) continueMoved() outcome {
	result := outcomeMoved
	for result == outcomeMoved {
		move := r.moved
		r.moved = nil
		result = r.continueAt(move)
	}
	return result
}

func (r *requestRun) continueAt(move *runMove) outcome {
	places := []*routing.Upstream{move.to, move.source}
	if move.result.State == RunStopped {
		r.excluded[move.to.ID] = true
		places = places[1:]
	}
	r.memory = runMemory{move.source.Address, move.result.Handle}
	defer func() { r.memory = runMemory{} }()
	for _, place := range places {
		if time.Until(r.deadline) < minRemaining || (place == move.to && !place.Gate.Take(time.Now())) {
			continue
		}
		r.view = r.handler.CurrentView()
		result := r.attempt(routing.Choice{Upstream: place, CachedTokens: r.request.PromptTokens})
		if result != outcomeNotRun && result != outcomeUnreachable {
			return result
		}
	}
	r.handler.Metrics.moves.WithLabelValues(r.service, "lost").Inc()
	r.handler.carrier.drop(move)
	if r.ctx.Err() != nil {
		return outcomeCanceled
	}
	return outcomeBroken
}
