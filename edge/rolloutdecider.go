package edge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/rollout"
)

const (
	// statusRefresh is the interval at which the counts in a status are renewed while the version is on
	// trial, quietEnd the time before the completion in which they are not, so that no call is in the way.
	statusRefresh = 2 * time.Second
	quietEnd      = time.Second
	// standInDelay is how long after its planned moment a completion that no node tells is written by a
	// stand-in; the write and its way through two hubs take less.
	standInDelay = 250 * time.Millisecond
	// statusPatience is how long a node waits for its peers to tell the phase of an order before it
	// reads the status.
	statusPatience = 500 * time.Millisecond
	// rateWindow is the time over which the rate of requests is measured.
	rateWindow = 3 * time.Second
	// decisionLogInterval is the interval of the log lines about an order that is carried out.
	decisionLogInterval = time.Second
)

// rolloutDecider decides on rollouts while its node holds the duties, and writes their status. The
// control loop owns it.
type rolloutDecider struct {
	rollouts *rollouts
	store    statusStore
	// start runs a call to the store beside the control loop.
	start func(call func())
	fence int64
	// loaded is set once every order knows its status as of this fence, endKnown while end is that of the
	// topic of statuses.
	loaded, endKnown bool
	end              int64
	// callInFlight is set while a call to the store is under way, retryAt the time of the next after a
	// failed one.
	callInFlight bool
	retryAt      time.Time
	// failures is the number of consecutive failed calls, of which the first is logged.
	failures int
}

// statusStore is the part of the store that holds statuses.
type statusStore interface {
	Newest(ctx context.Context, topic string, timeout time.Duration) (platform.Snapshot, error)
	Append(ctx context.Context, topic string, records [][]byte, at int64) (platform.Position, error)
}

// deciding is what the deciding node keeps of an order.
type deciding struct {
	monitor *rollout.Monitor
	// rates are the counts of requests in the last rateWindow.
	rates []rateSample
	// statusAt is when the status was last written.
	statusAt time.Time
	loggedAt time.Time
	reason   string
}

type rateSample struct {
	at    time.Time
	asked float64
}

// tick decides on all orders under a fencing token.
func (d *rolloutDecider) tick(fence int64, now time.Time) {
	r := d.rollouts
	if !r.enabled() || len(r.byService) == 0 {
		return
	}
	if fence != d.fence {
		d.fence, d.loaded, d.endKnown = fence, false, false
	}
	if !d.endKnown {
		d.load(now)
	}
	if !d.loaded {
		return
	}
	r.gather()
	for _, service := range slices.Sorted(maps.Keys(r.byService)) {
		state := r.byService[service]
		if state.phase == "" {
			// The order is newer than the statuses that were read.
			state.phase = rollout.Serving
		}
		if !state.phase.Final() && r.control.table != nil && r.control.table.Service(service) != nil {
			d.decide(state, now)
		}
		d.writeStatus(state, now)
	}
}

// readUnknown reads the statuses if the peers do not tell the phase of an order.
func (d *rolloutDecider) readUnknown(now time.Time) {
	for _, state := range d.rollouts.byService {
		if state.phase == "" && !d.loaded && now.Sub(state.learnedAt) > statusPatience {
			d.load(now)
			return
		}
	}
}

// standIn completes the orders whose completion is overdue at a node that does not hold the duties: the
// lease of a lost holder ends after the order. It only carries out what the holder has announced; the
// condition of the write decides between the two.
func (d *rolloutDecider) standIn(now time.Time) {
	r := d.rollouts
	if !r.enabled() || r.control.duties.leaseHeld.Load() {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(r.byService)) {
		state := r.byService[service]
		announced := state.phase == rollout.Serving && state.decision.Moving && now.Sub(state.decidedAt) < shareLife
		if announced && state.untilComplete(now) <= -standInDelay && r.control.hasAllReports(now) {
			d.completeFor(state, now)
		}
	}
}

// completeFor writes the completion of an order for the holder, unless this node finds the version bad.
func (d *rolloutDecider) completeFor(state *rolloutState, now time.Time) {
	if !d.endKnown {
		d.load(now)
		return
	}
	r := d.rollouts
	r.gather()
	monitor := rollout.NewMonitor()
	monitor.Observe(r.evidence.Total(state.key()), now)
	input := rollout.State{OrderedAt: state.orderedAt, Duration: state.order.Duration, Withdrawn: state.withdrawn}
	input.OldEngines, input.NewEngines = r.countEngines(state)
	input.Verdict, _ = monitor.Verdict(true)
	if rollout.Decide(r.bounds(), input, now).Phase != rollout.Complete || d.callInFlight || now.Before(d.retryAt) {
		return
	}
	r.edge.logger.Info().Str("service", state.order.Service).Str("to", state.order.To).Dur("decided_ms", now.Sub(state.decidedAt)).
		Msg("rollout completed for the holder of the duties")
	d.append(state, rollout.Complete)
}

// decide makes a decision on an order for all nodes.
func (d *rolloutDecider) decide(state *rolloutState, now time.Time) {
	r := d.rollouts
	if state.deciding == nil {
		state.deciding = &deciding{monitor: rollout.NewMonitor()}
	}
	known, total := state.deciding, r.evidence.Total(state.key())
	known.monitor.Observe(total, now)
	sent := rollout.Sum(total, rollout.New, rollout.Sent)
	input := rollout.State{
		OrderedAt: state.orderedAt, Duration: state.order.Duration, Withdrawn: state.withdrawn,
		Asked: float64(max(state.asked, sent+rollout.Sum(total, rollout.Old, rollout.Sent))), Sent: float64(max(state.sent, sent)),
	}
	input.Rate = known.rate(input.Asked, state.learnedAt, now)
	input.OldEngines, input.NewEngines = r.countEngines(state)
	verdict, evidence := known.monitor.Verdict(state.decision.Moving)
	input.Verdict = verdict
	decision := rollout.Decide(r.bounds(), input, now)
	d.log(state, input, decision, evidence, now)
	if decision.Phase == rollout.Reverted {
		r.settle(state, rollout.Reverted, false, decision.Reason+"; "+evidence)
		return
	}
	if state.sequence++; state.fence != d.fence {
		state.fence, state.sequence = d.fence, 1
	}
	state.decision, state.decidedAt = decision, now
	state.asked, state.sent = int64(input.Asked), int64(input.Sent)
	r.control.publishNow = true
}

// rate returns the requests a second, over a short window.
func (k *deciding) rate(asked float64, since, now time.Time) float64 {
	k.rates = append(k.rates, rateSample{now, asked})
	for now.Sub(k.rates[0].at) > rateWindow {
		k.rates = k.rates[1:]
	}
	first := k.rates[0]
	elapsed := now.Sub(first.at).Seconds()
	if elapsed < rateWindow.Seconds()/2 {
		return asked / max(1, now.Sub(since).Seconds())
	}
	return (asked - first.asked) / elapsed
}

// countEngines counts the engines of a service that may get work, by side.
func (r *rollouts) countEngines(state *rolloutState) (old, fresh int) {
	for _, member := range r.control.registry.Upstreams() {
		switch {
		case member.Service != state.order.Service || member.Leaving() || !member.LapsedAt.IsZero():
		case member.Version == state.order.To:
			fresh++
		case state.isOld(member.Version):
			old++
		}
	}
	return old, fresh
}

// log writes a line when the reason of the decision changes, and each second.
func (d *rolloutDecider) log(state *rolloutState, input rollout.State, decision rollout.Decision, evidence string, now time.Time) {
	known := state.deciding
	if known.reason == decision.Reason && now.Sub(known.loggedAt) < decisionLogInterval {
		return
	}
	known.reason, known.loggedAt = decision.Reason, now
	d.rollouts.edge.logger.Info().Str("service", state.order.Service).Str("to", state.order.To).Str("phase", string(decision.Phase)).
		Float64("share", decision.Share).Bool("moving", decision.Moving).Dur("complete_in_ms", decision.CompleteIn).
		Dur("age_ms", now.Sub(state.orderedAt)).Float64("asked", input.Asked).Float64("sent", input.Sent).Float64("per_s", input.Rate).
		Int("old_engines", input.OldEngines).Int("new_engines", input.NewEngines).Str("evidence", evidence).
		Int64("fence", d.fence).Msg("rollout decided: " + decision.Reason)
}

// writeStatus writes the status of an order if the store does not have it. A completed rollout is told
// to the nodes only once the store has it, since the old engines stop at that moment.
func (d *rolloutDecider) writeStatus(state *rolloutState, now time.Time) {
	phase := state.phase
	if !phase.Final() && state.decision.Phase == rollout.Complete {
		phase = rollout.Complete
	}
	switch {
	case d.callInFlight || !d.endKnown || now.Before(d.retryAt):
		return
	case phase.Final() && state.written && state.phase.Final():
		return
	case phase == rollout.Serving && state.written && !d.refreshDue(state, now):
		return
	case phase == rollout.Serving && state.deciding == nil:
		return
	}
	d.append(state, phase)
}

// refreshDue reports whether the counts in a status are to be renewed.
func (d *rolloutDecider) refreshDue(state *rolloutState, now time.Time) bool {
	return now.Sub(state.deciding.statusAt) > statusRefresh && state.untilComplete(now) > quietEnd
}

// append writes a status under the condition that nobody has written since statuses were read.
func (d *rolloutDecider) append(state *rolloutState, phase rollout.Phase) {
	r := d.rollouts
	ordered := r.edge.clock.now().Add(-r.edge.clock.monotonic().Sub(state.orderedAt))
	record, err := platform.EncodeRolloutStatus(platform.RolloutStatus{
		Service: state.order.Service, To: state.order.To, Phase: phase, Order: state.order.Offset,
		OrderedMS: ordered.UnixMilli(), Asked: state.asked, Sent: state.sent,
	})
	if err != nil {
		r.edge.logger.Error().Err(err).Msg("rollout status not encoded")
		return
	}
	end := d.end
	d.call("write", func(ctx context.Context) (func(now time.Time), error) {
		position, err := d.store.Append(ctx, platform.TopicStatus, [][]byte{record}, end)
		if err != nil {
			return nil, err
		}
		return func(now time.Time) {
			d.end = position.Offset + 1
			r.edge.logger.Info().Str("service", state.order.Service).Str("to", state.order.To).Str("phase", string(phase)).
				Int64("asked", state.asked).Int64("sent", state.sent).Int64("offset", position.Offset).Msg("rollout status written")
			if state.deciding != nil {
				state.deciding.statusAt = now
			}
			d.statusWritten(state, phase)
		}, nil
	})
}

// statusWritten applies that the store has a phase.
func (d *rolloutDecider) statusWritten(state *rolloutState, phase rollout.Phase) {
	if phase.Final() {
		d.rollouts.settle(state, phase, true, "status written")
		return
	}
	state.written = state.written || !state.phase.Final()
}

// load reads the statuses.
func (d *rolloutDecider) load(now time.Time) {
	if d.callInFlight || now.Before(d.retryAt) {
		return
	}
	d.call("read", func(ctx context.Context) (func(now time.Time), error) {
		newest, err := d.store.Newest(ctx, platform.TopicStatus, maxStoreTimeout)
		if err != nil {
			return nil, err
		}
		if highest := newestOffset(newest.Records); highest+1 < newest.End {
			return nil, fmt.Errorf("read rollout statuses, newest offset %d, end %d: %w", highest, newest.End, errLagging)
		}
		return func(now time.Time) {
			d.loaded, d.endKnown, d.end = true, true, newest.End
			for _, state := range d.rollouts.byService {
				// The store may have come back from an older copy.
				state.written = false
			}
			for _, record := range newest.Records {
				d.applyStatus(record, now)
			}
			d.standIn(now)
		}, nil
	})
}

// applyStatus applies a status of the store to its order.
func (d *rolloutDecider) applyStatus(record platform.KeyedRecord, now time.Time) {
	r := d.rollouts
	service, ok := platform.RolloutService(record.Key)
	state := r.byService[service]
	if !ok || state == nil {
		return
	}
	status, err := platform.DecodeRolloutStatus(record)
	if err != nil {
		r.edge.logger.Warn().Err(err).Str("service", service).Msg("rollout status ignored")
		return
	}
	if status.To != state.order.To || status.Order != state.order.Offset {
		if status.To != state.order.To && status.Phase != rollout.Complete && state.isOld(status.To) {
			state.avoid = append(state.avoid, status.To)
		}
		return
	}
	age := r.edge.clock.now().Sub(time.UnixMilli(status.OrderedMS))
	if at := now.Add(-age); at.Before(state.orderedAt) {
		state.orderedAt = at
	}
	state.asked, state.sent = max(state.asked, status.Asked), max(state.sent, status.Sent)
	switch {
	case status.Phase.Final():
		r.settle(state, status.Phase, true, "read from the store")
	case !state.phase.Final():
		state.phase, state.written = rollout.Serving, true
	}
}

// call makes one call to the store; done runs in the control loop. After a failed call the content of
// the store is unknown and is read again.
func (d *rolloutDecider) call(name string, call func(ctx context.Context) (done func(now time.Time), err error)) {
	d.callInFlight = true
	r := d.rollouts
	ctx := r.edge.ctx
	d.start(func() {
		done, err := call(ctx)
		r.control.post(ctx, func(now time.Time) {
			d.callInFlight = false
			if err == nil {
				d.failures = 0
				done(now)
				return
			}
			d.endKnown = false
			if errors.Is(err, platform.ErrConflict) {
				return
			}
			d.retryAt = now.Add(retryDelay)
			if d.failures++; d.failures == 1 {
				r.edge.logger.Warn().Err(err).Str("call", name).Msg("rollout status not read or written, retrying")
			}
		})
	})
}
