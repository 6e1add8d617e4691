//go:build review

package main

import (
	"slices"
	"time"
)

const (
	// hotFactor and hotTime are the largest dose of the pages for a tenant that sends many times its usual.
	hotFactor = 6
	hotTime   = 11 * time.Second
	// afterHot is how long the others then go on.
	afterHot = 10 * time.Second
	// longShare is the share of the first kind of request that comes from the tenant with the long bodies.
	longShare = 0.9
)

// runBodies plays the small deployment with one tenant whose bodies are as long as the configuration
// allows. With the trouble this tenant sends many times its usual.
func runBodies(w *world, trouble bool) int {
	engines, status := rakeline.start(w, 61.2)
	if status != held {
		return status
	}
	c := newClients(w, "app.example", "key-1")
	hotAt := time.Now().Add(quietTime)
	until := hotAt.Add(hotTime + afterHot)
	kinds := slices.Clone(rakeline.kinds)
	long := kinds[0]
	long.name, long.body, long.perSecond = "long", maxBody, kinds[0].perSecond*longShare
	kinds[0].perSecond -= long.perSecond
	for _, k := range append(kinds, long) {
		c.pending.Go(func() { c.run(k, until) })
	}
	time.Sleep(time.Until(hotAt))
	if trouble {
		w.note("the tenant sends %d times its usual for %v", hotFactor, hotTime)
		more := long
		more.perSecond *= hotFactor - 1
		c.pending.Go(func() { c.run(more, hotAt.Add(hotTime)) })
	}
	c.pending.Wait()
	return judgeLost(w, c, engines)
}
