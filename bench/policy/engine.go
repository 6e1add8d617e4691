package policy

import (
	"container/list"
	"slices"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/prompt"
)

const (
	// batchSlowdown is how much each running request slows a decode step.
	batchSlowdown = 0.02
	// reportEvery is the time between two load reports, in seconds.
	reportEvery = 0.1
	// eventLag is how late a cache event is seen, in seconds.
	eventLag = 0.5
	// eventGap drops every n-th cache event.
	eventGap = 50
	// plainStep is the time of one plain call, in seconds.
	plainStep = 0.02
	// plainSlots is the number of calls that a plain upstream runs at once.
	plainSlots = 32
	// greySlowdown is the factor by which a grey engine is slow.
	greySlowdown = 10
)

// engine is a queueing fake of an engine that batches continuously.
type engine struct {
	world      *world
	id         string
	dataCentre string
	models     []string
	class      api.MachineClass
	slots      int
	rate       float64
	step       float64
	slow       float64
	leaving    bool
	dead       bool
	stepping   bool
	waiting    []*request
	running    []*request
	busy       float64
	cache      blockCache
	loads      []api.EngineLoad
}

func newEngine(w *world, described api.DeploymentEngine, class api.MachineClass) *engine {
	e := &engine{
		world: w, id: described.ID, dataCentre: described.DataCentre, models: described.Models, class: class,
		slots: described.Slots, rate: described.PrefillTokensPerSecond, step: described.StepMS / 1000, slow: 1,
		cache: blockCache{limit: described.KVLimitTokens / prompt.BlockTokens, order: list.New(), held: map[uint64]*list.Element{}},
	}
	w.every(reportEvery, e.report)
	return e
}

// newPlain is an instance of a plain service: every call takes one step.
func newPlain(w *world, described api.DeploymentService, class api.MachineClass) *engine {
	e := &engine{
		world: w, id: described.ID, dataCentre: described.DataCentre, models: []string{described.Service}, class: class,
		slots: plainSlots, rate: 1, step: plainStep, slow: 1,
		cache: blockCache{order: list.New(), held: map[uint64]*list.Element{}},
	}
	w.every(reportEvery, e.report)
	return e
}

// report keeps the load as it is now.
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

// loadAt returns the newest report that is as old as a lag, in seconds.
func (e *engine) loadAt(lag float64) *api.EngineLoad {
	cut := at(e.world.now - lag).UnixMilli()
	for len(e.loads) > 1 && e.loads[1].AtMS <= cut-int64(maxLag*1000) {
		e.loads = e.loads[1:]
	}
	for i := len(e.loads) - 1; i > 0; i-- {
		if e.loads[i].AtMS <= cut {
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
	took := e.step * e.slow * (1 + batchSlowdown*float64(len(e.running)))
	if e.rate == 1 {
		took = e.step
	}
	e.busy += took
	e.world.after(took, e.finishStep)
}

// finishStep prefills, emits a token for each request that is prefilled, and goes on.
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

// admit fills the batch by priority.
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

// start computes what a request must prefill and counts what is computed again.
func (e *engine) start(r *request) {
	hit := e.cache.hit(r.blocks)
	r.cached = hit * prompt.BlockTokens
	r.prefill = max(0, float64(r.prompt+r.emitted-r.cached))
	for _, block := range r.blocks[hit:] {
		if e.world.computed[block] {
			r.missed += prompt.BlockTokens
		}
		e.world.computed[block] = true
	}
	if r.broken {
		r.recomputed += int(r.prefill)
		r.broken = false
	}
	e.cache.add(r.blocks, e.world.now)
}

// cancel drops a request whose caller has left.
func (e *engine) cancel(r *request) {
	gone := func(other *request) bool { return other == r }
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.running = slices.DeleteFunc(e.running, gone)
}

// die ends the host; its requests are routed again.
func (e *engine) die() {
	e.dead = true
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for _, r := range lost {
		e.world.broke(r)
	}
}

// blockCache holds prefix blocks; the least recently used go first, ends of prompts
// before their starts.
type blockCache struct {
	limit  int
	order  *list.List
	held   map[uint64]*list.Element
	events []cacheEvent
}

type cacheEvent struct {
	at      float64
	block   uint64
	evicted bool
}

func (c *blockCache) hit(blocks []uint64) int {
	for i, block := range blocks {
		if c.held[block] == nil {
			return i
		}
	}
	return len(blocks)
}

func (c *blockCache) add(blocks []uint64, now float64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.held[blocks[i]]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.held[blocks[i]] = c.order.PushFront(blocks[i])
		c.events = append(c.events, cacheEvent{now, blocks[i], false})
	}
	for len(c.held) > c.limit {
		block := c.order.Remove(c.order.Back()).(uint64)
		delete(c.held, block)
		c.events = append(c.events, cacheEvent{now, block, true})
	}
}
