// Package planner decides which hosts and models a deployment needs, and plans a bounded
// number of steps towards them. It is pure: it has no clock and opens no connection. The
// holder of the planner's lease executes the steps; other nodes only show the plan.
package planner

import (
	"fmt"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
)

const (
	// maxStarts bounds the host starts of one round.
	maxStarts = 4
	// maxOrders bounds the engine orders of one round.
	maxOrders = 4
	// surplusPeriod is how long a group must have too many hosts before one is drained.
	surplusPeriod = 2 * time.Minute
	// deadTimeout is how long a host must fail before it is replaced.
	deadTimeout = 30 * time.Second
	// maxFailingShare is the share of failing hosts above which this node suspects its
	// own network and considers none dead.
	maxFailingShare = 0.25
	// drainPeriod is the time that a surplus host has to finish its work.
	drainPeriod = 30 * time.Second
)

// Host is a host of the cloud API with this node's view of its process.
type Host struct {
	api.CloudHost
	// Member is the process; nil while the host list lacks it.
	Member *membership.Member
	// Load of an engine; nil when there is no report.
	Load *api.EngineLoad
	// InFlight is the number of this node's attempts on the host.
	InFlight int
}

// Input is the state from which a plan is derived.
type Input struct {
	// Now is the time of the round.
	Now time.Time
	// Fence is the fencing number of the planner's lease.
	Fence int64
	// Config is the configuration in force.
	Config *api.Configuration
	// Hosts are the hosts that the cloud API lists.
	Hosts []Host
	// Weights are the sizes of the models and the store's rate; nil disables the pacing
	// of loads.
	Weights *api.WeightList
}

// Start requests one host. It is idempotent by its token.
type Start struct {
	// Group that needs the host.
	Group string
	// Request for the cloud API.
	Request api.StartHostRequest
	// Reason is shown to operators.
	Reason string

	slot slot
}

// Drain ends new work on a surplus host, before it is stopped.
type Drain struct {
	// Notice is propagated like a reclaim notice.
	Notice api.LeavingHost
	// Reason is shown to operators.
	Reason string
}

// Stop terminates a host.
type Stop struct {
	// HostID of the host.
	HostID string
	// Reason is shown to operators.
	Reason string
}

// Order is an order for one engine. It is idempotent by its id and by its content.
type Order struct {
	// HostID of the engine.
	HostID string
	// Address of the engine.
	Address string
	// Order with its fencing number.
	Order api.EngineOrder
	// Reason is shown to operators.
	Reason string
}

// Plan is the outcome of a round: the report and the steps to execute.
type Plan struct {
	// Starts of hosts.
	Starts []Start
	// Drains of surplus hosts.
	Drains []Drain
	// Stops of hosts that are drained or dead.
	Stops []Stop
	// Orders for engines.
	Orders []Order
	// Report for operators, without steps.
	Report api.PlanReport
}

// Planner is the state that is carried between rounds. It is owned by one goroutine. A
// new holder of the lease starts with an empty one: because tokens and the contents of
// orders are deterministic, repeating a step is harmless.
type Planner struct {
	avoidances       map[place]*avoidance
	generations      map[slot]int
	surplusSince     map[string]time.Time
	failingSince     map[string]time.Time
	networkSuspect   bool
	drainUntil       map[string]time.Time
	pendingOrders    map[string]pendingOrder
	orderSeq         int
	storeAvailableAt time.Time
}

// New returns a planner without state.
func New() *Planner {
	return &Planner{
		avoidances:    map[place]*avoidance{},
		generations:   map[slot]int{},
		surplusSince:  map[string]time.Time{},
		failingSince:  map[string]time.Time{},
		drainUntil:    map[string]time.Time{},
		pendingOrders: map[string]pendingOrder{},
	}
}

// PlanRound returns the plan of one round.
func (p *Planner) PlanRound(in Input) Plan {
	plan := Plan{Report: api.PlanReport{
		Fence:  in.Fence,
		AtMS:   in.Now.UnixMilli(),
		Groups: []api.PlanGroup{},
		Models: []api.PlanModel{},
		Places: []api.PlanPlace{},
		Steps:  []api.PlanStep{},
	}}
	p.recordReclaims(in)
	p.trackFailing(in)
	p.stopDrained(in, &plan)
	p.planHosts(in, &plan)
	p.planModels(in, &plan)
	plan.Report.Places = p.avoided(in.Now)
	plan.Report.Summary = summarise(&plan)
	return plan
}

// trackFailing tracks since when hosts have been failing, and drops those that were removed
// or have recovered.
func (p *Planner) trackFailing(in Input) {
	failingSince := map[string]time.Time{}
	for _, host := range in.Hosts {
		if host.Member == nil || host.Member.Health != membership.StateSuspect {
			continue
		}
		since, known := p.failingSince[host.ID]
		if !known {
			since = in.Now
		}
		failingSince[host.ID] = since
	}
	p.failingSince = failingSince
	p.networkSuspect = float64(len(failingSince)) > maxFailingShare*float64(len(in.Hosts))
}

// isDead reports whether a host has failed for deadTimeout, while this node does not suspect
// its own network.
func (p *Planner) isDead(host Host, now time.Time) bool {
	since, failing := p.failingSince[host.ID]
	return failing && !p.networkSuspect && now.Sub(since) >= deadTimeout
}

// stopDrained stops hosts whose drain period or reclaim time has passed, and dead hosts.
func (p *Planner) stopDrained(in Input, plan *Plan) {
	present := map[string]bool{}
	for _, host := range in.Hosts {
		present[host.ID] = true
		until, drained := p.drainUntil[host.ID]
		switch {
		case drained && !in.Now.Before(until):
			plan.Stops = append(plan.Stops, Stop{HostID: host.ID, Reason: "drained; it was not needed"})
		case isOverdue(host, in):
			plan.Stops = append(plan.Stops, Stop{HostID: host.ID, Reason: "it gave notice, and its time is over"})
		case p.isDead(host, in.Now) && host.State == api.CloudHostStateRunning && isManaged(in.Config, host):
			plan.Stops = append(plan.Stops, Stop{
				HostID: host.ID, Reason: fmt.Sprintf("its process has not answered for %v", deadTimeout),
			})
		}
	}
	for id := range p.drainUntil {
		if !present[id] {
			delete(p.drainUntil, id)
		}
	}
}

// isOverdue reports whether a host is still running after its drain or reclaim time. No
// node will use it again, and the planner that drained it may no longer run.
func isOverdue(host Host, in Input) bool {
	return isLeaving(host) && host.State == api.CloudHostStateRunning && isManaged(in.Config, host) &&
		!host.Member.ReclaimAt.IsZero() && in.Now.Sub(host.Member.ReclaimAt) > drainPeriod
}

// summarise returns a line on the missing hosts and model replicas.
func summarise(plan *Plan) string {
	missing := 0
	for _, group := range plan.Report.Groups {
		missing += max(0, group.Wanted-group.Running-group.Starting)
	}
	unloaded := 0
	for _, model := range plan.Report.Models {
		unloaded += max(0, model.Wanted-model.Loaded)
	}
	switch {
	case missing > 0 && len(plan.Starts) == 0:
		return fmt.Sprintf("%d hosts missing; starts are refused or held back, %d places avoided; load must be shed by priority",
			missing, len(plan.Report.Places))
	case missing > 0:
		return fmt.Sprintf("%d hosts missing; %d starts now", missing, len(plan.Starts))
	case unloaded > 0:
		return fmt.Sprintf("hosts complete; %d model replicas missing", unloaded)
	default:
		return "complete"
	}
}
