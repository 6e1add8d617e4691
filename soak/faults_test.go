package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// fault is a temporary failure or planned work. Its run function returns after the normal state is
// restored.
type fault struct {
	name string
	// planned is set for planned work, which must not cost a request.
	planned bool
	run     func(ctx context.Context, w *world, random *rand.Rand)
}

var faults = []fault{
	{"term", true, func(ctx context.Context, w *world, random *rand.Rand) { w.restart(ctx, w.pickNode(random), random) }},
	{"roll", true, func(ctx context.Context, w *world, random *rand.Rand) {
		for _, n := range w.nodes {
			w.restart(ctx, n, random)
		}
	}},
	{"reload", true, func(ctx context.Context, w *world, random *rand.Rand) {
		n := w.pickNode(random)
		for i := range 1 + random.IntN(3) {
			if err := n.writeSettings(fmt.Sprintf("reload %d", i)); err != nil {
				w.observed.violation("write settings: %v", err)
			}
			n.signal(syscall.SIGHUP)
			sleep(ctx, time.Duration(random.IntN(300))*time.Millisecond)
		}
	}},
	{"version", true, func(_ context.Context, w *world, _ *rand.Rand) { w.publish("") }},
	{"versions", true, func(ctx context.Context, w *world, random *rand.Rand) {
		for range 4 {
			w.publish("")
			sleep(ctx, time.Duration(random.IntN(500))*time.Millisecond)
		}
	}},
	{"key", true, func(ctx context.Context, w *world, _ *rand.Rand) { w.rotateKey(ctx) }},
	{"drain", true, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.pickEngine(random)
		w.addReplacement(engine.service)
		w.drainEngine(engine)
		sleep(ctx, lingerTime)
		w.removeEntry(engine)
		sleep(ctx, callerTimeout)
		w.endEngine(engine)
	}},
	{"kill", false, func(ctx context.Context, w *world, random *rand.Rand) { w.crash(ctx, random, w.pickNode(random)) }},
	{"herd", false, func(ctx context.Context, w *world, random *rand.Rand) { w.crash(ctx, random, w.nodes...) }},
	{"freeze", false, func(ctx context.Context, w *world, random *rand.Rand) {
		n := w.pickNode(random)
		n.signal(syscall.SIGSTOP)
		sleep(ctx, randomDuration(random))
		n.signal(syscall.SIGCONT)
	}},
	{"store down", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.injectStoreFault(ctx, random, platformtest.Faults{Down: true})
	}},
	{"store slow", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.injectStoreFault(ctx, random, platformtest.Faults{Delay: time.Duration(random.IntN(700)) * time.Millisecond})
	}},
	{"store loses answers", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.injectStoreFault(ctx, random, platformtest.Faults{LoseAnswers: 0.5})
	}},
	{"store forgets", false, func(_ context.Context, w *world, _ *rand.Rand) { w.store.Trim() }},
	{"store forgets and lags", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.store.SetFaults(platformtest.Faults{HideWrites: true})
		w.publish("")
		sleep(ctx, time.Duration(random.IntN(1000))*time.Millisecond)
		w.store.Trim()
		w.store.SetFaults(platformtest.Faults{NewestLag: randomDuration(random), EndLags: random.IntN(2) == 0})
		for _, link := range w.storeLinks() {
			link.ResetAll()
		}
		sleep(ctx, randomDuration(random))
		w.store.SetFaults(platformtest.Faults{})
	}},
	{"cloud", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.cloud.SetFaults(platformtest.Faults{Delay: time.Duration(random.IntN(500)) * time.Millisecond, LoseAnswers: 0.3})
		sleep(ctx, randomDuration(random))
		w.cloud.SetFaults(platformtest.Faults{Down: random.IntN(2) == 0})
		sleep(ctx, randomDuration(random))
		w.cloud.SetFaults(platformtest.Faults{})
	}},
	{"link to the store", false, func(ctx context.Context, w *world, random *rand.Rand) {
		disruptLinks(ctx, random, w.pickNode(random).store)
	}},
	{"links to the store", false, func(ctx context.Context, w *world, random *rand.Rand) {
		disruptLinks(ctx, random, w.storeLinks()...)
	}},
	{"silent links to the store and a version", false, func(_ context.Context, w *world, _ *rand.Rand) {
		for _, link := range w.storeLinks() {
			link.Blackhole()
		}
		w.publish("")
	}},
	{"link to an engine", false, func(ctx context.Context, w *world, random *rand.Rand) {
		disruptLinks(ctx, random, w.pickEngine(random).proxy)
	}},
	{"engine crash", false, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.pickEngine(random)
		w.addReplacement(engine.service)
		w.endEngine(engine)
		sleep(ctx, 2*heartbeatInterval)
		w.removeEntry(engine)
	}},
	{"engine faults", false, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.pickEngine(random)
		w.setFaults(engine, platformtest.EngineFaults{Fail: 0.2, LoseAnswers: 0.2, BreakStreams: 0.3, Unframed: 0.3})
		sleep(ctx, randomDuration(random))
		w.setFaults(engine, platformtest.EngineFaults{})
	}},
}

// maxCopyAge is the age of the oldest copy from which the store comes back.
const maxCopyAge = 20 * time.Second

// storeRestored takes the store away and brings it back from a copy; the operator and the engines write
// again what they had written.
var storeRestored = fault{"store restored", false, func(ctx context.Context, w *world, random *rand.Rand) {
	w.store.SetFaults(platformtest.Faults{Down: true})
	sleep(ctx, randomDuration(random))
	for _, lost := range w.store.Restore(time.Now().Add(-time.Duration(random.Int64N(int64(maxCopyAge))))) {
		w.store.Put(lost.Topic, lost.Key, lost.Value)
	}
	w.store.SetFaults(platformtest.Faults{})
}}

// randomDuration returns a random duration of a fault.
func randomDuration(random *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(random.IntN(2500))*time.Millisecond
}

func (w *world) pickNode(random *rand.Rand) *node { return w.nodes[random.IntN(len(w.nodes))] }

// storeLinks returns the nodes' proxies to the store.
func (w *world) storeLinks() []*platformtest.Proxy {
	var links []*platformtest.Proxy
	for _, n := range w.nodes {
		links = append(links, n.store)
	}
	return links
}

// addReplacement starts an engine before another one ends.
func (w *world) addReplacement(service string) {
	if err := w.addEngine(service); err != nil {
		w.observed.violation("start an engine: %v", err)
	}
}

// restart stops a node gracefully, as the platform does, and starts it again.
func (w *world) restart(ctx context.Context, n *node, random *rand.Rand) {
	began := time.Now()
	if n.stop() {
		w.observed.violation("%s did not end within the grace time after SIGTERM at %s", n.name, clockTime(began))
	}
	sleep(ctx, time.Duration(random.IntN(500))*time.Millisecond)
	w.startNode(n)
	w.observed.addRestart(began, time.Now())
}

// crash kills nodes at once and starts them again.
func (w *world) crash(ctx context.Context, random *rand.Rand, nodes ...*node) {
	for _, n := range nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range nodes {
		<-n.ended()
	}
	sleep(ctx, time.Duration(random.IntN(1000))*time.Millisecond)
	for _, n := range nodes {
		w.startNode(n)
	}
}

func (w *world) startNode(n *node) {
	if err := n.start(); err != nil {
		w.observed.violation("start %s: %v", n.name, err)
	}
}

func (w *world) injectStoreFault(ctx context.Context, random *rand.Rand, faults platformtest.Faults) {
	w.store.SetFaults(faults)
	sleep(ctx, randomDuration(random))
	w.store.SetFaults(platformtest.Faults{})
}

// disruptLinks delays, drops, blackholes or resets the traffic through proxies. Blackholing and resets
// affect only the connections that exist then; blackholed connections stay blackholed.
func disruptLinks(ctx context.Context, random *rand.Rand, proxies ...*platformtest.Proxy) {
	way := random.IntN(5)
	delay := time.Duration(random.IntN(400)) * time.Millisecond
	duration := randomDuration(random)
	for _, p := range proxies {
		switch way {
		case 0:
			p.SetDelay(delay)
		case 1:
			p.DropToTarget()
		case 2:
			p.DropFromTarget()
		case 3:
			p.Blackhole()
			duration = 0
		case 4:
			p.ResetAll()
			duration = 0
		}
	}
	sleep(ctx, duration)
	for _, p := range proxies {
		p.Heal()
	}
}
