package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// lossSlack is how long a node may take to close a connection whose request it has not
	// forwarded, during planned work.
	lossSlack = 200 * time.Millisecond
	// rollbackSlack is how long a node's goroutines may still use the previous version.
	rollbackSlack = 500 * time.Millisecond
	// responseSlack is the time after its deadline within which a request must have its response.
	responseSlack = 500 * time.Millisecond
	// maxCloseRaces bounds the requests that may be lost to a race with the close of their
	// connection, by the platform's rules.
	maxCloseRaces = 3
)

// check compares the observations of callers and engines with the guarantees, and records violations.
// It runs after all processes have ended.
func (w *world) check() {
	requests := map[string]*sentRequest{}
	for _, s := range w.callers.snapshot() {
		requests[s.id] = s
	}
	w.checkRuns(requests)
	w.checkAnswers(requests)
	w.checkLosses(requests)
	w.checkDraining()
	w.checkVersions()
	w.checkBudget(requests)
	w.checkNotices()
	w.checkCrashes(requests)
	for _, text := range w.cloud.Violations() {
		w.observed.violation("duties: %s", text)
	}
}

// checkRuns checks that engines ran only what callers sent, and no more often than allowed.
func (w *world) checkRuns(requests map[string]*sentRequest) {
	for id, runs := range w.observed.runs {
		s := requests[id]
		if s == nil {
			w.observed.violation("unasked: %s ran at %s but was not sent by any caller", id, runs[0].Engine)
			continue
		}
		for _, run := range runs {
			if run.Method != s.method || run.Target != s.target || run.BodySum != s.bodySum || run.Workspace != workspace {
				w.observed.violation("unasked: %s ran changed: %+v", id, run)
			}
		}
		if s.kind.atMostOnce() && len(runs) > 1 {
			w.observed.violation("twice: %s (%s) ran %d times, at %s and %s", id, s.kind, len(runs), runs[0].Engine, runs[1].Engine)
		}
		switch s.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if s.kind.atMostOnce() {
				w.observed.violation("refused: %s (%s) got %d from %s at %s and ran", id, s.kind, s.status, s.node, clockTime(s.ended))
			}
		}
	}
}

// checkAnswers checks that a successful response is complete and the engine's own, that refusals
// carry a retry time, that no request is delayed beyond its deadline, and that no valid request is
// rejected as invalid.
func (w *world) checkAnswers(requests map[string]*sentRequest) {
	for _, s := range requests {
		if s.mismatch != "" {
			w.observed.violation("mixed: %s (%s) from %s at %s: %s", s.id, s.kind, s.node, clockTime(s.ended), s.mismatch)
		}
		if s.status == http.StatusServiceUnavailable && !s.hasRetryAfter {
			w.observed.violation("refusal: %s got 503 from %s without Retry-After", s.id, s.node)
		}
		if !w.observed.undisturbed(s.began, s.ended) {
			continue
		}
		if s.ended.Sub(s.began) > callerTimeout+responseSlack {
			w.observed.violation("held: %s (%s) at %s for %s", s.id, s.kind, s.node, s.ended.Sub(s.began))
		}
		if !strings.HasPrefix(s.id, "p-") && s.status >= 400 && s.status < 429 && s.status != http.StatusRequestTimeout {
			w.observed.violation("denied: %s (%s) got %d from %s at %s", s.id, s.kind, s.status, s.node, clockTime(s.ended))
		}
	}
}

// checkLosses checks that no request is lost during planned work.
func (w *world) checkLosses(requests map[string]*sentRequest) {
	var closeRaces []*sentRequest
	for _, s := range requests {
		if s.failure == nil && s.status != http.StatusBadGateway || !w.observed.undisturbed(s.began, s.ended) {
			continue
		}
		switch {
		case len(w.observed.runs[s.id]) > 0:
			w.observed.violation("lost: %s (%s) was forwarded by %s, sent %s, ended %s: status %d, %v",
				s.id, s.kind, s.node, clockTime(s.began), clockTime(s.ended), s.status, s.failure)
		case s.ended.Sub(s.began) > lossSlack:
			w.observed.violation("lost: %s (%s) was read by %s, sent %s, ended %s: status %d, %v",
				s.id, s.kind, s.node, clockTime(s.began), clockTime(s.ended), s.status, s.failure)
		default:
			closeRaces = append(closeRaces, s)
		}
	}
	if len(closeRaces) > maxCloseRaces {
		w.observed.violation("lost: %d requests raced with the close of their connections, the first %s at %s, sent %s",
			len(closeRaces), closeRaces[0].id, closeRaces[0].node, clockTime(closeRaces[0].began))
	}
}

// checkDraining checks that a leaving engine gets no new work after the bound.
func (w *world) checkDraining() {
	for _, a := range w.observed.arrivals {
		notice, leaving := w.observed.leaving[a.engine]
		if leaving && a.at.Sub(notice) > drainBound && w.observed.undisturbed(notice, notice) && w.observed.undisturbed(a.at, a.at) {
			w.observed.violation("drain: %s reached %s %s after its notice", a.request, a.engine, a.at.Sub(notice))
		}
	}
}

// checkVersions checks that a version takes effect in time, and that no node goes back to an older
// one.
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
	slices.SortFunc(w.observed.probes, func(a, b probe) int { return a.began.Compare(b.began) })
	for _, p := range w.observed.probes {
		if p.status != http.StatusOK && p.status != http.StatusNotFound {
			continue
		}
		known, served := versions[p.version], p.status == http.StatusOK
		next, superseded := successor[p.version]
		// Faults before the request, not before the version, decide whether the node is in contact.
		undisturbed := w.observed.undisturbed(p.began, p.ended)
		switch {
		case served && superseded && p.began.Sub(next.at) > applyBound && undisturbed:
			w.observed.violation("config: %s served a route of version %d %s after version %d", p.node, p.version, p.began.Sub(next.at), next.version)
		case !served && !superseded && p.began.Sub(known.at) > applyBound && undisturbed:
			w.observed.violation("config: %s has no route of version %d %s after its acknowledgement", p.node, p.version, p.began.Sub(known.at))
		}
		self := process{p.node, p.start}
		last, before := seen[self]
		if served && before && p.version < last.version && p.began.Sub(last.ended) > rollbackSlack {
			w.observed.violation("config: %s went back from version %d to %d at %s", p.node, last.version, p.version, clockTime(p.began))
		}
		if served && (!before || p.version > last.version) {
			seen[self] = p
		}
	}
}

// checkBudget checks that engines get no more repeats in any window than the retry budget allows.
func (w *world) checkBudget(requests map[string]*sentRequest) {
	arrivals := slices.Clone(w.observed.arrivals)
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, service := range []string{serviceCalls, serviceStreams} {
		var sent, repeats []time.Time
		for _, s := range requests {
			if s.kind.streams() == (service == serviceStreams) {
				sent = append(sent, s.began)
			}
		}
		seen := map[string]bool{}
		for _, a := range arrivals {
			if a.service != service {
				continue
			}
			if seen[a.request] {
				repeats = append(repeats, a.at)
			}
			seen[a.request] = true
		}
		for i, from := range repeats {
			until := from.Add(retryWindow)
			count := 0
			for _, at := range repeats[i:] {
				if at.Before(until) {
					count++
				}
			}
			// The requests of an earlier window count if they are more.
			allowed := max(countBetween(sent, from, until), countBetween(sent, from.Add(-retryWindow), from), countBetween(sent, from.Add(-retryWindow/2), until.Add(-retryWindow/2)))
			if float64(count) > retryRatio*float64(allowed)+retryBurst {
				w.observed.violation("budget: %d repeats at %s for %d requests in 10 s from %s", count, service, allowed, clockTime(from))
				break
			}
		}
	}
}

func countBetween(times []time.Time, from, until time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(until) {
			count++
		}
	}
	return count
}
