package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/infra/httpclient"
	"github.com/persimmonline/persimmonline/planner"
	"github.com/persimmonline/persimmonline/upstream"
)

const (
	// planInterval is the time between two rounds of the planner.
	planInterval = time.Second
	// maxCloudReadAge is the age of the cloud's host list above which no step is executed.
	maxCloudReadAge = 5 * time.Second
	// weightsInterval is the time between two reads of the weight store's list.
	weightsInterval = 10 * time.Second
	// orderCallTimeout bounds one engine order.
	orderCallTimeout = 2 * time.Second
	// maxReportedSteps bounds the steps in the report.
	maxReportedSteps = 32
	// resultDone is the result of a successful step.
	resultDone = "done"
)

// Kinds of steps in the report.
const (
	stepStart = "start"
	stepDrain = "drain"
	stepStop  = "stop"
	stepLoad  = "load"
)

// planRunner makes a plan in each round, and executes its steps while this node holds the
// planner duty. It runs in a single goroutine.
type planRunner struct {
	loop    *control.Loop
	feeds   *control.Feeds
	weights infra.Weights
	pool    *upstream.Pool
	held    func(duty string) (fence int64, ok bool)
	logger  zerolog.Logger

	planner     *planner.Planner
	fence       int64
	weightList  *api.WeightList
	weightsRead time.Time
	steps       []api.PlanStep
	report      atomic.Pointer[api.PlanReport]
}

// newPlanRunner returns the plan runner of a node.
func (n *Node) newPlanRunner() *planRunner {
	r := &planRunner{
		loop:    n.control,
		feeds:   n.feeds,
		pool:    n.feeds.Pool,
		held:    n.duties.Held,
		logger:  n.logger,
		planner: planner.New(),
	}
	if n.settings.WeightsURL != "" {
		client := httpclient.NewWeightsClient(n.settings.WeightsURL)
		client.SetDial(n.metrics.ControlDial("weights"))
		r.weights = client
	}
	r.report.Store(&api.PlanReport{
		Summary: "no plan yet", Groups: []api.PlanGroup{}, Models: []api.PlanModel{}, Places: []api.PlanPlace{}, Steps: []api.PlanStep{},
	})
	return r
}

// Plan returns the latest plan with its reasons, as this node sees it.
func (n *Node) Plan() api.PlanReport { return *n.plans.report.Load() }

// run executes a round per planInterval until ctx ends.
func (r *planRunner) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// round makes a plan and executes its steps if the duty is held. A different fence means a
// different lease, so the state remembered under the previous one is dropped.
func (r *planRunner) round(ctx context.Context) {
	fence, acting := r.held(control.DutyPlanner)
	if !acting || fence != r.fence {
		r.planner = planner.New()
		r.fence = fence
	}
	cloudRead := r.feeds.LastCloudRead()
	snapshot := r.loop.Snapshot()
	if snapshot.Index == nil || cloudRead == nil {
		return
	}
	if time.Since(cloudRead.At) > maxCloudReadAge {
		r.setSummary("the cloud API can't be read; nothing is started or stopped")
		return
	}
	r.readWeights(ctx)
	plan := r.planner.PlanRound(r.input(snapshot, cloudRead))
	if acting {
		r.execute(ctx, plan)
	}
	plan.Report.Acting = acting
	plan.Report.Steps = append(plan.Report.Steps, r.steps...)
	r.report.Store(&plan.Report)
}

// setSummary replaces the summary of the last report.
func (r *planRunner) setSummary(summary string) {
	report := *r.report.Load()
	report.Summary = summary
	r.report.Store(&report)
}

func (r *planRunner) readWeights(ctx context.Context) {
	if r.weights == nil || time.Since(r.weightsRead) < weightsInterval {
		return
	}
	r.weightsRead = time.Now()
	list, err := r.weights.List(ctx)
	if err != nil {
		r.logger.Warn().Err(err).Msg("failed to read weight store; using its last list")
		return
	}
	r.weightList = &list
}

// input collects this node's view of the cloud's hosts.
func (r *planRunner) input(snapshot *control.Snapshot, cloudRead *control.CloudRead) planner.Input {
	in := planner.Input{
		Now:     time.Now(),
		Fence:   r.fence,
		Config:  snapshot.Index.Config,
		Weights: r.weightList,
	}
	members := snapshot.Members.Upstreams
	byID := make(map[string]int, len(members))
	for i := range members {
		byID[members[i].ID] = i
	}
	for _, described := range cloudRead.Hosts {
		host := planner.Host{CloudHost: described}
		if i, found := byID[described.ID]; found {
			host.Member = &members[i]
		}
		if load, found := snapshot.Loads[described.ID]; found {
			host.Load = &load
			host.InFlight = load.Running
		}
		in.Hosts = append(in.Hosts, host)
	}
	return in
}

// execute executes the steps of a plan. It checks the duty before each, so that a holder
// that was paused stops; a step that slips through is harmless, see docs/design/0010.
func (r *planRunner) execute(ctx context.Context, plan planner.Plan) {
	for _, drain := range plan.Drains {
		r.step(stepDrain, drain.Notice.HostID, drain.Reason, func() error { return r.drain(ctx, drain) })
	}
	for _, stop := range plan.Stops {
		r.step(stepStop, stop.HostID, stop.Reason, func() error { return r.feeds.Cloud.Stop(ctx, stop.HostID) })
	}
	for _, start := range plan.Starts {
		subject := fmt.Sprintf("%s in %s for %s", start.Request.MachineClass, start.Request.DataCentre, start.Group)
		r.step(stepStart, subject, start.Reason, func() error { return r.start(ctx, start) })
	}
	for _, order := range plan.Orders {
		subject := fmt.Sprintf("%s on %s", order.Order.Model, order.HostID)
		r.step(stepLoad, subject, order.Reason, func() error { return r.order(ctx, order) })
	}
}

// step executes one step if the duty is still held, and records its result.
func (r *planRunner) step(kind, subject, reason string, run func() error) {
	if fence, ok := r.held(control.DutyPlanner); !ok || fence != r.fence {
		return
	}
	result := resultDone
	err := run()
	if err != nil {
		result = err.Error()
	}
	r.logger.Info().Err(err).Str("step", kind).Str("subject", subject).Str("reason", reason).Int64("fence", r.fence).Msg("planner step")
	r.steps = append(r.steps, api.PlanStep{
		AtMS: time.Now().UnixMilli(), Kind: kind, Subject: subject, Reason: reason, Result: result,
	})
	r.steps = r.steps[max(0, len(r.steps)-maxReportedSteps):]
}

// drain announces that a host is leaving, as for a reclaim.
func (r *planRunner) drain(ctx context.Context, drain planner.Drain) error {
	r.loop.Post(ctx, control.HostsLeaving{Hosts: []api.LeavingHost{drain.Notice}, Source: "planner"})
	return nil
}

// start requests a host from the cloud. An unknown outcome needs no handling: the next
// round sees the host, or repeats the request with the same token.
func (r *planRunner) start(ctx context.Context, start planner.Start) error {
	host, err := r.feeds.Cloud.Start(ctx, start.Request)
	var failed *infra.Error
	if errors.As(err, &failed) && failed.Status == http.StatusConflict {
		r.planner.RecordRefused(start, time.Now())
	}
	if err == nil {
		r.planner.RecordStarted(start, host, time.Now())
	}
	return err
}

func (r *planRunner) order(ctx context.Context, order planner.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	_, err := r.pool.Get(order.Address).SendOrder(ctx, order.Order)
	return err
}

// close closes idle connections.
func (r *planRunner) close() {
	if closer, ok := r.weights.(interface{ Close() }); ok {
		closer.Close()
	}
}
