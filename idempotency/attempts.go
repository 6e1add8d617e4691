package idempotency

// phase of an attempt of this node.
type phase int

const (
	pending phase = iota
	sent
	abandoned
)

// Attempts are this node's own claims that are not settled. They make sure that a
// claim is used for one send at most, and that an abandoned one never is.
type Attempts struct {
	phases map[string]phase
}

// NewAttempts returns an empty set.
func NewAttempts() *Attempts { return &Attempts{phases: map[string]phase{}} }

// Begin registers an attempt before its claim is appended.
func (a *Attempts) Begin(attempt string) { a.phases[attempt] = pending }

// TrySend says whether an attempt that has won may be sent now. It says so once.
func (a *Attempts) TrySend(attempt string) bool {
	known, ok := a.phases[attempt]
	if !ok || known != pending {
		return false
	}
	a.phases[attempt] = sent
	return true
}

// Abandon gives an attempt up that was not sent. If its claim wins after all, it must
// be released.
func (a *Attempts) Abandon(attempt string) {
	if known, ok := a.phases[attempt]; ok && known == pending {
		a.phases[attempt] = abandoned
	}
}

// ObserveClaim is called when a claim of this node was read, and says whether it must be
// released: it has won, and nobody will send it.
func (a *Attempts) ObserveClaim(attempt string, won bool) bool {
	if a.phases[attempt] != abandoned {
		return false
	}
	delete(a.phases, attempt)
	return won
}

// Forget ends the bookkeeping of a settled attempt.
func (a *Attempts) Forget(attempt string) { delete(a.phases, attempt) }

// Len returns the number of attempts that are not settled.
func (a *Attempts) Len() int { return len(a.phases) }
