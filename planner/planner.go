// Package planner decides which hosts and models a deployment needs and the few
// steps that lead there. It is pure: it has no clock and opens no connection. The
// holder of the planner's lease takes the steps; other nodes only show the plan.
package planner

import (
	"fmt"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
)

const (
	// maxStarts bounds the hosts that one round asks for.
	maxStarts = 4
	// maxOrders bounds the engine orders of one round.
	maxOrders = 4
	// surplusAfter is how long a group must have too many hosts before one is stopped.
	surplusAfter = 2 * time.Minute
	// deadAfter is how long a host must fail before it is replaced.
	deadAfter = 30 * time.Second
	// maxFailingShare is the share of failing hosts above which this node doubts its own
	// network and takes none for dead.
	maxFailingShare = 0.25
	// drainFor is the time that a host that is not needed has to finish its work.
	drainFor = 30 * time.Second
)

// Host is a host of the cloud API with what this node knows of its process.
type Host struct {
	api.CloudHost
	// Member is the process; nil while the host list doesn't have it.
	Member *membership.Member
	// Load of an engine; nil when there is no report.
	Load *api.EngineLoad
	// InFlight attempts of this node.
	InFlight int
}

// Input is what a plan is made from.
type Input struct {
	// Now is the time of the round.
	Now time.Time
	// Fence is the fencing number of the planner's lease.
	Fence int64
	// Config in force.
	Config *api.Configuration
	// Hosts of the cloud API.
	Hosts []Host
	// Weights are the sizes of the models and the store's rate; nil means that loads
	// are not paced.
	Weights *api.WeightList
}

// Start asks for one host. It is idempotent by its token.
type Start struct {
	// Group that needs the host.
	Group string
	// Request for the cloud API.
	Request api.StartHostRequest
	// Reason for people.
	Reason string

	slot slot
}

// Drain ends new work on a host that is not needed, before it is stopped.
type Drain struct {
	// Notice that is spread like a reclaim.
	Notice api.LeavingHost
	// Reason for people.
	Reason string
}

// Stop gives a host back.
type Stop struct {
	// HostID of the host.
	HostID string
	// Reason for people.
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
	// Reason for people.
	Reason string
}

// Plan is what a round wants and the steps that it may take.
type Plan struct {
	// Starts of hosts.
	Starts []Start
	// Drains of hosts that are not needed.
	Drains []Drain
	// Stops of hosts that are drained or dead.
	Stops []Stop
	// Orders for engines.
	Orders []Order
	// Report for operators, without steps.
	Report api.PlanReport
}

// Planner is the state that rounds share. One goroutine owns it. A new holder of the
// lease starts with an empty one: tokens and order contents keep what is repeated
// harmless.
type Planner struct {
	places      map[place]*avoidance
	generations map[slot]int
	surplus     map[string]time.Time
	failing     map[string]time.Time
	doubtful    bool
	draining    map[string]time.Time
	orders      map[string]pendingOrder
	orderSeq    int
	storeFreeAt time.Time
}

// New returns a planner that knows nothing yet.
func New() *Planner {
	return &Planner{
		places:      map[place]*avoidance{},
		generations: map[slot]int{},
		surplus:     map[string]time.Time{},
		failing:     map[string]time.Time{},
		draining:    map[string]time.Time{},
		orders:      map[string]pendingOrder{},
	}
}

// PlanRound makes the plan of one round.
func (p *Planner) PlanRound(in Input) Plan {
	plan := Plan{Report: api.PlanReport{
		Fence:  in.Fence,
		AtMS:   in.Now.UnixMilli(),
		Groups: []api.PlanGroup{},
		Models: []api.PlanModel{},
		Places: []api.PlanPlace{},
		Steps:  []api.PlanStep{},
	}}
	p.noteReclaims(in)
	p.noteFailing(in)
	p.stopDrained(in, &plan)
	p.planHosts(in, &plan)
	p.planModels(in, &plan)
	plan.Report.Places = p.avoided(in.Now)
	plan.Report.Summary = summarise(&plan)
	return plan
}

// noteFailing remembers since when hosts fail, and forgets those that are gone.
func (p *Planner) noteFailing(in Input) {
	failing := map[string]time.Time{}
	for _, host := range in.Hosts {
		if host.Member == nil || host.Member.Health != membership.StateSuspect {
			continue
		}
		since, known := p.failing[host.ID]
		if !known {
			since = in.Now
		}
		failing[host.ID] = since
	}
	p.failing = failing
	p.doubtful = float64(len(failing)) > maxFailingShare*float64(len(in.Hosts))
}

// isDead says whether a host has failed for so long that it is replaced.
func (p *Planner) isDead(host Host, now time.Time) bool {
	since, failing := p.failing[host.ID]
	return failing && !p.doubtful && now.Sub(since) >= deadAfter
}

// stopDrained stops hosts whose drain is over, and hosts that are dead.
func (p *Planner) stopDrained(in Input, plan *Plan) {
	present := map[string]bool{}
	for _, host := range in.Hosts {
		present[host.ID] = true
		until, drained := p.draining[host.ID]
		switch {
		case drained && !in.Now.Before(until):
			plan.Stops = append(plan.Stops, Stop{HostID: host.ID, Reason: "drained; it was not needed"})
		case wasLeft(host, in):
			plan.Stops = append(plan.Stops, Stop{HostID: host.ID, Reason: "it gave notice, and its time is over"})
		case p.isDead(host, in.Now) && host.State == api.CloudHostStateRunning && isPlanned(in.Config, host):
			plan.Stops = append(plan.Stops, Stop{
				HostID: host.ID, Reason: fmt.Sprintf("its process has not answered for %v", deadAfter),
			})
		}
	}
	for id := range p.draining {
		if !present[id] {
			delete(p.draining, id)
		}
	}
}

// wasLeft says whether a host runs on after its drain or reclaim, which no node will
// use again; the planner that drained it may be gone.
func wasLeft(host Host, in Input) bool {
	return isLeaving(host) && host.State == api.CloudHostStateRunning && isPlanned(in.Config, host) &&
		!host.Member.ReclaimAt.IsZero() && in.Now.Sub(host.Member.ReclaimAt) > drainFor
}

// summarise says in one line what is missing.
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
