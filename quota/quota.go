// Package quota enforces the quota of each workspace over all nodes. Every node has a token
// bucket per workspace, which it charges with its own usage at once and with the usage of other
// nodes when it receives their updates. Usage that was admitted in the meantime makes the
// bucket negative until refills pay for it, so that the excess is bounded by the usage between
// two exchanges. It has no side effects.
package quota

import (
	"maps"
	"time"
)

const (
	// minSilence is the shortest time after which the share of a silent node is reserved
	// for it. It covers several exchanges of a small fleet.
	minSilence = time.Second
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 200 * time.Millisecond
	// restartBurstShare is the part of the burst that all nodes together start with in a
	// system that ran before. It is within the tolerance for requests that nodes admit
	// before they receive each other's updates.
	restartBurstShare = 0.25
	// maxRetryAfter bounds the retry delay of a refused caller.
	maxRetryAfter = 5 * time.Second
)

// Limit is the limit of one workspace over all nodes.
type Limit struct {
	// Rate is in units per second; 0 means no limit.
	Rate float64
	// Burst is the number of units that may be used at once.
	Burst float64
}

// Decision is the outcome for a request.
type Decision struct {
	// Admitted is set when the request is within the quota.
	Admitted bool
	// RetryAfter is the delay after which it will be; 0 if admitted.
	RetryAfter time.Duration
}

// bucket is the token bucket of one workspace; used is the cumulative usage that this node
// has admitted.
type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	used       float64
}

// Update is a peer's report of quota usage.
type Update struct {
	// Node and Incarnation identify the peer.
	Node, Incarnation string
	// Reporter is set when the peer reports to this node: it aggregates its own usage and that
	// of the nodes that report to it, and this node forwards the sum to all. Updates of other
	// peers are forwarded only to reporters.
	Reporter bool
	// Nodes is the number of nodes that the peer represents.
	Nodes int
	// Used is the cumulative usage that these nodes have admitted, by workspace, since an
	// arbitrary start.
	Used map[string]float64
	// Baseline is the part of Used that others already received through the peer's previous
	// hub; nil if there was none recently.
	Baseline map[string]float64
	// Levels are the levels of the peer's buckets; nil if the update has none.
	Levels map[string]float64
	// SentAt is when the update was sent, by a monotonic clock of the peer.
	SentAt time.Time
}

type peer struct {
	incarnation  string
	reporter     bool
	nodes        int
	lastReceived time.Time
	// lastSent is when the newest update was sent, by the peer's clock.
	lastSent time.Time
	used     map[string]float64
	// charged is the usage of the peer that was charged to this node's buckets, chargedBeforeHub
	// its value when this node became a hub.
	charged, chargedBeforeHub map[string]float64
}

// Ledger holds the buckets of one node and the usage of its peers. It is not safe for
// concurrent use.
type Ledger struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	// departedCharges is the usage that was charged for peers that were removed or changed their
	// role, by whether they were reporters and by name.
	departedCharges map[bool]map[string]map[string]float64
	// ackedUsage is this node's own usage that its hub last acknowledged, at ackedAt; hubSince is
	// when this node last became a hub.
	ackedUsage        map[string]float64
	ackedAt, hubSince time.Time
	nodes             int
	silenceTimeout    time.Duration
	// levelsAdopted is set once the levels of a peer were adopted; pendingLevels are levels that
	// were received before the limits.
	levelsAdopted bool
	pendingLevels map[string]float64
	// initialBurstShare is the part of the burst that all nodes together start with.
	initialBurstShare float64
}

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{
		buckets: map[string]*bucket{}, peers: map[string]*peer{}, nodes: 1, silenceTimeout: minSilence,
		departedCharges: map[bool]map[string]map[string]float64{true: {}, false: {}}, initialBurstShare: 1,
	}
}

// MarkSystemRestart records that the system ran before this node started: workspaces may have
// used their burst shortly before, and there may be no node left that has a record of it.
func (l *Ledger) MarkSystemRestart() { l.initialBurstShare = restartBurstShare }

// initialLevel returns this node's part of the burst before it has received any levels.
func (l *Ledger) initialLevel(limit Limit) float64 {
	return l.initialBurstShare * limit.Burst / float64(l.nodes)
}

// Configure sets the limits of all workspaces, the number of nodes, including this one, and
// the time after which the share of a silent node is reserved for it. A new bucket starts
// with this node's part of the burst until levels of a peer are received.
func (l *Ledger) Configure(limits map[string]Limit, nodes int, silenceTimeout time.Duration, now time.Time) {
	l.nodes, l.silenceTimeout = max(1, nodes), max(minSilence, silenceTimeout)
	for name, limit := range limits {
		known := l.buckets[name]
		if known == nil {
			l.buckets[name] = &bucket{limit: limit, level: l.initialLevel(limit), refilledAt: now}
			continue
		}
		l.refill(known, now)
		known.limit = limit
		known.level = min(known.level, limit.Burst)
		if !l.levelsAdopted {
			// There may be more nodes than when the bucket was created.
			known.level = min(known.level, l.initialLevel(limit))
		}
	}
	for name := range l.buckets {
		if _, ok := limits[name]; !ok {
			delete(l.buckets, name)
		}
	}
	l.adoptLevels(l.pendingLevels)
}

// adoptLevels adopts the first levels of a peer, except for buckets that this node has
// charged: the peer may have charged the same usage already.
func (l *Ledger) adoptLevels(levels map[string]float64) {
	if l.levelsAdopted || len(levels) == 0 {
		return
	}
	if len(l.buckets) == 0 {
		l.pendingLevels = levels
		return
	}
	l.levelsAdopted, l.pendingLevels = true, nil
	for name, level := range levels {
		if b := l.buckets[name]; b != nil && b.used == 0 {
			b.level = level
		}
	}
}

// Admit charges the cost of a request to the bucket of its workspace if its level suffices.
func (l *Ledger) Admit(name string, cost float64, now time.Time) Decision {
	b := l.buckets[name]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	l.refill(b, now)
	need := min(cost, b.limit.Burst)
	if b.level < need {
		wait := time.Duration((need - b.level) / l.rate(b, now) * float64(time.Second))
		return Decision{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	}
	b.level -= cost
	b.used += cost
	return Decision{Admitted: true}
}

// Refund credits the cost of a request that did not run.
func (l *Ledger) Refund(name string, cost float64) {
	if b := l.buckets[name]; b != nil {
		b.level = min(b.level+cost, b.limit.Burst)
		b.used -= cost
	}
}

// UsageForPeer returns the usage to report to a peer, which is that of this node and of the peers
// that it represents since it started, and the number of these nodes. toReporter is set for a
// recipient that reports, or should report, to this node; its usage includes that of removed
// peers that were not reporters. The recipient's own usage is excluded.
func (l *Ledger) UsageForPeer(
	recipient string, represents func(peer string) bool, toReporter bool, now time.Time,
) (used map[string]float64, nodes int) {
	used, nodes = make(map[string]float64, len(l.buckets)), 1
	for name, b := range l.buckets {
		used[name] = b.used
	}
	for reporter, departed := range l.departedCharges {
		for id, charged := range departed {
			if id != recipient && (reporter || toReporter) {
				l.addUsage(used, charged, 1)
			}
		}
	}
	for id, known := range l.peers {
		if id == recipient || !represents(id) {
			continue
		}
		l.addUsage(used, known.charged, 1)
		if now.Sub(known.lastReceived) < l.silenceTimeout {
			nodes += known.nodes
		}
	}
	for name, total := range used {
		if total == 0 {
			delete(used, name)
		}
	}
	return used, nodes
}

// RecordAck records that the hub has received this node's usage and will forward it.
func (l *Ledger) RecordAck(now time.Time) {
	l.ackedUsage, l.ackedAt = make(map[string]float64, len(l.buckets)), now
	for name, b := range l.buckets {
		l.ackedUsage[name] = b.used
	}
}

// BecomeHub records that this node becomes a hub: no other hub has forwarded the usage that it
// charges for its reporters from now on.
func (l *Ledger) BecomeHub(now time.Time) {
	l.hubSince = now
	for _, known := range l.peers {
		known.chargedBeforeHub = maps.Clone(known.charged)
	}
}

// Baseline returns the part of the usage for a peer that the peer already received through the
// previous hub, if this node changed its hub recently; nil if it had none recently.
func (l *Ledger) Baseline(
	usage map[string]float64, recipient string, represents func(peer string) bool, toReporter bool, now time.Time,
) map[string]float64 {
	recentHub := now.Sub(l.hubSince) < l.silenceTimeout
	if now.Sub(l.ackedAt) > 2*l.silenceTimeout || (!recentHub && now.Sub(l.ackedAt) > l.silenceTimeout) {
		return nil
	}
	baseline := maps.Clone(usage)
	for name, b := range l.buckets {
		baseline[name] -= b.used - l.ackedUsage[name]
	}
	if !recentHub || !toReporter {
		return baseline
	}
	for id, known := range l.peers {
		if id != recipient && represents(id) {
			l.addUsage(baseline, known.charged, -1)
			l.addUsage(baseline, known.chargedBeforeHub, 1)
		}
	}
	return baseline
}

// addUsage adds a multiple of amounts to the usage of those workspaces that have a quota.
func (l *Ledger) addUsage(used, amounts map[string]float64, factor float64) {
	for name, amount := range amounts {
		if l.buckets[name] != nil {
			used[name] += factor * amount
		}
	}
}

// Levels returns the levels of the buckets.
func (l *Ledger) Levels(now time.Time) map[string]float64 {
	levels := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(b, now)
		levels[name] = b.level
	}
	return levels
}

// ApplyUpdate applies the update of a peer. Updates older than the newest one are ignored. A node
// that has just started adopts the first levels that it receives.
func (l *Ledger) ApplyUpdate(update Update, now time.Time) {
	known := l.peers[update.Node]
	if known == nil || known.incarnation != update.Incarnation || known.reporter != update.Reporter {
		l.RemovePeer(update.Node)
		known = &peer{
			incarnation: update.Incarnation, reporter: update.Reporter, lastSent: update.SentAt.Add(-1),
			used: maps.Clone(update.Used), charged: map[string]float64{},
		}
		if update.Baseline != nil {
			known.used = maps.Clone(update.Baseline)
		}
		if known.used == nil {
			known.used = map[string]float64{}
		}
		l.peers[update.Node] = known
	}
	if !update.SentAt.After(known.lastSent) {
		return
	}
	// While a peer is silent its share of the rate is reserved, which pays for the usage that
	// it admits meanwhile; an update that covers this time must not be charged again. The
	// silence is measured by send times, since updates that queued up while this node was
	// frozen are all received at once.
	spansSilence := update.SentAt.Sub(known.lastSent) > l.silenceTimeout
	known.lastReceived, known.lastSent, known.nodes = now, update.SentAt, max(1, update.Nodes)
	for name, total := range update.Used {
		if b := l.buckets[name]; b != nil && !spansSilence {
			l.refill(b, now)
			// The total decreases when requests that did not run are refunded.
			b.level = min(b.level-(total-known.used[name]), b.limit.Burst)
			known.charged[name] += total - known.used[name]
		}
		known.used[name] = total
	}
	l.adoptLevels(update.Levels)
}

// RemovePeer removes a peer that has left or no longer sends updates to this node.
func (l *Ledger) RemovePeer(id string) {
	known := l.peers[id]
	if known == nil {
		return
	}
	departed := l.departedCharges[known.reporter][id]
	if departed == nil {
		departed = map[string]float64{}
		l.departedCharges[known.reporter][id] = departed
	}
	for name, amount := range known.charged {
		departed[name] += amount
	}
	delete(l.peers, id)
}

// refill adds the tokens accrued since the last refill.
func (l *Ledger) refill(b *bucket, now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.level = min(b.level+elapsed*l.rate(b, now), b.limit.Burst)
	b.refilledAt = now
}

// rate returns the refill rate of a bucket: the rate of the limit less the shares of silent
// nodes, which may be admitting requests.
func (l *Ledger) rate(b *bucket, now time.Time) float64 {
	reachableNodes := 1
	for _, known := range l.peers {
		if now.Sub(known.lastReceived) < l.silenceTimeout {
			reachableNodes += known.nodes
		}
	}
	return b.limit.Rate * min(1, float64(reachableNodes)/float64(l.nodes))
}
