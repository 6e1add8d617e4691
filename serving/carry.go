package serving

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/carry"
	"github.com/persimmonline/persimmonline/routing"
)

// Load: engines that leave within seconds, with streams that may not be read again elsewhere.

const (
	// moveGrace is how long after an engine's expected end the answer to a move is awaited.
	moveGrace = time.Second
	// moveSettle is how long a stream whose run has stopped may stay open.
	moveSettle = 200 * time.Millisecond
	// minMoveWait is the shortest time between two plans for one engine.
	minMoveWait = 10 * time.Millisecond
	// dropTimeout bounds the call that frees a copy.
	dropTimeout = time.Second
)

// RunState is what became of a run that was to be moved.
type RunState int

// States of a run.
const (
	// RunUnknown: there was no answer that says it.
	RunUnknown RunState = iota
	// RunStays: the run was not stopped, or there is none.
	RunStays
	// RunRefused: the destination has no room or was not reached, and the run goes on at the source.
	RunRefused
	// RunStopped: the run was stopped, and its memory is at the source alone.
	RunStopped
	// RunCopied: the run was stopped, and its memory is at the destination as well.
	RunCopied
)

var moveResults = map[RunState]string{RunUnknown: "unknown", RunStays: "stays", RunRefused: "refused", RunStopped: "stopped", RunCopied: "copied"}

// RunMove is the answer to the move of a run.
type RunMove struct {
	State RunState
	// Handle of the memory at the source; empty if the run was not stopped.
	Handle string
	// Events that the run has made.
	Events int
}

// RunMover moves runs between engines. It is safe for concurrent use.
type RunMover interface {
	// MoveRun stops the run of a request at the engine at an address, and copies its memory to another. The
	// move is valid also with an error, which is its cause.
	MoveRun(ctx context.Context, address, requestID, to string) (RunMove, error)
	// DropRun frees the memory of a handle, at both engines.
	DropRun(ctx context.Context, address, handle string) error
}

// carrier moves the runs of engines that leave.
type carrier struct {
	handler *Handler

	mu      sync.Mutex
	engines map[string]*engineRuns
}

// engineRuns are the streams in flight at one engine; the carrier's lock guards it.
type engineRuns struct {
	upstream *routing.Upstream
	service  string
	runs     map[*carriedRun]bool
	moving   map[*runMove]bool
	// refused holds the ids of the destinations that took no run of this engine.
	refused map[string]bool
	// watched is set while a goroutine moves runs, changed wakes it.
	watched bool
	changed chan struct{}
}

// carriedRun is a stream that may be moved.
type carriedRun struct {
	exchange *exchange
	events   atomic.Int64
	// move of the run; nil if there is none. stays is set if the run must not be moved, ended once its stream
	// has ended. The carrier's lock guards all three.
	move         *runMove
	stays, ended bool
}

// runMove is a move that has begun. result is valid once done is closed.
type runMove struct {
	service    string
	source, to *routing.Upstream
	tokens     int
	done       chan struct{}
	result     RunMove
}

// newCarrier returns nil if runs are not moved.
func newCarrier(h *Handler) *carrier {
	if h.Mover == nil {
		return nil
	}
	return &carrier{handler: h, engines: map[string]*engineRuns{}}
}

// recordEvents records the number of events of a run.
func (run *carriedRun) recordEvents(count int) {
	if run != nil {
		run.events.Store(int64(count))
	}
}

// register adds a stream, whose first event has arrived, to those that may be moved.
func (c *carrier) register(x *exchange) {
	if c == nil || x.opened.streamErr != nil || eventID(x.opened.firstEvent) == "" {
		return
	}
	view := c.handler.CurrentView()
	if engine := view.Table.Engine(x.run.service); engine == nil || !engine.Moves {
		return
	}
	x.carried = &carriedRun{exchange: x}
	x.carried.recordEvents(x.eventCount)
	key := x.upstream.Key()
	c.mu.Lock()
	defer c.mu.Unlock()
	engine := c.engines[key]
	if engine == nil {
		engine = &engineRuns{
			upstream: x.upstream, service: x.run.service, runs: map[*carriedRun]bool{}, moving: map[*runMove]bool{},
			refused: map[string]bool{}, changed: make(chan struct{}, 1),
		}
		c.engines[key] = engine
	}
	engine.runs[x.carried] = true
	c.watch(key, view)
}

// release removes a stream that has ended, and frees its copy if the run does not go on with it.
func (c *carrier) release(x *exchange) {
	run := x.carried
	if c == nil || run == nil {
		return
	}
	c.mu.Lock()
	run.ended = true
	engine := c.engines[x.upstream.Key()]
	delete(engine.runs, run)
	engine.wake()
	c.forgetIdle(engine)
	move := run.move
	c.mu.Unlock()
	if move == nil || x.run.moved == move {
		return
	}
	select {
	case <-move.done:
		c.drop(move)
	default:
		// The move drops the copy itself once it is answered.
	}
}

// forgetIdle removes an engine without streams; the lock is held.
func (c *carrier) forgetIdle(engine *engineRuns) {
	if len(engine.runs) == 0 && len(engine.moving) == 0 && !engine.watched {
		delete(c.engines, engine.upstream.Key())
	}
}

// wake makes the engine's goroutine plan again.
func (e *engineRuns) wake() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// viewChanged begins to move the runs of engines that have begun to leave.
func (c *carrier) viewChanged(view *View) {
	if c == nil || len(view.Leaving) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range view.Leaving {
		c.watch(key, view)
	}
}

// watch starts the goroutine that moves the runs of an engine that leaves; the lock is held.
func (c *carrier) watch(key string, view *View) {
	engine := c.engines[key]
	leavesAt, leaving := view.Leaving[key]
	if engine == nil || !leaving || !time.Now().Before(leavesAt) {
		return
	}
	if engine.watched {
		engine.wake()
		return
	}
	engine.watched = true
	go c.evacuate(key, engine)
}

// evacuate moves runs until none is left or the engine is expected to end.
func (c *carrier) evacuate(key string, engine *engineRuns) {
	for {
		wait, more := c.moveDue(key, engine)
		if !more {
			return
		}
		timer := time.NewTimer(max(wait, minMoveWait))
		select {
		case <-engine.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// moveDue begins the moves that are due, and returns the time until the next one; more is false if the engine
// needs no further plan.
func (c *carrier) moveDue(key string, engine *engineRuns) (wait time.Duration, more bool) {
	view, now := c.handler.CurrentView(), time.Now()
	leavesAt, leaving := view.Leaving[key]
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leaving || !now.Before(leavesAt) || len(engine.runs) == 0 {
		engine.watched = false
		c.forgetIdle(engine)
		return 0, false
	}
	wait = leavesAt.Sub(now)
	candidates, byID := view.destinations(engine)
	runs, byRun := engine.carryRuns(view, now)
	for _, move := range carry.Plan(engine.source(leavesAt), runs, candidates, now) {
		if due := move.BeginAt.Sub(now); due > 0 {
			wait = min(wait, due)
			continue
		}
		c.begin(engine, byRun[move.Run], byID[move.Destination], move, leavesAt)
	}
	return wait, true
}

// source describes the engine to the planner.
func (e *engineRuns) source(leavesAt time.Time) carry.Source {
	source := carry.Source{LeavesAt: leavesAt, Rate: e.upstream.FetchRate, Version: e.upstream.Version, DataCentre: e.upstream.DataCentre}
	for move := range e.moving {
		source.Moving = append(source.Moving, move.tokens)
	}
	return source
}

// carryRuns describes the streams to the planner.
func (e *engineRuns) carryRuns(view *View, now time.Time) ([]carry.Run, map[string]*carriedRun) {
	eventTokens := 1
	if engine := view.Table.Engine(e.service); engine != nil {
		eventTokens = max(1, engine.EventTokens)
	}
	runs, byID, count := make([]carry.Run, 0, len(e.runs)), make(map[string]*carriedRun, len(e.runs)), make(map[string]int, len(e.runs))
	for run := range e.runs {
		count[run.exchange.run.request.ID]++
	}
	for run := range e.runs {
		x, request := run.exchange, run.exchange.run.request
		// The engine knows runs by the ids that callers give, which need not differ.
		if run.move != nil || run.stays || run.ended || count[request.ID] > 1 {
			continue
		}
		made := int(run.events.Load())
		tokens := request.PromptTokens + made*eventTokens
		planned := carry.Run{
			ID: request.ID, Tokens: tokens, Resumable: request.Route.Repeatable(), Unread: tokens, Deadline: x.run.deadline,
			Excluded: x.run.excluded, Generation: x.upstream.Generation,
		}
		if left := request.AnswerTokens/eventTokens - made; made > 1 && request.AnswerTokens > 0 {
			gap := now.Sub(x.firstEventAt) / time.Duration(made-1)
			planned.EndsAt = now.Add(time.Duration(max(0, left)) * gap)
		}
		byID[request.ID] = run
		runs = append(runs, planned)
	}
	return runs, byID
}

// destinations describes the engines that may take over runs of an engine.
func (v *View) destinations(engine *engineRuns) ([]carry.Destination, map[string]*routing.Upstream) {
	upstreams := v.Fleet.ByService[engine.service]
	candidates, byID := make([]carry.Destination, 0, len(upstreams)), make(map[string]*routing.Upstream, len(upstreams))
	for _, upstream := range upstreams {
		_, leaving := v.Leaving[upstream.Key()]
		free := upstream.Slots()
		if upstream.Load != nil {
			free -= upstream.Load.Running
		}
		byID[upstream.ID] = upstream
		candidates = append(candidates, carry.Destination{
			ID: upstream.ID, Usable: mayHedgeAt(upstream) && !leaving && !upstream.Leaving && !engine.refused[upstream.ID],
			Version: upstream.Version, DataCentre: upstream.DataCentre, Generation: upstream.Generation, FreeSlots: free,
			ReadRate: upstream.PrefillRate(),
		})
	}
	return candidates, byID
}

// begin starts a move; the lock is held.
func (c *carrier) begin(engine *engineRuns, run *carriedRun, to *routing.Upstream, planned carry.Move, leavesAt time.Time) {
	x := run.exchange
	if !c.handler.takeRetry(x.run.service, c.handler.CurrentView().RetryBurst) {
		run.stays = true
		c.handler.Metrics.moves.WithLabelValues(x.run.service, "denied_retry_budget").Inc()
		return
	}
	move := &runMove{service: x.run.service, source: x.upstream, to: to, tokens: planned.Tokens, done: make(chan struct{})}
	run.move = move
	engine.moving[move] = true
	go c.carryOut(engine, run, move, leavesAt)
}

// carryOut moves a run. It runs on if the caller leaves meanwhile, to free the copy.
func (c *carrier) carryOut(engine *engineRuns, run *carriedRun, move *runMove, leavesAt time.Time) {
	x, began := run.exchange, time.Now()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.run.ctx), leavesAt.Add(moveGrace))
	defer cancel()
	result, err := c.handler.Mover.MoveRun(ctx, move.source.Address, x.run.request.ID, move.to.Address)
	c.mu.Lock()
	move.result = result
	delete(engine.moving, move)
	ended := run.ended
	if result.State == RunRefused || result.State == RunStopped {
		engine.refused[move.to.ID] = true
	}
	if result.State == RunRefused {
		run.move = nil
	}
	close(move.done)
	engine.wake()
	c.forgetIdle(engine)
	c.mu.Unlock()
	c.handler.Metrics.moves.WithLabelValues(x.run.service, moveResults[result.State]).Inc()
	c.handler.Logger.Info().Str("request", logged(x.run.request.ID)).Str("upstream", move.source.ID).Str("to", move.to.ID).
		Int("tokens", move.tokens).Str("result", moveResults[result.State]).Dur("took_ms", time.Since(began)).
		Dur("leaves_ms", time.Until(leavesAt)).AnErr("error", err).Msg("run moved")
	switch {
	case result.Handle == "":
	case ended:
		c.drop(move)
	default:
		time.AfterFunc(moveSettle, func() { x.cancel(errRunMoved) })
	}
}

// drop frees the copy of a run that does not go on with it.
func (c *carrier) drop(move *runMove) {
	if move.result.Handle == "" {
		return
	}
	c.handler.Metrics.moves.WithLabelValues(move.service, "dropped").Inc()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		if err := c.handler.Mover.DropRun(ctx, move.source.Address, move.result.Handle); err != nil {
			c.handler.Logger.Warn().Err(err).Str("upstream", move.source.ID).Msg("copy of a run not freed")
		}
	}()
}
