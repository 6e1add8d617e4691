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

// bounds of an exploration.
type bounds struct {
	// calls of each caller: the first and its resends.
	calls int
	// total calls of all callers.
	total int
	// crashes of nodes, each followed by another incarnation.
	crashes int
}

// guards are the parts of the protocol that a mutation takes out.
type guards struct {
	// readBack: send only after the own claim was read.
	readBack bool
	// abandon: an attempt that was refused is never sent.
	abandon bool
	// once: a claim is used for one send.
	once bool
	// releaseUnsent: only a claim that was not sent is released.
	releaseUnsent bool
	// ownRelease: a release counts for its own attempt only.
	ownRelease bool
	// incarnation: a restarted node has none of its predecessor's attempts.
	incarnation bool
}

func allGuards() guards { return guards{true, true, true, true, true, true} }

// phase of one call at a node.
type phase byte

const (
	waiting phase = iota
	refusedNotRun
	sending
	answered
	gone
)

// proc is one call of a caller at a node.
type proc struct {
	node      int
	phase     phase
	ranBefore bool // It ran in an earlier life of its node.
	abandoned bool
	noted     bool // The abandoned claim was read, and released if it had won.
	told      bool // The caller heard that the call was not run.
	sends     int
}

// rec is a record in the log or on its way there.
type rec struct {
	kind byte // 'c' claim, 'r' release, 'o' outcome.
	proc int
}

// world is the state of a small system. The tables of the nodes are folds of what
// they have read, so they are not part of it.
type world struct {
	log    []rec
	flying []rec
	procs  []proc
	read   [nodes]int
	calls  [callers]int
	crash  int
}

func (w world) clone() world {
	w.log, w.flying, w.procs = slices.Clone(w.log), slices.Clone(w.flying), slices.Clone(w.procs)
	return w
}

// key encodes a state in few bytes.
func (w *world) key() string {
	var b []byte
	for _, r := range w.log {
		b = append(b, r.kind, byte(r.proc))
	}
	b = append(b, '|')
	for _, r := range w.flying {
		b = append(b, r.kind, byte(r.proc))
	}
	b = append(b, '|')
	for _, p := range w.procs {
		b = append(b, byte(p.node), byte(p.phase), byte(p.sends), flag(p.ranBefore)|flag(p.abandoned)<<1|flag(p.noted)<<2|flag(p.told)<<3)
	}
	return string(append(b, byte(w.read[0]), byte(w.read[1]), byte(w.calls[0]), byte(w.calls[1]), byte(w.crash)))
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func claimOf(p int) api.Claim {
	return api.Claim{Workspace: "w", Key: "k", Fingerprint: "f", Attempt: strconv.Itoa(p)}
}

// table folds what a node has read, with the real code.
func (w *world) table(node int, g guards) *idempotency.Table {
	t := idempotency.NewTable(idempotency.Bounds{Entries: 100, OutcomeBytes: 100})
	t.ApplyOldest(0, time.Unix(0, 0))
	winner := ""
	for offset, r := range w.log[:w.read[node]] {
		claim := claimOf(r.proc)
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

// attempts rebuilds the real bookkeeping of one call.
func (p proc) attempts(id string) *idempotency.Attempts {
	a := idempotency.NewAttempts()
	a.Begin(id)
	if p.sends > 0 {
		a.TrySend(id)
	}
	if p.abandoned {
		a.Abandon(id)
	}
	if p.noted {
		a.Forget(id)
	}
	return a
}

func (w *world) hasRead(p int) bool {
	return slices.Contains(w.log[:w.read[w.procs[p].node]], rec{'c', p})
}

// next returns all states that one step leads to.
func (w *world) next(g guards, b bounds) []world {
	var states []world
	add := func(change func(*world)) {
		c := w.clone()
		change(&c)
		states = append(states, c)
	}
	for caller := range callers {
		for node := range nodes {
			if w.calls[caller] < b.calls && len(w.procs) < b.total {
				add(func(c *world) { c.call(caller, node, g) })
			}
		}
	}
	for i := range w.flying {
		add(func(c *world) { c.land(i) })
		add(func(c *world) { c.flying = slices.Delete(c.flying, i, i+1) })
		if !slices.Contains(w.log, w.flying[i]) && w.flying[i].kind == 'r' {
			add(func(c *world) { c.log = append(c.log, c.flying[i]) }) // Stored, answer lost, appended again.
		}
	}
	for node := range nodes {
		if w.read[node] < len(w.log) {
			add(func(c *world) { c.readNext(node, g) })
		}
		if w.crash < b.crashes {
			add(func(c *world) { c.restart(node, g) })
		}
	}
	for p := range w.procs {
		if w.procs[p].phase == waiting {
			add(func(c *world) { c.decide(p, g) })
			add(func(c *world) { c.refuse(p, g) })
		}
		if w.procs[p].phase == sending {
			add(func(c *world) { c.answer(p) })
			add(func(c *world) { c.send(p, g) })
			if !g.releaseUnsent {
				add(func(c *world) { c.flying = append(c.flying, rec{'r', p}); c.procs[p].phase = answered })
			}
		}
	}
	return states
}

// call is a caller's first send or its resend.
func (w *world) call(caller, node int, g guards) {
	w.calls[caller]++
	p := len(w.procs)
	w.procs = append(w.procs, proc{node: node})
	if w.table(node, g).Decide(claimOf(p), time.Unix(0, 0), time.Hour).Verdict != idempotency.Claim {
		w.procs[p].phase = gone
		return
	}
	w.flying = append(w.flying, rec{'c', p})
}

// land lets an append take effect; its answer may be lost, since nothing waits for it.
func (w *world) land(i int) {
	w.log = append(w.log, w.flying[i])
	w.flying = slices.Delete(w.flying, i, i+1)
}

// readNext reads one record, and releases an abandoned claim that has won.
func (w *world) readNext(node int, g guards) {
	r := w.log[w.read[node]]
	w.read[node]++
	if r.kind == 'c' && w.procs[r.proc].node == node {
		w.note(r.proc, g)
	}
}

func (w *world) note(p int, g guards) {
	known := &w.procs[p]
	if known.phase == gone || known.noted {
		return
	}
	claim := claimOf(p)
	won := w.table(known.node, g).Decide(claim, time.Unix(0, 0), time.Hour).Verdict == idempotency.Send
	if known.attempts(claim.Attempt).ObserveClaim(claim.Attempt, won) {
		w.flying = append(w.flying, rec{'r', p})
	}
	known.noted = known.abandoned
}

// decide is what a node does once it looks at its claim.
func (w *world) decide(p int, g guards) {
	known := &w.procs[p]
	if g.readBack && !w.hasRead(p) {
		return
	}
	verdict := w.table(known.node, g).Decide(claimOf(p), time.Unix(0, 0), time.Hour).Verdict
	if verdict == idempotency.Send || !g.readBack && verdict == idempotency.Claim {
		w.send(p, g)
		return
	}
	known.abandoned = true
	known.phase = gone
	known.noted = w.hasRead(p)
}

func (w *world) send(p int, g guards) {
	known := &w.procs[p]
	id := claimOf(p).Attempt
	if g.once && !known.attempts(id).TrySend(id) {
		return
	}
	known.sends++
	known.phase = sending
}

// refuse is a timeout: the caller hears that the call was not run.
func (w *world) refuse(p int, g guards) {
	known := &w.procs[p]
	known.told = true
	if !g.abandon {
		return
	}
	known.phase = refusedNotRun
	known.abandoned = true
	if w.hasRead(p) {
		w.note(p, g)
	}
}

func (w *world) answer(p int) {
	w.procs[p].phase = answered
	w.flying = append(w.flying, rec{'o', p})
}

// restart is a crash at any instruction, followed by another incarnation.
func (w *world) restart(node int, g guards) {
	w.crash++
	w.read[node] = 0
	for p := range w.procs {
		if w.procs[p].node == node && w.procs[p].phase != refusedNotRun && g.incarnation {
			w.procs[p].phase = gone
		}
		if w.procs[p].node == node && !g.incarnation && w.procs[p].phase == sending {
			w.procs[p].phase = waiting
			w.procs[p].sends = 0
			w.procs[p].ranBefore = true
		}
	}
}

// fault returns the invariant that a state breaks; empty for none.
func (w *world) fault() string {
	sends := 0
	for _, p := range w.procs {
		sends += p.sends
		if p.ranBefore {
			sends++
		}
		if p.told && p.sends > 0 {
			return "a call that was refused as not run was sent"
		}
	}
	if sends > 1 {
		return "a key was sent more than once"
	}
	return ""
}
