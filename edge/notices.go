package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// limitNews is how long every message tells of a limit that has changed; it is several
	// exchanges by way of two hubs.
	limitNews = time.Second
	// limitsInTurn is the number of older limits that a message tells besides, in turn.
	limitsInTurn = 2
	// noticeMemory is how long what an upstream said of itself is kept after its entry was
	// removed, since the entry may come back.
	noticeMemory = time.Minute
	// noticeLineRate and noticeLineBurst bound the log lines a second of what upstreams say.
	noticeLineRate  = 50
	noticeLineBurst = 500
)

// gate returns the gate of an upstream, a new one if nothing is known of it.
func (c *control) gate(key string) *pacing.Gate {
	known := c.gates[key]
	if known == nil {
		known = &pacing.Gate{}
		if former, ok := c.formerGates[key]; ok {
			known = former.gate
			delete(c.formerGates, key)
		}
		c.gates[key] = known
	}
	return known
}

// formerGate is the gate of an upstream whose entry was removed at a time.
type formerGate struct {
	gate      *pacing.Gate
	removedAt time.Time
}

// dropGate puts the gate of an upstream without an entry aside.
func (c *control) dropGate(key string, now time.Time) {
	if gate := c.gates[key]; gate != nil && gate.HasReported() {
		c.formerGates[key] = formerGate{gate, now}
	}
	delete(c.gates, key)
}

// forgetGates forgets the gates that were put aside long ago.
func (c *control) forgetGates(now time.Time) {
	for key, former := range c.formerGates {
		if now.Sub(former.removedAt) > noticeMemory {
			delete(c.formerGates, key)
		}
	}
}

// NoticeReceived implements serving.Events.
func (c *control) NoticeReceived(upstream *routing.Upstream, notice pacing.Notice) {
	if c.noticeLine() {
		c.edge.logger.Info().Str("upstream", upstream.ID).Str("born_ms", upstream.Incarnation).Str("address", upstream.Address).
			Bool("limited", notice.Limited).Float64("limit", notice.Rate).Bool("leaving", notice.Leaving).
			Dur("pause_ms", notice.Pause).Str("source", "answer").Msg("upstream's notice")
	}
	c.tryPost(func(now time.Time) {
		c.publish(now)
		c.takeLeavingNotices(now)
		c.edge.peers.wake()
	})
}

// noticeLine says whether another line on what an upstream says may be written.
func (c *control) noticeLine() bool {
	if c.noticeLines.Allow() {
		return true
	}
	c.edge.metrics.logDropped.Inc()
	return false
}

// takeLeavingNotices takes the upstreams whose answers say that they leave out of the registry's
// live ones, as if the registry told so.
func (c *control) takeLeavingNotices(now time.Time) {
	for _, upstream := range c.noticed.upstreams {
		if upstream.gate.Leaving() {
			c.changed(c.registry.MarkLeaving(upstream.id, upstream.bornMS, now))
		}
	}
}

// noticed are the upstreams that have said something of themselves, as of the last view.
type noticed struct {
	upstreams []noticedUpstream
	// limited is the number of those that name a limit now.
	limited int
	// others are the other nodes that may be sending requests, by hash; nil until they are needed.
	others []uint64
}

type noticedUpstream struct {
	id     string
	bornMS int64
	gate   *pacing.Gate
}

// begin forgets what a new view finds again.
func (n *noticed) begin() { n.upstreams, n.limited, n.others = n.upstreams[:0], 0, nil }

// dealLimit gives this node its part of the limit that an upstream names. All nodes that may be
// sending count, so that a part goes to another only when the node that had it has been silent.
func (c *control) dealLimit(member *fleet.Upstream, gate *pacing.Gate, now time.Time) {
	if !gate.HasReported() {
		return
	}
	c.noticed.upstreams = append(c.noticed.upstreams, noticedUpstream{member.ID, member.BornMS, gate})
	limit := gate.Limit()
	if !limit.Limited {
		return
	}
	c.noticed.limited++
	if c.noticed.others == nil {
		c.noticed.others = c.senders(now)
	}
	share := 0.0
	if len(c.noticed.others) > 0 || now.Sub(c.edge.startedSteady) > joinTime {
		share = pacing.Share(limit.Rate, xxhash.Sum64String(member.Key), xxhash.Sum64String(c.edge.settings.Name), c.noticed.others)
	}
	if gate.SetShare(share, c.gateClock()) && c.noticeLine() {
		c.edge.logger.Info().Str("upstream", member.ID).Int64("born_ms", member.BornMS).Float64("limit", limit.Rate).
			Float64("share", share).Int("nodes", len(c.noticed.others)+1).Msg("part of a limit")
	}
}

// senders returns the hashes of the other nodes that may be sending requests.
func (c *control) senders(now time.Time) []uint64 {
	senders := make([]uint64, 0, len(c.peers))
	for name, peer := range c.peers {
		if c.mayServe(peer, now) {
			senders = append(senders, xxhash.Sum64String(name))
		}
	}
	return senders
}

// limitsTold are the limits of which a message to a peer tells: those that have changed, and some
// others.
func (c *control) limitsTold(to *peerState) []api.EdgeLimit {
	now := c.gateClock()
	told, older := []api.EdgeLimit{}, []api.EdgeLimit{}
	for _, upstream := range c.noticed.upstreams {
		limit, changed, ok := upstream.gate.LimitUpdate(now)
		if !ok {
			continue
		}
		message := api.EdgeLimit{
			ID: upstream.id, BornMS: upstream.bornMS, Limited: limit.Limited, Rate: limit.Rate, AgeMS: ageMS(limit.At, now),
		}
		if now.Sub(changed) < limitNews {
			told = append(told, message)
		} else {
			older = append(older, message)
		}
	}
	for i := range min(limitsInTurn, len(older)) {
		told = append(told, older[(to.limitsTurn+i)%len(older)])
	}
	to.limitsTurn += limitsInTurn
	return told
}

// takeLimits takes the limits that another node tells of.
func (c *control) takeLimits(peer *peerState, told []api.EdgeLimit) {
	now := c.gateClock()
	for _, limit := range told {
		gate := c.gates[fleet.Key(limit.ID, limit.BornMS)]
		if gate == nil {
			continue
		}
		heard := pacing.Limit{Limited: limit.Limited, Rate: limit.Rate, At: asOf(limit.AgeMS, now)}
		if !gate.ApplyPeerLimit(heard, now) {
			continue
		}
		c.dirty = true
		if c.noticeLine() {
			c.edge.logger.Info().Str("upstream", limit.ID).Int64("born_ms", limit.BornMS).Bool("limited", limit.Limited).
				Float64("limit", limit.Rate).Int64("age_ms", limit.AgeMS).Str("source", peer.name).Msg("upstream's notice")
		}
	}
}
