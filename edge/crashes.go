package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/internal/netopt"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// deathProbeTimeout bounds each of the connection attempts that check whether an upstream is still
	// alive after it broke off an exchange, and deathProbeSettle is the time before the second one, in
	// which a host under load closes all that a process had open.
	deathProbeTimeout = 300 * time.Millisecond
	deathProbeSettle  = 150 * time.Millisecond
	// recordDelay is how long a trait must have been refused before that is recorded in the store.
	recordDelay = time.Second
	// refusedKeyPrefix begins the keys of refused traits in the topic of nodes; the hash follows in
	// base hashBase.
	refusedKeyPrefix = "refused/"
	hashBase         = 16
)

// ExchangeBroken implements serving.Events. A broken exchange counts against its request only if the
// upstream's process has ended without notice: a connection that the network reset, an upstream that
// can't be reached and one that was leaving say nothing about the request.
func (c *control) ExchangeBroken(upstream *routing.Upstream, traits []quarantine.Trait) {
	brokenAt := time.Now()
	go func() {
		err := probeDeath(c.edge.ctx, upstream.Address)
		if err == nil {
			return
		}
		c.tryPost(func(now time.Time) {
			if c.endedOnNotice(upstream) {
				return
			}
			c.edge.metrics.upstreamCrashes.Inc()
			c.attribution.RecordCrash(upstream.Key(), traits, brokenAt)
			c.edge.logger.Warn().Err(err).Str("upstream", upstream.ID).Any("traits", traits).
				Msg("upstream died while running a request")
			c.refreshRefusals(c.attribution.Refused(), now)
			c.publishNow = true
			c.edge.peers.wake()
		})
	}()
}

// probeDeath returns the error of a connection attempt that shows that the process at an address has ended;
// nil if none does. An address may accept connections for a moment after the process has broken off others.
func probeDeath(ctx context.Context, address string) error {
	for _, delay := range []time.Duration{0, deathProbeSettle} {
		sleep(ctx, delay)
		if err := probe(ctx, address); errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
	}
	return nil
}

// probe makes a connection attempt.
func probe(ctx context.Context, address string) error {
	conn, err := netopt.Dialer(deathProbeTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("probe upstream: %w", err)
	}
	return conn.Close()
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
func (c *control) refreshRefusals(suspects []quarantine.Suspect, now time.Time) {
	refused := map[uint64]bool{}
	for _, suspect := range suspects {
		refused[suspect.Hash] = true
		if !c.refusedTraits[suspect.Hash] {
			c.edge.logger.Warn().Uint64("trait", suspect.Hash).Int("position", suspect.Position).
				Strs("upstreams", suspect.Upstreams).Ints64("crash_ages_ms", crashAgesMS(&suspect, now)).
				Int64("success_age_ms", ageMS(suspect.ClearedAt, now)).Msg("requests that crash upstreams are refused")
		}
	}
	for hash := range c.refusedTraits {
		if !refused[hash] {
			delete(c.trials, hash)
			c.edge.logger.Warn().Uint64("trait", hash).Msg("requests are no longer refused: one has succeeded, or something else explains the crashes")
		}
	}
	c.refusedTraits = refused
}

// updateTrials offers a trial of each refused trait that is due, if this node is the one to make it.
func (c *control) updateTrials(refused []quarantine.Suspect, now time.Time) {
	for _, suspect := range refused {
		_, offered := c.trials[suspect.Hash]
		switch due := suspect.TrialDue(now) && c.isResponsible(suspect.Hash, now); {
		case due && !offered:
			c.trials[suspect.Hash] = &atomic.Bool{}
		case !due && offered:
			delete(c.trials, suspect.Hash)
		}
	}
}

// isResponsible reports whether this node, of all that may be sending, makes the trials of a trait and
// keeps its record.
func (c *control) isResponsible(hash uint64, now time.Time) bool {
	if now.Sub(c.edge.startedMonotonic) < c.edge.bounds.Load().Contact || c.recentlyStalled(now) {
		return false
	}
	return pacing.Rank(hash, xxhash.Sum64String(c.edge.settings.Name), c.sendingNodes(now)) == 0
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

// tickAttribution applies successes, offers trials and records refusals.
func (c *control) tickAttribution(now time.Time) {
	c.attribution.Tick(now)
	refused := c.attribution.Refused()
	c.refreshRefusals(refused, now)
	c.updateTrials(refused, now)
	c.recordRefusals(refused, now)
}

// recordRefusals writes what is refused to the topic of nodes, so that it outlives a restart of all
// nodes, and deletes the records of what is no longer refused. One node of all does so for each trait.
func (c *control) recordRefusals(refused []quarantine.Suspect, now time.Time) {
	for _, suspect := range refused {
		if _, known := c.recordedTraits[suspect.Hash]; known || now.Sub(suspect.RefusedAt) < recordDelay || !c.isResponsible(suspect.Hash, now) {
			continue
		}
		value, err := json.Marshal(api.EdgeRefusedTrait{Suspicion: suspicionOf(&suspect, now), RefusedAtMS: c.edge.clock.now().UnixMilli()})
		if err != nil {
			c.edge.logger.Error().Err(err).Uint64("trait", suspect.Hash).Msg("refused trait not encoded")
			continue
		}
		c.recordTrait(suspect.Hash, value)
	}
	for hash, recorded := range c.recordedTraits {
		if recorded && !c.refusedTraits[hash] && c.isResponsible(hash, now) {
			c.recordTrait(hash, nil)
		}
	}
}

// recordTrait writes the record of a trait, or deletes it without a value. A record that could not be
// written is written again by a later tick.
func (c *control) recordTrait(hash uint64, value []byte) {
	written := value != nil
	c.recordedTraits[hash] = written
	go func() {
		record := platform.EncodeKeyed(refusedKeyPrefix+strconv.FormatUint(hash, hashBase), value)
		_, err := c.edge.store.Append(c.edge.ctx, topicNodes, [][]byte{record}, -1)
		if err != nil {
			c.edge.logger.Warn().Err(err).Uint64("trait", hash).Msg("record of a refused trait not written, retrying")
			sleep(c.edge.ctx, longRetryDelay)
		}
		c.post(c.edge.ctx, func(time.Time) {
			switch {
			case err != nil && written, err == nil && !written:
				delete(c.recordedTraits, hash)
			case err != nil:
				c.recordedTraits[hash] = true
			}
		})
	}()
}

// applyRefusedTrait applies a record of the topic of nodes; one without a value was deleted.
func (c *control) applyRefusedTrait(record platform.KeyedRecord, now time.Time) error {
	hash, err := strconv.ParseUint(strings.TrimPrefix(record.Key, refusedKeyPrefix), hashBase, 64)
	if err != nil {
		return fmt.Errorf("decode key: %w", err)
	}
	if len(record.Value) == 0 {
		delete(c.recordedTraits, hash)
		return nil
	}
	var recorded api.EdgeRefusedTrait
	if err := json.Unmarshal(record.Value, &recorded); err != nil {
		return fmt.Errorf("decode refused trait: %w", err)
	}
	c.recordedTraits[hash] = true
	passed := max(0, c.edge.clock.now().UnixMilli()-recorded.RefusedAtMS)
	recorded.Suspicion.AgeMS += passed
	for i := range recorded.Suspicion.UpstreamsAgesMS {
		recorded.Suspicion.UpstreamsAgesMS[i] += passed
	}
	c.applySuspicions([]api.EdgeSuspicion{recorded.Suspicion}, now)
	c.publishNow = true
	return nil
}

// outgoingSuspicions returns the suspects for a message to peers.
func (c *control) outgoingSuspicions(now time.Time) []api.EdgeSuspicion {
	shared := []api.EdgeSuspicion{}
	for _, suspect := range c.attribution.Outgoing(now) {
		shared = append(shared, suspicionOf(&suspect, now))
	}
	return shared
}

func suspicionOf(suspect *quarantine.Suspect, now time.Time) api.EdgeSuspicion {
	suspicion := api.EdgeSuspicion{
		Fingerprint: suspect.Hash, Position: suspect.Position, Upstreams: suspect.Upstreams,
		AgeMS: ageMS(suspect.CrashedAt, now), UpstreamsAgesMS: crashAgesMS(suspect, now), SuccessAgeMS: ageMS(suspect.ClearedAt, now),
		Trials: suspect.Trials, Refused: !suspect.RefusedAt.IsZero(),
	}
	if suspect.Cleared() {
		suspicion.Upstreams, suspicion.UpstreamsAgesMS = []string{}, nil
	}
	return suspicion
}

// crashAgesMS returns the times since the crashes of a suspect's upstreams.
func crashAgesMS(suspect *quarantine.Suspect, now time.Time) []int64 {
	ages := make([]int64, 0, len(suspect.Crashes))
	for _, at := range suspect.Crashes {
		ages = append(ages, ageMS(at, now))
	}
	return ages
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
			CrashedAt: timeOfAge(suspicion.AgeMS, now),
		}
		if suspicion.SuccessAgeMS < unknownAgeMS {
			suspect.ClearedAt = timeOfAge(suspicion.SuccessAgeMS, now)
		}
		for _, age := range suspicion.UpstreamsAgesMS {
			suspect.Crashes = append(suspect.Crashes, timeOfAge(age, now))
		}
		if suspicion.Refused {
			suspect.RefusedAt = now
		}
		suspects = append(suspects, suspect)
	}
	c.attribution.Merge(suspects, now)
	c.refreshRefusals(c.attribution.Refused(), now)
}
