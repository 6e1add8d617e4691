package policy

import (
	"container/list"
	"slices"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
)

const (
	// batchSlowdown is the fraction by which each running request slows a decode step.
	batchSlowdown = 0.02
	// reportInterval is the time between two load reports, in seconds.
	reportInterval = 0.1
	// eventLag is the delay until a cache event is visible, in seconds.
	eventLag = 0.5
	// eventGap is n where every n-th cache event is lost.
	eventGap = 50
	// plainStep is the duration of one plain call, in seconds.
	plainStep = 0.02
	// plainSlots is the number of concurrent calls of a plain upstream.
	plainSlots = 32
	// greySlowdown is the factor by which a grey engine is slower.
	greySlowdown = 10
)

// engine is a queueing model of an engine with continuous batching.
type engine struct {
	world       *world
	id          string
	dataCentre  string
	models      []string
	class       api.MachineClass
	slots       int
	rate        float64
	step        float64
	slowdown    float64
	leaving     bool
	dead        bool
	stepping    bool
	waiting     []*request
	running     []*request
	busySeconds float64
	cache       blockCache
	loads       []api.EngineLoad
}

func newEngine(w *world, definition api.DeploymentEngine, class api.MachineClass) *engine {
	e := &engine{
		world: w, id: definition.ID, dataCentre: definition.DataCentre, models: definition.Models, class: class,
		slots: definition.Slots, rate: definition.PrefillTokensPerSecond, step: definition.StepMS / 1000, slowdown: 1,
		cache: blockCache{limit: definition.KVLimitTokens / prompt.BlockTokens, order: list.New(), elements: map[uint64]*list.Element{}},
	}
	w.every(reportInterval, e.report)
	return e
}

// newPlainUpstream returns an instance of a plain service, whose calls take one step each.
func newPlainUpstream(w *world, definition api.DeploymentService, class api.MachineClass) *engine {
	e := &engine{
		world: w, id: definition.ID, dataCentre: definition.DataCentre, models: []string{definition.Service}, class: class,
		slots: plainSlots, rate: 1, step: plainStep, slowdown: 1,
		cache: blockCache{order: list.New(), elements: map[uint64]*list.Element{}},
	}
	w.every(reportInterval, e.report)
	return e
}

// report records the current load.
func (e *engine) report() {
	load := api.EngineLoad{AtMS: e.world.clock().UnixMilli(), Running: len(e.running), BatchSlots: e.slots}
	for _, r := range e.waiting {
		load.QueuedTokens += r.prompt
	}
	for _, r := range e.running {
		load.QueuedTokens += int(r.prefill)
	}
	e.loads = append(e.loads, load)
}

// loadAt returns the newest report that is at least lag seconds old.
func (e *engine) loadAt(lag float64) *api.EngineLoad {
	cutoff := at(e.world.now - lag).UnixMilli()
	for len(e.loads) > 1 && e.loads[1].AtMS <= cutoff-int64(maxLag*1000) {
		e.loads = e.loads[1:]
	}
	for i := len(e.loads) - 1; i > 0; i-- {
		if e.loads[i].AtMS <= cutoff {
			return &e.loads[i]
		}
	}
	return &e.loads[0]
}

// submit queues a request.
func (e *engine) submit(r *request) {
	e.waiting = append(e.waiting, r)
	if !e.stepping {
		e.stepping = true
		e.advance()
	}
}

// advance starts one step of the batch.
func (e *engine) advance() {
	e.admit()
	if len(e.running) == 0 || e.dead {
		e.stepping = false
		return
	}
	took := e.step * e.slowdown * (1 + batchSlowdown*float64(len(e.running)))
	if e.rate == 1 {
		took = e.step
	}
	e.busySeconds += took
	e.world.after(took, e.finishStep)
}

// finishStep advances prefills, emits a token for each request past its prefill, and starts
// the next step.
func (e *engine) finishStep() {
	if e.dead {
		return
	}
	budget := e.rate * e.step
	remaining := make([]*request, 0, len(e.running))
	for _, r := range e.running {
		if r.prefill > 0 {
			used := min(budget, r.prefill)
			budget -= used
			r.prefill -= used
			remaining = append(remaining, r)
			continue
		}
		if e.world.emit(r) {
			remaining = append(remaining, r)
		}
	}
	e.running = remaining
	e.advance()
}

// admit fills the batch in order of priority.
func (e *engine) admit() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		best := 0
		for i, r := range e.waiting {
			if r.priority < e.waiting[best].priority {
				best = i
			}
		}
		r := e.waiting[best]
		e.waiting = append(e.waiting[:best:best], e.waiting[best+1:]...)
		e.start(r)
		e.running = append(e.running, r)
	}
}

// start determines the tokens that a request must prefill, and counts the recomputed ones.
func (e *engine) start(r *request) {
	hit := e.cache.hitBlocks(r.blocks)
	r.cached = hit * prompt.BlockTokens
	r.prefill = max(0, float64(r.prompt+r.emitted-r.cached))
	for _, block := range r.blocks[hit:] {
		if e.world.computed[block] {
			r.cacheMissed += prompt.BlockTokens
		}
		e.world.computed[block] = true
	}
	if r.interrupted {
		r.recomputed += int(r.prefill)
		r.interrupted = false
	}
	e.cache.add(r.blocks, e.world.now)
}

// cancel removes a request whose caller has disconnected.
func (e *engine) cancel(r *request) {
	isCanceled := func(other *request) bool { return other == r }
	e.waiting = slices.DeleteFunc(e.waiting, isCanceled)
	e.running = slices.DeleteFunc(e.running, isCanceled)
}

// terminate ends the host and reroutes its requests.
func (e *engine) terminate() {
	e.dead = true
	affected := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for _, r := range affected {
		e.world.reroute(r)
	}
}

// blockCache is an LRU cache of prefix blocks, in which the ends of prompts are evicted
// before their starts.
type blockCache struct {
	limit    int
	order    *list.List
	elements map[uint64]*list.Element
	events   []cacheEvent
}

type cacheEvent struct {
	at      float64
	block   uint64
	evicted bool
}

func (c *blockCache) hitBlocks(blocks []uint64) int {
	for i, block := range blocks {
		if c.elements[block] == nil {
			return i
		}
	}
	return len(blocks)
}

func (c *blockCache) add(blocks []uint64, now float64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.elements[blocks[i]]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.elements[blocks[i]] = c.order.PushFront(blocks[i])
		c.events = append(c.events, cacheEvent{now, blocks[i], false})
	}
	for len(c.elements) > c.limit {
		block := c.order.Remove(c.order.Back()).(uint64)
		delete(c.elements, block)
		c.events = append(c.events, cacheEvent{now, block, true})
	}
}
