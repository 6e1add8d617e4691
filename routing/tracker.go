package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// historyStep is the resolution of a tracker's history.
	historyStep = 100 * time.Millisecond
	// historySteps is the number of steps in a tracker's history.
	historySteps = 256
	// speedSmoothing is the weight of a new observation in a moving average.
	speedSmoothing = 0.3
	// minRateSampleTokens is the shortest prefill from which the prefill rate is learned.
	minRateSampleTokens = 128
	// priorities is the number of priorities.
	priorities = 10
)

// Tracker counts the attempts that this node has in flight at one upstream, records the
// counts of the last seconds, and learns the upstream's speed from answers. It is shared
// by request goroutines; a routing decision reads only its atomics.
type Tracker struct {
	// LinearPrefill is set for an engine whose time to the first token is a fixed time and one for
	// each token ahead; for others, whose steps grow with the batch, a mean rate is learned.
	LinearPrefill bool
	// InFlight is the number of attempts in flight.
	InFlight atomic.Int64

	// pendingTokens and pendingCount are, for each priority, the prompt tokens and the number
	// of attempts of that or a higher priority that await their first token.
	pendingTokens, pendingCount [priorities]atomic.Int64
	// oldest is when the oldest pending attempt was sent, in Unix nanoseconds; 0 for none.
	oldest atomic.Int64

	mu       sync.Mutex
	pending  []*Attempt
	lastRead historyRead
	history  [historySteps]historyEntry
	latest   historyEntry
	rate     movingAverage
	reading  ReadingSamples
	step     movingAverage
	slotTime movingAverage
	// pause is the time between two tokens of an answer while the engine reads prompts.
	pause movingAverage
}

// historyEntry holds the counts at the end of one step of the history.
type historyEntry struct {
	step          int64
	inFlight      int64
	pendingTokens int64
}

// historyRead caches the last look-up in the history, which is repeated for the same load
// report.
type historyRead struct {
	when   time.Time
	counts historyEntry
}

// movingAverage is a moving average and the time of its last observation.
type movingAverage struct {
	value float64
	at    time.Time
}

func (a *movingAverage) observe(sample float64, now time.Time) {
	if a.at.IsZero() {
		a.value = sample
	}
	a.value += speedSmoothing * (sample - a.value)
	a.at = now
}

// Attempt is one request in flight at an upstream.
type Attempt struct {
	tracker      *Tracker
	priority     int
	tokens       int64
	tokensAhead  int64
	sentAt       time.Time
	firstTokenAt time.Time
	// lastTokenAt is when the last token arrived, readingAtLast whether the engine was reading
	// prompts then.
	lastTokenAt   time.Time
	readingAtLast bool
}

// Begin records that a request of a priority was sent. Its prefill has the given number
// of tokens; queuedByOthers is the number of prefill tokens that other nodes have queued
// there.
func (t *Tracker) Begin(now time.Time, priority, tokens int, queuedByOthers float64) *Attempt {
	a := &Attempt{tracker: t, priority: clampPriority(priority), tokens: int64(tokens), sentAt: now}
	t.InFlight.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addPending(a, 1)
	a.tokensAhead = t.pendingTokens[a.priority].Load() + int64(queuedByOthers)
	t.pending = append(t.pending, a)
	t.updateOldest()
	t.recordCounts(now)
	return a
}

// RecordFirstToken records the first token of the answer.
func (a *Attempt) RecordFirstToken(now time.Time) {
	if !a.firstTokenAt.IsZero() {
		return
	}
	a.firstTokenAt = now
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removePending(a)
	t.recordCounts(now)
	elapsed := now.Sub(a.sentAt).Seconds()
	if a.tokensAhead < minRateSampleTokens || elapsed <= 0 {
		return
	}
	t.reading.observe(float64(a.tokensAhead), elapsed, now)
	if elapsed > t.step.value {
		t.rate.observe(float64(a.tokensAhead)/(elapsed-t.step.value), now)
	}
}

// End records that the attempt is over and returned answerTokens.
func (a *Attempt) End(now time.Time, answerTokens int) {
	t := a.tracker
	t.InFlight.Add(-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.firstTokenAt.IsZero() {
		t.removePending(a)
		t.recordCounts(now)
		return
	}
	decode := now.Sub(a.firstTokenAt).Seconds()
	t.slotTime.observe(decode, now)
	if answerTokens > 1 {
		t.step.observe(decode/float64(answerTokens-1), now)
	}
	t.recordCounts(now)
}

// removePending removes an attempt from those that await their first token.
func (t *Tracker) removePending(a *Attempt) {
	for i, attempt := range t.pending {
		if attempt != a {
			continue
		}
		t.pending = append(t.pending[:i], t.pending[i+1:]...)
		t.addPending(a, -1)
		break
	}
	t.updateOldest()
}

// addPending adds an attempt to the pending counts (sign 1) or subtracts it (sign -1).
func (t *Tracker) addPending(a *Attempt, sign int64) {
	for p := a.priority; p < priorities; p++ {
		t.pendingTokens[p].Add(sign * a.tokens)
		t.pendingCount[p].Add(sign)
	}
}

// clampPriority returns the nearest valid priority.
func clampPriority(priority int) int { return min(max(priority, 0), priorities-1) }

func (t *Tracker) updateOldest() {
	if len(t.pending) == 0 {
		t.oldest.Store(0)
		return
	}
	t.oldest.Store(t.pending[0].sentAt.UnixNano())
}

// recordCounts records the current counts in the history.
func (t *Tracker) recordCounts(now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	t.latest = historyEntry{step: step, inFlight: t.InFlight.Load(), pendingTokens: t.pendingTokens[priorities-1].Load()}
	t.history[step%historySteps] = t.latest
}

// countsAt returns the counts at a time in the past; zero before the history begins.
func (t *Tracker) countsAt(when time.Time) (inFlight, pendingTokens int64) {
	step := when.UnixNano() / int64(historyStep)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !when.IsZero() && t.lastRead.when.Equal(when) {
		return t.lastRead.counts.inFlight, t.lastRead.counts.pendingTokens
	}
	if t.latest.step <= step {
		return t.latest.inFlight, t.latest.pendingTokens
	}
	best := historyEntry{step: math.MinInt64}
	for _, entry := range t.history {
		if entry.step <= step && entry.step > best.step {
			best = entry
		}
	}
	t.lastRead = historyRead{when: when, counts: best}
	return best.inFlight, best.pendingTokens
}

// speeds are what a tracker has learned of an engine: the prefill rate in tokens per second, and in
// seconds the fixed time of a prefill, the decode step, the time that an answer occupies a slot, and
// the pause between two tokens while the engine reads prompts.
type speeds struct {
	rate, overhead, step, slotTime, pause movingAverage
}

// speeds returns the learned speeds; others are the other nodes' samples of the engine.
func (t *Tracker) speeds(others ReadingSamples, now time.Time) speeds {
	t.mu.Lock()
	defer t.mu.Unlock()
	learned := speeds{rate: t.rate, step: t.step, slotTime: t.slotTime, pause: t.pause}
	if t.LinearPrefill {
		learned.rate, learned.overhead = t.reading.withOthers(others, now).estimate()
	}
	return learned
}

// Reading returns this node's samples of the engine, with the weight that they have now.
func (t *Tracker) Reading(now time.Time) ReadingSamples {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reading.aged(now)
}

// AwaitingFirstToken returns the number of attempts that await their first token, and the
// tokens of their prompts.
func (t *Tracker) AwaitingFirstToken() (count, tokens int) {
	return int(t.pendingCount[priorities-1].Load()), int(t.pendingTokens[priorities-1].Load())
}
