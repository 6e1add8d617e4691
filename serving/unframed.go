package serving

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/persimmonline/persimmonline/routing"
)

// The load that this answers: upstreams crash while they write answers with neither a length nor chunks,
// which end with their connection. The kernel closes the connections of a process that was killed as it
// closes those of one that has finished.

const (
	// confirmTimeout bounds the confirmation of the end of an unframed answer.
	confirmTimeout = 450 * time.Millisecond
	// confirmSettle is the time before the connection attempt that confirms it, in which a host under
	// load closes all that a killed process had open; streamConfirmSettle is the same for a stream, whose
	// caller has all events by then. A connection that is made while the address is being closed may stay
	// open without a process, so that its staying open would prove nothing.
	confirmSettle       = 25 * time.Millisecond
	streamConfirmSettle = 150 * time.Millisecond
)

var errUpstreamDied = errors.New("upstream's process ended with its answer")

// confirmEnd returns an error if the end of the answer is that of its upstream's process, whose address is
// closed after the settling time. An answer that is framed needs no confirmation; one of an upstream that
// leaves can't be confirmed, and stands.
func (x *exchange) confirmEnd(settle time.Duration) error {
	if x.answer.Framed() {
		x.confirmed = true
		return nil
	}
	if !x.run.handler.CurrentView().serves(x.run.service, x.upstream) {
		return nil
	}
	ctx, cancel := context.WithTimeout(x.ctx, confirmTimeout)
	defer cancel()
	timer := time.NewTimer(settle)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := x.run.handler.Pool.Connect(ctx, relayUpstream(x.upstream))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errUpstreamDied
	}
	x.confirmed = err == nil
	return nil
}

// recordSuccess records that the upstream has completed the request, for crashes only if that is certain.
func (x *exchange) recordSuccess() {
	x.sample.complete()
	if !x.confirmed {
		return
	}
	traits := x.run.traits
	if x.outlived {
		traits = traits[:wholeTraits]
	}
	x.run.handler.Successes.Record(traits, x.run.handler.MonotonicNow())
}

// serves reports whether an upstream is expected to go on serving a service.
func (v *View) serves(service string, upstream *routing.Upstream) bool {
	if upstream.Gate.Leaving() {
		return false
	}
	for _, known := range v.Fleet.ByService[service] {
		if known.Key() == upstream.Key() {
			return !known.Leaving
		}
	}
	return false
}
