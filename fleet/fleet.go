// Package fleet tracks which upstreams exist and which may receive new work, from the
// records of the platform's registry. It is pure; one goroutine owns a Registry.
package fleet

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/pacing"
)

const (
	// drainUsableShare is the share of the drain bound in which an upstream receives work after its
	// notice; the rest is for requests that are in transit to it.
	drainUsableShare = 0.8
	// maxReadGapShare times the drain bound is the longest time in which no node reads the registry
	// although it is available: nodes that relied on a hub start to read within two thirds of
	// that bound.
	maxReadGapShare = 1.25
	// lapseGrace is how long an entry that vanished in an outage of the registry may
	// take to reappear; the platform states about two seconds.
	lapseGrace = 2 * time.Second
)

// Entry is an upstream's own record in the registry.
type Entry struct {
	// ID of the upstream, which a later process may reuse.
	ID string
	// BornMS is when the process started, in Unix milliseconds; it identifies the
	// incarnation.
	BornMS int64
	// Service of the upstream.
	Service string
	// Address is IP:port.
	Address string
	// DataCentre of the upstream.
	DataCentre string
	// Version of its software; empty if it names none.
	Version string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining is set while the upstream is leaving.
	Draining bool
	// Reclaimable upstreams may be reclaimed on notice.
	Reclaimable bool
	// TimeLeft is the time until the upstream stops; 0 when unknown.
	TimeLeft time.Duration
	// Sequence increases with each heartbeat of one incarnation.
	Sequence int64
	// Offset of the entry's record in the registry; later records have higher offsets.
	Offset int64
}

// Upstream is one incarnation of an upstream in the view of this node.
type Upstream struct {
	Entry
	// SeenAt is when the entry was last read.
	SeenAt time.Time
	// LeavingAt is when this node learned that the upstream is leaving; zero when it is not.
	LeavingAt time.Time
	// usableUntil is when a leaving upstream stops receiving work.
	usableUntil time.Time
	// LapsedAt is when its entry vanished in an outage; zero when it has not.
	LapsedAt time.Time

	// Key identifies the incarnation.
	Key string

	// changedVersion is the registry's version at the last change.
	changedVersion int64
}

// Key returns the key of an incarnation of an upstream.
func Key(id string, bornMS int64) string { return id + "/" + strconv.FormatInt(bornMS, 10) }

// Change is a change of an upstream in the registry.
type Change struct {
	// Upstream after the change.
	Upstream Upstream
	// Kind of the change.
	Kind ChangeKind
}

// ChangeKind is the kind of a change of an upstream.
type ChangeKind string

// Kinds of changes.
const (
	// Added upstreams may receive work.
	Added ChangeKind = "added"
	// Draining upstreams are leaving and receive no new work.
	Draining ChangeKind = "draining"
	// Lapsed means that the entry vanished while the registry could not be read.
	Lapsed ChangeKind = "lapsed"
	// Restored means that a lapsed entry reappeared.
	Restored ChangeKind = "back"
	// Removed upstreams no longer exist.
	Removed ChangeKind = "gone"
	// Replaced means that another incarnation has the id.
	Replaced ChangeKind = "replaced"
)

// Registry holds the upstreams by id.
type Registry struct {
	upstreams map[string]*Upstream
	// tombstones holds the removed incarnations, so that a late entry or an older update of
	// a peer does not restore them.
	tombstones map[string]tombstone
	outageEnd  time.Time
	outage     bool
	// peerReadAt is when another node last read the registry in this node's outage, peerReadGap the
	// longest time in the outage in which none did.
	peerReadAt  time.Time
	peerReadGap time.Duration
	// outageStart is when this node last read the registry before its outage.
	outageStart time.Time
	// lastReadAt is the time up to which all writes to the registry are known, drainBound the
	// platform's bound on draining.
	lastReadAt time.Time
	drainBound time.Duration
	// version increases with each change that readers of this registry must receive.
	version int64
	// prunedVersion is the version up to which removals have been dropped.
	prunedVersion int64
	// sorted and hash belong to the current version; sorted is nil after a change.
	sorted []*Upstream
	hash   uint64
}

// bumpVersion increments the version for a change of an upstream and returns it.
func (r *Registry) bumpVersion() int64 {
	r.version++
	r.sorted = nil
	return r.version
}

// sortedUpstreams returns the upstreams sorted by id, and recomputes them and the hash after a change.
func (r *Registry) sortedUpstreams() []*Upstream {
	if r.sorted != nil {
		return r.sorted
	}
	r.sorted, r.hash = make([]*Upstream, 0, len(r.upstreams)), 0
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		known := r.upstreams[id]
		r.sorted = append(r.sorted, known)
		r.hash ^= xxhash.Sum64String(known.Key)
	}
	return r.sorted
}

// tombstone is an incarnation whose entry was removed.
type tombstone struct {
	bornMS     int64
	sequence   int64
	wasLeaving bool
	removedAt  time.Time
	// changedVersion is the registry's version at the removal.
	changedVersion int64
	// offset is that of the registry when the entry was removed; unknownOffset if unknown.
	offset int64
}

// supersedes reports whether an entry is older than the removal. An upstream that was
// only silent is restored by a later heartbeat; one that announced its leaving is not.
func (t tombstone) supersedes(entry Entry) bool {
	if entry.Offset < t.offset {
		return true
	}
	if entry.BornMS != t.bornMS {
		return entry.BornMS < t.bornMS
	}
	return t.wasLeaving || entry.Sequence <= t.sequence
}

// tombstoneRetention is how long a removed incarnation is retained.
const tombstoneRetention = time.Minute

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{upstreams: map[string]*Upstream{}, tombstones: map[string]tombstone{}}
}

// SetOutage records that the registry can't be read, or can be read again.
func (r *Registry) SetOutage(active bool, now time.Time) {
	switch {
	case active && !r.outage:
		r.outageStart, r.peerReadAt, r.peerReadGap = r.lastReadAt, r.lastReadAt, 0
	case r.outage && !active && r.mayHaveLapsed(now):
		r.outageEnd = now
	}
	r.outage = active
}

// ApplyPeerRead records that another node had read all of the registry up to a time. In an
// outage of this node alone upstreams continue to write, and no entry lapses.
func (r *Registry) ApplyPeerRead(at time.Time) {
	if r.outage && at.After(r.peerReadAt) {
		r.peerReadGap = max(r.peerReadGap, at.Sub(r.peerReadAt))
		r.peerReadAt = at
	}
}

// mayHaveLapsed reports whether entries may have vanished in the current outage while their
// upstreams are alive.
func (r *Registry) mayHaveLapsed(now time.Time) bool {
	localOutage := r.peerReadAt.After(r.outageStart) &&
		max(r.peerReadGap, now.Sub(r.peerReadAt)) < time.Duration(maxReadGapShare*float64(r.drainBound))
	return r.outage && !localOutage
}

// Put applies an entry of an upstream.
func (r *Registry) Put(entry Entry, now time.Time) []Change {
	if removal, ok := r.tombstones[entry.ID]; ok && removal.supersedes(entry) {
		return nil
	}
	known := r.upstreams[entry.ID]
	if known != nil && isOlder(entry, known.Entry) {
		return nil
	}
	if known == nil || known.BornMS != entry.BornMS || known.Address != entry.Address {
		return r.add(known, entry, now)
	}
	leavingAt, lapsed := known.LeavingAt, !known.LapsedAt.IsZero()
	if known.Slots != entry.Slots || known.Reclaimable != entry.Reclaimable || known.Service != entry.Service ||
		known.DataCentre != entry.DataCentre || known.Version != entry.Version || known.Draining != entry.Draining {
		known.changedVersion = r.bumpVersion()
	}
	known.Entry, known.SeenAt, known.LapsedAt = entry, now, time.Time{}
	switch {
	case !leavingAt.IsZero():
		known.Draining = true
		return nil
	case entry.Draining:
		r.setLeaving(known, now)
		return []Change{{Upstream: *known, Kind: Draining}}
	case lapsed:
		return []Change{{Upstream: *known, Kind: Restored}}
	}
	return nil
}

// isOlder reports whether an entry was written before another of the same id.
func isOlder(entry, known Entry) bool {
	if entry.BornMS != known.BornMS {
		return entry.BornMS < known.BornMS
	}
	return entry.Sequence < known.Sequence
}

func (r *Registry) add(known *Upstream, entry Entry, now time.Time) []Change {
	var changes []Change
	if known != nil {
		changes = append(changes, Change{Upstream: *known, Kind: Replaced})
	}
	added := &Upstream{Entry: entry, SeenAt: now, Key: Key(entry.ID, entry.BornMS), changedVersion: r.bumpVersion()}
	if entry.Draining {
		r.setLeaving(added, now)
	}
	r.upstreams[entry.ID] = added
	return append(changes, Change{Upstream: *added, Kind: Added})
}

// MarkLeaving records that an incarnation is leaving, as reported by a peer.
func (r *Registry) MarkLeaving(id string, bornMS int64, now time.Time) []Change {
	known := r.upstreams[id]
	if known == nil || known.BornMS != bornMS || !known.LeavingAt.IsZero() {
		return nil
	}
	r.setLeaving(known, now)
	known.Draining, known.changedVersion = true, r.bumpVersion()
	return []Change{{Upstream: *known, Kind: Draining}}
}

// setLeaving marks an upstream as leaving, as this node learns now. Its notice may have been
// written just after the registry was last read, so the drain bound counts from that read.
func (r *Registry) setLeaving(known *Upstream, now time.Time) {
	known.LeavingAt, known.usableUntil = now, now.Add(pacing.LeavingGracePeriod)
	if latest := r.lastReadAt.Add(time.Duration(drainUsableShare * float64(r.drainBound))); !r.lastReadAt.IsZero() && latest.Before(known.usableUntil) {
		known.usableUntil = latest
	}
}

// SetCurrent records the time up to which all writes are known, and the platform's bound on
// draining after a notice.
func (r *Registry) SetCurrent(at time.Time, drainBound time.Duration) {
	r.lastReadAt, r.drainBound = at, drainBound
}

// Remove applies the removal of an entry, by the record at an offset. In an outage and for
// lapseGrace after it the entry may have lapsed while its upstream is alive.
func (r *Registry) Remove(id string, offset int64, now time.Time) []Change {
	known := r.upstreams[id]
	if known == nil {
		return nil
	}
	recent := r.mayHaveLapsed(now) || (!r.outageEnd.IsZero() && now.Sub(r.outageEnd) < lapseGrace)
	if recent && known.LeavingAt.IsZero() {
		if !known.LapsedAt.IsZero() {
			return nil
		}
		known.LapsedAt = now
		return []Change{{Upstream: *known, Kind: Lapsed}}
	}
	return r.removeEntry(known, offset, now)
}

// unknownOffset is the offset of a removal that was not read from the registry.
const unknownOffset = -1

func (r *Registry) removeEntry(known *Upstream, offset int64, now time.Time) []Change {
	delete(r.upstreams, known.ID)
	r.tombstones[known.ID] = tombstone{
		bornMS: known.BornMS, sequence: known.Sequence, wasLeaving: known.Leaving(), removedAt: now, offset: offset,
		changedVersion: r.bumpVersion(),
	}
	return []Change{{Upstream: *known, Kind: Removed}}
}

// Replace applies a full copy of the registry up to an offset: upstreams that it lacks are
// removed, except for entries that were written later.
func (r *Registry) Replace(entries []Entry, upTo int64, now time.Time) []Change {
	present := map[string]bool{}
	var changes []Change
	for _, entry := range entries {
		present[entry.ID] = true
		changes = append(changes, r.Put(entry, now)...)
	}
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		if !present[id] && r.upstreams[id].Offset <= upTo {
			changes = append(changes, r.Remove(id, upTo, now)...)
		}
	}
	return changes
}

// Tick drops entries that lapsed in an outage and did not reappear in time, and expired
// removals.
func (r *Registry) Tick(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		known := r.upstreams[id]
		if known.LapsedAt.IsZero() || r.outage || now.Sub(r.outageEnd) < lapseGrace {
			continue
		}
		changes = append(changes, r.removeEntry(known, unknownOffset, now)...)
	}
	for id, removal := range r.tombstones {
		if now.Sub(removal.removedAt) > tombstoneRetention {
			r.prunedVersion = max(r.prunedVersion, removal.changedVersion)
			delete(r.tombstones, id)
		}
	}
	return changes
}

// Upstreams returns copies of all upstreams, sorted by id.
func (r *Registry) Upstreams() []Upstream {
	all := make([]Upstream, 0, len(r.upstreams))
	for _, known := range r.sortedUpstreams() {
		all = append(all, *known)
	}
	return all
}

// Changes is the difference between a registry and an earlier version of it.
type Changes struct {
	// Version of the registry with the changes.
	Version int64
	// Full is set when Upstreams is a full copy.
	Full bool
	// Hash of the identities of all upstreams.
	Hash uint64
	// Upstreams that were added or changed.
	Upstreams []Upstream
	// Removed upstreams.
	Removed []Removal
}

// ChangesSince returns the changes since a version; a full copy if that is 0, too old or
// unknown.
func (r *Registry) ChangesSince(since int64) Changes {
	all := r.sortedUpstreams()
	full := since <= 0 || since < r.prunedVersion || since > r.version
	changes := Changes{Version: r.version, Full: full, Hash: r.hash}
	for _, known := range all {
		if full || known.changedVersion > since {
			changes.Upstreams = append(changes.Upstreams, *known)
		}
	}
	for id, removal := range r.tombstones {
		if !full && removal.changedVersion > since {
			changes.Removed = append(changes.Removed, Removal{ID: id, BornMS: removal.bornMS, Sequence: removal.sequence})
		}
	}
	return changes
}

// Hash returns a hash of the identities of all upstreams.
func (r *Registry) Hash() uint64 {
	r.sortedUpstreams()
	return r.hash
}

// Removal is an incarnation whose entry was removed.
type Removal struct {
	// ID and BornMS identify the incarnation.
	ID     string
	BornMS int64
	// Sequence of the entry that was removed.
	Sequence int64
}

// LeavingSince returns the leaving upstreams, and those whose entries were removed since a
// time.
func (r *Registry) LeavingSince(since time.Time) (leaving []Upstream, removed []Removal) {
	for _, known := range r.upstreams {
		if known.Leaving() {
			leaving = append(leaving, *known)
		}
	}
	for id, removal := range r.tombstones {
		if !removal.removedAt.Before(since) {
			removed = append(removed, Removal{ID: id, BornMS: removal.bornMS, Sequence: removal.sequence})
		}
	}
	return leaving, removed
}

// ApplyPeerRemoval applies the removal of an entry that a peer has read and this node may
// read only later. An entry newer than the removal stays.
func (r *Registry) ApplyPeerRemoval(removal Removal, now time.Time) []Change {
	known := r.upstreams[removal.ID]
	if known == nil || known.BornMS != removal.BornMS || known.Sequence > removal.Sequence {
		return nil
	}
	return r.removeEntry(known, unknownOffset, now)
}

// ResetOffsets marks all offsets as unknown, after the registry's records were renumbered.
func (r *Registry) ResetOffsets() {
	for _, known := range r.upstreams {
		known.Offset = unknownOffset
	}
	for id, removal := range r.tombstones {
		removal.offset = unknownOffset
		r.tombstones[id] = removal
	}
}

// MarkRestored records that the registry's records were put back to an older copy: entries that the copy
// lacks may be written again.
func (r *Registry) MarkRestored(now time.Time) {
	r.ResetOffsets()
	r.outageEnd = now
}

// Leaving reports whether the upstream must not receive new work that another can take.
func (u *Upstream) Leaving() bool { return !u.LeavingAt.IsZero() }

// UsableAt reports whether the upstream may receive new work at all.
func (u *Upstream) UsableAt(now time.Time) bool {
	return u.LeavingAt.IsZero() || now.Before(u.usableUntil)
}
