package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

const (
	// limitWindow, limitFactor and limitSlack bound what reaches an engine that names a limit,
	// over all nodes.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// pauseSlack is the time after which a node has had the answer of an engine that asks for a
	// pause, and pauseSends the requests that it may send from then to the pause's end.
	pauseSlack = time.Second
	pauseSends = 2
)

// noticeKind is what an engine says of itself.
type noticeKind string

const (
	namesLimit noticeKind = "limit"
	saysLeaves noticeKind = "leaving"
	asksPause  noticeKind = "pause"
)

// noticed is a span in which an engine said the same of itself.
type noticed struct {
	engine   string
	kind     noticeKind
	limit    float64
	from, to time.Time
}

var noticeFaults = []fault{
	{"engine names limits", true, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.holdEngine(random)
		defer engine.held.Store(false)
		for range 1 + random.IntN(2) {
			limit := []float64{0, 0.5, 1, 4}[random.IntN(4)]
			from := time.Now()
			engine.SetNotice(platformtest.EngineNotice{Limit: strconv.FormatFloat(limit, 'f', -1, 64)})
			sleep(ctx, contactSpan+limitWindow+aWhile(random))
			w.notes.noticed(noticed{engine.ID(), namesLimit, limit, from, time.Now()})
		}
		for range random.IntN(4) {
			engine.SetNotice(platformtest.EngineNotice{Limit: strconv.Itoa(random.IntN(10))})
			sleep(ctx, time.Second)
		}
		engine.SetNotice(platformtest.EngineNotice{})
	}},
	{"engine leaves by its answers", true, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.holdEngine(random)
		w.replace(engine.service)
		from := time.Now()
		engine.SetNotice(platformtest.EngineNotice{Leaving: true})
		sleep(ctx, lingers+contactSpan)
		w.notes.noticed(noticed{engine.ID(), saysLeaves, 0, from, time.Now()})
		w.removeEntry(engine)
		sleep(ctx, callerWait)
		w.endEngine(engine)
	}},
	{"engine asks for a pause", true, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.holdEngine(random)
		defer engine.held.Store(false)
		pause := 2 + random.IntN(3)
		from := time.Now()
		engine.SetNotice(platformtest.EngineNotice{Unavailable: true, RetryAfter: strconv.Itoa(pause)})
		sleep(ctx, time.Duration(pause)*time.Second)
		w.notes.noticed(noticed{engine.ID(), asksPause, 0, from, time.Now()})
		engine.SetNotice(platformtest.EngineNotice{})
	}},
}

// holdEngine picks an engine that says nothing of itself, and keeps other notices from it.
func (w *world) holdEngine(random *rand.Rand) *engineHost {
	for {
		if engine := w.pickEngine(random); !engine.held.Swap(true) {
			return engine
		}
		time.Sleep(time.Millisecond)
	}
}

func (n *notes) noticed(span noticed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notices = append(n.notices, span)
}

// restarted notes the span of a planned restart, after which a node knows only what it is told.
func (n *notes) restarted(from, to time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.restarts = append(n.restarts, trouble{"restart", from, to})
}

// settled says that nothing went wrong in a span and that no node had just been restarted.
func (n *notes) settled(from, to time.Time) bool {
	for _, t := range n.restarts {
		if t.from.Before(to) && t.to.Add(contactSpan).After(from) {
			return false
		}
	}
	return n.calm(from, to)
}

// checkNotices: engines get what they ask for.
func (w *world) checkNotices() {
	for _, span := range w.notes.notices {
		arrived := w.notes.arrivedAt(span.engine)
		switch span.kind {
		case namesLimit:
			most := int(limitFactor*span.limit*limitWindow.Seconds()) + limitSlack
			for _, from := range arrived {
				until := from.Add(limitWindow)
				if from.Before(span.from.Add(contactSpan)) || until.After(span.to) || !w.notes.settled(from, until) {
					continue
				}
				if count := within(arrived, from, until); count > most {
					w.notes.breach("limit: %s names %v a second and got %d in 4 s from %s", span.engine, span.limit, count, clockTime(from))
					break
				}
			}
		case saysLeaves:
			said, ok := w.notes.firstAnswer(span.engine, span.from)
			if !ok || !w.notes.settled(span.from, span.to) {
				continue
			}
			if count := within(arrived, said.Add(drainBound), span.to); count > 0 {
				w.notes.breach("drain: %s said at %s that it leaves and got %d requests later than %s after that",
					span.engine, clockTime(said), count, drainBound)
			}
		case asksPause:
			if !w.notes.settled(span.from, span.to) {
				continue
			}
			if count := within(arrived, span.from.Add(pauseSlack), span.to); count > pauseSends*len(w.nodes) {
				w.notes.breach("budget: %s asked for a pause at %s and got %d requests in it", span.engine, clockTime(span.from), count)
			}
		}
	}
}

// arrivedAt returns when requests reached an engine.
func (n *notes) arrivedAt(engine string) []time.Time {
	var times []time.Time
	for _, a := range n.arrivals {
		if a.engine == engine {
			times = append(times, a.at)
		}
	}
	return times
}

// firstAnswer returns when an engine first ended work that it began after a time.
func (n *notes) firstAnswer(engine string, after time.Time) (first time.Time, ok bool) {
	for _, runs := range n.runs {
		for _, run := range runs {
			if run.Engine == engine && run.Began.After(after) && (!ok || run.Ended.Before(first)) {
				first, ok = run.Ended, true
			}
		}
	}
	return first, ok
}
