package edge

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/fleet"
	"github.com/persimmonline/persimmonline/platform"
	"github.com/persimmonline/persimmonline/rollout"
	"github.com/persimmonline/persimmonline/routing"
	"github.com/persimmonline/persimmonline/serving"
)

const (
	// shareLife is how long a decision is followed without a newer one; it covers the way through two
	// hubs.
	shareLife = 1200 * time.Millisecond
	// maxAvoided bounds the versions of earlier orders that are kept away.
	maxAvoided = 16
)

// rollouts are the services' moves to new versions, as this node knows them. The control loop owns it.
type rollouts struct {
	edge    *Edge
	control *control
	// byService holds the newest order of each service.
	byService map[string]*rolloutState
	evidence  *rollout.Evidence
	// versionsSeenAt is when this node first saw an engine of a version, by service.
	versionsSeenAt map[string]map[string]time.Time
	// replaced holds the services whose old engines have stopped while new ones exist.
	replaced map[string]bool
	decider  *rolloutDecider
}

// rolloutState is an order and the newest decision about it.
type rolloutState struct {
	order     platform.RolloutOrder
	orderedAt time.Time
	// learnedAt is when this node learned of the order.
	learnedAt time.Time
	// avoid are the versions of earlier orders that were not completed.
	avoid     []string
	withdrawn bool
	// phase in force; empty if unknown. written is set if the store has it.
	phase   rollout.Phase
	written bool
	// decision by the fence and sequence of the node that decided, decidedAt when.
	decision        rollout.Decision
	fence, sequence int64
	decidedAt       time.Time
	// asked and sent are the counts in the status that was read.
	asked, sent int64
	deciding    *deciding
}

func newRollouts(e *Edge, c *control) *rollouts {
	r := &rollouts{
		edge: e, control: c, byService: map[string]*rolloutState{}, evidence: rollout.NewEvidence(), versionsSeenAt: map[string]map[string]time.Time{},
	}
	r.decider = &rolloutDecider{rollouts: r, store: e.store, start: func(call func()) { go call() }}
	return r
}

// enabled reports whether the deployment has rollouts.
func (r *rollouts) enabled() bool { return r.edge.bounds.Load().CanaryShare > 0 }

// key identifies the order in counters.
func (s *rolloutState) key() string {
	return fmt.Sprintf("%s@%d", s.order.Service, s.order.Offset)
}

// untilComplete returns the time until the planned completion; it is negative afterwards.
func (s *rolloutState) untilComplete(now time.Time) time.Duration {
	return s.orderedAt.Add(s.order.Duration).Sub(now) - rollout.CompleteMargin(s.order.Duration)
}

// isOld reports whether a version is one that the service had before the order.
func (s *rolloutState) isOld(version string) bool {
	return version != s.order.To && !slices.Contains(s.avoid, version)
}

// applyRecord applies a record of the operator that is about a rollout.
func (r *rollouts) applyRecord(record platform.KeyedRecord, now time.Time) {
	service, _ := platform.RolloutService(record.Key)
	if len(record.Value) == 0 {
		r.withdraw(service, record.Offset)
		return
	}
	order, err := platform.DecodeRolloutOrder(record)
	if err != nil {
		r.edge.logger.Warn().Err(err).Str("service", service).Int64("offset", record.Offset).Msg("rollout order ignored")
		return
	}
	if !r.enabled() {
		r.edge.logger.Warn().Str("service", service).Msg("rollout order ignored: the settings have no canaryShare")
		return
	}
	r.applyOrder(order, now, now)
}

// withdraw marks a service's order as taken back.
func (r *rollouts) withdraw(service string, offset int64) {
	known := r.byService[service]
	if known == nil || offset < known.order.Offset || known.withdrawn || known.phase.Final() {
		return
	}
	known.withdrawn = true
	r.edge.logger.Info().Str("service", service).Str("to", known.order.To).Msg("rollout order withdrawn")
}

// applyOrder puts an order into force unless a newer one is known, and returns the state of the
// service's newest order. The same order may be written again while it is carried out.
func (r *rollouts) applyOrder(order platform.RolloutOrder, orderedAt, now time.Time) *rolloutState {
	known := r.byService[order.Service]
	if known != nil {
		repeated := order.To == known.order.To && known.phase != rollout.Reverted && !known.withdrawn
		if order.Offset <= known.order.Offset || repeated {
			return known
		}
	}
	state := &rolloutState{order: order, orderedAt: orderedAt, learnedAt: now}
	if known != nil {
		state.avoid = slices.Clone(known.avoid)
		if known.phase != rollout.Complete && known.order.To != order.To {
			state.avoid = append(state.avoid, known.order.To)
			state.avoid = state.avoid[max(0, len(state.avoid)-maxAvoided):]
		}
		state.avoid = slices.DeleteFunc(state.avoid, func(version string) bool { return version == order.To })
	}
	r.byService[order.Service] = state
	event := r.edge.logger.Info()
	if table := r.control.table; table != nil && table.Service(order.Service) == nil {
		event = r.edge.logger.Warn().Bool("unknown_service", true)
	}
	event.Str("service", order.Service).Str("to", order.To).Dur("duration_ms", order.Duration).Int64("order", order.Offset).
		Dur("age_ms", now.Sub(orderedAt)).Msg("rollout ordered")
	r.control.publishNow = true
	r.edge.peers.wake()
	return state
}

// outgoing returns the orders and decisions for a message.
func (r *rollouts) outgoing(now time.Time) []api.EdgeRollout {
	var message []api.EdgeRollout
	for _, service := range slices.Sorted(maps.Keys(r.byService)) {
		state := r.byService[service]
		message = append(message, api.EdgeRollout{
			Service: service, To: state.order.To, Order: state.order.Offset, DurationMS: state.order.Duration.Milliseconds(),
			AgeMS: ageMS(state.orderedAt, now), Avoid: state.avoid, Withdrawn: state.withdrawn, Phase: string(state.phase),
			Written: state.written, Fence: state.fence, Sequence: state.sequence, DecidedMS: ageMS(state.decidedAt, now),
			Share: state.decision.Share, Moving: state.decision.Moving, CompleteInMS: state.decision.CompleteIn.Milliseconds(),
		})
	}
	return message
}

// apply applies the orders and decisions of a peer's message.
func (r *rollouts) apply(message []api.EdgeRollout, now time.Time) {
	if !r.enabled() {
		return
	}
	for i := range message {
		told := &message[i]
		order := platform.RolloutOrder{
			Service: told.Service, To: told.To, Duration: time.Duration(told.DurationMS) * time.Millisecond, Offset: told.Order,
		}
		state := r.applyOrder(order, timeOfAge(told.AgeMS, now), now)
		if state.order.To != told.To || state.phase == rollout.Complete {
			continue
		}
		if at := timeOfAge(told.AgeMS, now); at.Before(state.orderedAt) {
			state.orderedAt = at
		}
		for _, version := range told.Avoid {
			if version != told.To && !slices.Contains(state.avoid, version) && len(state.avoid) < maxAvoided {
				state.avoid = append(state.avoid, version)
			}
		}
		state.withdrawn = state.withdrawn || told.Withdrawn
		r.applyDecision(state, told, now)
	}
}

// applyDecision applies a decision that a peer tells if it is newer. A final phase stays: complete
// overrides reverted, since it is told only once the store has it.
func (r *rollouts) applyDecision(state *rolloutState, told *api.EdgeRollout, now time.Time) {
	if phase := rollout.Phase(told.Phase); phase.Final() {
		r.settle(state, phase, told.Written, "told by a peer")
		return
	}
	if state.phase.Final() || told.Fence < state.fence || (told.Fence == state.fence && told.Sequence <= state.sequence) {
		return
	}
	state.phase, state.fence, state.sequence = rollout.Phase(told.Phase), told.Fence, told.Sequence
	state.written = told.Written
	state.decidedAt = timeOfAge(told.DecidedMS, now)
	state.decision = rollout.Decision{
		Phase: state.phase, Share: told.Share, Moving: told.Moving, CompleteIn: time.Duration(told.CompleteInMS) * time.Millisecond,
	}
}

// settle puts a final phase into force.
func (r *rollouts) settle(state *rolloutState, phase rollout.Phase, written bool, reason string) {
	if state.phase == phase {
		state.written = state.written || written
		return
	}
	if state.phase == rollout.Complete {
		return
	}
	state.phase, state.written = phase, written
	state.decision = rollout.Decision{Phase: phase}
	r.edge.logger.Info().Str("service", state.order.Service).Str("to", state.order.To).Str("phase", string(phase)).
		Int64("order", state.order.Offset).Str("reason", reason).Msg("rollout settled")
	r.control.publishNow = true
	r.edge.peers.wake()
}

// inForce reports whether counters of an order are still needed.
func (r *rollouts) inForce(key string) bool {
	for _, state := range r.byService {
		if state.key() == key {
			return !state.phase.Final()
		}
	}
	return false
}

// gather merges this node's counters into the evidence and drops those of past orders.
func (r *rollouts) gather() {
	r.edge.handler.RetainRollouts(r.inForce)
	r.evidence.Merge(r.edge.incarnation, r.edge.handler.RolloutReport())
	r.evidence.Retain(r.inForce)
}

// outgoingCounts returns the counters for a message: those of all nodes for the holder of the duties
// and the next hub in line, otherwise those of this node and the nodes that report to it.
func (r *rollouts) outgoingCounts(to *peerState, toReporter bool, now time.Time) map[string]rollout.Report {
	if !r.anyOpen() {
		return nil
	}
	r.gather()
	if toReporter && ((to.lastMessage != nil && to.lastMessage.UsageWanted) || to == r.control.nextHub(now)) {
		return r.evidence.All()
	}
	counts := map[string]rollout.Report{r.edge.incarnation: r.evidence.Of(r.edge.incarnation)}
	for _, peer := range r.control.peers {
		if !toReporter && r.control.represents(peer, to, false) && peer.lastMessage != nil && peer.recentlyReceived(now) {
			for incarnation := range peer.lastMessage.RolloutCounts {
				counts[incarnation] = r.evidence.Of(incarnation)
			}
		}
	}
	return counts
}

func (r *rollouts) anyOpen() bool {
	for _, state := range r.byService {
		if !state.phase.Final() {
			return true
		}
	}
	return false
}

// applyCounts merges the counters that a peer reports.
func (r *rollouts) applyCounts(reports map[string]rollout.Report) {
	for incarnation, report := range reports {
		if incarnation != r.edge.incarnation {
			r.evidence.Merge(incarnation, report)
		}
	}
	r.evidence.Retain(r.inForce)
}

// generation returns the side of an engine in a rollout of its service.
func (r *rollouts) generation(member *fleet.Upstream) routing.Generation {
	if !r.enabled() {
		return routing.AnyGeneration
	}
	state := r.byService[member.Service]
	switch {
	case state == nil && r.unconfirmedVersion(member.Service, member.Version):
		return routing.NewGeneration
	case state == nil && r.holdsBack(member.Service):
		return routing.OldGeneration
	case state == nil:
		return routing.AnyGeneration
	case state.phase == rollout.Complete && member.Version != state.order.To, state.isOld(member.Version):
		return routing.OldGeneration
	}
	return routing.NewGeneration
}

// observeVersions notes which versions exist and are in service, before a view is built.
func (r *rollouts) observeVersions(members []fleet.Upstream, now time.Time) {
	if !r.enabled() {
		return
	}
	r.replaced = map[string]bool{}
	for i := range members {
		service, version := members[i].Service, members[i].Version
		if state := r.byService[service]; state != nil && state.phase == rollout.Complete && version == state.order.To {
			r.replaced[service] = true
		}
		seen := r.versionsSeenAt[service]
		if seen == nil {
			seen = map[string]time.Time{}
			r.versionsSeenAt[service] = seen
		}
		if _, known := seen[version]; !known {
			seen[version] = now
		}
	}
}

// stopped reports whether an engine stopped at the completion of a rollout, though its entry is still
// in the registry.
func (r *rollouts) stopped(member *fleet.Upstream) bool {
	return r.replaced[member.Service] && member.Version != r.byService[member.Service].order.To
}

// unconfirmedVersion reports whether a version appeared beside others and the operator's records are
// not confirmed since, so that there may be an order that this node has not read.
func (r *rollouts) unconfirmedVersion(service, version string) bool {
	at := r.versionsSeenAt[service][version]
	if r.control.configConfirmedAt.After(at) {
		return false
	}
	for _, other := range r.versionsSeenAt[service] {
		if other.Before(at) {
			return true
		}
	}
	return false
}

// holdsBack reports whether a service has a version that is not confirmed.
func (r *rollouts) holdsBack(service string) bool {
	for version := range r.versionsSeenAt[service] {
		if r.unconfirmedVersion(service, version) {
			return true
		}
	}
	return false
}

// view returns what the serving path needs, with times of its clock.
func (r *rollouts) view(now time.Time) map[string]*serving.Rollout {
	if !r.enabled() {
		return nil
	}
	moves := map[string]*serving.Rollout{}
	for service := range r.versionsSeenAt {
		if r.byService[service] == nil && r.holdsBack(service) {
			moves[service] = &serving.Rollout{Settled: routing.OldGeneration}
		}
	}
	bounds := r.bounds()
	clock := func(at time.Time) time.Time { return time.Now().Add(at.Sub(now)) }
	for service, state := range r.byService {
		move := &serving.Rollout{
			Order: state.key(), Share: state.decision.Share, ExpiresAt: clock(state.decidedAt.Add(shareLife)), Moving: state.decision.Moving,
			CompleteAt: clock(state.decidedAt.Add(state.decision.CompleteIn)), EndsAt: clock(state.orderedAt.Add(state.order.Duration)),
			CountedFrom: clock(state.learnedAt), Margin: rollout.CompleteMargin(state.order.Duration), Bounds: bounds, Nodes: r.control.peakNodes,
		}
		switch state.phase {
		case rollout.Complete:
			move.Settled = routing.NewGeneration
		case rollout.Reverted:
			move.Settled = routing.OldGeneration
		}
		moves[service] = move
		r.recordMetrics(state, now)
	}
	return moves
}

func (r *rollouts) bounds() rollout.Bounds {
	bounds := r.edge.bounds.Load()
	return rollout.Bounds{CanaryShare: bounds.CanaryShare, CanarySlack: bounds.CanarySlack}
}

// outOfService reports whether an engine belongs to a version that is not in service yet, or no longer;
// the numbers of engines are planned without it. Entries of engines that stopped at the completion
// stay for some seconds.
func (r *rollouts) outOfService(member *fleet.Upstream) bool {
	state := r.byService[member.Service]
	switch {
	case state == nil:
		return false
	case state.phase == rollout.Complete:
		return member.Version != state.order.To
	}
	return !state.isOld(member.Version)
}
