// Package quota holds each workspace to its quota over all nodes. Every node keeps a
// bucket for each workspace, takes its own use out at once and that of the others as it
// hears of it. What is admitted in the meantime becomes a debt that later refills pay, so
// that the excess is bounded by one exchange's worth of use. It is pure.
package quota

import "time"

const (
	// leastSilence is the shortest time after which a silent node's share is set aside for
	// it; several exchanges of a small fleet fit into it.
	leastSilence = time.Second
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 200 * time.Millisecond
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

type peer struct {
	incarnation string
	heardAt     time.Time
	// sentAt is when the newest news was sent, by the peer's clock.
	sentAt time.Time
	used   map[string]float64
}

// Ledger holds the buckets of one node. It is not safe for concurrent use.
type Ledger struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	nodes   int
	silence time.Duration
	// joined says that the levels of a peer were taken over; joinLevels are those that were
	// heard before the limits were known.
	joined     bool
	joinLevels map[string]float64
}

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{buckets: map[string]*bucket{}, peers: map[string]*peer{}, nodes: 1, silence: leastSilence}
}

// Configure sets the limits of all workspaces, the number of nodes, this one included, and
// the time after which a node that is not heard has its share set aside. A new bucket holds this node's part of the burst until a peer is heard.
func (l *Ledger) Configure(limits map[string]Limit, nodes int, silence time.Duration, now time.Time) {
	l.nodes, l.silence = max(1, nodes), max(leastSilence, silence)
	for name, limit := range limits {
		known := l.buckets[name]
		if known == nil {
			l.buckets[name] = &bucket{limit: limit, level: limit.Burst / float64(l.nodes), at: now}
			continue
		}
		l.refill(known, now)
		known.limit = limit
		known.level = min(known.level, limit.Burst)
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

// Used returns what this node has admitted for each workspace since it started.
func (l *Ledger) Used() map[string]float64 {
	used := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		used[name] = b.used
	}
	return used
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

// Heard takes what a peer had admitted since it started when it sent its news, by its own
// clock, and the levels of its buckets. News that is older than what is known is ignored.
// A node that has just started takes over the first levels it hears; news may come
// without levels.
func (l *Ledger) Heard(id, incarnation string, used, levels map[string]float64, sentAt, now time.Time) {
	known := l.peers[id]
	if known == nil || known.incarnation != incarnation {
		known = &peer{incarnation: incarnation, sentAt: sentAt.Add(-1), used: map[string]float64{}}
		l.peers[id] = known
		for name, total := range used {
			known.used[name] = total
		}
	}
	if !sentAt.After(known.sentAt) {
		return
	}
	// While a peer is silent its share of the rate is set aside, which pays for what it
	// admits unheard; its news of that time must not be charged again. The times of sending
	// tell, since news that waited for a frozen node comes all at once.
	apart := sentAt.Sub(known.sentAt) > l.silence
	known.heardAt, known.sentAt = now, sentAt
	for name, total := range used {
		if b := l.buckets[name]; b != nil {
			l.refill(b, now)
			if !apart {
				// Less than before means that requests which did not run were refunded.
				b.level = min(b.level-(total-known.used[name]), b.limit.Burst)
			}
		}
		known.used[name] = total
	}
	l.join(levels)
}

// Forget drops a peer that is gone.
func (l *Ledger) Forget(id string) { delete(l.peers, id) }

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
			heard++
		}
	}
	return b.limit.Rate * min(1, float64(heard)/float64(l.nodes))
}
