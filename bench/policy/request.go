package policy

import (
	"time"

	"github.com/persimmonline/persimmonline/routing"
)

const (
	// patience is how long a caller waits for its answer over all tries, in seconds.
	patience = 30.0
	// clientTimeout is how long a caller waits for the first token of one try, in seconds.
	clientTimeout = 10.0
	// clientBackoff is when a caller comes back after its own timeout, in seconds.
	clientBackoff = 1.0
	// leastRetry is the shortest time after which a refused caller is asked back.
	leastRetry = 500 * time.Millisecond
)

// request is one caller's request with what was measured of it.
type request struct {
	id        uint64
	arrived   float64
	workspace string
	service   string
	plain     bool
	priority  int
	blocks    []uint64
	key       uint64
	prompt    int
	answer    int

	try      int
	node     *node
	engine   *engine
	attempt  *routing.Attempt
	excluded map[string]bool
	expected int
	slotAt   float64
	hasSlot  bool
	prefill  float64
	cached   int
	emitted  int
	broken   bool

	firstAt    float64
	doneAt     float64
	refusals   int
	missed     int
	recomputed int
	attemptOut int
}

// target returns the first-token target of a request.
func (w *world) target(r *request) time.Duration {
	return time.Duration(w.scenario.Mix.configuration.Services[r.service].FirstTokenTargetMS) * time.Millisecond
}

// arrive takes a request, new or come back, at some node.
func (w *world) arrive(r *request) {
	r.try++
	try := r.try
	entry := w.nodes[w.rng.IntN(len(w.nodes))]
	r.excluded = map[string]bool{}
	w.after(clientTimeout, func() { w.timeout(r, try) })
	if !w.policy.admits {
		r.node = entry
		w.send(entry, r)
		return
	}
	r.node = entry
	if !r.plain {
		r.node = entry.owner(r)
	}
	r.node.owned++
	r.node.admit(r)
}

// timeout is a caller that gives up on a try without a first token.
func (w *world) timeout(r *request, try int) {
	if r.try != try || r.firstAt > 0 || r.node == nil {
		return
	}
	if _, waits := r.node.waiting[r.id]; waits {
		r.node.queues[r.service].Cancel(r.id)
		delete(r.node.waiting, r.id)
	}
	if r.engine != nil {
		r.engine.cancel(r)
	}
	w.endAttempt(r)
	w.leave(r)
	w.comeBack(r, clientBackoff*(0.5+w.rng.Float64()))
}

// refuse tells a caller when to come back.
func (w *world) refuse(r *request, after time.Duration) {
	r.refusals++
	w.leave(r)
	w.comeBack(r, jittered(max(after, leastRetry), w.rng))
}

func (w *world) comeBack(r *request, delay float64) {
	if w.now+delay > r.arrived+patience {
		return
	}
	w.after(delay, func() { w.arrive(r) })
}

// send routes a request and hands it to an engine.
func (w *world) send(n *node, r *request) {
	chosen, expected, ok := w.policy.pick(n, r)
	if !ok {
		w.refuse(r, 0)
		return
	}
	r.engine, r.expected, r.attemptOut = chosen, expected, 0
	r.attempt = n.trackers[chosen].Begin(w.clock(), r.priority, max(0, r.prompt-expected), 0)
	chosen.submit(r)
}

// emit counts a token and returns whether the request goes on.
func (w *world) emit(r *request) bool {
	r.emitted++
	r.attemptOut++
	if r.firstAt == 0 {
		r.firstAt = w.now
	}
	r.attempt.FirstToken(w.clock())
	if r.emitted < r.answer {
		return true
	}
	r.doneAt = w.now
	if len(r.blocks) > 0 {
		r.node.prefixes.ObserveCacheHit(r.node.holders[r.engine], r.blocks, r.cached, r.expected)
	}
	w.endAttempt(r)
	w.leave(r)
	return false
}

// broke routes a request again whose engine died.
func (w *world) broke(r *request) {
	r.excluded[r.engine.id] = true
	r.broken = true
	w.endAttempt(r)
	w.send(r.node, r)
}

func (w *world) endAttempt(r *request) {
	if r.attempt != nil {
		r.attempt.End(w.clock(), r.attemptOut)
	}
	r.attempt, r.engine = nil, nil
}

// leave ends a request's stay at its node.
func (w *world) leave(r *request) {
	if r.node == nil {
		return
	}
	n := r.node
	if w.policy.admits {
		n.owned--
	}
	r.node = nil
	n.release(r)
}
