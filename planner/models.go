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
	// defaultModelsPerHost bounds the models of an engine when its group doesn't.
	defaultModelsPerHost = 2
	// loadAhead is how far the loads that are ordered may run ahead of the weight store.
	loadAhead = 10 * time.Second
	// orderResend is the time between two sendings of one order.
	orderResend = 10 * time.Second
	// orderTimeout is when an order that shows no effect is forgotten.
	orderTimeout = 2 * time.Minute
	// defaultVersion is loaded when the configuration and the store name none.
	defaultVersion = "1"
)

// pendingOrder is an order that the engine's report doesn't show yet.
type pendingOrder struct {
	order api.EngineOrder
	at    time.Time
	sent  time.Time
}

// planModels compares each model's engines with what is wanted and orders loads.
func (p *Planner) planModels(in Input, plan *Plan) {
	engines := p.liveEngines(in)
	p.settleOrders(in, engines)
	for _, name := range slices.Sorted(maps.Keys(in.Config.Services)) {
		service := in.Config.Services[name]
		if service.Kind != api.ServiceKindModel || service.Replicas <= 0 {
			continue
		}
		p.planModel(in, plan, name, service, engines)
	}
	p.fillEmpty(in, plan, engines)
}

// fillEmpty orders a model for each engine that has none, though enough have it: an
// empty engine costs as much and serves nothing.
func (p *Planner) fillEmpty(in Input, plan *Plan, engines []Host) {
	for _, engine := range engines {
		_, busy := p.orders[orderKey(engine)]
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

// liveEngines returns the engines that may get work and report their load, by id.
func (p *Planner) liveEngines(in Input) []Host {
	var engines []Host
	for _, host := range in.Hosts {
		_, draining := p.draining[host.ID]
		live := host.Member != nil && host.Member.Health == membership.StateLive && !draining
		if live && host.Load != nil && host.State == api.CloudHostStateRunning {
			engines = append(engines, host)
		}
	}
	slices.SortFunc(engines, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}

// unreported counts the engines that run and have not reported their load yet: each
// may have any model, but for those that a planner started, which start empty.
func (p *Planner) unreported(in Input) int {
	count := 0
	for _, host := range in.Hosts {
		_, _, started := slotOf(host.Token)
		if !started && host.Load == nil && host.State == api.CloudHostStateRunning && isEngine(in.Config, host) && !isLeaving(host) {
			count++
		}
	}
	return count
}

// isEngine says whether a host runs an engine, by its process or by its group.
func isEngine(config *api.Configuration, host Host) bool {
	if host.Member != nil {
		return host.Member.IsEngine()
	}
	for _, group := range config.HostGroups {
		if group.Role == string(api.HostRoleEngine) && groupOf(group, host) {
			return true
		}
	}
	return false
}

// settleOrders forgets orders that took effect, that timed out, and those of engines
// that are gone.
func (p *Planner) settleOrders(in Input, engines []Host) {
	reports := map[string]Host{}
	for _, engine := range engines {
		reports[orderKey(engine)] = engine
	}
	for key, pending := range p.orders {
		engine, present := reports[key]
		if !present || hasModel(engine, pending.order.Model, pending.order.Version) || in.Now.Sub(pending.at) > orderTimeout {
			delete(p.orders, key)
		}
	}
}

// orderKey names an engine process; each has at most one order under way.
func orderKey(engine Host) string { return engine.ID + "/" + engine.Load.Incarnation }

// planModel orders loads of one model until enough engines have it. Of the engines
// that have another version one at a time gives it up.
func (p *Planner) planModel(in Input, plan *Plan, name string, service api.Service, engines []Host) {
	version := service.ModelVersion
	report := api.PlanModel{Name: name, Version: version, Wanted: service.Replicas}
	perCentre := map[string]int{}
	var candidates []Host
	for _, engine := range engines {
		pending, busy := p.orders[orderKey(engine)]
		switch {
		case hasModel(engine, name, version):
			report.Loaded++
			perCentre[engine.DataCentre]++
		case busy && pending.order.Model == name:
			report.Loading++
			perCentre[engine.DataCentre]++
			p.resend(in, plan, engine, pending)
		case !busy && (hasModel(engine, name, "") || len(engine.Load.Models) < modelsPerHost(in.Config, engine)):
			candidates = append(candidates, engine)
		}
	}
	if report.Loading > 0 {
		candidates = slices.DeleteFunc(candidates, func(h Host) bool { return hasModel(h, name, "") })
	}
	unknown := p.unreported(in)
	for report.Loaded+report.Loading+unknown < report.Wanted && len(candidates) > 0 && len(plan.Orders) < maxOrders {
		chosen := slices.MinFunc(candidates, func(a, b Host) int { return compareTargets(perCentre, a, b) })
		wait, ok := p.reserveStore(in, name, version)
		if !ok {
			break
		}
		plan.Orders = append(plan.Orders, p.newOrder(in, chosen, name, version,
			fmt.Sprintf("%d of %d engines have it; the store is free in %v", report.Loaded, report.Wanted, wait.Round(time.Second))))
		report.Loading++
		perCentre[chosen.DataCentre]++
		candidates = slices.DeleteFunc(candidates, func(h Host) bool { return h.ID == chosen.ID || hasModel(h, name, "") })
	}
	plan.Report.Models = append(plan.Report.Models, report)
}

// newOrder makes an order whose id no other planner and no other decision uses.
func (p *Planner) newOrder(in Input, engine Host, model, version, reason string) Order {
	p.orderSeq++
	order := api.EngineOrder{
		ID:      fmt.Sprintf("%d-%s-%d", in.Fence, orderKey(engine), p.orderSeq),
		Kind:    api.EngineOrderKindLoad,
		Model:   model,
		Version: cmp.Or(version, defaultVersion),
		Fence:   in.Fence,
	}
	p.orders[orderKey(engine)] = pendingOrder{order: order, at: in.Now, sent: in.Now}
	return orderFor(engine, order, reason)
}

// resend repeats an order whose effect the engine's report doesn't show.
func (p *Planner) resend(in Input, plan *Plan, engine Host, pending pendingOrder) {
	if in.Now.Sub(pending.sent) < orderResend {
		return
	}
	pending.sent = in.Now
	p.orders[orderKey(engine)] = pending
	plan.Orders = append(plan.Orders, orderFor(engine, pending.order, "no effect shown yet; the same order again"))
}

func orderFor(engine Host, order api.EngineOrder, reason string) Order {
	return Order{HostID: engine.ID, Address: engine.Member.Address, Order: order, Reason: reason}
}

// reserveStore takes the time that a load needs of the weight store; false when the
// loads before it take the store for too long already.
func (p *Planner) reserveStore(in Input, model, version string) (time.Duration, bool) {
	if in.Weights == nil || in.Weights.BytesPerSecond <= 0 {
		return 0, true
	}
	wait := max(0, p.storeFreeAt.Sub(in.Now))
	if wait > loadAhead {
		return wait, false
	}
	var size int64
	for _, info := range in.Weights.Models {
		if info.Name == model && (version == "" || info.Version == version) {
			size = info.Bytes
		}
	}
	takes := time.Duration(float64(size) / in.Weights.BytesPerSecond * float64(time.Second))
	p.storeFreeAt = in.Now.Add(wait + takes)
	return wait, true
}

// compareTargets prefers engines in data centres with few replicas, with few models,
// and that are idle.
func compareTargets(perCentre map[string]int, a, b Host) int {
	return cmp.Or(
		cmp.Compare(perCentre[a.DataCentre], perCentre[b.DataCentre]),
		cmp.Compare(len(a.Load.Models), len(b.Load.Models)),
		cmp.Compare(a.Load.Running, b.Load.Running),
		cmp.Compare(a.ID, b.ID),
	)
}

// hasModel says whether an engine has a model loaded; an empty version is any.
func hasModel(engine Host, name, version string) bool {
	return slices.ContainsFunc(engine.Load.Models, func(m api.LoadedModel) bool {
		return m.Name == name && (version == "" || m.Version == version)
	})
}

func modelsPerHost(config *api.Configuration, engine Host) int {
	for _, group := range config.HostGroups {
		if groupOf(group, engine) && group.ModelsPerHost > 0 {
			return group.ModelsPerHost
		}
	}
	return defaultModelsPerHost
}
