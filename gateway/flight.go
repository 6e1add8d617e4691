package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/exchange"
	"github.com/persimmonline/persimmonline/refusal"
)

// Causes that end what a flight does now.
var (
	// errSilent says that nothing came within the progress deadline.
	errSilent = errors.New("no progress within the deadline")
	// errMoved says that the upstream is leaving and the answer goes on elsewhere.
	errMoved = errors.New("the upstream is leaving")
	// errHandOver says that this node stops and a successor takes the request.
	errHandOver = errors.New("the node is stopping")
	// errPromoted says that the request was handed over to this node.
	errPromoted = errors.New("the request was handed over to this node")
	// errDeadline says that the caller's own deadline has passed.
	errDeadline = errors.New("the deadline of the request has passed")
)

// flight is one request on this node: either it runs here, or its answer is relayed
// from the node that runs it.
type flight struct {
	journal *exchange.Exchange
	// seed are the chunks of the last holder.
	seed []api.ChatChunk

	mu sync.Mutex
	// call is nil when only the request id is known here.
	call *call
	// holder runs the request; nil means this node.
	holder *api.PeerMoved
	// handOff says that the holder has not got the request yet.
	handOff bool
	// accepted says that the request passed admission, here or at another node.
	accepted bool
	// engine is the address of the engine that ran the request last.
	engine string
	// stop ends what the flight does now, with a cause.
	stop context.CancelCauseFunc
}

// launch starts a flight and returns its journal.
func (g *Gateway) launch(ctx context.Context, id, workspace string, f *flight) (*exchange.Exchange, bool) {
	return g.store.Start(ctx, id, workspace, func(ctx context.Context, journal *exchange.Exchange) {
		f.journal = journal
		journal.Seed(f.seed)
		g.flights.Store(id, f)
		defer g.flights.Delete(id)
		if c := f.callNow(); c != nil {
			journal.RecordOpened(c.opened())
			if !c.deadline.IsZero() {
				var cancel context.CancelFunc
				ctx, cancel = context.WithDeadlineCause(ctx, c.deadline, errDeadline)
				defer cancel()
			}
		}
		journal.Finish(g.fly(ctx, f))
	})
}

// fly runs or relays the request until its answer has ended; nil means a whole answer.
func (g *Gateway) fly(ctx context.Context, f *flight) *refusal.Refusal {
	for {
		step, stop := context.WithCancelCause(ctx)
		holder := f.begin(stop)
		var refused *refusal.Refusal
		var ended bool
		if holder != nil {
			refused, ended = g.relay(step, f, holder)
		} else {
			refused, ended = g.runHere(ctx, step, f)
		}
		stop(nil)
		if ended {
			return refused
		}
		if ctx.Err() != nil {
			return givenUp(ctx)
		}
	}
}

// runHere runs the request on this node, and hands it over when the node stops.
func (g *Gateway) runHere(ctx, step context.Context, f *flight) (*refusal.Refusal, bool) {
	refused := g.run(step, f)
	if refused == nil || !errors.Is(context.Cause(step), errHandOver) {
		return refused, true
	}
	successor, err := g.handOver(ctx, f)
	if err != nil {
		g.cut.Add(1)
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining,
			"this node stops and no other node took the request").WithUnknownOutcome().WithCause("hand over request", "", err).WithRetryAfter(jittered(noUpstreamRetry)), true
	}
	f.follow(successor, false)
	f.journal.MarkMoved(successor)
	return nil, false
}

// givenUp is the final answer of a request whose time has ended.
func givenUp(ctx context.Context) *refusal.Refusal {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline,
			"the deadline of the request has passed").WithUnknownOutcome().WithCause("run", "", errDeadline)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeCanceled,
		"the request was canceled").WithUnknownOutcome().WithCause("run", "", context.Cause(ctx))
}

// begin registers how to stop what the flight does next, and returns its holder.
func (f *flight) begin(stop context.CancelCauseFunc) *api.PeerMoved {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = stop
	return f.holder
}

// follow makes the flight relay from a holder.
func (f *flight) follow(holder api.PeerMoved, handOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder = &holder
	f.handOff = handOff
}

// takeOver makes the flight run here; false means that it can't, since the request
// itself is not known here.
func (f *flight) takeOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.call == nil {
		return false
	}
	f.holder = nil
	f.accepted = true
	return true
}

// promote makes a relayed flight run here, from the journal of its last holder. It
// does nothing when the flight runs here already.
func (f *flight) promote(c *call, chunks []api.ChatChunk, engine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder == nil {
		return
	}
	f.call = c
	f.holder = nil
	f.accepted = true
	f.engine = engine
	f.journal.Seed(chunks)
	if f.stop != nil {
		f.stop(errPromoted)
	}
}

// stopRunning ends the run on this node, if it runs here.
func (f *flight) stopRunning(cause error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder != nil || f.stop == nil {
		return false
	}
	f.stop(cause)
	return true
}

func (f *flight) callNow() *call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.call
}

func (f *flight) relays() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder != nil
}

// takeHandOff returns whether the holder must still be given the request, once.
func (f *flight) takeHandOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	handOff := f.handOff
	f.handOff = false
	return handOff
}

func (f *flight) ranAt(engine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engine = engine
}

func (f *flight) lastEngine() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engine
}

func (f *flight) isAccepted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted
}

func (f *flight) accept() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = true
}

// peerChat returns the request as peers hand it to each other.
func (c *call) peerChat() api.PeerChat {
	handed := api.PeerChat{RequestID: c.id, Workspace: c.workspace, Service: c.service, Priority: c.priority, Body: c.body}
	if !c.deadline.IsZero() {
		handed.DeadlineMS = c.deadline.UnixMilli()
	}
	return handed
}

// opened says how the caller asked for the answer.
func (c *call) opened() api.PeerOpened {
	return api.PeerOpened{Service: c.service, Stream: c.request.Stream, IncludeUsage: c.wantsUsage()}
}

// newHandedCall returns a call that a peer accepted.
func (g *Gateway) newHandedCall(handed api.PeerChat) (*call, *refusal.Refusal) {
	index := g.Control.Snapshot().Index
	if index == nil {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeNoConfiguration, "no configuration yet")
	}
	c, refused := newCall(index, handed.Workspace, handed.Body)
	if refused != nil {
		return nil, refused
	}
	c.id = handed.RequestID
	c.priority = handed.Priority
	if handed.DeadlineMS > 0 {
		c.deadline = time.UnixMilli(handed.DeadlineMS)
	}
	return c, nil
}
