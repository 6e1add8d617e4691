package idempotency

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// Verdict is the decision on a call.
type Verdict int

// Verdicts on a call.
const (
	// Claim means that the key is free: append a claim and read it back.
	Claim Verdict = iota
	// Send means that this attempt won and may be sent, once.
	Send
	// Wait means that another attempt won and its outcome is not known yet.
	Wait
	// Replay means that the first answer is known.
	Replay
	// Unknown means that the call may have run and its answer is unavailable.
	Unknown
	// KeyReused means that the key was used for another call.
	KeyReused
	// PossiblyUsed means that the key may have been used before the oldest record that
	// this node has.
	PossiblyUsed
)

// Decision is a verdict with its details.
type Decision struct {
	// Verdict on the call.
	Verdict Verdict
	// Outcome of the first call, for Replay.
	Outcome *api.Outcome
	// Attempt is the winner while its outcome is not recorded.
	Attempt string
	// Status of the first answer, for Unknown; 0 when none is recorded.
	Status int
}

// Decide returns the decision on a call. maxRunTime bounds the time that the winner may need
// for its answer.
func (t *Table) Decide(claim api.Claim, now time.Time, maxRunTime time.Duration) Decision {
	known, ok := t.entries[IDOf(claim.Workspace, claim.Key)]
	switch {
	case !ok || known.state == released:
		return t.decideFree(claim, known)
	case known.attempt == claim.Attempt && !known.certain:
		return Decision{Verdict: PossiblyUsed}
	case known.attempt == claim.Attempt && known.state == claimed:
		return Decision{Verdict: Send}
	case known.fingerprint != claim.Fingerprint:
		return Decision{Verdict: KeyReused}
	case known.state == finished:
		return DecideOutcome(known.outcome)
	case now.Sub(known.readAt) > maxRunTime:
		return Decision{Verdict: Unknown, Attempt: known.attempt}
	default:
		return Decision{Verdict: Wait, Attempt: known.attempt}
	}
}

// decideFree decides on a key without a winner; known is nil or released.
func (t *Table) decideFree(claim api.Claim, known *entry) Decision {
	if t.neverClaimed(claim.Key) || known != nil && known.certain {
		return Decision{Verdict: Claim}
	}
	return Decision{Verdict: PossiblyUsed}
}

// DecideOutcome returns the decision on the repeat of a finished call.
func DecideOutcome(outcome *api.Outcome) Decision {
	if outcome.Kept {
		return Decision{Verdict: Replay, Outcome: outcome}
	}
	return Decision{Verdict: Unknown, Status: outcome.Status}
}
