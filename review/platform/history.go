//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/persimmonline/persimmonline/cell"
)

const (
	// rounds is how often a machine is stopped and started while the store forgets its history.
	rounds = 1
	// afterForgetting is how long the store was without disturbance before a call counts.
	afterForgetting = 5 * time.Second
	// roundTime is how long a machine that was started may take to act, watchTime how long it is then watched.
	roundTime = 3 * time.Second
	watchTime = 25 * time.Second
)

// duties is the platform's interface for the duties, without checks of the fence.
type duties struct {
	world *world

	mu sync.Mutex
	// highest is the highest fence number by duty, highestFrom the machine that sent it, forgotAt when the
	// store last forgot its history.
	highest     map[string]int64
	highestFrom map[string]string
	reports     map[int64]map[string]int64
	forgotAt    time.Time
	startedAt   map[string]time.Time
	lower, two  int
}

// from returns the interface as one machine reaches it.
func (d *duties) from(machine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Window int64            `json:"windowId"`
			Counts map[string]int64 `json:"counts"`
		}
		fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
		if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.call(machine, r.Header.Get("X-Duty-Holder"), r.URL.Path, fence, body.Window, body.Counts)
	})
}

// call records a call and checks the rule ONE.
func (d *duties) call(machine, holder, duty string, fence, window int64, counts map[string]int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	verdict := ""
	switch known, seen := d.highest[duty]; {
	case !seen || fence > known:
		d.highest[duty], d.highestFrom[duty] = fence, machine
	case fence == known && d.highestFrom[duty] != machine:
		d.two++
		verdict = "ONE: two machines send this fence number"
	case fence < known:
		verdict = fmt.Sprintf("lower than %d from %s", known, d.highestFrom[duty])
		if time.Since(d.forgotAt) > afterForgetting && time.Since(d.startedAt[machine]) > afterForgetting {
			d.lower++
			verdict = "ONE: " + verdict
		}
	}
	if known, seen := d.reports[window]; seen && !maps.Equal(known, counts) {
		d.two++
		verdict += " ONE: other counts for this window"
	}
	d.reports[window] = counts
	d.world.note("duty %s: machine %s, holder %s, fence %d, window %d, counts %v %s", duty, machine, holder, fence, window, counts, verdict)
}

func (d *duties) lastHolder() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.highestFrom["/usage"]
}

// candidate returns a machine that may take over the duties, other than their holder. Three machines may.
func (w *world) candidate(holder string, round int) *node {
	var names []string
	for _, n := range w.nodes {
		names = append(names, n.name)
	}
	cell.Rank("duties", names)
	names = slices.DeleteFunc(names[:3], func(name string) bool { return name == holder })
	chosen := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == names[round%len(names)] })
	return w.nodes[chosen]
}

// brokenCalls returns the number of calls that break the rule.
func (d *duties) brokenCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lower + d.two
}

// runHistory restarts machines that hold no duty, in turn. With the trouble the store forgets its history
// as each of them is down; the newest record of each key stays.
func runHistory(w *world, trouble bool) int {
	fencing = false
	d := &duties{
		world: w, highest: map[string]int64{}, highestFrom: map[string]string{}, reports: map[int64]map[string]int64{}, startedAt: map[string]time.Time{},
	}
	e, err := w.startEngine("i-0", "calls", "za", 6, 24, true)
	if err != nil {
		w.note("%v", err)
		return notRun
	}
	w.publish([]map[string]any{{
		"name": "status", "host": "app.example", "pathPrefix": "/status/", "type": "safe", "timeoutMs": 1500, "targetLatencyMs": 100,
		"priority": 1, "service": e.service, "maxAttempts": 2, "public": false,
	}}, []map[string]any{{"name": "calls", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1"}},
		[]map[string]any{{"name": "tenant", "apiKeys": []string{"key-1"}, "priority": 1, "ratePerS": 0, "burst": 0}})
	for i, zone := range []string{"za", "za", "zb", "zc", "zd"} {
		name := fmt.Sprintf("edge-%d", i)
		n, err := w.addNode(name, zone, 284, d.from(name))
		if err == nil {
			d.startedAt[name] = time.Now()
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
	until := time.Now().Add(2 * time.Minute)
	c.pending.Go(func() {
		c.run(kind{name: "status", path: "/status/1", method: http.MethodGet, perSecond: 20, limit: 1500 * time.Millisecond}, until)
	})
	time.Sleep(12 * time.Second)
	for round := range rounds {
		holder := d.lastHolder()
		n := w.candidate(holder, round)
		w.note("SIGTERM to %s; the duties are held by %s", n.name, holder)
		n.end(syscall.SIGTERM)
		if trouble {
			d.mu.Lock()
			d.forgotAt = time.Now()
			d.mu.Unlock()
			w.store.Trim()
			w.note("the store forgets its history")
		}
		d.mu.Lock()
		d.startedAt[n.name] = time.Now()
		d.mu.Unlock()
		if err := n.writeSettings(); err != nil {
			return notRun
		}
		if err := n.start(); err != nil {
			return notRun
		}
		time.Sleep(roundTime)
		if d.lastHolder() != holder {
			w.note("%s acts beside or instead of %s; nothing more is disturbed", d.lastHolder(), holder)
			time.Sleep(watchTime)
			break
		}
	}
	c.end()
	c.pending.Wait()
	w.note("calls with a lower fence number than one seen before, with the store and the machine undisturbed for %v: %d; calls of two machines with one number, or with other counts: %d", afterForgetting, d.lower, d.two)
	if d.brokenCalls() > 0 {
		return broken
	}
	return held
}
