package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// lossSlack is how long a node may take to close a connection whose request it has not
	// passed on, during planned work.
	lossSlack = 200 * time.Millisecond
	// rollbackSlack is the time within which a node's goroutines may still use the version
	// before.
	rollbackSlack = 500 * time.Millisecond
	// heldSlack is the time beyond its deadline in which a request must have its answer.
	heldSlack = 500 * time.Millisecond
	// maxCrossed bounds the requests that may cross the close of their connection, by the
	// platform's rules.
	maxCrossed = 3
)

// check compares what callers and engines have seen with the promises, and notes breaches.
// Nothing runs any more.
func (w *world) check() {
	requests := map[string]*sent{}
	for _, s := range w.callers.all() {
		requests[s.id] = s
	}
	w.checkRuns(requests)
	w.checkAnswers(requests)
	w.checkLosses(requests)
	w.checkDraining()
	w.checkVersions()
	w.checkBudget(requests)
	w.checkNotices()
	for _, text := range w.cloud.Violations() {
		w.notes.breach("duties: %s", text)
	}
}

// checkRuns: what engines run is what callers sent, and as often as it may be.
func (w *world) checkRuns(requests map[string]*sent) {
	for id, runs := range w.notes.runs {
		s := requests[id]
		if s == nil {
			w.notes.breach("unasked: %s ran at %s and nobody sent it", id, runs[0].Engine)
			continue
		}
		for _, run := range runs {
			if run.Method != s.method || run.Target != s.target || run.BodySum != s.bodySum || run.Workspace != workspace {
				w.notes.breach("unasked: %s ran changed: %+v", id, run)
			}
		}
		if s.kind.runsOnce() && len(runs) > 1 {
			w.notes.breach("twice: %s (%s) ran %d times, at %s and %s", id, s.kind, len(runs), runs[0].Engine, runs[1].Engine)
		}
		switch s.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if s.kind.runsOnce() {
				w.notes.breach("refused: %s (%s) got %d from %s at %s and ran", id, s.kind, s.status, s.node, clockTime(s.ended))
			}
		}
	}
}

// checkAnswers: a success is the engine's answer, and whole; refusals say when to return;
// nothing is held beyond its deadline, and no proper request is refused as wrong.
func (w *world) checkAnswers(requests map[string]*sent) {
	for _, s := range requests {
		if s.wrong != "" {
			w.notes.breach("mixed: %s (%s) from %s at %s: %s", s.id, s.kind, s.node, clockTime(s.ended), s.wrong)
		}
		if s.status == http.StatusServiceUnavailable && !s.hasAfter {
			w.notes.breach("refusal: %s got 503 from %s without a time to return", s.id, s.node)
		}
		if !w.notes.calm(s.began, s.ended) {
			continue
		}
		if s.ended.Sub(s.began) > callerWait+heldSlack {
			w.notes.breach("held: %s (%s) at %s for %s", s.id, s.kind, s.node, s.ended.Sub(s.began))
		}
		if !strings.HasPrefix(s.id, "p-") && s.status >= 400 && s.status < 429 && s.status != http.StatusRequestTimeout {
			w.notes.breach("denied: %s (%s) got %d from %s at %s", s.id, s.kind, s.status, s.node, clockTime(s.ended))
		}
	}
}

// checkLosses: planned work costs no request.
func (w *world) checkLosses(requests map[string]*sent) {
	var crossed []*sent
	for _, s := range requests {
		if s.failure == nil && s.status != http.StatusBadGateway || !w.notes.calm(s.began, s.ended) {
			continue
		}
		switch {
		case len(w.notes.runs[s.id]) > 0:
			w.notes.breach("lost: %s (%s) was passed on by %s, sent %s, ended %s: status %d, %v",
				s.id, s.kind, s.node, clockTime(s.began), clockTime(s.ended), s.status, s.failure)
		case s.ended.Sub(s.began) > lossSlack:
			w.notes.breach("lost: %s (%s) was read by %s, sent %s, ended %s: status %d, %v",
				s.id, s.kind, s.node, clockTime(s.began), clockTime(s.ended), s.status, s.failure)
		default:
			crossed = append(crossed, s)
		}
	}
	if len(crossed) > maxCrossed {
		w.notes.breach("lost: %d requests crossed the close of their connections, the first %s at %s, sent %s",
			len(crossed), crossed[0].id, crossed[0].node, clockTime(crossed[0].began))
	}
}

// checkDraining: a leaving engine gets no new work after the bound.
func (w *world) checkDraining() {
	for _, a := range w.notes.arrivals {
		notice, leaving := w.notes.leaving[a.engine]
		if leaving && a.at.Sub(notice) > drainBound && w.notes.calm(notice, notice) && w.notes.calm(a.at, a.at) {
			w.notes.breach("drain: %s reached %s %s after its notice", a.request, a.engine, a.at.Sub(notice))
		}
	}
}

// checkVersions: a version is in force in time, and none comes back.
func (w *world) checkVersions() {
	versions := map[int]published{}
	successor := map[int]published{}
	for i, v := range w.versions {
		versions[v.version] = v
		if i > 0 {
			successor[w.versions[i-1].version] = v
		}
	}
	type process struct {
		node  string
		start int
	}
	seen := map[process]probe{}
	slices.SortFunc(w.notes.probes, func(a, b probe) int { return a.began.Compare(b.began) })
	for _, p := range w.notes.probes {
		if p.status != http.StatusOK && p.status != http.StatusNotFound {
			continue
		}
		known, served := versions[p.version], p.status == http.StatusOK
		next, superseded := successor[p.version]
		// A node counts as in touch by what went wrong before the request, not before the version.
		calm := w.notes.calm(p.began, p.ended)
		switch {
		case served && superseded && p.began.Sub(next.at) > applyBound && calm:
			w.notes.breach("config: %s served a route of version %d %s after version %d", p.node, p.version, p.began.Sub(next.at), next.version)
		case !served && !superseded && p.began.Sub(known.at) > applyBound && calm:
			w.notes.breach("config: %s has no route of version %d %s after its acknowledgement", p.node, p.version, p.began.Sub(known.at))
		}
		self := process{p.node, p.start}
		last, before := seen[self]
		if served && before && p.version < last.version && p.began.Sub(last.ended) > rollbackSlack {
			w.notes.breach("config: %s went back from version %d to %d at %s", p.node, last.version, p.version, clockTime(p.began))
		}
		if served && (!before || p.version > last.version) {
			seen[self] = p
		}
	}
}

// checkBudget: in no window do engines get more repeats than the budget allows.
func (w *world) checkBudget(requests map[string]*sent) {
	arrivals := slices.Clone(w.notes.arrivals)
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, service := range []string{serviceCalls, serviceStreams} {
		var asked, repeats []time.Time
		for _, s := range requests {
			if s.kind.streams() == (service == serviceStreams) {
				asked = append(asked, s.began)
			}
		}
		first := map[string]bool{}
		for _, a := range arrivals {
			if a.service != service {
				continue
			}
			if first[a.request] {
				repeats = append(repeats, a.at)
			}
			first[a.request] = true
		}
		for i, from := range repeats {
			until := from.Add(retryWindow)
			count := 0
			for _, at := range repeats[i:] {
				if at.Before(until) {
					count++
				}
			}
			// The requests of the window before count where they are more.
			allowed := max(within(asked, from, until), within(asked, from.Add(-retryWindow), from), within(asked, from.Add(-retryWindow/2), until.Add(-retryWindow/2)))
			if float64(count) > retryRatio*float64(allowed)+retryBurst {
				w.notes.breach("budget: %d repeats at %s for %d requests in 10 s from %s", count, service, allowed, clockTime(from))
				break
			}
		}
	}
}

func within(times []time.Time, from, until time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(until) {
			count++
		}
	}
	return count
}
