//go:build review

package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	quietTime = 12 * time.Second
	// windows is how often the engines get into trouble, windowTime for how long, and windowEvery the time
	// from one to the next. windowShare is the share of their requests, in percent.
	windows     = 1
	windowTime  = 4 * time.Second
	windowEvery = 18 * time.Second
	windowShare = 45
	// settleTime is how long the last requests may take.
	settleTime = 16 * time.Second
	// maxLost is the number of requests that the rule LOST lets pass.
	maxLost = 3
)

// runEndless plays the small deployment of the pages: five machines, twelve engines that get
// into trouble and answer a part of the requests with bytes without end, and four instances of a plain
// service.
func runEndless(w *world, trouble bool) int {
	engines, status := rakeline.start(w, 0)
	if status != held {
		return status
	}
	c := newClients(w, "app.example", "key-1")
	troubleAt := time.Now().Add(quietTime)
	until := troubleAt.Add(windows * windowEvery)
	for _, k := range rakeline.kinds {
		c.pending.Go(func() { c.run(k, until) })
	}
	time.Sleep(time.Until(troubleAt))
	for range windows {
		if trouble {
			setEndless(w, engines, windowShare)
			time.Sleep(windowTime)
			setEndless(w, engines, 0)
			time.Sleep(windowEvery - windowTime)
		}
	}
	time.Sleep(time.Until(until))
	c.pending.Wait()
	return judgeLost(w, c, engines)
}

// setEndless sets the share of requests that the model engines answer without end.
func setEndless(w *world, engines []*engine, percent int64) {
	w.note("the model engines answer %d in 100 requests without end from now on", percent)
	for _, e := range engines {
		if !e.plain {
			e.endless.Store(percent)
		}
	}
}

// judgeLost counts the requests from kept channels that a machine passed on to a sound engine, and
// whose channel it then closed without an answer.
func judgeLost(w *world, c *clients, engines []*engine) int {
	slices.SortFunc(c.outcomes, func(a, b outcome) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
	lost, cut, statuses := 0, 0, map[string]int{}
	for _, o := range c.outcomes {
		at := ""
		sound := false
		for _, e := range engines {
			if ran, spoiled := e.runs(o.id); ran {
				at += " " + e.id
				if spoiled {
					at += " (without end)"
				}
				sound = sound || !spoiled
			}
		}
		verdict := ""
		switch {
		case o.closed && o.kept && sound:
			lost++
			verdict = "LOST"
		case o.cut:
			cut++
			verdict = "cut"
		}
		statuses[fmt.Sprintf("%s %d", o.kind, o.status)]++
		w.note("request %s sent at %.3f to %s, kept channel %v, status %d, closed %v, cut %v, after %d ms, run at%s %s",
			o.id, o.sentAt.Sub(w.began).Seconds(), o.node, o.kept, o.status, o.closed, o.cut, o.took.Milliseconds(), at, verdict)
	}
	ends, machines := 0, 0
	for _, n := range w.nodes {
		w.note("%s: limit %d MB, largest resident size %d MB, killed for its memory %d times", n.name, n.memoryMB, n.peakKB>>10, n.outOfMemory)
		ends += n.outOfMemory
		if n.outOfMemory >= 3 {
			machines++
		}
	}
	w.note("%d requests, answers %v", len(c.outcomes), statuses)
	w.note("passed on from kept channels to sound engines and closed without an answer: %d (more than %d break the rule LOST); answers cut off: %d", lost, maxLost, cut)
	w.note("processes ended for their memory: %d; machines with three or more such ends: %d (two break the rule on faults)", ends, machines)
	if lost > maxLost || machines >= 2 {
		return broken
	}
	return held
}
