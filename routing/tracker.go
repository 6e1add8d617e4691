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
	// historySteps bounds a tracker's history to the changes of this many steps.
	historySteps = 256
	// learnShare is the weight of a new observation in a moving average.
	learnShare = 0.3
	// leastLearnTokens is the shortest prefill that tells an engine's rate.
	leastLearnTokens = 128
	// priorities is the number of priorities.
	priorities = 10
)

// Tracker counts what this node has under way at one upstream, keeps the counts of
// the last seconds, and learns the upstream's speed from answers. Traffic goroutines
// share it; a routing decision reads only its atomics.
type Tracker struct {
	// InFlight attempts.
	InFlight atomic.Int64

	// dueTokens and dueCount are, for each priority, the prompt tokens and the number
	// of the attempts whose first token is due and that go no later.
	dueTokens, dueCount [priorities]atomic.Int64
	// oldest is when the oldest such attempt was sent, in Unix nanoseconds; 0 for none.
	oldest atomic.Int64

	mu      sync.Mutex
	due     []*Attempt
	read    reading
	history [historySteps]mark
	latest  mark
	rate    learned
	step    learned
	hold    learned
}

// mark is the count at the end of one step of the history.
type mark struct {
	step     int64
	inFlight int64
	pending  int64
}

// reading is the history as it was last read, which is once for each load report.
type reading struct {
	when time.Time
	mark mark
}

// learned is a moving average and the time of its last observation.
type learned struct {
	value float64
	at    time.Time
}

func (l *learned) observe(sample float64, now time.Time) {
	if l.at.IsZero() {
		l.value = sample
	}
	l.value += learnShare * (sample - l.value)
	l.at = now
}

// Attempt is one request under way at an upstream.
type Attempt struct {
	tracker  *Tracker
	priority int
	tokens   int64
	ahead    int64
	sentAt   time.Time
	firstAt  time.Time
}

// Begin records that a request of a priority was sent that needs tokens of prefill;
// others is the prefill that other nodes have queued there.
func (t *Tracker) Begin(now time.Time, priority, tokens int, others float64) *Attempt {
	a := &Attempt{tracker: t, priority: clampPriority(priority), tokens: int64(tokens), sentAt: now}
	t.InFlight.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addDue(a, 1)
	a.ahead = t.dueTokens[a.priority].Load() + int64(others)
	t.due = append(t.due, a)
	t.noteDue()
	t.mark(now)
	return a
}

// FirstToken records the first token of the answer.
func (a *Attempt) FirstToken(now time.Time) {
	if !a.firstAt.IsZero() {
		return
	}
	a.firstAt = now
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(a)
	t.mark(now)
	took := now.Sub(a.sentAt).Seconds() - t.step.value
	if a.ahead >= leastLearnTokens && took > 0 {
		t.rate.observe(float64(a.ahead)/took, now)
	}
}

// End records that the attempt is over; answerTokens came.
func (a *Attempt) End(now time.Time, answerTokens int) {
	t := a.tracker
	t.InFlight.Add(-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.firstAt.IsZero() {
		t.settle(a)
		t.mark(now)
		return
	}
	decode := now.Sub(a.firstAt).Seconds()
	t.hold.observe(decode, now)
	if answerTokens > 1 {
		t.step.observe(decode/float64(answerTokens-1), now)
	}
	t.mark(now)
}

// settle takes an attempt out of those whose first token is due.
func (t *Tracker) settle(a *Attempt) {
	for i, known := range t.due {
		if known != a {
			continue
		}
		t.due = append(t.due[:i], t.due[i+1:]...)
		t.addDue(a, -1)
		break
	}
	t.noteDue()
}

// addDue counts an attempt in or out.
func (t *Tracker) addDue(a *Attempt, sign int64) {
	for p := a.priority; p < priorities; p++ {
		t.dueTokens[p].Add(sign * a.tokens)
		t.dueCount[p].Add(sign)
	}
}

// clampPriority returns the nearest priority that exists.
func clampPriority(priority int) int { return min(max(priority, 0), priorities-1) }

func (t *Tracker) noteDue() {
	if len(t.due) == 0 {
		t.oldest.Store(0)
		return
	}
	t.oldest.Store(t.due[0].sentAt.UnixNano())
}

// mark keeps the counts of now in the history.
func (t *Tracker) mark(now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	t.latest = mark{step: step, inFlight: t.InFlight.Load(), pending: t.dueTokens[priorities-1].Load()}
	t.history[step%historySteps] = t.latest
}

// at returns the counts at a time in the past; zero before the history begins.
func (t *Tracker) at(when time.Time) (inFlight, pending int64) {
	step := when.UnixNano() / int64(historyStep)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !when.IsZero() && t.read.when.Equal(when) {
		return t.read.mark.inFlight, t.read.mark.pending
	}
	if t.latest.step <= step {
		return t.latest.inFlight, t.latest.pending
	}
	best := mark{step: math.MinInt64}
	for _, known := range t.history {
		if known.step <= step && known.step > best.step {
			best = known
		}
	}
	t.read = reading{when: when, mark: best}
	return best.inFlight, best.pending
}

// speeds returns the learned prefill rate in tokens per second, decode step in
// seconds and time that an answer holds a slot in seconds.
func (t *Tracker) speeds() (rate, step, hold learned) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rate, t.step, t.hold
}

// AwaitingFirstToken returns the number of attempts whose first token is due, and the tokens of their prompts.
func (t *Tracker) AwaitingFirstToken() (count, tokens int) {
	return int(t.dueCount[priorities-1].Load()), int(t.dueTokens[priorities-1].Load())
}
