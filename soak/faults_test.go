package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// fault is something that goes wrong, or planned work, for a while. It returns when it is
// over and all is as before.
type fault struct {
	name string
	// planned work must not cost a request.
	planned bool
	do      func(ctx context.Context, w *world, random *rand.Rand)
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
				w.notes.breach("write settings: %v", err)
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
		w.replace(engine.service)
		w.drainEngine(engine)
		sleep(ctx, lingers)
		w.removeEntry(engine)
		sleep(ctx, callerWait)
		w.endEngine(engine)
	}},
	{"kill", false, func(ctx context.Context, w *world, random *rand.Rand) { w.crash(ctx, random, w.pickNode(random)) }},
	{"herd", false, func(ctx context.Context, w *world, random *rand.Rand) { w.crash(ctx, random, w.nodes...) }},
	{"freeze", false, func(ctx context.Context, w *world, random *rand.Rand) {
		n := w.pickNode(random)
		n.signal(syscall.SIGSTOP)
		sleep(ctx, aWhile(random))
		n.signal(syscall.SIGCONT)
	}},
	{"store down", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.storeFault(ctx, random, platformtest.Faults{Down: true})
	}},
	{"store slow", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.storeFault(ctx, random, platformtest.Faults{Delay: time.Duration(random.IntN(700)) * time.Millisecond})
	}},
	{"store loses answers", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.storeFault(ctx, random, platformtest.Faults{LoseAnswers: 0.5})
	}},
	{"store forgets", false, func(_ context.Context, w *world, _ *rand.Rand) { w.store.Trim() }},
	{"store forgets and lags", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.store.SetFaults(platformtest.Faults{HideWrites: true})
		w.publish("")
		sleep(ctx, time.Duration(random.IntN(1000))*time.Millisecond)
		w.store.Trim()
		w.store.SetFaults(platformtest.Faults{NewestLag: aWhile(random), EndLags: random.IntN(2) == 0})
		for _, link := range w.storeLinks() {
			link.ResetAll()
		}
		sleep(ctx, aWhile(random))
		w.store.SetFaults(platformtest.Faults{})
	}},
	{"cloud", false, func(ctx context.Context, w *world, random *rand.Rand) {
		w.cloud.SetFaults(platformtest.Faults{Delay: time.Duration(random.IntN(500)) * time.Millisecond, LoseAnswers: 0.3})
		sleep(ctx, aWhile(random))
		w.cloud.SetFaults(platformtest.Faults{Down: random.IntN(2) == 0})
		sleep(ctx, aWhile(random))
		w.cloud.SetFaults(platformtest.Faults{})
	}},
	{"link to the store", false, func(ctx context.Context, w *world, random *rand.Rand) {
		harm(ctx, random, w.pickNode(random).store)
	}},
	{"links to the store", false, func(ctx context.Context, w *world, random *rand.Rand) {
		harm(ctx, random, w.storeLinks()...)
	}},
	{"silent links to the store and a version", false, func(_ context.Context, w *world, _ *rand.Rand) {
		for _, link := range w.storeLinks() {
			link.Blackhole()
		}
		w.publish("")
	}},
	{"link to an engine", false, func(ctx context.Context, w *world, random *rand.Rand) {
		harm(ctx, random, w.pickEngine(random).proxy)
	}},
	{"engine crash", false, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.pickEngine(random)
		w.replace(engine.service)
		w.endEngine(engine)
		sleep(ctx, 2*heartbeatEvery)
		w.removeEntry(engine)
	}},
	{"engine faults", false, func(ctx context.Context, w *world, random *rand.Rand) {
		engine := w.pickEngine(random)
		engine.SetFaults(platformtest.EngineFaults{Fail: 0.2, LoseAnswers: 0.2, BreakStreams: 0.3})
		sleep(ctx, aWhile(random))
		engine.SetFaults(platformtest.EngineFaults{})
	}},
}

// aWhile draws the length of a fault.
func aWhile(random *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(random.IntN(2500))*time.Millisecond
}

func (w *world) pickNode(random *rand.Rand) *node { return w.nodes[random.IntN(len(w.nodes))] }

// storeLinks are the nodes' links to the store.
func (w *world) storeLinks() []*platformtest.Proxy {
	var links []*platformtest.Proxy
	for _, n := range w.nodes {
		links = append(links, n.store)
	}
	return links
}

// replace adds an engine before another goes.
func (w *world) replace(service string) {
	if err := w.addEngine(service); err != nil {
		w.notes.breach("start an engine: %v", err)
	}
}

// restart stops a node as the platform does and starts it again.
func (w *world) restart(ctx context.Context, n *node, random *rand.Rand) {
	began := time.Now()
	if n.stop() {
		w.notes.breach("%s did not end within the grace time after SIGTERM at %s", n.name, clockTime(began))
	}
	sleep(ctx, time.Duration(random.IntN(500))*time.Millisecond)
	w.startAgain(n)
	w.notes.restarted(began, time.Now())
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
		w.startAgain(n)
	}
}

func (w *world) startAgain(n *node) {
	if err := n.start(); err != nil {
		w.notes.breach("start %s: %v", n.name, err)
	}
}

func (w *world) storeFault(ctx context.Context, random *rand.Rand, faults platformtest.Faults) {
	w.store.SetFaults(faults)
	sleep(ctx, aWhile(random))
	w.store.SetFaults(platformtest.Faults{})
}

// harm delays, cuts, silences or resets what goes through proxies. Silence and reset strike
// for a moment; connections that fell silent stay so.
func harm(ctx context.Context, random *rand.Rand, proxies ...*platformtest.Proxy) {
	way := random.IntN(5)
	delay := time.Duration(random.IntN(400)) * time.Millisecond
	lasts := aWhile(random)
	for _, p := range proxies {
		switch way {
		case 0:
			p.Delay(delay)
		case 1:
			p.DropToTarget()
		case 2:
			p.DropFromTarget()
		case 3:
			p.Blackhole()
			lasts = 0
		case 4:
			p.ResetAll()
			lasts = 0
		}
	}
	sleep(ctx, lasts)
	for _, p := range proxies {
		p.Heal()
	}
}
