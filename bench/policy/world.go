// Package policy compares the decisions of the packages routing and limit with simple
// policies in a simulation on a virtual clock, with a small queueing model of the engines
// and callers that retry after a refusal, but without a network.
package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function scheduled at a virtual time, in seconds.
type event struct {
	at     float64
	serial int
	run    func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// world is the state of one simulation run of a scenario under a policy.
type world struct {
	now      float64
	serial   int
	events   eventHeap
	rng      *rand.Rand
	scenario Scenario
	policy   Policy
	engines  []*engine
	nodes    []*node
	computed map[uint64]bool
	requests []*request
}

// after schedules a function after a delay in seconds.
func (w *world) after(delay float64, run func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.now + delay, serial: w.serial, run: run})
}

// every runs a function now and schedules it periodically, with an interval in seconds.
func (w *world) every(interval float64, run func()) {
	run()
	w.after(interval, func() { w.every(interval, run) })
}

// clock returns the virtual time.
func (w *world) clock() time.Time { return at(w.now) }

// at converts virtual seconds to a time.
func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// run executes events until the virtual time end, in seconds.
func (w *world) run(end float64) {
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// Run simulates a scenario under a policy with a seed and returns the measurements.
func Run(scenario Scenario, policy Policy, seed uint64) Result {
	w := &world{
		rng:      rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // A simulation needs a seed, no secret.
		scenario: scenario,
		policy:   policy,
		computed: map[uint64]bool{},
	}
	w.build()
	for _, r := range workload(scenario, seed) {
		w.requests = append(w.requests, r)
		w.after(r.arrived, func() { w.arrive(r) })
	}
	if scenario.ReclaimAt > 0 {
		w.after(scenario.ReclaimAt, w.announceReclaim)
		w.after(scenario.ReclaimAt+reclaimNotice, w.reclaim)
	}
	w.run(scenario.Seconds + callerTimeout)
	return w.measure()
}

// build creates the engines and nodes of the deployment.
func (w *world) build() {
	for _, definition := range w.scenario.Mix.deployment.Engines {
		class := w.scenario.Mix.configuration.MachineClasses[definition.MachineClass]
		w.engines = append(w.engines, newEngine(w, definition, class))
	}
	for _, definition := range w.scenario.Mix.deployment.Services {
		class := w.scenario.Mix.configuration.MachineClasses[definition.MachineClass]
		w.engines = append(w.engines, newPlainUpstream(w, definition, class))
	}
	if w.scenario.Grey {
		w.engines[0].slowdown = greySlowdown
	}
	for _, definition := range w.scenario.Mix.deployment.Nodes {
		w.nodes = append(w.nodes, newNode(w, definition))
	}
	for _, n := range w.nodes {
		w.every(refreshInterval, n.refresh)
		w.every(cachePoll, n.readCacheEvents)
	}
}

// announceReclaim announces the reclaim of the hosts of the first data centre.
func (w *world) announceReclaim() {
	for _, e := range w.engines {
		if e.dataCentre == w.scenario.Mix.deployment.DataCentres[0] {
			w.after(noticeLag, func() { e.leaving = true })
		}
	}
}

// reclaim terminates those hosts; their requests continue elsewhere.
func (w *world) reclaim() {
	for _, e := range w.engines {
		if e.dataCentre == w.scenario.Mix.deployment.DataCentres[0] {
			e.terminate()
		}
	}
}
