package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
)

const (
	// defaultModelsPerHost bounds the models of an engine when its group sets no bound.
	defaultModelsPerHost = 2
	// maxStoreQueue bounds the queue of ordered loads at the weight store.
	maxStoreQueue = 10 * time.Second
	// orderResendInterval is the interval at which a pending order is sent again.
	orderResendInterval = 10 * time.Second
	// orderTimeout is how long an order without a visible effect stays pending.
	orderTimeout = 2 * time.Minute
	// defaultVersion is loaded when the service names no version.
	defaultVersion = "1"
)

// pendingOrder is an order whose effect the engine has not reported yet.
type pendingOrder struct {
	order     api.EngineOrder
	createdAt time.Time
	sentAt    time.Time
}

// planModels compares each model's replicas with the desired number and orders loads.
func (p *Planner) planModels(in Input, plan *Plan) {
	engines := p.liveEngines(in)
	p.pruneOrders(in, engines)
	for _, name := range slices.Sorted(maps.Keys(in.Config.Services)) {
		service := in.Config.Services[name]
		if service.Kind != api.ServiceKindModel || service.Replicas <= 0 {
			continue
		}
		p.planModel(in, plan, name, service, engines)
	}
	p.assignEmptyEngines(in, plan, engines)
}

// assignEmptyEngines orders a model for each engine that has none, even if the model has enough
// replicas: an empty engine costs as much and serves nothing.
func (p *Planner) assignEmptyEngines(in Input, plan *Plan, engines []Host) {
	for _, engine := range engines {
		_, busy := p.pendingOrders[orderKey(engine)]
		if busy || len(engine.Load.Models) > 0 || len(plan.Orders) >= maxOrders || len(plan.Report.Models) == 0 {
			continue
		}
		scarcest := slices.MinFunc(plan.Report.Models, func(a, b api.PlanModel) int {
			return cmp.Compare((a.Loaded+a.Loading)*b.Wanted, (b.Loaded+b.Loading)*a.Wanted)
		})
		if _, ok := p.reserveStore(in, scarcest.Name, scarcest.Version); !ok {
			return
		}
		plan.Orders = append(plan.Orders, p.newOrder(in, engine, scarcest.Name, scarcest.Version, "the engine has no model"))
		for i := range plan.Report.Models {
			if plan.Report.Models[i].Name == scarcest.Name {
				plan.Report.Models[i].Loading++
			}
		}
	}
}

// liveEngines returns the engines that accept work and report their load, sorted by id.
func (p *Planner) liveEngines(in Input) []Host {
	var engines []Host
	for _, host := range in.Hosts {
		_, draining := p.drainUntil[host.ID]
		live := host.Member != nil && host.Member.Health == membership.StateLive && !draining
		if live && host.Load != nil && host.State == api.CloudHostStateRunning {
			engines = append(engines, host)
		}
	}
	slices.SortFunc(engines, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}

// unreportedEngines counts the running engines that have not reported their load yet. Each may
// have any model; those that a planner started start empty and are not counted.
func (p *Planner) unreportedEngines(in Input) int {
	count := 0
	for _, host := range in.Hosts {
		_, _, started := slotOf(host.Token)
		if !started && host.Load == nil && host.State == api.CloudHostStateRunning && isEngine(in.Config, host) && !isLeaving(host) {
			count++
		}
	}
	return count
}

// isEngine reports whether a host runs an engine, by its process or else by its group.
func isEngine(config *api.Configuration, host Host) bool {
	if host.Member != nil {
		return host.Member.IsEngine()
	}
	for _, group := range config.HostGroups {
		if group.Role == string(api.HostRoleEngine) && inGroup(group, host) {
			return true
		}
	}
	return false
}

// pruneOrders removes the pending orders that took effect, that timed out, or whose
// engine is no longer live.
func (p *Planner) pruneOrders(in Input, engines []Host) {
	engineByKey := map[string]Host{}
	for _, engine := range engines {
		engineByKey[orderKey(engine)] = engine
	}
	for key, pending := range p.pendingOrders {
		engine, present := engineByKey[key]
		if !present || hasModel(engine, pending.order.Model, pending.order.Version) || in.Now.Sub(pending.createdAt) > orderTimeout {
			delete(p.pendingOrders, key)
		}
	}
}

// orderKey identifies an engine process; each has at most one pending order.
func orderKey(engine Host) string { return engine.ID + "/" + engine.Load.Incarnation }

// planModel orders loads of one model until enough engines have it. Engines that have
// another version of it are switched one at a time.
func (p *Planner) planModel(in Input, plan *Plan, name string, service api.Service, engines []Host) {
	version := service.ModelVersion
	report := api.PlanModel{Name: name, Version: version, Wanted: service.Replicas}
	replicasByDataCentre := map[string]int{}
	var candidates []Host
	for _, engine := range engines {
		pending, busy := p.pendingOrders[orderKey(engine)]
		switch {
		case hasModel(engine, name, version):
			report.Loaded++
			replicasByDataCentre[engine.DataCentre]++
		case busy && pending.order.Model == name:
			report.Loading++
			replicasByDataCentre[engine.DataCentre]++
			p.resend(in, plan, engine, pending)
		case !busy && (hasModel(engine, name, "") || len(engine.Load.Models) < modelsPerHost(in.Config, engine)):
			candidates = append(candidates, engine)
		}
	}
	if report.Loading > 0 {
		candidates = slices.DeleteFunc(candidates, func(h Host) bool { return hasModel(h, name, "") })
	}
	unreported := p.unreportedEngines(in)
	for report.Loaded+report.Loading+unreported < report.Wanted && len(candidates) > 0 && len(plan.Orders) < maxOrders {
		chosen := slices.MinFunc(candidates, func(a, b Host) int { return compareTargets(replicasByDataCentre, a, b) })
		wait, ok := p.reserveStore(in, name, version)
		if !ok {
			break
		}
		plan.Orders = append(plan.Orders, p.newOrder(in, chosen, name, version,
			fmt.Sprintf("%d of %d engines have it; the store is free in %v", report.Loaded, report.Wanted, wait.Round(time.Second))))
		report.Loading++
		replicasByDataCentre[chosen.DataCentre]++
		candidates = slices.DeleteFunc(candidates, func(h Host) bool { return h.ID == chosen.ID || hasModel(h, name, "") })
	}
	plan.Report.Models = append(plan.Report.Models, report)
}

// newOrder creates a pending order with an id that is unique across planners and
// decisions.
func (p *Planner) newOrder(in Input, engine Host, model, version, reason string) Order {
	p.orderSeq++
	order := api.EngineOrder{
		ID:      fmt.Sprintf("%d-%s-%d", in.Fence, orderKey(engine), p.orderSeq),
		Kind:    api.EngineOrderKindLoad,
		Model:   model,
		Version: cmp.Or(version, defaultVersion),
		Fence:   in.Fence,
	}
	p.pendingOrders[orderKey(engine)] = pendingOrder{order: order, createdAt: in.Now, sentAt: in.Now}
	return orderFor(engine, order, reason)
}

// resend repeats an order whose effect the engine has not reported.
func (p *Planner) resend(in Input, plan *Plan, engine Host, pending pendingOrder) {
	if in.Now.Sub(pending.sentAt) < orderResendInterval {
		return
	}
	pending.sentAt = in.Now
	p.pendingOrders[orderKey(engine)] = pending
	plan.Orders = append(plan.Orders, orderFor(engine, pending.order, "no effect shown yet; the same order again"))
}

func orderFor(engine Host, order api.EngineOrder, reason string) Order {
	return Order{HostID: engine.ID, Address: engine.Member.Address, Order: order, Reason: reason}
}

// reserveStore reserves the weight store's time for a load and returns the wait until
// then; false when the queue at the store exceeds maxStoreQueue.
func (p *Planner) reserveStore(in Input, model, version string) (time.Duration, bool) {
	if in.Weights == nil || in.Weights.BytesPerSecond <= 0 {
		return 0, true
	}
	wait := max(0, p.storeAvailableAt.Sub(in.Now))
	if wait > maxStoreQueue {
		return wait, false
	}
	var size int64
	for _, info := range in.Weights.Models {
		if info.Name == model && (version == "" || info.Version == version) {
			size = info.Bytes
		}
	}
	loadTime := time.Duration(float64(size) / in.Weights.BytesPerSecond * float64(time.Second))
	p.storeAvailableAt = in.Now.Add(wait + loadTime)
	return wait, true
}

// compareTargets orders engines by the replicas in their data centre, their number of
// models and their running requests, the fewest first.
func compareTargets(replicasByDataCentre map[string]int, a, b Host) int {
	return cmp.Or(
		cmp.Compare(replicasByDataCentre[a.DataCentre], replicasByDataCentre[b.DataCentre]),
		cmp.Compare(len(a.Load.Models), len(b.Load.Models)),
		cmp.Compare(a.Load.Running, b.Load.Running),
		cmp.Compare(a.ID, b.ID),
	)
}

// hasModel reports whether an engine has a model loaded; an empty version matches any.
func hasModel(engine Host, name, version string) bool {
	return slices.ContainsFunc(engine.Load.Models, func(m api.LoadedModel) bool {
		return m.Name == name && (version == "" || m.Version == version)
	})
}

func modelsPerHost(config *api.Configuration, engine Host) int {
	for _, group := range config.HostGroups {
		if inGroup(group, engine) && group.ModelsPerHost > 0 {
			return group.ModelsPerHost
		}
	}
	return defaultModelsPerHost
}
