//go:build review

package main

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

const (
	// largeTokens is what the prompt of a request that is larger than an engine's memory states.
	largeTokens = 1<<32 - 1
	// largeEvery is the time between two such requests, largeTimes their number.
	largeEvery = 4 * time.Second
	largeTimes = 5
	// lateAnswer is how long after its route's timeout a request may be answered.
	lateAnswer = 500 * time.Millisecond
	// minLate is the number of late requests from which the case counts as shown: the rule speaks of a share.
	minLate = 20
)

// runLarge plays the small deployment. With the trouble, a client sends a request that is larger than an
// engine's memory, to one machine after the other.
func runLarge(w *world, trouble bool) int {
	engines, status := kaartenhuis.start(w, 0)
	if status != held {
		return status
	}
	c := newClients(w, "app.example", "key-1")
	largeAt := time.Now().Add(quietTime)
	until := largeAt.Add(largeEvery*largeTimes + afterHot)
	for _, k := range kaartenhuis.kinds {
		c.pending.Go(func() { c.run(k, until) })
	}
	time.Sleep(time.Until(largeAt))
	for i := range largeTimes {
		large := kaartenhuis.kinds[0]
		large.name = "large"
		if trouble {
			large.shared = largeTokens
		}
		n := w.nodes[i%len(w.nodes)]
		w.note("a request of %d tokens to %s", large.shared+large.tokens, n.name)
		c.pending.Go(func() { c.send(large, n) })
		time.Sleep(largeEvery)
	}
	c.pending.Wait()
	return judgeLarge(w, c, engines)
}

// judgeLarge counts the requests that were still unanswered at their route's timeout, and those of them that
// had no answer half a second later. It counts calls of the plain service, whose clients wait for longer.
func judgeLarge(w *world, c *clients, engines []*engine) int {
	slices.SortFunc(c.outcomes, func(a, b outcome) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
	unanswered, late, failed := 0, 0, 0
	for _, o := range c.outcomes {
		verdict := ""
		if o.kind == "trigger" || o.kind == "status" {
			answered := o.status != 0
			if !answered || o.took > plainTimeoutMS*time.Millisecond {
				unanswered++
				verdict = "unanswered at the timeout"
			}
			if (!answered && !o.closed) || o.took > plainTimeoutMS*time.Millisecond+lateAnswer {
				late++
				verdict = "CONFIG: unanswered half a second after the timeout"
			}
		}
		if o.status != http.StatusOK {
			failed++
		}
		at := ""
		for _, e := range engines {
			if ran, _ := e.runs(o.id); ran {
				at += " " + e.id
			}
		}
		w.note("request %s sent at %.3f to %s, status %d, closed %v, cut %v, after %d ms, run at%s %s",
			o.id, o.sentAt.Sub(w.began).Seconds(), o.node, o.status, o.closed, o.cut, o.took.Milliseconds(), at, verdict)
	}
	for _, n := range w.nodes {
		w.note("%s: limit %d MB, largest resident size %d MB, killed for its memory %d times", n.name, n.memoryMB, n.peakKB>>10, n.outOfMemory)
	}
	w.note("%d requests, %d of them without success", len(c.outcomes), failed)
	w.note("calls unanswered at their route's timeout: %d, of these without an answer half a second later: %d (more than half break the rule CONFIG; at least %d are asked for here)", unanswered, late, minLate)
	if late >= minLate && 2*late > unanswered {
		return broken
	}
	return held
}
