// Package membership decides which nodes and upstreams exist and which of them may
// get new work, from news that is late, partial and out of order. It is pure: it
// has no clock and opens no connection.
package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// State of a member.
type State string

// States of a member.
const (
	// StateLive members get work.
	StateLive State = "live"
	// StateSuspect members get work only when no live member can take it.
	StateSuspect State = "suspect"
	// StateLeaving members finish what they have and get no new work.
	StateLeaving State = "leaving"
)

const (
	// goneAfterLists is how many host lists in a row must lack a member before it is
	// forgotten; a single list may be torn.
	goneAfterLists = 3
	// successesToRecover is how many contacts in a row must work before a suspect
	// member that failed repeatedly is live again.
	successesToRecover = 2
	// failuresOfFlapping is how many failures within flapWindow make a member need
	// successesToRecover contacts in place of one.
	failuresOfFlapping = 3
	// flapWindow is how long failures are remembered.
	flapWindow = 30 * time.Second
	// answeredFor is how long a contact that worked outweighs a host list that lacks
	// the member, when the list lacks many members at once.
	answeredFor = 15 * time.Second
	// massShare is the share of members that a believable list may lack at once.
	massShare = 0.5
	// massLeast is the number of members that must vanish at once to doubt a list.
	massLeast = 2
	// keptIncarnations bounds the ended incarnations that are kept for one host.
	keptIncarnations = 8
)

// Member is one process on one host.
type Member struct {
	api.Host
	// Health is what this node makes of all sources.
	Health State
	// ReclaimAt is when the host stops; zero when no notice is known.
	ReclaimAt time.Time
	// NeedsProbe members need a probe: they failed, or the host list lacks them.
	NeedsProbe bool
}

// entry is a member with the bookkeeping of its sources.
type entry struct {
	member    Member
	missing   int
	leaving   bool
	answered  time.Time
	suspect   bool
	suspectTo time.Time
	successes int
	failures  []time.Time
	ended     []string
}

// View is all members at one moment. It is immutable.
type View struct {
	// Nodes, by id.
	Nodes []Member
	// Upstreams, by id.
	Upstreams []Member
}

// Table is the state of membership. One goroutine owns it.
type Table struct {
	entries map[string]*entry
	notices notices
	listAt  int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}, notices: newNotices()}
}

// ApplyList takes a host list that was read at now. An older list than the last one
// is ignored; no list revives an incarnation that ended or gave notice. A list that
// lacks many members at once is not believed while one of those still answers.
func (t *Table) ApplyList(list api.HostList, now time.Time) {
	if list.AtMS < t.listAt {
		return
	}
	t.listAt = list.AtMS
	t.notices.clean(now)
	listed := map[string]bool{}
	for _, host := range list.Hosts {
		listed[host.ID] = true
		t.applyHost(host, list.AtMS)
	}
	t.forgetMissing(listed, now)
}

// applyHost takes one entry of a list.
func (t *Table) applyHost(host api.Host, listAt int64) {
	known, ok := t.entries[host.ID]
	if !ok {
		known = &entry{}
		t.entries[host.ID] = known
	}
	known.missing = 0
	if ok && known.member.Incarnation != host.Incarnation {
		if known.isOlder(host.Incarnation, listAt) {
			return
		}
		known.restart(host.Incarnation)
	}
	known.member.Host = host
	if host.State == api.HostStateLeaving {
		known.leaving = true
	}
	t.applyNotice(known, listAt)
}

// isOlder says whether an incarnation of a list is one before the known one.
func (e *entry) isOlder(incarnation string, listAt int64) bool {
	if slices.Contains(e.ended, incarnation) {
		return true
	}
	return listAt < e.answered.UnixMilli()
}

// restart makes the entry another incarnation of the host, which is live.
func (e *entry) restart(incarnation string) {
	ended := append(slices.Clone(e.ended), e.member.Incarnation)
	if len(ended) > keptIncarnations {
		ended = ended[len(ended)-keptIncarnations:]
	}
	host := e.member.Host
	host.Incarnation = incarnation
	host.State = api.HostStateLive
	*e = entry{member: Member{Host: host}, ended: ended}
}

// forgetMissing counts the lists that lack a member and forgets it in the end.
func (t *Table) forgetMissing(listed map[string]bool, now time.Time) {
	var missing []string
	for id := range t.entries {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	if t.disproved(missing, now) {
		for _, id := range missing {
			t.entries[id].missing = 1
		}
		return
	}
	for _, id := range missing {
		known := t.entries[id]
		known.missing++
		reclaimed := known.leaving && !known.member.ReclaimAt.IsZero() && now.After(known.member.ReclaimAt)
		if known.missing >= goneAfterLists || reclaimed {
			delete(t.entries, id)
		}
	}
}

// disproved says that a list lacks too many members at once, one of which answers.
func (t *Table) disproved(missing []string, now time.Time) bool {
	share := float64(len(missing)) / float64(max(1, len(t.entries)))
	if len(missing) < massLeast || share < massShare {
		return false
	}
	return slices.ContainsFunc(missing, func(id string) bool {
		answered := t.entries[id].answered
		return !answered.IsZero() && now.Sub(answered) < answeredFor
	})
}

// ApplyFailure takes a failed contact. The member is suspect from now on: until
// then it is not probed, and it is live again only once a contact works.
func (t *Table) ApplyFailure(id string, now, until time.Time) {
	known, ok := t.entries[id]
	if !ok {
		return
	}
	known.suspect = true
	known.suspectTo = until
	known.successes = 0
	known.failures = append(known.recentFailures(now), now)
	if len(known.failures) > failuresOfFlapping {
		known.failures = known.failures[1:]
	}
}

// ApplySuccess takes a contact that worked with an incarnation, which may be empty
// when the contact doesn't tell it.
func (t *Table) ApplySuccess(id, incarnation string, now time.Time) {
	known, ok := t.entries[id]
	if !ok || slices.Contains(known.ended, incarnation) {
		return
	}
	if incarnation != "" && incarnation != known.member.Incarnation {
		known.restart(incarnation)
		t.applyNotice(known, now.UnixMilli())
	}
	known.answered = now
	if !known.suspect {
		return
	}
	known.successes++
	flaps := len(known.recentFailures(now)) >= failuresOfFlapping
	if !flaps || known.successes >= successesToRecover {
		known.suspect = false
		known.suspectTo = time.Time{}
	}
}

// recentFailures returns the failures that still count.
func (e *entry) recentFailures(now time.Time) []time.Time {
	return slices.DeleteFunc(slices.Clone(e.failures), func(at time.Time) bool { return now.Sub(at) > flapWindow })
}

// Has says whether a host is a member.
func (t *Table) Has(id string) bool {
	_, ok := t.entries[id]
	return ok
}

// View returns the members as they are at now.
func (t *Table) View(now time.Time) *View {
	view := &View{}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		known := t.entries[id]
		member := known.member
		member.Health = known.health()
		member.NeedsProbe = known.missing > 0 || (known.suspect && !now.Before(known.suspectTo))
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
