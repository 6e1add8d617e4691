package idempotency

// phase is the phase of an attempt of this node.
type phase int

const (
	pending phase = iota
	sent
	abandoned
)

// Attempts tracks this node's own unfinished claims. It ensures that a claim is used for
// at most one send, and an abandoned one for none.
type Attempts struct {
	phases map[string]phase
}

// NewAttempts returns an empty set.
func NewAttempts() *Attempts { return &Attempts{phases: map[string]phase{}} }

// Begin registers an attempt before its claim is appended.
func (a *Attempts) Begin(attempt string) { a.phases[attempt] = pending }

// TrySend reports whether an attempt whose claim won may be sent now. It returns true at
// most once for an attempt.
func (a *Attempts) TrySend(attempt string) bool {
	known, ok := a.phases[attempt]
	if !ok || known != pending {
		return false
	}
	a.phases[attempt] = sent
	return true
}

// Abandon marks an attempt that was not sent as abandoned. If its claim wins later, it
// must be released.
func (a *Attempts) Abandon(attempt string) {
	if known, ok := a.phases[attempt]; ok && known == pending {
		a.phases[attempt] = abandoned
	}
}

// ObserveClaim is called when a claim of this node was read, and reports whether it must
// be released: it won, and its attempt was abandoned.
func (a *Attempts) ObserveClaim(attempt string, won bool) bool {
	if a.phases[attempt] != abandoned {
		return false
	}
	delete(a.phases, attempt)
	return won
}

// Forget removes a finished attempt.
func (a *Attempts) Forget(attempt string) { delete(a.phases, attempt) }

// Len returns the number of unfinished attempts.
func (a *Attempts) Len() int { return len(a.phases) }
