package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/routing"
)

// deathProbeTimeout bounds the connection attempt that checks whether an upstream is still alive
// after it broke off an exchange.
const deathProbeTimeout = 300 * time.Millisecond

// ExchangeBroken implements serving.Events. A broken exchange counts against its request only if the
// upstream's process has ended without notice: a connection that the network reset, an upstream that
// can't be reached and one that was leaving say nothing about the request.
func (c *control) ExchangeBroken(upstream *routing.Upstream, traits []quarantine.Trait) {
	go func() {
		ctx, cancel := context.WithTimeout(c.edge.ctx, deathProbeTimeout)
		defer cancel()
		conn, err := netopt.Dialer(deathProbeTimeout).DialContext(ctx, "tcp", upstream.Address)
		if err == nil {
			_ = conn.Close()
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		c.tryPost(func(now time.Time) {
			if c.endedOnNotice(upstream) {
				return
			}
			c.edge.metrics.upstreamCrashes.Inc()
			c.attribution.RecordCrash(upstream.Key(), traits, now)
			c.edge.logger.Warn().Err(err).Str("upstream", upstream.ID).Any("traits", traits).
				Msg("upstream died while running a request")
			c.refreshRefusals()
			c.publishNow = true
			c.edge.peers.wake()
		})
	}()
}

// endedOnNotice reports whether an upstream was leaving, or its entry was removed.
func (c *control) endedOnNotice(upstream *routing.Upstream) bool {
	for _, member := range c.registry.Upstreams() {
		if member.ID == upstream.ID {
			return member.Key == upstream.Key() && member.Leaving()
		}
	}
	return true
}

// refreshRefusals logs the traits that are refused from now on, or no longer, and keeps them for views.
func (c *control) refreshRefusals() {
	refused := map[uint64]bool{}
	for _, suspect := range c.attribution.Refused() {
		refused[suspect.Hash] = true
		if !c.refusedTraits[suspect.Hash] {
			c.edge.logger.Warn().Uint64("trait", suspect.Hash).Int("position", suspect.Position).
				Strs("upstreams", suspect.Upstreams).Msg("requests that crash upstreams are refused")
		}
	}
	for hash := range c.refusedTraits {
		if !refused[hash] {
			delete(c.trials, hash)
			c.edge.logger.Warn().Uint64("trait", hash).Msg("requests are no longer refused: one has completed")
		}
	}
	c.refusedTraits = refused
}

// updateTrials offers a trial of each refused trait that is due, if this node is the one to make it.
func (c *control) updateTrials(now time.Time) {
	for _, suspect := range c.attribution.Refused() {
		_, offered := c.trials[suspect.Hash]
		switch due := suspect.TrialDue(now) && c.makesTrials(suspect.Hash, now); {
		case due && !offered:
			c.trials[suspect.Hash] = &atomic.Bool{}
		case !due && offered:
			delete(c.trials, suspect.Hash)
		}
	}
}

// makesTrials reports whether this node, of all that may be sending, makes the trials of a trait.
func (c *control) makesTrials(hash uint64, now time.Time) bool {
	if now.Sub(c.edge.startedMonotonic) < c.edge.bounds.Load().Contact || c.recentlyStalled(now) {
		return false
	}
	own := xxhash.Sum64String(c.edge.settings.Name) ^ hash
	for _, other := range c.sendingNodes(now) {
		if other^hash < own {
			return false
		}
	}
	return true
}

// TrialStarted implements serving.Events.
func (c *control) TrialStarted(hash uint64) {
	c.tryPost(func(now time.Time) {
		c.attribution.RecordTrial(hash, now)
		delete(c.trials, hash)
		c.edge.logger.Info().Uint64("trait", hash).Msg("request with a refused trait runs on trial")
		c.publishNow = true
		c.edge.peers.wake()
	})
}

// tickAttribution applies successes and offers trials.
func (c *control) tickAttribution(now time.Time) {
	c.attribution.Tick(now)
	c.refreshRefusals()
	c.updateTrials(now)
}

// outgoingSuspicions returns the suspects for a message to peers.
func (c *control) outgoingSuspicions(now time.Time) []api.EdgeSuspicion {
	shared := []api.EdgeSuspicion{}
	for _, suspect := range c.attribution.Outgoing(now) {
		suspicion := api.EdgeSuspicion{
			Fingerprint: suspect.Hash, Position: suspect.Position, Upstreams: suspect.Upstreams,
			AgeMS: ageMS(suspect.CrashedAt, now), Trials: suspect.Trials, Refused: !suspect.RefusedAt.IsZero(),
		}
		if suspect.Cleared() {
			suspicion.Upstreams, suspicion.AgeMS = []string{}, ageMS(suspect.ClearedAt, now)
		}
		shared = append(shared, suspicion)
	}
	return shared
}

// applySuspicions merges a peer's suspects.
func (c *control) applySuspicions(received []api.EdgeSuspicion, now time.Time) {
	if len(received) == 0 {
		return
	}
	suspects := make([]quarantine.Suspect, 0, len(received))
	for _, suspicion := range received {
		suspect := quarantine.Suspect{
			Trait: quarantine.Trait{Hash: suspicion.Fingerprint, Position: suspicion.Position}, Upstreams: suspicion.Upstreams, Trials: suspicion.Trials,
		}
		if at := timeOfAge(suspicion.AgeMS, now); len(suspicion.Upstreams) == 0 {
			suspect.ClearedAt = at
		} else {
			suspect.CrashedAt = at
		}
		if suspicion.Refused {
			suspect.RefusedAt = now
		}
		suspects = append(suspects, suspect)
	}
	c.attribution.Merge(suspects, now)
	c.refreshRefusals()
}
