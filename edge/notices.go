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
	// limitAnnounceTime is how long every message includes a limit that has changed; it covers
	// several exchanges through two hubs.
	limitAnnounceTime = time.Second
	// olderLimitsPerMessage is the number of older limits that a message includes in round-robin
	// order.
	olderLimitsPerMessage = 2
	// noticeRetention is how long an upstream's notices are retained after its entry was removed,
	// since the entry may come back.
	noticeRetention = time.Minute
	// noticeLogRate and noticeLogBurst limit the log lines per second about what upstreams and other
	// writers of records say.
	noticeLogRate  = 50
	noticeLogBurst = 500
)

// gate returns the gate of an upstream, a retained or new one if it has none.
func (c *control) gate(key string) *pacing.Gate {
	known := c.gates[key]
	if known == nil {
		known = &pacing.Gate{}
		if removed, ok := c.removedGates[key]; ok {
			known = removed.gate
			delete(c.removedGates, key)
		}
		c.gates[key] = known
	}
	return known
}

// removedGate is the gate of an upstream whose registry entry was removed.
type removedGate struct {
	gate      *pacing.Gate
	removedAt time.Time
}

// retireGate moves the gate of an upstream whose entry was removed to removedGates.
func (c *control) retireGate(key string, now time.Time) {
	if gate := c.gates[key]; gate != nil && gate.HasReported() {
		c.removedGates[key] = removedGate{gate, now}
	}
	delete(c.gates, key)
}

// evictGates deletes removed gates after the retention time.
func (c *control) evictGates(now time.Time) {
	for key, removed := range c.removedGates {
		if now.Sub(removed.removedAt) > noticeRetention {
			delete(c.removedGates, key)
		}
	}
}

// NoticeReceived implements serving.Events.
func (c *control) NoticeReceived(upstream *routing.Upstream, notice pacing.Notice) {
	if c.allowNoticeLog() {
		c.edge.logger.Info().Str("upstream", upstream.ID).Str("born_ms", upstream.Incarnation).Str("address", upstream.Address).
			Bool("limited", notice.Limited).Float64("limit", notice.Rate).Bool("leaving", notice.Leaving).
			Dur("pause_ms", notice.Pause).Str("source", "answer").Msg("upstream notice received")
	}
	c.tryPost(func(now time.Time) {
		c.publish(now)
		c.applyLeavingNotices(now)
		c.edge.peers.wake()
	})
}

// allowNoticeLog reports whether another log line about a notice, or a record that can't be decoded, may
// be written.
func (c *control) allowNoticeLog() bool {
	if c.noticeLogLimiter.Allow() {
		return true
	}
	c.edge.metrics.logDropped.Inc()
	return false
}

// applyLeavingNotices marks upstreams as leaving in the registry if their responses say so, as if the
// registry's records did.
func (c *control) applyLeavingNotices(now time.Time) {
	for _, upstream := range c.noticed.upstreams {
		if upstream.gate.Leaving() {
			c.handleChanges(c.registry.MarkLeaving(upstream.id, upstream.bornMS, now))
		}
	}
}

// noticeState holds the upstreams with notices as of the last published view.
type noticeState struct {
	upstreams []noticeEntry
	// limitedCount is the number of those that announce a limit now.
	limitedCount int
	// otherNodes are the hashes of the other nodes that may be sending requests; nil until needed.
	otherNodes []uint64
}

type noticeEntry struct {
	id     string
	bornMS int64
	gate   *pacing.Gate
}

// reset clears the fields before a new view is built.
func (n *noticeState) reset() {
	n.upstreams, n.limitedCount, n.otherNodes = n.upstreams[:0], 0, nil
}

// assignLimitShare assigns this node its share of the limit that an upstream announces. All nodes that
// may be sending are counted, so that a share passes to another node only after its former owner has
// been silent for long enough.
func (c *control) assignLimitShare(member *fleet.Upstream, gate *pacing.Gate, now time.Time) {
	if !gate.HasReported() {
		return
	}
	c.noticed.upstreams = append(c.noticed.upstreams, noticeEntry{member.ID, member.BornMS, gate})
	limit := gate.Limit()
	if !limit.Limited {
		return
	}
	c.noticed.limitedCount++
	if c.noticed.otherNodes == nil {
		c.noticed.otherNodes = c.sendingNodes(now)
	}
	share := 0.0
	if len(c.noticed.otherNodes) > 0 || now.Sub(c.edge.startedMonotonic) > joinDelay {
		share = pacing.Share(limit.Rate, xxhash.Sum64String(member.Key), xxhash.Sum64String(c.edge.settings.Name), c.noticed.otherNodes)
	}
	if gate.SetShare(share, c.gateClock()) && c.allowNoticeLog() {
		c.edge.logger.Info().Str("upstream", member.ID).Int64("born_ms", member.BornMS).Float64("limit", limit.Rate).
			Float64("share", share).Int("nodes", len(c.noticed.otherNodes)+1).Msg("share of upstream limit changed")
	}
}

// sendingNodes returns the hashes of the other nodes that may be sending requests.
func (c *control) sendingNodes(now time.Time) []uint64 {
	senders := make([]uint64, 0, len(c.peers))
	for name, peer := range c.peers {
		if c.mayBeServing(peer, now) {
			senders = append(senders, xxhash.Sum64String(name))
		}
	}
	return senders
}

// outgoingLimits returns the limits that a message to a peer includes: the recently changed ones and a
// few others.
func (c *control) outgoingLimits(to *peerState) []api.EdgeLimit {
	now := c.gateClock()
	announced, older := []api.EdgeLimit{}, []api.EdgeLimit{}
	for _, upstream := range c.noticed.upstreams {
		limit, changed, ok := upstream.gate.LimitUpdate(now)
		if !ok {
			continue
		}
		message := api.EdgeLimit{
			ID: upstream.id, BornMS: upstream.bornMS, Limited: limit.Limited, Rate: limit.Rate, AgeMS: ageMS(limit.At, now),
		}
		if now.Sub(changed) < limitAnnounceTime {
			announced = append(announced, message)
		} else {
			older = append(older, message)
		}
	}
	for i := range min(olderLimitsPerMessage, len(older)) {
		announced = append(announced, older[(to.limitsOffset+i)%len(older)])
	}
	to.limitsOffset += olderLimitsPerMessage
	return announced
}

// applyLimits applies the limits in a peer's message.
func (c *control) applyLimits(peer *peerState, announced []api.EdgeLimit) {
	now := c.gateClock()
	for _, limit := range announced {
		gate := c.gates[fleet.Key(limit.ID, limit.BornMS)]
		if gate == nil {
			continue
		}
		received := pacing.Limit{Limited: limit.Limited, Rate: limit.Rate, At: timeOfAge(limit.AgeMS, now)}
		if !gate.ApplyPeerLimit(received, now) {
			continue
		}
		c.publishNow = true
		if c.allowNoticeLog() {
			c.edge.logger.Info().Str("upstream", limit.ID).Int64("born_ms", limit.BornMS).Bool("limited", limit.Limited).
				Float64("limit", limit.Rate).Int64("age_ms", limit.AgeMS).Str("source", peer.name).Msg("upstream notice received")
		}
	}
}
