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

func (w systemState) clone() systemState {
	w.log, w.inFlight, w.attempts = slices.Clone(w.log), slices.Clone(w.inFlight), slices.Clone(w.attempts)
	return w
}

// key encodes a state as a map key.
func (w *systemState) key() string {
	var b []byte
	for _, r := range w.log {
		b = append(b, r.kind, byte(r.attempt))
	}
	b = append(b, '|')
	for _, r := range w.inFlight {
		b = append(b, r.kind, byte(r.attempt))
	}
	b = append(b, '|')
	for _, p := range w.attempts {
		b = append(b, byte(p.node), byte(p.phase), byte(p.sends), bit(p.ranInEarlierIncarnation)|bit(p.abandoned)<<1|bit(p.observed)<<2|bit(p.refusalReceived)<<3)
	}
	return string(append(b, byte(w.read[0]), byte(w.read[1]), byte(w.calls[0]), byte(w.calls[1]), byte(w.crash)))
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func claimOf(p int) api.Claim {
	return api.Claim{Workspace: "w", Key: "k", Fingerprint: "f", Attempt: strconv.Itoa(p)}
}

// table folds the records that a node has read, with the production code.
func (w *systemState) table(node int, g guards) *idempotency.Table {
	t := idempotency.NewTable(idempotency.Bounds{Entries: 100, OutcomeBytes: 100})
	t.ApplyOldest(0, time.Unix(0, 0))
	winner := ""
	for offset, r := range w.log[:w.read[node]] {
		claim := claimOf(r.attempt)
		var record api.Record
		switch r.kind {
		case 'c':
			record.Claim = &claim
		case 'o':
			record.Outcome = &api.Outcome{Workspace: "w", Key: "k", Attempt: claim.Attempt, Status: 200, Kept: true}
		case 'r':
			attempt := claim.Attempt
			if !g.ownRelease {
				attempt = winner
			}
			record.Release = &api.Release{Workspace: "w", Key: "k", Attempt: attempt}
		}
		t.Apply(int64(offset), 0, record, time.Unix(0, 0))
		if r.kind == 'c' && t.Decide(claim, time.Unix(0, 0), time.Hour).Verdict == idempotency.Send {
			winner = claim.Attempt
		}
	}
	return t
}

// tracker rebuilds the production state of one call.
func (p callAttempt) tracker(id string) *idempotency.Attempts {
	a := idempotency.NewAttempts()
	a.Begin(id)
	if p.sends > 0 {
		a.TrySend(id)
	}
	if p.abandoned {
		a.Abandon(id)
	}
	if p.observed {
		a.Forget(id)
	}
	return a
}

func (w *systemState) hasRead(p int) bool {
	return slices.Contains(w.log[:w.read[w.attempts[p].node]], logRecord{'c', p})
}

// next returns all states that are reachable in one step.
func (w *systemState) next(g guards, b bounds) []systemState {
	var states []systemState
	add := func(change func(*systemState)) {
		c := w.clone()
		change(&c)
		states = append(states, c)
	}
	for caller := range callers {
		for node := range nodes {
			if w.calls[caller] < b.calls && len(w.attempts) < b.total {
				add(func(c *systemState) { c.call(caller, node, g) })
			}
		}
	}
	for i := range w.inFlight {
		add(func(c *systemState) { c.storeAppend(i) })
		add(func(c *systemState) { c.inFlight = slices.Delete(c.inFlight, i, i+1) })
		if !slices.Contains(w.log, w.inFlight[i]) && w.inFlight[i].kind == 'r' {
			add(func(c *systemState) { c.log = append(c.log, c.inFlight[i]) }) // Stored, response lost, appended again.
		}
	}
	for node := range nodes {
		if w.read[node] < len(w.log) {
			add(func(c *systemState) { c.readNext(node, g) })
		}
		if w.crash < b.crashes {
			add(func(c *systemState) { c.restart(node, g) })
		}
	}
	for p := range w.attempts {
		if w.attempts[p].phase == waiting {
			add(func(c *systemState) { c.decide(p, g) })
			add(func(c *systemState) { c.refuse(p, g) })
		}
		if w.attempts[p].phase == sending {
			add(func(c *systemState) { c.answer(p) })
			add(func(c *systemState) { c.send(p, g) })
			if !g.releaseUnsent {
				add(func(c *systemState) {
					c.inFlight = append(c.inFlight, logRecord{'r', p})
					c.attempts[p].phase = answered
				})
			}
		}
	}
	return states
}

// call executes a caller's first call or a resend.
func (w *systemState) call(caller, node int, g guards) {
	w.calls[caller]++
	p := len(w.attempts)
	w.attempts = append(w.attempts, callAttempt{node: node})
	if w.table(node, g).Decide(claimOf(p), time.Unix(0, 0), time.Hour).Verdict != idempotency.Claim {
		w.attempts[p].phase = ended
		return
	}
	w.inFlight = append(w.inFlight, logRecord{'c', p})
}

// storeAppend stores an append; its response may be lost, since nothing waits for it.
func (w *systemState) storeAppend(i int) {
	w.log = append(w.log, w.inFlight[i])
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
}

// readNext reads one record, and releases an abandoned claim that won.
func (w *systemState) readNext(node int, g guards) {
	r := w.log[w.read[node]]
	w.read[node]++
	if r.kind == 'c' && w.attempts[r.attempt].node == node {
		w.observe(r.attempt, g)
	}
}

func (w *systemState) observe(p int, g guards) {
	known := &w.attempts[p]
	if known.phase == ended || known.observed {
		return
	}
	claim := claimOf(p)
	won := w.table(known.node, g).Decide(claim, time.Unix(0, 0), time.Hour).Verdict == idempotency.Send
	if known.tracker(claim.Attempt).ObserveClaim(claim.Attempt, won) {
		w.inFlight = append(w.inFlight, logRecord{'r', p})
	}
	known.observed = known.abandoned
}

// decide is the node's decision on its claim: send it, or abandon it.
func (w *systemState) decide(p int, g guards) {
	known := &w.attempts[p]
	if g.readBack && !w.hasRead(p) {
		return
	}
	verdict := w.table(known.node, g).Decide(claimOf(p), time.Unix(0, 0), time.Hour).Verdict
	if verdict == idempotency.Send || !g.readBack && verdict == idempotency.Claim {
		w.send(p, g)
		return
	}
	known.abandoned = true
	known.phase = ended
	known.observed = w.hasRead(p)
}

func (w *systemState) send(p int, g guards) {
	known := &w.attempts[p]
	id := claimOf(p).Attempt
	if g.once && !known.tracker(id).TrySend(id) {
		return
	}
	known.sends++
	known.phase = sending
}

// refuse is a time-out: the caller receives the response that the call did not run.
func (w *systemState) refuse(p int, g guards) {
	known := &w.attempts[p]
	known.refusalReceived = true
	if !g.abandon {
		return
	}
	known.phase = refusedNotRun
	known.abandoned = true
	if w.hasRead(p) {
		w.observe(p, g)
	}
}

func (w *systemState) answer(p int) {
	w.attempts[p].phase = answered
	w.inFlight = append(w.inFlight, logRecord{'o', p})
}

// restart is a crash at any instruction, followed by a new incarnation.
func (w *systemState) restart(node int, g guards) {
	w.crash++
	w.read[node] = 0
	for p := range w.attempts {
		if w.attempts[p].node == node && w.attempts[p].phase != refusedNotRun && g.incarnation {
			w.attempts[p].phase = ended
		}
		if w.attempts[p].node == node && !g.incarnation && w.attempts[p].phase == sending {
			w.attempts[p].phase = waiting
			w.attempts[p].sends = 0
			w.attempts[p].ranInEarlierIncarnation = true
		}
	}
}

// fault returns the invariant that a state violates; empty when there is none.
func (w *systemState) fault() string {
	sends := 0
	for _, p := range w.attempts {
		sends += p.sends
		if p.ranInEarlierIncarnation {
			sends++
		}
		if p.refusalReceived && p.sends > 0 {
			return "a call that was refused as not run was sent"
		}
	}
	if sends > 1 {
		return "a key was sent more than once"
	}
	return ""
}
