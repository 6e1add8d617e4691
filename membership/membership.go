// Package membership decides which nodes and upstreams exist and which of them may
// receive new work, from updates that are late, partial and out of order. It is pure:
// it has no clock and opens no connection.
package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// State is the health of a member as this node sees it.
type State string

// States of a member.
const (
	// StateLive members receive work.
	StateLive State = "live"
	// StateSuspect members receive work only when no live member can take it.
	StateSuspect State = "suspect"
	// StateLeaving members finish the work they have and receive no new work.
	StateLeaving State = "leaving"
)

const (
	// removeAfterLists is the number of consecutive host lists that must lack a member
	// before it is removed; a single list may be incomplete.
	removeAfterLists = 3
	// successesToRecover is the number of consecutive successful contacts before a
	// flapping member is live again.
	successesToRecover = 2
	// flapThreshold is the number of failures within flapWindow from which a
	// member needs successesToRecover contacts instead of one.
	flapThreshold = 3
	// flapWindow is how long a failure counts.
	flapWindow = 30 * time.Second
	// contactValidity is how long a successful contact outweighs a host list that lacks
	// the member, when the list lacks many members at once.
	contactValidity = 15 * time.Second
	// massMissingShare and massMissingMin are the share and the number of members that must
	// be missing at once for a list to be considered incomplete.
	massMissingShare = 0.5
	massMissingMin   = 2
	// maxEndedIncarnations bounds the ended incarnations that are retained for one host.
	maxEndedIncarnations = 8
)

// Member is one process on one host.
type Member struct {
	api.Host
	// Health is derived from all sources.
	Health State
	// ReclaimAt is when the host stops; zero when no notice is known.
	ReclaimAt time.Time
	// NeedsProbe is set when the host list lacks the member, or when it failed and its probe
	// delay has passed.
	NeedsProbe bool
}

// entry is a member with the state of its sources.
type entry struct {
	member            Member
	missedLists       int
	leaving           bool
	lastContact       time.Time
	suspect           bool
	probeAfter        time.Time
	successes         int
	failures          []time.Time
	endedIncarnations []string
}

// View is an immutable snapshot of all members.
type View struct {
	// Nodes are sorted by id.
	Nodes []Member
	// Upstreams are sorted by id.
	Upstreams []Member
}

// Table is the membership state. It is owned by one goroutine.
type Table struct {
	entries  map[string]*entry
	notices  notices
	listAtMS int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}, notices: newNotices()}
}

// ApplyList applies a host list that was read at now. A list older than the last one
// is ignored; no list revives an incarnation that ended or has a reclaim notice. A list
// that lacks many members at once removes none of them while one of those still answers.
func (t *Table) ApplyList(list api.HostList, now time.Time) {
	if list.AtMS < t.listAtMS {
		return
	}
	t.listAtMS = list.AtMS
	t.notices.prune(now)
	listed := map[string]bool{}
	for _, host := range list.Hosts {
		listed[host.ID] = true
		t.applyHost(host, list.AtMS)
	}
	t.removeMissing(listed, now)
}

// applyHost applies one entry of a list.
func (t *Table) applyHost(host api.Host, listAtMS int64) {
	known, ok := t.entries[host.ID]
	if !ok {
		known = &entry{}
		t.entries[host.ID] = known
	}
	known.missedLists = 0
	if ok && known.member.Incarnation != host.Incarnation {
		if known.isOlder(host.Incarnation, listAtMS) {
			return
		}
		known.restart(host.Incarnation)
	}
	known.member.Host = host
	if host.State == api.HostStateLeaving {
		known.leaving = true
	}
	t.applyNotice(known, listAtMS)
}

// isOlder reports whether an incarnation of a list precedes the known one.
func (e *entry) isOlder(incarnation string, listAtMS int64) bool {
	if slices.Contains(e.endedIncarnations, incarnation) {
		return true
	}
	return listAtMS < e.lastContact.UnixMilli()
}

// restart resets the entry to another incarnation of the host, which starts live.
func (e *entry) restart(incarnation string) {
	ended := append(slices.Clone(e.endedIncarnations), e.member.Incarnation)
	if len(ended) > maxEndedIncarnations {
		ended = ended[len(ended)-maxEndedIncarnations:]
	}
	host := e.member.Host
	host.Incarnation = incarnation
	host.State = api.HostStateLive
	*e = entry{member: Member{Host: host}, endedIncarnations: ended}
}

// removeMissing counts the consecutive lists that lack a member and removes the member
// after removeAfterLists of them, or once its reclaim time has passed.
func (t *Table) removeMissing(listed map[string]bool, now time.Time) {
	var missing []string
	for id := range t.entries {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	if t.isImplausible(missing, now) {
		for _, id := range missing {
			t.entries[id].missedLists = 1
		}
		return
	}
	for _, id := range missing {
		known := t.entries[id]
		known.missedLists++
		reclaimed := known.leaving && !known.member.ReclaimAt.IsZero() && now.After(known.member.ReclaimAt)
		if known.missedLists >= removeAfterLists || reclaimed {
			delete(t.entries, id)
		}
	}
}

// isImplausible reports whether a list lacks too many members at once, at least one of
// which answered recently.
func (t *Table) isImplausible(missing []string, now time.Time) bool {
	share := float64(len(missing)) / float64(max(1, len(t.entries)))
	if len(missing) < massMissingMin || share < massMissingShare {
		return false
	}
	return slices.ContainsFunc(missing, func(id string) bool {
		lastContact := t.entries[id].lastContact
		return !lastContact.IsZero() && now.Sub(lastContact) < contactValidity
	})
}

// ApplyFailure records a failed contact. The member becomes suspect, is not probed
// before until, and is live again only after a successful contact.
func (t *Table) ApplyFailure(id string, now, until time.Time) {
	known, ok := t.entries[id]
	if !ok {
		return
	}
	known.suspect = true
	known.probeAfter = until
	known.successes = 0
	known.failures = append(known.recentFailures(now), now)
	if len(known.failures) > flapThreshold {
		known.failures = known.failures[1:]
	}
}

// ApplySuccess records a successful contact with an incarnation, which is empty when
// the contact doesn't carry it.
func (t *Table) ApplySuccess(id, incarnation string, now time.Time) {
	known, ok := t.entries[id]
	if !ok || slices.Contains(known.endedIncarnations, incarnation) {
		return
	}
	if incarnation != "" && incarnation != known.member.Incarnation {
		known.restart(incarnation)
		t.applyNotice(known, now.UnixMilli())
	}
	known.lastContact = now
	if !known.suspect {
		return
	}
	known.successes++
	flaps := len(known.recentFailures(now)) >= flapThreshold
	if !flaps || known.successes >= successesToRecover {
		known.suspect = false
		known.probeAfter = time.Time{}
	}
}

// recentFailures returns the failures within flapWindow.
func (e *entry) recentFailures(now time.Time) []time.Time {
	return slices.DeleteFunc(slices.Clone(e.failures), func(at time.Time) bool { return now.Sub(at) > flapWindow })
}

// Has reports whether a host is a member.
func (t *Table) Has(id string) bool {
	_, ok := t.entries[id]
	return ok
}

// View returns a snapshot of the members at now.
func (t *Table) View(now time.Time) *View {
	view := &View{}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		known := t.entries[id]
		member := known.member
		member.Health = known.health()
		member.NeedsProbe = known.missedLists > 0 || (known.suspect && !now.Before(known.probeAfter))
		if member.Role == api.HostRoleNode {
			view.Nodes = append(view.Nodes, member)
			continue
		}
		view.Upstreams = append(view.Upstreams, member)
	}
	return view
}

func (e *entry) health() State {
	switch {
	case e.leaving:
		return StateLeaving
	case e.suspect:
		return StateSuspect
	default:
		return StateLive
	}
}
