package rollout

import (
	"math"
	"time"
)

// Load: an order that has to be complete within seconds, while a version that turns bad at any
// moment of it may get only a share of the requests of the whole order.

const (
	// budgetShare and slackShare are the parts of the permitted exposure that are used; the rest
	// covers requests that nodes have not told of yet.
	budgetShare = 0.88
	slackShare  = 0.7
	// canaryPart is the part of the budget for the trial of a proven version, proofPart the same until it
	// is proven, but for no more than proofRequests.
	canaryPart    = 0.2
	proofPart     = 0.6
	proofRequests = 300
	// proofShare is the part of the permitted share at which an unproven version gets requests.
	proofShare = 0.6
	// moveTime is how long before the end the longest requests move to the new version.
	moveTime = 8 * time.Second
	// completePart is the part of an order's time that is left when it is completed, within bounds; it covers
	// the way to the operator, a stand-in and, in a long order, the next holder of the duties.
	completePart      = 0.04
	minCompleteMargin = 500 * time.Millisecond
	maxCompleteMargin = 4 * time.Second
	// minEngineShare is the least number of new engines, as a share of the old ones, with which an
	// order is completed.
	minEngineShare = 0.5
	// lateTime is how long after its end an order may still be completed.
	lateTime = 10 * time.Second
	// minSpreadTime is the shortest time over which the trial's requests are spread.
	minSpreadTime = time.Second
	// minElapsed is the shortest time from which a node takes its rate of requests.
	minElapsed = time.Second
)

// Phase of a rollout.
type Phase string

// Phases, as the operator reads them.
const (
	Serving  Phase = "serving"
	Complete Phase = "complete"
	Reverted Phase = "reverted"
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p == Complete || p == Reverted }

// Bounds are the deployment's bounds on the exposure to a bad version.
type Bounds struct {
	// CanaryShare of all requests of an order, and CanarySlack more, may reach a bad version.
	CanaryShare, CanarySlack float64
}

// State of a rollout in the view of the node that decides.
type State struct {
	// OrderedAt is when the order was first seen, Duration the time that it allows.
	OrderedAt time.Time
	Duration  time.Duration
	// Withdrawn is set if the operator has taken the order back.
	Withdrawn bool
	// Asked is the number of requests of the service since the order, Sent of those that the new
	// version got, and Rate the requests a second.
	Asked, Sent, Rate float64
	// OldEngines and NewEngines are the numbers of usable engines.
	OldEngines, NewEngines int
	// Verdict on the new version.
	Verdict Verdict
}

// Decision for all nodes.
type Decision struct {
	Phase Phase
	// Share of the requests that the new version gets on trial.
	Share float64
	// Moving is set if requests that would still run at the moment of completion, CompleteIn from
	// now, go to the new version.
	Moving     bool
	CompleteIn time.Duration
	// Reason for a log line.
	Reason string
}

// CompleteMargin returns how long before the end an order of a duration is completed.
func CompleteMargin(duration time.Duration) time.Duration {
	return min(maxCompleteMargin, max(minCompleteMargin, time.Duration(completePart*float64(duration))))
}

// Decide returns the decision as of now.
func Decide(bounds Bounds, state State, now time.Time) Decision {
	left := state.OrderedAt.Add(state.Duration).Sub(now)
	margin, proven := CompleteMargin(state.Duration), state.Verdict == Proven || state.Verdict == Likely
	sound := state.NewEngines > 0 && float64(state.NewEngines) >= minEngineShare*float64(state.OldEngines)
	switch {
	case state.Withdrawn:
		return Decision{Phase: Reverted, Reason: "order withdrawn"}
	case state.Verdict == Bad:
		return Decision{Phase: Reverted, Reason: "version is bad"}
	case left < -lateTime:
		return Decision{Phase: Reverted, Reason: "time is over"}
	case left < 0 && (!sound || !proven):
		return Decision{Phase: Reverted, Reason: "not proven in time"}
	case left <= margin && sound && proven:
		return Decision{Phase: Complete, Moving: true, Reason: "proven"}
	case state.NewEngines == 0:
		return Decision{Phase: Serving, Reason: "no engine of the new version"}
	}
	decision := Decision{Phase: Serving, Share: trialShare(bounds, state, left), Reason: "on trial"}
	untilComplete := left - margin
	if untilComplete <= moveTime && sound && proven {
		decision.Moving, decision.CompleteIn, decision.Reason = true, max(0, untilComplete), "moving"
	}
	return decision
}

// budget returns the number of requests that the new version may get until the end of the order.
func budget(bounds Bounds, asked, rate float64, left time.Duration) float64 {
	expected := asked + rate*max(0, left.Seconds())
	return budgetShare*bounds.CanaryShare*expected + slackShare*bounds.CanarySlack
}

// HasRoom reports whether a node may send one more request to the new version, after asked requests
// in elapsed, of which the new version got sent. Each node keeps the bound for its own requests, so
// that the fleet does, however late its nodes hear of each other. The requests that arrive after the
// completion are set aside.
func HasRoom(bounds Bounds, nodes int, asked, sent float64, elapsed, left, margin time.Duration) bool {
	rate := asked / max(minElapsed, elapsed).Seconds()
	after := rate * min(margin, max(0, left)).Seconds()
	bounds.CanarySlack /= float64(max(1, nodes))
	return sent+after+1 <= budget(bounds, asked, rate, left)
}

// trialShare spends the trial's part of the budget: first what the test needs, quickly, then the rest
// evenly.
func trialShare(bounds Bounds, state State, left time.Duration) float64 {
	whole := budget(bounds, state.Asked, state.Rate, left)
	trial := canaryPart * whole
	if state.Verdict != Proven {
		trial = max(trial, min(proofRequests, proofPart*whole))
	}
	switch {
	case state.Rate <= 0 || state.Sent >= trial:
		return 0
	case state.Verdict != Proven:
		return proofShare * bounds.CanaryShare
	}
	spread := max(minSpreadTime, left-CompleteMargin(state.Duration))
	return math.Min(bounds.CanaryShare, (trial-state.Sent)/(state.Rate*spread.Seconds()))
}
