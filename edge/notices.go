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
)

// Noticed implements serving.Events.
func (c *control) Noticed(upstream *routing.Upstream, notice pacing.Notice) {
	c.edge.logger.Info().Str("upstream", upstream.ID).Str("born_ms", upstream.Incarnation).Str("address", upstream.Address).
		Bool("limited", notice.Limited).Float64("limit", notice.Rate).Bool("leaving", notice.Leaving).
		Dur("pause_ms", notice.Pause).Str("source", "answer").Msg("upstream's notice")
	c.tryPost(func(now time.Time) {
		c.publish(now)
		c.edge.peers.wake()
	})
}

// limits are the upstreams that name a limit or named one lately, as of the last view.
type limits struct {
	upstreams []limitedUpstream
	// limited is the number of those that name one now.
	limited int
	// others are the other nodes that may be sending requests, by hash; nil until they are needed.
	others []uint64
	// turn is where the next message goes on to tell of older limits.
	turn int
}

type limitedUpstream struct {
	id     string
	bornMS int64
	gate   *pacing.Gate
}

// begin forgets what a new view finds again.
func (l *limits) begin() { l.upstreams, l.limited, l.others = l.upstreams[:0], 0, nil }

// dealLimit gives this node its part of the limit that an upstream names. All nodes that may be
// sending count, so that a part goes to another only when the node that had it has been silent.
func (c *control) dealLimit(member *fleet.Upstream, gate *pacing.Gate, now time.Time) {
	if !gate.Noticed() {
		return
	}
	c.limits.upstreams = append(c.limits.upstreams, limitedUpstream{member.ID, member.BornMS, gate})
	limit := gate.Limit()
	if !limit.Limited {
		return
	}
	c.limits.limited++
	if c.limits.others == nil {
		c.limits.others = c.senders(now)
	}
	share := 0.0
	if len(c.limits.others) > 0 || now.Sub(c.edge.startedSteady) > joinTime {
		share = pacing.Share(limit.Rate, xxhash.Sum64String(member.Key), xxhash.Sum64String(c.edge.settings.Name), c.limits.others)
	}
	gate.Deal(share, c.gateClock())
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

// limitsTold are the limits of which a message tells: those that have changed, and some others.
func (c *control) limitsTold() []api.EdgeLimit {
	now := c.gateClock()
	told, older := []api.EdgeLimit{}, []api.EdgeLimit{}
	for _, upstream := range c.limits.upstreams {
		limit, changed, ok := upstream.gate.News(now)
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
		told = append(told, older[(c.limits.turn+i)%len(older)])
	}
	c.limits.turn += limitsInTurn
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
		heard := pacing.Limit{Limited: limit.Limited, Rate: limit.Rate, At: now.Add(-time.Duration(limit.AgeMS) * time.Millisecond)}
		if gate.Told(heard, now) {
			c.dirty = true
			c.edge.logger.Info().Str("upstream", limit.ID).Int64("born_ms", limit.BornMS).Bool("limited", limit.Limited).
				Float64("limit", limit.Rate).Int64("age_ms", limit.AgeMS).Str("source", peer.name).Msg("upstream's notice")
		}
	}
}
