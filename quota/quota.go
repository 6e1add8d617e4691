// Package quota enforces the quota of each workspace over all nodes. Every node has a token
// bucket per workspace and charges it with its own usage at once. The nodes form a tree: a node
// reports its usage to its parent, and the root's buckets count for all. Usage that was admitted
// before it was reported makes a bucket negative until refills pay for it, so that the excess is
// bounded by the usage between two exchanges. It has no side effects.
//
// Both directions carry absolute values, so that a message can be lost or repeated: a report
// holds the total usage of a session with one parent, and a grant the total at which the bucket
// will be empty. A new parent starts a new session, which counts only usage that no parent was
// told of. No usage is therefore charged twice, whatever the order of messages and parents.
package quota

import (
	"maps"
	"time"
)

const (
	// minSilence is the shortest time after which the share of a silent node is reserved
	// for it. It covers several exchanges of a small fleet.
	minSilence = time.Second
	// adoptionTimeout is how long a node that has just started waits for the levels of a peer
	// before it grants usage by its own.
	adoptionTimeout = time.Second
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter bounds the retry delay of a refused caller.
	maxRetryAfter = 5 * time.Second
)

// Limit is the limit of one workspace over all nodes.
type Limit struct {
	// Rate is in units per second; 0 means no limit.
	Rate float64
	// Burst is the number of units that may be used at once, RestartBurst the part of it that all
	// nodes together start with in a system that ran before.
	Burst, RestartBurst float64
}

// Decision is the outcome for a request.
type Decision struct {
	// Admitted is set when the request is within the quota.
	Admitted bool
	// RetryAfter is the delay after which it will be; 0 if admitted.
	RetryAfter time.Duration
}

// bucket is the token bucket of one workspace.
type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	// othersRate is the usage of the other nodes in units per second between the last two grants.
	othersRate float64
}

// Report tells a node's parent the usage of the node and of those that report to it.
type Report struct {
	// Node and Parent are the incarnations of the node that reports and of its parent.
	Node, Parent string
	// Session increases whenever the node begins to report anew.
	Session int64
	// Used is the total usage in the session, by workspace.
	Used map[string]float64
	// Nodes is the number of nodes that the report covers.
	Nodes int
	// SentAt is when the report was sent, by a monotonic clock of the node.
	SentAt time.Time
}

// Grant is the parent's reply to the reports of a session.
type Grant struct {
	// Session that the grant is for.
	Session int64
	// Credit is the total usage of the session at which the bucket will be empty, by workspace.
	Credit map[string]float64
	// Nodes is the number of nodes in the tree.
	Nodes int
}

// session is the exchange of reports and grants with one parent.
type session struct {
	id int64
	// parent is the incarnation of the parent; empty at the root.
	parent string
	// used is the usage in the session, told its value in the last report and toldBefore that in
	// the one before.
	used, told, toldBefore map[string]float64
	// toldAt is when the last report was sent, grantedAt when the last grant arrived.
	toldAt, grantedAt time.Time
	// grantInterval is the time between the last two grants.
	grantInterval time.Duration
	// nodes is the number of nodes in the tree as of the last grant.
	nodes int
}

// child is a node that reports to this one.
type child struct {
	session int64
	nodes   int
	// counted is the usage of the session that this node knows of.
	counted map[string]float64
	// receivedAt is when the newest report arrived, sentAt when it was sent by the child's clock.
	receivedAt, sentAt time.Time
}

// Ledger holds the buckets of one node and its place in the tree. It is not safe for concurrent
// use.
type Ledger struct {
	buckets        map[string]*bucket
	session        session
	children       map[string]*child
	nodes          int
	silenceTimeout time.Duration
	// configuredAt is when the limits were first set.
	configuredAt time.Time
	// levelsAdopted is set once the levels of a peer were adopted; pendingLevels are levels that
	// were received before the limits.
	levelsAdopted bool
	pendingLevels map[string]float64
	// systemRestart is set if the system ran before this node started.
	systemRestart bool
}

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{
		buckets: map[string]*bucket{}, children: map[string]*child{}, nodes: 1, silenceTimeout: minSilence,
		session: session{used: map[string]float64{}},
	}
}

// MarkSystemRestart records that the system ran before this node started: workspaces may have
// used their burst shortly before, and there may be no node left that has a record of it.
func (l *Ledger) MarkSystemRestart() { l.systemRestart = true }

// initialLevel returns this node's part of the burst before it has received any levels.
func (l *Ledger) initialLevel(limit Limit) float64 {
	if l.systemRestart {
		return limit.RestartBurst / float64(l.nodes)
	}
	return limit.Burst / float64(l.nodes)
}

// Configure sets the limits of all workspaces, the number of nodes, including this one, and
// the time after which the share of a silent node is reserved for it. A new bucket starts
// with this node's part of the burst until levels of a peer are received.
func (l *Ledger) Configure(limits map[string]Limit, nodes int, silenceTimeout time.Duration, now time.Time) {
	l.nodes, l.silenceTimeout = max(1, nodes), max(minSilence, silenceTimeout)
	if l.configuredAt.IsZero() {
		l.configuredAt = now
	}
	for name, limit := range limits {
		known := l.buckets[name]
		if known == nil {
			l.buckets[name] = &bucket{limit: limit, level: l.initialLevel(limit), refilledAt: now}
			continue
		}
		l.refill(known, now)
		known.limit = limit
		known.level = min(known.level, limit.Burst)
		if !l.ready(now) {
			// There may be more nodes than when the bucket was created.
			known.level = min(known.level, l.initialLevel(limit))
		}
	}
	for name := range l.buckets {
		if _, ok := limits[name]; !ok {
			delete(l.buckets, name)
		}
	}
	if l.pendingLevels != nil {
		l.adoptLevels(l.pendingLevels, now)
	}
}

// Admit charges the cost of a request to the bucket of its workspace if its level suffices.
func (l *Ledger) Admit(name string, cost float64, now time.Time) Decision {
	b := l.buckets[name]
	if b == nil || b.limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	l.refill(b, now)
	need, level := min(cost, b.limit.Burst), b.level-l.unreported(b, now)
	if level < need {
		wait := time.Duration((need - level) / l.rate(b, now) * float64(time.Second))
		return Decision{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
	}
	l.charge(name, b, cost)
	return Decision{Admitted: true}
}

// unreported returns what the other nodes are expected to have used that the last grant did not
// include, since their reports were up to one exchange old when it was sent. Without it, all nodes
// go on admitting at full speed for an exchange after a burst is used up.
func (l *Ledger) unreported(b *bucket, now time.Time) float64 {
	age := now.Sub(l.session.grantedAt)
	if l.session.parent == "" || age > l.silenceTimeout {
		return 0
	}
	return b.othersRate * (age + l.session.grantInterval).Seconds()
}

// Refund credits the cost of a request that did not run.
func (l *Ledger) Refund(name string, cost float64) {
	if b := l.buckets[name]; b != nil {
		l.charge(name, b, -cost)
	}
}

func (l *Ledger) charge(name string, b *bucket, amount float64) {
	b.level = min(b.level-amount, b.limit.Burst)
	l.session.used[name] += amount
}

// SetParent sets the incarnation of the node to which this one reports from now on; empty if it
// is the root.
func (l *Ledger) SetParent(incarnation string, now time.Time) {
	if incarnation != l.session.parent {
		l.startSession(incarnation, now)
	}
}

// startSession begins to report anew. Usage that the former parent was not told of is carried
// over, unless there was no report for so long that the share reserved for this node pays for it.
func (l *Ledger) startSession(parent string, now time.Time) {
	former, untold := l.session, l.untold(now)
	l.session = session{
		id: former.id + 1, parent: parent, used: untold, toldAt: former.toldAt,
		grantedAt: former.grantedAt, nodes: former.nodes,
	}
}

// untold returns the usage that the parent was not told of and the next one will be.
func (l *Ledger) untold(now time.Time) map[string]float64 {
	usage := map[string]float64{}
	toldAt := l.session.toldAt
	if toldAt.IsZero() {
		toldAt = l.configuredAt
	}
	if now.Sub(toldAt) > l.silenceTimeout {
		return usage
	}
	for name, used := range l.session.used {
		usage[name] = used - l.session.told[name]
	}
	return usage
}

// Report returns the report to the parent; ok is false at the root.
func (l *Ledger) Report(now time.Time) (report Report, ok bool) {
	if l.session.parent == "" {
		return Report{}, false
	}
	if !l.session.toldAt.IsZero() && now.Sub(l.session.toldAt) > l.silenceTimeout {
		l.startSession(l.session.parent, now)
	}
	l.session.toldBefore, l.session.told, l.session.toldAt = l.session.told, maps.Clone(l.session.used), now
	return Report{Parent: l.session.parent, Session: l.session.id, Used: l.session.told, Nodes: l.subtree(now), SentAt: now}, true
}

// ReportIgnored records that the last report reached a later incarnation of the parent, which has
// not counted it.
func (l *Ledger) ReportIgnored() { l.session.told = l.session.toldBefore }

// ApplyReport charges what a child has used since its last report. Reports older than the newest
// one are ignored. While a child is silent its share of the rate is reserved, which pays for the
// usage that it admits meanwhile; a report that covers this time is not charged. The silence is
// measured by send times, since reports that queued up while this node was frozen are all
// received at once. A node that has just started adopts the levels that its children send; the
// lowest ones count, since each child lacks some usage that the former parent was told of. What a
// child has used since is in no other child's level and is charged.
func (l *Ledger) ApplyReport(report Report, levels map[string]float64, now time.Time) {
	adopted := l.AdoptLevels(levels, now)
	paid := !l.ready(now)
	known := l.children[report.Node]
	if known == nil && !adopted && now.Sub(l.configuredAt) < 2*adoptionTimeout {
		for name, level := range levels {
			if b := l.buckets[name]; b != nil {
				l.refill(b, now)
				b.level = min(b.level, level-l.session.used[name])
			}
		}
	}
	if known != nil && (report.Session < known.session || (report.Session == known.session && !report.SentAt.After(known.sentAt))) {
		return
	}
	if known == nil || known.session != report.Session {
		known = &child{session: report.Session, counted: map[string]float64{}}
		l.children[report.Node] = known
	} else if report.SentAt.Sub(known.sentAt) > l.silenceTimeout {
		paid = true
	}
	known.receivedAt, known.sentAt, known.nodes = now, report.SentAt, max(1, report.Nodes)
	for name, total := range report.Used {
		if b := l.buckets[name]; b != nil && !paid {
			l.refill(b, now)
			// The total decreases when requests that did not run are refunded.
			l.charge(name, b, total-known.counted[name])
		}
		known.counted[name] = total
	}
}

// GrantFor returns the grant for a child; ok is false if the node does not report to this one or
// the levels of this node are not known yet.
func (l *Ledger) GrantFor(node string, now time.Time) (grant Grant, ok bool) {
	known := l.children[node]
	if known == nil || !l.ready(now) {
		return Grant{}, false
	}
	grant = Grant{Session: known.session, Credit: l.Levels(now), Nodes: l.tree(now)}
	for name := range grant.Credit {
		grant.Credit[name] += known.counted[name]
	}
	return grant, true
}

// ApplyGrant applies the grant of the parent; one for an earlier session is ignored.
func (l *Ledger) ApplyGrant(grant Grant, now time.Time) {
	if grant.Session != l.session.id || l.session.parent == "" {
		return
	}
	interval := now.Sub(l.session.grantedAt)
	if interval > l.silenceTimeout {
		interval = 0
	}
	l.session.grantInterval, l.session.grantedAt = interval, now
	l.session.nodes, l.levelsAdopted = max(1, grant.Nodes), true
	for name, credit := range grant.Credit {
		b := l.buckets[name]
		if b == nil {
			continue
		}
		l.refill(b, now)
		level := min(credit-l.session.used[name], b.limit.Burst)
		b.othersRate = 0
		if interval > 0 {
			b.othersRate = max(0, b.level-level) / interval.Seconds()
		}
		b.level, b.refilledAt = level, now
	}
}

// ready reports whether the levels of this node hold for others.
func (l *Ledger) ready(now time.Time) bool {
	return l.levelsAdopted || (!l.configuredAt.IsZero() && now.Sub(l.configuredAt) > adoptionTimeout)
}

// LevelsForNewcomer returns the levels of the buckets, for a node that has just started; nil if
// this node does not know them itself. They lack the usage that this node reports to the receiver:
// that of the session if it is the parent, and what no parent was told of if it may become one.
func (l *Ledger) LevelsForNewcomer(isParent bool, now time.Time) map[string]float64 {
	if !l.ready(now) {
		return nil
	}
	levels, reported := l.Levels(now), l.session.used
	if !isParent {
		reported = l.untold(now)
	}
	for name := range levels {
		levels[name] += reported[name]
	}
	return levels
}

// AdoptLevels adopts the first levels that a peer sends, less this node's own usage, which the
// peer does not know of. It returns false if this node has levels already.
func (l *Ledger) AdoptLevels(levels map[string]float64, now time.Time) bool {
	if l.ready(now) || len(levels) == 0 {
		return false
	}
	if len(l.buckets) == 0 {
		l.pendingLevels = levels
		return false
	}
	l.adoptLevels(levels, now)
	return true
}

func (l *Ledger) adoptLevels(levels map[string]float64, now time.Time) {
	l.levelsAdopted, l.pendingLevels = true, nil
	for name, level := range levels {
		if b := l.buckets[name]; b != nil {
			for _, known := range l.children {
				l.session.used[name] += known.counted[name]
			}
			b.level, b.refilledAt = min(level-l.session.used[name], b.limit.Burst), now
		}
	}
}

// RemoveChild removes a node that no longer reports.
func (l *Ledger) RemoveChild(node string) { delete(l.children, node) }

// Levels returns the levels of the buckets.
func (l *Ledger) Levels(now time.Time) map[string]float64 {
	levels := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(b, now)
		levels[name] = b.level
	}
	return levels
}

// refill adds the tokens accrued since the last refill.
func (l *Ledger) refill(b *bucket, now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.level = min(b.level+elapsed*l.rate(b, now), b.limit.Burst*l.burstShare(now))
	b.refilledAt = now
}

// burstShare returns the share of the burst that this node's tree may hold: a node that was cut off
// must not use the whole of it beside the others.
func (l *Ledger) burstShare(now time.Time) float64 {
	grace := 2 * l.silenceTimeout
	if l.session.parent != "" || now.Sub(l.session.grantedAt) < grace || now.Sub(l.configuredAt) < adoptionTimeout+grace {
		return 1
	}
	return min(1, float64(l.heardWithin(grace, now))/float64(l.nodes))
}

// rate returns the refill rate of a bucket: the rate of the limit less the shares of the nodes
// outside the tree, which may be admitting requests.
func (l *Ledger) rate(b *bucket, now time.Time) float64 {
	return b.limit.Rate * min(1, float64(l.tree(now))/float64(l.nodes))
}

// tree returns the number of nodes whose usage is charged to the same root as this node's.
func (l *Ledger) tree(now time.Time) int {
	if now.Sub(l.session.grantedAt) < l.silenceTimeout {
		return l.session.nodes
	}
	return l.subtree(now)
}

// subtree returns the number of nodes that a report of this node covers.
func (l *Ledger) subtree(now time.Time) int { return l.heardWithin(l.silenceTimeout, now) }

// heardWithin returns the number of nodes, this one included, that reported to it so recently.
func (l *Ledger) heardWithin(age time.Duration, now time.Time) int {
	nodes := 1
	for _, known := range l.children {
		if now.Sub(known.receivedAt) < age {
			nodes += known.nodes
		}
	}
	return nodes
}
