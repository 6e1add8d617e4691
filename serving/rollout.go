package serving

import (
	"maps"
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/rollout"
	"github.com/persimmonline/persimmonline/routing"
)

// Load: a service whose requests move to a new version that may be bad; each request is decided on
// its own, between two messages of the node that decides for the fleet.

const (
	// slowFactor is the multiple of an answer's usual time from which it is slow, slowSlack the time
	// beyond that for chance.
	slowFactor = 2.5
	slowSlack  = 30 * time.Millisecond
	// minReference is the number of answers from which the usual time is known, maxReference the
	// number over which it is averaged.
	minReference = 5
	maxReference = 100
	// maxReferences bounds the usual times that are kept while routes come and go.
	maxReferences = 4096
	// referenceUnit is the number of prompt tokens from which prompts are told apart by length.
	referenceUnit = 512
	// longAnswer is the number of standard deviations above the mean at which an answer's duration is
	// assumed when requests move.
	longAnswer = 1.0
)

// Rollout is the state of a service's move to a new version.
type Rollout struct {
	// Order identifies the order in counters; empty if there is no order yet and the new version is
	// merely unknown.
	Order string
	// Settled is the generation that gets all requests; AnyGeneration while the version is on trial.
	Settled routing.Generation
	// Share of the requests that the new version gets on trial, until ExpiresAt.
	Share     float64
	ExpiresAt time.Time
	// Moving is set if requests that would run beyond CompleteAt go to the new version.
	Moving     bool
	CompleteAt time.Time
	// EndsAt is the end of the order, Margin how long before it is completed, CountedFrom when this
	// node began to count.
	EndsAt, CountedFrom time.Time
	Margin              time.Duration
	// Bounds on the exposure, which Nodes share.
	Bounds rollout.Bounds
	Nodes  int
}

// generation returns the generation that may run the next attempt.
func (r *requestRun) generation(view *View) routing.Generation {
	move := view.Rollouts[r.service]
	now := time.Now()
	switch {
	case move == nil:
		return routing.AnyGeneration
	case move.Settled == routing.NewGeneration && !view.Fleet.Has(r.service, routing.NewGeneration):
		return routing.AnyGeneration
	case move.Settled != routing.AnyGeneration:
		return move.Settled
	case !now.Before(move.ExpiresAt) && move.Order != "" && !view.Fleet.Has(r.service, routing.OldGeneration):
		// The order may be complete, and this node has not heard of it.
		return routing.NewGeneration
	case !now.Before(move.ExpiresAt) || !r.wantsNew(move, now):
		return routing.OldGeneration
	}
	if !r.handler.rollouts.hasRoom(move, now) {
		return routing.OldGeneration
	}
	return routing.NewGeneration
}

// wantsNew reports whether the attempt should go to the new version: on trial, which no repeat joins,
// or because it would still run when the old engines stop.
func (r *requestRun) wantsNew(move *Rollout, now time.Time) bool {
	if move.Moving && r.handler.rollouts.duration(r.request.Route.Name) >= move.CompleteAt.Sub(now) {
		return true
	}
	const randomBits = 53
	drawn := float64(r.handler.nextRandom()>>(64-randomBits)) / (1 << randomBits)
	return len(r.excluded) == 0 && drawn < move.Share
}

// mayFallBack reports whether a request that no engine of a generation takes may go to the old one.
func (v *View) mayFallBack(service string, generation routing.Generation) bool {
	move := v.Rollouts[service]
	return move != nil && move.Settled == routing.AnyGeneration && generation == routing.NewGeneration
}

// rolloutCounts counts the answers of the old and the new versions, and learns usual times.
type rolloutCounts struct {
	metrics *Metrics

	mu         sync.Mutex
	orders     rollout.Report
	references map[referenceKey]*reference
	durations  map[string]*reference
	// pauses and intervals are the longest pauses and the mean intervals between events, by route.
	pauses, intervals map[string]*reference
}

type referenceKey struct {
	route string
	size  int
}

// reference is a moving mean and variance of the logarithm of seconds.
type reference struct {
	count, mean, variance float64
}

func (f *reference) observe(took time.Duration) {
	value := math.Log(max(took, time.Microsecond).Seconds())
	f.count = min(f.count+1, maxReference)
	off := value - f.mean
	f.mean += off / f.count
	f.variance += (off*off - f.variance) / f.count
}

func newRolloutCounts(metrics *Metrics) *rolloutCounts {
	return &rolloutCounts{
		metrics: metrics, orders: rollout.Report{}, references: map[referenceKey]*reference{}, durations: map[string]*reference{},
		pauses: map[string]*reference{}, intervals: map[string]*reference{},
	}
}

// RolloutReport returns a copy of this node's counters.
func (h *Handler) RolloutReport() rollout.Report {
	h.rollouts.mu.Lock()
	defer h.rollouts.mu.Unlock()
	report := make(rollout.Report, len(h.rollouts.orders))
	for order, routes := range h.rollouts.orders {
		report[order] = rollout.CopyRoutes(routes)
	}
	return report
}

// RetainRollouts drops the counters of orders that are no longer in force.
func (h *Handler) RetainRollouts(inForce func(order string) bool) {
	h.rollouts.mu.Lock()
	defer h.rollouts.mu.Unlock()
	maps.DeleteFunc(h.rollouts.orders, func(order string, _ rollout.Routes) bool { return !inForce(order) })
}

// hasRoom reports whether this node may send the new version one more request.
func (c *rolloutCounts) hasRoom(move *Rollout, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	routes := c.orders[move.Order]
	sent := rollout.Sum(routes, rollout.New, rollout.Sent)
	asked := sent + rollout.Sum(routes, rollout.Old, rollout.Sent)
	return rollout.HasRoom(move.Bounds, move.Nodes, float64(asked), float64(sent), now.Sub(move.CountedFrom), move.EndsAt.Sub(now), move.Margin)
}

// duration returns how long a long answer on a route takes; 0 if unknown.
func (c *rolloutCounts) duration(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.durations[route]
	if known == nil {
		return 0
	}
	return time.Duration(math.Exp(known.mean+longAnswer*math.Sqrt(known.variance)) * float64(time.Second))
}

// count increments a counter of an order.
func (c *rolloutCounts) count(order, route string, side rollout.Side, counter rollout.Counter) {
	if c.orders[order] == nil {
		c.orders[order] = rollout.Routes{}
	}
	if c.orders[order][route] == nil {
		c.orders[order][route] = rollout.NewTally()
	}
	rollout.Add(c.orders[order][route], side, counter, 1)
}

// sample is one attempt as it is counted. A nil sample counts nothing.
type sample struct {
	counts         *rolloutCounts
	order, service string
	route          string
	side           rollout.Side
	key            referenceKey
	startedAt      time.Time
	// slowAfter is the time from which the answer is slow; 0 if unknown.
	slowAfter time.Duration
	overdue   *time.Timer
	// judged is set once its time was judged, begun once the answer has begun.
	judged atomic.Bool
	begun  bool
	pace   pace
}

// slowFrom returns the multiple of a usual time from which a time is slow; 0 if the usual one is unknown.
func slowFrom(usual *reference) time.Duration {
	if usual == nil || usual.count < minReference {
		return 0
	}
	return time.Duration(slowFactor * math.Exp(usual.mean) * float64(time.Second))
}

// startSample starts to count an attempt; it returns nil in a deployment without rollouts.
func (r *requestRun) startSample(upstream *routing.Upstream, uncached int) *sample {
	if !r.view.JudgesVersions {
		return nil
	}
	s := &sample{
		counts: r.handler.rollouts, service: r.service, route: r.request.Route.Name, startedAt: time.Now(),
		key: referenceKey{r.request.Route.Name, bits.Len(uint(uncached / referenceUnit))},
	}
	if move := r.view.Rollouts[r.service]; move != nil && move.Settled == routing.AnyGeneration && upstream.Generation != routing.AnyGeneration {
		s.order = move.Order
	}
	if upstream.Generation == routing.NewGeneration {
		s.side = rollout.New
	}
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	if s.order == "" {
		return s
	}
	s.add(rollout.Sent)
	s.pace.pauseLimit, s.pace.intervalLimit = slowFrom(s.counts.pauses[s.route]), slowFrom(s.counts.intervals[s.route])
	if s.slowAfter = slowFrom(s.counts.references[s.key]); s.slowAfter > 0 {
		s.slowAfter += slowSlack
		s.overdue = time.AfterFunc(s.slowAfter, func() { s.judge(true) })
	}
	return s
}

// add counts the attempt; the caller holds the lock.
func (s *sample) add(counter rollout.Counter) {
	if s.order == "" {
		return
	}
	s.counts.count(s.order, s.route, s.side, counter)
	version := [...]string{rollout.Old: "old", rollout.New: "new"}[s.side]
	if name := counterNames[counter]; name != "" {
		s.counts.metrics.rollouts.WithLabelValues(s.service, version, name).Inc()
	}
}

var counterNames = map[rollout.Counter]string{
	rollout.Sent: "sent", rollout.Answered: "answered", rollout.Failed: "failed", rollout.Slow: "slow", rollout.Stalled: "stalled",
}

// judge counts the answer's time once.
func (s *sample) judge(slow bool) {
	if s.slowAfter > 0 {
		s.addOnce(&s.judged, rollout.Timed, rollout.Slow, slow)
	}
}

// addOnce counts what is judged by a yardstick, and what it finds slow, unless that was done before.
func (s *sample) addOnce(judged *atomic.Bool, all, bad rollout.Counter, slow bool) {
	if !judged.CompareAndSwap(false, true) {
		return
	}
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	s.add(all)
	if slow {
		s.add(bad)
	}
}

// firstByte records that the answer has begun.
func (s *sample) firstByte() {
	if s == nil {
		return
	}
	s.begun = true
	took := time.Since(s.startedAt)
	if s.overdue != nil {
		s.overdue.Stop()
	}
	s.judge(took > s.slowAfter)
	if s.side == rollout.Old {
		s.counts.learn(func() { observe(s.counts.references, s.key, took) })
	}
}

// complete records that the answer is complete.
func (s *sample) complete() {
	if s == nil {
		return
	}
	if !s.begun {
		s.firstByte()
	}
	now := time.Now()
	s.counts.learn(func() { observe(s.counts.durations, s.route, now.Sub(s.startedAt)) })
	s.paceComplete(now)
}

// end records the outcome.
func (s *sample) end(result outcome, slow bool) {
	if s == nil {
		return
	}
	if s.overdue != nil {
		s.overdue.Stop()
	}
	s.paceEnd(result, slow)
	failed := result == outcomeFailed || (result == outcomeBroken && !slow)
	if slow {
		s.judge(true)
	}
	if result != outcomeAnswered && !failed {
		return
	}
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	s.add(rollout.Answered)
	if failed {
		s.add(rollout.Failed)
	}
}

func (c *rolloutCounts) learn(observe func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	observe()
}

func observe[K comparable](known map[K]*reference, key K, took time.Duration) {
	if len(known) >= maxReferences {
		clear(known)
	}
	if known[key] == nil {
		known[key] = &reference{}
	}
	known[key].observe(took)
}
