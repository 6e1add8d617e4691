package edge

import (
	"context"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/routing"
)

// deathProbeTimeout bounds the connection attempt that checks whether an upstream is still alive
// after it broke off an exchange.
const deathProbeTimeout = 300 * time.Millisecond

// ExchangeBroken implements serving.Events. A broken exchange counts against its request only if the
// upstream died: a connection reset by the network is not the request's fault.
func (c *control) ExchangeBroken(upstream *routing.Upstream, fingerprint uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(c.edge.ctx, deathProbeTimeout)
		defer cancel()
		conn, err := netopt.Dialer(deathProbeTimeout).DialContext(ctx, "tcp", upstream.Address)
		if err == nil {
			_ = conn.Close()
			return
		}
		c.tryPost(func(now time.Time) {
			c.edge.metrics.upstreamCrashes.Inc()
			c.poison.RecordCrash(fingerprint, upstream.Key(), now)
			verdict := c.poison.Verdict(fingerprint, now)
			c.edge.logger.Warn().Err(err).Str("upstream", upstream.ID).Uint64("fingerprint", fingerprint).
				Bool("refused_from_now", verdict == quarantine.Refuse).Msg("upstream died while running a request")
			c.publishNow = true
		})
	}()
}

// poisonedRequests returns the fingerprints of requests that are refused.
func (c *control) poisonedRequests(now time.Time) map[uint64]bool {
	refused := map[uint64]bool{}
	for _, known := range c.poison.Newest() {
		if c.poison.Verdict(known.Fingerprint, now) == quarantine.Refuse {
			refused[known.Fingerprint] = true
		}
	}
	return refused
}

// outgoingSuspicions returns the suspicions for a message to peers.
func (c *control) outgoingSuspicions(now time.Time) []api.EdgeSuspicion {
	shared := []api.EdgeSuspicion{}
	for _, known := range c.poison.Newest() {
		shared = append(shared, api.EdgeSuspicion{
			Fingerprint: known.Fingerprint, Upstreams: known.Upstreams, AgeMS: now.Sub(known.At).Milliseconds(),
		})
	}
	return shared
}

// applySuspicions merges a peer's suspicions.
func (c *control) applySuspicions(received []api.EdgeSuspicion, now time.Time) {
	for _, known := range received {
		c.poison.Merge(quarantine.Suspicion{
			Fingerprint: known.Fingerprint, Upstreams: known.Upstreams,
			At: timeOfAge(known.AgeMS, now),
		}, now)
	}
}
