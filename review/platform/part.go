//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

const (
	// partRate is the rate of the requests with the part that crashes engines, partTime how long they come.
	partRate = 4
	partTime = 40 * time.Second
	// engineBack is how long an engine is away after a crash.
	engineBack = 3 * time.Second
	contact    = 3 * time.Second
	// minSound is the number of sound requests that the rule asks for, before and after.
	minSound = 20
)

// runPart plays engines that answer streams without a length or chunks. With the trouble one part of prompts
// crashes each engine that begins to write an answer on it; sound requests share the caller and the part
// after it.
func runPart(w *world, trouble bool) int {
	zones := []string{"za", "zb", "zc", "zd"}
	var mu sync.Mutex
	var engines []*engine
	var crashes []time.Time
	var startOne func() error
	startOne = func() error {
		mu.Lock()
		defer mu.Unlock()
		number := len(engines)
		e, err := listenEngine(fmt.Sprintf("i-%d", number), "models", zones[number%len(zones)], 64, 134, false)
		if err != nil {
			return err
		}
		e.world, e.unframed = w, true
		e.onCrash = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.note("engine %s crashes", e.id)
			go func() {
				time.Sleep(engineBack)
				if err := startOne(); err != nil {
					w.note("%v", err)
				}
			}()
		}
		engines = append(engines, e)
		go w.report(e, e.ended)
		return nil
	}
	for range 12 {
		if err := startOne(); err != nil {
			w.note("%v", err)
			return notRun
		}
	}
	w.publish(rakeline.routes[:2], []map[string]any{
		{"name": "models", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "engine": map[string]any{
			"slots": 64, "kvCapacity": rakeline.engineTokens, "kvBytes": 163840, "linkMbps": 550000.0,
		}},
	}, []map[string]any{{"name": "tenant", "apiKeys": []string{"key-1"}, "priority": 1, "unit": "token", "uncachedTokens": 200, "ratePerS": 0, "burst": 0}})
	for i, memoryMB := range rakeline.memoryMB {
		n, err := w.addNode(fmt.Sprintf("edge-%d", i), zones[max(0, i-1)], memoryMB, platformtest.NewCloud())
		if err == nil {
			err = n.start()
		}
		if err != nil {
			w.note("%v", err)
			return notRun
		}
	}
	if !w.awaitReady(20 * time.Second) {
		w.note("the nodes are not ready")
		return notRun
	}
	c := newClients(w, "app.example", "key-1")
	partAt := time.Now().Add(quietTime)
	until := partAt.Add(partTime)
	sound := slices.Clone(rakeline.kinds[:2])
	for i := range sound {
		first := sound[i].name
		sound[i].prefix = func() string { return fmt.Sprintf("a%x%d:150,b1:48", first[0], rand.IntN(4)) }
	}
	for _, k := range sound {
		c.pending.Go(func() { c.run(k, until) })
	}
	time.Sleep(time.Until(partAt))
	if trouble {
		crash := sound[1]
		crash.name, crash.perSecond = "crash", partRate
		crash.prefix = func() string { return crashPart + ":150,b1:48" }
		w.note("requests with the part %s from now on", crashPart)
		c.pending.Go(func() { c.run(crash, until) })
	}
	c.pending.Wait()
	mu.Lock()
	defer mu.Unlock()
	return judgePart(w, c, engines, crashes, partAt)
}

// judgePart compares how often sound requests of the route begin before the crashes, and from twice the
// contact time after the fifth crash on.
func judgePart(w *world, c *clients, engines []*engine, crashes []time.Time, partAt time.Time) int {
	from := partAt
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * contact)
	}
	var asked, began [2]int
	reached := 0
	for _, o := range c.outcomes {
		at := ""
		for _, e := range engines {
			if ran, _ := e.runs(o.id); ran {
				at += " " + e.id
			}
		}
		verdict := ""
		switch {
		case o.kind == "crash":
			if at != "" && len(crashes) >= 5 && o.sentAt.After(crashes[4].Add(contact)) {
				reached++
				verdict = "reaches an engine after the fifth crash"
			}
		case o.kind == "summary" && (o.sentAt.Before(partAt) || o.sentAt.After(from)):
			after := 0
			if o.sentAt.After(from) {
				after = 1
			}
			asked[after]++
			if at != "" {
				began[after]++
			}
		}
		w.note("request %s sent at %.3f to %s, status %d, complete %v, %d pieces, after %d ms, run at%s %s",
			o.id, o.sentAt.Sub(w.began).Seconds(), o.node, o.status, o.complete, o.events, o.took.Milliseconds(), at, verdict)
	}
	w.note("crashes: %d; requests with the part that reached engines later than %v after the fifth: %d (more than 3 break the rule BUDGET)", len(crashes), contact, reached)
	w.note("sound requests of the route: before the crashes %d asked, %d begun; from %v after the fifth or last crash on %d asked, %d begun (less than half as often breaks the rule LOST)",
		asked[0], began[0], 2*contact, asked[1], began[1])
	enough := asked[0] >= minSound && asked[1] >= minSound
	lost := float64(began[1])*float64(asked[0]) < float64(began[0])*float64(asked[1])/2
	if reached > 3 || (enough && lost) {
		return broken
	}
	return held
}
