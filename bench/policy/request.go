package policy

import (
	"time"

	"github.com/persimmonline/persimmonline/routing"
)

const (
	// callerTimeout bounds the wait for an answer over all attempts, in seconds.
	callerTimeout = 30.0
	// firstTokenTimeout bounds the wait for the first token of one attempt, in seconds.
	firstTokenTimeout = 10.0
	// clientBackoff is the mean delay before a retry after a timeout of the caller, in seconds.
	clientBackoff = 1.0
	// minRetryAfter is the shortest retry delay after a refusal.
	minRetryAfter = 500 * time.Millisecond
)

// request is one request of a caller, with its measurements.
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

	attemptNumber int
	node          *node
	engine        *engine
	attempt       *routing.Attempt
	excluded      map[string]bool
	expected      int
	slotAt        float64
	hasSlot       bool
	prefill       float64
	cached        int
	emitted       int
	interrupted   bool

	firstAt       float64
	doneAt        float64
	refusals      int
	cacheMissed   int
	recomputed    int
	attemptTokens int
}

// target returns the first-token target of a request.
func (w *world) target(r *request) time.Duration {
	return time.Duration(w.scenario.Mix.configuration.Services[r.service].FirstTokenTargetMS) * time.Millisecond
}

// arrive delivers a new or retried request to a random node.
func (w *world) arrive(r *request) {
	r.attemptNumber++
	attemptNumber := r.attemptNumber
	entry := w.nodes[w.rng.IntN(len(w.nodes))]
	r.excluded = map[string]bool{}
	w.after(firstTokenTimeout, func() { w.timeout(r, attemptNumber) })
	if !w.policy.admits {
		r.node = entry
		w.send(entry, r)
		return
	}
	r.node = entry
	if !r.plain {
		r.node = entry.owner(r)
	}
	r.node.inFlight++
	r.node.admit(r)
}

// timeout cancels an attempt that has no first token yet, and schedules a retry.
func (w *world) timeout(r *request, attemptNumber int) {
	if r.attemptNumber != attemptNumber || r.firstAt > 0 || r.node == nil {
		return
	}
	if _, waiting := r.node.waiting[r.id]; waiting {
		r.node.queues[r.service].Cancel(r.id)
		delete(r.node.waiting, r.id)
	}
	if r.engine != nil {
		r.engine.cancel(r)
	}
	w.endAttempt(r)
	w.leaveNode(r)
	w.retry(r, clientBackoff*(0.5+w.rng.Float64()))
}

// refuse refuses a request and schedules its retry.
func (w *world) refuse(r *request, after time.Duration) {
	r.refusals++
	w.leaveNode(r)
	w.retry(r, jittered(max(after, minRetryAfter), w.rng))
}

func (w *world) retry(r *request, delay float64) {
	if w.now+delay > r.arrived+callerTimeout {
		return
	}
	w.after(delay, func() { w.arrive(r) })
}

// send routes a request and submits it to an engine.
func (w *world) send(n *node, r *request) {
	chosen, expected, ok := w.policy.pick(n, r)
	if !ok {
		w.refuse(r, 0)
		return
	}
	r.engine, r.expected, r.attemptTokens = chosen, expected, 0
	r.attempt = n.trackers[chosen].Begin(w.clock(), r.priority, max(0, r.prompt-expected), 0)
	chosen.submit(r)
}

// emit counts a token and reports whether the request continues.
func (w *world) emit(r *request) bool {
	r.emitted++
	r.attemptTokens++
	if r.firstAt == 0 {
		r.firstAt = w.now
	}
	r.attempt.RecordFirstToken(w.clock())
	if r.emitted < r.answer {
		return true
	}
	r.doneAt = w.now
	if len(r.blocks) > 0 {
		r.node.prefixes.ObserveCacheHit(r.node.holders[r.engine], r.blocks, r.cached, r.expected)
	}
	w.endAttempt(r)
	w.leaveNode(r)
	return false
}

// reroute routes a request again after its engine was terminated.
func (w *world) reroute(r *request) {
	r.excluded[r.engine.id] = true
	r.interrupted = true
	w.endAttempt(r)
	w.send(r.node, r)
}

func (w *world) endAttempt(r *request) {
	if r.attempt != nil {
		r.attempt.End(w.clock(), r.attemptTokens)
	}
	r.attempt, r.engine = nil, nil
}

// leaveNode removes a request from its node and releases its slot.
func (w *world) leaveNode(r *request) {
	if r.node == nil {
		return
	}
	n := r.node
	if w.policy.admits {
		n.inFlight--
	}
	r.node = nil
	n.release(r)
}
