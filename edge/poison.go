package edge

import (
	"context"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/routing"
)

// deathProbe bounds the connection by which a node learns whether an upstream that broke
// an exchange off is still there.
const deathProbe = 300 * time.Millisecond

// ExchangeBroken implements serving.Events. A broken exchange counts against its request only if the
// upstream died: a network that resets connections says nothing of the request.
func (c *control) ExchangeBroken(upstream *routing.Upstream, fingerprint uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(c.edge.ctx, deathProbe)
		defer cancel()
		conn, err := netopt.Dialer(deathProbe).DialContext(ctx, "tcp", upstream.Address)
		if err == nil {
			_ = conn.Close()
			return
		}
		c.tryPost(func(now time.Time) {
			c.poison.Crash(fingerprint, upstream.Key(), now)
			verdict := c.poison.Verdict(fingerprint, now)
			c.edge.logger.Warn().Err(err).Str("upstream", upstream.ID).Uint64("fingerprint", fingerprint).
				Bool("refused_from_now", verdict == quarantine.Refuse).Msg("upstream died while it ran a request")
			c.dirty = true
		})
	}()
}

// poisoned returns the requests that are not run any more.
func (c *control) poisoned(now time.Time) map[uint64]bool {
	refused := map[uint64]bool{}
	for _, known := range c.poison.Newest() {
		if c.poison.Verdict(known.Fingerprint, now) == quarantine.Refuse {
			refused[known.Fingerprint] = true
		}
	}
	return refused
}

// suspicions returns what peers are told.
func (c *control) suspicions(now time.Time) []api.EdgeSuspicion {
	shared := []api.EdgeSuspicion{}
	for _, known := range c.poison.Newest() {
		shared = append(shared, api.EdgeSuspicion{
			Fingerprint: known.Fingerprint, Upstreams: known.Upstreams, AgeMS: now.Sub(known.At).Milliseconds(),
		})
	}
	return shared
}

// takeSuspicions takes what a peer knows.
func (c *control) takeSuspicions(heard []api.EdgeSuspicion, now time.Time) {
	for _, known := range heard {
		c.poison.Merge(quarantine.Suspicion{
			Fingerprint: known.Fingerprint, Upstreams: known.Upstreams,
			At: asOf(known.AgeMS, now),
		}, now)
	}
}
