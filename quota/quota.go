// Package quota holds each workspace to its quota over all nodes. Every node keeps a
// bucket for each workspace, takes its own use out at once and that of the others as it
// hears of it. What is admitted in the meantime becomes a debt that later refills pay, so
// that the excess is bounded by one exchange's worth of use. It is pure.
package quota

import (
	"maps"
	"time"
)

const (
	// leastSilence is the shortest time after which a silent node's share is set aside for
	// it; several exchanges of a small fleet fit into it.
	leastSilence = time.Second
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 200 * time.Millisecond
	// restartShare is the part of the burst that all nodes together start with in a system that
	// ran before; it lies within the tolerance that is kept for what nodes admit unheard.
	restartShare = 0.25
	// maxRetryAfter bounds the wait that a refused caller is told.
	maxRetryAfter = 5 * time.Second
)

// Limit of one workspace, over all nodes.
type Limit struct {
	// Rate in units per second; 0 means no limit.
	Rate float64
	// Burst that may be used at once, in units.
	Burst float64
}

// Decision on a request.
type Decision struct {
	// Admitted says whether the request is within the quota.
	Admitted bool
	// RetryAfter is when it will be; 0 if admitted.
	RetryAfter time.Duration
}

type bucket struct {
	limit Limit
	level float64
	at    time.Time
	used  float64
}

// Update is what a peer tells of the use of quotas.
type Update struct {
	// Node and Incarnation name the peer.
	Node, Incarnation string
	// Reporter says that the peer speaks for itself and for those that report to it, and that
	// this node passes that on to all. News of other peers is passed on to reporters alone.
	Reporter bool
	// Nodes is the number of nodes that the peer speaks for.
	Nodes int
	// Used is what these nodes have admitted since some point of time, by workspace.
	Used map[string]float64
	// Baseline is the part of Used that others were told before the peer came to tell this node,
	// by way of a hub that is gone; nil if there was none lately.
	Baseline map[string]float64
	// Levels of the peer's buckets; nil if it does not tell.
	Levels map[string]float64
	// SentAt is when the news was sent, by a clock of the peer that never jumps.
	SentAt time.Time
}

type peer struct {
	incarnation string
	reporter    bool
	nodes       int
	heardAt     time.Time
	// sentAt is when the newest news was sent, by the peer's clock.
	sentAt time.Time
	used   map[string]float64
	// charged is what was taken out of this node's buckets for the peer, atTerm what had been
	// when this node became a hub.
	charged, atTerm map[string]float64
}

// Ledger holds the buckets of one node. It is not safe for concurrent use.
type Ledger struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	// departed is what was charged for peers that are not known any more, or tell in another
	// role, by whether they were reporters and by their names.
	departed map[bool]map[string]map[string]float64
	// acked is this node's own use that its hub took last, at ackedAt; term is when this node last
	// became a hub.
	acked         map[string]float64
	ackedAt, term time.Time
	nodes         int
	silence       time.Duration
	// joined says that the levels of a peer were taken over; joinLevels are those that were
	// heard before the limits were known.
	joined     bool
	joinLevels map[string]float64
	// startShare is the part of the burst that all nodes together start with.
	startShare float64
}

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{
		buckets: map[string]*bucket{}, peers: map[string]*peer{}, nodes: 1, silence: leastSilence,
		departed: map[bool]map[string]map[string]float64{true: {}, false: {}}, startShare: 1,
	}
}

// MarkSystemRestart notes that the system ran before this node started: workspaces may have used their
// burst just then, and nobody may be left who knows.
func (l *Ledger) MarkSystemRestart() { l.startShare = restartShare }

// startLevel is this node's part of the burst while it has heard no levels.
func (l *Ledger) startLevel(limit Limit) float64 {
	return l.startShare * limit.Burst / float64(l.nodes)
}

// Configure sets the limits of all workspaces, the number of nodes, this one included, and
// the time after which a node that is not heard has its share set aside. A new bucket holds this node's part of the burst until a peer is heard.
func (l *Ledger) Configure(limits map[string]Limit, nodes int, silence time.Duration, now time.Time) {
	l.nodes, l.silence = max(1, nodes), max(leastSilence, silence)
	for name, limit := range limits {
		known := l.buckets[name]
		if known == nil {
			l.buckets[name] = &bucket{limit: limit, level: l.startLevel(limit), at: now}
			continue
		}
		l.refill(known, now)
		known.limit = limit
		known.level = min(known.level, limit.Burst)
		if !l.joined {
			// More nodes are known than when the bucket was made.
			known.level = min(known.level, l.startLevel(limit))
		}
	}
	for name := range l.buckets {
		if _, ok := limits[name]; !ok {
			delete(l.buckets, name)
		}
	}
	l.join(l.joinLevels)
}

// join takes over the levels of a peer once, but for buckets out of which this node has
// taken something: the peer may have taken that out already.
func (l *Ledger) join(levels map[string]float64) {
	if l.joined || len(levels) == 0 {
		return
	}
	if len(l.buckets) == 0 {
		l.joinLevels = levels
		return
	}
	l.joined, l.joinLevels = true, nil
	for name, level := range levels {
		if b := l.buckets[name]; b != nil && b.used == 0 {
			b.level = level
		}
	}
}

// Admit takes the cost of a request out of its workspace's bucket if it holds enough
// for one more request.
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

// Refund gives back the cost of a request that did not run.
func (l *Ledger) Refund(name string, cost float64) {
	if b := l.buckets[name]; b != nil {
		b.level = min(b.level+cost, b.limit.Burst)
		b.used -= cost
	}
}

// UsageForPeer returns what a peer is told: the use that this node and those peers have admitted since it
// started for which it speaks, and the number of nodes that this stands for. With all, it includes
// that of peers that are gone and did not report to it. What the peer told itself is left out.
func (l *Ledger) UsageForPeer(to string, speaksFor func(peer string) bool, all bool, now time.Time) (used map[string]float64, nodes int) {
	used, nodes = make(map[string]float64, len(l.buckets)), 1
	for name, b := range l.buckets {
		used[name] = b.used
	}
	for reporter, departed := range l.departed {
		for id, charged := range departed {
			if id != to && (reporter || all) {
				l.addUse(used, charged, 1)
			}
		}
	}
	for id, known := range l.peers {
		if id == to || !speaksFor(id) {
			continue
		}
		l.addUse(used, known.charged, 1)
		if now.Sub(known.heardAt) < l.silence {
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

// RecordAck notes that the hub has taken this node's use, and will pass it on.
func (l *Ledger) RecordAck(now time.Time) {
	l.acked, l.ackedAt = make(map[string]float64, len(l.buckets)), now
	for name, b := range l.buckets {
		l.acked[name] = b.used
	}
}

// BecomeHub notes that this node becomes a hub: what it charges for its reporters from now on, no other
// hub has passed on.
func (l *Ledger) BecomeHub(now time.Time) {
	l.term = now
	for _, known := range l.peers {
		known.atTerm = maps.Clone(known.charged)
	}
}

// Baseline returns the part of what a peer is told that it knows by the hub before, if this node
// changed its hub just now; nil if it had none lately.
func (l *Ledger) Baseline(told map[string]float64, to string, speaksFor func(peer string) bool, all bool, now time.Time) map[string]float64 {
	leads := now.Sub(l.term) < l.silence
	if now.Sub(l.ackedAt) > 2*l.silence || (!leads && now.Sub(l.ackedAt) > l.silence) {
		return nil
	}
	base := maps.Clone(told)
	for name, b := range l.buckets {
		base[name] -= b.used - l.acked[name]
	}
	if !leads || !all {
		return base
	}
	for id, known := range l.peers {
		if id != to && speaksFor(id) {
			l.addUse(base, known.charged, -1)
			l.addUse(base, known.atTerm, 1)
		}
	}
	return base
}

// addUse adds a multiple to the use of workspaces that have a quota.
func (l *Ledger) addUse(used, more map[string]float64, times float64) {
	for name, amount := range more {
		if l.buckets[name] != nil {
			used[name] += times * amount
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

// ApplyUpdate takes the news of a peer. News that is older than what is known is ignored. A node
// that has just started takes over the first levels it hears.
func (l *Ledger) ApplyUpdate(news Update, now time.Time) {
	known := l.peers[news.Node]
	if known == nil || known.incarnation != news.Incarnation || known.reporter != news.Reporter {
		l.RemovePeer(news.Node)
		known = &peer{
			incarnation: news.Incarnation, reporter: news.Reporter, sentAt: news.SentAt.Add(-1),
			used: maps.Clone(news.Used), charged: map[string]float64{},
		}
		if news.Baseline != nil {
			known.used = maps.Clone(news.Baseline)
		}
		if known.used == nil {
			known.used = map[string]float64{}
		}
		l.peers[news.Node] = known
	}
	if !news.SentAt.After(known.sentAt) {
		return
	}
	// While a peer is silent its share of the rate is set aside, which pays for what it
	// admits unheard; its news of that time must not be charged again. The times of sending
	// tell, since news that waited for a frozen node comes all at once.
	apart := news.SentAt.Sub(known.sentAt) > l.silence
	known.heardAt, known.sentAt, known.nodes = now, news.SentAt, max(1, news.Nodes)
	for name, total := range news.Used {
		if b := l.buckets[name]; b != nil && !apart {
			l.refill(b, now)
			// Less than before means that requests which did not run were refunded.
			b.level = min(b.level-(total-known.used[name]), b.limit.Burst)
			known.charged[name] += total - known.used[name]
		}
		known.used[name] = total
	}
	l.join(news.Levels)
}

// RemovePeer drops a peer that is gone, or does not tell this node any more.
func (l *Ledger) RemovePeer(id string) {
	known := l.peers[id]
	if known == nil {
		return
	}
	departed := l.departed[known.reporter][id]
	if departed == nil {
		departed = map[string]float64{}
		l.departed[known.reporter][id] = departed
	}
	for name, amount := range known.charged {
		departed[name] += amount
	}
	delete(l.peers, id)
}

// refill adds what has become free since the last refill.
func (l *Ledger) refill(b *bucket, now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.level = min(b.level+elapsed*l.rate(b, now), b.limit.Burst)
	b.at = now
}

// rate is the refill of a bucket: the whole rate less the shares of nodes that may be
// admitting unheard.
func (l *Ledger) rate(b *bucket, now time.Time) float64 {
	heard := 1
	for _, known := range l.peers {
		if now.Sub(known.heardAt) < l.silence {
			heard += known.nodes
		}
	}
	return b.limit.Rate * min(1, float64(heard)/float64(l.nodes))
}
