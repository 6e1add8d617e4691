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

// goneAfterLists is how many host lists in a row must lack a member before it is
// forgotten; a single list may be torn.
const goneAfterLists = 3

// Member is one process on one host.
type Member struct {
	api.Host
	// Health is what this node makes of all sources.
	Health State
	// ReclaimAt is when the host stops; zero when no notice is known.
	ReclaimAt time.Time
}

// entry is a member with the bookkeeping of its sources.
type entry struct {
	member       Member
	missing      int
	suspectUntil time.Time
	leaving      bool
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
	notices map[string]api.LeavingHost
	listAt  int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}, notices: map[string]api.LeavingHost{}}
}

// ApplyList takes a host list. An older list than the last one is ignored, and a
// lagging list never revives an incarnation that is known to be leaving.
func (t *Table) ApplyList(list api.HostList) {
	if list.AtMS < t.listAt {
		return
	}
	t.listAt = list.AtMS
	listed := map[string]bool{}
	for _, host := range list.Hosts {
		listed[host.ID] = true
		t.applyHost(host)
	}
	for id, known := range t.entries {
		if listed[id] {
			known.missing = 0
			continue
		}
		known.missing++
		if known.missing >= goneAfterLists {
			delete(t.entries, id)
			delete(t.notices, id)
		}
	}
}

func (t *Table) applyHost(host api.Host) {
	known, ok := t.entries[host.ID]
	if !ok || known.member.Incarnation != host.Incarnation {
		known = &entry{}
		t.entries[host.ID] = known
	}
	known.member.Host = host
	if host.State == api.HostStateLeaving {
		known.leaving = true
	}
	if notice, noticed := t.notices[host.ID]; noticed {
		t.mark(known, notice)
	}
}

// ApplyLeaving takes news of a reclaim from any source: the cloud API, a peer, or
// the upstream's own answers. It returns whether the news was new.
func (t *Table) ApplyLeaving(notice api.LeavingHost) bool {
	if _, seen := t.notices[notice.HostID]; seen {
		return false
	}
	t.notices[notice.HostID] = notice
	if known, ok := t.entries[notice.HostID]; ok {
		t.mark(known, notice)
	}
	return true
}

func (t *Table) mark(known *entry, notice api.LeavingHost) {
	if notice.Incarnation != "" && notice.Incarnation != known.member.Incarnation {
		return
	}
	known.leaving = true
	known.member.ReclaimAt = time.UnixMilli(notice.ReclaimAtMS)
}

// ApplyFailure takes a failed contact; the member is suspect until then.
func (t *Table) ApplyFailure(id string, until time.Time) {
	if known, ok := t.entries[id]; ok {
		known.suspectUntil = until
	}
}

// ApplySuccess takes a contact that worked.
func (t *Table) ApplySuccess(id string) {
	if known, ok := t.entries[id]; ok {
		known.suspectUntil = time.Time{}
	}
}

// Leaving returns the notices that peers should hear of, sorted by host.
func (t *Table) Leaving() []api.LeavingHost {
	notices := slices.Collect(maps.Values(t.notices))
	slices.SortFunc(notices, func(a, b api.LeavingHost) int {
		if a.HostID < b.HostID {
			return -1
		}
		return 1
	})
	return notices
}

// View returns the members as they are at now.
func (t *Table) View(now time.Time) *View {
	view := &View{}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		known := t.entries[id]
		member := known.member
		member.Health = known.health(now)
		if member.Role == api.HostRoleNode {
			view.Nodes = append(view.Nodes, member)
			continue
		}
		view.Upstreams = append(view.Upstreams, member)
	}
	return view
}

func (e *entry) health(now time.Time) State {
	switch {
	case e.leaving:
		return StateLeaving
	case now.Before(e.suspectUntil):
		return StateSuspect
	default:
		return StateLive
	}
}
