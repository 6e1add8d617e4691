package modelcheck_test

import (
	"slices"
	"strconv"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/idempotency"
)

const (
	nodes   = 2
	callers = 2
)

// bounds bound an exploration.
type bounds struct {
	// calls of each caller: the first and its resends.
	calls int
	// total calls of all callers.
	total int
	// crashes of nodes, each followed by a new incarnation.
	crashes int
}

// guards are the safeguards of the protocol that a mutation can disable.
type guards struct {
	// readBack: an attempt is sent only after its own claim was read.
	readBack bool
	// abandon: a refused attempt is never sent.
	abandon bool
	// once: a claim is used for one send.
	once bool
	// releaseUnsent: only an unsent claim is released.
	releaseUnsent bool
	// ownRelease: a release counts for its own attempt only.
	ownRelease bool
	// incarnation: a restarted node has none of the previous incarnation's attempts.
	incarnation bool
}

func allGuards() guards { return guards{true, true, true, true, true, true} }

// phase is the phase of one call at a node.
type phase byte

const (
	waiting phase = iota
	refusedNotRun
	sending
	answered
	ended
)

// callAttempt is one call of a caller at a node.
type callAttempt struct {
	node                    int
	phase                   phase
	ranInEarlierIncarnation bool // It ran in an earlier incarnation of its node.
	abandoned               bool
	observed                bool // The abandoned claim was read, and released if it had won.
	refusalReceived         bool // The caller received the response that the call did not run.
	sends                   int
}

// logRecord is a record that is stored in the log or in flight to it.
type logRecord struct {
	kind    byte // 'c' claim, 'r' release, 'o' outcome.
	attempt int
}

// systemState is the state of a small system. The nodes' tables are derived from the records
// that they have read, so they are not part of it.
type systemState struct {
	log      []logRecord
	inFlight []logRecord
	attempts []callAttempt
	read     [nodes]int
	calls    [callers]int
	crash    int
}

func (s systemState) clone() systemState {
	s.log, s.inFlight, s.attempts = slices.Clone(s.log), slices.Clone(s.inFlight), slices.Clone(s.attempts)
	return s
}

// key encodes a state as a map key.
func (s *systemState) key() string {
	var b []byte
	for _, r := range s.log {
		b = append(b, r.kind, byte(r.attempt))
	}
	b = append(b, '|')
	for _, r := range s.inFlight {
		b = append(b, r.kind, byte(r.attempt))
	}
	b = append(b, '|')
	for _, a := range s.attempts {
		b = append(b, byte(a.node), byte(a.phase), byte(a.sends), bit(a.ranInEarlierIncarnation)|bit(a.abandoned)<<1|bit(a.observed)<<2|bit(a.refusalReceived)<<3)
	}
	return string(append(b, byte(s.read[0]), byte(s.read[1]), byte(s.calls[0]), byte(s.calls[1]), byte(s.crash)))
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func claimOf(attempt int) api.Claim {
	return api.Claim{Workspace: "w", Key: "k", Fingerprint: "f", Attempt: strconv.Itoa(attempt)}
}

// table folds the records that a node has read, with the production code.
func (s *systemState) table(node int, g guards) *idempotency.Table {
	t := idempotency.NewTable(idempotency.Bounds{Entries: 100, OutcomeBytes: 100})
	t.ApplyOldest(0, time.Unix(0, 0))
	winner := ""
	for offset, r := range s.log[:s.read[node]] {
		claim := claimOf(r.attempt)
		var record api.Record
		switch r.kind {
		case 'c':
			record.Claim = &claim
		case 'o':
			record.Outcome = &api.Outcome{Workspace: "w", Key: "k", Attempt: claim.Attempt, Status: 200, Kept: true}
		case 'r':
			attemptID := claim.Attempt
			if !g.ownRelease {
				attemptID = winner
			}
			record.Release = &api.Release{Workspace: "w", Key: "k", Attempt: attemptID}
		}
		t.Apply(int64(offset), 0, record, time.Unix(0, 0))
		if r.kind == 'c' && t.Decide(claim, time.Unix(0, 0), time.Hour).Verdict == idempotency.Send {
			winner = claim.Attempt
		}
	}
	return t
}

// tracker rebuilds the production state of one call.
func (c callAttempt) tracker(id string) *idempotency.Attempts {
	a := idempotency.NewAttempts()
	a.Begin(id)
	if c.sends > 0 {
		a.TrySend(id)
	}
	if c.abandoned {
		a.Abandon(id)
	}
	if c.observed {
		a.Forget(id)
	}
	return a
}

func (s *systemState) hasRead(attempt int) bool {
	return slices.Contains(s.log[:s.read[s.attempts[attempt].node]], logRecord{'c', attempt})
}

// next returns all states that are reachable in one step.
func (s *systemState) next(g guards, b bounds) []systemState {
	var states []systemState
	add := func(change func(*systemState)) {
		c := s.clone()
		change(&c)
		states = append(states, c)
	}
	for caller := range callers {
		for node := range nodes {
			if s.calls[caller] < b.calls && len(s.attempts) < b.total {
				add(func(c *systemState) { c.call(caller, node, g) })
			}
		}
	}
	for i := range s.inFlight {
		add(func(c *systemState) { c.storeAppend(i) })
		add(func(c *systemState) { c.inFlight = slices.Delete(c.inFlight, i, i+1) })
		if !slices.Contains(s.log, s.inFlight[i]) && s.inFlight[i].kind == 'r' {
			add(func(c *systemState) { c.log = append(c.log, c.inFlight[i]) }) // Stored, response lost, appended again.
		}
	}
	for node := range nodes {
		if s.read[node] < len(s.log) {
			add(func(c *systemState) { c.readNext(node, g) })
		}
		if s.crash < b.crashes {
			add(func(c *systemState) { c.restart(node, g) })
		}
	}
	for attempt := range s.attempts {
		if s.attempts[attempt].phase == waiting {
			add(func(c *systemState) { c.decide(attempt, g) })
			add(func(c *systemState) { c.refuse(attempt, g) })
		}
		if s.attempts[attempt].phase == sending {
			add(func(c *systemState) { c.answer(attempt) })
			add(func(c *systemState) { c.send(attempt, g) })
			if !g.releaseUnsent {
				add(func(c *systemState) {
					c.inFlight = append(c.inFlight, logRecord{'r', attempt})
					c.attempts[attempt].phase = answered
				})
			}
		}
	}
	return states
}

// call executes a caller's first call or a resend.
func (s *systemState) call(caller, node int, g guards) {
	s.calls[caller]++
	attempt := len(s.attempts)
	s.attempts = append(s.attempts, callAttempt{node: node})
	if s.table(node, g).Decide(claimOf(attempt), time.Unix(0, 0), time.Hour).Verdict != idempotency.Claim {
		s.attempts[attempt].phase = ended
		return
	}
	s.inFlight = append(s.inFlight, logRecord{'c', attempt})
}

// storeAppend stores an append; its response may be lost, since nothing waits for it.
func (s *systemState) storeAppend(i int) {
	s.log = append(s.log, s.inFlight[i])
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
}

// readNext reads one record, and releases an abandoned claim that won.
func (s *systemState) readNext(node int, g guards) {
	r := s.log[s.read[node]]
	s.read[node]++
	if r.kind == 'c' && s.attempts[r.attempt].node == node {
		s.observe(r.attempt, g)
	}
}

func (s *systemState) observe(attempt int, g guards) {
	known := &s.attempts[attempt]
	if known.phase == ended || known.observed {
		return
	}
	claim := claimOf(attempt)
	won := s.table(known.node, g).Decide(claim, time.Unix(0, 0), time.Hour).Verdict == idempotency.Send
	if known.tracker(claim.Attempt).ObserveClaim(claim.Attempt, won) {
		s.inFlight = append(s.inFlight, logRecord{'r', attempt})
	}
	known.observed = known.abandoned
}

// decide is the node's decision on its claim: send it, or abandon it.
func (s *systemState) decide(attempt int, g guards) {
	known := &s.attempts[attempt]
	if g.readBack && !s.hasRead(attempt) {
		return
	}
	verdict := s.table(known.node, g).Decide(claimOf(attempt), time.Unix(0, 0), time.Hour).Verdict
	if verdict == idempotency.Send || !g.readBack && verdict == idempotency.Claim {
		s.send(attempt, g)
		return
	}
	known.abandoned = true
	known.phase = ended
	known.observed = s.hasRead(attempt)
}

func (s *systemState) send(attempt int, g guards) {
	known := &s.attempts[attempt]
	id := claimOf(attempt).Attempt
	if g.once && !known.tracker(id).TrySend(id) {
		return
	}
	known.sends++
	known.phase = sending
}

// refuse is a time-out: the caller receives the response that the call did not run.
func (s *systemState) refuse(attempt int, g guards) {
	known := &s.attempts[attempt]
	known.refusalReceived = true
	if !g.abandon {
		return
	}
	known.phase = refusedNotRun
	known.abandoned = true
	if s.hasRead(attempt) {
		s.observe(attempt, g)
	}
}

func (s *systemState) answer(attempt int) {
	s.attempts[attempt].phase = answered
	s.inFlight = append(s.inFlight, logRecord{'o', attempt})
}

// restart is a crash at any instruction, followed by a new incarnation.
func (s *systemState) restart(node int, g guards) {
	s.crash++
	s.read[node] = 0
	for attempt := range s.attempts {
		if s.attempts[attempt].node == node && s.attempts[attempt].phase != refusedNotRun && g.incarnation {
			s.attempts[attempt].phase = ended
		}
		if s.attempts[attempt].node == node && !g.incarnation && s.attempts[attempt].phase == sending {
			s.attempts[attempt].phase = waiting
			s.attempts[attempt].sends = 0
			s.attempts[attempt].ranInEarlierIncarnation = true
		}
	}
}

// fault returns the invariant that a state violates; empty when there is none.
func (s *systemState) fault() string {
	sends := 0
	for _, a := range s.attempts {
		sends += a.sends
		if a.ranInEarlierIncarnation {
			sends++
		}
		if a.refusalReceived && a.sends > 0 {
			return "a call that was refused as not run was sent"
		}
	}
	if sends > 1 {
		return "a key was sent more than once"
	}
	return ""
}
