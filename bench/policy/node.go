package policy

import (
	"math/rand/v2"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/routing"
)

const (
	// refreshInterval is the time between two snapshots of a node, in seconds.
	refreshInterval = 0.5
	// cachePoll is the time between two reads of cache events, in seconds.
	cachePoll = 2.0
	// maxBlocks bounds a node's prefix index.
	maxBlocks = 1 << 17
	// maxStreams bounds the requests in flight on one node.
	maxStreams = 4096
	// leavingReclaimsPerHour is added to the reclaim rate of a leaving host: the rate in a
	// data centre during a wave of reclaims.
	leavingReclaimsPerHour = 120.0
	// secondsPerHour converts prices per hour to prices per second.
	secondsPerHour = 3600.0
)

// node is a simulated node: its view of the fleet, its trackers and its queues.
type node struct {
	world            *world
	id               string
	dataCentre       string
	trackers         map[*engine]*routing.Tracker
	holders          map[*engine]routing.Holder
	prefixes         *routing.PrefixIndex
	cursors          map[*engine]int
	fleet            *routing.Fleet
	byUpstream       map[string]*engine
	queues           map[string]*limit.Queue
	waiting          map[uint64]*request
	inFlight         int
	reportedInFlight int
	nextCandidate    int
}

func newNode(w *world, definition api.DeploymentNode) *node {
	n := &node{
		world: w, id: definition.ID, dataCentre: definition.DataCentre,
		trackers: map[*engine]*routing.Tracker{}, holders: map[*engine]routing.Holder{},
		prefixes: routing.NewPrefixIndex(maxBlocks), cursors: map[*engine]int{},
		byUpstream: map[string]*engine{}, queues: map[string]*limit.Queue{}, waiting: map[uint64]*request{},
		nextCandidate: len(w.nodes) * 3,
	}
	for _, e := range w.engines {
		n.trackers[e] = &routing.Tracker{}
		n.holders[e] = n.prefixes.AddHolder(e.id, "1", max(1, e.cache.limit))
		n.byUpstream[e.id] = e
	}
	weights := map[string]float64{}
	for name, workspace := range w.scenario.Mix.configuration.Workspaces {
		weights[name] = workspace.Weight
	}
	for name := range w.scenario.Mix.configuration.Services {
		n.queues[name] = limit.NewQueue(1, 1)
		n.queues[name].SetWeights(weights)
	}
	return n
}

// refresh updates the node's snapshot: the fleet with delayed load reports, and the
// capacity of the queues.
func (n *node) refresh() {
	byService := map[string][]*routing.Upstream{}
	slots := map[string]int{}
	for _, e := range n.world.engines {
		if e.dead {
			continue
		}
		upstream := n.upstream(e)
		for _, model := range e.models {
			byService[model] = append(byService[model], upstream)
			if !e.leaving {
				slots[model] += e.slots
			}
		}
	}
	n.fleet = routing.NewFleet(byService, n.prefixes, len(n.world.nodes), n.world.clock())
	n.reportedInFlight = n.inFlight
	for _, name := range n.world.scenario.Mix.services {
		n.queues[name].Resize(limit.NodeCapacity(slots[name], len(n.world.nodes), maxStreams))
		n.handleStarted(n.queues[name].StartWaiting(n.world.clock()))
	}
}

func (n *node) upstream(e *engine) *routing.Upstream {
	upstream := &routing.Upstream{
		ID: e.id, DataCentre: e.dataCentre, Health: membership.StateLive,
		PricePerSecond: e.class.PricePerHour / secondsPerHour, ReclaimsPerHour: e.class.ReclaimsPerHour,
		Load: e.loadAt(n.world.scenario.LoadLag), Holder: n.holders[e], Tracker: n.trackers[e],
	}
	if e.rate == 1 {
		upstream.Load, upstream.Holder = nil, 0
	}
	if e.leaving {
		upstream.Health = membership.StateLeaving
		upstream.ReclaimsPerHour += leavingReclaimsPerHour
	}
	return upstream
}

// readCacheEvents applies the events that are visible by now; some are lost.
func (n *node) readCacheEvents() {
	for _, e := range n.world.engines {
		events := e.cache.events
		next := n.cursors[e]
		for ; next < len(events) && events[next].at <= n.world.now-eventLag; next++ {
			switch {
			case next%eventGap == eventGap-1:
			case events[next].evicted:
				n.prefixes.Evict(n.holders[e], events[next].block)
			default:
				n.prefixes.Add(n.holders[e], events[next].block)
			}
		}
		n.cursors[e] = next
	}
}

// choose makes the routing decision of the real implementation.
func (n *node) choose(r *request) (routing.Choice, error) {
	weights := routing.Weights{Latency: 1}
	if !r.plain {
		policy := n.world.scenario.Mix.configuration.Policy
		weights = routing.Weights{Latency: policy.LatencyWeight, Cost: policy.CostWeight}
	}
	return routing.Pick(n.fleet, &routing.Request{
		Service: r.service, Blocks: r.blocks, PromptTokens: r.prompt, AnswerTokens: r.answer,
		Priority: r.priority, DataCentre: n.dataCentre, Excluded: r.excluded, Key: r.key, Seed: n.world.rng.Uint64(),
	}, weights, n.world.clock())
}

// admit runs the admission control of the real implementation: first the budget, then the
// queue. A refused request is retried.
func (n *node) admit(r *request) {
	now := n.world.clock()
	ticket := r.ticket()
	target := n.world.target(r)
	budget := target
	if choice, err := n.choose(r); err == nil && !r.plain {
		queue := seconds(choice.Queue)
		var inTime bool
		if budget, inTime = limit.WaitBudget(target, seconds(choice.Prefill), queue); !inTime {
			n.world.refuse(r, n.queues[r.service].RetryAfter(now, ticket))
			return
		}
	}
	ticket.Deadline = now.Add(budget)
	decision := n.queues[r.service].Submit(now, ticket)
	switch decision.Verdict {
	case limit.Run:
		n.dispatch(r)
	case limit.Wait:
		n.waiting[r.id] = r
		n.world.after(budget.Seconds(), func() { n.expire(r) })
	default:
		n.world.refuse(r, decision.RetryAfter)
	}
}

func (r *request) ticket() limit.Ticket {
	return limit.Ticket{ID: r.id, Workspace: r.workspace, Priority: r.priority, Tokens: limit.RequestCost(r.prompt, r.answer)}
}

// expire refuses a request that is still queued at its deadline.
func (n *node) expire(r *request) {
	if n.waiting[r.id] == r && n.queues[r.service].Cancel(r.id) {
		delete(n.waiting, r.id)
		n.world.refuse(r, n.queues[r.service].RetryAfter(n.world.clock(), r.ticket()))
	}
}

func (n *node) handleStarted(started limit.Started) {
	for _, id := range started.Run {
		r := n.waiting[id]
		delete(n.waiting, id)
		n.dispatch(r)
	}
	for _, id := range started.Expired {
		r := n.waiting[id]
		delete(n.waiting, id)
		n.world.refuse(r, n.queues[r.service].RetryAfter(n.world.clock(), r.ticket()))
	}
}

// dispatch runs a request that has a slot of this node.
func (n *node) dispatch(r *request) {
	r.slotAt, r.hasSlot = n.world.now, true
	n.world.send(n, r)
}

// release frees the slot of a request.
func (n *node) release(r *request) {
	if !r.hasSlot {
		return
	}
	r.hasSlot = false
	n.handleStarted(n.queues[r.service].Done(n.world.clock(), seconds(n.world.now-r.slotAt)))
}

// owner returns the node that owns a request which arrived at this node.
func (n *node) owner(r *request) *node {
	members := make([]routing.Member, len(n.world.nodes))
	for i, other := range n.world.nodes {
		members[i] = routing.Member{ID: other.id, InFlight: other.reportedInFlight}
	}
	id := routing.Owner(routing.OwnerKey(r.workspace, r.service, r.key), members)
	for _, other := range n.world.nodes {
		if other.id == id {
			return other
		}
	}
	return n
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// jittered spreads a retry delay over [0.9d, 1.1d), as the gateway does for queued requests.
func jittered(d time.Duration, rng *rand.Rand) float64 {
	return d.Seconds() * (0.9 + 0.2*rng.Float64())
}
