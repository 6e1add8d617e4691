package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

const (
	// limitWindow, limitFactor and limitSlack bound the requests from all nodes that reach an engine
	// with a limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// pauseSlack is the time after which a node has received the response of an engine that requests a
	// pause, and pauseSends the number of requests that it may send from then until the pause ends.
	pauseSlack = time.Second
	pauseSends = 2
)

// noticeKind is the kind of a notice in an engine's responses.
type noticeKind string

const (
	noticeLimit   noticeKind = "limit"
	noticeLeaving noticeKind = "leaving"
	noticePause   noticeKind = "pause"
)

// noticeSpan is a span in which an engine announced the same notice.
type noticeSpan struct {
	engine   string
	kind     noticeKind
	limit    float64
	from, to time.Time
}

var noticeFaults = []fault{
	{"engine names limits", true, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.reserveEngine(random)
		defer engine.noticeReserved.Store(false)
		for range 1 + random.IntN(2) {
			limit := []float64{0, 0.5, 1, 4}[random.IntN(4)]
			from := time.Now()
			engine.SetNotice(platformtest.EngineNotice{Limit: strconv.FormatFloat(limit, 'f', -1, 64)})
			sleep(ctx, contactSpan+limitWindow+randomDuration(random))
			w.observed.addNoticeSpan(noticeSpan{engine.ID(), noticeLimit, limit, from, time.Now()})
		}
		for range random.IntN(4) {
			engine.SetNotice(platformtest.EngineNotice{Limit: strconv.Itoa(random.IntN(10))})
			sleep(ctx, time.Second)
		}
		engine.SetNotice(platformtest.EngineNotice{})
	}},
	{"engine leaves by its answers", true, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.reserveEngine(random)
		w.addReplacement(engine.service)
		from := time.Now()
		engine.SetNotice(platformtest.EngineNotice{Leaving: true})
		sleep(ctx, lingerTime+contactSpan)
		w.observed.addNoticeSpan(noticeSpan{engine.ID(), noticeLeaving, 0, from, time.Now()})
		w.removeEntry(engine)
		sleep(ctx, callerTimeout)
		w.endEngine(engine)
	}},
	{"engine asks for a pause", true, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.reserveEngine(random)
		defer engine.noticeReserved.Store(false)
		pause := 2 + random.IntN(3)
		from := time.Now()
		engine.SetNotice(platformtest.EngineNotice{Unavailable: true, RetryAfter: strconv.Itoa(pause)})
		sleep(ctx, time.Duration(pause)*time.Second)
		w.observed.addNoticeSpan(noticeSpan{engine.ID(), noticePause, 0, from, time.Now()})
		engine.SetNotice(platformtest.EngineNotice{})
	}},
}

// reserveEngine picks an engine without a notice, and reserves it for one fault's notices.
func (w *world) reserveEngine(random *rand.Rand) *engineHost {
	for {
		if engine := w.pickEngine(random); !engine.noticeReserved.Swap(true) {
			return engine
		}
		time.Sleep(time.Millisecond)
	}
}

func (o *observations) addNoticeSpan(span noticeSpan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notices = append(o.notices, span)
}

// addRestart records the span of a planned restart, after which a node has only the state that others
// send it.
func (o *observations) addRestart(from, to time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.restarts = append(o.restarts, timeSpan{"restart", from, to})
}

// stable reports whether a span was undisturbed, but for excepted faults, and no node was restarted in it
// or shortly before.
func (o *observations) stable(from, to time.Time, except ...string) bool {
	for _, t := range o.restarts {
		if t.from.Before(to) && t.to.Add(contactSpan).After(from) {
			return false
		}
	}
	return o.undisturbed(from, to, except...)
}

// checkNotices checks that nodes respect the engines' notices.
func (w *world) checkNotices() {
	for _, span := range w.observed.notices {
		arrived := w.observed.arrivedAt(span.engine)
		switch span.kind {
		case noticeLimit:
			allowed := int(limitFactor*span.limit*limitWindow.Seconds()) + limitSlack
			for _, from := range arrived {
				until := from.Add(limitWindow)
				if from.Before(span.from.Add(contactSpan)) || until.After(span.to) || !w.observed.stable(from, until) {
					continue
				}
				if count := countBetween(arrived, from, until); count > allowed {
					w.observed.violation("limit: %s announced %v per second and got %d in 4 s from %s", span.engine, span.limit, count, clockTime(from))
					break
				}
			}
		case noticeLeaving:
			respondedAt, ok := w.observed.firstResponse(span.engine, span.from)
			if !ok || !w.observed.stable(span.from, span.to) {
				continue
			}
			if count := countBetween(arrived, respondedAt.Add(drainBound), span.to); count > 0 {
				w.observed.violation("drain: %s announced at %s that it leaves and got %d requests later than %s after that",
					span.engine, clockTime(respondedAt), count, drainBound)
			}
		case noticePause:
			if !w.observed.stable(span.from, span.to) {
				continue
			}
			if count := countBetween(arrived, span.from.Add(pauseSlack), span.to); count > pauseSends*len(w.nodes) {
				w.observed.violation("budget: %s requested a pause at %s and got %d requests during it", span.engine, clockTime(span.from), count)
			}
		}
	}
}

// arrivedAt returns the arrival times of requests at an engine.
func (o *observations) arrivedAt(engine string) []time.Time {
	var times []time.Time
	for _, a := range o.arrivals {
		if a.engine == engine {
			times = append(times, a.at)
		}
	}
	return times
}

// firstResponse returns when an engine first completed a request that it began after a time.
func (o *observations) firstResponse(engine string, after time.Time) (first time.Time, ok bool) {
	for _, runs := range o.runs {
		for _, run := range runs {
			if run.Engine == engine && run.Began.After(after) && (!ok || run.Ended.Before(first)) {
				first, ok = run.Ended, true
			}
		}
	}
	return first, ok
}
