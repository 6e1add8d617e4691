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

// Causes for which the current step of a flight is canceled.
var (
	// errSilent means that there was no progress within the deadline.
	errSilent = errors.New("no progress within the deadline")
	// errMoved means that the upstream is leaving and the answer continues at another one.
	errMoved = errors.New("the upstream is leaving")
	// errHandOver means that this node stops and a successor takes over the request.
	errHandOver = errors.New("the node is stopping")
	// errPromoted means that the request was handed over to this node.
	errPromoted = errors.New("the request was handed over to this node")
	// errDeadline means that the deadline set by the caller has passed.
	errDeadline = errors.New("the deadline of the request has passed")
)

// flight is one request in flight on this node: either it runs here, or its answer is
// relayed from the node that runs it.
type flight struct {
	journal *exchange.Exchange
	// seed holds the chunks received from the previous holder.
	seed []api.ChatChunk

	mu sync.Mutex
	// call is nil when this node knows only the request id.
	call *call
	// holder is the node that runs the request; nil means this node.
	holder *api.PeerMoved
	// needsHandOff is set until the request was sent to the holder.
	needsHandOff bool
	// accepted is set once the request passed admission, here or at another node.
	accepted bool
	// engine is the address of the engine that ran the request last.
	engine string
	// stop cancels the current step of the flight with a cause.
	stop context.CancelCauseFunc
}

// launch starts a flight and returns its journal.
func (g *Gateway) launch(ctx context.Context, id, workspace string, f *flight) (*exchange.Exchange, bool) {
	return g.store.Start(ctx, id, workspace, func(ctx context.Context, journal *exchange.Exchange) {
		f.journal = journal
		journal.Seed(f.seed)
		g.flights.Store(id, f)
		defer g.flights.Delete(id)
		if c := f.currentCall(); c != nil {
			journal.RecordOpened(c.opened())
			if !c.deadline.IsZero() {
				var cancel context.CancelFunc
				ctx, cancel = context.WithDeadlineCause(ctx, c.deadline, errDeadline)
				defer cancel()
			}
		}
		journal.Finish(g.process(ctx, f))
	})
}

// process runs or relays the request until its answer has ended; nil means that the
// answer is complete.
func (g *Gateway) process(ctx context.Context, f *flight) *refusal.Refusal {
	for {
		stepCtx, stop := context.WithCancelCause(ctx)
		holder := f.begin(stop)
		var refused *refusal.Refusal
		var ended bool
		if holder != nil {
			refused, ended = g.relay(stepCtx, f, holder)
		} else {
			refused, ended = g.runLocally(ctx, stepCtx, f)
		}
		stop(nil)
		if ended {
			return refused
		}
		if ctx.Err() != nil {
			return contextRefusal(ctx)
		}
	}
}

// runLocally runs the request on this node, and hands it over when the node stops.
func (g *Gateway) runLocally(ctx, stepCtx context.Context, f *flight) (*refusal.Refusal, bool) {
	refused := g.run(stepCtx, f)
	if refused == nil || !errors.Is(context.Cause(stepCtx), errHandOver) {
		return refused, true
	}
	successor, err := g.handOver(ctx, f)
	if err != nil {
		g.notHandedOver.Add(1)
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeDraining,
			"this node stops and no other node took the request").WithUnknownOutcome().WithCause("hand over request", "", err).WithRetryAfter(jittered(noUpstreamRetryAfter)), true
	}
	f.follow(successor, false)
	f.journal.MarkMoved(successor)
	return nil, false
}

// contextRefusal returns the refusal of a request whose context has ended.
func contextRefusal(ctx context.Context) *refusal.Refusal {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline,
			"the deadline of the request has passed").WithUnknownOutcome().WithCause("run", "", errDeadline)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeCanceled,
		"the request was canceled").WithUnknownOutcome().WithCause("run", "", context.Cause(ctx))
}

// begin registers the cancel function of the next step and returns the holder.
func (f *flight) begin(stop context.CancelCauseFunc) *api.PeerMoved {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = stop
	return f.holder
}

// follow makes the flight relay the answer from a holder.
func (f *flight) follow(holder api.PeerMoved, needsHandOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder = &holder
	f.needsHandOff = needsHandOff
}

// takeOver makes the flight run on this node; false means that this node knows only the
// request id and can't run it.
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

// promote makes a relayed flight run on this node, resuming at the journal of its previous
// holder. It does nothing when the flight already runs here.
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

// stopRunning cancels the current step if the request runs on this node, and reports
// whether it did.
func (f *flight) stopRunning(cause error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder != nil || f.stop == nil {
		return false
	}
	f.stop(cause)
	return true
}

func (f *flight) currentCall() *call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.call
}

func (f *flight) isRelayed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder != nil
}

// consumeHandOff reports whether the request must still be sent to the holder, and clears
// the flag.
func (f *flight) consumeHandOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	needed := f.needsHandOff
	f.needsHandOff = false
	return needed
}

func (f *flight) setEngine(engine string) {
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

// peerChat returns the request as it is sent to peers.
func (c *call) peerChat() api.PeerChat {
	message := api.PeerChat{RequestID: c.id, Workspace: c.workspace, Service: c.service, Priority: c.priority, Body: c.body}
	if !c.deadline.IsZero() {
		message.DeadlineMS = c.deadline.UnixMilli()
	}
	return message
}

// opened returns the form in which the caller requested the answer.
func (c *call) opened() api.PeerOpened {
	return api.PeerOpened{Service: c.service, Stream: c.request.Stream, IncludeUsage: c.wantsUsage()}
}

// newPeerCall returns a call that a peer accepted.
func (g *Gateway) newPeerCall(received api.PeerChat) (*call, *refusal.Refusal) {
	index := g.Control.Snapshot().Index
	if index == nil {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.CodeNoConfiguration, "no configuration yet")
	}
	c, refused := newCall(index, received.Workspace, received.Body)
	if refused != nil {
		return nil, refused
	}
	c.id = received.RequestID
	c.priority = received.Priority
	if received.DeadlineMS > 0 {
		c.deadline = time.UnixMilli(received.DeadlineMS)
	}
	return c, nil
}
